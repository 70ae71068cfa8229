// Package query is the entry side of the traffic role: it plans a request over shards, pins
// a version and a snapshot, gathers replies and answers the caller with true coverage.
//
// This version is a baseline for the tests: it merges whatever arrives by query ID, checks no
// snapshot, run or shard, and sends every unanswered sub-request again after a timeout.
package query

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/core/moves"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Names of the counters that a Table reports by effect.Count.
const (
	CountLateReplies      = "query.replies.late"
	CountOldRunReplies    = "query.replies.old_run"
	CountForeignReplies   = "query.replies.foreign"
	CountDuplicateReplies = "query.replies.duplicate"
	CountDuplicateQueries = "query.duplicate_id"
	CountRestarts         = "query.restarts"
	CountRetries          = "query.retries"
	CountRetriesDenied    = "query.retries.denied"
)

// Timing and bounds.
const (
	AnswerReserve = 2 * time.Millisecond
	HopReserve    = time.Millisecond
	RetryBackoff  = 20 * time.Millisecond
	RetryBurst    = 100
)

type query struct {
	req      model.Request
	version  model.VersionID
	shards   []model.ShardID
	done     map[model.ShardID]bool
	snapshot model.Snapshot
	hits     []model.Hit
	retryAt  model.Time
	deadline model.Time
}

// Table holds the running queries of one traffic worker.
type Table struct {
	rng     *rand.Rand
	view    *model.View
	queries map[model.QueryID]*query
}

// New returns an empty table.
func New(rng *rand.Rand, pairer *moves.Pairer) *Table {
	return &Table{rng: rng, queries: make(map[model.QueryID]*query)}
}

// View replaces the view.
func (t *Table) View(v *model.View, now model.Time, out *effect.List) { t.view = v }

// Request starts a query.
func (t *Table) Request(ev event.RequestReceived, now model.Time, out *effect.List) {
	req := ev.Request
	if t.view == nil || t.view.Draining {
		refuse(req.Query, model.RefusedNotRun, "not ready", out)
		return
	}
	route, ok := t.view.Config.Route(req.Route)
	if !ok {
		refuse(req.Query, model.RefusedInvalid, "unknown route", out)
		return
	}
	q := &query{req: req, version: route.StableVersion, done: make(map[model.ShardID]bool)}
	if s, ok := t.view.Config.Shares[req.Route]; ok && t.rng.Float64() < s.Share {
		q.version = s.To
	}
	version, _ := route.Version(q.version)
	for _, s := range version.Shards {
		if req.Kind == model.KindSearch || s.ID == req.Shard {
			q.shards = append(q.shards, s.ID)
		}
	}
	if len(q.shards) == 0 {
		refuse(req.Query, model.RefusedInvalid, "unknown shard", out)
		return
	}
	q.deadline = now.Add(cmp.Or(req.Budget, route.Timeout) - AnswerReserve)
	t.queries[req.Query] = q
	t.send(q, now, out)
}

func (t *Table) send(q *query, now model.Time, out *effect.List) {
	q.retryAt = min(now.Add(RetryBackoff), q.deadline)
	for _, s := range q.shards {
		key := model.ShardKey{Route: q.req.Route, Version: q.version, Shard: s}
		owner, ok := t.view.Owners[key]
		if q.done[s] || !ok {
			continue
		}
		out.Add(effect.SendSubRequests{To: owner.VM, Requests: []model.SubRequest{{
			Query: q.req.Query, Run: 1, Entry: t.view.Self, Key: key, Kind: q.req.Kind, Owner: owner,
			Snapshot: q.req.Snapshot, Epoch: 1, Budget: q.deadline.Sub(now), Dedupe: q.req.Key,
			Limit: q.req.Limit, Repeat: q.req.Repeat, Payload: q.req.Payload,
		}}})
	}
}

// CallerGone ends a query whose caller has disconnected.
func (t *Table) CallerGone(ev event.CallerGone, now model.Time, out *effect.List) {}

// Replies takes in replies of an owner.
func (t *Table) Replies(ev event.SubRepliesReceived, now model.Time, out *effect.List) {
	for _, r := range ev.Replies {
		q, ok := t.queries[r.Query]
		if !ok || r.Outcome != model.OutcomeOK {
			continue
		}
		q.done[r.Key.Shard] = true
		q.hits = append(q.hits, r.Hits...)
		q.snapshot = r.Snapshot
		if len(q.done) == len(q.shards) {
			t.finish(q, out)
		}
	}
}

func (t *Table) finish(q *query, out *effect.List) {
	delete(t.queries, q.req.Query)
	coverage := model.Coverage{Wanted: len(q.shards), Answered: len(q.done)}
	for _, s := range q.shards {
		if !q.done[s] {
			coverage.Missing = append(coverage.Missing, model.MissingShard{Shard: s, Reason: model.MissingTimeout})
		}
	}
	if len(q.done) == 0 {
		refuse(q.req.Query, model.RefusedNotRun, "no reply", out)
		return
	}
	slices.SortStableFunc(q.hits, func(a, b model.Hit) int { return cmp.Compare(b.Score, a.Score) })
	out.Add(effect.ReplyCaller{Query: q.req.Query, Answer: &model.Answer{
		Query: q.req.Query, Hits: q.hits, Coverage: coverage, Version: q.version, Snapshot: q.snapshot,
	}})
}

func refuse(id model.QueryID, code model.RefusalCode, reason string, out *effect.List) {
	out.Add(effect.ReplyCaller{Query: id, Refusal: &model.Refusal{Code: code, Step: "query", Reason: reason}})
}

// SendFailed takes back sub-requests that could not be delivered.
func (t *Table) SendFailed(ev event.SendFailed, now model.Time, out *effect.List) {}

// PeerLost ends the wait for replies of a peer whose connection broke.
func (t *Table) PeerLost(ev event.PeerLost, now model.Time, out *effect.List) {}

// Wake handles deadlines that have passed.
func (t *Table) Wake(now model.Time, out *effect.List) {
	var ids []model.QueryID
	for id := range t.queries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		q := t.queries[id]
		switch {
		case now >= q.deadline:
			t.finish(q, out)
		case now >= q.retryAt:
			t.send(q, now, out)
		}
	}
}

// NextWake returns the earliest time at which Wake has work to do.
func (t *Table) NextWake() model.Time {
	at := model.Never
	for _, q := range t.queries {
		at = min(at, q.retryAt, q.deadline)
	}
	return at
}

// Running returns the number of running queries.
func (t *Table) Running() int { return len(t.queries) }
