package query

import (
	"cmp"
	"slices"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// query is the state of one running request.
type query struct {
	req           model.Request
	class         model.Class
	coverageFloor float64

	version      model.VersionID
	move         string // name of the move that is running on the route, "" if none
	onNewVersion bool   // whether the query uses the move's new version

	received         model.Time
	restartCheckTime model.Time // from then on a restart does not wait for all replies
	halfTime         model.Time // latest time for a restart, and for sending a submit
	sendDeadline     model.Time // latest time for sending a sub-request
	answerDeadline   model.Time // latest time for the answer

	run       uint32 // number of the current run
	partition *partitionMap
	pin       model.Snapshot // 0: each shard answers from its newest snapshot
	keys      []model.ShardKey
	ranges    []*snapshotRange // indexed like keys
	shards    []shardProgress  // indexed like keys
	pending   int              // number of shards that are neither answered nor missing
	attempts  int              // number of attempts at backend servers in all runs
	retries   int              // number of sub-requests sent again although they may have run
	restarted bool
	// mayHaveRun is true once a backend server may have run a sub-request of the query.
	mayHaveRun bool

	// snapshotConflict is true if a reply of this run came from a snapshot other than the pinned
	// one, if two replies came from different snapshots, or if a snapshot was reported as gone.
	snapshotConflict bool
	epochChanged     bool // an owner reported another partition map in this run
	hasReady         bool // whether a shard may be in shardReady
	hasBackoff       bool // whether a shard may be in shardBackoff

	wakeAt    model.Time
	heapIndex int  // -1 while not in the heap
	ended     bool // the caller has been answered and the query is not in the table
}

// shardState is the state of one shard within a query.
type shardState uint8

const (
	shardUnassigned shardState = iota // no owner is assigned
	shardReady                        // the sub-request is to be sent to the owner
	shardSent                         // the sub-request has been sent and a reply is expected
	shardBackoff                      // the sub-request is to be sent again at retryAt
	shardAnswered                     // the hits have been received
	shardMissing                      // the answer will not cover the shard
)

// shardProgress is the progress of a query on one shard.
type shardProgress struct {
	state    shardState
	reason   model.MissingReason   // why the shard is missing, or was to be sent again
	owner    model.Owner           // owner that the sub-request was last sent to, or is to be sent to
	server   model.BackendServerID // backend server that replied last, if any
	retryAt  model.Time
	resends  int // number of times sent again with proof that it had not run
	retries  int // number of times sent again without that proof
	attempts int
	snapshot model.Snapshot
	hits     []model.Hit
}

// startRun sets the state of a query to the beginning of a run.
func (q *query) startRun(partition *partitionMap, run uint32, pin model.Snapshot) {
	q.partition = partition
	q.run = run
	q.pin = pin
	q.keys, q.ranges = q.selectShards(partition)
	q.shards = make([]shardProgress, len(q.keys))
	q.pending = len(q.keys)
	q.snapshotConflict = false
	q.epochChanged = false
	q.hasReady = false
	q.hasBackoff = false
}

// shardIndex returns the index of a shard key in q.keys and reports whether it is there.
func (q *query) shardIndex(key model.ShardKey) (int, bool) {
	i, ok := q.partition.index[key.Shard]
	if !ok || q.partition.keys[i] != key {
		return 0, false
	}
	if q.req.Kind == model.KindSearch {
		return i, true
	}
	return 0, key == q.keys[0]
}

// awaitsReplyFrom reports whether a reply from a VM is expected.
func (s *shardProgress) awaitsReplyFrom(vm model.VM) bool {
	return s.state == shardSent && s.owner.VM == vm
}

// acceptsReply reports whether a reply with an outcome is to be handled. During the backoff of a
// sub-request, a late successful reply to its last sending is accepted too.
func (s *shardProgress) acceptsReply(outcome model.OutcomeCode) bool {
	return s.state == shardSent || s.state == shardBackoff && outcome == model.OutcomeOK
}

// answeredFrom reports whether the shard has answered from a snapshot.
func (s *shardProgress) answeredFrom(snapshot model.Snapshot) bool {
	return s.state == shardAnswered && s.snapshot == snapshot
}

func (q *query) markReady(s *shardProgress, owner model.Owner) {
	s.state = shardReady
	s.owner = owner
	s.server = ""
	q.hasReady = true
}

func (q *query) markMissing(s *shardProgress, reason model.MissingReason) {
	s.state = shardMissing
	s.reason = reason
	q.pending--
}

// handleReply handles a reply to an idempotent sub-request of shard i.
func (t *Table) handleReply(q *query, i int, r *model.SubReply, now model.Time, out *effect.List) {
	s := &q.shards[i]
	attempts := max(r.Attempts, 0)
	q.attempts += attempts
	s.attempts += attempts
	s.server = r.Server
	q.mayHaveRun = q.mayHaveRun || !r.Outcome.NotRun()
	switch r.Outcome {
	case model.OutcomeOK:
		q.acceptHits(s, r)
	case model.OutcomeNotOwner:
		t.resendNotRun(q, i, r.Owner, now, out)
	case model.OutcomeEpochChanged:
		q.epochChanged = true
		t.resendAfterEpochChange(q, i, now, out)
	case model.OutcomeSnapshotGone:
		q.snapshotConflict = true
		q.markMissing(s, model.MissingSnapshotGone)
	default:
		q.markMissing(s, missingReasonForOutcome(r.Outcome))
	}
}

// acceptHits stores the hits of a reply. In a pinned run they must come from the pinned snapshot.
// In an unpinned run the snapshot of the answer is chosen when the query is answered.
func (q *query) acceptHits(s *shardProgress, r *model.SubReply) {
	if q.pin != 0 && r.Snapshot != q.pin {
		q.snapshotConflict = true
		q.markMissing(s, model.MissingSnapshotGone)
		return
	}
	if r.Snapshot == 0 && len(q.shards) > 1 {
		// Hits of an unknown snapshot cannot be merged with others.
		q.markMissing(s, model.MissingFailed)
		return
	}
	s.state = shardAnswered
	s.snapshot = r.Snapshot
	s.hits = r.Hits
	q.pending--
	if q.pin == 0 && !q.snapshotConflict {
		q.snapshotConflict = q.answeredFromOther(r.Snapshot)
	}
}

// answeredFromOther reports whether a shard has answered from another snapshot than the given one.
func (q *query) answeredFromOther(snapshot model.Snapshot) bool {
	for i := range q.shards {
		s := &q.shards[i]
		if s.state == shardAnswered && s.snapshot != snapshot {
			return true
		}
	}
	return false
}

// nextWake returns the time at which the query needs to be woken next.
func (q *query) nextWake(now model.Time) model.Time {
	at := q.answerDeadline
	if q.snapshotConflict && !q.restarted && now < q.restartCheckTime {
		at = min(at, q.restartCheckTime)
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

// answerOrRefuse ends a query with an answer from the replies received, or with a refusal if their
// coverage is too low. It cancels the outstanding sub-requests.
func (t *Table) answerOrRefuse(q *query, now model.Time, out *effect.List) {
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
		Needed:   q.neededAttempts(),
	}, now, out)
}

// neededAttempts returns the number of attempts that were necessary, not counting hedges and
// retries: one for each shard that answered or was attempted.
func (q *query) neededAttempts() int {
	n := 0
	for i := range q.shards {
		s := &q.shards[i]
		if s.state == shardAnswered || s.attempts > 0 {
			n++
		}
	}
	return n
}

// cancelOutstanding cancels the sub-requests that have been sent but not answered, with one message
// per owner.
func (t *Table) cancelOutstanding(q *query, out *effect.List) {
	var messages []effect.SendCancels
	for i := range q.shards {
		s := &q.shards[i]
		if s.state != shardSent {
			continue
		}
		m := slices.IndexFunc(messages, func(m effect.SendCancels) bool { return m.To == s.owner.VM })
		if m < 0 {
			m = len(messages)
			messages = append(messages, effect.SendCancels{To: s.owner.VM})
		}
		cancel := event.Cancel{Query: q.req.Query, Run: q.run, Key: q.keys[i]}
		messages[m].Cancels = append(messages[m].Cancels, cancel)
	}
	slices.SortFunc(messages, func(a, b effect.SendCancels) int { return cmp.Compare(a.To, b.To) })
	for _, m := range messages {
		out.Add(m)
	}
}
