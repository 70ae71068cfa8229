package directory

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/core/moves"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// completionShare is the share of a rollout's duration after which it may be completed, and
	// completionReserve the longest time that then remains before the deadline. Until then evidence
	// against the version is collected, and the less time remains, the less it gets if it is bad.
	completionShare   = 0.85
	completionReserve = 700 * time.Millisecond
	// rollbackReserve is the time before the deadline at which a rollout that could not be
	// completed is rolled back.
	rollbackReserve = 700 * time.Millisecond
	// writeStagger is the delay of each reader's write of a rollout state relative to the reader
	// ranked before it. A reader writes only if the writes of those before it have not taken effect
	// by then. It leaves the second reader time to complete a rollout shortly before its deadline.
	writeStagger = 200 * time.Millisecond
)

// Events and effects of rollouts.
type (
	// LocalEvidenceReceived reports the evidence on both versions that this VM's traffic has
	// collected since the last report. Its Move is the rollout's Order. Usage has cumulative counts.
	LocalEvidenceReceived struct {
		Evidence []model.MoveEvidence
		Usage    []model.RolloutUsage
	}
	// FollowerEvidenceReceived carries the cumulative counters of a follower.
	FollowerEvidenceReceived struct {
		Evidence []model.MoveEvidence
		Usage    []model.RolloutUsage
	}
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
	// SendEvidence sends the cumulative counters of this VM to all upstreams.
	SendEvidence struct {
		Evidence []model.MoveEvidence
		Usage    []model.RolloutUsage
	}
)

func (LocalEvidenceReceived) event()    {}
func (FollowerEvidenceReceived) event() {}
func (RolloutWriteEnded) event()        {}
func (WriteRolloutState) effect()       {}
func (SendEvidence) effect()            {}

// RolloutStatus describes a running rollout in a status message to followers.
type RolloutStatus struct {
	Order    string        // identity of the rollout, see model.Rollout.Order
	Age      time.Duration // time since the rollout was ordered
	Withheld bool          // no requests go to the target version
}

// rollout is a rollout that an operator ordered, with the evidence on its target version.
type rollout struct {
	order          model.Rollout
	orderID        string // order.Order()
	evidence       *moves.EvidenceAggregate
	usage          usageTotal
	orderedAt      model.Time
	seenFromOrder  bool               // see model.Rollout.SeenFromOrder
	nextState      model.RolloutState // state that this VM would write next
	nextStateSince model.Time
	writing        bool
	retryAt        model.Time
}

// applyRollout applies the object of a rollout. A new order for the same object starts without
// evidence.
func (s *State) applyRollout(c Change, now model.Time) {
	r, ok := c.Value.(*model.Rollout)
	old, known := s.rollouts[c.Name]
	if c.Removed || !ok {
		if known {
			delete(s.rollouts, c.Name)
			s.viewChanged = true
			s.log(logline.Info, "rollout was removed", logline.F("set", old.order.Set), logline.F("revision", c.Revision))
		}
		return
	}
	if !known || old.orderID != r.Order() {
		old = &rollout{
			orderID:  r.Order(),
			evidence: moves.NewEvidenceAggregate(r.Order(), s.cfg.Self, s.cfg.Boot), orderedAt: now,
			seenFromOrder: !s.initialUpdate,
		}
		s.rollouts[c.Name] = old
	}
	withheld := old.order.Withheld
	old.order = *r
	old.order.Withheld = withheld && !r.State.Final()
	old.order.SeenFromOrder = old.seenFromOrder
	s.viewChanged = true
	s.log(logline.Info, "rollout", logline.F("set", r.Set), logline.F("target", r.Target), logline.F("state", r.State.String()),
		logline.F("revision", c.Revision), logline.F("age", now.Sub(old.orderedAt)), logline.F("pairs", old.evidence.Pairs()))
}

// runningRollouts returns the rollouts that are neither completed nor rolled back in the store,
// sorted by object name.
func (s *State) runningRollouts() []*rollout {
	var running []*rollout
	for _, name := range sortedKeys(s.rollouts) {
		if r := s.rollouts[name]; !r.order.State.Final() {
			running = append(running, r)
		}
	}
	return running
}

// runningRollout returns the running rollout with the given order ID, if there is one.
func (s *State) runningRollout(orderID string) (*rollout, bool) {
	for _, r := range s.runningRollouts() {
		if r.orderID == orderID {
			return r, true
		}
	}
	return nil, false
}

