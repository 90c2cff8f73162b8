package daisyquota

import "daisyyoke/core/daisyvm"

// Outbox gathers requests for tokens, so that those to one VM travel in one message.
type Outbox struct{ pending map[daisyvm.Name][]Request }

// NewOutbox returns an empty Outbox.
func NewOutbox() *Outbox { return &Outbox{pending: make(map[daisyvm.Name][]Request)} }

// Add adds a request. If it is urgent, Add returns all those to the same VM, which are then
// to be sent.
func (o *Outbox) Add(d SendRequest) []Request {
	requests := append(o.pending[d.To], d.Request)
	if d.Urgent {
		delete(o.pending, d.To)
		return requests
	}
	o.pending[d.To] = requests
	return nil
}

// TakeAll returns the gathered requests by VM and leaves the Outbox empty. It returns nil
// if there are none.
func (o *Outbox) TakeAll() map[daisyvm.Name][]Request {
	if len(o.pending) == 0 {
		return nil
	}
	all := o.pending
	o.pending = make(map[daisyvm.Name][]Request)
	return all
}
