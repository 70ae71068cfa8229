package dispatch

import (
	"errors"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/moves"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// CanaryConfig bounds the requests to the target version of a rollout until it is completed,
// over all VMs: Share of the requests to its set, plus Slack.
type CanaryConfig struct {
	Share float64
	Slack float64
}

const (
	// canaryShare and canarySlackShare are the parts of the bound that the VMs use. The rest
	// covers requests that the VMs count at other times than an observer, and a second share
	// of the slack for a VM that is started again.
	canaryShare      = 0.8
	canarySlackShare = 0.5
	// canarySlowness is how many times as slow as the old version a version on trial may be,
	// beside the time to open a connection: its servers get few requests, so that their
	// connections and caches are less warm.
	canarySlowness = 1.5
	// oldVersionGone is how long after the completion of a rollout servers of other versions get
	// nothing. They have been stopped, and their registrations lapse; those that register later
	// belong to a later change.
	oldVersionGone = 10 * time.Second
	// evidenceInterval spaces the reports of what was seen of the versions.
	evidenceInterval = 250 * time.Millisecond
)

// ReportEvidence reports the evidence on both versions of running rollouts that was collected
// since the last report. Move is the order of the rollout.
type ReportEvidence struct{ Evidence []model.MoveEvidence }

func (ReportEvidence) effect() {}

// canary is the state of one order at this VM.
type canary struct {
	rollout  model.Rollout
	order    string
	requests float64 // to the set since the order
	sent     float64 // attempts at servers of the target version
	replaces bool    // servers of the target version are known
	// completed is when this VM first heard that the rollout is completed; 0 before.
	completed model.Time
}

func (c CanaryConfig) validate() error {
	if c.Share < 0 || c.Slack < 0 {
		return errors.New("dispatch: the bound for the target version of a rollout is negative")
	}
	return nil
}

// publishRollouts takes the orders of a new view. The counts of an order go on as long as the
// order stands.
func (s *State) publishRollouts(now model.Time) {
	for set := range s.canaries {
		if _, ok := s.view.Rollouts[set]; !ok {
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
		if r.State == model.RolloutCompleted && c.completed == 0 {
			c.completed = now
		}
		c.replaces = false
		for i := range s.view.Replicas[set] {
			c.replaces = c.replaces || c.isTarget(&s.view.Replicas[set][i])
		}
	}
}

func (c *canary) isTarget(r *model.Replica) bool { return r.Version == c.rollout.Target }

// running reports whether both versions are in use.
func (c *canary) running() bool { return !c.rollout.State.Final() && !c.rollout.Withheld }

// excludes reports whether a server gets nothing because of its version. Without a server of
// the target version, those of the other one stay in use.
func (c *canary) excludes(r *model.Replica, now model.Time) bool {
	if c.rollout.Withheld || c.rollout.State == model.RolloutRolledBack {
		return c.isTarget(r)
	}
	return c.completed != 0 && now.Sub(c.completed) < oldVersionGone && c.replaces && !c.isTarget(r)
}

// excluded reports whether a rollout keeps requests from a server.
func (s *State) excluded(r *model.Replica, now model.Time) bool {
	c, ok := s.canaries[r.Set]
	return ok && c.excludes(r, now)
}

// canaryRoom reports whether this VM may send another request to the target version. A VM
// that has run for less than a window of the retry budget has no share of the slack: an
// earlier process of the same VM may have used it.
func (s *State) canaryRoom(c *canary, r *route, now model.Time) bool {
	bound := canaryShare * s.cfg.Canary.Share * c.requests
	if time.Duration(now) >= s.cfg.Budget.Window {
		bound += canarySlackShare * s.cfg.Canary.Slack / float64(s.sharers(r))
	}
	return c.sent+1 <= bound
}

// pick returns the server for the next attempt of a shard, or nil. While a rollout runs, a
// part of the first attempts goes to warm servers of the target version; all other attempts go
// to the old version as long as it has a server.
func (s *State) pick(q *query, sh *shard, now model.Time) *model.Replica {
	c, ok := s.canaries[sh.set]
	if !ok || !c.running() {
		return s.pickAmong(q, sh, now, func(r *model.Replica) bool { return !s.excluded(r, now) })
	}
	room := s.canaryRoom(c, q.route, now)
	first := len(sh.tried)+len(sh.avoid)+len(sh.running) == 0
	if first && room {
		warm := func(r *model.Replica) bool { return c.isTarget(r) && now >= s.serverOf(r).cold.until }
		if r := s.pickAmong(q, sh, now, warm); r != nil {
			return r
		}
	}
	if r := s.pickAmong(q, sh, now, func(r *model.Replica) bool { return !c.isTarget(r) }); r != nil || !room {
		return r
	}
	return s.pickAmong(q, sh, now, c.isTarget)
}

// countRequest counts a request to a set for the bounds that are parts of the requests.
func (s *State) countRequest(set model.ReplicaSet, now model.Time) {
	s.budgetOf(set).request(now)
	if c, ok := s.canaries[set]; ok {
		c.requests++
	}
}

// countCanary counts an attempt at a server of a target version.
func (s *State) countCanary(r *model.Replica) {
	if c, ok := s.canaries[r.Set]; ok && c.isTarget(r) {
		c.sent++
		s.count(CountCanaries)
	}
}

// observeVersion takes the end of an attempt into the evidence of a running rollout. A server
// that has just started is slow for that reason alone.
func (s *State) observeVersion(a *attempt, ev AttemptEnded, now model.Time) {
	c, ok := s.canaries[a.server.Set]
	if !ok || !c.running() {
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
	if !failed && now < a.stats.cold.until {
		return
	}
	took := now.Sub(a.sent)
	if c.isTarget(&a.server) {
		took = time.Duration(float64(max(took-connectCost, 0)) / canarySlowness)
	}
	s.pairer.Record(moves.Outcome{
		Route:   model.Route{Route: model.RouteID(a.query.route.Name)},
		Move:    c.order,
		New:     c.isTarget(&a.server),
		Failed:  failed,
		Latency: took,
	}, now)
}

// reportEvidence emits what was seen since the last report.
func (s *State) reportEvidence(now model.Time) {
	if len(s.canaries) == 0 || now.Sub(s.reportedAt) < evidenceInterval {
		return
	}
	s.reportedAt = now
	var out effect.List
	s.pairer.Flush(now, &out)
	var seen ReportEvidence
	for _, e := range out.Take() {
		if r, ok := e.(effect.ReportOutcomes); ok {
			seen.Evidence = append(seen.Evidence, r.Evidence)
		}
	}
	if len(seen.Evidence) > 0 {
		s.emit(seen)
	}
}
