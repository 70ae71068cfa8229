package query

import (
	"cmp"
	"slices"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// query is one running request.
type query struct {
	req   model.Request
	class model.Class
	floor float64

	version model.VersionID
	move    string // name of the move on the route, "" for none
	moved   bool   // the move's new version was chosen

	received  model.Time
	checkTime model.Time // a restart no longer waits for all replies
	halfTime  model.Time // last time for a restart, and for sending a submit
	sendUntil model.Time // last time for sending a sub-request
	deadline  model.Time // time of the answer

	run       uint32
	part      *partition
	pin       model.Snapshot // 0: each shard answers from its newest
	keys      []model.ShardKey
	ranges    []*snapshotRange
	shards    []shard // by the index of keys
	pending   int     // shards that are neither answered nor missing
	attempts  int     // attempts of backend servers over all runs
	retries   int     // sub-requests sent again although they may have run
	restarted bool
	// mayHaveRun is set once a backend server may have run a part of the query.
	mayHaveRun bool

	conflict     bool // replies of this run came from, or ask for, another snapshot
	epochChanged bool // an owner has another partition map
	hasReady     bool
	hasBackoff   bool

	wakeAt    model.Time
	heapIndex int // -1 while not in the heap
	ended     bool
}

// shardState says what a query does about one of its shards.
type shardState uint8

const (
	shardWaiting  shardState = iota // no owner is known
	shardReady                      // to be sent to peer
	shardSent                       // sent to peer
	shardBackoff                    // to be sent again at retryAt
	shardAnswered                   // hits received
	shardMissing                    // given up for reason
)

// shard is the part of a query for one shard.
type shard struct {
	state    shardState
	reason   model.MissingReason
	peer     model.Owner // last owner that it was sent to, or is to be sent to
	server   model.BackendServerID
	retryAt  model.Time
	resends  int // times sent again with proof that it had not run
	retries  int // times sent again without that proof
	attempts int
	snapshot model.Snapshot
	hits     []model.Hit
}

// start begins a run.
func (q *query) start(part *partition, run uint32, pin model.Snapshot) {
	q.part = part
	q.run = run
	q.pin = pin
	q.keys, q.ranges = q.selectShards(part)
	q.shards = make([]shard, len(q.keys))
	q.pending = len(q.keys)
	q.conflict = false
	q.epochChanged = false
	q.hasReady = false
	q.hasBackoff = false
}

// find returns the index of a shard key in the plan.
func (q *query) find(key model.ShardKey) (int, bool) {
	i, ok := q.part.index[key.Shard]
	if !ok || q.part.keys[i] != key {
		return 0, false
	}
	if q.req.Kind == model.KindSearch {
		return i, true
	}
	return 0, key == q.keys[0]
}

// outstandingAt reports whether a reply of a VM is awaited.
func (s *shard) outstandingAt(vm model.VM) bool { return s.state == shardSent && s.peer.VM == vm }

// accepts reports whether a reply is awaited. A sub-request whose delivery was in doubt may
// still be answered during its backoff.
func (s *shard) accepts(outcome model.OutcomeCode) bool {
	return s.state == shardSent || s.state == shardBackoff && outcome == model.OutcomeOK
}

// answers reports whether the shard has hits of a snapshot.
func (s *shard) answers(snapshot model.Snapshot) bool {
	return s.state == shardAnswered && s.snapshot == snapshot
}

func (q *query) ready(s *shard, owner model.Owner) {
	s.state = shardReady
	s.peer = owner
	s.server = ""
	q.hasReady = true
}

func (q *query) miss(s *shard, reason model.MissingReason) {
	s.state = shardMissing
	s.reason = reason
	q.pending--
}

// gather takes in a reply to an idempotent sub-request.
func (t *Table) gather(q *query, i int, r *model.SubReply, now model.Time, out *effect.List) {
	s := &q.shards[i]
	attempts := max(r.Attempts, 0)
	q.attempts += attempts
	s.attempts += attempts
	s.server = r.Server
	q.mayHaveRun = q.mayHaveRun || !r.Outcome.NotRun()
	switch r.Outcome {
	case model.OutcomeOK:
		q.gatherHits(s, r)
	case model.OutcomeNotOwner:
		t.resendNotRun(q, i, r.Owner, now, out)
	case model.OutcomeEpochChanged:
		q.epochChanged = true
		t.resendEpoch(q, i, now, out)
	case model.OutcomeSnapshotGone:
		q.conflict = true
		q.miss(s, model.MissingSnapshotGone)
	default:
		q.miss(s, missingReason(r.Outcome))
	}
}

// gatherHits accepts hits only if they come from the pinned snapshot. In an unpinned run the
// snapshot of the answer is chosen when all replies are in.
func (q *query) gatherHits(s *shard, r *model.SubReply) {
	if q.pin != 0 && r.Snapshot != q.pin {
		q.conflict = true
		q.miss(s, model.MissingSnapshotGone)
		return
	}
	if r.Snapshot == 0 && len(q.shards) > 1 {
		// Hits of an unknown snapshot cannot be merged with others.
		q.miss(s, model.MissingFailed)
		return
	}
	s.state = shardAnswered
	s.snapshot = r.Snapshot
	s.hits = r.Hits
	q.pending--
	if q.pin == 0 && !q.conflict {
		q.conflict = q.disagrees(r.Snapshot)
	}
}

// disagrees reports whether another shard has answered from another snapshot.
func (q *query) disagrees(snapshot model.Snapshot) bool {
	for i := range q.shards {
		s := &q.shards[i]
		if s.state == shardAnswered && s.snapshot != snapshot {
			return true
		}
	}
	return false
}

// nextWake returns the time of the query's next timer.
func (q *query) nextWake(now model.Time) model.Time {
	at := q.deadline
	if q.conflict && !q.restarted && now < q.checkTime {
		at = min(at, q.checkTime)
	}
	if !q.hasBackoff {
		return at
	}
	for i := range q.shards {
		if q.shards[i].state == shardBackoff {
			at = min(at, q.shards[i].retryAt)
		}
	}
	return at
}

// conclude answers with what has arrived and withdraws the rest.
func (t *Table) conclude(q *query, now model.Time, out *effect.List) {
	t.cancelOutstanding(q, out)
	snapshot := q.chooseSnapshot()
	coverage := q.coverage(snapshot)
	if refusal := q.coverageRefusal(coverage); refusal != nil {
		t.refuse(q, refusal, now, out)
		return
	}
	t.answer(q, &model.Answer{
		Query:    q.req.Query,
		Hits:     q.merge(snapshot),
		Coverage: coverage,
		Version:  q.version,
		Snapshot: snapshot,
		Attempts: q.attempts,
		Needed:   q.needed(),
	}, now, out)
}

// needed returns the number of attempts that would have done without hedges and retries.
func (q *query) needed() int {
	n := 0
	for i := range q.shards {
		s := &q.shards[i]
		if s.state == shardAnswered || s.attempts > 0 {
			n++
		}
	}
	return n
}

// cancelOutstanding withdraws what has been sent and not answered, in one message per owner.
func (t *Table) cancelOutstanding(q *query, out *effect.List) {
	var messages []effect.SendCancels
	for i := range q.shards {
		s := &q.shards[i]
		if s.state != shardSent {
			continue
		}
		m := slices.IndexFunc(messages, func(m effect.SendCancels) bool { return m.To == s.peer.VM })
		if m < 0 {
			m = len(messages)
			messages = append(messages, effect.SendCancels{To: s.peer.VM})
		}
		cancel := event.Cancel{Query: q.req.Query, Run: q.run, Key: q.keys[i]}
		messages[m].Cancels = append(messages[m].Cancels, cancel)
	}
	slices.SortFunc(messages, func(a, b effect.SendCancels) int { return cmp.Compare(a.To, b.To) })
	for _, m := range messages {
		out.Add(m)
	}
}
