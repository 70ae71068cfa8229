package moves

import (
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// evidenceInterval is the minimum time between two heartbeats that carry counters. Marks
	// of withheld moves are part of every heartbeat.
	evidenceInterval = 500 * time.Millisecond

	// These are the maximum numbers of entries of each kind in one heartbeat, which bound its
	// size when many moves run at once. The next heartbeats carry the remaining entries.
	maxOwnEntries     = 16
	maxRelayedEntries = 4
	maxWithheldMarks  = 8
)

// routeEvidence holds the counters of one move and route from all sources, which are processes. Within a
// source, counters never decrease. A source is kept as long as the move's evidence, so the evidence of a VM
// that has stopped still counts.
type routeEvidence struct {
	route   model.RouteID
	sources map[model.Process]*model.MoveEvidence
	order   []*model.MoveEvidence // sorted by time of the first report
	total   model.MoveEvidence
	changed bool // total has changed since the last test
}

// entry returns the counters of a source and creates them if necessary.
func (r *routeEvidence) entry(s model.Process, move string) *model.MoveEvidence {
	e, ok := r.sources[s]
	if !ok {
		e = &model.MoveEvidence{Move: move, Route: r.route, VM: s.VM, Boot: s.Boot}
		r.sources[s] = e
		r.order = append(r.order, e)
	}
	return e
}

// add adds increments to the counters of a source.
func (r *routeEvidence) add(s model.Process, inc model.MoveEvidence) {
	addCounters(r.entry(s, inc.Move), inc)
	addCounters(&r.total, inc)
	r.changed = true
}

// merge updates the counters of a source from a report. Each counter keeps its highest
// value, so duplicate and late reports have no effect.
func (r *routeEvidence) merge(ev model.MoveEvidence) {
	e := r.entry(model.Process{VM: ev.VM, Boot: ev.Boot}, ev.Move)
	e.Withheld = e.Withheld || ev.Withheld
	inc := model.MoveEvidence{
		Failures: pairIncrease(e.Failures, ev.Failures),
		Slow:     pairIncrease(e.Slow, ev.Slow),
		Ranks:    rankIncrease(e.Ranks, ev.Ranks),
		New:      increase(e.New, ev.New),
		Old:      increase(e.Old, ev.Old),
	}
	if inc == (model.MoveEvidence{}) {
		return
	}
	addCounters(e, inc)
	addCounters(&r.total, inc)
	r.changed = true
}

// comparedPairs returns the number of pairs that have been compared by failure and by
// latency.
func (r *routeEvidence) comparedPairs() uint64 {
	return min(r.total.Failures.Pairs, r.total.Slow.Pairs)
}

func addCounters(e *model.MoveEvidence, inc model.MoveEvidence) {
	e.Failures = e.Failures.Add(inc.Failures)
	e.Slow = e.Slow.Add(inc.Slow)
	e.Ranks = e.Ranks.Add(inc.Ranks)
	e.New += inc.New
	e.Old += inc.Old
}

// increase returns the increase of a counter from a to b, or 0 if b is an older value.
func increase(a, b uint64) uint64 { return max(a, b) - a }

func pairIncrease(a, b model.PairCounts) model.PairCounts {
	return model.PairCounts{
		Pairs:    increase(a.Pairs, b.Pairs),
		NewWorse: increase(a.NewWorse, b.NewWorse),
		OldWorse: increase(a.OldWorse, b.OldWorse),
	}
}

func rankIncrease(a, b model.RankCounts) model.RankCounts {
	var inc model.RankCounts
	for i := range inc.Trials {
		inc.Trials[i] = increase(a.Trials[i], b.Trials[i])
		inc.Slowest[i] = increase(a.Slowest[i], b.Slowest[i])
	}
	return inc
}

