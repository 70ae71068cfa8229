// Package directory is the control state of an entry VM: what it believes of the
// configuration, the backend servers, the zones that are out and the other VMs, how old each
// belief is, and when to read the store again. It is a reducer without I/O.
package directory

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Kind is a kind of objects in the store.
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

// Value is what an object holds: *model.EntryConfig, *model.Replica, *model.Rollout,
// *model.EntryVM, or nil for a zone that is out, whose name says all.
type Value any

// Change is one object as it is now.
type Change struct {
	Name     string
	Revision uint64
	Removed  bool
	Value    Value
	// Problem says why the object cannot be read; Value is nil then.
	Problem string
	// Data is the object as the store sent it, for other VMs.
	Data []byte
}

// Update is what one VM passes on to another about a kind.
type Update struct {
	Kind     Kind
	Full     bool   // the changes are all objects of the kind
	Since    uint64 // revision after which the changes are complete, unless Full
	Revision uint64 // up to which they are complete
	Changes  []Change
}

// Ages has, by kind, the time since the store last confirmed what is known. UnknownAge stands
// for a kind of which nothing is known.
type Ages [kinds]time.Duration

// UnknownAge is the age of a kind of which nothing is known.
const UnknownAge = time.Duration(-1)

// Event is an input of the reducer.
type Event interface{ event() }

// Events of the reducer.
type (
	// Started begins the work.
	Started struct{}
	// Listed brings all objects of a kind.
	Listed struct {
		Kind     Kind
		Revision uint64 // of the store, at which the list is complete
		Changes  []Change
	}
	// Changed brings the changes since the revision of the last read; there may be none.
	Changed struct {
		Kind     Kind
		Revision uint64
		Changes  []Change
	}
	// HistoryGone reports that the store no longer knows the changes since the last read.
	HistoryGone struct{ Kind Kind }
	// ReadFailed reports a read without an answer.
	ReadFailed struct {
		Kind  Kind
		Cause string
	}
	// Registered reports how the registration of this VM ended.
	Registered struct{ Cause string } // "" after success
	// UpstreamStatusReceived reports a status message of an upstream: the ages of what it
	// knows, its running rollouts, and changes unless Update is nil.
	UpstreamStatusReceived struct {
		From     model.VM
		Ages     Ages
		Rollouts []RolloutStatus // running rollouts
		Update   *Update
		Leaving  bool
	}
	// FollowEnded reports that a VM can no longer be followed.
	FollowEnded struct {
		From  model.VM
		Cause string
	}
	// FollowerJoined and FollowerLeft report the VMs that follow this one.
	FollowerJoined struct{ Follower uint64 }
	FollowerLeft   struct{ Follower uint64 }
	// Woken reports that the time of the last Wake has come.
	Woken struct{}
)

func (Started) event()                {}
func (Listed) event()                 {}
func (Changed) event()                {}
func (HistoryGone) event()            {}
func (ReadFailed) event()             {}
func (Registered) event()             {}
func (UpstreamStatusReceived) event() {}
func (FollowEnded) event()            {}
func (FollowerJoined) event()         {}
func (FollowerLeft) event()           {}
func (Woken) event()                  {}

// Effect is an output of the reducer.
type Effect interface{ effect() }

// Effects of the reducer.
type (
	// List reads all objects of a kind.
	List struct{ Kind Kind }
	// Watch waits for a change of a kind since a revision, for Wait at most.
	Watch struct {
		Kind  Kind
		Since uint64
		Wait  time.Duration
	}
	// Register writes the entry of this VM. Again tells that it has been written before.
	Register struct{ Again bool }
	// Follow opens a stream of what another VM knows, and Unfollow closes it.
	Follow struct {
		VM      model.VM
		Address string
	}
	Unfollow struct{ VM model.VM }
	// SendUpdate sends an update to one follower, or to all if Follower is 0. Update is nil
	// if the message carries only the ages and the rollouts.
	SendUpdate struct {
		Follower uint64
		Ages     Ages
		Rollouts []RolloutStatus
		Update   *Update
	}
	// PublishView publishes a new view to the traffic workers.
	PublishView struct{ View *model.EntryView }
	// Wake asks for Woken at a time. A later Wake replaces it.
	Wake struct{ At model.Time }
	// Log writes a line to the log.
	Log struct{ logline.Line }
)

func (List) effect()        {}
func (Watch) effect()       {}
func (Register) effect()    {}
func (PublishView) effect() {}
func (Follow) effect()      {}
func (Unfollow) effect()    {}
func (SendUpdate) effect()  {}
func (Wake) effect()        {}
func (Log) effect()         {}
