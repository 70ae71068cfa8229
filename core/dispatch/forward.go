package dispatch

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// A gathered query costs a VM one attempt per shard. If VMs differ in size, or if there are more
// of them than the connection limits of the backend servers allow, only some VMs, the senders,
// send such queries. The other VMs forward their queries to a sender, preferably in their zone.

const (
	// acceptTimeout is how long a sender may take to accept a query. It detects a sender that is
	// paused or partitioned.
	acceptTimeout = 60 * time.Millisecond
	// maxTimerDelay is how late a timer of this VM may fire. If one fires later, this VM itself
	// had no CPU time, and the sender's acceptance may have arrived without being read.
	maxTimerDelay = 10 * time.Millisecond
	// senderAvoidance is how long no query is forwarded to a sender after it failed or declined.
	senderAvoidance = 2 * time.Second
	// maxSenderViewLag is how much older a sender's view may be than that of the entry VM.
	maxSenderViewLag = 1500 * time.Millisecond
)

// sender is the state that an entry VM keeps of a sender to which it forwards queries.
type sender struct {
	running    int // forwarded queries without a final answer
	avoidUntil model.Time
}

// Events and effects of forwarding queries.
type (
	// ForwardAccepted reports that a sender has accepted a query. Version is that of the configuration by
	// which it handles the query; 0 if the sender does not tell.
	ForwardAccepted struct {
		Query   model.QueryID
		Version uint64
	}
	// ForwardDeclined reports that a sender has declined a query and will not run it. Version is that of
	// the sender's configuration; 0 if it has none or does not tell.
	ForwardDeclined struct {
		Query   model.QueryID
		Version uint64
		Reason  string
	}
	// ForwardAnswered reports a sender's final answer: either Gathered, with a signature at least, or
	// Refusal is set. Version is that of the configuration by which the sender has handled the query.
	ForwardAnswered struct {
		Query    model.QueryID
		Version  uint64
		Gathered *GatheredReply
		Refusal  *Refuse
	}
	// ForwardLost reports that the stream to a sender has ended. Opened means that the sender
	// may have received something on it.
	ForwardLost struct {
		VM     model.VM
		Opened bool
		Cause  string
	}
	// Forward forwards a query to a sender.
	Forward struct {
		Query         model.QueryID
		VM            model.VM
		Address       string
		MinVersion    uint64 // lowest configuration version that may answer
		ViewAge       time.Duration
		CallerTimeout time.Duration // time until the caller's deadline
	}
	// CancelForward tells a sender that the answer to a query is no longer needed, since the
	// caller has left or this VM has answered it.
	CancelForward struct {
		Query model.QueryID
		VM    model.VM
	}
	// CloseSilentSender closes the stream to a sender if nothing was received on it recently.
	CloseSilentSender struct{ VM model.VM }
	// AcceptForward and DeclineForward answer the entry VM that has forwarded a query. Version is that of
	// this VM's configuration, 0 if it has none.
	AcceptForward struct {
		Query   model.QueryID
		Version uint64
	}
	DeclineForward struct {
		Query   model.QueryID
		Version uint64
		Reason  string
	}
)

func (ForwardAccepted) event() {}
func (ForwardDeclined) event() {}
func (ForwardAnswered) event() {}
func (ForwardLost) event()     {}

func (Forward) effect()           {}
func (CancelForward) effect()     {}
func (CloseSilentSender) effect() {}
func (AcceptForward) effect()     {}
func (DeclineForward) effect()    {}

