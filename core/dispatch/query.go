package dispatch

import (
	"container/heap"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// stopShare is the part of a route's target after which a gathered answer goes out with
	// the parts that are in, if they suffice. The rest is for the way back.
	stopShare = 0.9
	// answerMargin is the time before a deadline at which the final answer is given, so that
	// it reaches the caller in time.
	answerMargin = 15 * time.Millisecond
	// answerMarginShare bounds the margin before a route's target to a part of the target.
	answerMarginShare = 0.25
	// lingerFor is how long attempts may go on after their query has been answered, so that
	// the server's work and the connection are not lost.
	lingerFor = time.Second
	// defaultPatience stands in where neither the caller nor the route states a deadline.
	defaultPatience = 10 * time.Second
	// retryAfter is when a caller of a request that was not run should come back.
	retryAfter = 50 * time.Millisecond
)

// query is one request of a caller.
type query struct {
	id       model.QueryID
	callerID string
	route    *route
	latency  *latencies
	received model.Time
	stopAt   model.Time // a gathered answer goes out with what is in
	deadline model.Time // time of the final answer
	patience model.Time // end of the caller's patience, for the servers

	shards   []shard
	answered int  // shards that are in
	open     int  // shards that are neither in nor given up
	mayRun   bool // a server may have run the request
	ended    bool

	sender   model.VM   // that has the query, or ""
	acceptBy model.Time // noWake once the sender has accepted

	wakeAt    model.Time
	heapIndex int
}

// shard is the state of one replica set of a query. A route that reads one server has one.
type shard struct {
	set      model.ReplicaSet
	tried    []model.BackendServerID // servers that the request reached
	avoid    []model.BackendServerID // servers that could not be reached
	running  []*attempt
	hedgeAt  model.Time // noWake if there will be no hedge
	done     bool       // in, or given up
	part     *Reply
	lastFail *Reply // last failure that a server stated
	cause    string // of the last attempt without a result
}

func (s *State) received(ev RequestReceived, now model.Time) {
	s.count(CountRequests)
	q := &query{id: ev.Query, callerID: ev.CallerID, received: now, wakeAt: noWake}
	if ev.Forwarded {
		if reason := s.declineReason(ev, now); reason != "" {
			s.log(logline.Info, "query declined", q, logline.F("reason", reason), logline.F("age", ev.ViewAge), logline.F("its_age", ev.EntryViewAge))
			s.emit(DeclineForward{Query: q.id, Reason: reason})
			return
		}
		s.emit(AcceptForward{Query: q.id})
	}
	if s.view.Config == nil {
		s.refuse(q, CodeNotRun, "no configuration is known yet", now)
		return
	}
	r := s.routes.find(ev.Host, ev.Path)
	if r == nil {
		s.refuse(q, CodeNoRoute, "no route takes this host and path", now)
		return
	}
	q.route = r
	q.latency = s.latencyOf(r.EntryRoute, now)
	s.setTimes(q, ev.CallerTimeout)
	if s.stopEnd != 0 && now >= s.stopEnd {
		s.refuse(q, CodeNotRun, "the VM is stopping", now)
		return
	}
	s.queries[q.id] = q
	heap.Push(&s.timers, q)
	if ev.Forwarded || !s.forward(q, ev.ViewAge, now) {
		s.sendSelf(q, now)
	}
}

func (s *State) setTimes(q *query, patience time.Duration) {
	if patience <= 0 {
		patience = defaultPatience
		if q.route.Timeout > 0 {
			patience = q.route.Timeout
		}
	}
	q.patience = q.received.Add(patience)
	if t := q.route.Timeout; t > 0 {
		patience = min(patience, t)
	}
	q.deadline = q.received.Add(patience - min(answerMargin, patience/10))
	q.stopAt = q.deadline
	if t := q.route.Target; t > 0 && q.route.Gathers() {
		margin := min(answerMargin, time.Duration(answerMarginShare*float64(t)))
		q.stopAt = min(q.deadline, q.received.Add(time.Duration(stopShare*float64(t))-margin))
	}
}

func (s *State) setShards(q *query) {
	sets := q.route.Shards
	if !q.route.Gathers() {
		sets = []model.ReplicaSet{q.route.choose()}
	}
	q.shards = make([]shard, len(sets))
	for i, set := range sets {
		q.shards[i] = shard{set: set, hedgeAt: noWake}
	}
	q.open = len(sets)
}

// start sends the first attempt of a shard. It gives the shard up if no server is known, and
// tries again soon if no server has room for a connection of this VM.
func (s *State) start(q *query, i int, now model.Time) {
	sh := &q.shards[i]
	if r := s.pick(q, sh, now); r != nil {
		s.send(q, i, r, now)
		return
	}
	if s.anyUsable(sh.set, now) {
		sh.cause = "no server has room;"
		sh.hedgeAt = now.Add(busyPause)
		return
	}
	sh.cause = "no server is known"
	s.giveUp(q, sh)
}

func (s *State) giveUp(q *query, sh *shard) {
	if !sh.done {
		sh.done = true
		q.open--
	}
}

func (s *State) partIn(q *query, sh *shard, reply *Reply) {
	if sh.done {
		return
	}
	sh.done = true
	sh.part = reply
	q.answered++
	q.open--
}

// callerGone ends a query whose caller left, and its attempts with it.
func (s *State) callerGone(id model.QueryID) {
	q, ok := s.queries[id]
	if !ok || q.ended {
		return
	}
	s.count(CountCallerGone)
	s.log(logline.Debug, "caller left", q)
	if q.sender != "" {
		s.emit(CancelForward{Query: q.id, VM: q.sender})
		s.takeBack(q)
	}
	s.endQuery(q, q.received)
	s.abortAll(q)
}

func (s *State) abortAll(q *query) {
	for i := range q.shards {
		for _, a := range q.shards[i].running {
			s.emit(Abort{Attempt: a.id})
		}
	}
}

// wake looks at a query whose time has come.
func (s *State) wake(q *query, now model.Time) {
	if q.ended {
		s.abortAll(q)
		s.drop(q)
		return
	}
	if q.sender != "" {
		s.wakeForwarded(q, now)
		return
	}
	for i := range q.shards {
		switch sh := &q.shards[i]; {
		case sh.hedgeAt > now || sh.done:
		case len(sh.running)+len(sh.tried) == 0:
			sh.hedgeAt = noWake
			s.start(q, i, now)
		default:
			s.hedge(q, i, now)
		}
	}
	s.settle(q, now)
}
