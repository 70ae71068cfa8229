// Package query is the entry side of the traffic role: it plans a request over shards, pins
// a version and a snapshot, gathers replies and answers the caller with true coverage.
package query

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/core/moves"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Names of the counters that a Table reports by effect.Count.
const (
	CountLateReplies      = "query.replies.late"      // the query has ended or never ran here
	CountOldRunReplies    = "query.replies.old_run"   // the query has been restarted
	CountForeignReplies   = "query.replies.foreign"   // other shard, or a peer that was not asked
	CountDuplicateReplies = "query.replies.duplicate" // the shard has already been settled
	CountDuplicateQueries = "query.duplicate_id"      // a request with the ID of a running query
	CountRestarts         = "query.restarts"
	CountRetries          = "query.retries"        // sub-requests sent again
	CountRetriesDenied    = "query.retries.denied" // not sent again for lack of budget
)

// recorder takes in the end of queries on routes with a running move.
type recorder interface {
	Record(o moves.Outcome, now model.Time)
}

// Table holds the running queries of one traffic worker.
type Table struct {
	rng      *rand.Rand
	outcomes recorder
	view     *model.View
	routes   catalog
	queries  map[model.QueryID]*query
	timers   timerHeap
	budget   retryBudget
	lastRun  uint32
}

// New returns an empty table.
func New(rng *rand.Rand, pairer *moves.Pairer) *Table {
	return &Table{
		rng:      rng,
		outcomes: pairer,
		queries:  make(map[model.QueryID]*query),
		budget:   newRetryBudget(),
		// Runs are numbered over the whole table from a random start, so that a reply to an
		// earlier process or to an earlier use of a query ID matches nothing.
		lastRun: rng.Uint32(),
	}
}

// View replaces the view.
func (t *Table) View(v *model.View, now model.Time, out *effect.List) {
	if v == nil {
		return
	}
	t.view = v
	t.routes.update(v.Config)
	for _, q := range t.sorted() {
		t.applyView(q, now, out)
	}
}

// Request starts a query.
func (t *Table) Request(ev event.RequestReceived, now model.Time, out *effect.List) {
	if _, ok := t.queries[ev.Request.Query]; ok {
		// Both requests have the same ID, so the one reply belongs to the running query.
		count(out, CountDuplicateQueries, 1)
		return
	}
	q, refusal := t.plan(ev.Request, now)
	if refusal != nil {
		out.Add(effect.ReplyCaller{Query: ev.Request.Query, Refusal: refusal})
		return
	}
	t.queries[q.req.Query] = q
	t.budget.earn(len(q.shards))
	t.place(q)
	t.advance(q, now, out)
}

// CallerGone ends a query whose caller has disconnected. A submit that has been sent goes
// on, since cancelling it would not undo it.
func (t *Table) CallerGone(ev event.CallerGone, now model.Time, out *effect.List) {
	q, ok := t.queries[ev.Query]
	if !ok {
		return
	}
	if q.req.Kind == model.KindSubmit {
		t.submitCallerGone(q, now, out)
		return
	}
	t.cancelOutstanding(q, out)
	coverage := q.coverage(q.chooseSnapshot())
	t.refuse(q, &model.Refusal{
		Code:     model.RefusedLowCoverage,
		Step:     stepGather,
		Reason:   "the caller disconnected",
		Coverage: &coverage,
	}, now, out)
}

// Replies takes in replies of an owner.
func (t *Table) Replies(ev event.SubRepliesReceived, now model.Time, out *effect.List) {
	var touched []*query
	for i := range ev.Replies {
		r := &ev.Replies[i]
		q, shard := t.match(ev.From, r, out)
		if q == nil {
			continue
		}
		q.ranges[shard].observe(r, q.pin)
		touched = appendOnce(touched, q)
		if q.req.Kind == model.KindSubmit {
			t.submitReply(q, r, now, out)
			continue
		}
		t.gather(q, shard, r, now, out)
	}
	t.advanceAll(touched, now, out)
}

// match returns the query and the index of the shard that a reply belongs to. A reply that
// nothing waits for is counted and dropped.
func (t *Table) match(from model.VM, r *model.SubReply, out *effect.List) (*query, int) {
	q, ok := t.queries[r.Query]
	if !ok {
		count(out, CountLateReplies, 1)
		return nil, 0
	}
	if r.Run != q.run {
		count(out, CountOldRunReplies, 1)
		return nil, 0
	}
	i, ok := q.find(r.Key)
	if !ok || q.shards[i].peer.VM != from {
		count(out, CountForeignReplies, 1)
		return nil, 0
	}
	if !q.shards[i].accepts(r.Outcome) {
		count(out, CountDuplicateReplies, 1)
		return nil, 0
	}
	return q, i
}

