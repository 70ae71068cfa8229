package moves

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// finding is the strongest evidence against the new version of a move.
type finding struct {
	route   model.RouteID
	measure string
	counts  model.PairCounts
	ratio   float64 // logarithm of the likelihood ratio
}

func (f finding) String() string {
	return fmt.Sprintf("route %s: %s with the new version only in %d and with the old version only in %d of %d pairs, log likelihood ratio %.1f",
		f.route, f.measure, f.counts.NewWorse, f.counts.OldWorse, f.counts.Pairs, f.ratio)
}

// mayExceed reports whether a measure can reach the limit, by the bound in maxRatio.
func (r *routeEvidence) mayExceed(limit float64) bool {
	return maxRatio(r.total.Failures) >= limit || maxRatio(r.total.Slow) >= limit
}

// worst returns the strongest finding on one route.
func (r *routeEvidence) worst() finding {
	failed := finding{r.route, "failed", r.total.Failures, ratio(r.total.Failures)}
	slow := finding{r.route, "slow", r.total.Slow, ratio(r.total.Slow)}
	if slow.ratio > failed.ratio {
		return slow
	}
	return failed
}

// ratio returns the logarithm of the likelihood ratio, or 0 where it cannot be above 0.
func ratio(p model.PairCounts) float64 {
	if p.NewWorse <= p.OldWorse {
		return 0
	}
	return logRatio(p.NewWorse, p.OldWorse)
}

// worst returns the strongest finding on the routes of a move.
func (s *moveState) worst(m *model.Move) finding {
	worst := finding{ratio: math.Inf(-1)}
	for _, id := range m.Routes {
		if f := s.route(id).worst(); f.ratio > worst.ratio {
			worst = f
		}
	}
	return worst
}

// inspect tests a move, running or recently ended, and logs what it finds.
func (c *Controller) inspect(m *model.Move, out *effect.List) {
	if c.forgotten(m) {
		return
	}
	st, _ := c.state(m.Name)
	if st == nil {
		return
	}
	c.test(st, m, out)
	c.logLate(st, m, out)
	c.logOverdue(st, m, out)
}

// test withholds the new version when the evidence on a route crosses the threshold.
func (c *Controller) test(st *moveState, m *model.Move, out *effect.List) {
	limit := threshold(len(m.Routes))
	for _, id := range m.Routes {
		r := st.route(id)
		if !r.changed {
			continue
		}
		r.changed = false
		if st.withheld || !r.mayExceed(limit) {
			continue
		}
		if f := r.worst(); f.ratio >= limit {
			st.cause = f.String()
			c.withhold(st, m, out)
		}
	}
}

// withhold stops traffic of this VM to the new version of a running move.
func (c *Controller) withhold(st *moveState, m *model.Move, out *effect.List) {
	st.withheld = true
	if m.Phase.Final() {
		return
	}
	c.changed = true
	logMove(out, effect.Warn, "new version withheld", m, st.cause)
}

// adopt withholds the new version of a move that a peer has withheld.
func (c *Controller) adopt(st *moveState, m *model.Move, peer model.VM, out *effect.List) {
	st.cause = fmt.Sprintf("withheld by VM %s; evidence seen here: %s", peer, st.worst(m))
	c.withhold(st, m, out)
}

// logLate reports evidence against a version whose move is finished. The finish is final,
// so traffic stays as it is.
func (c *Controller) logLate(st *moveState, m *model.Move, out *effect.List) {
	if !st.withheld || st.lateLogged || m.Phase != model.MoveFinished {
		return
	}
	st.lateLogged = true
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
		Step:    step,
		Fields: []effect.Field{
			{Key: "move", Value: m.Name},
			{Key: "customer", Value: string(m.Customer)},
			{Key: "version", Value: string(m.To)},
			{Key: "cause", Value: cause},
		},
	})
}

