package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime is the longest time that a case may run.
const maxTime = 115 * time.Second

// cases are the cases by name. Each returns what broke the rule; empty if nothing did.
var cases = map[string]func(w *world) string{}

func main() { os.Exit(play()) }

func play() (code int) {
	root := flag.String("root", ".", "root of the repository")
	out := flag.String("out", ".", "folder of the record")
	flag.Parse()
	playCase, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", flag.Arg(0))
		return 2
	}
	absolute, err := filepath.Abs(*root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	var w *world
	defer func() {
		if f, ok := recover().(failure); ok {
			fmt.Fprintln(os.Stderr, "the case could not run:", f.text)
			code = 2
		}
		if w != nil {
			w.close()
		}
	}()
	w = newWorld(absolute, *out, os.Getenv("TROUBLE") != "0")
	go w.endOnSignal()
	broken := playCase(w)
	if broken != "" {
		w.log("RULE BROKEN: %s", broken)
		fmt.Println("rule broken:", broken)
		return 1
	}
	w.log("the rule held")
	fmt.Println("the rule held")
	return 0
}

// endOnSignal ends the play, with all its processes, on a signal or after maxTime.
func (w *world) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	fmt.Fprintln(os.Stderr, "the case could not run to its end")
	w.close()
	os.Exit(2)
}
