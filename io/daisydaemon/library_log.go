package daisydaemon

import (
	"log"

	"github.com/hashicorp/go-hclog"
)

// libraryLog gives a logger for what the HTTP library says of callers' connections.
func (d *Daemon) libraryLog() *log.Logger {
	return d.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn})
}

// takeStandardLog turns what libraries write to the standard log of the process
// into JSON lines too.
func (d *Daemon) takeStandardLog() {
	log.SetFlags(0)
	log.SetOutput(d.logger.StandardWriter(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn}))
}
