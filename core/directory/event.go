// Package directory holds the control state of an entry VM: its cached copy of the
// configuration, the backend servers, the zones that are out, the rollouts and the other VMs,
// the age of each of these, and the schedule of the reads that keep them fresh. It is a reducer
// without I/O.
//
// A few VMs, the readers, read the store. The other VMs are their followers: they receive the
// changes from the VMs that they follow, their upstreams, and read the store themselves only
// when those do not keep a kind fresh.
package directory

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Kind is one kind of object in the store. Each kind is read and aged separately.
type Kind uint8

// The kinds that a VM reads.
const (
	KindConfig Kind = iota
	KindReplicas
	KindZonesOut
	KindRollouts
	KindVMs
	kinds
)

// KindCount is the number of kinds.
const KindCount = int(kinds)

var kindNames = [kinds]string{"config", "replicas", "zones_out", "rollouts", "vms"}

// String implements fmt.Stringer.
func (k Kind) String() string { return kindNames[k] }

// Kinds lists all kinds.
func Kinds() []Kind { return []Kind{KindConfig, KindReplicas, KindZonesOut, KindRollouts, KindVMs} }

// Value is the decoded content of an object: *model.EntryConfig, *model.Replica, *model.Rollout or
// *model.EntryVM. It is nil for a zone that is out, of which only the name matters.
type Value any

// Change is the latest state of one object, or its removal.
type Change struct {
	Name string
	// Position is that of the change in the store. Era 0 stands for the era of the answer or update with
	// the change.
	Position model.Position
	Removed  bool
	Value    Value
	// Problem is the reason why the object could not be decoded. Value is nil then.
	Problem string
	// Data is the encoded object as received from the store, for relaying to followers.
	Data []byte
}

// Update is a set of changes of one kind that a VM relays to its followers.
type Update struct {
	Kind     Kind
	Full     bool           // Changes lists all objects of the kind
	Since    model.Position // position after which Changes is complete; unused if Full
	Position model.Position // position up to which Changes is complete
	Changes  []Change
}

// Ages holds, by kind, the time since the store last confirmed the cached objects. It is
// UnknownAge for a kind that has not been read yet.
type Ages [kinds]time.Duration

// UnknownAge is the age of a kind that has not been read yet.
const UnknownAge = time.Duration(-1)

// Event is an input of the reducer.
type Event interface{ event() }

// Events of the reducer. An era of 0 means that the store has not stated its era.
type (
	// Started is the first event; reads and messages begin with it.
	Started struct{}
	// Listed carries all objects of a kind, read from the store.
	Listed struct {
		Kind     Kind
		Position model.Position // position of the store that the list reflects
		Changes  []Change
	}
	// Changed carries the changes of a kind after the position of the Watch. There may be none.
	Changed struct {
		Kind     Kind
		Position model.Position
		Changes  []Change
	}
	// HistoryGone reports that the store no longer holds the changes after the last read, so that
	// the kind has to be listed.
	HistoryGone struct {
		Kind Kind
		Era  uint64
	}
	// ReadFailed reports a list or watch that failed or timed out. Era is that of the failed answer, 0 if
	// there was none.
	ReadFailed struct {
		Kind  Kind
		Cause string
		Era   uint64
	}
	// RegistrationEnded reports that an attempt to register this VM ended. Cause is the error, or ""
	// after success.
	RegistrationEnded struct{ Cause string }
	// UpstreamStatusReceived carries a status message of an upstream: the ages of its view, its
	// running rollouts, and changes unless Update is nil.
	UpstreamStatusReceived struct {
		From model.VM
		// Era is the highest era of the store that the upstream knows, 0 if it does not tell.
		Era      uint64
		Ages     Ages
		Rollouts []RolloutStatus // running rollouts
		Update   *Update
		Leaving  bool
		// Loads are the loads of all VMs together, as the upstream knows them. LoadsWanted means that it
		// needs those of its followers.
		Loads       []model.RouteLoad
		LoadsWanted bool
	}
	// FollowEnded reports that the stream from an upstream failed or was closed by it.
	FollowEnded struct {
		From  model.VM
		Cause string
	}
	// FollowerJoined and FollowerLeft report that a VM has begun or stopped to follow this one.
	FollowerJoined struct{ Follower uint64 }
	FollowerLeft   struct{ Follower uint64 }
	// Resumed reports that this VM was paused or suspended. It may have missed changes, and messages
	// that arrived meanwhile may be as old as the pause.
	Resumed struct{}
	// NewerConfigSeen reports that another VM uses a newer configuration than this one, which has not
	// arrived here.
	NewerConfigSeen struct{ Version uint64 }
	// ReadCancelled reports that a read was ended by RestartReads.
	ReadCancelled struct{ Kind Kind }
	// Woken reports that the time of the last Wake has been reached.
	Woken struct{}
)

func (Started) event()                {}
func (Listed) event()                 {}
func (Changed) event()                {}
func (HistoryGone) event()            {}
func (ReadFailed) event()             {}
func (RegistrationEnded) event()      {}
func (UpstreamStatusReceived) event() {}
func (FollowEnded) event()            {}
func (FollowerJoined) event()         {}
func (FollowerLeft) event()           {}
func (Resumed) event()                {}
func (NewerConfigSeen) event()        {}
func (ReadCancelled) event()          {}
func (Woken) event()                  {}

// Effect is an output of the reducer.
type Effect interface{ effect() }

// Effects of the reducer.
type (
	// List reads all objects of a kind.
	List struct{ Kind Kind }
	// Watch reads the changes of a kind after the position Since. If there are none yet, the store
	// waits up to MaxWait for one before it answers.
	Watch struct {
		Kind    Kind
		Since   model.Position
		MaxWait time.Duration
	}
	// RestartReads ends all running reads and closes the connections to the store, so that later
	// reads use new ones. Each read is reported as ReadCancelled unless its result is already queued.
	RestartReads struct{}
	// Follow opens a stream of status messages from another VM, and Unfollow closes it.
	Follow struct {
		VM      model.VM
		Address string
	}
	Unfollow struct{ VM model.VM }
	// SendUpdate sends a status message to one follower, or to all if Follower is 0. Update is nil
	// if the message carries only the ages and the rollouts.
	SendUpdate struct {
		Follower uint64
		Era      uint64 // highest era of the store that this VM knows
		Ages     Ages
		Rollouts []RolloutStatus
		Update   *Update
		// Loads and LoadsWanted are as in UpstreamStatusReceived.
		Loads       []model.RouteLoad
		LoadsWanted bool
	}
	// PublishView publishes a new view to the traffic workers.
	PublishView struct{ View *model.EntryView }
	// Wake requests a Woken event at a time. A later Wake replaces it.
	Wake struct{ At model.Time }
	// Log writes a line to the log.
	Log struct{ logline.Line }
)

func (List) effect()         {}
func (RestartReads) effect() {}
func (Watch) effect()        {}
func (PublishView) effect()  {}
func (Follow) effect()       {}
func (Unfollow) effect()     {}
func (SendUpdate) effect()   {}
func (Wake) effect()         {}
func (Log) effect()          {}
