package daisyvm

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyfleet"
)

// State is what a VM thinks of another.
type State int

const (
	// Unheard is a VM that is known by name, and that nobody has heard.
	Unheard State = iota
	// Live is a VM heard within SuspectAfter.
	Live
	// Suspect is a VM that nobody has heard for SuspectAfter.
	Suspect
	// Dead is a VM that nobody has heard for DeadAfter, or that was replaced.
	Dead
)

// String gives the state in kebab case.
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

// Status is what a VM says of itself in every heartbeat.
type Status struct {
	// Revision numbers the configuration in force; 0 means none.
	Revision uint64
	// Spare is the number of further requests that it could start at once.
	Spare uint32
	// Leaving says that a planned stop has begun.
	Leaving bool
	// Ready says that every service of its configuration can be served.
	Ready bool
	// Stopping says that a planned stop is wanted or has begun.
	Stopping bool
}

// Member is one VM as this VM sees it.
type Member struct {
	VM     VM
	State  State
	Status Status
	// RoundTrip is the smoothed time to the VM and back; 0 if not measured yet.
	RoundTrip time.Duration
	// HeardAt is when the latest proof of life arrived, its own or by the word of a peer.
	HeardAt time.Time
	// DirectAt is when its own latest heartbeat arrived.
	DirectAt time.Time
	// Listed is the platform's word.
	Listed ListWord
}

// ListWord is what the platform's list says of a VM. The list lags.
type ListWord int

const (
	// NotListed is a VM that the list has never named.
	NotListed ListWord = iota
	// ListedLive is a VM that the list names.
	ListedLive
	// ListedLeaving is a VM that the list names as leaving.
	ListedLeaving
	// Delisted is a VM that the list named before.
	Delisted
)

// Listed is one entry of the platform's list.
type Listed struct {
	Name    Name
	Zone    daisyfleet.ZoneID
	Peers   netip.AddrPort
	Leaving bool
}

// MemberEvent is something that happened to the membership. It is one of
// HeartbeatArrived, LinkOpened, PlatformListed, SelfChanged and TimePassed.
type MemberEvent interface{ memberEvent() }

// HeartbeatArrived brings a VM's own heartbeat.
type HeartbeatArrived struct {
	VM       VM
	Sequence uint64
	Status   Status
	// Sent is the sender's clock.
	Sent time.Time
	// Echo is this VM's clock in the last heartbeat that the sender got; zero for none.
	Echo time.Time
	// EchoHeld is how long the sender held that heartbeat.
	EchoHeld   time.Duration
	Heard      []Heard
	Introduced []VM
}

// LinkOpened says that a link to a VM was made.
type LinkOpened struct{ VM VM }

// PlatformListed brings the platform's list.
type PlatformListed struct{ VMs []Listed }

// SelfChanged brings this VM's own status.
type SelfChanged struct{ Status Status }

// TimePassed says that the time of NextWake has come.
type TimePassed struct{}

func (HeartbeatArrived) memberEvent() {}
func (LinkOpened) memberEvent()       {}
func (PlatformListed) memberEvent()   {}
func (SelfChanged) memberEvent()      {}
func (TimePassed) memberEvent()       {}

// MemberDecision is something for the holder of Members to do. It is one of
// SendHeartbeat, Connect, Forget, PeersChanged, StateChanged and Superseded.
type MemberDecision interface{ memberDecision() }

// SendHeartbeat sends a heartbeat with this VM's status.
type SendHeartbeat struct {
	To         Name
	Sequence   uint64
	Status     Status
	Echo       time.Time
	EchoHeld   time.Duration
	Heard      []Heard
	Introduced []VM
}

// Connect keeps a link to a VM from now on.
type Connect struct{ VM VM }

// Forget gives up the attempts to link a VM.
type Forget struct{ Name Name }

// PeersChanged brings the VMs that share the services, this one among them
// unless it leaves and others stay, in the order of their names.
type PeersChanged struct {
	VMs []VM
	// Leaving are those in a planned stop, maybe this one too: they own nothing any
	// more, and hold credits as long as they finish requests.
	Leaving []VM
}

// StateChanged says that a VM is seen in another state.
type StateChanged struct {
	Member Member
	Was    State
}

// Superseded says that a later incarnation has this VM's name.
type Superseded struct{ By VM }

func (SendHeartbeat) memberDecision() {}
func (Connect) memberDecision()       {}
func (Forget) memberDecision()        {}
func (PeersChanged) memberDecision()  {}
func (StateChanged) memberDecision()  {}
func (Superseded) memberDecision()    {}