// declineReason returns why this VM declines a forwarded query, or "" if it accepts it. r is the route of
// the query under this VM's configuration, or nil. That configuration may be newer than the one by which
// the entry VM has chosen to forward the query. If the route is not gathered any more, the entry VM has to
// send the query: it expects a merged reply, and only queries that may be repeated are sent for other VMs.
func (s *State) declineReason(ev RequestReceived, r *route, now model.Time) string {
	switch {
	case s.stopEnd != 0:
		return "the VM is stopping"
	case s.view.Config == nil:
		return "no configuration is known yet"
	case s.unconfirmed:
		return "the view is not confirmed yet"
	case s.view.Config.Version < ev.MinVersion || s.outdated(now):
		return "the configuration is older"
	case ev.ViewAge > ev.EntryViewAge+maxSenderViewLag:
		return "the view is older"
	case r == nil:
		return "the configuration has no such route"
	case !r.Gathers():
		return "the route is not gathered"
	}
	return ""
}

func (s *State) decline(q *query, ev RequestReceived, reason string) {
	s.log(logline.Info, "forwarded query declined", q, logline.F("reason", reason), logline.F("age", ev.ViewAge),
		logline.F("its_age", ev.EntryViewAge), logline.F("config", s.configVersion()), logline.F("its_config", ev.MinVersion))
	s.emit(DeclineForward{Query: q.id, Version: s.configVersion(), Reason: reason})
}

// forward forwards a query to a sender if this VM does not send such queries itself, and reports
// whether it did.
func (s *State) forward(q *query, viewAge time.Duration, now model.Time) bool {
	if !q.route.Gathers() || s.view.IsSender || len(s.view.Senders) == 0 {
		return false
	}
	vm := s.pickSender(now)
	if vm == nil {
		return false
	}
	q.sender = vm.Name
	q.acceptDeadline = now.Add(acceptTimeout)
	s.senderOf(vm.Name).running++
	s.count(CountForwarded)
	s.log(logline.Info, "query forwarded to a sender", q, logline.F("peer", vm.Name), logline.F("config", s.view.Config.Version),
		logline.F("age", viewAge), logline.F("running", s.senderOf(vm.Name).running))
	s.emit(Forward{
		Query: q.id, VM: vm.Name, Address: vm.Address, MinVersion: max(s.view.Config.Version, s.newest.version),
		ViewAge: viewAge, CallerTimeout: q.callerDeadline.Sub(now),
	})
	s.scheduleWake(q, min(q.acceptDeadline, q.deadline))
	return true
}

// pickSender returns the sender with the fewest running queries of this VM, or nil if all senders
// are avoided. It prefers senders in this VM's zone.
func (s *State) pickSender(now model.Time) *model.EntryVM {
	var best *model.EntryVM
	bestCost := 0.0
	for i := range s.view.Senders {
		vm := &s.view.Senders[i]
		state := s.senderOf(vm.Name)
		if now < state.avoidUntil {
			continue
		}
		cost := float64(state.running) + rank(s.cfg.Self, string(vm.Name))
		if vm.Zone != s.cfg.Zone {
			cost += otherZoneCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = vm, cost
		}
	}
	return best
}

// otherZoneCost is the number of running queries that pickSender adds for a sender in another zone.
const otherZoneCost = 20

func (s *State) senderOf(vm model.VM) *sender {
	state, ok := s.senders[vm]
	if !ok {
		state = &sender{}
		s.senders[vm] = state
	}
	return state
}

// endForward removes a query from the running queries of its sender.
func (s *State) endForward(q *query) {
	s.senderOf(q.sender).running--
	q.sender = ""
}

// sendLocally starts the attempts of a query on this VM, unless its configuration is outdated.
func (s *State) sendLocally(q *query, now model.Time) {
	if s.outdated(now) {
		s.refuseOutdated(q, now)
		return
	}
	s.setShards(q)
	s.countLoad(q.route, now)
	if s.refuseAtOnce(q, now) {
		return
	}
	for i := range q.shards {
		s.countRequest(q.shards[i].set, now)
		s.startShard(q, i, now)
	}
	s.tryAnswer(q, now)
}

