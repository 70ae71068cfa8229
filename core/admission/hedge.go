package admission

import (
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Hedging says from when the delay of a hedge counts.
type Hedging uint8

// Ways to time hedges.
const (
	// HedgeWithinBudget counts from dispatch. Unless the budget is nearly full, it raises the
	// percentile to what the budget can pay for: at the 95th with 3%, two of five slow
	// attempts would find it empty.
	HedgeWithinBudget Hedging = iota
	// HedgeFromDispatch and HedgeFromEnqueue use the route's percentile as it is. They are
	// kept for the comparison in internal/loadmodel.
	HedgeFromDispatch
	HedgeFromEnqueue
)

// Defaults for a route that sets neither of the two.
const (
	DefaultHedgePercentile = 0.95
	DefaultHedgeBudget     = 0.03
)

const (
	// budgetBurst bounds the extra attempts saved up. With 4 instead of 10, the p99 of the
	// Haugland model at 50% load was 77 ms instead of 51 ms.
	budgetBurst = 10
	// retryRate is the number of retries that one needed attempt pays for. A retry replaces
	// an attempt that brought nothing, so it may cost more than a hedge, but bounded, so that
	// a fault of all replicas does not double their load.
	retryRate = 0.1
	// retryReserve is the number of retries that a new key starts with: on a route with few
	// requests the loss of one server must not cost answers for lack of earned retries.
	retryReserve = 3
	// latencySamples is the number of latest attempts from which the delay is measured.
	latencySamples = 128
	// minHedgeSamples is the least number of samples for a hedge.
	minHedgeSamples = 32
	// quantileInterval is the number of samples after which the delay is measured again.
	quantileInterval = 16
)

// budget is a token bucket of extra attempts, filled by needed ones.
type budget struct {
	percentile float64
	rate       float64
	tokens     float64
}

// configure sets the rate. A route that sets the percentile and no budget has no hedges.
func (b *budget) configure(r *model.RouteConfig) {
	b.percentile = r.HedgePercentile
	b.rate = r.HedgeBudget
	if b.percentile == 0 {
		b.percentile = DefaultHedgePercentile
		if b.rate == 0 {
			b.rate = DefaultHedgeBudget
		}
	}
}

func (b *budget) earn() { b.tokens = min(b.tokens+b.rate, budgetBurst) }

// quantile returns the quantile of attempt latency after which a hedge is due.
func (b *budget) quantile(h Hedging) float64 {
	if h != HedgeWithinBudget || b.tokens >= budgetBurst-1 {
		return b.percentile
	}
	return max(b.percentile, 1-b.rate)
}

func (b *budget) available() bool { return b.tokens >= 1 }

func (b *budget) spend() bool {
	if !b.available() {
		return false
	}
	b.tokens--
	return true
}

// retryBudget is a token bucket of retries.
type retryBudget struct{ tokens float64 }

func (b *retryBudget) earn() { b.tokens = min(b.tokens+retryRate, budgetBurst) }

func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// latencyWindow holds the latest attempt latencies of a shard key.
type latencyWindow struct {
	samples  []time.Duration
	next     int
	sorted   []time.Duration // of some samples ago
	unsorted int             // samples since then
	delay    time.Duration   // last quantile measured
}

func (w *latencyWindow) add(d time.Duration) {
	w.unsorted++
	if len(w.samples) < latencySamples {
		w.samples = append(w.samples, d)
		return
	}
	w.samples[w.next] = d
	w.next = (w.next + 1) % latencySamples
}

// quantile returns the measured quantile, false while there are too few samples.
func (w *latencyWindow) quantile(q float64) (time.Duration, bool) {
	if len(w.samples) < minHedgeSamples {
		return 0, false
	}
	if len(w.sorted) == 0 || w.unsorted >= quantileInterval {
		w.sorted = append(w.sorted[:0], w.samples...)
		slices.Sort(w.sorted)
		w.unsorted = 0
	}
	i := int(q * float64(len(w.sorted)))
	w.delay = w.sorted[min(i, len(w.sorted)-1)]
	return w.delay, true
}

// hedgeAt returns when a request is due for a hedge.
func (o *Owner) hedgeAt(r *request) model.Time {
	if r.done || r.hedged || len(r.attempts) != 1 || !r.sub.Kind.Idempotent() {
		return model.Never
	}
	delay, ok := r.key.latency.quantile(r.key.budget.quantile(o.hedging))
	if !ok {
		return model.Never
	}
	if o.hedging == HedgeFromEnqueue {
		return r.received.Add(delay)
	}
	return r.attempts[0].started.Add(delay)
}

// hedge starts a second attempt for requests that are due, while nothing waits and a slot
// is idle on another replica.
func (o *Owner) hedge(k *shardKey) {
	for _, r := range k.running {
		if k.queue.len() > 0 || !k.budget.available() {
			return
		}
		if o.hedgeAt(r) > o.now || r.deadline <= o.now {
			continue
		}
		s := k.choose(r, o.now)
		if s == nil || s.failedRecently(o.now) {
			continue
		}
		k.budget.spend()
		r.hedged = true
		o.count(CountHedges)
		o.start(r, s, true)
	}
}

// nextHedge returns the next time at which a hedge becomes due. Those that are overdue
// wait for an event that frees a slot or a token.
func (o *Owner) nextHedge(k *shardKey) model.Time {
	at := model.Never
	if k.queue.len() > 0 || !k.budget.available() || !k.serving(o.now) || len(k.servers) < 2 {
		return at
	}
	for _, r := range k.running {
		if due := o.hedgeAt(r); due > o.now {
			at = min(at, due)
		}
	}
	return at
}

// cancelAttempts withdraws the attempts of a request. Their slots are free when they are
// reported done.
func (o *Owner) cancelAttempts(r *request) {
	for _, a := range r.attempts {
		if !a.cancelled {
			a.cancelled = true
			o.out.Add(effect.CancelAttempt{Attempt: a.id})
		}
	}
}
