package dispatch

import (
	"math"
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// canaryShare and canarySlackShare are the fractions of the limit that the VMs use before the
	// rollout is completed. The rest is for the time between completion and deadline, in which the
	// target version gets all requests, and for a second share of the slack for a VM that restarts.
	canaryShare      = 0.6
	canarySlackShare = 0.3
	// oldVersionExclusion is how long after the completion of a rollout servers of other versions
	// get no requests. By then the old servers have stopped and their registrations have expired;
	// servers of other versions that are registered later belong to a later change.
	oldVersionExclusion = 10 * time.Second
)

// canary is this VM's state of one rollout order.
type canary struct {
	rollout     model.Rollout
	order       string
	demand      float64 // requests to the replica set since the order
	requests    float64 // of these, those that a server has answered or refused
	sent        float64 // attempts sent to servers of the target version
	failed      float64 // attempts that a server of the target version has failed
	oldSent     float64 // attempts sent to servers of other versions
	oldFailed   float64 // attempts that such a server has failed
	loggedAt    model.Time
	loggedFinal bool // the counts were logged with the result
	targetKnown bool // the view has servers of the target version
	// absent means that the view has no rollout of the set any more. The counts are kept for the case
	// that the same order returns.
	absent bool
	// completedAt is when a view first showed the rollout as completed; 0 before.
	completedAt model.Time
}

// applyRollouts applies the rollouts of a new view. The counts of a rollout are kept until its set gets
// another order or has no server any more.
func (s *State) applyRollouts(now model.Time) {
	for set, c := range s.canaries {
		_, ok := s.view.Rollouts[set]
		c.absent = !ok
		if !ok && len(s.view.Replicas[set]) == 0 {
			delete(s.canaries, set)
		}
	}
	for set, r := range s.view.Rollouts {
		c, ok := s.canaries[set]
		if !ok || c.order != r.Order() {
			c = &canary{order: r.Order()}
			s.canaries[set] = c
		}
		c.rollout = r
		if r.State == model.RolloutCompleted && c.completedAt == 0 {
			c.completedAt = now
		}
		c.targetKnown = false
		for i := range s.view.Replicas[set] {
			c.targetKnown = c.targetKnown || c.isTarget(&s.view.Replicas[set][i])
		}
	}
}

func (c *canary) isTarget(r *model.Replica) bool { return r.Version == c.rollout.Target }

// inProgress reports whether both versions are in use.
func (c *canary) inProgress() bool {
	return !c.absent && !c.rollout.State.Final() && !c.rollout.Withheld
}

// excludes reports whether a server gets no requests because of its version. After completion,
// servers of other versions stay in use if there is none of the target version.
func (c *canary) excludes(r *model.Replica, now model.Time) bool {
	if c.absent {
		return false
	}
	if c.rollout.Withheld || c.rollout.State == model.RolloutRolledBack {
		return c.isTarget(r)
	}
	return c.completedAt != 0 && now.Sub(c.completedAt) < oldVersionExclusion && c.targetKnown && !c.isTarget(r)
}

// excluded reports whether a server gets no requests because of a rollout of its replica set.
func (s *State) excluded(r *model.Replica, now model.Time) bool {
	c, ok := s.canaries[r.Set]
	return ok && c.excludes(r, now)
}

// canaryAllowed reports whether this VM may send another request to the target version. A process that
// has not run since the order has no share of the slack, since an earlier process of the same VM may
// have used it.
//
// Its part of the failures, one at least, ends the requests even if nothing can be compared, because
// the other versions fail or do not answer, and the readers' word is late.
func (s *State) canaryAllowed(c *canary, r *route) bool {
	sendingVMs := float64(s.sendingVMs(r))
	if c.failed >= max(math.Floor(model.MaxTargetFailures/sendingVMs), 1) {
		return false
	}
	limit := canaryShare * s.cfg.Canary.Share * c.requests
	if c.rollout.SeenFromOrder {
		limit += canarySlackShare * s.cfg.Canary.Slack / sendingVMs
	}
	return c.sent+1 <= limit
}

// pick returns the server for the next attempt of a shard, or nil. While a rollout is in progress,
// some of the first attempts go to warm servers of the target version. All other attempts go to
// the old version, or to the target version if no server of the old one can be picked and
// canaryAllowed permits it.
func (s *State) pick(q *query, sh *shard, now model.Time) *model.Replica {
	if s.unconfirmed {
		return nil
	}
	c, ok := s.canaries[sh.set]
	if !ok || !c.inProgress() {
		return s.pickEligible(q, sh, now, func(r *model.Replica) bool { return !s.excluded(r, now) })
	}
	allowed := s.canaryAllowed(c, q.route)
	first := len(sh.reached)+len(sh.unreachable)+len(sh.running) == 0
	if first && allowed {
		warm := func(r *model.Replica) bool { return c.isTarget(r) && now >= s.statsOf(r).cold.endsAt }
		if r := s.pickEligible(q, sh, now, warm); r != nil {
			return r
		}
	}
	if r := s.pickEligible(q, sh, now, func(r *model.Replica) bool { return !c.isTarget(r) }); r != nil || !allowed {
		return r
	}
	return s.pickEligible(q, sh, now, c.isTarget)
}
