package directory

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/core/moves"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// minPairs is the number of pairs of answers of both versions without which a rollout is
	// not completed.
	minPairs = 10
	// verdictShare is the part of a rollout's time after which it may be completed, and
	// verdictReserve the least time that is left then. Evidence against the version is looked
	// for until then.
	verdictShare   = 0.85
	verdictReserve = 1500 * time.Millisecond
	// lastVerdict is the time before the deadline at which a rollout that could not be
	// completed is taken back.
	lastVerdict = 700 * time.Millisecond
	// verdictStagger is how much later the second reader writes a verdict, so that one write
	// is enough as long as the first reader reaches the store.
	verdictStagger = 700 * time.Millisecond
)

// Events and effects of rollouts.
type (
	// LocalEvidenceReceived reports the evidence on both versions that this VM's traffic has
	// collected since the last report. Move is the order of the rollout.
	LocalEvidenceReceived struct{ Evidence []model.MoveEvidence }
	// FollowerEvidenceReceived reports the evidence counters of a follower.
	FollowerEvidenceReceived struct{ Evidence []model.MoveEvidence }
	// RolloutWriteEnded reports the result of a WriteRolloutState.
	RolloutWriteEnded struct {
		Name  string
		Cause string // "" after success
	}
	// WriteRolloutState writes the new state of a rollout to the store, unless the object has
	// changed since the revision of Rollout.
	WriteRolloutState struct {
		Rollout model.Rollout
		State   model.RolloutState
	}
	// SendEvidence sends the evidence counters of this VM to all upstreams.
	SendEvidence struct{ Evidence []model.MoveEvidence }
)

func (LocalEvidenceReceived) event()    {}
func (FollowerEvidenceReceived) event() {}
func (RolloutWriteEnded) event()        {}
func (WriteRolloutState) effect()       {}
func (SendEvidence) effect()            {}

// RolloutStatus is what a VM tells its followers about a running rollout.
type RolloutStatus struct {
	Order    string
	Age      time.Duration // since the order
	Withheld bool
}

// rollout is an order with the evidence on its target version.
type rollout struct {
	order     model.Rollout
	key       string // order.Order()
	tally     *moves.EvidenceAggregate
	orderedAt model.Time
	wanted    model.RolloutState // next state that this VM would write
	wantedAt  model.Time
	writing   bool
	retryAt   model.Time
}

func (s *State) applyRollout(c Change, now model.Time) {
	r, ok := c.Value.(*model.Rollout)
	old, known := s.rollouts[c.Name]
	if c.Removed || !ok {
		if known {
			delete(s.rollouts, c.Name)
			s.changed = true
			s.log(logline.Info, "rollout is gone", logline.F("set", old.order.Set), logline.F("revision", c.Revision))
		}
		return
	}
	if !known || old.key != r.Order() {
		old = &rollout{key: r.Order(), tally: moves.NewEvidenceAggregate(r.Order(), s.cfg.Self, s.cfg.Boot), orderedAt: now}
		s.rollouts[c.Name] = old
	}
	withheld := old.order.Withheld
	old.order = *r
	old.order.Withheld = withheld && !r.State.Final()
	s.changed = true
	s.log(logline.Info, "rollout", logline.F("set", r.Set), logline.F("target", r.Target), logline.F("state", r.State.String()),
		logline.F("revision", c.Revision), logline.F("age", now.Sub(old.orderedAt)), logline.F("pairs", old.tally.Pairs()))
}

// runningRollouts lists the rollouts without a verdict in the store, by the names of their
// objects.
func (s *State) runningRollouts() []*rollout {
	var running []*rollout
	for _, name := range keysOf(s.rollouts) {
		if r := s.rollouts[name]; !r.order.State.Final() {
			running = append(running, r)
		}
	}
	return running
}

func (s *State) runningRollout(order string) (*rollout, bool) {
	for _, r := range s.runningRollouts() {
		if r.key == order {
			return r, true
		}
	}
	return nil, false
}

// takeEvidence adds what this VM has seen.
func (s *State) takeEvidence(evidence []model.MoveEvidence, now model.Time) {
	for _, ev := range evidence {
		if r, ok := s.runningRollout(ev.Move); ok {
			r.tally.AddLocal(ev)
			s.testRollout(r, now)
		}
	}
}

// mergeEvidence takes in the counters of a follower.
func (s *State) mergeEvidence(evidence []model.MoveEvidence, now model.Time) {
	for _, ev := range evidence {
		r, ok := s.runningRollout(ev.Move)
		if !ok {
			continue
		}
		r.tally.MergeRemote(ev)
		if ev.Withheld {
			s.withhold(r, "withheld by VM "+string(ev.VM), now)
		}
		s.testRollout(r, now)
	}
}

// hearOrders takes what a followed VM says of running rollouts.
func (s *State) hearOrders(from model.VM, words []RolloutStatus, now model.Time) {
	for _, w := range words {
		r, ok := s.runningRollout(w.Order)
		if !ok {
			continue
		}
		r.orderedAt = min(r.orderedAt, now.Add(-w.Age))
		if w.Withheld {
			s.withhold(r, "withheld by VM "+string(from), now)
		}
	}
}

func (s *State) testRollout(r *rollout, now model.Time) {
	if cause, bad := r.tally.RollbackReason(); bad {
		s.withhold(r, cause, now)
	}
}

