package daisydaemon

import "daisyyoke/io/daisycontroller"

// startStop starts the controllers that execute planned stops. It attaches the receivers
// to the inbox last, once all of them exist; messages from other VMs wait until then.
func (d *Daemon) startStop() error {
	leases := daisycontroller.NewLease(daisycontroller.LeaseOptions{
		Self:     d.self,
		Platform: d.platform,
		Logger:   d.logger,
		Seed:     uint64(d.self.Incarnation),
	})
	d.onClose(leases.Close)
	d.stop = daisycontroller.NewStop(daisycontroller.StopOptions{
		Member:  d.members,
		Leases:  leases,
		Sender:  d.linker(),
		Callers: d.callers,
		Logger:  d.logger,
	})
	d.onClose(d.stop.Close)
	d.inbox.Attach(daisycontroller.Receivers{Member: d.members, Config: d.config, Route: d.routes, Stopper: d.stop})
	return nil
}

// RequestStop starts a planned stop; by names who requested it. The channel that Stopped
// returns is closed at its end.
func (d *Daemon) RequestStop(by string) { d.stop.RequestStop(by) }

// Stopped returns a channel that is closed when a planned stop has finished all requests.
func (d *Daemon) Stopped() <-chan struct{} { return d.stop.Finished() }
