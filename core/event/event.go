// Package event defines all inputs of the reducer. Events are plain data, which lets a run be
// recorded and replayed. Traces hold the names of event types and fields.
package event

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// Event is one input of the reducer.
type Event interface{ event() }

// Events of the control role.
type (
	// Tick arrives at every tick interval with the wall-clock time, which is used only for the
	// schedule of moves, the end of pauses, and the times that are stored with objects.
	Tick struct{ Wall time.Time }

	// HeartbeatReceived is a heartbeat of another VM in the ownership group.
	HeartbeatReceived struct{ Heartbeat Heartbeat }

	// VMsListed carries the platform's list of VMs, which may be out of date.
	VMsListed struct{ VMs []ListedVM }

	// ObjectsReceived carries objects read from the store or pulled from a peer.
	ObjectsReceived struct {
		FromStore bool
		Peer      model.VM // sender, unless FromStore
		Revision  uint64   // revision up to which Objects is complete
		Objects   []model.Object
	}

	// StoreFailed reports that a read or watch of the store failed.
	StoreFailed struct {
		Op     string
		Reason string
	}

	// PullFailed reports that objects could not be pulled from a peer.
	PullFailed struct{ Peer model.VM }

	// WriteDone reports the end of a conditional write.
	WriteDone struct {
		Write   uint64 // number of the write in effect.WriteObject
		Outcome WriteOutcome
		Object  model.Object // the object as stored now, for WriteOK and WriteConflict
		Reason  string
	}

	// OperatorCommand is a command of an operator.
	OperatorCommand struct {
		Command uint64 // number that effect.ReplyOperator refers to
		By      string
		Body    Command
	}

	// MoveOutcomes carries the outcomes of paired requests that a traffic worker has counted
	// since its last report.
	MoveOutcomes struct{ Evidence model.MoveEvidence }

	// KeyDrained reports that a traffic worker has stopped dispatching for a key that this VM
	// hands over. It carries the attempts that still run, the recent submits and the cold-start
	// states of the backend servers.
	KeyDrained struct {
		Key     model.ShardKey
		Term    uint64
		Running []Remaining
		Submits []RecentSubmit
		Servers []model.ServerState
	}

	// ReleaseReceived is the message with which a previous owner hands keys over to this VM.
	ReleaseReceived struct{ Release Release }

	// LeaveRequested starts a graceful leave of this VM.
	LeaveRequested struct{}
)

// Events of the traffic role.
type (
	// ViewPublished replaces the view that the worker uses.
	ViewPublished struct{ View *model.View }

	// RequestReceived is a request of a caller for which this VM is the entry daemon.
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

	// CancelsReceived cancels sub-requests of an entry daemon.
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

	// PeerLost reports that a connection to a peer broke. Replies to the sub-requests sent on it
	// will not arrive.
	PeerLost struct {
		VM         model.VM
		Connection Connection
	}

	// AttemptDone reports the end and the result of an attempt.
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

// Wake reports that the time requested by effect.WakeAt has been reached. Only the traffic role
// handles it.
type Wake struct{}

// Heartbeat is the periodic message between the VMs of an ownership group.
type Heartbeat struct {
	From     model.VM
	Boot     model.Boot
	Zone     model.AvailabilityZone
	Address  string
	Sequence uint64
	SentAt   model.Time // by the sender's clock; peers echo it in Supports
	Roster   uint64     // revision of the roster that the sender uses, 0 if none
	Supports []Support
	Digest   uint64 // digest of the configuration that the sender has in force
	Revision uint64 // highest object version the sender has applied
	Leaving  bool
	Abstains bool // the sender owns no key and will claim none with this boot
	Entry    bool // the sender accepts requests of callers
	Evidence []model.MoveEvidence
	// Overrides are restrictions that operators requested while the store was unavailable.
	Overrides []Override
	StoreUp   bool // the sender reached the store within the last few seconds
}

// Support states that the sender of a heartbeat counts VM as alive.
type Support struct {
	VM     model.VM
	Boot   model.Boot
	SentAt model.Time // send time of the last heartbeat received from VM, by VM's clock
}

// Override is a zone-out or a pause that is in force before the store has accepted it.
type Override struct {
	Key   model.ObjectKey
	Base  uint64 // version of the object that the override replaces
	Clock uint64 // Lamport clock; the higher one wins, ties go to the lower VM name
	VM    model.VM
	Zone  *model.ZoneState
	Pause *model.AutomationState
}

// Release is the message that hands shard keys over to their next owner.
type Release struct {
	From model.VM
	Boot model.Boot
	To   model.VM
	Keys []ReleasedKey
}

// RecentSubmit is an idempotency key that the previous owner has received.
type RecentSubmit struct {
	Dedupe string
	Age    time.Duration
	NotRun bool // the submit is known not to have run
}

// ReleasedKey is one key of a Release, with the attempts of the previous owner that still run, its
// recent submits and the cold-start states of its backend servers.
type ReleasedKey struct {
	Key     model.ShardKey
	Running []Remaining
	Submits []RecentSubmit
	Servers []model.ServerState
}

// Remaining is a running attempt. Left is the longest time that it can still occupy a slot.
type Remaining struct {
	Server model.BackendServerID
	Left   time.Duration
}

// Cancel identifies a sub-request to be cancelled.
type Cancel struct {
	Query model.QueryID
	Run   uint32
	Key   model.ShardKey
}

// ListedVM is one entry of the platform's list of VMs.
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
	WriteUnknown               // the answer was lost; the write may have taken effect
)

// Connection is the direction of the sub-requests on a connection with a peer.
type Connection uint8

// Directions of connections with a peer. There is one connection for each direction, and each can
// break without the other.
const (
	ConnectionBoth Connection = iota
	ConnectionOut             // to the peer as owner
	ConnectionIn              // from the peer as entry daemon
)

// Command is the body of an operator's command.
type Command interface{ command() }

// Commands of operators.
type (
	// ApplyTemplate stores a template. IfVersion is the version that the template was derived
	// from, or 0 for a new one.
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
	// TakeBackMove rolls a running move back at an operator's request.
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
