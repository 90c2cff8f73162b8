package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

var rec recorder

func openRecord(path string) {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	rec.file, rec.start = f, time.Now()
}

func logf(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.file != nil {
		fmt.Fprintf(rec.file, "%8.3f s  %s\n", time.Since(rec.start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// cleanups run before the program exits.
var cleanups []func()

func exit(code int) {
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	logf("CANNOT RUN: "+format, args...)
	fmt.Printf("cannot run: "+format+"\n", args...)
	exit(2)
}
