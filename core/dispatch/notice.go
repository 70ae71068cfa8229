package dispatch

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// lastResortTime is how long a server that leaves is still used if all servers of its set leave.
	lastResortTime = time.Second
	// leavingMemory is how long a server that leaves is remembered after its registration is gone, which
	// may return for a moment.
	leavingMemory = 10 * time.Minute
	// maxRetryAfter bounds the delay after which callers may return for servers that take no more.
	maxRetryAfter = 2 * time.Second
	// noticeCountInterval is the time after which servers whose notices have ended are no longer counted.
	noticeCountInterval = time.Second
)

// noticeNextAt returns the earliest time at which what a server has said of itself allows a request of a
// route, or model.Never.
func (s *State) noticeNextAt(r *route, server *model.Replica, srv *serverStats, now model.Time) model.Time {
	if srv.leaving() {
		if now.Sub(srv.leavingAt) < lastResortTime && s.allLeave(server.Set) {
			return now
		}
		return model.Never
	}
	return max(srv.restUntil, s.limitNextAt(r, server, srv, now))
}

// roomAt returns the earliest time at which a server of a shard may have room for an attempt, or
// model.Never if none is usable. A server that is at another bound may have room at any time.
func (s *State) roomAt(q *query, sh *shard, now model.Time) model.Time {
	at := model.Never
	replicas := s.view.Replicas[sh.set]
	for i := range replicas {
		r := &replicas[i]
		srv := s.statsOf(r)
		if sh.attempted(r.ID) || srv.reassignedAddress == r.Address || s.excluded(r, now) {
			continue
		}
		at = min(at, max(s.noticeNextAt(q.route, r, srv, now), now.Add(noRoomDelay)))
	}
	return at
}

// uselessAfter returns the time after which an attempt would be answered too late for its query.
func (q *query) uselessAfter() model.Time { return q.partialAt.Add(-q.latency.median) }

// refuseAtOnce refuses a query at once if what servers have said of themselves leaves too few shards that
// can answer in time, and reports whether it did. Callers are told to return when the next servers have
// room, spread over twice that time.
func (s *State) refuseAtOnce(q *query, now model.Time) bool {
	if s.bound == 0 {
		return false
	}
	if now.Sub(s.noticesCountedAt) >= noticeCountInterval {
		s.countNotices(now)
	}
	open, next := 0, model.Never
	for i := range q.shards {
		sh := &q.shards[i]
		if s.pick(q, sh, now) != nil || !s.hasUsableServer(sh.set, now) {
			open++
			continue
		}
		at := s.roomAt(q, sh, now)
		if at <= q.uselessAfter() {
			open++
		} else {
			next = min(next, at)
		}
	}
	if next == model.Never && open == len(q.shards) || q.route.Gathers() && q.meetsMinCoverage(open) {
		return false
	}
	wait := min(max(next.Sub(now), retryAfter), maxRetryAfter)
	q.retryAfter = wait + time.Duration(s.rng.Float64()*float64(wait))
	s.count(CountNoRoom)
	s.refuse(q, CodeNotRun, "the servers take no more requests for now", now)
	return true
}

// observeNotice records what a server says of itself. An answer without a limit ends the limit only if
// its request was sent after the last answer that stated one, since answers may overtake each other.
func (s *State) observeNotice(a *attempt, ev AttemptEnded, now model.Time) {
	if ev.Outcome != Answered && ev.Outcome != NotRun && ev.Notice == (Notice{}) {
		return
	}
	s.observeLeaving(a, ev.Notice, now)
	l := &a.stats.limit
	stated := ev.Notice.Limit
	switch {
	case stated > 0:
		l.statedAt = now
	case a.sent < l.statedAt:
		return
	}
	if stated == l.perSecond {
		return
	}
	s.log(logline.Info, "server has stated another limit", a.query, logline.F("set", a.server.Set), logline.F("server", a.server.ID),
		logline.F("per_second", stated), logline.F("before", l.perSecond), logline.F("share", s.loadShare(a.query.route, a.server.Set)))
	l.perSecond = stated
	s.countNotices(now)
}

// observeLeaving records that a server leaves or rests. A server that leaves gets no request before its
// next start, whatever its registration says.
func (s *State) observeLeaving(a *attempt, n Notice, now model.Time) {
	srv := a.stats
	if n.Leaving && !srv.leaving() {
		srv.leavingAt = now
		s.log(logline.Info, "server says that it leaves", a.query, logline.F("set", a.server.Set), logline.F("server", a.server.ID))
	}
	if until := now.Add(n.Rest); n.Rest > 0 && until > srv.restUntil {
		s.count(CountRests)
		s.log(logline.Info, "server wants no requests for some time", a.query, logline.F("set", a.server.Set), logline.F("server", a.server.ID),
			logline.F("rest", n.Rest))
		srv.restUntil = until
	}
	if n.Leaving || n.Rest > 0 {
		s.countNotices(now)
	}
}

// bound reports whether something that the server has said of itself bounds the requests to it.
func (srv *serverStats) bound(now model.Time) bool { return srv.avoided(now) || srv.limit.active() }

// avoided reports whether the server has said that it leaves, or rests.
func (srv *serverStats) avoided(now model.Time) bool {
	return srv.leaving() && now.Sub(srv.leavingAt) < leavingMemory || now < srv.restUntil
}

// remembered reports whether what the server has said of itself is kept although its registration is gone.
func (srv *serverStats) remembered(now model.Time) bool {
	return srv.avoided(now) || srv.limit.active() && now.Sub(srv.limit.statedAt) < limitMemory
}

// leaving reports whether the server has said that it leaves.
func (srv *serverStats) leaving() bool { return srv.leavingAt != 0 }

// allLeave reports whether all known servers of a replica set have said that they leave.
func (s *State) allLeave(set model.ReplicaSet) bool {
	replicas := s.view.Replicas[set]
	for i := range replicas {
		if !s.statsOf(&replicas[i]).leaving() {
			return false
		}
	}
	return true
}

// countNotices counts the servers with a limit, and those that something they have said bounds.
func (s *State) countNotices(now model.Time) {
	s.limited, s.bound, s.noticesCountedAt = 0, 0, now
	for _, srv := range s.servers {
		if srv.limit.active() {
			s.limited++
		}
		if srv.bound(now) {
			s.bound++
		}
	}
}
