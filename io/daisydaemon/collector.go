package daisydaemon

import (
	"os"
	"runtime/debug"
)

// gcPercent lets the heap grow to five times its live size, and at least to 16 MB,
// before a garbage collection. A VM has a small live heap and allocates fast: at the
// default of 100 it collects every 4 MB, which raises the tail latency of requests.
const gcPercent = 400

// memoryLimitFraction is the fraction of the process's memory that the heap may fill
// before it is collected more often. The rest is for stacks and kernel buffers, which
// count towards the memory of the process too.
const memoryLimitFraction = 0.8

// SetMemoryLimit sets the memory limit of the Go runtime for a process that may use the
// given number of bytes. It does nothing if bytes is 0 or GOMEMLIMIT is set.
func SetMemoryLimit(bytes int64) {
	if bytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(bytes)))
	}
}

// SetGCPercent sets the target percentage of the garbage collector, unless GOGC is set.
func SetGCPercent() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
