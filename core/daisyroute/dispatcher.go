package daisyroute

import (
	"math/rand/v2"
	"time"

	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// Dispatcher routes the requests of one service on one VM.
type Dispatcher struct {
	self    daisyvm.Name
	service daisyservice.Service
	random  *rand.Rand
}

// NewDispatcher gives a dispatcher for a service on the VM self. All its random choices come from random.
func NewDispatcher(self daisyvm.VM, service daisyservice.Service, random *rand.Rand) *Dispatcher {
	return &Dispatcher{self: self.Name, service: service, random: random}
}

// Handle takes an event that happened at now and gives what has to be done.
func (d *Dispatcher) Handle(_ time.Time, _ Event) []Decision {
	return nil
}

// NextWake gives when TimePassed has to be handled next; the zero time means never.
func (d *Dispatcher) NextWake() time.Time { return time.Time{} }
