package dispatch

import (
	"container/heap"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// partialAnswerShare is the fraction of a route's target latency after which a gathered
	// query is answered with the results received so far, if they meet the minimum coverage.
	// The rest of the target is left for transmitting the answer.
	partialAnswerShare = 0.9
	// answerMargin is how long before a deadline the final answer is sent, so that it reaches
	// the caller in time.
	answerMargin = 15 * time.Millisecond
	// answerMarginShare limits the margin before a route's target to a fraction of the target.
	answerMarginShare = 0.25
	// lateReplyTimeout is how long attempts may keep running after their query has been
	// answered. Aborting them at once would waste the server's work and close the connection.
	lateReplyTimeout = time.Second
	// maxKeptShardBytes is the size from which the reply of a shard is cut to the records that can be
	// in the answer, since replies are kept until the query is answered.
	maxKeptShardBytes = 4 << 10
	// defaultCallerTimeout applies if neither the caller nor the route sets a timeout.
	defaultCallerTimeout = 10 * time.Second
	// retryAfter is the delay that a CodeNotRun refusal asks the caller to wait before a retry.
	retryAfter = 50 * time.Millisecond
)

// query is one request of a caller. It is kept until it is answered and its attempts have ended.
type query struct {
	id             model.QueryID
	callerID       string
	route          *route
	config         uint64 // version of the configuration that the query follows
	latency        *latencies
	received       model.Time
	partialAt      model.Time // from then on a gathered query is answered with partial results
	deadline       model.Time // the final answer is sent by then
	callerDeadline model.Time // deadline of the caller, passed to the servers

	shards         []shard
	answeredShards int  // shards with a result
	pendingShards  int  // shards that have neither a result nor failed
	mayHaveRun     bool // a server may have run the request
	ended          bool
	retryAfter     time.Duration // delay that a CodeNotRun refusal asks for; 0 for the usual one

	sender         model.VM   // VM to which the query is forwarded, or ""
	acceptDeadline model.Time // deadline of the sender's acceptance; model.Never once it has accepted

	wakeAt    model.Time
	heapIndex int
}

// shard is the state of a query at one replica set. A query that is not gathered has one shard.
type shard struct {
	set           model.ReplicaSet
	reached       []model.BackendServerID // servers whose attempt has ended, unless it was NotSent
	unreachable   []model.BackendServerID // servers that could not be reached
	running       []*attempt
	nextAttemptAt model.Time // time of the hedge or of a delayed first attempt; model.Never if there is none
	done          bool       // has a result, or has failed
	result        *Reply
	lastFailure   *Reply // last reply that was not a success
	counted       bool   // the request counts for the limit of a rollout
	noBudget      bool   // an attempt was not sent because the retry budget was used up
	cause         string // why there is no result yet; for logs and refusals
}

func (s *State) handleRequest(ev RequestReceived, now model.Time) {
	s.count(CountRequests)
	q := &query{id: ev.Query, callerID: ev.CallerID, received: now, wakeAt: model.Never}
	r := s.routes.find(ev.Host, ev.Path)
	if ev.Forwarded {
		if reason := s.declineReason(ev, r, now); reason != "" {
			s.decline(q, ev, reason)
			return
		}
		s.emit(AcceptForward{Query: q.id, Version: s.configVersion()})
	}
	if s.view.Config == nil {
		s.refuse(q, CodeNotRun, "no configuration is known yet", now)
		return
	}
	if r == nil {
		if s.outdated(now) {
			s.refuseOutdated(q, now)
			return
		}
		s.refuse(q, CodeNoRoute, "no route takes this host and path", now)
		return
	}
	q.route, q.config = r, s.configVersion()
	q.latency = s.latencyOf(r.EntryRoute, now)
	if ev.Forwarded && s.view.Config.Version > ev.MinVersion {
		s.log(logline.Info, "forwarded query follows a newer configuration", q, logline.F("route", r.Name),
			logline.F("config", s.view.Config.Version), logline.F("its_config", ev.MinVersion))
	}
	s.setTimes(q, ev.CallerTimeout)
	if s.stopEnd != 0 && (now >= s.stopEnd || !s.canFinish(q, now)) {
		s.refuse(q, CodeNotRun, "the VM is stopping", now)
		return
	}
	q.endBy(s.answerBy)
	if s.unconfirmed {
		s.refuse(q, CodeNotRun, "the view of this VM is not confirmed yet", now)
		return
	}
	s.queries[q.id] = q
	heap.Push(&s.timers, q)
	if ev.Forwarded || !s.forward(q, ev.ViewAge, now) {
		s.sendLocally(q, now)
	}
}

