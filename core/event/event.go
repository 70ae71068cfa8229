// Package event defines every input of the reducer. Events are plain data, so that a
// run can be recorded and replayed.
package event

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// Event is one input of the reducer.
type Event interface{ event() }

// Events of the control role.
type (
	// Tick arrives every TickInterval with the wall clock, which is used only for the
	// deadlines of moves and pauses.
	Tick struct{ Wall time.Time }

	// HeartbeatReceived is a heartbeat of another VM in the ownership group.
	HeartbeatReceived struct{ Heartbeat Heartbeat }

	// VMsListed is a new reading of the platform's list of VMs, which lags.
	VMsListed struct{ VMs []ListedVM }

	// ObjectsReceived carries objects read from the store or pulled from a peer.
	ObjectsReceived struct {
		FromStore bool
		Peer      model.VM // the sender if not from the store
		Revision  uint64   // revision up to which Objects is complete
		Objects   []model.Object
	}

	// StoreFailed reports that a read or watch failed.
	StoreFailed struct {
		Op     string
		Reason string
	}

	// PullFailed reports that a peer could not be asked for objects.
	PullFailed struct{ Peer model.VM }

	// WriteDone reports the end of a conditional write.
	WriteDone struct {
		Write   uint64 // number given by effect.WriteObject
		Outcome WriteOutcome
		Object  model.Object // the object as stored now, for WriteOK and WriteConflict
		Reason  string
	}

	// OperatorCommand is a request of an operator.
	OperatorCommand struct {
		Command uint64 // number for effect.ReplyOperator
		By      string
		Body    Command
	}

	// MoveOutcomes carries outcomes of paired requests counted by a traffic worker since its
	// last report.
	MoveOutcomes struct{ Evidence model.MoveEvidence }

	// KeyDrained reports that a traffic worker has stopped dispatching for a key that this VM
	// is handing over, with the attempts that still run and the cold-start states.
	KeyDrained struct {
		Key     model.ShardKey
		Term    uint64
		Running []Remaining
		Submits []RecentSubmit
		Servers []model.ServerState
	}

	// ReleaseReceived hands keys over from their previous owner.
	ReleaseReceived struct{ Release Release }

	// LeaveRequested starts a graceful leave of this VM.
	LeaveRequested struct{}
)

// Events of the traffic role.
type (
	// ViewPublished replaces the view.
	ViewPublished struct{ View *model.View }

	// RequestReceived is a request of a caller, taken by this VM as entry daemon.
	RequestReceived struct{ Request model.Request }

	// CallerGone reports that the caller of a query has disconnected.
	CallerGone struct{ Query model.QueryID }

	// SubRequestsReceived carries sub-requests for keys that this VM owns.
	SubRequestsReceived struct{ Requests []model.SubRequest }

	// SubRepliesReceived carries replies of an owner.
	SubRepliesReceived struct {
		From    model.VM
		Replies []model.SubReply
	}

	// CancelsReceived withdraws sub-requests of an entry daemon.
	CancelsReceived struct {
		Entry   model.VM
		Cancels []Cancel
	}

	// SendFailed reports that sub-requests to a peer could not be delivered. Sent is true
	// when they may have arrived.
	SendFailed struct {
		To       model.VM
		Requests []model.SubRequest
		Sent     bool
	}

	// PeerLost reports that a connection to a peer broke; replies to what was sent on it
	// will not arrive.
	PeerLost struct {
		VM         model.VM
		Connection Connection
	}

	// AttemptDone is the end of an attempt.
	AttemptDone struct {
		Attempt model.AttemptID
		Result  model.AttemptResult
	}

	// DrainKey asks the traffic worker to stop dispatching for a key and report KeyDrained.
	DrainKey struct {
		Key  model.ShardKey
		Term uint64
	}
)

// Wake is the timer asked for by effect.WakeAt. Both roles receive it.
type Wake struct{}

// Heartbeat is the periodic message between the VMs of an ownership group.
type Heartbeat struct {
	From     model.VM
	Boot     model.Boot
	Zone     model.AvailabilityZone
	Address  string
	Sequence uint64
	SentAt   model.Time // the sender's clock; echoed back to it
	Roster   uint64     // roster revision the sender uses, 0 if none
	Supports []Support
	Digest   uint64 // of the configuration the sender has in force
	Revision uint64 // highest object version the sender has applied
	Leaving  bool
	Abstains bool // the sender claims no key with this boot any more
	Entry    bool // the sender takes requests of callers
	Evidence []model.MoveEvidence
	// Overrides are restrictions that operators asked for while the store was down.
	Overrides []Override
	StoreUp   bool // the sender reached the store within the last few seconds
}