// moveState is the state of a move that one VM keeps in memory, besides the stored object.
type moveState struct {
	name     string
	routes   map[model.RouteID]*routeEvidence
	withheld bool   // this VM sends no traffic to the new version
	cause    string // evidence for which it is withheld, with figures

	lateEvidenceLogged bool // evidence found after the move finished has been logged
	overdueLogged      bool

	lastWriteAt      model.Time
	lastWriteVersion uint64 // object version that the last write replaced, 0 if there was no write
}

func newMoveState(name string) *moveState {
	return &moveState{name: name, routes: make(map[model.RouteID]*routeEvidence)}
}

func (s *moveState) route(id model.RouteID) *routeEvidence {
	r, ok := s.routes[id]
	if !ok {
		r = &routeEvidence{route: id, sources: make(map[model.Process]*model.MoveEvidence)}
		s.routes[id] = r
	}
	return r
}

// rotation holds, for each kind of entry, the position at which the next heartbeat
// continues.
type rotation struct {
	own, relayed, marks int
	sent                bool
	sentAt              model.Time // last heartbeat with counters
}

// AddEvidence adds evidence to a heartbeat: marks of withheld moves, and every evidenceInterval the
// counters of this VM and those received from other VMs, some of each in rotation. The
// relayed counters bring a restarted VM the evidence of VMs that have stopped meanwhile.
func (c *Controller) AddEvidence(hb *event.Heartbeat) {
	hb.Evidence = appendRotating(hb.Evidence, c.withheldMarks(), &c.rotation.marks, maxWithheldMarks)
	if c.rotation.sent && c.lastTick.Sub(c.rotation.sentAt) < evidenceInterval {
		return
	}
	c.rotation.sent = true
	c.rotation.sentAt = c.lastTick
	own, relayed := c.counterEntries()
	hb.Evidence = appendRotating(hb.Evidence, own, &c.rotation.own, maxOwnEntries)
	hb.Evidence = appendRotating(hb.Evidence, relayed, &c.rotation.relayed, maxRelayedEntries)
}

// withheldMarks returns one entry of this VM, with Withheld set, for each running move that
// it has withheld.
func (c *Controller) withheldMarks() []*model.MoveEvidence {
	var list []*model.MoveEvidence
	for _, o := range c.index.running {
		if st, ok := c.moves[o.Move.Name]; ok && st.withheld {
			list = append(list, c.ownEntry(st, o.Move.Routes[0]))
		}
	}
	return list
}

// ownEntry returns the counters of this VM and updates their Withheld mark.
func (c *Controller) ownEntry(st *moveState, id model.RouteID) *model.MoveEvidence {
	e := st.route(id).entry(model.Process{VM: c.self, Boot: c.boot}, st.name)
	e.Withheld = st.withheld
	return e
}

// counterEntries returns the counters of the running moves: those of this VM, and those of
// all other sources.
func (c *Controller) counterEntries() (own, others []*model.MoveEvidence) {
	for _, o := range c.index.running {
		st, ok := c.moves[o.Move.Name]
		if !ok {
			continue
		}
		for _, id := range o.Move.Routes {
			e := c.ownEntry(st, id)
			own = append(own, e)
			others = appendOthers(others, st.route(id), e)
		}
	}
	return own, others
}

func appendOthers(list []*model.MoveEvidence, r *routeEvidence, own *model.MoveEvidence) []*model.MoveEvidence {
	for _, e := range r.order {
		if e != own {
			list = append(list, e)
		}
	}
	return list
}

// appendRotating appends up to limit entries of from to list. It starts at the cursor, wraps
// around at the end, and moves the cursor past the last appended entry.
func appendRotating(list []model.MoveEvidence, from []*model.MoveEvidence, cursor *int, limit int) []model.MoveEvidence {
	if len(from) == 0 {
		return list
	}
	start := *cursor % len(from)
	n := min(limit, len(from))
	list = slices.Grow(list, n)
	for i := range n {
		list = append(list, *from[(start+i)%len(from)])
	}
	*cursor = (start + n) % len(from)
	return list
}
