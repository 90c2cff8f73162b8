package daisydaemon

import (
	"context"
	"time"

	"daisyyoke/core/daisyvm"
)

// drainLimit bounds the wait for requests in flight.
const drainLimit = 15 * time.Minute

// WantStop begins a planned stop; Stopped is closed at its end.
func (d *Daemon) WantStop(by string) {
	d.stopping.Do(func() {
		d.logger.Info("planned stop", "by", by)
		d.stops.Go(func() {
			d.members.SetStopping(true, true)
			d.callers.Leave()
			<-time.After(time.Until(daisyvm.ServesUntil(time.Now())))
			ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
			defer cancel()
			if err := d.callers.Shutdown(ctx); err != nil {
				d.logger.Error("planned stop", "error", err)
			}
			close(d.stopped)
		})
	})
}

// Stopped is closed once a planned stop has finished every request.
func (d *Daemon) Stopped() <-chan struct{} { return d.stopped }
