package model

import (
	"fmt"
	"time"
)

// Request is one request of a caller to the entry daemon.
type Request struct {
	Query     QueryID
	Route     Route
	Kind      Kind
	Shard     ShardID       // shard of a read or submit, "" for a search
	ClassName string        // priority class, "" for the route's default
	Budget    time.Duration // time left until the caller's deadline; 0 for the route's default
	// MinCoverage is the minimum coverage that the caller accepts, 0 to 1. A negative value means
	// the route's CoverageFloor.
	MinCoverage float64
	Snapshot    Snapshot // snapshot to search, 0 for the newest
	Key         string   // idempotency key of a submit, "" for none
	Repeat      bool     // whether the caller may have sent this submit before
	Limit       int      // maximum number of hits to return, 0 for all
	Payload     []byte
	Trace       TraceContext
}

// TraceContext holds a W3C trace ID and the ID of the parent span. The zero value means that the
// request is not traced.
type TraceContext struct {
	TraceID [16]byte
	SpanID  [8]byte
}

// Hit is one result of a backend server.
type Hit struct {
	Document string
	Score    float64
	Body     []byte
}

// MissingReason is the reason for which a shard is missing from an answer.
type MissingReason string

// Reasons for a missing shard.
const (
	MissingTimeout      MissingReason = "timeout"       // no reply before the deadline
	MissingFailed       MissingReason = "failed"        // every attempt failed
	MissingShed         MissingReason = "shed"          // refused under load
	MissingNoOwner      MissingReason = "no owner"      // no daemon owned the shard
	MissingNoServer     MissingReason = "no server"     // the shard had no usable replica
	MissingSnapshotGone MissingReason = "snapshot gone" // no replica serves the requested snapshot
	MissingRepartition  MissingReason = "repartitioned" // the partition map changed
)

// MissingShard describes one shard that is missing from an answer.
type MissingShard struct {
	Shard  ShardID
	Reason MissingReason
	Peer   string // VM or backend server at which the sub-request failed, "" if none
}

// Coverage describes which shards an answer covers.
type Coverage struct {
	Wanted   int            // number of shards that the query needs
	Answered int            // number of shards that answered
	Missing  []MissingShard // sorted by shard
}

// Ratio returns the share of the wanted shards that answered, 0 to 1. It is 0 if no shard is wanted.
func (c Coverage) Ratio() float64 {
	if c.Wanted == 0 {
		return 0
	}
	return float64(c.Answered) / float64(c.Wanted)
}

// Complete reports whether every wanted shard answered.
func (c Coverage) Complete() bool { return c.Wanted > 0 && c.Answered == c.Wanted }

// Answer is the result of a request that was not refused.
type Answer struct {
	Query    QueryID
	Hits     []Hit
	Coverage Coverage
	Version  VersionID
	Snapshot Snapshot
	Attempts int // number of attempts sent to backend servers, including hedges and retries
	Needed   int // number of attempts that would have been sent without hedges and retries
}

// RefusalCode is the type of a refusal.
type RefusalCode string

// Refusal codes. RefusedNotRun is used only if it is certain that no backend server ran the request.
const (
	RefusedNotRun         RefusalCode = "not run"
	RefusedOutcomeUnknown RefusalCode = "outcome unknown"
	RefusedLowCoverage    RefusalCode = "coverage below floor" // idempotent requests only
	RefusedInvalid        RefusalCode = "invalid request"      // the request was not run
	RefusedDuplicate      RefusalCode = "duplicate key"        // the idempotency key was used before; this request was not run
)

// Refusal is the error with which a request is refused.
type Refusal struct {
	Code       RefusalCode
	Step       string // step of processing at which the request was refused
	Peer       string // VM or backend server at which the request was refused, "" if unknown
	Reason     string
	RetryAfter time.Duration // time after which the caller should retry, 0 for no advice
	Coverage   *Coverage     // coverage that was reached; set for RefusedLowCoverage
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (step %s, peer %q)", r.Code, r.Reason, r.Step, r.Peer)
}