// handleForwardEvent handles a sender's answers and the end of the stream to a sender.
func (s *State) handleForwardEvent(ev Event, now model.Time) {
	switch ev := ev.(type) {
	case ForwardAccepted:
		s.configSeen(ev.Version, now)
		if q, ok := s.forwardedQuery(ev.Query); ok {
			q.acceptDeadline = model.Never
			s.scheduleWake(q, q.deadline)
		}
	case ForwardDeclined:
		if q, ok := s.forwardedQuery(ev.Query); ok {
			s.forwardDeclined(q, ev, now)
		}
	case ForwardAnswered:
		s.configSeen(ev.Version, now)
		if q, ok := s.forwardedQuery(ev.Query); ok {
			s.endForward(q)
			s.answerForwarded(q, ev, now)
		}
	case ForwardLost:
		s.senderLost(ev, now)
	}
}

// forwardDeclined sends a query that a sender has declined. The sender is avoided, unless its configuration
// is newer: it may then be sound, and have declined since the route has changed.
func (s *State) forwardDeclined(q *query, ev ForwardDeclined, now model.Time) {
	if ev.Version <= s.configVersion() {
		s.senderOf(q.sender).avoidUntil = now.Add(senderAvoidance)
	}
	s.log(logline.Info, "sender declined the query", q, logline.F("peer", q.sender), logline.F("reason", ev.Reason),
		logline.F("config", s.configVersion()), logline.F("its_config", ev.Version))
	s.endForward(q)
	s.sendLocally(q, now)
}

func (s *State) forwardedQuery(id model.QueryID) (*query, bool) {
	q, ok := s.queries[id]
	if !ok || q.ended || q.sender == "" {
		return nil, false
	}
	return q, true
}

func (s *State) answerForwarded(q *query, ev ForwardAnswered, now model.Time) {
	if ev.Refusal != nil {
		q.retryAfter = ev.Refusal.RetryAfter
		s.refuse(q, ev.Refusal.Code, "sender: "+ev.Refusal.Reason, now)
		return
	}
	g := *ev.Gathered
	g.Query = q.id
	s.endGathered(q, g, now)
}

// senderLost refuses the queries that were forwarded on a stream that has ended, since their
// attempts may have run; this lets the caller decide on a retry at once. If nothing can have
// reached the sender, this VM sends the queries itself.
func (s *State) senderLost(ev ForwardLost, now model.Time) {
	s.senderOf(ev.VM).avoidUntil = now.Add(senderAvoidance)
	for _, q := range s.sortedQueries() {
		if q.ended || q.sender != ev.VM {
			continue
		}
		s.log(logline.Info, "stream to the sender ended", q, logline.F("peer", ev.VM), logline.F("cause", ev.Cause), logline.F("opened", ev.Opened))
		s.endForward(q)
		if ev.Opened {
			s.refuse(q, CodeFailed, "the sender was lost", now)
			continue
		}
		s.sendLocally(q, now)
	}
}

// wakeForwarded handles an expired timer of a forwarded query.
func (s *State) wakeForwarded(q *query, now model.Time) {
	switch {
	case now >= q.deadline:
		s.emit(CancelForward{Query: q.id, VM: q.sender})
		s.endForward(q)
		s.refuse(q, CodeTimeout, "the sender did not answer in time", now)
	case now >= q.acceptDeadline.Add(maxTimerDelay):
		q.acceptDeadline = now.Add(acceptTimeout)
		s.scheduleWake(q, min(q.acceptDeadline, q.deadline))
	case now >= q.acceptDeadline:
		s.senderSilent(q, now)
	default:
		s.scheduleWake(q, min(q.acceptDeadline, q.deadline))
	}
}

// senderSilent refuses a query that a sender did not accept in time. The sender may still run it,
// so this VM must not send it as well.
func (s *State) senderSilent(q *query, now model.Time) {
	s.emit(CancelForward{Query: q.id, VM: q.sender})
	s.emit(CloseSilentSender{VM: q.sender})
	s.senderOf(q.sender).avoidUntil = now.Add(senderAvoidance)
	s.log(logline.Info, "sender did not accept in time", q, logline.F("peer", q.sender))
	s.endForward(q)
	s.refuse(q, CodeFailed, "the sender did not accept in time", now)
}
