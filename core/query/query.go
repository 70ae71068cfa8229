// Package query implements the entry side of the traffic role. It plans a request over the shards
// of a route, pins one version and one snapshot, gathers the replies of the shards' owners, and
// answers the caller with the hits and the coverage that was reached.
//
// A search or read is idempotent: its sub-requests may be sent again after a failure, and the whole
// query may be restarted once. A submit is sent again only to another owner, and only on proof
// that it was not run.
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

// Names of the counters that a Table reports with effect.Count.
const (
	CountLateReplies      = "query.replies.late"      // the query has ended or never ran here
	CountOldRunReplies    = "query.replies.old_run"   // for an earlier run of the query
	CountForeignReplies   = "query.replies.foreign"   // for a shard not in the query, or from another VM
	CountDuplicateReplies = "query.replies.duplicate" // no reply is expected for the shard
	CountDuplicateQueries = "query.duplicate_id"      // a request with the ID of a running query
	CountRestarts         = "query.restarts"
	CountRetries          = "query.retries"        // sub-requests to be sent again, for any reason
	CountRetriesDenied    = "query.retries.denied" // retries prevented by a limit
)

// outcomeRecorder records the outcomes of queries on routes with a running move.
type outcomeRecorder interface {
	Record(o moves.Outcome, now model.Time)
}

// Table holds the running queries of one traffic worker. It is not safe for concurrent use.
type Table struct {
	rng         *rand.Rand
	recorder    outcomeRecorder
	view        *model.View
	routes      routeCache
	queries     map[model.QueryID]*query
	timers      timerHeap
	retryBudget retryBudget
	lastRun     uint32
}

// New returns a table without queries. It passes the outcomes of queries on routes with a running
// move to the pairer.
func New(rng *rand.Rand, pairer *moves.Pairer) *Table {
	return &Table{
		rng:         rng,
		recorder:    pairer,
		queries:     make(map[model.QueryID]*query),
		retryBudget: newRetryBudget(),
		// Run numbers are unique in the table and start at random, so that a reply to an
		// earlier process or to an earlier use of a query ID matches no running query.
		lastRun: rng.Uint32(),
	}
}

// View replaces the view and applies it to the running queries. A nil view is ignored.
func (t *Table) View(v *model.View, now model.Time, out *effect.List) {
	if v == nil {
		return
	}
	t.view = v
	t.routes.update(v.Config)
	for _, q := range t.sortedQueries() {
		t.applyViewToQuery(q, now, out)
	}
}

// Request starts a query, or refuses it if it is invalid or cannot be run now.
func (t *Table) Request(ev event.RequestReceived, now model.Time, out *effect.List) {
	if _, ok := t.queries[ev.Request.Query]; ok {
		// A reply carries only the query ID, so it can only go to the query that already runs.
		count(out, CountDuplicateQueries, 1)
		return
	}
	q, refusal := t.plan(ev.Request, now)
	if refusal != nil {
		out.Add(effect.ReplyCaller{Query: ev.Request.Query, Refusal: refusal})
		return
	}
	t.queries[q.req.Query] = q
	t.retryBudget.addTokens(len(q.shards))
	t.assignOwners(q)
	t.advance(q, now, out)
}

