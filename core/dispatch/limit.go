package dispatch

import (
	"math"
	"time"

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
