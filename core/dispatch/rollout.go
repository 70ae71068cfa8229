package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/core/moves"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// canaryShare and canarySlackShare are the fractions of the limit that the VMs use before the
	// rollout is completed. The rest is for the time between completion and deadline, in which the
	// target version gets all requests, and for a second share of the slack for a VM that restarts.
	canaryShare      = 0.6
	canarySlackShare = 0.3
	// canarySlowness is the ratio of the target version's latency to that of the old version up
	// to which the target version does not count as slower, after connectCost is subtracted. Its
	// servers get few requests, so their connections and caches are colder.
	canarySlowness = 1.5
	// oldVersionExclusion is how long after the completion of a rollout servers of other versions
	// get no requests. By then the old servers have stopped and their registrations have expired;
	// servers of other versions that are registered later belong to a later change.
	oldVersionExclusion = 10 * time.Second
	// evidenceInterval is the minimum interval between ReportEvidence effects.
	evidenceInterval = 250 * time.Millisecond
	// exposureLogInterval is the interval between the log lines with the counts of a rollout.
	exposureLogInterval = time.Second
)

// ReportEvidence reports the comparison of both versions of running rollouts since the last
// report, and this process's use of their limits so far. The Move field of the evidence is the
// rollout's order (model.Rollout.Order). VM and Boot of the usage are empty.
type ReportEvidence struct {
	Evidence []model.MoveEvidence
	Usage    []model.RolloutUsage
}

func (ReportEvidence) effect() {}

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

func (c *canary) usage() model.RolloutUsage {
	return model.RolloutUsage{
		Order: c.order, Demand: uint64(c.demand), Requests: uint64(c.requests), Sent: uint64(c.sent), Failed: uint64(c.failed),
		OldSent: uint64(c.oldSent), OldFailed: uint64(c.oldFailed),
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
// Its part of the failures ends the requests even if nothing can be compared, because the other
// versions fail or do not answer: VMs whose rank is below the fraction of the part have one more.
func (s *State) canaryAllowed(c *canary, r *route) bool {
	sendingVMs := float64(s.sendingVMs(r))
	if failures := model.MaxTargetFailures/sendingVMs + rank(s.cfg.Self, c.order); c.failed >= math.Floor(failures) {
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

// countCanary counts an attempt at a set with a rollout, by the version of the server.
func (s *State) countCanary(r *model.Replica) {
	c, ok := s.canaries[r.Set]
	switch {
	case !ok:
	case c.isTarget(r):
		c.sent++
		s.count(CountCanaries)
	default:
		c.oldSent++
	}
}

// countRequest counts a request to a replica set, for the limits that depend on the number of requests.
func (s *State) countRequest(set model.ReplicaSet, now model.Time) {
	s.budgetOf(set).countRequest(now)
	if c, ok := s.canaries[set]; ok {
		c.demand++
	}
}

// countOutcome counts the outcome of an attempt for a rollout. A request counts once, and only if a
// server has answered it: the limit is a share of the requests that reach the replica set, and no
// other outcome tells that a request has reached it.
func (s *State) countOutcome(a *attempt, ev AttemptEnded) {
	c, ok := s.canaries[a.server.Set]
	if !ok {
		return
	}
	if sh := &a.query.shards[a.shard]; (ev.Outcome == Answered || ev.Outcome == NotRun) && !sh.counted {
		sh.counted = true
		c.requests++
	}
	if ev.Outcome != Unclear && (ev.Outcome != Answered || ev.Reply.success()) {
		return
	}
	if c.isTarget(&a.server) {
		c.failed++
		s.evidenceReportedAt = 0 // due at once, since a completion may be about to be decided
	} else {
		c.oldFailed++
	}
}

// logExposure logs the counts of each rollout at each exposureLogInterval until it has a result.
func (s *State) logExposure(now model.Time) {
	for _, set := range sortedNames(s.canaries) {
		c := s.canaries[set]
		if now.Sub(c.loggedAt) < exposureLogInterval || c.absent || c.loggedFinal {
			continue
		}
		c.loggedAt, c.loggedFinal = now, c.rollout.State.Final()
		s.emit(Log{Line: logline.Line{Level: logline.Info, Message: "counts of a rollout", Fields: []logline.Field{
			logline.F("set", set), logline.F("target", c.rollout.Target), logline.F("state", c.rollout.State.String()),
			logline.F("withheld", c.rollout.Withheld), logline.F("demand", c.demand), logline.F("requests", c.requests),
			logline.F("sent_to_target", c.sent), logline.F("failed_by_target", c.failed),
			logline.F("sent_to_others", c.oldSent), logline.F("failed_by_others", c.oldFailed), logline.F("target_known", c.targetKnown),
		}}})
	}
}

func sortedNames[K ~string, T any](m map[K]T) []K {
	names := make([]K, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// logVersions logs a replica set whose servers have several versions although no rollout is known.
func (s *State) logVersions(set model.ReplicaSet, replicas []model.Replica) {
	if c, ok := s.canaries[set]; ok && !c.absent {
		return
	}
	for i := range replicas {
		if replicas[i].Version != replicas[0].Version {
			s.emit(Log{Line: logline.Line{Level: logline.Info, Message: "set has servers of several versions and no rollout", Fields: []logline.Field{
				logline.F("set", set), logline.F("version", replicas[0].Version), logline.F("other", replicas[i].Version),
			}}})
			return
		}
	}
}

// recordEvidence records the outcome of an attempt as evidence on a rollout in progress. Successes
// of a cold server are left out, since its latency says nothing about the version.
func (s *State) recordEvidence(a *attempt, ev AttemptEnded, now model.Time) {
	c, ok := s.canaries[a.server.Set]
	if !ok || !c.inProgress() {
		return
	}
	failed := false
	switch ev.Outcome {
	case Answered:
		failed = !ev.Reply.success()
	case Unclear:
		failed = true
	case Aborted:
	default:
		return // the server did not run it
	}
	if !failed && now < a.stats.cold.endsAt {
		return
	}
	latency := now.Sub(a.sent)
	if c.isTarget(&a.server) {
		latency = time.Duration(float64(max(latency-connectCost, 0)) / canarySlowness)
	}
	s.pairer.Record(moves.Outcome{
		Route:   model.Route{Route: model.RouteID(a.query.route.Name)},
		Move:    c.order,
		New:     c.isTarget(&a.server),
		Failed:  failed,
		Latency: latency,
	}, now)
}

// reportEvidence emits the evidence collected since the last report and the use of the limits, at most
// once per evidenceInterval.
func (s *State) reportEvidence(now model.Time) {
	if len(s.canaries) == 0 || now.Sub(s.evidenceReportedAt) < evidenceInterval {
		return
	}
	s.evidenceReportedAt = now
	var out effect.List
	s.pairer.Flush(now, &out)
	var report ReportEvidence
	for _, e := range out.Take() {
		if r, ok := e.(effect.ReportOutcomes); ok {
			report.Evidence = append(report.Evidence, r.Evidence)
		}
	}
	for _, set := range sortedNames(s.canaries) {
		if c := s.canaries[set]; !c.absent && !c.rollout.State.Final() && c.demand > 0 {
			report.Usage = append(report.Usage, c.usage())
		}
	}
	if len(report.Evidence)+len(report.Usage) > 0 {
		s.emit(report)
	}
}
