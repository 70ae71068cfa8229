package dispatch

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// A gathered query costs a VM one attempt a shard. Where VMs are of unlike size, or more than
// the connections of the backend servers allow, only some of them send such queries: the
// senders. The others hand their queries to a sender of their zone.

const (
	// acceptTimeout is how long a sender may take to accept a query. A sender that is paused
	// or cut off does not answer at all.
	acceptTimeout = 60 * time.Millisecond
	// ownDelay is how late a timer of this VM may be. A later one means that this VM itself
	// had no processor, so that the sender's word may be waiting unread.
	ownDelay = 10 * time.Millisecond
	// senderLostFor is how long a sender that failed is left out.
	senderLostFor = 2 * time.Second
	// senderStaleBy is how much older a sender's beliefs may be than those of the entry VM.
	senderStaleBy = 1500 * time.Millisecond
)

// sender is what an entry VM knows of a VM that sends for it.
type sender struct {
	running   int // queries without a final answer
	lostUntil model.Time
}

// Events and effects of handing queries over.
type (
	// ForwardAccepted reports that a sender has taken a query.
	ForwardAccepted struct{ Query model.QueryID }
	// ForwardDeclined reports that a sender has not taken a query and will not.
	ForwardDeclined struct{ Query model.QueryID }
	// ForwardAnswered brings a sender's final answer: one of the fields is set. Version is that
	// of the configuration that answered.
	ForwardAnswered struct {
		Query    model.QueryID
		Version  uint64
		Gathered *GatheredReply
		Refusal  *Refuse
	}
	// ForwardLost reports that the stream to a sender has ended. Opened tells whether the
	// sender may have received anything.
	ForwardLost struct {
		VM     model.VM
		Opened bool
		Cause  string
	}
	// Forward hands a query to a sender.
	Forward struct {
		Query         model.QueryID
		VM            model.VM
		Address       string
		MinVersion    uint64 // lowest version of the configuration that may answer
		ViewAge       time.Duration
		CallerTimeout time.Duration // time until the caller's deadline
	}
	// CancelForward tells a sender that the caller has left, or that nobody waits any more.
	CancelForward struct {
		Query model.QueryID
		VM    model.VM
	}
	// CloseSilentSender closes the stream to a sender if the sender has been silent.
	CloseSilentSender struct{ VM model.VM }
	// AcceptForward and DeclineForward answer an entry VM that hands a query over.
	AcceptForward  struct{ Query model.QueryID }
	DeclineForward struct {
		Query  model.QueryID
		Reason string
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

// declineReason returns why this VM does not take a query that is handed to it, or "".
func (s *State) declineReason(ev RequestReceived, now model.Time) string {
	switch {
	case s.stopEnd != 0:
		return "the VM is stopping"
	case s.view.Config == nil:
		return "no configuration is known yet"
	case s.view.Config.Version < ev.MinVersion:
		return "the configuration is older"
	case ev.ViewAge > ev.EntryViewAge+senderStaleBy:
		return "the beliefs are older"
	}
	return ""
}

// forward hands a query to a sender if this VM does not send such queries itself. It reports
// whether it did.
func (s *State) forward(q *query, age time.Duration, now model.Time) bool {
	if !q.route.Gathers() || s.view.IsSender || len(s.view.Senders) == 0 {
		return false
	}
	to := s.pickSender(now)
	if to == nil {
		return false
	}
	q.sender = to.Name
	q.acceptBy = now.Add(acceptTimeout)
	s.senderOf(to.Name).running++
	s.count(CountForwarded)
	s.log(logline.Info, "handed to a sender", q, logline.F("peer", to.Name), logline.F("config", s.view.Config.Version),
		logline.F("age", age), logline.F("running", s.senderOf(to.Name).running))
	s.emit(Forward{
		Query: q.id, VM: to.Name, Address: to.Address, MinVersion: max(s.view.Config.Version, s.seenVersion),
		ViewAge: age, CallerTimeout: q.patience.Sub(now),
	})
	s.setWake(q, min(q.acceptBy, q.deadline))
	return true
}

// pickSender returns the sender with the fewest queries of this VM, in this VM's zone if
// there is one, or nil.
func (s *State) pickSender(now model.Time) *model.EntryVM {
	var best *model.EntryVM
	bestCost := 0.0
	for i := range s.view.Senders {
		vm := &s.view.Senders[i]
		state := s.senderOf(vm.Name)
		if now < state.lostUntil {
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

// otherZoneCost is the number of running queries for which a sender of another zone makes up.
const otherZoneCost = 20

func (s *State) senderOf(vm model.VM) *sender {
	state, ok := s.senders[vm]
	if !ok {
		state = &sender{}
		s.senders[vm] = state
	}
	return state
}

// takeBack ends the hand-over of a query.
func (s *State) takeBack(q *query) {
	s.senderOf(q.sender).running--
	q.sender = ""
}

// sendSelf starts the attempts of a query at this VM.
func (s *State) sendSelf(q *query, now model.Time) {
	s.setShards(q)
	for i := range q.shards {
		s.countRequest(q.shards[i].set, now)
		s.start(q, i, now)
	}
	s.settle(q, now)
}

// forwardEnded takes what a sender says about a query.
func (s *State) forwardEnded(ev Event, now model.Time) {
	switch ev := ev.(type) {
	case ForwardAccepted:
		if q, ok := s.handedOver(ev.Query); ok {
			q.acceptBy = noWake
			s.setWake(q, q.deadline)
		}
	case ForwardDeclined:
		if q, ok := s.handedOver(ev.Query); ok {
			s.senderOf(q.sender).lostUntil = now.Add(senderLostFor)
			s.log(logline.Info, "sender declined", q, logline.F("peer", q.sender))
			s.takeBack(q)
			s.sendSelf(q, now)
		}
	case ForwardAnswered:
		if q, ok := s.handedOver(ev.Query); ok {
			s.seenVersion = max(s.seenVersion, ev.Version)
			s.takeBack(q)
			s.passForwarded(q, ev, now)
		}
	case ForwardLost:
		s.senderLost(ev, now)
	}
}

func (s *State) handedOver(id model.QueryID) (*query, bool) {
	q, ok := s.queries[id]
	if !ok || q.ended || q.sender == "" {
		return nil, false
	}
	return q, true
}

func (s *State) passForwarded(q *query, ev ForwardAnswered, now model.Time) {
	if ev.Refusal != nil {
		s.refuse(q, ev.Refusal.Code, "sender: "+ev.Refusal.Reason, now)
		return
	}
	g := *ev.Gathered
	g.Query = q.id
	s.endGathered(q, g, now)
}

// senderLost ends the queries of a lost sender, since their attempts may have run; the caller
// may ask again at once. If nothing can have reached the sender, they are sent from here.
func (s *State) senderLost(ev ForwardLost, now model.Time) {
	s.senderOf(ev.VM).lostUntil = now.Add(senderLostFor)
	for _, q := range s.sortedQueries() {
		if q.ended || q.sender != ev.VM {
			continue
		}
		s.log(logline.Info, "sender is lost", q, logline.F("peer", ev.VM), logline.F("cause", ev.Cause), logline.F("opened", ev.Opened))
		s.takeBack(q)
		if ev.Opened {
			s.refuse(q, CodeFailed, "the sender was lost", now)
			continue
		}
		s.sendSelf(q, now)
	}
}

// wakeForwarded looks at a query that a sender has.
func (s *State) wakeForwarded(q *query, now model.Time) {
	switch {
	case now >= q.deadline:
		s.emit(CancelForward{Query: q.id, VM: q.sender})
		s.takeBack(q)
		s.refuse(q, CodeTimeout, "the sender did not answer in time", now)
	case now >= q.acceptBy.Add(ownDelay):
		q.acceptBy = now.Add(acceptTimeout)
		s.setWake(q, min(q.acceptBy, q.deadline))
	case now >= q.acceptBy:
		s.senderSilent(q, now)
	default:
		s.setWake(q, min(q.acceptBy, q.deadline))
	}
}

// senderSilent ends a query that a sender did not accept in time. The sender may still run it,
// so that it must not be sent from here too.
func (s *State) senderSilent(q *query, now model.Time) {
	s.emit(CancelForward{Query: q.id, VM: q.sender})
	s.emit(CloseSilentSender{VM: q.sender})
	s.senderOf(q.sender).lostUntil = now.Add(senderLostFor)
	s.log(logline.Info, "sender did not accept in time", q, logline.F("peer", q.sender))
	s.takeBack(q)
	s.refuse(q, CodeFailed, "the sender did not accept in time", now)
}
