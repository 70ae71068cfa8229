package dispatch

import (
	"math"
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// limitWindow is the time over which the requests to a server are held to its stated limit.
	limitWindow = 4 * time.Second
	// minProbeInterval is the least time without word of a limit after which a VM whose part is too small
	// for any request sends one, to learn whether the limit has ended. probeShare is the part of the limit,
	// in requests a second, that all VMs together may use for such requests, and probeRate what they may
	// use besides.
	minProbeInterval = 10 * time.Second
	probeShare       = 0.2
	probeRate        = 0.12
	// limitMemory is how long the limit of a server that is no longer known is kept.
	limitMemory = 30 * time.Second
	// minSpacingShare is the least time between two requests as a fraction of their mean distance. It
	// keeps a VM from using its part of a window at once.
	minSpacingShare = 0.5
	// lessUrgentShare is the fraction of a VM's part that requests may use if a more urgent route needs
	// the same replica set.
	lessUrgentShare = 0.75
)

// requestLimit is the limit that a server has stated, with this VM's requests in the last limitWindow. It
// ends with an answer that does not state it.
type requestLimit struct {
	perSecond  float64    // from all VMs together; 0 if there is none
	statedAt   model.Time // last answer that stated it
	lastSentAt model.Time
	sent       []model.Time
}

// active reports whether the server has a limit.
func (l *requestLimit) active() bool { return l.perSecond > 0 }

func (l *requestLimit) recordSent(now model.Time) {
	if l.active() {
		l.sent = append(l.sent, now)
		l.lastSentAt = now
	}
}

// probeAt returns the earliest time at which a VM without a part of the limit may send one request. The
// times of vms VMs are spread by rank, a number in [0, 1) that differs by VM.
func (l *requestLimit) probeAt(vms int, rank float64) model.Time {
	perSecond := probeShare*l.perSecond + probeRate
	interval := max(time.Duration(float64(vms)/perSecond*float64(time.Second)), minProbeInterval)
	return max(l.statedAt, l.lastSentAt).Add(interval/2 + time.Duration(rank*float64(interval)))
}

// nextAt returns the earliest time at which this VM may send another request if its part of the limit is
// part, in requests a second; model.Never if that is less than a request in limitWindow. The parts of all
// VMs add up to the limit, but most of them are no whole number of requests in a window; rank, a number in
// [0, 1) that differs by VM, decides which are rounded up.
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
	if !srv.limit.active() {
		return now
	}
	part := srv.limit.perSecond * s.loadShare(r, server.Set)
	if r.Priority > s.routes.mostUrgent[server.Set] {
		part *= lessUrgentShare
	}
	at := srv.limit.nextAt(part, srv.rank, now)
	if at == model.Never {
		return max(srv.limit.probeAt(s.sendingVMs(r), srv.rank), now)
	}
	return at
}