// CallerGone ends a query whose caller has disconnected. A submit that has been sent is kept
// running, since cancelling it would not undo it.
func (t *Table) CallerGone(ev event.CallerGone, now model.Time, out *effect.List) {
	q, ok := t.queries[ev.Query]
	if !ok {
		return
	}
	if q.req.Kind == model.KindSubmit {
		t.handleSubmitCallerGone(q, now, out)
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

// Replies handles the replies of an owner to sub-requests.
func (t *Table) Replies(ev event.SubRepliesReceived, now model.Time, out *effect.List) {
	var changed []*query
	for i := range ev.Replies {
		r := &ev.Replies[i]
		q, shard := t.matchReply(ev.From, r, out)
		if q == nil {
			continue
		}
		q.ranges[shard].update(r, q.pin)
		changed = appendUnique(changed, q)
		if q.req.Kind == model.KindSubmit {
			t.handleSubmitReply(q, r, now, out)
			continue
		}
		t.handleReply(q, shard, r, now, out)
	}
	t.advanceAll(changed, now, out)
}

// matchReply returns the query and the index of the shard that a reply belongs to. It counts and
// drops a reply that no query expects, and then returns a nil query.
func (t *Table) matchReply(from model.VM, r *model.SubReply, out *effect.List) (*query, int) {
	q, ok := t.queries[r.Query]
	if !ok {
		count(out, CountLateReplies, 1)
		return nil, 0
	}
	if r.Run != q.run {
		count(out, CountOldRunReplies, 1)
		return nil, 0
	}
	i, ok := q.shardIndex(r.Key)
	if !ok || q.shards[i].owner.VM != from {
		count(out, CountForeignReplies, 1)
		return nil, 0
	}
	if !q.shards[i].acceptsReply(r.Outcome) {
		count(out, CountDuplicateReplies, 1)
		return nil, 0
	}
	return q, i
}

// SendFailed handles sub-requests whose sending failed. If ev.Sent is true, the owner may have
// received them.
func (t *Table) SendFailed(ev event.SendFailed, now model.Time, out *effect.List) {
	var changed []*query
	for i := range ev.Requests {
		r := &ev.Requests[i]
		q, ok := t.queries[r.Query]
		if !ok || r.Run != q.run {
			continue
		}
		shard, ok := q.shardIndex(r.Key)
		if !ok || !q.shards[shard].awaitsReplyFrom(ev.To) {
			continue
		}
		changed = appendUnique(changed, q)
		switch {
		case q.req.Kind == model.KindSubmit:
			t.handleSubmitSendFailure(q, ev.Sent, now, out)
		case ev.Sent:
			t.retryUnanswered(q, shard, now, out)
		default:
			t.resendNotRun(q, shard, model.Owner{}, now, out)
		}
	}
	t.advanceAll(changed, now, out)
}

// PeerLost handles a broken connection to a peer: its outstanding replies are no longer expected.
func (t *Table) PeerLost(ev event.PeerLost, now model.Time, out *effect.List) {
	for _, q := range t.sortedQueries() {
		if q.req.Kind == model.KindSubmit {
			t.handleSubmitPeerLost(q, ev.VM, now, out)
			continue
		}
		for i := range q.shards {
			if q.shards[i].awaitsReplyFrom(ev.VM) {
				t.retryUnanswered(q, i, now, out)
			}
		}
		t.advance(q, now, out)
	}
}

// Wake handles the timers that have expired.
func (t *Table) Wake(now model.Time, out *effect.List) {
	for _, q := range t.timers.popDue(now) {
		t.wakeQuery(q, now, out)
	}
}

func (t *Table) wakeQuery(q *query, now model.Time, out *effect.List) {
	if q.req.Kind == model.KindSubmit {
		t.wakeSubmit(q, now, out)
		return
	}
	if now >= q.answerDeadline {
		t.answerOrRefuse(q, now, out)
		return
	}
	t.endExpiredBackoffs(q, now)
	t.advance(q, now, out)
}

// NextWake returns the time of the earliest timer, or model.Never if no query is running.
func (t *Table) NextWake() model.Time { return t.timers.earliest() }

// Running returns the number of running queries.
func (t *Table) Running() int { return len(t.queries) }

func (t *Table) advanceAll(queries []*query, now model.Time, out *effect.List) {
	for _, q := range queries {
		t.advance(q, now, out)
	}
}

// advance restarts a query if a second run would cover more shards, sends the sub-requests that
// are ready, and finishes the query if no shard is pending. Otherwise it sets the query's timer.
func (t *Table) advance(q *query, now model.Time, out *effect.List) {
	if q.ended {
		return
	}
	if q.req.Kind == model.KindSubmit {
		t.advanceSubmit(q, now, out)
		return
	}
	t.maybeRestart(q, now, out)
	t.sendReady(q, now, out)
	if q.pending == 0 {
		t.answerOrRefuse(q, now, out)
		return
	}
	t.timers.set(q, q.nextWake(now))
}

// end replies to the caller and removes the query from the table.
func (t *Table) end(q *query, reply effect.ReplyCaller, out *effect.List) {
	q.ended = true
	delete(t.queries, q.req.Query)
	t.timers.remove(q)
	out.Add(reply)
}

// refuse ends a query with a refusal. The refusal counts as a failure for the running move, unless
// the request was invalid.
func (t *Table) refuse(q *query, refusal *model.Refusal, now model.Time, out *effect.List) {
	if refusal.Code != model.RefusedInvalid {
		t.recordMoveOutcome(q, true, now)
	}
	t.end(q, effect.ReplyCaller{Query: q.req.Query, Refusal: refusal}, out)
}

func (t *Table) answer(q *query, answer *model.Answer, now model.Time, out *effect.List) {
	t.recordMoveOutcome(q, countsAsFailed(answer.Coverage), now)
	t.end(q, effect.ReplyCaller{Query: q.req.Query, Answer: answer}, out)
}

// recordMoveOutcome records the outcome of a query for the running move of its route, if any.
func (t *Table) recordMoveOutcome(q *query, failed bool, now model.Time) {
	if q.move == "" {
		return
	}
	t.recorder.Record(moves.Outcome{
		Route:   q.req.Route,
		Move:    q.move,
		New:     q.onNewVersion,
		Failed:  failed,
		Latency: now.Sub(q.received),
	}, now)
}

// sortedQueries returns the running queries sorted by ID, so that the order of effects does not
// depend on the iteration order of the map.
func (t *Table) sortedQueries() []*query {
	queries := make([]*query, 0, len(t.queries))
	for _, q := range t.queries {
		queries = append(queries, q)
	}
	slices.SortFunc(queries, func(a, b *query) int { return cmp.Compare(a.req.Query, b.req.Query) })
	return queries
}

func appendUnique(queries []*query, q *query) []*query {
	if slices.Contains(queries, q) {
		return queries
	}
	return append(queries, q)
}

func count(out *effect.List, name string, n int64) {
	out.Add(effect.Count{Name: name, Add: n})
}
