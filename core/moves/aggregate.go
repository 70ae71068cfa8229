package moves

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// EvidenceAggregate sums the counters of many VMs for one move, by route. It is not safe for
// concurrent use.
type EvidenceAggregate struct {
	state   *moveState
	self    model.Process
	samples []rankSample // oldest first
}

// rankSample holds the ranks of all routes at one time.
type rankSample map[model.RouteID]model.RankCounts

// maxRankSamples is the number of samples of the ranks of one move.
const maxRankSamples = 6

// SampleRanks remembers the ranks at equal parts of a move's duration, given the age of the move. From each
// sample on the versions are compared anew, so that the time before does not hide a version that turns slow.
func (a *EvidenceAggregate) SampleRanks(age, duration time.Duration) {
	for len(a.samples) < maxRankSamples && age >= time.Duration(len(a.samples)+1)*duration/(maxRankSamples+1) {
		sample := make(rankSample, len(a.state.routes))
		for id, r := range a.state.routes {
			sample[id] = r.total.Ranks
		}
		a.samples = append(a.samples, sample)
	}
}

// rankRatio returns the logarithm of the highest likelihood ratio of a route's ranks, with the counts that it
// comes from: of all ranks, or of those since a sample. The samples share the probability of a false result.
func (a *EvidenceAggregate) rankRatio(r *routeEvidence) (float64, model.RankCounts) {
	counts := r.total.Ranks
	highest := logRankRatio(counts)
	for _, sample := range a.samples {
		late := rankIncrease(sample[r.route], r.total.Ranks)
		if ratio := logRankRatio(late) - math.Log(maxRankSamples); ratio > highest {
			highest, counts = ratio, late
		}
	}
	return highest, counts
}

// NewEvidenceAggregate returns an empty aggregate for a move. self and boot identify the
// counters that AddLocal adds to.
func NewEvidenceAggregate(move string, self model.VM, boot model.Boot) *EvidenceAggregate {
	return &EvidenceAggregate{state: newMoveState(move), self: model.Process{VM: self, Boot: boot}}
}

// AddLocal adds increments measured by this VM to its counters.
func (a *EvidenceAggregate) AddLocal(inc model.MoveEvidence) {
	inc.Move = a.state.name
	a.state.route(inc.Route).add(a.self, inc)
}

// MergeRemote merges the counters of another VM. Duplicate and late reports have no effect.
func (a *EvidenceAggregate) MergeRemote(ev model.MoveEvidence) {
	if (model.Process{VM: ev.VM, Boot: ev.Boot}) != a.self {
		a.state.route(ev.Route).merge(ev)
	}
}

// Local returns the counters of this VM, sorted by route.
func (a *EvidenceAggregate) Local() []model.MoveEvidence {
	var own []model.MoveEvidence
	for _, r := range a.state.routes {
		if e, ok := r.sources[a.self]; ok {
			own = append(own, *e)
		}
	}
	slices.SortFunc(own, func(a, b model.MoveEvidence) int { return cmp.Compare(a.Route, b.Route) })
	return own
}

// Pairs returns the number of pairs of outcomes of the two versions, over all routes and
// VMs.
func (a *EvidenceAggregate) Pairs() uint64 {
	n := uint64(0)
	for _, r := range a.state.routes {
		n += r.total.Failures.Pairs
	}
	return n
}

// maxDoubtRatio is the likelihood ratio against the new version up to which the move may be completed.
// A version that is not worse exceeds it with a probability of at most its inverse.
const maxDoubtRatio = 20

// maxRankDoubtRatio is the same for ranks. It is lower, since the allowance for slowness keeps the ratio of a version
// that is as fast as the old one far below 1.
const maxRankDoubtRatio = 4

// SupportsCompletion reports whether the evidence allows the move to be completed: there are so many
// comparisons, by failure and by latency, that RollbackReason would have given a reason if the new version
// had been worse in all of either, and no route gives cause for doubt.
func (a *EvidenceAggregate) SupportsCompletion() bool {
	if logRatio(a.Pairs(), 0) < a.limit() || !a.couldFindSlow() {
		return false
	}
	for _, r := range a.state.routes {
		rankRatio, _ := a.rankRatio(r)
		if r.strongestEvidence().logRatio >= math.Log(maxDoubtRatio) || rankRatio >= math.Log(maxRankDoubtRatio) {
			return false
		}
	}
	return true
}

// limit returns the likelihood ratio of pairs from which on the move is withheld, as a logarithm.
func (a *EvidenceAggregate) limit() float64 { return logRatioThreshold(max(len(a.state.routes), 1)) }

// rankLimit returns the same for ranks.
func (a *EvidenceAggregate) rankLimit() float64 { return logRankThreshold(max(len(a.state.routes), 1)) }

// couldFindSlow reports whether the latencies compared so far, over all routes and VMs, would have given a
// reason for a rollback if the new version had been slower in all comparisons.
func (a *EvidenceAggregate) couldFindSlow() bool {
	pairs, ranks := uint64(0), model.RankCounts{}
	for _, r := range a.state.routes {
		pairs += r.total.Slow.Pairs
		ranks = ranks.Add(r.total.Ranks)
	}
	ranks.Slowest = ranks.Trials
	return logRankRatio(ranks) >= a.rankLimit() || logRatio(pairs, 0) >= a.limit()
}

// RollbackReason returns the evidence that the new version is worse, with its figures, from
// the first route by name on which it reaches the threshold. It returns false if there is no
// such route.
func (a *EvidenceAggregate) RollbackReason() (string, bool) {
	reason, route := "", model.RouteID("")
	for _, r := range a.state.routes {
		if reason != "" && r.route > route {
			continue
		}
		if res, bad := a.testRoute(r); bad {
			reason, route = res, r.route
		}
	}
	return reason, reason != ""
}

// testRoute returns the evidence on one route that the new version is worse, if it reaches the threshold.
func (a *EvidenceAggregate) testRoute(r *routeEvidence) (string, bool) {
	if r.canReachThreshold(a.limit()) {
		if res := r.strongestEvidence(); res.logRatio >= a.limit() {
			return res.String(), true
		}
	}
	if ratio, counts := a.rankRatio(r); ratio >= a.rankLimit() {
		trials, slowest := counts.Sums()
		return fmt.Sprintf("route %s: %d of %d queries of the new version failed or slower than all of the old version around them, log likelihood ratio %.1f",
			r.route, slowest, trials, ratio), true
	}
	return "", false
}
