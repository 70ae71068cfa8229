package moves

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// maxPairAge is the most time between the halves of a pair. Load and caches change over
	// longer times, which would show as a difference between the versions.
	maxPairAge = 5 * time.Second

	// slowQuantile is the quantile of the old version's latency above which a query is slow.
	slowQuantile = 0.9

	// The latency quantile is taken over a window of at least this time and this many
	// outcomes, and holds for the whole of the next window.
	windowTime     = 10 * time.Second
	windowOutcomes = 100

	// firstOutcomes is the number of outcomes after which the first window gives a
	// threshold, so that a move does not wait for a full window.
	firstOutcomes = 50

	// Latencies are kept in units of 10 microseconds up to one minute with two digits,
	// which takes about 18 KB per route.
	latencyUnit   = 10 * time.Microsecond
	maxLatency    = time.Minute
	latencyDigits = 2

	// pairerIdle is the time without outcomes after which the state of a move is dropped.
	pairerIdle = time.Minute
)

// Outcome is the end of one query on a route with a running move.
type Outcome struct {
	Route   model.Route
	Move    string
	New     bool // sent to the new version
	Failed  bool
	Latency time.Duration
}

// Pairer pairs outcomes of the new and the old version on one traffic worker.
type Pairer struct {
	routes map[pairKey]*routePairs
}

type pairKey struct {
	route model.Route
	move  string
}

// NewPairer returns an empty pairer.
func NewPairer() *Pairer { return &Pairer{routes: make(map[pairKey]*routePairs)} }

// Record takes in one outcome.
func (p *Pairer) Record(o Outcome, now model.Time) {
	k := pairKey{o.Route, o.Move}
	r, ok := p.routes[k]
	if !ok {
		r = newRoutePairs(now)
		p.routes[k] = r
	}
	r.last = now
	if o.New {
		r.recordNew(o, now)
		return
	}
	r.recordOld(o, now)
}

// Flush reports the counts since the last flush as effect.ReportOutcomes.
func (p *Pairer) Flush(now model.Time, out *effect.List) {
	var changed []pairKey
	for k, r := range p.routes {
		switch {
		case r.counts != (model.MoveEvidence{}):
			changed = append(changed, k)
		case now.Sub(r.last) > pairerIdle:
			delete(p.routes, k)
		}
	}
	slices.SortFunc(changed, comparePairKeys)
	for _, k := range changed {
		r := p.routes[k]
		ev := r.counts
		ev.Move = k.move
		ev.Route = k.route.Route
		r.counts = model.MoveEvidence{}
		out.Add(effect.ReportOutcomes{Evidence: ev})
	}
}

func comparePairKeys(a, b pairKey) int {
	return cmp.Or(cmp.Compare(a.move, b.move),
		cmp.Compare(a.route.Customer, b.route.Customer),
		cmp.Compare(a.route.Route, b.route.Route))
}

// half is an outcome that waits for a partner of the other version.
type half struct {
	waiting bool
	at      model.Time
	failed  bool
	slow    bool
	slowest time.Duration // threshold that slow was judged by, 0 if none was known
}

// routePairs pairs the outcomes of one route and move.
type routePairs struct {
	counts model.MoveEvidence
	last   model.Time

	oldHalf  half // latest unpaired outcome of the old version
	newHalf  half // latest unpaired outcome of the new version
	newFirst bool // the new version's half comes first in the next pair

	latencies   *hdrhistogram.Histogram // of the old version, in this window
	windowStart model.Time
	windowCount int
	slowest     time.Duration // threshold from an earlier window, 0 if none is known
	complete    bool          // the threshold comes from a complete window
}

func newRoutePairs(now model.Time) *routePairs {
	h := hdrhistogram.New(1, int64(maxLatency/latencyUnit), latencyDigits)
	return &routePairs{latencies: h, windowStart: now}
}

// recordOld takes in an outcome of the old version.
func (r *routePairs) recordOld(o Outcome, now model.Time) {
	r.counts.Old++
	if r.newFirst && r.newHalf.usable(now) {
		r.pair(r.newHalf, r.judge(o, r.newHalf.slowest, now))
	} else {
		r.oldHalf = r.judge(o, r.slowest, now)
	}
	if !o.Failed {
		r.recordLatency(o.Latency, now)
	}
}

// recordNew takes in an outcome of the new version.
func (r *routePairs) recordNew(o Outcome, now model.Time) {
	r.counts.New++
	if !r.newFirst && r.oldHalf.usable(now) {
		r.pair(r.judge(o, r.oldHalf.slowest, now), r.oldHalf)
	} else {
		r.newHalf = r.judge(o, r.slowest, now)
	}
}

// judge returns an outcome as half of a pair. The second half of a pair is judged by the
// threshold of the first, which was fixed before either.
func (r *routePairs) judge(o Outcome, slowest time.Duration, now model.Time) half {
	return half{
		waiting: true,
		at:      now,
		failed:  o.Failed,
		slow:    slowest > 0 && o.Latency > slowest,
		slowest: slowest,
	}
}

// usable reports whether a half waits and is recent enough.
func (h half) usable(now model.Time) bool {
	return h.waiting && now.Sub(h.at) <= maxPairAge
}

// pair counts a pair. The order of the halves alternates: with the old version always
// first, the start of a fault that hits both versions falls between the halves of many
// pairs, all of which count against the new version.
func (r *routePairs) pair(newHalf, oldHalf half) {
	countPair(&r.counts.Failures, newHalf.failed, oldHalf.failed)
	if newHalf.slowest > 0 {
		countPair(&r.counts.Slow, newHalf.slow, oldHalf.slow)
	}
	if r.newFirst {
		r.newHalf = half{}
	} else {
		r.oldHalf = half{}
	}
	r.newFirst = !r.newFirst
}

func countPair(p *model.PairCounts, newBad, oldBad bool) {
	p.Pairs++
	switch {
	case newBad && !oldBad:
		p.NewWorse++
	case oldBad && !newBad:
		p.OldWorse++
	}
}

// recordLatency adds to the window of the old version's latencies and takes the threshold
// from it when it is complete. The first window gives one early, and again each time its
// outcomes have doubled.
func (r *routePairs) recordLatency(d time.Duration, now model.Time) {
	v := min(d, maxLatency) / latencyUnit
	_ = r.latencies.RecordValue(int64(max(v, 1))) // in range by the line above
	r.windowCount++
	if now.Sub(r.windowStart) >= windowTime && r.windowCount >= windowOutcomes {
		r.takeThreshold()
		r.complete = true
		r.latencies.Reset()
		r.windowStart = now
		r.windowCount = 0
		return
	}
	if !r.complete && doubled(r.windowCount) {
		r.takeThreshold()
	}
}

// doubled reports whether n is firstOutcomes times a power of two.
func doubled(n int) bool {
	if n < firstOutcomes || n%firstOutcomes != 0 {
		return false
	}
	q := n / firstOutcomes
	return q&(q-1) == 0
}

func (r *routePairs) takeThreshold() {
	r.slowest = time.Duration(r.latencies.ValueAtPercentile(100*slowQuantile)) * latencyUnit
}
