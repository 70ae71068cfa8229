package directory

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
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

// writeDueStates writes the rollout states that are due, if this VM is a reader.
func (s *State) writeDueStates(now model.Time) {
	if !s.isReader(now) {
		return
	}
	for _, r := range s.unsettledRollouts() {
		r.usage.sample(now)
		r.evidence.SampleRanks(now.Sub(r.orderedAt), r.order.Duration)
		due, ok := s.dueState(r, now)
		if !ok || r.order.Position.Era < s.era { // its object has not been read in this era
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
			logline.F("state", due.String()), logline.F("revision", r.order.Position), logline.F("age", now.Sub(r.orderedAt)),
			logline.F("withheld", r.order.Withheld), logline.F("pairs", r.evidence.Pairs()))
		s.emit(WriteRolloutState{Rollout: r.order, State: due})
	}
}

// writeDelay returns how long this VM waits before it writes a state that is due.
func (s *State) writeDelay() time.Duration {
	return time.Duration(min(s.rank(), s.cfg.Readers)) * writeStagger
}

// dueState returns the state that an unsettled rollout should change to now, or false if it should not
// change.
func (s *State) dueState(r *rollout, now model.Time) (model.RolloutState, bool) {
	age := now.Sub(r.orderedAt)
	switch {
	case r.order.State.Final(): // the store has lost it
		return r.order.State, true
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
		if v := &replica.value; v.Set == r.Set && v.Version == r.Target && replica.usable() {
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

// nextRolloutAt returns the next time at which something is due for an unsettled rollout.
func (s *State) nextRolloutAt(now model.Time) model.Time {
	next := model.Never
	for _, r := range s.unsettledRollouts() {
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