// SendFailed takes back sub-requests that could not be delivered.
func (t *Table) SendFailed(ev event.SendFailed, now model.Time, out *effect.List) {
	var touched []*query
	for i := range ev.Requests {
		r := &ev.Requests[i]
		q, ok := t.queries[r.Query]
		if !ok || r.Run != q.run {
			continue
		}
		shard, ok := q.find(r.Key)
		if !ok || !q.shards[shard].outstandingAt(ev.To) {
			continue
		}
		touched = appendOnce(touched, q)
		switch {
		case q.req.Kind == model.KindSubmit:
			t.submitSendFailed(q, ev.Sent, now, out)
		case ev.Sent:
			t.retryLost(q, shard, now, out)
		default:
			t.resendNotRun(q, shard, model.Owner{}, now, out)
		}
	}
	t.advanceAll(touched, now, out)
}

// PeerLost ends the wait for replies of a peer whose connection broke.
func (t *Table) PeerLost(ev event.PeerLost, now model.Time, out *effect.List) {
	for _, q := range t.sorted() {
		if q.req.Kind == model.KindSubmit {
			t.submitPeerLost(q, ev.VM, now, out)
			continue
		}
		for i := range q.shards {
			if q.shards[i].outstandingAt(ev.VM) {
				t.retryLost(q, i, now, out)
			}
		}
		t.advance(q, now, out)
	}
}

// Wake handles deadlines that have passed.
func (t *Table) Wake(now model.Time, out *effect.List) {
	for _, q := range t.timers.due(now) {
		t.wake(q, now, out)
	}
}

func (t *Table) wake(q *query, now model.Time, out *effect.List) {
	if q.req.Kind == model.KindSubmit {
		t.submitWake(q, now, out)
		return
	}
	if now >= q.deadline {
		t.conclude(q, now, out)
		return
	}
	t.retryDue(q, now)
	t.advance(q, now, out)
}

// NextWake returns the earliest time at which Wake has work to do.
func (t *Table) NextWake() model.Time { return t.timers.next() }

// Running returns the number of running queries.
func (t *Table) Running() int { return len(t.queries) }

func (t *Table) advanceAll(queries []*query, now model.Time, out *effect.List) {
	for _, q := range queries {
		t.advance(q, now, out)
	}
}

// advance does what the state of a query allows: restart, send, or answer. Else it sets the
// query's timer.
func (t *Table) advance(q *query, now model.Time, out *effect.List) {
	if q.ended {
		return
	}
	if q.req.Kind == model.KindSubmit {
		t.submitAdvance(q, now, out)
		return
	}
	t.maybeRestart(q, now, out)
	t.sendReady(q, now, out)
	if q.pending == 0 {
		t.conclude(q, now, out)
		return
	}
	t.timers.set(q, q.nextWake(now))
}

// end replies to the caller and forgets the query.
func (t *Table) end(q *query, reply effect.ReplyCaller, out *effect.List) {
	q.ended = true
	delete(t.queries, q.req.Query)
	t.timers.remove(q)
	out.Add(reply)
}

func (t *Table) refuse(q *query, refusal *model.Refusal, now model.Time, out *effect.List) {
	if refusal.Code != model.RefusedInvalid {
		t.record(q, true, now)
	}
	t.end(q, effect.ReplyCaller{Query: q.req.Query, Refusal: refusal}, out)
}

func (t *Table) answer(q *query, answer *model.Answer, now model.Time, out *effect.List) {
	t.record(q, countsAsFailed(answer.Coverage), now)
	t.end(q, effect.ReplyCaller{Query: q.req.Query, Answer: answer}, out)
}

// record reports the end of a query to the running move of its route.
func (t *Table) record(q *query, failed bool, now model.Time) {
	if q.move == "" {
		return
	}
	t.outcomes.Record(moves.Outcome{
		Route:   q.req.Route,
		Move:    q.move,
		New:     q.moved,
		Failed:  failed,
		Latency: now.Sub(q.received),
	}, now)
}

// sorted returns the running queries by ID, so that effects do not depend on map order.
func (t *Table) sorted() []*query {
	queries := make([]*query, 0, len(t.queries))
	for _, q := range t.queries {
		queries = append(queries, q)
	}
	slices.SortFunc(queries, func(a, b *query) int { return cmp.Compare(a.req.Query, b.req.Query) })
	return queries
}

func appendOnce(queries []*query, q *query) []*query {
	if slices.Contains(queries, q) {
		return queries
	}
	return append(queries, q)
}

func count(out *effect.List, name string, n int64) {
	out.Add(effect.Count{Name: name, Add: n})
}
