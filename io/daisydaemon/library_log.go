package daisydaemon

import (
	"log"

	"github.com/hashicorp/go-hclog"
)

// httpErrorLog returns the logger for errors that the HTTP library reports about callers'
// connections.
func (d *Daemon) httpErrorLog() *log.Logger {
	return d.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn})
}

// redirectStandardLog redirects the standard logger of the process, which libraries write
// to, to the log of the daemon.
func (d *Daemon) redirectStandardLog() {
	log.SetFlags(0)
	log.SetOutput(d.logger.StandardWriter(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn}))
}
