package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gooseberrylock/gooseberrylock/platform/wire"
)

const (
	// statedLimit is the requests a second that a server in need states, below its share of the load.
	statedLimit = 8
	// limitWindow, limitFactor and limitSlack bound the requests to a server with a limit: from
	// limitInForceAfter after it first stated the limit, and from VMs that were told noticeDelay before.
	limitWindow       = 4 * time.Second
	limitFactor       = 1.5
	limitSlack        = 5
	limitInForceAfter = 4 * time.Second
	noticeDelay       = 500 * time.Millisecond
	// restTime is the time without requests for which a server asks, in which it may get maxRestArrivals.
	restTime        = 2 * time.Second
	maxRestArrivals = 2
	minNoticeTime   = 5 * time.Second
	maxNoticeTime   = 15 * time.Second
)

// notice is something that a server says of itself in its answers while a fault is active.
type notice string

const (
	noticeLimit   notice = "LIMIT"
	noticeRest    notice = "REST"
	noticeLeaving notice = "LEAVING"
)

// setNotice adds the header of a server's notice to an answer.
func setNotice(n notice, h http.Header) {
	switch n {
	case noticeLimit:
		h.Set(wire.RequestLimit, strconv.Itoa(statedLimit))
	case noticeLeaving:
		h.Set(wire.Leaving, "1")
	case noticeRest:
		h.Set(wire.RetryAfter, strconv.FormatFloat(restTime.Seconds(), 'f', -1, 64))
	}
}

// noticeSource is one notice of one server; a fault that begins again is another one.
type noticeSource struct {
	server *server
	number int
}

// toldProcess is one start of a daemon that has received a notice.
type toldProcess struct {
	source      noticeSource
	daemon      *daemon
	incarnation int
}

// noticeRecord holds the notices that daemons have received, and the arrivals that count against them.
type noticeRecord struct {
	firstAt  map[noticeSource]time.Time
	toldAt   map[toldProcess]time.Time // first time; with noticeRest, of the current rest
	arrivals map[noticeSource][]time.Time
	rested   map[toldProcess]int // arrivals in the time without requests
}

func newNoticeRecord() noticeRecord {
	return noticeRecord{
		firstAt: make(map[noticeSource]time.Time), toldAt: make(map[toldProcess]time.Time),
		arrivals: make(map[noticeSource][]time.Time), rested: make(map[toldProcess]int),
	}
}

// toldDaemon returns the daemon to which a notice in the answer to a request counts: the one that has sent
// the request. For gathered requests to a small daemon it is not known, since any of the others sends them;
// a limit, which holds for the sum, then counts to the small one. The caller holds obs.mu.
func (obs *observations) toldDaemon(kind notice, id string) (*daemon, bool) {
	d, ok := obs.daemonByRequest[id]
	if !ok || d.small && (id[0] == 's' || id[0] == 't') && kind != noticeLimit {
		return nil, false
	}
	return d, true
}

// recordNotice records that a server is about to answer a request with its notice.
func (obs *observations) recordNotice(source noticeSource, kind notice, id string) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	d, ok := obs.toldDaemon(kind, id)
	if !ok {
		return
	}
	now := time.Now()
	if _, ok := obs.notices.firstAt[source]; !ok {
		obs.notices.firstAt[source] = now
	}
	told := toldProcess{source, d, d.currentIncarnation()}
	if at, ok := obs.notices.toldAt[told]; !ok || kind == noticeRest && now.Sub(at) > restTime {
		obs.notices.toldAt[told] = now
		obs.notices.rested[told] = 0
	}
}

// checkNotice checks an arrival against what the server has said to the daemon that sent it.
func (obs *observations) checkNotice(source noticeSource, kind notice, id string) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	d, ok := obs.toldDaemon(kind, id)
	if !ok {
		return
	}
	told := toldProcess{source, d, d.currentIncarnation()}
	at, ok := obs.notices.toldAt[told]
	now := time.Now()
	if !ok || !d.unsignalled(now) {
		return
	}
	since := now.Sub(at)
	switch kind {
	case noticeLeaving:
		if since > drainBound {
			obs.addViolation("LEAVING", "server %s got request %s %s after it had told %s that it leaves", source.server.ID, id, since, d.name)
		}
	case noticeRest:
		if since < noticeDelay || since > restTime {
			return
		}
		if obs.notices.rested[told]++; obs.notices.rested[told] > maxRestArrivals {
			obs.addViolation("REST", "server %s got request %s %s after it had asked %s for %s", source.server.ID, id, since, d.name, restTime)
		}
	case noticeLimit:
		if since < noticeDelay {
			return
		}
		obs.checkLimit(source, now)
	}
}

func (obs *observations) checkLimit(source noticeSource, now time.Time) {
	list := append(obs.notices.arrivals[source], now)
	for now.Sub(list[0]) > limitWindow {
		list = list[1:]
	}
	obs.notices.arrivals[source] = list
	if now.Sub(obs.notices.firstAt[source]) < limitInForceAfter {
		return
	}
	if bound := limitFactor*limitWindow.Seconds()*statedLimit + limitSlack; float64(len(list)) > bound {
		obs.addViolation("LIMIT", "server %s got %d requests in %s, its limit allows %.0f", source.server.ID, len(list), limitWindow, bound)
	}
}

// injectNotices makes random servers state each kind of notice, one server of a kind after the other, until
// ctx ends. It has random numbers of its own, so that the other faults of a seed stay as they are.
func (dep *deployment) injectNotices(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for i, kind := range []notice{noticeLimit, noticeRest, noticeLeaving} {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+1))
		wg.Go(func() { dep.injectNotice(ctx, kind, rng) })
	}
	wg.Wait()
}

func (dep *deployment) injectNotice(ctx context.Context, kind notice, rng *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, minFaultPause+time.Duration(rng.Int64N(int64(maxFaultPause-minFaultPause))))
		s := dep.pickServer(rng)
		if !s.setNotice(kind) {
			continue
		}
		start := time.Now()
		sleep(ctx, minNoticeTime+time.Duration(rng.Int64N(int64(maxNoticeTime-minNoticeTime))))
		dep.endNotice(s, kind)
		dep.observations.recordFault("notice "+string(kind)+" "+s.ID, start, time.Now())
	}
}

// setNotice makes a server state a notice, unless it states one already.
func (s *server) setNotice(kind notice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.notice != "" {
		return false
	}
	s.notice = kind
	s.noticeNumber++
	return true
}

// endNotice ends a server's notice. A server that said that it leaves is then a new start.
func (dep *deployment) endNotice(s *server, kind notice) {
	s.mu.Lock()
	s.notice = ""
	state := wire.StateReady
	if !s.drainingSince.IsZero() {
		state = wire.StateDraining
	}
	if kind == noticeLeaving {
		s.starts++
	}
	s.mu.Unlock()
	if kind == noticeLeaving && dep.isPresent(s) {
		dep.register(s, state)
	}
}

// isPresent reports whether a server has not been removed by a rollout.
func (dep *deployment) isPresent(s *server) bool {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	return slices.Contains(dep.servers, s)
}