// addLocalEvidence adds the evidence from this VM's own traffic.
func (s *State) addLocalEvidence(report LocalEvidenceReceived, now model.Time) {
	for _, u := range report.Usage {
		if r, ok := s.runningRollout(u.Order); ok {
			u.VM, u.Boot = s.cfg.Self, s.cfg.Boot
			if u.Failed > r.usage.bySource[usageSource{u.VM, u.Boot}].Failed {
				s.nextEvidenceAt = now // a reader may be about to decide
			}
			r.usage.merge(u, now)
		}
	}
	for _, ev := range report.Evidence {
		if r, ok := s.runningRollout(ev.Move); ok {
			r.evidence.AddLocal(ev)
			s.checkEvidence(r, now)
		}
	}
}

// mergeFollowerEvidence merges the counters of a follower. If the follower withholds a version, this
// VM does so too.
func (s *State) mergeFollowerEvidence(report FollowerEvidenceReceived, now model.Time) {
	for _, u := range report.Usage {
		if r, ok := s.runningRollout(u.Order); ok {
			r.usage.merge(u, now)
		}
	}
	for _, ev := range report.Evidence {
		r, ok := s.runningRollout(ev.Move)
		if !ok {
			continue
		}
		r.evidence.MergeRemote(ev)
		if ev.Withheld {
			s.withhold(r, "withheld by VM "+string(ev.VM), now)
		}
		s.checkEvidence(r, now)
	}
}

// applyRolloutStatuses applies the rollouts of an upstream's status message: the earlier order time
// counts, and a version that the upstream withholds is withheld here too.
func (s *State) applyRolloutStatuses(from model.VM, statuses []RolloutStatus, now model.Time) {
	for _, status := range statuses {
		r, ok := s.runningRollout(status.Order)
		if !ok {
			continue
		}
		r.orderedAt = min(r.orderedAt, now.Add(-status.Age))
		if status.Withheld {
			s.withhold(r, "withheld by VM "+string(from), now)
		}
	}
}

// checkEvidence withholds the target version if the evidence speaks against it.
func (s *State) checkEvidence(r *rollout, now model.Time) {
	if cause, bad := r.evidence.RollbackReason(); bad {
		s.withhold(r, cause, now)
	}
}

// withhold stops requests to the target version until the store has the final state of the rollout,
// and makes the next messages to followers and upstreams due at once.
func (s *State) withhold(r *rollout, cause string, now model.Time) {
	if r.order.Withheld {
		return
	}
	r.order.Withheld = true
	s.viewChanged = true
	s.nextStatusAt, s.nextEvidenceAt = now, now
	s.log(logline.Warn, "target version of a rollout is withheld", logline.F("set", r.order.Set), logline.F("target", r.order.Target),
		logline.F("age", now.Sub(r.orderedAt)), logline.F("pairs", r.evidence.Pairs()), logline.F("cause", cause))
}

// rolloutStatuses returns the status of all running rollouts, for status messages.
func (s *State) rolloutStatuses(now model.Time) []RolloutStatus {
	var statuses []RolloutStatus
	for _, r := range s.runningRollouts() {
		statuses = append(statuses, RolloutStatus{Order: r.orderID, Age: now.Sub(r.orderedAt), Withheld: r.order.Withheld})
	}
	return statuses
}

// reportEvidence sends this VM's counters to its upstreams at each StatusInterval. The counters are
// cumulative and sent even if unchanged, since an upstream may have restarted and lost them.
func (s *State) reportEvidence(now model.Time) {
	running := s.runningRollouts()
	if len(s.upstreams) == 0 || len(running) == 0 || now < s.nextEvidenceAt {
		return
	}
	s.nextEvidenceAt = now.Add(s.cfg.StatusInterval)
	var own SendEvidence
	for _, r := range running {
		for _, ev := range r.evidence.Local() {
			ev.Withheld = r.order.Withheld
			own.Evidence = append(own.Evidence, ev)
		}
		if u, ok := r.usage.bySource[usageSource{s.cfg.Self, s.cfg.Boot}]; ok {
			own.Usage = append(own.Usage, u)
		}
	}
	if len(own.Evidence)+len(own.Usage) > 0 {
		s.emit(own)
	}
}

