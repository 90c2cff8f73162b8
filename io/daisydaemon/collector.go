package daisydaemon

import (
	"os"
	"runtime/debug"
)

// collectorPercent lets the heap grow to five times what is live, at least to
// 16 MB, before it is collected. A VM holds little and allocates much: at the
// default of 100 it collects every 4 MB, which lengthens the tail of the calls.
const collectorPercent = 400

// TuneCollector sets when memory is collected, unless the environment says it by GOGC.
func TuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
}
