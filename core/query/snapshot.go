package query

import (
	"slices"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// snapshotRange is the range of snapshots last reported for a shard key. The zero value means that
// no range is known.
type snapshotRange struct{ oldest, newest model.Snapshot }

func (r snapshotRange) known() bool { return r.newest != 0 }

func (r snapshotRange) contains(s model.Snapshot) bool { return r.oldest <= s && s <= r.newest }

// update sets the range to the snapshots that the answering backend server reports. pin is the
// snapshot that was requested, 0 if none.
func (r *snapshotRange) update(reply *model.SubReply, pin model.Snapshot) {
	gone := reply.Outcome == model.OutcomeSnapshotGone
	seen := snapshotRange{oldest: reply.Oldest, newest: reply.Newest}
	if seen.oldest == 0 {
		// Without an oldest snapshot, only the newest one is known to be served.
		seen.oldest = seen.newest
	}
	if !seen.known() || seen.oldest > seen.newest {
		if gone {
			// If the old range were kept, the next query would pin the same snapshot again.
			*r = snapshotRange{}
		}
		return
	}
	if gone && seen.contains(pin) {
		*r = snapshotRange{}
		return
	}
	*r = seen
}

// choosePin returns the snapshot to pin for a run: the one that the most shards serve, or 0 while a
// range is unknown. A single shard needs no pin, since its reply comes from one snapshot anyway.
func choosePin(ranges []*snapshotRange) model.Snapshot {
	if len(ranges) == 1 {
		return 0
	}
	for _, r := range ranges {
		if !r.known() {
			return 0
		}
	}
	snapshot, _ := mostServedSnapshot(ranges)
	return snapshot
}

// mostServedSnapshot returns the snapshot that the most shards serve, and the number of these
// shards. On a tie it returns the newest such snapshot. Shards without a known range are ignored.
// The minimum of the newest snapshots would not do: a shard that has been unreachable for long has
// an old range, and its newest snapshot may no longer be served by any other shard.
func mostServedSnapshot(ranges []*snapshotRange) (model.Snapshot, int) {
	if s, n := newestCommonSnapshot(ranges); n > 0 {
		return s, n
	}
	// The newest snapshot that is served by the most shards is the newest one of some shard, so
	// only these are candidates.
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

// newestCommonSnapshot returns the newest snapshot that all shards with a known range serve, and
// the number of these shards. Both are 0 if there is no such snapshot.
func newestCommonSnapshot(ranges []*snapshotRange) (model.Snapshot, int) {
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
		if r.known() && r.contains(s) {
			n++
		}
	}
	return n
}

// droppedByAll reports whether every shard is known to have dropped a snapshot. A snapshot that is
// newer than the known ranges may have appeared since they were reported, so it does not count as
// dropped.
func droppedByAll(ranges []*snapshotRange, s model.Snapshot) bool {
	for _, r := range ranges {
		if !r.known() || s >= r.oldest {
			return false
		}
	}
	return true
}

// secondRun holds the parameters of a query's second run.
type secondRun struct {
	partition *partitionMap
	pin       model.Snapshot
}

// maybeRestart starts the second run of a query if the replies show that the first run cannot cover
// all shards and that a second run is expected to cover more.
func (t *Table) maybeRestart(q *query, now model.Time, out *effect.List) {
	if q.restarted || now > q.halfTime {
		return
	}
	run, ok := t.planEpochRestart(q)
	if !ok {
		run, ok = q.planSnapshotRestart(now)
	}
	if !ok {
		return
	}
	t.cancelOutstanding(q, out)
	count(out, CountRestarts, 1)
	q.restarted = true
	q.mayHaveRun = true
	q.startRun(run.partition, t.newRun(), run.pin)
	t.assignOwners(q)
}

// planEpochRestart plans a second run with the partition map of the current view. It does so only
// if an owner has reported another map than the query's and the view's map is another one too.
func (t *Table) planEpochRestart(q *query) (secondRun, bool) {
	if !q.epochChanged || !q.hasRepartitionedShard() {
		return secondRun{}, false
	}
	partition := t.routes.partition(q.req.Route, q.version)
	if partition == nil || partition.epoch == q.partition.epoch {
		return secondRun{}, false
	}
	keys, ranges := q.selectShards(partition)
	if len(keys) == 0 {
		return secondRun{}, false
	}
	pin := q.req.Snapshot
	if pin == 0 {
		pin = choosePin(ranges)
	}
	return secondRun{partition: partition, pin: pin}, true
}

// hasRepartitionedShard reports whether a shard is unanswered because its owner has another
// partition map.
func (q *query) hasRepartitionedShard() bool {
	for i := range q.shards {
		s := &q.shards[i]
		unanswered := s.state == shardBackoff || s.state == shardMissing
		if unanswered && s.reason == model.MissingRepartition {
			return true
		}
	}
	return false
}

// planSnapshotRestart plans a second run on the snapshot that the most shards serve, after a
// snapshot conflict in a query whose caller requested no particular snapshot. A pinned run is
// restarted at once if every shard is known to serve that snapshot. Otherwise the restart waits
// for all replies or for q.restartCheckTime, and is done only if more shards serve that snapshot
// than have answered from the one that the answer would now have.
func (q *query) planSnapshotRestart(now model.Time) (secondRun, bool) {
	if !q.snapshotConflict || q.req.Snapshot != 0 {
		return secondRun{}, false
	}
	snapshot, serving := mostServedSnapshot(q.ranges)
	if snapshot == q.pin {
		return secondRun{}, false
	}
	run := secondRun{partition: q.partition, pin: snapshot}
	if q.pin != 0 && serving == len(q.shards) {
		return run, true
	}
	if q.pending > 0 && now < q.restartCheckTime {
		return secondRun{}, false
	}
	return run, serving > q.countAnsweredFrom(q.chooseSnapshot())
}

// newRun returns the next run number. A number recurs only after 2^32 runs.
func (t *Table) newRun() uint32 {
	t.lastRun++
	return t.lastRun
}

// chooseSnapshot returns the snapshot of the answer: the pinned one or, in an unpinned run, the one
// that most shards have answered from, the newest such on a tie.
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
		n := q.countAnsweredFrom(snapshot)
		if n > most || n == most && snapshot > best {
			best, most = snapshot, n
		}
	}
	return best
}

// countAnsweredFrom returns the number of shards that have answered from a snapshot.
func (q *query) countAnsweredFrom(snapshot model.Snapshot) int {
	n := 0
	for i := range q.shards {
		if q.shards[i].answeredFrom(snapshot) {
			n++
		}
	}
	return n
}