// writeDueStates writes the rollout states that are due, if this VM is a reader.
func (s *State) writeDueStates(now model.Time) {
	if !s.isReader(now) {
		return
	}
	for _, r := range s.runningRollouts() {
		r.usage.sample(now)
		due, ok := s.dueState(r, now)
		if !ok {
			continue
		}
		if due != r.nextState {
			r.nextState, r.nextStateSince, r.retryAt = due, now, now
		}
		if r.writing || now < r.retryAt || now < r.nextStateSince.Add(s.writeDelay()) {
			continue
		}
		r.writing = true
		s.log(logline.Info, "writing the new state of a rollout", logline.F("set", r.order.Set), logline.F("target", r.order.Target),
			logline.F("state", due.String()), logline.F("revision", r.order.Revision), logline.F("age", now.Sub(r.orderedAt)),
			logline.F("withheld", r.order.Withheld), logline.F("pairs", r.evidence.Pairs()))
		s.emit(WriteRolloutState{Rollout: r.order, State: due})
	}
}

// writeDelay returns how long this VM waits before it writes a state that is due.
func (s *State) writeDelay() time.Duration {
	return time.Duration(min(s.rank(), s.cfg.Readers)) * writeStagger
}

// dueState returns the state that a running rollout should change to now, or false if it should not
// change.
func (s *State) dueState(r *rollout, now model.Time) (model.RolloutState, bool) {
	age := now.Sub(r.orderedAt)
	switch {
	case r.order.Withheld:
		return model.RolloutRolledBack, true
	case age >= r.order.Duration-rollbackReserve && !s.mayComplete(r):
		return model.RolloutRolledBack, true
	case age >= completionAge(r.order.Duration):
		return model.RolloutCompleted, s.mayComplete(r) && s.completionFits(r, now)
	case r.order.State == model.RolloutOrdered:
		return model.RolloutRunning, true
	}
	return 0, false
}

// mayComplete reports whether the evidence speaks for the target version.
func (s *State) mayComplete(r *rollout) bool {
	return r.evidence.SupportsCompletion() && !r.usage.failsTooOften() && s.hasServingReplica(&r.order)
}

// completionAge returns the age from which a rollout of the given duration may be completed.
func completionAge(duration time.Duration) time.Duration {
	return max(time.Duration(completionShare*float64(duration)), duration-completionReserve)
}

// hasServingReplica reports whether a server of the target version accepts requests.
func (s *State) hasServingReplica(r *model.Rollout) bool {
	for _, replica := range s.replicas {
		if v := &replica.value; v.Set == r.Set && v.Version == r.Target && !v.Draining {
			return true
		}
	}
	return false
}

// rolloutWriteEnded applies the result of a write of a rollout state. After a conflict, the current
// state of the object arrives with the next read.
func (s *State) rolloutWriteEnded(ev RolloutWriteEnded, now model.Time) {
	r, ok := s.rollouts[ev.Name]
	if !ok {
		return
	}
	r.writing = false
	r.retryAt = now.Add(s.cfg.RetryMax)
	if ev.Cause != "" {
		s.log(logline.Warn, "writing the new state of a rollout failed", logline.F("set", r.order.Set), logline.F("cause", ev.Cause))
	}
}

// nextRolloutAt returns the next time at which something is due for a running rollout.
func (s *State) nextRolloutAt(now model.Time) model.Time {
	next := model.Never
	for _, r := range s.runningRollouts() {
		completion := r.orderedAt.Add(completionAge(r.order.Duration))
		times := []model.Time{completion, r.orderedAt.Add(r.order.Duration - rollbackReserve), r.retryAt, r.usage.nextSampleAt}
		if now >= completion {
			times = append(times, now.Add(completionCheckInterval))
		}
		if r.nextState != model.RolloutOrdered {
			times = append(times, r.nextStateSince.Add(s.writeDelay()))
		}
		if len(s.upstreams) > 0 {
			times = append(times, s.nextEvidenceAt)
		}
		for _, at := range times {
			if at > now {
				next = min(next, at)
			}
		}
	}
	return next
}

// publishedRollouts returns the newest rollout of each replica set, or the presumed one.
func (s *State) publishedRollouts() map[model.ReplicaSet]model.Rollout {
	published := make(map[model.ReplicaSet]model.Rollout)
	for _, name := range sortedKeys(s.rollouts) {
		order := s.rollouts[name].order
		if other, ok := published[order.Set]; !ok || other.Created < order.Created {
			published[order.Set] = order
		}
	}
	s.presumedRollouts(published)
	return published
}
