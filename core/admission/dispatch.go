package admission

import (
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// MaxRetries is the maximum number of retries of one sub-request. Hedges do not count.
const MaxRetries = 2

// attempt is one request in flight to a backend server.
type attempt struct {
	id         model.AttemptID
	request    *request
	server     *server
	started    model.Time
	timesOutAt model.Time
	limit      int    // limit of the server when the attempt started
	generation uint64 // generation of the server when the attempt started
	hedge      bool
	cancelled  bool
}

// dispatch starts queued requests in order while slots are free. A retry whose remaining
// replicas are busy does not block the requests behind it.
func (o *Owner) dispatch(k *shardKey) {
	for i := 0; i < k.queue.len() && k.hasFreeSlot(o.now); {
		r := k.queue.items[i]
		s := k.chooseServer(r, o.now)
		if s == nil {
			i++
			continue
		}
		o.dequeue(r)
		k.running = append(k.running, r)
		if r.startedAttempts == 0 {
			k.hedgeBudget.addTokens()
			k.retryBudget.addTokens()
		}
		o.startAttempt(r, s, false)
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

// hasUntriedReplica reports whether there is a usable replica that the request was not sent to.
func (k *shardKey) hasUntriedReplica(r *request) bool {
	return slices.ContainsFunc(k.servers, func(s *server) bool { return s.usable && !r.triedOn(s) })
}

// chooseServer returns the best replica with a free slot that the request was not sent to,
// or nil. It skips failing replicas while another one is healthy, and stragglers unless
// mayUseStraggler allows them.
func (k *shardKey) chooseServer(r *request, now model.Time) *server {
	healthy := slices.ContainsFunc(k.servers, func(s *server) bool {
		return s.usable && !s.failing(now) && s.limitAt(now) > 0 && !r.triedOn(s)
	})
	fastest := k.fastestServer(r, now)
	var best *server
	for _, s := range k.servers {
		if !s.hasFreeSlot(now) || r.triedOn(s) || healthy && s.failing(now) {
			continue
		}
		if s.isStraggler(fastest) && !k.mayUseStraggler(s, fastest, now) {
			continue
		}
		if best == nil || s.betterThan(best, now) {
			best = s
		}
	}
	return best
}

// betterThan reports whether s is preferred to t. A server without a recent failure comes
// first, then the one with the lower ratio of attempts in flight to limit, then the one with
// the lower latency.
func (s *server) betterThan(t *server, now model.Time) bool {
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

func (o *Owner) startAttempt(r *request, s *server, hedge bool) {
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
		timesOutAt: o.now.Add(timeout),
		limit:      s.limitAt(o.now),
		generation: s.generation,
		hedge:      hedge,
	}
	o.attempts[a.id] = a
	if s.isStraggler(k.fastestServer(&request{}, o.now)) {
		s.selection.scheduleProbe(o.now)
	}
	s.inFlight++
	r.attempts = append(r.attempts, a)
	r.tried = append(r.tried, s.config.ID)
	r.startedAttempts++
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

// releaseSlot frees the slot of a completed attempt and updates the limit and the latencies
// of its server and key.
func (o *Owner) releaseSlot(a *attempt, res *model.AttemptResult) {
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

// observe updates the latency and the service time of the key. Attempts that did not run are
// ignored. The latency also ignores failed and lost attempts, and timed-out or cancelled ones
// that are hedges or ended before the hedge delay.
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
	k.serviceTime.add(float64(elapsed), serviceWeight)
}

// handleResult replies to the request of a completed attempt, retries it, or waits for its
// other attempt.
func (o *Owner) handleResult(a *attempt, res *model.AttemptResult) {
	r := a.request
	if res.Outcome == model.OutcomeOK {
		if a.hedge {
			o.count(CountHedgeWins)
		}
		o.replySuccess(a, res)
		return
	}
	r.recordFailure(a, res)
	if len(r.attempts) > 0 {
		return
	}
	if o.mayRetry(r, res.Outcome) {
		r.retries++
		o.enqueue(r)
		return
	}
	o.replyFailure(r)
}

// recordFailure stores the outcome that is reported if no attempt succeeds. An outcome of an
// attempt that may have run replaces outcomes that prove the opposite. Among outcomes that prove
// the opposite, a missing snapshot has priority, since it is the most informative one.
func (r *request) recordFailure(a *attempt, res *model.AttemptResult) {
	mayHaveRun := !res.Outcome.NotRun()
	if r.mayHaveRun && !mayHaveRun {
		return
	}
	if !mayHaveRun && r.outcome == model.OutcomeSnapshotGone {
		return
	}
	r.mayHaveRun = mayHaveRun
	r.outcome = res.Outcome
	r.reason = res.Reason
	r.server = a.server.config.ID
	r.oldest = res.Oldest
	r.newest = res.Newest
}

// mayRetry reports whether a request may be sent to another replica, and takes a token from
// the retry budget if one is needed. No token is needed if every attempt so far is proven not
// to have run. A submit may be retried only in that case.
func (o *Owner) mayRetry(r *request, outcome model.OutcomeCode) bool {
	k := r.key
	if !k.serving(o.now) || k.shard == nil || r.deadline <= o.now || r.retries >= MaxRetries {
		return false
	}
	if k.version.Epoch != r.sub.Epoch || !k.hasUntriedReplica(r) {
		return false
	}
	switch outcome {
	case model.OutcomeRefusedConnection, model.OutcomeShed:
		if !r.mayHaveRun {
			o.count(CountResends)
			return true
		}
	case model.OutcomeFailed, model.OutcomeLost, model.OutcomeTimeout, model.OutcomeSnapshotGone:
	default:
		return false
	}
	if !r.sub.Kind.Idempotent() || !k.retryBudget.takeToken() {
		return false
	}
	o.count(CountRetries)
	return true
}
