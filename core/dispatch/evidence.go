package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/core/moves"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// canarySlowness is the ratio of the target version's latency to that of the old version up
	// to which the target version does not count as slower, after connectCost is subtracted. Its
	// servers get few requests, so their connections and caches are colder.
	canarySlowness = 1.5
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

func (c *canary) usage() model.RolloutUsage {
	return model.RolloutUsage{
		Order: c.order, Demand: uint64(c.demand), Requests: uint64(c.requests), Sent: uint64(c.sent), Failed: uint64(c.failed),
		OldSent: uint64(c.oldSent), OldFailed: uint64(c.oldFailed),
	}
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
	for _, set := range slices.Sorted(maps.Keys(s.canaries)) {
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
	for _, set := range slices.Sorted(maps.Keys(s.canaries)) {
		if c := s.canaries[set]; !c.absent && !c.rollout.State.Final() && c.demand > 0 {
			report.Usage = append(report.Usage, c.usage())
		}
	}
	if len(report.Evidence)+len(report.Usage) > 0 {
		s.emit(report)
	}
}
