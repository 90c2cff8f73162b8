package daisycontroller

import (
	"sync"

	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyvm"
)

// Stopper starts a planned stop of this VM.
type Stopper interface {
	RequestStop(by string)
}

// Receivers are the controllers that handle messages from other VMs.
type Receivers struct {
	Member *Member
	// Config is nil on a VM whose configuration comes from a feed; on any other VM
	// Follow is nil.
	Config *Config
	Follow *Follow
	Route  *Route
	// Quota is nil on a VM without client accounts.
	Quota   *Quota
	Stopper Stopper
}

// receiveConfig passes a message to the controller that keeps the configuration.
func (r Receivers) receiveConfig(from daisyvm.Name, message daisymessage.Message) {
	if r.Config != nil {
		r.Config.Receive(from, message)
	}
	if r.Follow != nil {
		r.Follow.Receive(from, message)
	}
}

// Inbox dispatches messages from other VMs to the controllers. The links need it
// before the controllers exist, so its methods block until Attach or Close.
type Inbox struct {
	attached  chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	receivers Receivers
}

// NewInbox returns an inbox without receivers.
func NewInbox() *Inbox {
	return &Inbox{attached: make(chan struct{}), closed: make(chan struct{})}
}

// Attach sets the receivers. It must be called at most once.
func (i *Inbox) Attach(receivers Receivers) {
	i.receivers = receivers
	close(i.attached)
}

// Close drops the messages that wait for Attach, and those that arrive later if
// Attach was not called.
func (i *Inbox) Close() { i.closeOnce.Do(func() { close(i.closed) }) }

func (i *Inbox) waitAttached() bool {
	select {
	case <-i.attached:
		return true
	default:
	}
	select {
	case <-i.attached:
		return true
	case <-i.closed:
		return false
	}
}

// LinkOpened notifies the Member controller of a new link.
func (i *Inbox) LinkOpened(vm daisyvm.VM) {
	if i.waitAttached() {
		i.receivers.Member.LinkOpened(vm)
	}
}

// Receive passes a message to the controllers that it concerns.
func (i *Inbox) Receive(from daisyvm.Name, message daisymessage.Message) {
	if !i.waitAttached() {
		return
	}
	r := i.receivers
	switch m := message.(type) {
	case daisymessage.Heartbeat:
		r.Member.Receive(from, m)
		r.receiveConfig(from, m)
	case daisymessage.SnapshotWanted, daisymessage.SnapshotGiven, daisymessage.RowsWanted, daisymessage.RowsGiven:
		r.receiveConfig(from, m)
	case daisymessage.CreditReport:
		r.Route.Receive(from, m.Report.Service, m)
	case daisymessage.CreditGrant:
		r.Route.Receive(from, m.Grant.Service, m)
	case daisymessage.EndpointNews:
		r.Route.Receive(from, m.Service, m)
	case daisymessage.EndpointLeaving:
		r.Route.Receive(from, m.Service, m)
	case daisymessage.CrashFindings:
		r.Route.ReceiveFindings(m)
	case daisymessage.QuotaRequests, daisymessage.QuotaGrants:
		if r.Quota != nil {
			r.Quota.Receive(from, m)
		}
	case daisymessage.StopWanted:
		r.Stopper.RequestStop(m.By)
	}
}
