package query

import (
	"slices"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// snapshotRange is the range of snapshots last seen for a shard key; zero while unknown.
type snapshotRange struct{ oldest, newest model.Snapshot }

func (r snapshotRange) known() bool { return r.newest != 0 }

func (r snapshotRange) serves(s model.Snapshot) bool { return r.oldest <= s && s <= r.newest }

// observe remembers the snapshots that the answering backend server serves.
func (r *snapshotRange) observe(reply *model.SubReply, pin model.Snapshot) {
	gone := reply.Outcome == model.OutcomeSnapshotGone
	seen := snapshotRange{oldest: reply.Oldest, newest: reply.Newest}
	if seen.oldest == 0 {
		// An unknown oldest snapshot proves no more than the newest one.
		seen.oldest = seen.newest
	}
	if !seen.known() || seen.oldest > seen.newest {
		if gone {
			// Keeping the old range would pin the same snapshot again.
			*r = snapshotRange{}
		}
		return
	}
	if gone && seen.serves(pin) {
		*r = snapshotRange{}
		return
	}
	*r = seen
}

// pinned returns the snapshot for a first run: the newest that all shards serve, or 0 while
// a range is unknown. One shard needs no pin, since its reply comes from one snapshot anyway.
func pinned(ranges []*snapshotRange) model.Snapshot {
	if len(ranges) == 1 {
		return 0
	}
	for _, r := range ranges {
		if !r.known() {
			return 0
		}
	}
	snapshot, _ := mostServed(ranges)
	return snapshot
}

// mostServed returns the snapshot that the most shards serve, the newest of them on a tie,
// with the number of these shards. Shards with unknown ranges are left out. A shard that has
// long been out of reach has an old range; the least of the newest would then be a snapshot
// that no other shard serves any more.
func mostServed(ranges []*snapshotRange) (model.Snapshot, int) {
	if s, n := newestCommon(ranges); n > 0 {
		return s, n
	}
	// A best snapshot is always the newest of some shard.
	var best model.Snapshot
	most := 0
	for _, candidate := range ranges {
		if !candidate.known() {
			continue
		}
		n := countServing(ranges, candidate.newest)
		if n > most || n == most && candidate.newest > best {
			best, most = candidate.newest, n
		}
	}
	return best, most
}

// newestCommon returns the newest snapshot that all shards with a known range serve and the
// number of these shards, 0 if there is none.
func newestCommon(ranges []*snapshotRange) (model.Snapshot, int) {
	var oldest, newest model.Snapshot
	known := 0
	for _, r := range ranges {
		if !r.known() {
			continue
		}
		oldest = max(oldest, r.oldest)
		if known == 0 || r.newest < newest {
			newest = r.newest
		}
		known++
	}
	if oldest > newest {
		return 0, 0
	}
	return newest, known
}

func countServing(ranges []*snapshotRange, s model.Snapshot) int {
	n := 0
	for _, r := range ranges {
		if r.known() && r.serves(s) {
			n++
		}
	}
	return n
}

// tooOld reports whether every shard is known to have dropped a snapshot. A snapshot that is
// newer than all ranges may have appeared since they were seen, so the shards are asked.
func tooOld(ranges []*snapshotRange, s model.Snapshot) bool {
	for _, r := range ranges {
		if !r.known() || s >= r.oldest {
			return false
		}
	}
	return true
}

// secondRun describes the restart of a query.
type secondRun struct {
	part *partition
	pin  model.Snapshot
}

// maybeRestart starts the second run of a query if replies have shown that the first one
// cannot cover all shards and a second one can cover more.
func (t *Table) maybeRestart(q *query, now model.Time, out *effect.List) {
	if q.restarted || now > q.halfTime {
		return
	}
	run, ok := t.epochRun(q)
	if !ok {
		run, ok = q.snapshotRun(now)
	}
	if !ok {
		return
	}
	t.cancelOutstanding(q, out)
	count(out, CountRestarts, 1)
	q.restarted = true
	q.mayHaveRun = true
	q.start(run.part, t.newRun(), run.pin)
	t.place(q)
}

// epochRun plans a second run with the partition map of the current view, if an owner has
// reported another one and the view has it already.
func (t *Table) epochRun(q *query) (secondRun, bool) {
	if !q.epochChanged || !q.awaitsEpoch() {
		return secondRun{}, false
	}
	part := t.routes.partition(q.req.Route, q.version)
	if part == nil || part.epoch == q.part.epoch {
		return secondRun{}, false
	}
	keys, ranges := q.selectShards(part)
	if len(keys) == 0 {
		return secondRun{}, false
	}
	pin := q.req.Snapshot
	if pin == 0 {
		pin = pinned(ranges)
	}
	return secondRun{part: part, pin: pin}, true
}

// awaitsEpoch reports whether a shard is unanswered since its owner has another partition map.
func (q *query) awaitsEpoch() bool {
	for i := range q.shards {
		s := &q.shards[i]
		unanswered := s.state == shardBackoff || s.state == shardMissing
		if unanswered && s.reason == model.MissingRepartition {
			return true
		}
	}
	return false
}

// snapshotRun plans a second run on another snapshot. Before all replies are in, it does so
// only if every shard is known to serve that snapshot.
func (q *query) snapshotRun(now model.Time) (secondRun, bool) {
	if !q.conflict || q.req.Snapshot != 0 {
		return secondRun{}, false
	}
	snapshot, serving := mostServed(q.ranges)
	if snapshot == q.pin {
		return secondRun{}, false
	}
	run := secondRun{part: q.part, pin: snapshot}
	if q.pin != 0 && serving == len(q.shards) {
		return run, true
	}
	if q.pending > 0 && now < q.checkTime {
		return secondRun{}, false
	}
	return run, serving > q.answeredWith(q.chooseSnapshot())
}

// newRun returns a run number that no other run of this table has had recently.
func (t *Table) newRun() uint32 {
	t.lastRun++
	return t.lastRun
}

// chooseSnapshot returns the snapshot of the answer: the pinned one, else the one with the
// most shards, the newest on a tie.
func (q *query) chooseSnapshot() model.Snapshot {
	if q.pin != 0 {
		return q.pin
	}
	var seen []model.Snapshot
	for i := range q.shards {
		s := &q.shards[i]
		if s.state == shardAnswered && !slices.Contains(seen, s.snapshot) {
			seen = append(seen, s.snapshot)
		}
	}
	var best model.Snapshot
	most := 0
	for _, snapshot := range seen {
		n := q.answeredWith(snapshot)
		if n > most || n == most && snapshot > best {
			best, most = snapshot, n
		}
	}
	return best
}

func (q *query) answeredWith(snapshot model.Snapshot) int {
	n := 0
	for i := range q.shards {
		if q.shards[i].answers(snapshot) {
			n++
		}
	}
	return n
}
