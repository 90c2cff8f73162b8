package daisyvm

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyfleet"
)

// State is the liveness of a VM as another VM sees it.
type State int

const (
	// Unheard is a VM that is known by name but has not been heard from yet.
	Unheard State = iota
	// Live is a VM heard from within SuspectAfter, directly or through a peer.
	Live
	// Suspect is a VM not heard from for SuspectAfter.
	Suspect
	// Dead is a VM not heard from for DeadAfter, or for SuspectAfter if the platform
	// lists it as leaving or no longer lists it, or a VM whose address another VM has
	// taken.
	Dead
)

// String returns the state in kebab case.
func (s State) String() string {
	switch s {
	case Unheard:
		return "unheard"
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return "unknown"
}

// Status is what a VM reports about itself in every heartbeat.
type Status struct {
	// Revision is the revision of the configuration in force; 0 means none.
	Revision uint64
	// Spare is the number of additional requests that the VM could start at once.
	Spare uint32
	// Leaving reports whether a planned stop has begun.
	Leaving bool
	// Ready reports whether the VM can serve every service of its configuration.
	Ready bool
	// Stopping reports whether a planned stop has been requested or has begun.
	Stopping bool
}

// Member is a VM as another VM sees it.
type Member struct {
	VM     VM
	State  State
	Status Status
	// RoundTrip is the smoothed round-trip time to the VM; 0 if not measured yet.
	RoundTrip time.Duration
	// HeardAt is when the latest evidence that the VM is alive arrived, from the VM
	// itself or through a peer.
	HeardAt time.Time
	// DirectAt is when the latest heartbeat from the VM itself arrived.
	DirectAt time.Time
	// Listed is the VM's status in the platform's list.
	Listed ListStatus
}

// ListStatus is a VM's status in the platform's list of VMs. The list lags behind the
// actual state.
type ListStatus int

const (
	// NotListed is a VM that the list has never contained.
	NotListed ListStatus = iota
	// ListedLive is a VM that the list contains and does not mark as leaving.
	ListedLive
	// ListedLeaving is a VM that the list marks as leaving.
	ListedLeaving
	// Delisted is a VM that the list contained before and no longer does.
	Delisted
)

// ListedVM is one entry of the platform's list of VMs.
type ListedVM struct {
	Name    Name
	Zone    daisyfleet.ZoneID
	Peers   netip.AddrPort
	Leaving bool
}

// MemberEvent is an input to a Membership. It is one of HeartbeatArrived, LinkOpened,
// PlatformListed, SelfChanged and TimePassed.
type MemberEvent interface{ memberEvent() }

// HeartbeatArrived carries a heartbeat that arrived directly from VM.
type HeartbeatArrived struct {
	VM       VM
	Sequence uint64
	Status   Status
	// Sent is the sender's clock when it sent the heartbeat.
	Sent time.Time
	// Echo is this VM's clock as carried by the last heartbeat that the sender
	// received from it; zero if none arrived.
	Echo time.Time
	// EchoHeld is how long before Sent the sender received that heartbeat.
	EchoHeld   time.Duration
	Heard      []HeartbeatReport
	Introduced []VM
}

// LinkOpened reports that a link to a VM was established.
type LinkOpened struct{ VM VM }

// PlatformListed carries the platform's list of VMs.
type PlatformListed struct{ VMs []ListedVM }

// SelfChanged carries this VM's own new status.
type SelfChanged struct{ Status Status }

// TimePassed reports that the time returned by NextWake has come.
type TimePassed struct{}

func (HeartbeatArrived) memberEvent() {}
func (LinkOpened) memberEvent()       {}
func (PlatformListed) memberEvent()   {}
func (SelfChanged) memberEvent()      {}
func (TimePassed) memberEvent()       {}

// MemberDecision is an action that the controller of a Membership has to carry out. It
// is one of SendHeartbeat, Connect, Forget, PeersChanged, StateChanged and Superseded.
type MemberDecision interface{ memberDecision() }

// SendHeartbeat sends a heartbeat with this VM's status to another VM.
type SendHeartbeat struct {
	To         Name
	Sequence   uint64
	Status     Status
	Echo       time.Time
	EchoHeld   time.Duration
	Heard      []HeartbeatReport
	Introduced []VM
}

// Connect keeps a link to a VM open from now on.
type Connect struct{ VM VM }

// Forget stops the attempts to connect to a VM.
type Forget struct{ Name Name }

// PeersChanged carries the VMs among which the services are divided, sorted by name.
// This VM is one of them, unless it is leaving and others remain.
type PeersChanged struct {
	VMs []VM
	// Leaving lists the VMs in a planned stop, possibly this one too. They no longer
	// own any service, but hold credits until they have finished their requests.
	Leaving []VM
}

// StateChanged reports that a VM has moved to another state.
type StateChanged struct {
	Member   Member
	Previous State
}

// Superseded reports that a later incarnation has this VM's name.
type Superseded struct{ By VM }

func (SendHeartbeat) memberDecision() {}
func (Connect) memberDecision()       {}
func (Forget) memberDecision()        {}
func (PeersChanged) memberDecision()  {}
func (StateChanged) memberDecision()  {}
func (Superseded) memberDecision()    {}
