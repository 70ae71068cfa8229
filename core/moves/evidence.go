package moves

import (
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// evidenceInterval spaces the heartbeats that carry counters. Marks of withheld moves
	// go into every heartbeat.
	evidenceInterval = 500 * time.Millisecond

	// Most entries of each sort in one heartbeat; the rest follows in rotation. They bound
	// the size of a heartbeat when many moves run at once.
	maxOwnEntries     = 16
	maxRelayedEntries = 4
	maxWithheldMarks  = 8
)

// source is one boot of one VM. Counters only rise within a source.
type source struct {
	vm   model.VM
	boot model.Boot
}

// routeEvidence holds the counters of one move and route from all sources. Sources are
// never dropped while the move lasts, so evidence of a VM that is gone still counts.
type routeEvidence struct {
	route   model.RouteID
	sources map[source]*model.MoveEvidence
	order   []*model.MoveEvidence // by arrival of the first report
	total   model.MoveEvidence
	changed bool // total changed since the last test
}

// entry returns the counters of a source.
func (r *routeEvidence) entry(s source, move string) *model.MoveEvidence {
	e, ok := r.sources[s]
	if !ok {
		e = &model.MoveEvidence{Move: move, Route: r.route, VM: s.vm, Boot: s.boot}
		r.sources[s] = e
		r.order = append(r.order, e)
	}
	return e
}

// add counts increments of a source.
func (r *routeEvidence) add(s source, inc model.MoveEvidence) {
	addCounters(r.entry(s, inc.Move), inc)
	addCounters(&r.total, inc)
	r.changed = true
}

// merge takes in the counters of a source. Doubled and reordered reports have no effect,
// since each counter keeps its highest value.
func (r *routeEvidence) merge(ev model.MoveEvidence) {
	e := r.entry(source{ev.VM, ev.Boot}, ev.Move)
	e.Withheld = e.Withheld || ev.Withheld
	inc := model.MoveEvidence{
		Failures: risePairs(e.Failures, ev.Failures),
		Slow:     risePairs(e.Slow, ev.Slow),
		New:      rise(e.New, ev.New),
		Old:      rise(e.Old, ev.Old),
	}
	if inc == (model.MoveEvidence{}) {
		return
	}
	addCounters(e, inc)
	addCounters(&r.total, inc)
	r.changed = true
}

// pairs returns the pairs that count for every measure.
func (r *routeEvidence) pairs() uint64 { return min(r.total.Failures.Pairs, r.total.Slow.Pairs) }

func addCounters(e *model.MoveEvidence, inc model.MoveEvidence) {
	e.Failures = e.Failures.Add(inc.Failures)
	e.Slow = e.Slow.Add(inc.Slow)
	e.New += inc.New
	e.Old += inc.Old
}

// rise returns by how much a counter rises from a to b, 0 if b is older.
func rise(a, b uint64) uint64 { return max(a, b) - a }

func risePairs(a, b model.PairCounts) model.PairCounts {
	return model.PairCounts{
		Pairs:    rise(a.Pairs, b.Pairs),
		NewWorse: rise(a.NewWorse, b.NewWorse),
		OldWorse: rise(a.OldWorse, b.OldWorse),
	}
}

// moveState is what one VM knows of a move besides the stored object.
type moveState struct {
	name     string
	routes   map[model.RouteID]*routeEvidence
	withheld bool   // sends no traffic to the new version
	cause    string // why it is withheld, with figures

	lateLogged    bool // a withhold after the finish was logged
	overdueLogged bool

	wroteAt      model.Time
	wroteVersion uint64 // version of the object that the last write was made from, 0 if none
}

func newMoveState(name string) *moveState {
	return &moveState{name: name, routes: make(map[model.RouteID]*routeEvidence)}
}

func (s *moveState) route(id model.RouteID) *routeEvidence {
	r, ok := s.routes[id]
	if !ok {
		r = &routeEvidence{route: id, sources: make(map[source]*model.MoveEvidence)}
		s.routes[id] = r
	}
	return r
}

// rotation remembers where the next heartbeat continues.
type rotation struct {
	own, relayed, marks int
	sent                bool
	sentAt              model.Time // last heartbeat with counters
}

// Fill sets the fields of a heartbeat that moves own: marks of withheld moves, and at
// intervals the counters of this VM and, in rotation, those that it has heard. Relaying
// carries evidence to a VM that restarted after its source was gone.
func (c *Controller) Fill(hb *event.Heartbeat) {
	hb.Evidence = take(hb.Evidence, c.marks(), &c.rotation.marks, maxWithheldMarks)
	if c.rotation.sent && c.now.Sub(c.rotation.sentAt) < evidenceInterval {
		return
	}
	c.rotation.sent = true
	c.rotation.sentAt = c.now
	own, relayed := c.entries()
	hb.Evidence = take(hb.Evidence, own, &c.rotation.own, maxOwnEntries)
	hb.Evidence = take(hb.Evidence, relayed, &c.rotation.relayed, maxRelayedEntries)
}

// marks lists one entry of this VM for each running move that it has withheld.
func (c *Controller) marks() []*model.MoveEvidence {
	var list []*model.MoveEvidence
	for _, o := range c.index.running {
		if st, ok := c.moves[o.Move.Name]; ok && st.withheld {
			list = append(list, c.ownEntry(st, o.Move.Routes[0]))
		}
	}
	return list
}

// ownEntry returns the counters of this VM and marks them if the move is withheld.
func (c *Controller) ownEntry(st *moveState, id model.RouteID) *model.MoveEvidence {
	e := st.route(id).entry(source{c.self, c.boot}, st.name)
	e.Withheld = st.withheld
	return e
}

// entries lists the counters of the running moves, of this VM and of all others.
func (c *Controller) entries() (own, others []*model.MoveEvidence) {
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

// take appends at most limit entries of from to list, continuing at the cursor.
func take(list []model.MoveEvidence, from []*model.MoveEvidence, cursor *int, limit int) []model.MoveEvidence {
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
