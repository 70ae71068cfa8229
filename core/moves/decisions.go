package moves

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// testResult is the result of the likelihood test of one measure on one route. A higher
// logRatio is stronger evidence that the new version is worse.
type testResult struct {
	route    model.RouteID
	measure  string
	counts   model.PairCounts
	logRatio float64 // logarithm of the likelihood ratio
}

func (res testResult) String() string {
	return fmt.Sprintf("route %s: %s with the new version only in %d and with the old version only in %d of %d pairs, log likelihood ratio %.1f",
		res.route, res.measure, res.counts.NewWorse, res.counts.OldWorse, res.counts.Pairs, res.logRatio)
}

// canReachThreshold reports whether the bound of logRatio reaches the limit for a measure. It
// avoids the more expensive logRatio on most routes.
func (r *routeEvidence) canReachThreshold(limit float64) bool {
	return logRatioBound(r.total.Failures) >= limit || logRatioBound(r.total.Slow) >= limit
}

// strongestEvidence returns the test result with the highest ratio on one route.
func (r *routeEvidence) strongestEvidence() testResult {
	failed := testResult{r.route, "failed", r.total.Failures, oneSidedLogRatio(r.total.Failures)}
	slow := testResult{r.route, "slow", r.total.Slow, oneSidedLogRatio(r.total.Slow)}
	if slow.logRatio > failed.logRatio {
		return slow
	}
	return failed
}

// oneSidedLogRatio returns logRatio, or 0 if the new version is worse in no more pairs than
// the old one, where logRatio cannot be positive.
func oneSidedLogRatio(p model.PairCounts) float64 {
	if p.NewWorse <= p.OldWorse {
		return 0
	}
	return logRatio(p.NewWorse, p.OldWorse)
}

// strongestEvidence returns the test result with the highest ratio on the routes of a move.
func (s *moveState) strongestEvidence(m *model.Move) testResult {
	strongest := testResult{logRatio: math.Inf(-1)}
	for _, id := range m.Routes {
		if res := s.route(id).strongestEvidence(); res.logRatio > strongest.logRatio {
			strongest = res
		}
	}
	return strongest
}

// evaluate tests the evidence of a running or recently ended move. It logs once that evidence
// was found after the move finished, and once that the move missed its deadline.
func (c *Controller) evaluate(m *model.Move, out *effect.List) {
	if c.evidenceExpired(m) {
		return
	}
	st, _ := c.state(m.Name)
	if st == nil {
		return
	}
	c.testEvidence(st, m, out)
	c.logLateEvidence(st, m, out)
	c.logOverdue(st, m, out)
}

// testEvidence withholds the new version if the evidence on a route reaches the threshold.
func (c *Controller) testEvidence(st *moveState, m *model.Move, out *effect.List) {
	limit := logRatioThreshold(len(m.Routes))
	for _, id := range m.Routes {
		r := st.route(id)
		if !r.changed {
			continue
		}
		r.changed = false
		if st.withheld || !r.canReachThreshold(limit) {
			continue
		}
		if res := r.strongestEvidence(); res.logRatio >= limit {
			st.cause = res.String()
			c.withhold(st, m, out)
		}
	}
}

// withhold stops the traffic of this VM to the new version of a running move. For an ended
// move, it only sets the mark that logLateEvidence reads.
func (c *Controller) withhold(st *moveState, m *model.Move, out *effect.List) {
	st.withheld = true
	if m.Phase.Final() {
		return
	}
	c.sharesChanged = true
	logMove(out, effect.Warn, "new version withheld", m, st.cause)
}

// withholdForPeer withholds the new version of a move because a peer has withheld it.
func (c *Controller) withholdForPeer(st *moveState, m *model.Move, peer model.VM, out *effect.List) {
	st.cause = fmt.Sprintf("withheld by VM %s; evidence seen here: %s", peer, st.strongestEvidence(m))
	c.withhold(st, m, out)
}

// logLateEvidence logs, once, evidence that the new version of a finished move is worse. A
// finished phase is final, so the traffic does not change.
func (c *Controller) logLateEvidence(st *moveState, m *model.Move, out *effect.List) {
	if !st.withheld || st.lateEvidenceLogged || m.Phase != model.MoveFinished {
		return
	}
	st.lateEvidenceLogged = true
	logMove(out, effect.Warn, "evidence against the new version after the move was finished", m, st.cause)
}

func (c *Controller) logOverdue(st *moveState, m *model.Move, out *effect.List) {
	if st.overdueLogged || !overdue(m, c.wall) {
		return
	}
	st.overdueLogged = true
	logMove(out, effect.Warn, "move is overdue", m, "deadline "+m.Deadline.Format(time.RFC3339))
}

func overdue(m *model.Move, wall time.Time) bool {
	return !m.Phase.Final() && !wall.Before(m.Deadline)
}

func logMove(out *effect.List, level effect.Level, message string, m *model.Move, cause string) {
	out.Add(effect.Log{
		Level:   level,
		Message: message,
		Step:    logStep,
		Fields: []effect.Field{
			{Key: "move", Value: m.Name},
			{Key: "customer", Value: string(m.Customer)},
			{Key: "version", Value: string(m.To)},
			{Key: "cause", Value: cause},
		},
	})
}

