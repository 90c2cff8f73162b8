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

// reportWakeDelay prints how late the machine wakes a sleeping goroutine while the
// process is otherwise idle. It is a lower bound for the latency of calls at the
// same percentile.
func reportWakeDelay() {
	delays := hdrhistogram.New(1, int64(maxLatency), significantDigits)
	for range idleSleeps {
		started := time.Now()
		time.Sleep(idleSleep)
		_ = delays.RecordValue(max(int64(time.Since(started)-idleSleep), 1))
	}
	fmt.Printf("%-10s %8d %8s %10.1f %10.1f %10.1f\n", "idle wake", idleSleeps, "",
		quantileMicroseconds(delays, 50), quantileMicroseconds(delays, 90), quantileMicroseconds(delays, 99))
}

func quantileMicroseconds(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / float64(time.Microsecond)
}