// withhold keeps requests from the target version until the store has the verdict, and tells
// the other VMs at once.
func (s *State) withhold(r *rollout, cause string, now model.Time) {
	if r.order.Withheld {
		return
	}
	r.order.Withheld = true
	s.changed = true
	s.spreadAt, s.reportAt = now, now
	s.log(logline.Warn, "target version of a rollout is withheld", logline.F("set", r.order.Set), logline.F("target", r.order.Target),
		logline.F("age", now.Sub(r.orderedAt)), logline.F("pairs", r.tally.Pairs()), logline.F("cause", cause))
}

// orderWords returns what the followers are told of running rollouts.
func (s *State) orderWords(now model.Time) []RolloutStatus {
	var words []RolloutStatus
	for _, r := range s.runningRollouts() {
		words = append(words, RolloutStatus{Order: r.key, Age: now.Sub(r.orderedAt), Withheld: r.order.Withheld})
	}
	return words
}

// reportEvidence tells the followed VMs the counters of this VM. They are told again and again,
// since a followed VM may have started anew.
func (s *State) reportEvidence(now model.Time) {
	running := s.runningRollouts()
	if len(s.upstreams) == 0 || len(running) == 0 || now < s.reportAt {
		return
	}
	s.reportAt = now.Add(s.cfg.StatusInterval)
	var own []model.MoveEvidence
	for _, r := range running {
		for _, ev := range r.tally.Local() {
			ev.Withheld = r.order.Withheld
			own = append(own, ev)
		}
	}
	if len(own) > 0 {
		s.emit(SendEvidence{Evidence: own})
	}
}

// conclude writes the verdicts that are due, if this VM reads the store for others.
func (s *State) conclude(now model.Time) {
	if !s.isReader(now) {
		return
	}
	for _, r := range s.runningRollouts() {
		next, ok := s.verdict(r, now)
		if !ok {
			continue
		}
		if next != r.wanted {
			r.wanted, r.wantedAt, r.retryAt = next, now, now
		}
		if r.writing || now < r.retryAt || now < r.wantedAt.Add(s.stagger()) {
			continue
		}
		r.writing = true
		s.log(logline.Info, "verdict on a rollout", logline.F("set", r.order.Set), logline.F("target", r.order.Target),
			logline.F("state", next.String()), logline.F("revision", r.order.Revision), logline.F("age", now.Sub(r.orderedAt)),
			logline.F("withheld", r.order.Withheld), logline.F("pairs", r.tally.Pairs()))
		s.emit(WriteRolloutState{Rollout: r.order, State: next})
	}
}

func (s *State) stagger() time.Duration {
	return time.Duration(min(s.ranked(), s.cfg.Readers)) * verdictStagger
}

// verdict returns the state that a rollout should have now, and false if it has it.
func (s *State) verdict(r *rollout, now model.Time) (model.RolloutState, bool) {
	age := now.Sub(r.orderedAt)
	switch {
	case r.order.Withheld:
		return model.RolloutRolledBack, true
	case age >= verdictAt(r.order.Duration) && r.tally.Pairs() >= minPairs && s.serves(&r.order):
		return model.RolloutCompleted, true
	case age >= r.order.Duration-lastVerdict:
		return model.RolloutRolledBack, true
	case r.order.State == model.RolloutOrdered:
		return model.RolloutRunning, true
	}
	return 0, false
}

func verdictAt(duration time.Duration) time.Duration {
	return min(time.Duration(verdictShare*float64(duration)), duration-verdictReserve)
}

// serves reports whether a server of the target version can take requests.
func (s *State) serves(r *model.Rollout) bool {
	for _, replica := range s.replicas {
		if v := &replica.value; v.Set == r.Set && v.Version == r.Target && !v.Draining {
			return true
		}
	}
	return false
}

// concluded takes the end of the write of a verdict. After a conflict, the new state of the
// object comes with the next read.
func (s *State) concluded(ev RolloutWriteEnded, now model.Time) {
	r, ok := s.rollouts[ev.Name]
	if !ok {
		return
	}
	r.writing = false
	r.retryAt = now.Add(s.cfg.RetryMax)
	if ev.Cause != "" {
		s.log(logline.Warn, "verdict on a rollout was not written", logline.F("set", r.order.Set), logline.F("cause", ev.Cause))
	}
}

// nextRollout returns the next time at which a running rollout needs a look.
func (s *State) nextRollout(now model.Time) model.Time {
	next := noRead
	for _, r := range s.runningRollouts() {
		times := []model.Time{r.orderedAt.Add(verdictAt(r.order.Duration)), r.orderedAt.Add(r.order.Duration - lastVerdict), r.retryAt}
		if r.wanted != model.RolloutOrdered {
			times = append(times, r.wantedAt.Add(s.stagger()))
		}
		if len(s.upstreams) > 0 {
			times = append(times, s.reportAt)
		}
		for _, at := range times {
			if at > now {
				next = min(next, at)
			}
		}
	}
	return next
}

// publishedRollouts returns the newest order of each set.
func (s *State) publishedRollouts() map[model.ReplicaSet]model.Rollout {
	published := make(map[model.ReplicaSet]model.Rollout)
	for _, name := range keysOf(s.rollouts) {
		order := s.rollouts[name].order
		if other, ok := published[order.Set]; !ok || other.Created < order.Created {
			published[order.Set] = order
		}
	}
	return published
}
