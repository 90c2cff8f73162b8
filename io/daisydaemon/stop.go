package daisydaemon

import "daisyyoke/io/daisycontroller"

// startStop starts what carries planned stops out. Messages of other VMs come in
// from here on, since the receivers of all of them stand.
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

// WantStop begins a planned stop; Stopped is closed at its end.
func (d *Daemon) WantStop(by string) { d.stop.WantStop(by) }

// Stopped is closed once a planned stop has finished every request.
func (d *Daemon) Stopped() <-chan struct{} { return d.stop.Finished() }
