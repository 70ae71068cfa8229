package admission

import (
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// MaxRetries bounds the attempts of one sub-request after its first, hedges aside.
const MaxRetries = 2

// attempt is one attempt in flight.
type attempt struct {
	id         model.AttemptID
	request    *request
	server     *server
	started    model.Time
	until      model.Time // end of its timeout
	limit      int        // of the server when it was started
	generation uint64     // of the server when it was started
	hedge      bool
	cancelled  bool
}

// dispatch starts queued requests in order while slots are free. A retry that waits for a
// busy replica does not hold up the requests behind it.
func (o *Owner) dispatch(k *shardKey) {
	for i := 0; i < k.queue.len() && k.hasFreeSlot(o.now); {
		r := k.queue.items[i]
		s := k.choose(r, o.now)
		if s == nil {
			i++
			continue
		}
		o.dequeue(r)
		k.running = append(k.running, r)
		if r.started == 0 {
			k.budget.earn()
			k.retries.earn()
		}
		o.start(r, s, false)
	}
}

func (k *shardKey) hasFreeSlot(now model.Time) bool {
	for _, s := range k.servers {
		if s.hasFreeSlot(now) {
			return true
		}
	}
	return false
}

// hasUntried reports whether a usable replica is left that the request was not sent to.
func (k *shardKey) hasUntried(r *request) bool {
	return slices.ContainsFunc(k.servers, func(s *server) bool { return s.usable && !r.triedOn(s) })
}

// choose returns the best replica with a free slot that the request was not sent to, or nil.
func (k *shardKey) choose(r *request, now model.Time) *server {
	healthy := slices.ContainsFunc(k.servers, func(s *server) bool {
		return s.usable && !s.failing(now) && s.limitAt(now) > 0 && !r.triedOn(s)
	})
	fastest := k.fastest(r, now)
	var best *server
	for _, s := range k.servers {
		if !s.hasFreeSlot(now) || r.triedOn(s) || healthy && s.failing(now) {
			continue
		}
		if s.straggles(fastest) && !k.worthwhile(s, fastest, now) {
			continue
		}
		if best == nil || s.better(best, now) {
			best = s
		}
	}
	return best
}

// better reports whether s is a better choice than t: not failed recently, then the lower
// ratio of in flight to limit, then the lower latency.
func (s *server) better(t *server, now model.Time) bool {
	if f, g := s.failedRecently(now), t.failedRecently(now); f != g {
		return g
	}
	load := s.inFlightAt(now) * t.limitAt(now)
	other := t.inFlightAt(now) * s.limitAt(now)
	if load != other {
		return load < other
	}
	return s.recent.value < t.recent.value
}

func (o *Owner) start(r *request, s *server, hedge bool) {
	k := r.key
	timeout := r.deadline.Sub(o.now)
	if k.route.AttemptTimeout > 0 {
		timeout = min(timeout, k.route.AttemptTimeout)
	}
	o.lastAttempt++
	a := &attempt{
		id:         o.lastAttempt,
		request:    r,
		server:     s,
		started:    o.now,
		until:      o.now.Add(timeout),
		limit:      s.limitAt(o.now),
		generation: s.generation,
		hedge:      hedge,
	}
	o.attempts[a.id] = a
	if s.straggles(k.fastest(&request{}, o.now)) {
		s.pace.probed(o.now)
	}
	s.inFlight++
	r.attempts = append(r.attempts, a)
	r.tried = append(r.tried, s.config.ID)
	r.started++
	o.out.Add(startEffect(a, k, timeout))
}

func startEffect(a *attempt, k *shardKey, timeout time.Duration) effect.StartAttempt {
	sub := &a.request.sub
	return effect.StartAttempt{
		Attempt:  a.id,
		Server:   a.server.config,
		Key:      sub.Key,
		Kind:     sub.Kind,
		Snapshot: sub.Snapshot,
		Timeout:  timeout,
		Limit:    sub.Limit,
		Limits:   k.version.Limits,
		Hedge:    a.hedge,
		Dedupe:   sub.Dedupe,
		Payload:  sub.Payload,
		Trace:    sub.Trace,
		Query:    sub.Query,
		Entry:    sub.Entry,
	}
}

// release frees the slot of an ended attempt and learns from its result.
func (o *Owner) release(a *attempt, res *model.AttemptResult) {
	r := a.request
	k := r.key
	a.server.inFlight--
	r.attempts = slices.DeleteFunc(r.attempts, func(b *attempt) bool { return a == b })
	if len(r.attempts) == 0 {
		k.running = slices.DeleteFunc(k.running, func(q *request) bool { return q == r })
	}
	cold, step := a.server.observe(a, res, o.now)
	if cold {
		o.count(CountColdStarts)
	}
	if step {
		o.count(CountLatencySteps)
	}
	k.observe(a, res.Outcome, o.now)
}

// observe updates the latencies of the key. Attempts that never ran are left out, and so
// are those cut off before they had run as long as the hedge delay.
func (k *shardKey) observe(a *attempt, outcome model.OutcomeCode, now model.Time) {
	elapsed := now.Sub(a.started)
	switch outcome {
	case model.OutcomeOK:
		k.latency.add(elapsed)
	case model.OutcomeTimeout, model.OutcomeCancelled:
		if !a.hedge && k.latency.delay > 0 && elapsed >= k.latency.delay {
			k.latency.add(elapsed)
		}
	case model.OutcomeFailed, model.OutcomeLost:
	default:
		return
	}
	k.service.add(float64(elapsed), serviceWeight)
}

// conclude decides what an ended attempt means for its request.
func (o *Owner) conclude(a *attempt, res *model.AttemptResult) {
	r := a.request
	if res.Outcome == model.OutcomeOK {
		if a.hedge {
			o.count(CountHedgeWins)
		}
		o.answer(a, res)
		return
	}
	r.note(a, res)
	if len(r.attempts) > 0 {
		return
	}
	if o.mayRetry(r, res.Outcome) {
		r.retries++
		o.enqueue(r)
		return
	}
	o.fail(r)
}

// note keeps the outcome to report if no other attempt succeeds. One that may have run
// outweighs those that prove the opposite; among the latter a lost snapshot tells most.
func (r *request) note(a *attempt, res *model.AttemptResult) {
	ran := !res.Outcome.NotRun()
	if r.ran && !ran {
		return
	}
	if !ran && r.outcome == model.OutcomeSnapshotGone {
		return
	}
	r.ran = ran
	r.outcome = res.Outcome
	r.reason = res.Reason
	r.server = a.server.config.ID
	r.oldest = res.Oldest
	r.newest = res.Newest
}

// mayRetry reports whether a request may be sent to another replica, and pays for it. It
// costs no budget if every attempt so far is proven not to have run; only then may a
// submit be sent again.
func (o *Owner) mayRetry(r *request, outcome model.OutcomeCode) bool {
	k := r.key
	if !k.serving(o.now) || k.shard == nil || r.deadline <= o.now || r.retries >= MaxRetries {
		return false
	}
	if k.version.Epoch != r.sub.Epoch || !k.hasUntried(r) {
		return false
	}
	switch outcome {
	case model.OutcomeRefusedConnection, model.OutcomeShed:
		if !r.ran {
			o.count(CountResends)
			return true
		}
	case model.OutcomeFailed, model.OutcomeLost, model.OutcomeTimeout, model.OutcomeSnapshotGone:
	default:
		return false
	}
	if !r.sub.Kind.Idempotent() || !k.retries.spend() {
		return false
	}
	o.count(CountRetries)
	return true
}
