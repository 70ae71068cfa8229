// Package dispatch decides how an entry VM handles the requests of outside callers: to which
// backend servers it sends them, when it hedges or retries an attempt, and when and with what it
// answers the caller. It is a reducer without I/O: it takes events and returns effects.
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
		CallerID      string // request ID set by the caller; only for logs
		Host          string // without port
		Path          string
		CallerTimeout time.Duration // time until the caller's deadline; 0 if it stated none
		ViewAge       time.Duration // age of this VM's view
		// Forwarded means that another entry VM has forwarded the query. MinVersion is then the
		// lowest configuration version that may answer, and EntryViewAge the age of the view of
		// that VM.
		Forwarded    bool
		MinVersion   uint64
		EntryViewAge time.Duration
	}
	// CallerGone reports that the caller no longer waits for an answer.
	CallerGone struct{ Query model.QueryID }
	// AttemptEnded reports the end of an attempt.
	AttemptEnded struct {
		Attempt model.AttemptID
		Outcome Outcome
		Reply   *Reply // nil unless the server answered
		Cause   string // why there is no usable reply; for logs and refusals
		Notice  Notice // what the server says of itself, if any of its answer was read
	}
	// ViewPublished reports a new view of the configuration, replicas, senders and rollouts.
	ViewPublished struct{ View *model.EntryView }
	// Resumed reports that this VM was paused or suspended. The view must not be used until the next
	// one is published, since servers may have been withdrawn meanwhile.
	Resumed struct{}
	// Woken reports that the time of the last Wake has been reached.
	Woken struct{}
	// StopStarted reports that the VM is about to stop. It declines forwarded queries from now on,
	// refuses requests from End on, and has answered all requests by AnswerBy.
	StopStarted struct{ End, AnswerBy model.Time }
)

func (RequestReceived) event() {}
func (CallerGone) event()      {}
func (AttemptEnded) event()    {}
func (ViewPublished) event()   {}
func (Resumed) event()         {}
func (Woken) event()           {}
func (StopStarted) event()     {}

// Outcome is the way in which an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered means that the server sent a complete answer to this request. The answer may be
	// a failure.
	Answered Outcome = iota
	// NotSent means that no byte reached the server.
	NotSent
	// NotRun means that the server states that it did not run the request.
	NotRun
	// Misdirected means that the address belongs to another server; the request was not run.
	Misdirected
	// Unclear means that no usable answer was received; the request may have run.
	Unclear
	// Aborted means that the attempt was ended by Abort.
	Aborted
)

var outcomeNames = [...]string{"answered", "not sent", "not run", "misdirected", "unclear", "aborted"}

// String implements fmt.Stringer.
func (o Outcome) String() string { return outcomeNames[o] }

// notRun reports whether the request has certainly not run.
func (o Outcome) notRun() bool { return o == NotSent || o == NotRun || o == Misdirected }

// Notice is what a backend server says of itself in an answer, whatever the outcome.
type Notice struct {
	// Limit is the number of requests a second that the server takes from all VMs together; 0 if it
	// states none.
	Limit float64
	// Leaving means that the server is about to leave and wants no further request.
	Leaving bool
	// Rest is the time for which the server wants no request from this VM; 0 if it states none.
	Rest time.Duration
}

// Reply is a backend server's answer.
type Reply struct {
	Status    int
	Header    map[string][]string // end-to-end headers, for the caller
	Body      []byte
	Signature string // the server's signature of its answer; "" if there is none
	// Warmup is the remaining time for which the server states that it is cold.
	Warmup time.Duration
}

// success reports whether the reply is a result rather than a failure.
func (r *Reply) success() bool { return r.Status >= 200 && r.Status < 300 && r.Signature != "" }

// Effect is an output of the reducer.
type Effect interface{ effect() }

// Effects of the reducer.
type (
	// Send starts an attempt. Deadline is that of the caller. A reply with a larger body than
	// MaxReplyBytes is of no use.
	Send struct {
		Attempt       model.AttemptID
		Query         model.QueryID
		Server        model.Replica
		Deadline      model.Time
		MaxReplyBytes int64
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
		Signatures []string // of the shards with a result
		Missing    int      // number of shards without a result
		Body       []byte
	}
	// Refuse answers a caller without a result.
	Refuse struct {
		Query      model.QueryID
		Code       Code
		RetryAfter time.Duration // for CodeNotRun
		Reason     string
	}
	// Wake requests a Woken event at time At. It replaces an earlier Wake.
	Wake struct{ At model.Time }
	// Log writes a line to the log.
	Log struct{ logline.Line }
	// Count adds to a counter.
	Count struct{ Counter Counter }
	// RecordDuration records the duration of an answered query or a successful attempt.
	RecordDuration struct {
		Route    string
		Attempt  bool // the duration is that of an attempt, not of the query
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

// Code classifies a refusal.
type Code uint8

// The codes of a refusal.
const (
	// CodeNotRun guarantees that the request has not run and will not run.
	CodeNotRun Code = iota
	// CodeFailed means that the request may have run.
	CodeFailed
	// CodeTimeout means that there was no answer by the deadline; the request may have run.
	CodeTimeout
	// CodeNoRoute means that no route matches the request.
	CodeNoRoute

	// Codes is the number of codes.
	Codes
)

var codeNames = [...]string{"not run", "failed", "timeout", "no route"}

// String implements fmt.Stringer.
func (c Code) String() string { return codeNames[c] }

// Counter identifies a counter.
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
	// The shards missing from partial answers, by cause: only one attempt was sent and its server has
	// not answered, a hedge has not been answered either, a further attempt was not sent because the
	// retry budget was used up, and all attempts have failed.
	CountMissingWaiting
	CountMissingHedged
	CountMissingNoBudget
	CountMissingFailed
	// CountNoRoom counts the queries refused at once because servers take no more for now.
	CountNoRoom
	// CountRests counts the answers with which servers asked for a time without requests.
	CountRests
	counters
)

var counterNames = [counters]string{
	"requests", "answers.complete", "answers.partial", "answers.passed",
	"refusals.not_run", "refusals.failed", "refusals.timeout", "refusals.no_route", "callers.gone",
	"attempts", "attempts.hedges", "attempts.retries", "retry_budget.empty",
	"attempts.answered", "attempts.not_sent", "attempts.not_run", "attempts.misdirected", "attempts.unclear", "attempts.late_replies", "queries.forwarded", "attempts.canary",
	"missing_shards.waiting", "missing_shards.hedged", "missing_shards.no_budget", "missing_shards.failed", "refusals.no_room", "servers.rests",
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
