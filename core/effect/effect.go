// Package effect defines all outputs of the reducer. Effects are plain data; the runtime carries
// them out in order. Traces hold the names of effect types and fields.
package effect

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Effect is one output of the reducer.
type Effect interface{ effect() }

// List collects effects in order.
type List struct{ effects []Effect }

// Add appends an effect.
func (l *List) Add(e Effect) { l.effects = append(l.effects, e) }

// Take returns the collected effects and empties the list.
func (l *List) Take() []Effect {
	e := l.effects
	l.effects = nil
	return e
}

// Effects of the control role.
type (
	// SendHeartbeat sends a heartbeat to one peer.
	SendHeartbeat struct {
		To        model.VM
		Address   string
		Heartbeat event.Heartbeat
	}
	// WatchStore starts a watch of the store for changes after a revision. The runtime delivers
	// event.ObjectsReceived and event.StoreFailed and renews the watch until StopWatch.
	WatchStore struct{ Since uint64 }
	// StopWatch ends the watch.
	StopWatch struct{}
	// PullObjects requests the objects newer than a revision from a peer.
	PullObjects struct {
		Peer    model.VM
		Address string
		Since   uint64
	}
	// WriteObject writes an object if its stored version is IfVersion; 0 means that the object
	// must not exist.
	WriteObject struct {
		Write     uint64
		Object    model.Object
		IfVersion uint64
	}
	// ReadObject reads one object from the store. It arrives as event.ObjectsReceived.
	ReadObject struct{ Key model.ObjectKey }
	// ReplyOperator answers an operator's command.
	ReplyOperator struct {
		Command uint64
		Result  CommandResult
	}
	// PublishView publishes a new view to all traffic workers.
	PublishView struct{ View *model.View }
	// DrainKey sends event.DrainKey to the traffic worker of a key.
	DrainKey struct {
		Key  model.ShardKey
		Term uint64
	}
	// SendRelease hands keys over to their next owner.
	SendRelease struct {
		To      model.VM
		Address string
		Release event.Release
	}
	// Left reports that a graceful leave is complete: this VM owns no key any more.
	Left struct{}
)

// Effects of the traffic role.
type (
	// SendSubRequests sends sub-requests to their owner, which may be this VM.
	SendSubRequests struct {
		To       model.VM
		Requests []model.SubRequest
	}
	// SendSubReplies answers an entry daemon, which may be this VM.
	SendSubReplies struct {
		To      model.VM
		Replies []model.SubReply
	}
	// SendCancels cancels sub-requests at their owner.
	SendCancels struct {
		To      model.VM
		Cancels []event.Cancel
	}
	// StartAttempt sends one attempt to a backend server.
	StartAttempt struct {
		Attempt  model.AttemptID
		Server   model.BackendServer
		Key      model.ShardKey
		Kind     model.Kind
		Snapshot model.Snapshot
		Timeout  time.Duration
		Limit    int          // most hits to return, 0 for all
		Limits   model.Limits // load limits of each server of the route version
		Hedge    bool
		Dedupe   string
		Payload  []byte
		Trace    model.TraceContext
		Query    model.QueryID
		Entry    model.VM
	}
	// CancelAttempt cancels an attempt. event.AttemptDone still follows.
	CancelAttempt struct{ Attempt model.AttemptID }
	// ReplyCaller ends a query with an answer or a refusal; exactly one is set.
	ReplyCaller struct {
		Query   model.QueryID
		Answer  *model.Answer
		Refusal *model.Refusal
	}
	// ReportOutcomes sends counts for a move to the control role, as event.MoveOutcomes.
	ReportOutcomes struct{ Evidence model.MoveEvidence }
	// ReportDrained sends event.KeyDrained to the control role.
	ReportDrained struct{ Drained event.KeyDrained }
)

// WakeAt requests event.Wake at a time. A later WakeAt of the same state replaces it.
type WakeAt struct{ At model.Time }

// Log writes one log line.
type Log struct {
	Level   Level
	Message string
	Step    string // operation that logs the line
	Peer    string // VM concerned, or ""
	Fields  []Field
}

// Field is one key and value of a log line.
type Field struct{ Key, Value string }

// Level is the severity of a log line.
type Level uint8

// Levels of log lines.
const (
	Debug Level = iota
	Info
	Warn
	Error
)

// Count adds to a counter of the daemon's metrics.
type Count struct {
	Name string
	Add  int64
}

// CommandCode is the result of an operator's command.
type CommandCode string

// Results of commands.
const (
	CommandOK          CommandCode = "ok"                // written to the store
	CommandOverride    CommandCode = "override"          // in force, not yet written to the store
	CommandConflict    CommandCode = "conflict"          // the object has been changed by another write
	CommandInvalid     CommandCode = "invalid"           // refused by validation
	CommandUnavailable CommandCode = "store unavailable" // nothing was changed
	CommandUnknown     CommandCode = "outcome unknown"   // the write may have taken effect
)

// CommandResult is the answer to an operator's command.
type CommandResult struct {
	Code    CommandCode
	Message string
	Object  *model.Object // the object as stored now, if known
}

func (SendHeartbeat) effect()   {}
func (WatchStore) effect()      {}
func (StopWatch) effect()       {}
func (PullObjects) effect()     {}
func (WriteObject) effect()     {}
func (ReadObject) effect()      {}
func (ReplyOperator) effect()   {}
func (PublishView) effect()     {}
func (DrainKey) effect()        {}
func (SendRelease) effect()     {}
func (Left) effect()            {}
func (SendSubRequests) effect() {}
func (SendSubReplies) effect()  {}
func (SendCancels) effect()     {}
func (StartAttempt) effect()    {}
func (CancelAttempt) effect()   {}
func (ReplyCaller) effect()     {}
func (ReportOutcomes) effect()  {}
func (ReportDrained) effect()   {}
func (WakeAt) effect()          {}
func (Log) effect()             {}
func (Count) effect()           {}
