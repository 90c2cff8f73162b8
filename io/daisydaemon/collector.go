package daisydaemon

import (
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
)

const (
	// gcPercent lets a small heap grow to five times its live size, and at least to 16 MB,
	// before a garbage collection. A VM allocates fast: at the default of 100 it collects
	// every 4 MB, which raises the tail latency of requests.
	gcPercent = 400
	// maxHeapGrowth is the growth in bytes between two collections up to which gcPercent
	// applies. The live heap of a VM among hundreds is several times larger, and so would
	// the garbage be.
	maxHeapGrowth = 24 << 20
	// minGCPercent bounds the collections of a large heap.
	minGCPercent = 50
)

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

// SetGCPercent sets the target percentage of the garbage collector, and adapts it to the
// live heap after each collection, unless GOGC is set.
func SetGCPercent() {
	if os.Getenv("GOGC") != "" {
		return
	}
	debug.SetGCPercent(gcPercent)
	adaptAfterCollection(gcPercent)
}

// gcPercentFor returns the target percentage for a live heap of a number of bytes.
func gcPercentFor(live uint64) int {
	if live == 0 {
		return gcPercent
	}
	return int(max(minGCPercent, min(gcPercent, 100*maxHeapGrowth/live)))
}

// collectionMark is an object that the next collection finds unused. It has a pointer, since
// the allocator may join objects without one.
type collectionMark struct{ _ *byte }

// adaptAfterCollection sets the target percentage after each collection from now on.
func adaptAfterCollection(current int) {
	runtime.AddCleanup(new(collectionMark), func(current int) {
		percent := gcPercentFor(liveHeap())
		if percent != current {
			debug.SetGCPercent(percent)
		}
		adaptAfterCollection(percent)
	}, current)
}

// liveHeap returns the number of bytes that the last collection found in use.
func liveHeap() uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
