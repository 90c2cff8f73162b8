package daisyendpoint

// Reachability is what an attempt to connect to an endpoint has shown. It is one of
// Accepting, Refusing and Silent.
type Reachability interface{ reachability() }

// Accepting means that a process accepts connections at the address.
type Accepting struct{}

// Refusing means that no process listens at the address.
type Refusing struct{}

// Silent means that there was no reply: the machine or the way to it may be down.
type Silent struct{}

func (Accepting) reachability() {}
func (Refusing) reachability()  {}
func (Silent) reachability()    {}
