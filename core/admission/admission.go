// Package admission is the owner side of the traffic role: it queues sub-requests for the
// shard keys that this VM owns and keeps every backend server within its limits.
package admission

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Bounds that this first version does not keep yet.
const (
	PauseBound   = 300 * time.Millisecond
	SubmitMemory = 10 * time.Minute
	MaxQueue     = 1024
	// RampCompletions is the number of successes at one limit that prove it.
	RampCompletions = 8
)

// Names of counters.
const (
	CountHedges  = "admission.hedges"
	CountRetries = "admission.retries"
)

// Owner sends every sub-request at once, to the replicas in turn, and any failed one at
// once to the next replica.
type Owner struct {
	view     *model.View
	last     model.AttemptID
	next     int
	attempts map[model.AttemptID]*request
}

type request struct {
	sub   model.SubRequest
	tries int
}

// ServerLoad is the load of one backend server as its owner counts it.
type ServerLoad struct {
	Key      model.ShardKey
	Server   model.BackendServerID
	InFlight int
	Limit    int
	Usable   bool
}

// New returns an owner without keys.
func New() *Owner { return &Owner{attempts: make(map[model.AttemptID]*request)} }

// Load returns the load of all backend servers, which this version does not count.
func (o *Owner) Load(now model.Time) []ServerLoad { return nil }

// View replaces the view: leases, limits, zones and backend servers.
func (o *Owner) View(v *model.View, now model.Time, out *effect.List) { o.view = v }

// Requests takes in sub-requests of entry daemons.
func (o *Owner) Requests(ev event.SubRequestsReceived, now model.Time, out *effect.List) {
	for _, sub := range ev.Requests {
		if _, ok := o.view.Leases[sub.Key]; !ok {
			o.reply(&request{sub: sub}, model.AttemptResult{Outcome: model.OutcomeNotOwner}, out)
			continue
		}
		o.start(&request{sub: sub}, out)
	}
}

func (o *Owner) start(r *request, out *effect.List) {
	route, version, shard, ok := o.view.Config.ShardOf(r.sub.Key)
	if !ok {
		o.reply(r, model.AttemptResult{Outcome: model.OutcomeEpochChanged}, out)
		return
	}
	o.last++
	o.next++
	r.tries++
	o.attempts[o.last] = r
	out.Add(effect.StartAttempt{
		Attempt: o.last,
		Server:  shard.Replicas[o.next%len(shard.Replicas)],
		Key:     r.sub.Key,
		Kind:    r.sub.Kind,
		Timeout: route.AttemptTimeout,
		Limits:  version.Limits,
		Query:   r.sub.Query,
		Entry:   r.sub.Entry,
	})
}

// Cancels withdraws sub-requests.
func (o *Owner) Cancels(ev event.CancelsReceived, now model.Time, out *effect.List) {}

// AttemptDone ends an attempt and frees its slot.
func (o *Owner) AttemptDone(ev event.AttemptDone, now model.Time, out *effect.List) {
	r, ok := o.attempts[ev.Attempt]
	if !ok {
		return
	}
	delete(o.attempts, ev.Attempt)
	if ev.Result.Outcome != model.OutcomeOK && r.tries < 2 {
		o.start(r, out)
		return
	}
	o.reply(r, ev.Result, out)
}

func (o *Owner) reply(r *request, res model.AttemptResult, out *effect.List) {
	out.Add(effect.SendSubReplies{To: r.sub.Entry, Replies: []model.SubReply{{
		Query:    r.sub.Query,
		Run:      r.sub.Run,
		Key:      r.sub.Key,
		Outcome:  res.Outcome,
		Attempts: r.tries,
		Hits:     res.Hits,
	}}})
}

// PeerLost drops the queued sub-requests of an entry daemon whose connection broke.
func (o *Owner) PeerLost(ev event.PeerLost, now model.Time, out *effect.List) {}

// Drain stops dispatching for a key and reports event.KeyDrained.
func (o *Owner) Drain(ev event.DrainKey, now model.Time, out *effect.List) {
	drained := event.KeyDrained{Key: ev.Key, Term: ev.Term}
	out.Add(effect.ReportDrained{Drained: drained})
}

// Wake handles deadlines, hedges and recoveries that are due.
func (o *Owner) Wake(now model.Time, out *effect.List) {}

// NextWake returns the earliest time at which Wake has work to do.
func (o *Owner) NextWake() model.Time { return model.Never }

// Idle reports whether no attempt runs and nothing is queued.
func (o *Owner) Idle() bool { return len(o.attempts) == 0 }
