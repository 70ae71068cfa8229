package admission

import (
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Hedging selects how the delay before a hedge is measured.
type Hedging uint8

// Ways to time hedges.
const (
	// HedgeWithinBudget measures from dispatch. Unless the budget is nearly full, it raises the
	// percentile so that the hedge rate does not exceed the budget. With the 95th percentile
	// and a budget of 3%, two of five slow attempts would otherwise find the budget empty.
	HedgeWithinBudget Hedging = iota
	// HedgeFromDispatch measures from dispatch and always uses the percentile of the route. It
	// and HedgeFromEnqueue exist for the comparison in internal/loadmodel.
	HedgeFromDispatch
	// HedgeFromEnqueue measures from receipt and always uses the percentile of the route.
	HedgeFromEnqueue
)

// Defaults for a route that sets neither a hedge percentile nor a hedge budget.
const (
	DefaultHedgePercentile = 0.95
	DefaultHedgeBudget     = 0.03
)

const (
	// budgetBurst is the maximum number of tokens in a budget. A smaller burst raises the tail
	// latency: with 4, the p99 of the Haugland model at 50% load was 77 ms instead of 51 ms.
	budgetBurst = 10
	// retryRate is the number of retry tokens that each first attempt adds. It may be higher
	// than the hedge rate, since a retry replaces a failed attempt. It is bounded so that a
	// fault of all replicas does not double their load.
	retryRate = 0.1
	// retryReserve is the number of retry tokens of a new key. On a route with few requests,
	// the loss of one server would otherwise fail requests before any tokens are added.
	retryReserve = 3
	// latencySamples is the number of recent attempts from which the hedge delay is computed.
	latencySamples = 128
	// minHedgeSamples is the minimum number of samples for a hedge.
	minHedgeSamples = 32
	// quantileInterval is the number of new samples after which the quantile is recomputed.
	quantileInterval = 16
)

// hedgeBudget is a token bucket that limits hedges. Each first attempt adds rate tokens, and
// each hedge takes one.
type hedgeBudget struct {
	percentile float64
	rate       float64
	tokens     float64
}

// configure sets the percentile and the rate. A route that sets the percentile but no budget
// has no hedges.
func (b *hedgeBudget) configure(r *model.RouteConfig) {
	b.percentile = r.HedgePercentile
	b.rate = r.HedgeBudget
	if b.percentile == 0 {
		b.percentile = DefaultHedgePercentile
		if b.rate == 0 {
			b.rate = DefaultHedgeBudget
		}
	}
}

func (b *hedgeBudget) addTokens() { b.tokens = min(b.tokens+b.rate, budgetBurst) }

// quantile returns the quantile of the attempt latency that is used as the hedge delay.
func (b *hedgeBudget) quantile(h Hedging) float64 {
	if h != HedgeWithinBudget || b.tokens >= budgetBurst-1 {
		return b.percentile
	}
	return max(b.percentile, 1-b.rate)
}

func (b *hedgeBudget) hasToken() bool { return b.tokens >= 1 }

func (b *hedgeBudget) takeToken() bool {
	if !b.hasToken() {
		return false
	}
	b.tokens--
	return true
}

// retryBudget is a token bucket that limits retries. Each first attempt adds retryRate tokens,
// and each retry takes one.
type retryBudget struct{ tokens float64 }

func (b *retryBudget) addTokens() { b.tokens = min(b.tokens+retryRate, budgetBurst) }

func (b *retryBudget) takeToken() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// latencyWindow holds the latencies of the last latencySamples attempts of a shard key.
type latencyWindow struct {
	samples  []time.Duration
	next     int
	sorted   []time.Duration // sorted copy of samples, possibly outdated
	unsorted int             // samples added since the copy was made
	delay    time.Duration   // last quantile returned, which is the hedge delay
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

// quantile returns the quantile q of the latencies, and false while there are too few samples.
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

// hedgeAt returns the time from which a request may be hedged, or model.Never.
func (o *Owner) hedgeAt(r *request) model.Time {
	if r.done || r.hedged || len(r.attempts) != 1 || !r.sub.Kind.Idempotent() {
		return model.Never
	}
	delay, ok := r.key.latency.quantile(r.key.hedgeBudget.quantile(o.hedging))
	if !ok {
		return model.Never
	}
	if o.hedging == HedgeFromEnqueue {
		return r.received.Add(delay)
	}
	return r.attempts[0].started.Add(delay)
}

// startHedges starts a second attempt for each request whose hedge is due and for which
// another replica has a free slot. It starts none while requests are queued.
func (o *Owner) startHedges(k *shardKey) {
	for _, r := range k.running {
		if k.queue.len() > 0 || !k.hedgeBudget.hasToken() {
			return
		}
		if o.hedgeAt(r) > o.now || r.deadline <= o.now {
			continue
		}
		s := k.chooseServer(r, o.now)
		if s == nil || s.failedRecently(o.now) {
			continue
		}
		k.hedgeBudget.takeToken()
		r.hedged = true
		o.count(CountHedges)
		o.startAttempt(r, s, true)
	}
}

// nextHedge returns the next time at which a hedge becomes due. Overdue hedges need no
// wake-up, since they wait for an event that frees a slot or adds a token.
func (o *Owner) nextHedge(k *shardKey) model.Time {
	at := model.Never
	if k.queue.len() > 0 || !k.hedgeBudget.hasToken() || !k.serving(o.now) || len(k.servers) < 2 {
		return at
	}
	for _, r := range k.running {
		if due := o.hedgeAt(r); due > o.now {
			at = min(at, due)
		}
	}
	return at
}

// cancelAttempts cancels the attempts of a request. Their slots stay occupied until
// AttemptDone reports the end of each attempt.
func (o *Owner) cancelAttempts(r *request) {
	for _, a := range r.attempts {
		if !a.cancelled {
			a.cancelled = true
			o.out.Add(effect.CancelAttempt{Attempt: a.id})
		}
	}
}
