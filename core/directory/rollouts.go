package directory

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/core/moves"
	"github.com/gooseberrylock/gooseberrylock/model"
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
	// changed since the position of Rollout.
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
	orderID        string             // order.Order()
	created        uint64             // revision at which the object was created, as last read
	stored         model.RolloutState // state in the store, from which that of order differs if the store has lost it
	evidence       *moves.EvidenceAggregate
	usage          usageTotal
	orderedAt      model.Time
	seenFromOrder  bool               // see model.Rollout.SeenFromOrder
	nextState      model.RolloutState // state that this VM would write next
	nextStateSince model.Time
	writing        bool
	retryAt        model.Time
	removedAt      model.Time // last removal of the object
}

// isSameOrder reports whether an object is that of the order r. In a later era the object may have been
// created again.
func (r *rollout) isSameOrder(o *model.Rollout, at model.Position) bool {
	if r.order.Set != o.Set || r.order.Target != o.Target {
		return false
	}
	return r.created == o.Created || r.order.Position.Era < at.Era && r.order.Duration == o.Duration
}

// applyRollout applies the object of a rollout. A new order for the same object starts without
// evidence. The final state of an order stays in force if the store comes back without it.
func (s *State) applyRollout(c Change, now model.Time) {
	o, ok := c.Value.(*model.Rollout)
	current, exists := s.rollouts[c.Name]
	if c.Removed || !ok {
		if exists {
			delete(s.rollouts, c.Name)
			current.removedAt = now
			s.withdrawn[c.Name] = current
			s.viewChanged = true
			s.log(logline.Info, "rollout was removed", logline.F("set", current.order.Set), logline.F("revision", c.Position))
		}
		return
	}
	r, known := s.knownOrder(c, o, now)
	if !known {
		if exists {
			s.recordReplaced(c.Name, current, now)
		}
		r = s.newRollout(o, now)
	}
	s.rollouts[c.Name] = r
	delete(s.withdrawn, c.Name)
	r.update(o, c.Position)
	s.viewChanged, s.versionsDue = true, true
	s.log(logline.Info, "rollout", logline.F("set", o.Set), logline.F("target", o.Target), logline.F("state", r.order.State.String()),
		logline.F("stored", o.State.String()), logline.F("revision", c.Position), logline.F("age", now.Sub(r.orderedAt)), logline.F("pairs", r.evidence.Pairs()))
}

// newRollout returns the rollout of an order that is not known, without evidence.
func (s *State) newRollout(o *model.Rollout, now model.Time) *rollout {
	r := &rollout{
		orderID:  o.Order(),
		evidence: moves.NewEvidenceAggregate(o.Order(), s.cfg.Self, s.cfg.Boot), orderedAt: now,
		seenFromOrder: !s.initialUpdate,
	}
	r.order.Created = o.Created
	return r
}

// knownOrder returns the rollout to which an object belongs, if its order is known. An order that was removed
// lately is known if a copy of the store has it again.
func (s *State) knownOrder(c Change, o *model.Rollout, now model.Time) (*rollout, bool) {
	if r, ok := s.rollouts[c.Name]; ok {
		return r, r.isSameOrder(o, c.Position)
	}
	r, ok := s.withdrawn[c.Name]
	return r, ok && now.Sub(r.removedAt) < copyMemory && r.order.Position.Era < c.Position.Era &&
		r.created == o.Created && r.isSameOrder(o, c.Position)
}

// replacedOrder is an order in whose place an operator has written another one.
type replacedOrder struct {
	created  uint64 // revision at which the object was created
	target   model.VersionID
	position model.Position
	at       model.Time
}

// recordReplaced remembers an order that is replaced, and forgets those that were replaced long ago.
func (s *State) recordReplaced(name string, r *rollout, now model.Time) {
	kept := slices.DeleteFunc(s.replaced[name], func(o replacedOrder) bool { return now.Sub(o.at) >= copyMemory })
	s.replaced[name] = append(kept, replacedOrder{created: r.created, target: r.order.Target, position: r.order.Position, at: now})
}

// wasReplaced reports whether an object is that of an order which was replaced in an earlier era.
func (s *State) wasReplaced(c Change, o *model.Rollout, now model.Time) bool {
	return slices.ContainsFunc(s.replaced[c.Name], func(r replacedOrder) bool {
		return r.created == o.Created && r.target == o.Target && r.position.Era < c.Position.Era && now.Sub(r.at) < copyMemory
	})
}

// update applies the object of the order as read from the store. The identifier of the order stays the same.
func (r *rollout) update(o *model.Rollout, at model.Position) {
	before := r.order
	r.order = *o
	r.order.Position, r.order.Created = at, before.Created
	r.created, r.stored = o.Created, o.State
	if before.State.Final() && !o.State.Final() {
		r.order.State = before.State
	}
	r.order.Withheld = before.Withheld && !r.order.State.Final()
	r.order.SeenFromOrder = r.seenFromOrder
}

// unsettledRollouts returns the rollouts whose final state is not in the store.
func (s *State) unsettledRollouts() []*rollout {
	return s.rolloutsWhere(func(r *rollout) bool { return !r.stored.Final() })
}

// runningRollouts returns the rollouts that are neither completed nor rolled back.
func (s *State) runningRollouts() []*rollout {
	return s.rolloutsWhere(func(r *rollout) bool { return !r.order.State.Final() })
}

// rolloutsWhere returns the rollouts that match, sorted by object name.
func (s *State) rolloutsWhere(match func(*rollout) bool) []*rollout {
	var found []*rollout
	for _, name := range slices.Sorted(maps.Keys(s.rollouts)) {
		if r := s.rollouts[name]; match(r) {
			found = append(found, r)
		}
	}
	return found
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
			if u.Failed > r.usage.bySource[model.Process{VM: u.VM, Boot: u.Boot}].Failed {
				s.nextEvidenceAt = now // a reader may be about to decide
			}
			r.usage.merge(u, now)
			s.checkEvidence(r, now)
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
			s.checkEvidence(r, now)
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

// checkEvidence withholds the target version if the evidence speaks against it, or if it has failed so
// often that nothing could speak for it.
func (s *State) checkEvidence(r *rollout, now model.Time) {
	if failed := r.usage.sum().Failed; failed >= model.MaxTargetFailures {
		s.withhold(r, fmt.Sprintf("%d attempts have failed", failed), now)
	}
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
	s.viewChanged, s.versionsDue = true, true
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
		if u, ok := r.usage.bySource[model.Process{VM: s.cfg.Self, Boot: s.cfg.Boot}]; ok {
			own.Usage = append(own.Usage, u)
		}
	}
	if len(own.Evidence)+len(own.Usage) > 0 {
		s.emit(own)
	}
}

// publishedRollouts returns the newest rollout of each replica set, or the presumed one.
func (s *State) publishedRollouts() map[model.ReplicaSet]model.Rollout {
	published := make(map[model.ReplicaSet]model.Rollout)
	for _, name := range slices.Sorted(maps.Keys(s.rollouts)) {
		order := s.rollouts[name].order
		if other, ok := published[order.Set]; !ok || other.Created < order.Created {
			published[order.Set] = order
		}
	}
	s.presumedRollouts(published)
	return published
}
