package model

import (
	"fmt"
	"time"
)

// Request is what a caller asks of the entry daemon.
type Request struct {
	Query     QueryID
	Route     Route
	Kind      Kind
	Shard     ShardID       // for read and submit
	ClassName string        // "" for the route's default
	Budget    time.Duration // time left until the caller's deadline; 0 for the route's default
	// MinCoverage is the least coverage that the caller accepts, 0 to 1. Negative means the
	// route's floor.
	MinCoverage float64
	Snapshot    Snapshot // 0 for the newest
	Key         string   // idempotency key of a submit, "" for none
	Repeat      bool     // the caller may have sent this submit before
	Limit       int      // most hits to return, 0 for all
	Payload     []byte
	Trace       TraceContext
}

// TraceContext carries a W3C trace ID and parent span ID; zero means no trace.
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

// MissingReason says why a shard is missing from an answer.
type MissingReason string

// Reasons for a missing shard.
const (
	MissingTimeout      MissingReason = "timeout"       // no reply before the deadline
	MissingFailed       MissingReason = "failed"        // every attempt failed
	MissingShed         MissingReason = "shed"          // refused under load
	MissingNoOwner      MissingReason = "no owner"      // no daemon owns the shard now
	MissingNoServer     MissingReason = "no server"     // no usable replica
	MissingSnapshotGone MissingReason = "snapshot gone" // no replica serves the pinned snapshot
	MissingRepartition  MissingReason = "repartitioned" // the partition map changed
)

// MissingShard is one shard that an answer lacks.
type MissingShard struct {
	Shard  ShardID
	Reason MissingReason
	Peer   string // the VM or backend server at which it failed, "" if none
}

// Coverage says how much of the index an answer covers.
type Coverage struct {
	Wanted   int
	Answered int
	Missing  []MissingShard // sorted by shard
}

// Ratio returns the share of wanted shards that answered, 0 to 1.
func (c Coverage) Ratio() float64 {
	if c.Wanted == 0 {
		return 0
	}
	return float64(c.Answered) / float64(c.Wanted)
}

// Complete reports whether every wanted shard answered.
func (c Coverage) Complete() bool { return c.Wanted > 0 && c.Answered == c.Wanted }

// Answer is the result of a request that was answered.
type Answer struct {
	Query    QueryID
	Hits     []Hit
	Coverage Coverage
	Version  VersionID
	Snapshot Snapshot
	Attempts int // attempts sent to backend servers for this answer
	Needed   int // attempts that would have done without hedges and retries
}

// RefusalCode is the type of a refusal.
type RefusalCode string

// Refusal codes. RefusedNotRun is used only on proof that no backend server ran the request.
const (
	RefusedNotRun         RefusalCode = "not run"
	RefusedOutcomeUnknown RefusalCode = "outcome unknown"
	RefusedLowCoverage    RefusalCode = "coverage below floor" // idempotent requests only
	RefusedInvalid        RefusalCode = "invalid request"      // implies not run
	RefusedDuplicate      RefusalCode = "duplicate key"        // the key was seen before; this request was not run
)

// Refusal is a typed refusal. Step and Peer say where it arose.
type Refusal struct {
	Code       RefusalCode
	Step       string
	Peer       string
	Reason     string
	RetryAfter time.Duration // 0 for no advice
	Coverage   *Coverage     // for RefusedLowCoverage
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (step %s, peer %q)", r.Code, r.Reason, r.Step, r.Peer)
}

// SubRequest is the part of a query for one shard, sent by the entry daemon to the owner.
type SubRequest struct {
	Query    QueryID
	Run      uint32 // number of the run of the query; replies of older runs are dropped
	Entry    VM
	Key      ShardKey
	Kind     Kind
	Class    Class
	Snapshot Snapshot      // 0: the newest the backend server has
	Epoch    uint64        // epoch of the partition map that the query was planned with
	Owner    Owner         // whom the entry daemon believes to own the key
	Budget   time.Duration // time left when sent
	Dedupe   string        // idempotency key of a submit
	Limit    int
	Repeat   bool // the caller may have sent this submit before
	Payload  []byte
	Trace    TraceContext
}

// OutcomeCode is the result of a sub-request or an attempt.
type OutcomeCode uint8

// Outcomes. The ones listed by NotRun prove that no backend server ran the request.
const (
	OutcomeOK                OutcomeCode = iota
	OutcomeNotOwner                      // the receiver does not own the key; not run
	OutcomeShed                          // refused under load before dispatch or by the backend server; not run
	OutcomeExpired                       // the deadline passed before dispatch; not run
	OutcomeNoServer                      // no usable replica; not run
	OutcomeSnapshotGone                  // the backend server does not serve the snapshot; not run
	OutcomeEpochChanged                  // the partition map differs; not run
	OutcomeDuplicate                     // the idempotency key was seen before; not run this time
	OutcomeFailed                        // the backend server answered with an error
	OutcomeTimeout                       // dispatched, no answer in time; may have run
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

// SubReply is the owner's reply to one sub-request.
type SubReply struct {
	Query    QueryID
	Run      uint32
	Key      ShardKey
	Outcome  OutcomeCode
	Snapshot Snapshot // the snapshot the hits come from
	Oldest   Snapshot // oldest snapshot that the answering backend server serves, 0 if unknown
	Newest   Snapshot // newest snapshot that the answering backend server serves, 0 if unknown
	Server   BackendServerID
	Attempts int
	Hits     []Hit
	Reason   string
	Owner    Owner // for OutcomeNotOwner: whom the receiver believes to own the key
}

// AttemptResult is what a backend server client reports of one attempt.
type AttemptResult struct {
	Outcome  OutcomeCode
	Boot     Boot // boot of the backend server's process, 0 if unknown
	Snapshot Snapshot
	Oldest   Snapshot
	Newest   Snapshot
	Hits     []Hit
	Reason   string
}
