package dispatch

import (
	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// attempt is one request sent to one server.
type attempt struct {
	id     model.AttemptID
	query  *query
	shard  int
	server model.Replica
	stats  *server
	sent   model.Time
}

func (s *State) send(q *query, i int, r *model.Replica, now model.Time) {
	sh := &q.shards[i]
	s.next++
	a := &attempt{id: s.next, query: q, shard: i, server: *r, stats: s.serverOf(r), sent: now}
	a.stats.running[a.id] = now
	a.stats.cold.send(now)
	s.countCanary(r)
	s.attempts[a.id] = a
	sh.running = append(sh.running, a)
	sh.hedgeAt = noWake
	if q.route.Idempotent && len(sh.tried)+len(sh.running) < q.route.MaxAttempts {
		sh.hedgeAt = now.Add(q.latency.hedgeAfter())
	}
	s.count(CountAttempts)
	s.emit(Send{Attempt: a.id, Query: q.id, Server: *r, Deadline: q.patience})
}

// attemptEnded takes the end of an attempt into what is known of its server and its query.
func (s *State) attemptEnded(ev AttemptEnded, now model.Time) {
	a, ok := s.attempts[ev.Attempt]
	if !ok {
		return
	}
	delete(s.attempts, a.id)
	delete(a.stats.running, a.id)
	s.learn(a, ev, now)
	s.observeVersion(a, ev, now)
	q := a.query
	sh := &q.shards[a.shard]
	sh.removeRunning(a)
	if ev.Outcome != NotSent {
		sh.tried = append(sh.tried, a.server.ID)
	}
	if q.ended {
		s.ended(q, ev)
		return
	}
	if ev.Outcome == Answered || ev.Outcome == Unclear {
		q.mayRun = true
	}
	if ev.Outcome == Answered && ev.Reply.success() {
		s.partIn(q, sh, ev.Reply)
		s.settle(q, now)
		return
	}
	s.attemptFailed(q, a, ev, now)
	s.settle(q, now)
}

// learn updates what is known of a server.
func (s *State) learn(a *attempt, ev AttemptEnded, now model.Time) {
	took := now.Sub(a.sent)
	median := max(float64(a.query.latency.median), float64(latencyUnit))
	switch ev.Outcome {
	case Answered:
		s.count(CountAnswered)
		a.stats.answeredAt = now
		a.stats.observeFailure(!ev.Reply.success(), now)
		if ev.Reply.success() {
			a.stats.observe(float64(took)/median, now)
			a.query.latency.record(took, now)
			s.emit(RecordDuration{Route: a.query.route.Name, Attempt: true, Duration: took})
		}
	case NotSent:
		s.count(CountAttemptNotSent)
		a.stats.observeFailure(true, now)
		a.stats.avoidUntil = now.Add(lostFor)
	case NotRun:
		s.count(CountAttemptNotRun)
		a.stats.answeredAt = now
		a.stats.observeFailure(true, now)
		a.stats.avoidUntil = now.Add(refusedFor)
	case Misdirected:
		s.count(CountAttemptMisdirected)
		a.stats.lostAddress = a.server.Address
	case Unclear:
		s.count(CountAttemptUnclear)
		a.stats.observeFailure(true, now)
	case Aborted:
		a.stats.observeWait(float64(took)/median, now)
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

// attemptFailed repeats an attempt elsewhere if that is allowed and pays.
func (s *State) attemptFailed(q *query, a *attempt, ev AttemptEnded, now model.Time) {
	sh := &q.shards[a.shard]
	sh.cause = ev.Outcome.String()
	if ev.Cause != "" {
		sh.cause += ": " + ev.Cause
	}
	if ev.Outcome == Answered {
		sh.lastFail = ev.Reply
		sh.cause = "server failed"
	}
	if ev.Outcome == NotSent {
		sh.avoid = append(sh.avoid, a.server.ID)
	}
	s.log(logline.Info, "attempt failed", q, logline.F("set", sh.set), logline.F("server", a.server.ID),
		logline.F("version", a.server.Version), logline.F("cause", sh.cause), logline.F("after", now.Sub(a.sent)))
	if sh.done {
		return
	}
	if s.repeat(q, a, ev.Outcome, now) || len(sh.running) > 0 {
		return
	}
	s.giveUp(q, sh)
}

// repeat sends a failed attempt to another server. A request that may have run is repeated
// only if it is idempotent; one that reached no server is repeated without cost.
func (s *State) repeat(q *query, a *attempt, outcome Outcome, now model.Time) bool {
	sh := &q.shards[a.shard]
	if !outcome.notRun() && !q.route.Idempotent {
		return false
	}
	if len(sh.running) > 0 || now >= q.deadline {
		return false
	}
	if outcome == NotSent && len(sh.avoid) > maxUnreachable {
		return false
	}
	if len(sh.tried) >= q.route.MaxAttempts && outcome != NotSent {
		return false
	}
	r := s.pick(q, sh, now)
	if r == nil {
		return false
	}
	if len(sh.tried) > 0 && !s.budgetOf(sh.set).take(s.cfg.Budget, now, s.burst(q.route), false) {
		s.count(CountBudgetEmpty)
		sh.cause += "; retry budget is used up"
		s.log(logline.Info, "no retry", q, logline.F("set", sh.set), logline.F("cause", "retry budget is used up"),
			logline.F("burst", s.burst(q.route)))
		return false
	}
	if len(sh.tried) > 0 {
		s.count(CountRetries)
	}
	s.send(q, a.shard, r, now)
	return true
}

// maxUnreachable bounds how many servers are tried that cannot be reached.
const maxUnreachable = 3

// hedge sends a second attempt of a shard if another server is likely to answer sooner than
// the one that has been waited for.
func (s *State) hedge(q *query, i int, now model.Time) {
	sh := &q.shards[i]
	sh.hedgeAt = noWake
	if now >= q.stopAt || len(sh.running) == 0 {
		return
	}
	r := s.pick(q, sh, now)
	if r == nil {
		return
	}
	srv := s.serverOf(r)
	wait := srv.expectedWait(r, q.latency, now)
	if now.Add(wait) > q.deadline || wait > maxHedgeWait*q.latency.high {
		return
	}
	for _, a := range sh.running {
		a.stats.observeWait(float64(now.Sub(a.sent))/max(float64(q.latency.median), float64(latencyUnit)), now)
	}
	if !s.budgetOf(sh.set).take(s.cfg.Budget, now, s.burst(q.route), true) {
		s.count(CountBudgetEmpty)
		sh.cause = "no hedge, the retry budget is used up;"
		s.log(logline.Info, "no hedge", q, logline.F("set", sh.set), logline.F("cause", "retry budget is used up"),
			logline.F("burst", s.burst(q.route)))
		return
	}
	s.count(CountHedges)
	s.log(logline.Info, "hedge", q, logline.F("set", sh.set), logline.F("server", r.ID), logline.F("waited", now.Sub(sh.running[0].sent)),
		logline.F("expected", wait), logline.F("median", q.latency.median))
	s.send(q, i, r, now)
}

// maxHedgeWait is the expected wait, in 95th percentiles of the route, above which a server
// gets no hedge.
const maxHedgeWait = 3
