package dispatch

import (
	"math"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// limitWindow is the time over which the requests to a server are held to its stated limit.
	limitWindow = 4 * time.Second
	// limitMemory is how long a limit is kept without an answer that states it. A VM whose part is too
	// small for any request would otherwise never learn that the limit has ended.
	limitMemory = 30 * time.Second
	// minSpacingShare is the least time between two requests as a fraction of their mean distance. It
	// keeps a VM from using its part of a window at once.
	minSpacingShare = 0.5
	// lessUrgentShare is the fraction of a VM's part that requests may use if a more urgent route needs
	// the same replica set.
	lessUrgentShare = 0.75
	// maxRetryAfter bounds the delay after which callers may return for a server that is at its limit.
	maxRetryAfter = 2 * time.Second
)

// requestLimit is the limit that a server has stated, with this VM's requests in the last limitWindow.
type requestLimit struct {
	perSecond float64    // from all VMs together; 0 if there is none
	statedAt  model.Time // last answer that stated it
	sent      []model.Time
}

// active reports whether the server has a limit.
func (l *requestLimit) active(now model.Time) bool {
	return l.perSecond > 0 && now.Sub(l.statedAt) < limitMemory
}

func (l *requestLimit) recordSent(now model.Time) {
	if l.active(now) {
		l.sent = append(l.sent, now)
	}
}

// nextAt returns the earliest time at which this VM may send another request if its part of the limit is
// part, in requests a second. The parts of all VMs add up to the limit, but most of them are no whole
// number of requests in a window; rank, a number in [0, 1) that differs by VM, decides which are rounded up.
func (l *requestLimit) nextAt(part, rank float64, now model.Time) model.Time {
	for len(l.sent) > 0 && now.Sub(l.sent[0]) >= limitWindow {
		l.sent = l.sent[1:]
	}
	quota := int(math.Floor(part*limitWindow.Seconds() + rank))
	if quota < 1 {
		return model.Never
	}
	at := now
	if n := len(l.sent); n > 0 {
		spacing := time.Duration(minSpacingShare / part * float64(time.Second))
		at = max(at, l.sent[n-1].Add(min(spacing, limitWindow)))
	}
	if n := len(l.sent); n >= quota {
		at = max(at, l.sent[n-quota].Add(limitWindow))
	}
	return at
}

// limitNextAt returns the earliest time at which the limit that a server has stated allows a request of a
// route.
func (s *State) limitNextAt(r *route, server *model.Replica, srv *serverStats, now model.Time) model.Time {
	if !srv.limit.active(now) {
		return now
	}
	part := srv.limit.perSecond * s.loadShare(r, server.Set)
	if r.Priority > s.routes.mostUrgent[server.Set] {
		part *= lessUrgentShare
	}
	return srv.limit.nextAt(part, srv.rank, now)
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
		at = min(at, max(s.limitNextAt(q.route, r, srv, now), now.Add(noRoomDelay)))
	}
	return at
}

// uselessAfter returns the time after which an attempt would be answered too late for its query.
func (q *query) uselessAfter() model.Time { return q.partialAt.Add(-q.latency.median) }

// refuseAtLimit refuses a query at once if the limits that servers have stated leave too few shards that
// can answer in time, and reports whether it did. Callers are told to return when the next servers have
// room, spread over twice that time.
func (s *State) refuseAtLimit(q *query, now model.Time) bool {
	if s.limited == 0 {
		return false
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
	s.count(CountAtLimit)
	s.refuse(q, CodeNotRun, "the servers are at the limits that they state", now)
	return true
}

// observeNotice records what a server says of itself. An answer without a limit ends the limit only if
// its request was sent after the last answer that stated one, since answers may overtake each other.
func (s *State) observeNotice(a *attempt, ev AttemptEnded, now model.Time) {
	if ev.Outcome != Answered && ev.Outcome != NotRun && ev.Notice == (Notice{}) {
		return
	}
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
	s.countLimits(now)
}

// countLimits counts the servers with a limit.
func (s *State) countLimits(now model.Time) {
	s.limited = 0
	for _, srv := range s.servers {
		if srv.limit.active(now) {
			s.limited++
		}
	}
}