// writeDecision writes the move that decide returns, if this VM owns the move and no write of
// it is pending.
func (c *Controller) writeDecision(o model.Object, decide func(model.Object) (model.Move, bool), in Input, out *effect.List) {
	next, ok := decide(o)
	if !ok || owner(next.Name, in.Live) != c.self || c.objects.Pending(o.Key) {
		return
	}
	st, _ := c.state(next.Name)
	if st == nil {
		st = newMoveState(next.Name)
		c.moves[next.Name] = st
	}
	if st.lastWriteVersion == o.Version && c.lastTick.Sub(st.lastWriteAt) < writeInterval {
		return
	}
	st.lastWriteVersion = o.Version
	st.lastWriteAt = c.lastTick
	c.objects.Write(0, model.Object{Key: o.Key, Move: &next}, o.Version, c.lastTick, out)
}

// owner returns the VM that owns a move: the one with the highest rendezvous hash.
func owner(name string, live []model.VM) model.VM {
	var best model.VM
	var high uint64
	for _, vm := range live {
		h := xxhash.New()
		_, _ = h.WriteString(name)
		_, _ = h.WriteString("\x00")
		_, _ = h.WriteString(string(vm))
		if s := h.Sum64(); best == "" || s > high {
			best, high = vm, s
		}
	}
	return best
}

// decide returns the next state of a running move, and false if it stays as it is.
func (c *Controller) decide(o model.Object) (model.Move, bool) {
	m := o.Move
	st := c.moves[m.Name]
	if m.Withheld || (st != nil && st.withheld) {
		return c.decideWithheld(m, st)
	}
	if c.paused {
		return model.Move{}, false
	}
	if reason, obsolete := c.obsoleteReason(m); obsolete {
		return c.rolledBack(m, reason), true
	}
	if c.collecting() {
		return model.Move{}, false
	}
	if !c.wall.Before(lastStageEnd(m)) {
		return c.decideAtEnd(m), true
	}
	if _, _, missing := c.missingPairs(m); missing || inLastStage(m) || c.wall.Before(stageEnd(m, c.effectiveStageStart(m))) {
		return model.Move{}, false
	}
	return c.advanced(m), true
}

// collecting reports whether this controller started so recently that it may not yet have
// received the counters of every running move from its peers.
func (c *Controller) collecting() bool {
	rounds := 1 + c.index.runningRoutes/maxOwnEntries
	return c.lastTick.Sub(c.firstTick) < collectTime+time.Duration(rounds)*evidenceInterval
}

// decideWithheld rolls a withheld move back. While automation is paused, it stores the mark
// instead, so that the move stays withheld after restarts.
func (c *Controller) decideWithheld(m *model.Move, st *moveState) (model.Move, bool) {
	reason := m.Reason
	if reason == "" && st != nil {
		reason = st.cause
	}
	if !c.paused {
		return c.rolledBack(m, reason), true
	}
	if m.Withheld {
		return model.Move{}, false
	}
	next := *m
	next.Withheld = true
	next.Reason = reason
	return next, true
}

// obsoleteReason returns why a running move cannot finish regardless of its evidence, and
// false if it can.
func (c *Controller) obsoleteReason(m *model.Move) (string, bool) {
	for _, id := range m.Routes {
		if other := c.index.controlling[model.Route{Customer: m.Customer, Route: id}]; other.name != m.Name {
			return fmt.Sprintf("route %s belongs to move %q, which started earlier", id, other.name), true
		}
		r, ok := c.routeConfig(m.Customer, id)
		if !ok {
			continue
		}
		if _, ok := r.Version(m.To); !ok {
			return fmt.Sprintf("version %q of route %s is no longer in the template", m.To, id), true
		}
	}
	return "", false
}

// decideAtEnd returns the final state of a move that is not withheld, once the reserve has
// begun. If a pause ended after that time, the move has not completed its stage and is rolled
// back.
func (c *Controller) decideAtEnd(m *model.Move) model.Move {
	if overdue(m, c.wall) {
		return c.rolledBack(m, "the deadline passed in "+stageName(m))
	}
	if !inLastStage(m) || !c.effectiveStageStart(m).Before(lastStageEnd(m)) {
		return c.rolledBack(m, fmt.Sprintf("not through %s at the deadline less the reserve%s", stageName(m), c.missingPairsText(m)))
	}
	if s := c.missingPairsText(m); s != "" {
		return c.rolledBack(m, "too few pairs at the deadline less the reserve"+s)
	}
	return c.finished(m)
}

func stageName(m *model.Move) string {
	return fmt.Sprintf("stage %d of %d", stageIndex(m)+1, len(stages))
}

// missingPairsText describes a route with too few pairs in the current stage, or returns an
// empty text if there is none.
func (c *Controller) missingPairsText(m *model.Move) string {
	id, have, missing := c.missingPairs(m)
	if !missing {
		return ""
	}
	return fmt.Sprintf("; route %s has %d of %d pairs in %s", id, have, stages[stageIndex(m)].minPairs, stageName(m))
}

func (c *Controller) advanced(m *model.Move) model.Move {
	next := *m
	next.Stage++
	next.StageStarted = c.wall
	next.StagePairs = make([]uint64, len(m.Routes))
	for i, id := range m.Routes {
		next.StagePairs[i] = c.totalPairs(m.Name, id)
	}
	return next
}

func (c *Controller) finished(m *model.Move) model.Move {
	next := *m
	next.Phase = model.MoveFinished
	next.Ended = c.wall
	next.Reason = "all stages passed"
	if st, ok := c.moves[m.Name]; ok {
		next.Reason += "; strongest evidence against the new version: " + st.strongestEvidence(m).String()
	}
	next.Settled = c.isSettled(&next)
	return next
}

func (c *Controller) rolledBack(m *model.Move, reason string) model.Move {
	next := *m
	next.Phase = model.MoveTakenBack
	next.Ended = c.wall
	next.Reason = reason
	next.Settled = c.isSettled(&next)
	return next
}
