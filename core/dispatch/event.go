// Package dispatch decides what an entry VM does with the requests of outside callers: which
// backend server runs them, when an attempt is hedged or repeated, when waiting ends and what
// the caller is told. It is a reducer without I/O: events in, effects out.
package dispatch

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Event is an input of the reducer.
type Event interface{ event() }

// Events of the reducer.
type (
	// RequestReceived reports a request whose head and body have been read.
	RequestReceived struct {
		Query         model.QueryID
		CallerID      string // ID that the caller gave it; only for logs
		Host          string // without port
		Path          string
		CallerTimeout time.Duration // time until the caller's deadline; 0 if it stated none
		ViewAge       time.Duration // age of this VM's view
		// Forwarded means that another VM hands the query over; MinVersion is the lowest version
		// of the configuration that may answer, and EntryViewAge the age of that VM's view.
		Forwarded    bool
		MinVersion   uint64
		EntryViewAge time.Duration
	}
	// CallerGone reports that the caller no longer waits.
	CallerGone struct{ Query model.QueryID }
	// AttemptEnded reports the end of an attempt.
	AttemptEnded struct {
		Attempt model.AttemptID
		Outcome Outcome
		Reply   *Reply // nil unless the server answered
		Cause   string // of an outcome without a usable reply; only for logs
	}
	// ViewPublished brings what control believes.
	ViewPublished struct{ View *model.EntryView }
	// Woken reports that the time of the last Wake has come.
	Woken struct{}
	// StopStarted reports that the VM is about to stop.
	StopStarted struct{ End model.Time }
)

func (RequestReceived) event() {}
func (CallerGone) event()      {}
func (AttemptEnded) event()    {}
func (ViewPublished) event()   {}
func (Woken) event()           {}
func (StopStarted) event()     {}

// Outcome tells how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered means that the server sent a whole answer to this request.
	Answered Outcome = iota
	// NotSent means that no byte reached the server.
	NotSent
	// NotRun means that the server states that it did not run the request.
	NotRun
	// Misdirected means that another server has the address; the request was not run.
	Misdirected
	// Unclear means that the request may have run and no usable answer came.
	Unclear
	// Aborted means that the attempt was ended by Abort.
	Aborted
)

var outcomeNames = [...]string{"answered", "not sent", "not run", "misdirected", "unclear", "aborted"}

// String implements fmt.Stringer.
func (o Outcome) String() string { return outcomeNames[o] }

// notRun reports whether the request has certainly not run.
func (o Outcome) notRun() bool { return o == NotSent || o == NotRun || o == Misdirected }

// Reply is a backend server's answer.
type Reply struct {
	Status    int
	Header    map[string][]string // end-to-end headers, for the caller
	Body      []byte
	Signature string // of the server over its answer; "" if there is none
	// Warmup is how long the server says that it stays cold.
	Warmup time.Duration
}

// success reports whether the reply is a result rather than a failure.
func (r *Reply) success() bool { return r.Status >= 200 && r.Status < 300 && r.Signature != "" }

// Effect is an output of the reducer.
type Effect interface{ effect() }

// Effects of the reducer.
type (
	// Send starts an attempt. Deadline is the end of the caller's patience.
	Send struct {
		Attempt  model.AttemptID
		Query    model.QueryID
		Server   model.Replica
		Deadline model.Time
	}
	// Abort ends an attempt at once.
	Abort struct{ Attempt model.AttemptID }
	// PassReply answers a caller with one server's reply.
	PassReply struct {
		Query model.QueryID
		Reply *Reply
	}
	// GatheredReply answers a caller with the merged answers of several shards.
	GatheredReply struct {
		Query      model.QueryID
		Version    uint64   // of the configuration
		Signatures []string // of the parts that are in
		Missing    int      // shards that are left out
		Body       []byte
	}
	// Refuse answers a caller without a result.
	Refuse struct {
		Query      model.QueryID
		Code       Code
		RetryAfter time.Duration // for CodeNotRun
		Reason     string
	}
	// Wake asks for Woken at a time. A later Wake replaces it.
	Wake struct{ At model.Time }
	// Log writes a line to the log.
	Log struct{ logline.Line }
	// Count adds to a counter.
	Count struct{ Counter Counter }
	// RecordDuration records the duration of a query or an attempt.
	RecordDuration struct {
		Route    string
		Attempt  bool // of one attempt; else of the query
		Duration time.Duration
	}
)

func (Send) effect()           {}
func (Abort) effect()          {}
func (PassReply) effect()      {}
func (GatheredReply) effect()  {}
func (Refuse) effect()         {}
func (Wake) effect()           {}
func (Log) effect()            {}
func (Count) effect()          {}
func (RecordDuration) effect() {}

// Code is the reason class of a refusal.
type Code uint8

// The codes of a refusal.
const (
	// CodeNotRun promises that the request has not run and will not.
	CodeNotRun Code = iota
	// CodeFailed means that the request may have run.
	CodeFailed
	// CodeTimeout means that the time was up; the request may have run.
	CodeTimeout
	// CodeNoRoute means that no route takes the request.
	CodeNoRoute
)

var codeNames = [...]string{"not run", "failed", "timeout", "no route"}

// String implements fmt.Stringer.
func (c Code) String() string { return codeNames[c] }

// Counter names a counter.
type Counter uint8

// The counters.
const (
	CountRequests Counter = iota
	CountComplete
	CountPartial
	CountPassed
	CountNotRun
	CountFailed
	CountTimeout
	CountNoRoute
	CountCallerGone
	CountAttempts
	CountHedges
	CountRetries
	CountBudgetEmpty
	CountAnswered
	CountAttemptNotSent
	CountAttemptNotRun
	CountAttemptMisdirected
	CountAttemptUnclear
	CountLateReplies
	CountForwarded
	CountCanaries
	counters
)

var counterNames = [counters]string{
	"requests", "answers.complete", "answers.partial", "answers.passed",
	"refusals.not_run", "refusals.failed", "refusals.timeout", "refusals.no_route", "callers.gone",
	"attempts", "attempts.hedges", "attempts.retries", "retry_budget.empty",
	"attempts.answered", "attempts.not_sent", "attempts.not_run", "attempts.misdirected", "attempts.unclear", "attempts.late_replies", "queries.forwarded", "attempts.canary",
}

// String returns the name of the counter in the metrics.
func (c Counter) String() string { return counterNames[c] }

// Counters lists all counters.
func Counters() []Counter {
	all := make([]Counter, counters)
	for i := range all {
		all[i] = Counter(i)
	}
	return all
}