func (s *State) setTimes(q *query, timeout time.Duration) {
	if timeout <= 0 {
		timeout = defaultCallerTimeout
		if q.route.Timeout > 0 {
			timeout = q.route.Timeout
		}
	}
	q.callerDeadline = q.received.Add(timeout)
	if t := q.route.Timeout; t > 0 {
		timeout = min(timeout, t)
	}
	q.deadline = q.received.Add(timeout - min(answerMargin, timeout/10))
	q.partialAt = q.deadline
	if t := q.route.Target; t > 0 && q.route.Gathers() {
		margin := min(answerMargin, time.Duration(answerMarginShare*float64(t)))
		q.partialAt = min(q.deadline, q.received.Add(time.Duration(partialAnswerShare*float64(t))-margin))
	}
}

// endBy moves the deadline of a query to a time, unless it is earlier.
func (q *query) endBy(at model.Time) {
	q.deadline = min(q.deadline, at)
	q.partialAt = min(q.partialAt, at)
}

func (s *State) setShards(q *query) {
	sets := q.route.Shards
	if !q.route.Gathers() {
		sets = []model.ReplicaSet{q.route.chooseSet()}
	}
	q.shards = make([]shard, len(sets))
	for i, set := range sets {
		q.shards[i] = shard{set: set, nextAttemptAt: model.Never}
	}
	q.pendingShards = len(sets)
}

// startShard sends the first attempt of a shard. If every usable server is at a limit, it tries
// again after noRoomRetryDelay; if there is no usable server, the shard fails.
func (s *State) startShard(q *query, i int, now model.Time) {
	sh := &q.shards[i]
	if r := s.pick(q, sh, now); r != nil {
		s.sendAttempt(q, i, r, now)
		return
	}
	if !s.hasUsableServer(sh.set, now) {
		sh.cause = "no server is known"
		s.failShard(q, sh)
		return
	}
	at := s.roomAt(q, sh, now)
	if at > q.uselessAfter() && at > now.Add(noRoomDelay) {
		sh.cause = "the servers take no more requests for now"
		s.failShard(q, sh)
		return
	}
	sh.cause = "no server has room;"
	sh.nextAttemptAt = at
}

func (s *State) failShard(q *query, sh *shard) {
	if !sh.done {
		sh.done = true
		q.pendingShards--
	}
}

func (s *State) completeShard(q *query, sh *shard, reply *Reply) {
	if sh.done {
		return
	}
	if q.route.Gathers() && len(reply.Body) > maxKeptShardBytes {
		reply.Body = mergeTop([][]byte{reply.Body}, q.route.TopK)
	}
	sh.done = true
	sh.result = reply
	q.answeredShards++
	q.pendingShards--
}

// callerGone ends a query whose caller has left, and aborts its attempts.
func (s *State) callerGone(id model.QueryID) {
	q, ok := s.queries[id]
	if !ok || q.ended {
		return
	}
	s.count(CountCallerGone)
	s.log(logline.Debug, "caller left", q)
	if q.sender != "" {
		s.emit(CancelForward{Query: q.id, VM: q.sender})
		s.endForward(q)
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

// wakeQuery handles an expired timer of a query: it aborts late attempts, starts delayed ones,
// sends hedges, and answers the query if it is time.
func (s *State) wakeQuery(q *query, now model.Time) {
	if q.ended {
		s.abortAll(q)
		s.removeQuery(q)
		return
	}
	if q.sender != "" {
		s.wakeForwarded(q, now)
		return
	}
	for i := range q.shards {
		switch sh := &q.shards[i]; {
		case sh.nextAttemptAt > now || sh.done:
		case len(sh.running)+len(sh.reached) == 0:
			sh.nextAttemptAt = model.Never
			s.startShard(q, i, now)
		default:
			s.hedge(q, i, now)
		}
	}
	s.tryAnswer(q, now)
}
