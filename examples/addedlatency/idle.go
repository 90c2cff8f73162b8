package main

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	idleSleep  = 500 * time.Microsecond
	idleSleeps = 2000
)

// reportIdle prints how late the machine wakes a sleeping goroutine while the
// process is otherwise idle. It is a lower bound for the latency of calls at the
// same percentile.
func reportIdle() {
	late := hdrhistogram.New(1, int64(maxLatency), digits)
	for range idleSleeps {
		started := time.Now()
		time.Sleep(idleSleep)
		_ = late.RecordValue(max(int64(time.Since(started)-idleSleep), 1))
	}
	fmt.Printf("%-10s %8d %8s %10.1f %10.1f %10.1f\n", "idle wake", idleSleeps, "",
		microseconds(late, 50), microseconds(late, 90), microseconds(late, 99))
}

func microseconds(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / float64(time.Microsecond)
}
