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
	// maxPairAge is the maximum time between the two outcomes of a pair. Over a longer time,
	// changes of load and caches would appear as a difference between the versions.
	maxPairAge = 5 * time.Second

	// slowQuantile is the quantile of the old version's latency above which a query counts as
	// slow.
	slowQuantile = 0.9

	// The latency threshold is computed over a window of at least this duration and this
	// number of outcomes, and applies during the whole next window.
	minWindowTime     = 10 * time.Second
	minWindowOutcomes = 100

	// firstThresholdOutcomes is the number of outcomes after which the first window yields a
	// preliminary threshold, so that a move does not wait for a complete window.
	firstThresholdOutcomes = 50

	// The latency histogram has a unit of 10 microseconds, a maximum of one minute and two
	// significant digits. It takes about 18 KB per route.
	latencyUnit   = 10 * time.Microsecond
	maxLatency    = time.Minute
	latencyDigits = 2

	// idleTimeout is the time without outcomes after which the state of a route and move is
	// deleted.
	idleTimeout = time.Minute
)

// Outcome is the result of one query on a route with a running move.
type Outcome struct {
	Route   model.Route
	Move    string
	New     bool // sent to the new version
	Failed  bool
	Latency time.Duration
}

// Pairer pairs outcomes of the new and the old version on one traffic worker, and counts in
// how many pairs only one of them failed or was slow. It is not safe for concurrent use.
type Pairer struct {
	routes       map[pairKey]*routePairs
	compareRanks bool
}

type pairKey struct {
	route model.Route
	move  string
}

// NewPairer returns a Pairer without outcomes.
func NewPairer() *Pairer { return &Pairer{routes: make(map[pairKey]*routePairs)} }

// NewRankingPairer returns a Pairer that also counts how often an outcome of the new version was slower
// than those of the old version around it.
func NewRankingPairer() *Pairer {
	p := NewPairer()
	p.compareRanks = true
	return p
}

// Record adds one outcome.
func (p *Pairer) Record(o Outcome, now model.Time) {
	k := pairKey{o.Route, o.Move}
	r, ok := p.routes[k]
	if !ok {
		r = newRoutePairs(now)
		p.routes[k] = r
	}
	r.lastOutcome = now
	if p.compareRanks {
		r.ranks.record(o, now, &r.counts.Ranks)
	}
	if o.New {
		r.recordNew(o, now)
		return
	}
	r.recordOld(o, now)
}

// Flush adds an effect.ReportOutcomes for every route and move with counts since the last
// call, and deletes the state of idle ones.
func (p *Pairer) Flush(now model.Time, out *effect.List) {
	var changed []pairKey
	for k, r := range p.routes {
		r.ranks.endOverdue(now, &r.counts.Ranks)
		switch {
		case r.counts != (model.MoveEvidence{}):
			changed = append(changed, k)
		case now.Sub(r.lastOutcome) > idleTimeout:
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

// pairHalf is one outcome of a pair. While waiting is set, the other version's outcome is
// missing.
type pairHalf struct {
	waiting       bool
	at            model.Time
	failed        bool
	slow          bool
	slowThreshold time.Duration // threshold by which slow was determined, 0 if there was none
}

// routePairs pairs the outcomes of one route and move.
type routePairs struct {
	counts      model.MoveEvidence
	lastOutcome model.Time
	ranks       ranks

	oldHalf  pairHalf // latest unpaired outcome of the old version
	newHalf  pairHalf // latest unpaired outcome of the new version
	newFirst bool     // the next pair starts with an outcome of the new version

	latencies       *hdrhistogram.Histogram // of the old version, in the current window
	windowStart     model.Time
	windowCount     int
	slowThreshold   time.Duration // threshold for new outcomes, 0 if there is none yet
	windowCompleted bool          // the threshold is that of a complete window
}

func newRoutePairs(now model.Time) *routePairs {
	h := hdrhistogram.New(1, int64(maxLatency/latencyUnit), latencyDigits)
	return &routePairs{latencies: h, windowStart: now}
}

// recordOld adds an outcome of the old version, and completes a pair if an outcome of the new
// version waits.
func (r *routePairs) recordOld(o Outcome, now model.Time) {
	r.counts.Old++
	if r.newFirst && r.newHalf.canPair(now) {
		r.pair(r.newHalf, r.classify(o, r.newHalf.slowThreshold, now))
	} else {
		r.oldHalf = r.classify(o, r.slowThreshold, now)
	}
	if !o.Failed {
		r.recordLatency(o.Latency, now)
	}
}

// recordNew adds an outcome of the new version, and completes a pair if an outcome of the old
// version waits.
func (r *routePairs) recordNew(o Outcome, now model.Time) {
	r.counts.New++
	if !r.newFirst && r.oldHalf.canPair(now) {
		r.pair(r.classify(o, r.oldHalf.slowThreshold, now), r.oldHalf)
	} else {
		r.newHalf = r.classify(o, r.slowThreshold, now)
	}
}

// classify returns an outcome as one half of a pair. Callers pass the threshold of the first
// half for the second one, so that it was determined before both outcomes.
func (r *routePairs) classify(o Outcome, slowThreshold time.Duration, now model.Time) pairHalf {
	return pairHalf{
		waiting:       true,
		at:            now,
		failed:        o.Failed,
		slow:          slowThreshold > 0 && o.Latency > slowThreshold,
		slowThreshold: slowThreshold,
	}
}

// canPair reports whether a half waits and is recent enough to be paired.
func (h pairHalf) canPair(now model.Time) bool {
	return h.waiting && now.Sub(h.at) <= maxPairAge
}

// pair counts a pair and swaps the version that starts the next one. If the old version
// always came first, a fault that affects both versions could start between the halves of
// many pairs, and the new version would be worse in all of them.
func (r *routePairs) pair(newHalf, oldHalf pairHalf) {
	countPair(&r.counts.Failures, newHalf.failed, oldHalf.failed)
	if newHalf.slowThreshold > 0 {
		countPair(&r.counts.Slow, newHalf.slow, oldHalf.slow)
	}
	if r.newFirst {
		r.newHalf = pairHalf{}
	} else {
		r.oldHalf = pairHalf{}
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

// recordLatency adds a latency of the old version to the current window. It updates the
// threshold when the window is complete. In the first window, it also does so after
// firstThresholdOutcomes outcomes and each time their number has doubled since.
func (r *routePairs) recordLatency(d time.Duration, now model.Time) {
	v := min(d, maxLatency) / latencyUnit
	_ = r.latencies.RecordValue(int64(max(v, 1))) // the value is within the histogram's range
	r.windowCount++
	if now.Sub(r.windowStart) >= minWindowTime && r.windowCount >= minWindowOutcomes {
		r.updateThreshold()
		r.windowCompleted = true
		r.latencies.Reset()
		r.windowStart = now
		r.windowCount = 0
		return
	}
	if !r.windowCompleted && isDoubling(r.windowCount) {
		r.updateThreshold()
	}
}

// isDoubling reports whether n is firstThresholdOutcomes times a power of two.
func isDoubling(n int) bool {
	if n < firstThresholdOutcomes || n%firstThresholdOutcomes != 0 {
		return false
	}
	q := n / firstThresholdOutcomes
	return q&(q-1) == 0
}

func (r *routePairs) updateThreshold() {
	r.slowThreshold = time.Duration(r.latencies.ValueAtPercentile(100*slowQuantile)) * latencyUnit
}