// SubRequest is the part of a query for one shard, sent by the entry daemon to the owner.
type SubRequest struct {
	Query    QueryID
	Run      uint32 // number of the query's current run; replies to earlier runs are dropped
	Entry    VM     // VM of the entry daemon
	Key      ShardKey
	Kind     Kind
	Class    Class
	Snapshot Snapshot      // snapshot to search, 0 for the newest of the backend server
	Epoch    uint64        // epoch of the partition map with which the query was planned
	Owner    Owner         // owner of the key in the entry daemon's view
	Budget   time.Duration // time left until the deadline when the sub-request was sent
	Dedupe   string        // idempotency key of a submit, "" for none
	Limit    int           // maximum number of hits to return, 0 for all
	Repeat   bool          // whether the caller may have sent this submit before
	Payload  []byte
	Trace    TraceContext
}

// OutcomeCode is the result of a sub-request or an attempt.
type OutcomeCode uint8

// Outcomes of sub-requests and attempts. NotRun reports which of them prove that no backend server
// ran the request.
const (
	OutcomeOK                OutcomeCode = iota
	OutcomeNotOwner                      // the receiver does not own the key; not run
	OutcomeShed                          // refused under load before dispatch or by the backend server; not run
	OutcomeExpired                       // the deadline passed before dispatch; not run
	OutcomeNoServer                      // no usable replica; not run
	OutcomeSnapshotGone                  // the backend server does not serve the snapshot; not run
	OutcomeEpochChanged                  // entry daemon and owner have different partition maps; not run
	OutcomeDuplicate                     // the idempotency key was used before; not run again
	OutcomeFailed                        // the backend server answered with an error; may have run
	OutcomeTimeout                       // no answer in time after dispatch; may have run
	OutcomeLost                          // connection lost after dispatch; may have run
	OutcomeRefusedConnection             // no connection could be opened; not run
	OutcomeCancelled                     // cancelled after dispatch; may have run
)

// NotRun reports whether the outcome proves that the request was not run.
func (o OutcomeCode) NotRun() bool {
	switch o {
	case OutcomeNotOwner, OutcomeShed, OutcomeExpired, OutcomeNoServer, OutcomeSnapshotGone,
		OutcomeEpochChanged, OutcomeDuplicate, OutcomeRefusedConnection:
		return true
	}
	return false
}

var outcomeNames = [...]string{"ok", "not owner", "shed", "expired", "no server", "snapshot gone",
	"epoch changed", "duplicate", "failed", "timeout", "lost", "connection refused", "cancelled"}

// String returns the name used in logs and traces.
func (o OutcomeCode) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// SubReply is the reply of the owner to one sub-request.
type SubReply struct {
	Query    QueryID
	Run      uint32
	Key      ShardKey
	Outcome  OutcomeCode
	Snapshot Snapshot // snapshot from which the hits come
	Oldest   Snapshot // oldest snapshot that the answering backend server serves, 0 if unknown
	Newest   Snapshot // newest snapshot that the answering backend server serves, 0 if unknown
	Server   BackendServerID
	Attempts int // number of attempts sent for the sub-request
	Hits     []Hit
	Reason   string
	Owner    Owner // owner of the key in the replying daemon's view, for OutcomeNotOwner
}

// AttemptResult is the result of one attempt as reported by the client of the backend servers.
type AttemptResult struct {
	Outcome  OutcomeCode
	Boot     Boot     // boot of the backend server's process, 0 if unknown
	Snapshot Snapshot // snapshot from which the hits come
	Oldest   Snapshot // oldest snapshot that the backend server serves, 0 if unknown
	Newest   Snapshot // newest snapshot that the backend server serves, 0 if unknown
	Hits     []Hit
	Reason   string
}