// act writes what decide returns if this VM is the owner of the move and no write of it
// is under way.
func (c *Controller) act(o model.Object, decide func(model.Object) (model.Move, bool), in Input, out *effect.List) {
	next, ok := decide(o)
	if !ok || owner(next.Name, in.Live) != c.self || c.objects.Pending(o.Key) {
		return
	}
	st, _ := c.state(next.Name)
	if st == nil {
		st = newMoveState(next.Name)
		c.moves[next.Name] = st
	}
	if st.wroteVersion == o.Version && c.now.Sub(st.wroteAt) < writeInterval {
		return
	}
	st.wroteVersion = o.Version
	st.wroteAt = c.now
	c.objects.Write(0, model.Object{Key: o.Key, Move: &next}, o.Version, c.now, out)
}

// owner returns the VM in charge of a move: the first by rendezvous hash.
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

// decide returns the next state of a running move.
func (c *Controller) decide(o model.Object) (model.Move, bool) {
	m := o.Move
	st := c.moves[m.Name]
	if m.Withheld || (st != nil && st.withheld) {
		return c.decideWithheld(m, st)
	}
	if c.paused {
		return model.Move{}, false
	}
	if reason, gone := c.obsolete(m); gone {
		return c.takenBack(m, reason), true
	}
	if c.settling() {
		return model.Move{}, false
	}
	if !c.wall.Before(end(m)) {
		return c.decideAtEnd(m), true
	}
	if _, _, missing := c.missingPairs(m); missing || lastStage(m) || c.wall.Before(due(m, c.stageBegan(m))) {
		return model.Move{}, false
	}
	return c.advanced(m), true
}

// settling reports whether this controller has run for too short a time to have heard
// the counters of every running move from its peers.
func (c *Controller) settling() bool {
	rounds := 1 + c.index.runningRoutes/maxOwnEntries
	return c.now.Sub(c.started) < settleTime+time.Duration(rounds)*evidenceInterval
}

// decideWithheld takes a withheld move back, or keeps the mark in the store while
// automation is paused, so that it survives restarts.
func (c *Controller) decideWithheld(m *model.Move, st *moveState) (model.Move, bool) {
	reason := m.Reason
	if reason == "" && st != nil {
		reason = st.cause
	}
	if !c.paused {
		return c.takenBack(m, reason), true
	}
	if m.Withheld {
		return model.Move{}, false
	}
	next := *m
	next.Withheld = true
	next.Reason = reason
	return next, true
}

// obsolete reports why a running move can never finish, whatever the evidence.
func (c *Controller) obsolete(m *model.Move) (string, bool) {
	for _, id := range m.Routes {
		if other := c.index.holder[model.Route{Customer: m.Customer, Route: id}]; other.name != m.Name {
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

// decideAtEnd gives the verdict on a move without evidence against it once the reserve
// begins. A move that resumed after that time has not run its stage and is taken back.
func (c *Controller) decideAtEnd(m *model.Move) model.Move {
	if overdue(m, c.wall) {
		return c.takenBack(m, "the deadline passed in "+stageName(m))
	}
	if !lastStage(m) || !c.stageBegan(m).Before(end(m)) {
		return c.takenBack(m, fmt.Sprintf("not through %s at the deadline less the reserve%s", stageName(m), c.shortfall(m)))
	}
	if s := c.shortfall(m); s != "" {
		return c.takenBack(m, "too few pairs at the deadline less the reserve"+s)
	}
	return c.finished(m)
}

func stageName(m *model.Move) string {
	return fmt.Sprintf("stage %d of %d", stageOf(m)+1, len(stages))
}

// shortfall names a route with too few pairs in this stage.
func (c *Controller) shortfall(m *model.Move) string {
	id, have, missing := c.missingPairs(m)
	if !missing {
		return ""
	}
	return fmt.Sprintf("; route %s has %d of %d pairs in %s", id, have, stages[stageOf(m)].pairs, stageName(m))
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
		next.Reason += "; strongest evidence against the new version: " + st.worst(m).String()
	}
	next.Settled = c.settled(&next)
	return next
}

func (c *Controller) takenBack(m *model.Move, reason string) model.Move {
	next := *m
	next.Phase = model.MoveTakenBack
	next.Ended = c.wall
	next.Reason = reason
	next.Settled = c.settled(&next)
	return next
}
