package dispatch

import (
	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// attempt is one request sent to one backend server.
type attempt struct {
	id     model.AttemptID
	query  *query
	shard  int
	server model.Replica
	stats  *serverStats
	sent   model.Time
}

func (s *State) sendAttempt(q *query, i int, r *model.Replica, now model.Time) {
	sh := &q.shards[i]
	s.lastAttempt++
	a := &attempt{id: s.lastAttempt, query: q, shard: i, server: *r, stats: s.statsOf(r), sent: now}
	a.stats.running[a.id] = now
	a.stats.cold.recordSent(now)
	a.stats.limit.recordSent(now)
	s.countCanary(r)
	s.attempts[a.id] = a
	sh.running = append(sh.running, a)
	sh.nextAttemptAt = model.Never
	if q.route.Idempotent && len(sh.reached)+len(sh.running) < q.route.MaxAttempts {
		sh.nextAttemptAt = now.Add(q.latency.hedgeAfter())
	}
	s.count(CountAttempts)
	s.emit(Send{Attempt: a.id, Query: q.id, Server: *r, Deadline: q.callerDeadline, MaxReplyBytes: q.route.maxReplyBytes()})
}

const (
	// maxShardReplyBytes bounds the reply of one shard. A gathered query waits for many of them.
	maxShardReplyBytes = 256 << 10
	// maxSingleReplyBytes bounds the reply to a query that goes to one server.
	maxSingleReplyBytes = 16 << 20
)

func (r *route) maxReplyBytes() int64 {
	if r.Gathers() {
		return maxShardReplyBytes
	}
	return maxSingleReplyBytes
}

// attemptEnded records the outcome of an attempt and then answers or continues its query.
func (s *State) attemptEnded(ev AttemptEnded, now model.Time) {
	a, ok := s.attempts[ev.Attempt]
	if !ok {
		return
	}
	delete(s.attempts, a.id)
	delete(a.stats.running, a.id)
	s.observeNotice(a, ev, now)
	s.observeOutcome(a, ev, now)
	s.countOutcome(a, ev)
	s.recordEvidence(a, ev, now)
	q := a.query
	sh := &q.shards[a.shard]
	sh.removeRunning(a)
	if ev.Outcome != NotSent {
		sh.reached = append(sh.reached, a.server.ID)
	}
	if q.ended {
		s.lateAttemptEnded(q, ev)
		return
	}
	if ev.Outcome == Answered || ev.Outcome == Unclear {
		q.mayHaveRun = true
	}
	if ev.Outcome == Answered && ev.Reply.success() {
		s.completeShard(q, sh, ev.Reply)
		s.tryAnswer(q, now)
		return
	}
	s.attemptFailed(q, a, ev, now)
	s.tryAnswer(q, now)
}

// observeOutcome updates the statistics of the server and the route of an attempt.
func (s *State) observeOutcome(a *attempt, ev AttemptEnded, now model.Time) {
	duration := now.Sub(a.sent)
	median := max(float64(a.query.latency.median), float64(latencyUnit))
	switch ev.Outcome {
	case Answered:
		s.count(CountAnswered)
		a.stats.answeredAt = now
		a.stats.observeFailure(!ev.Reply.success(), now)
		if ev.Reply.success() {
			a.stats.observe(float64(duration)/median, now)
			a.query.latency.record(duration, now)
			s.emit(RecordDuration{Route: a.query.route.Name, Attempt: true, Duration: duration})
		}
	case NotSent:
		s.count(CountAttemptNotSent)
		a.stats.observeFailure(true, now)
		a.stats.avoidUntil = now.Add(unreachableAvoidance)
	case NotRun:
		s.count(CountAttemptNotRun)
		a.stats.answeredAt = now
		a.stats.observeFailure(true, now)
		a.stats.avoidUntil = now.Add(refusalAvoidance)
	case Misdirected:
		s.count(CountAttemptMisdirected)
		a.stats.reassignedAddress = a.server.Address
	case Unclear:
		s.count(CountAttemptUnclear)
		a.stats.observeFailure(true, now)
	case Aborted:
		a.stats.observeWait(float64(duration)/median, now)
	}
}

func (sh *shard) removeRunning(a *attempt) {
	for i, r := range sh.running {
		if r == a {
			sh.running = append(sh.running[:i], sh.running[i+1:]...)
			return
		}
	}
}

// attemptFailed handles an attempt without a usable result: it retries if that is allowed, and
// otherwise fails the shard unless another attempt is running.
func (s *State) attemptFailed(q *query, a *attempt, ev AttemptEnded, now model.Time) {
	sh := &q.shards[a.shard]
	sh.cause = ev.Outcome.String()
	if ev.Cause != "" {
		sh.cause += ": " + ev.Cause
	}
	if ev.Outcome == Answered {
		sh.lastFailure = ev.Reply
		sh.cause = "server failed"
	}
	if ev.Outcome == NotSent {
		sh.unreachable = append(sh.unreachable, a.server.ID)
	}
	s.log(logline.Info, "attempt failed", q, logline.F("set", sh.set), logline.F("server", a.server.ID),
		logline.F("version", a.server.Version), logline.F("cause", sh.cause), logline.F("after", now.Sub(a.sent)))
	if sh.done {
		return
	}
	if s.retry(q, a, ev.Outcome, now) || len(sh.running) > 0 {
		return
	}
	s.failShard(q, sh)
}

// retry sends the request to another server after a failed attempt, and reports whether it did.
// A request that may have run is retried only if it is idempotent. If the request has not
// reached any server of the shard, the retry does not count against the retry budget.
func (s *State) retry(q *query, a *attempt, outcome Outcome, now model.Time) bool {
	sh := &q.shards[a.shard]
	if !outcome.notRun() && !q.route.Idempotent {
		return false
	}
	if len(sh.running) > 0 || now >= q.deadline {
		return false
	}
	if outcome == NotSent && len(sh.unreachable) > maxUnreachable {
		return false
	}
	if len(sh.reached) >= q.route.MaxAttempts && outcome != NotSent {
		return false
	}
	r := s.pick(q, sh, now)
	if r == nil {
		return false
	}
	if len(sh.reached) > 0 && !s.budgetOf(sh.set).tryTake(s.cfg.Budget, now, s.burst(q.route), false) {
		s.count(CountBudgetEmpty)
		sh.noBudget = true
		sh.cause += "; retry budget is used up"
		s.log(logline.Info, "failed attempt not retried", q, logline.F("set", sh.set), logline.F("cause", "retry budget is used up"),
			logline.F("burst", s.burst(q.route)))
		return false
	}
	if len(sh.reached) > 0 {
		s.count(CountRetries)
	}
	s.sendAttempt(q, a.shard, r, now)
	return true
}

// maxUnreachable limits how often a shard is retried because a server could not be reached.
const maxUnreachable = 3

// hedge sends a second attempt of a shard, unless the other server is expected to answer after
// the deadline or much more slowly than usual, or the retry budget is used up.
func (s *State) hedge(q *query, i int, now model.Time) {
	sh := &q.shards[i]
	sh.nextAttemptAt = model.Never
	if now >= q.partialAt || len(sh.running) == 0 {
		return
	}
	r := s.pick(q, sh, now)
	if r == nil {
		return
	}
	srv := s.statsOf(r)
	if srv.limit.active() {
		return // first attempts need what the limit allows
	}
	wait := srv.expectedWait(r, q.latency, now)
	if now.Add(wait) > q.deadline || wait > maxHedgeWait*q.latency.p95 {
		return
	}
	for _, a := range sh.running {
		a.stats.observeWait(float64(now.Sub(a.sent))/max(float64(q.latency.median), float64(latencyUnit)), now)
	}
	if !s.budgetOf(sh.set).tryTake(s.cfg.Budget, now, s.burst(q.route), true) {
		s.count(CountBudgetEmpty)
		sh.noBudget = true
		sh.cause = "no hedge, the retry budget is used up;"
		s.log(logline.Info, "no hedge", q, logline.F("set", sh.set), logline.F("cause", "retry budget is used up"),
			logline.F("burst", s.burst(q.route)))
		return
	}
	s.count(CountHedges)
	s.log(logline.Info, "hedge sent", q, logline.F("set", sh.set), logline.F("server", r.ID), logline.F("waited", now.Sub(sh.running[0].sent)),
		logline.F("expected", wait), logline.F("median", q.latency.median))
	s.sendAttempt(q, i, r, now)
}

// maxHedgeWait is the expected wait, in multiples of the route's 95th percentile, above which no
// hedge is sent to a server.
const maxHedgeWait = 3
