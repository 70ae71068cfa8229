package moves

import (
	"math"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// neighboursPerSide is the number of outcomes of the old version before an outcome of the new one, and the
// number after it, with which its latency is compared. Outcomes on both sides keep a change of load, which
// affects both versions, from looking like a difference between them.
const neighboursPerSide = model.MaxNeighbours / 2

// failedLatency is the latency of a failed outcome: no success is slower.
const failedLatency = time.Duration(math.MaxInt64)

func rankedLatency(o Outcome) time.Duration {
	if o.Failed {
		return failedLatency
	}
	return o.Latency
}

// neighbour is an outcome of the old version.
type neighbour struct {
	at      model.Time
	latency time.Duration
}

// rankTrial compares an outcome of the new version with its neighbours. If the new version is neither slower nor
// fails more often, it is the slowest of n neighbours and itself with a probability of at most 1/(n+1).
type rankTrial struct {
	at         model.Time
	latency    time.Duration
	neighbours int
	after      int  // neighbours that came after it
	slowest    bool // it is slower than all neighbours so far
}

func (t *rankTrial) compare(n neighbour) {
	t.neighbours++
	t.slowest = t.slowest && t.latency > n.latency
}

// ranks compares the outcomes of the new version on one route with their neighbours. A few outcomes are enough for
// it, where pairs need more and the threshold of slow queries many.
type ranks struct {
	recent []neighbour // the last neighboursPerSide outcomes of the old version, oldest first
	open   []rankTrial // trials that wait for more neighbours, oldest first
}

// record adds an outcome of either version.
func (r *ranks) record(o Outcome, now model.Time, counts *model.RankCounts) {
	r.endOverdue(now, counts)
	if o.New {
		r.recordNew(o, now)
		return
	}
	r.recordOld(o, now, counts)
}

func (r *ranks) recordOld(o Outcome, now model.Time, counts *model.RankCounts) {
	n := neighbour{at: now, latency: rankedLatency(o)}
	for i := range r.open {
		r.open[i].compare(n)
		r.open[i].after++
	}
	r.open = slices.DeleteFunc(r.open, func(t rankTrial) bool {
		if t.after < neighboursPerSide {
			return false
		}
		countTrial(counts, t)
		return true
	})
	if len(r.recent) == neighboursPerSide {
		r.recent = slices.Delete(r.recent, 0, 1)
	}
	r.recent = append(r.recent, n)
}

func (r *ranks) recordNew(o Outcome, now model.Time) {
	t := rankTrial{at: now, latency: rankedLatency(o), slowest: true}
	for _, n := range r.recent {
		if now.Sub(n.at) <= maxPairAge {
			t.compare(n)
		}
	}
	r.open = append(r.open, t)
}

// endOverdue ends the trials that have waited for maxPairAge with the neighbours that they have.
func (r *ranks) endOverdue(now model.Time, counts *model.RankCounts) {
	n := 0
	for n < len(r.open) && now.Sub(r.open[n].at) > maxPairAge {
		countTrial(counts, r.open[n])
		n++
	}
	r.open = slices.Delete(r.open, 0, n)
}

func countTrial(counts *model.RankCounts, t rankTrial) {
	if t.neighbours == 0 {
		return
	}
	counts.Trials[t.neighbours-1]++
	if t.slowest {
		counts.Slowest[t.neighbours-1]++
	}
}
