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

	// maxUnpaired bounds the outcomes of the old version that wait for a partner. Only the
	// latest are used, so a longer list would gain pairs only in bursts.
	maxUnpaired = 128

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

// unpaired is an outcome of the old version that waits for a partner.
type unpaired struct {
	at      model.Time
	failed  bool
	slow    bool
	slowest time.Duration // threshold that slow was judged by, 0 if none was known
}

// routePairs pairs the outcomes of one route and move.
type routePairs struct {
	counts  model.MoveEvidence
	last    model.Time
	waiting [maxUnpaired]unpaired // a stack in a ring: the oldest is overwritten
	top     int                   // index after the latest
	size    int

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

// recordOld keeps an outcome of the old version for pairing. It is judged by a threshold
// that was fixed before, and its partner by the same one, so that under equal versions
// either half of a pair is as likely to be the slow one.
func (r *routePairs) recordOld(o Outcome, now model.Time) {
	r.counts.Old++
	r.waiting[r.top] = unpaired{
		at:      now,
		failed:  o.Failed,
		slow:    r.slowest > 0 && o.Latency > r.slowest,
		slowest: r.slowest,
	}
	r.top = (r.top + 1) % maxUnpaired
	r.size = min(r.size+1, maxUnpaired)
	if !o.Failed {
		r.recordLatency(o.Latency, now)
	}
}

// recordNew pairs an outcome of the new version with the latest unpaired one of the old
// version. Without one it is not paired.
func (r *routePairs) recordNew(o Outcome, now model.Time) {
	r.counts.New++
	old, ok := r.pop(now)
	if !ok {
		return
	}
	countPair(&r.counts.Failures, o.Failed, old.failed)
	if old.slowest > 0 {
		countPair(&r.counts.Slow, o.Latency > old.slowest, old.slow)
	}
}

// pop removes the latest unpaired outcome if it is recent enough. If it is not, neither
// are those before it.
func (r *routePairs) pop(now model.Time) (unpaired, bool) {
	if r.size == 0 {
		return unpaired{}, false
	}
	latest := (r.top + maxUnpaired - 1) % maxUnpaired
	if now.Sub(r.waiting[latest].at) > maxPairAge {
		r.size = 0
		return unpaired{}, false
	}
	r.top = latest
	r.size--
	return r.waiting[latest], true
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