// Support states that the sender counts VM as alive now.
type Support struct {
	VM     model.VM
	Boot   model.Boot
	SentAt model.Time // send time of the last heartbeat received from VM, by VM's clock
}

// Override is a zone-out or a pause that acts before the store has accepted it.
type Override struct {
	Key   model.ObjectKey
	Base  uint64 // version of the object that it replaces
	Clock uint64 // Lamport clock; the higher wins, then the lower VM
	VM    model.VM
	Zone  *model.ZoneState
	Pause *model.AutomationState
}

// Release hands shard keys over to their next owner.
type Release struct {
	From model.VM
	Boot model.Boot
	To   model.VM
	Keys []ReleasedKey
}

// RecentSubmit is an idempotency key that the previous owner has seen.
type RecentSubmit struct {
	Dedupe string
	Age    time.Duration
	NotRun bool // the submit is known not to have run
}

// ReleasedKey is one key with the attempts of the previous owner that still run and the
// cold-start states of its backend servers.
type ReleasedKey struct {
	Key     model.ShardKey
	Running []Remaining
	Submits []RecentSubmit
	Servers []model.ServerState
}

// Remaining is a running attempt with the longest time for which it can still occupy a slot.
type Remaining struct {
	Server model.BackendServerID
	Left   time.Duration
}

// Cancel withdraws one sub-request.
type Cancel struct {
	Query model.QueryID
	Run   uint32
	Key   model.ShardKey
}

// ListedVM is one entry of the platform's list.
type ListedVM struct {
	VM      model.VM
	Zone    model.AvailabilityZone
	Address string
	Leaving bool
}

// WriteOutcome is the result of a conditional write.
type WriteOutcome uint8

// Outcomes of a conditional write.
const (
	WriteOK       WriteOutcome = iota
	WriteConflict              // the object has another version; nothing was written
	WriteFailed                // refused before it could take effect; nothing was written
	WriteUnknown               // the answer was lost; it may have taken effect
)

// Connection says in which direction sub-requests went over a connection.
type Connection uint8

// Connections with a peer. Each of the two breaks without the other.
const (
	ConnectionBoth Connection = iota
	ConnectionOut             // to the peer as owner
	ConnectionIn              // from the peer as entry daemon
)

// Command is the body of an operator's request.
type Command interface{ command() }

// Commands of operators.
type (
	// ApplyTemplate stores a template. IfVersion is the version that it was made from; 0 for
	// a new one.
	ApplyTemplate struct {
		Template  model.Template
		IfVersion uint64
	}
	// SetZone takes an availability zone out or back in.
	SetZone struct {
		Zone   model.AvailabilityZone
		Out    bool
		Reason string
	}
	// SetPause pauses or resumes automation. Until is optional.
	SetPause struct {
		Paused bool
		Until  time.Time
		Reason string
	}
	// StartMove begins a move.
	StartMove struct{ Move model.Move }
	// TakeBackMove takes a running move back on the operator's word.
	TakeBackMove struct {
		Name   string
		Reason string
	}
)

func (ApplyTemplate) command() {}
func (SetZone) command()       {}
func (SetPause) command()      {}
func (StartMove) command()     {}
func (TakeBackMove) command()  {}

func (Tick) event()                {}
func (HeartbeatReceived) event()   {}
func (VMsListed) event()           {}
func (ObjectsReceived) event()     {}
func (StoreFailed) event()         {}
func (PullFailed) event()          {}
func (WriteDone) event()           {}
func (OperatorCommand) event()     {}
func (MoveOutcomes) event()        {}
func (KeyDrained) event()          {}
func (ReleaseReceived) event()     {}
func (LeaveRequested) event()      {}
func (ViewPublished) event()       {}
func (RequestReceived) event()     {}
func (CallerGone) event()          {}
func (SubRequestsReceived) event() {}
func (SubRepliesReceived) event()  {}
func (CancelsReceived) event()     {}
func (SendFailed) event()          {}
func (PeerLost) event()            {}
func (AttemptDone) event()         {}
func (DrainKey) event()            {}
func (Wake) event()                {}
