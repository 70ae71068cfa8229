// Package moves shifts traffic between versions of a customer's routes in stages,
// tests the new version against the old one, and finishes or takes back each move.
package moves

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// settleTime is how long a controller gathers evidence from heartbeats before it
	// judges whether a stage has enough of it, besides one round of all counters. It covers
	// the start of membership and several lost heartbeats.
	settleTime = 3 * time.Second

	// writeInterval spaces attempts to write the same version of a move, so that a store
	// that is down is not asked at every tick.
	writeInterval = time.Second

	// keepEnded is how long the evidence of an ended move stays in memory for reports.
	keepEnded = time.Hour

	// pruneInterval spaces the searches for evidence that can be dropped.
	pruneInterval = time.Minute

	step = "moves"
)

// Objects is the part of the configuration cache that moves need.
type Objects interface {
	Get(key model.ObjectKey) (model.Object, bool)
	All(kind model.ObjectKind) []model.Object
	Pending(key model.ObjectKey) bool
	Write(command uint64, obj model.Object, ifVersion uint64, now model.Time, out *effect.List)
}

// Input is what a tick needs from the other modules.
type Input struct {
	Wall   time.Time
	Paused bool
	Live   []model.VM // sorted
}

// Controller is the state of all moves on one VM.
type Controller struct {
	self    model.VM
	boot    model.Boot
	objects Objects

	moves    map[string]*moveState
	starting map[string]model.Move // moves of Start whose write is under way
	index    index
	rotation rotation

	ticked  bool
	started model.Time // first tick
	now     model.Time // last tick
	pruned  model.Time
	wall    time.Time
	paused  bool
	resumed time.Time // end of the last pause that this controller saw
	changed bool      // Shares changed since the last tick
}

// New returns a controller without evidence.
func New(self model.VM, boot model.Boot, objects Objects) *Controller {
	return &Controller{
		self:     self,
		boot:     boot,
		objects:  objects,
		moves:    make(map[string]*moveState),
		starting: make(map[string]model.Move),
	}
}

func moveKey(name string) model.ObjectKey {
	return model.ObjectKey{Kind: model.ObjectMove, Name: name}
}

// move returns the stored move with its object.
func (c *Controller) move(name string) (model.Object, bool) {
	o, ok := c.objects.Get(moveKey(name))
	return o, ok && !o.Deleted && o.Move != nil
}

// state returns the evidence of a move that was stored at the last tick. Evidence of a
// move that is not known yet is not kept: counters are cumulative, so the next report
// contains it.
func (c *Controller) state(name string) (*moveState, *model.Move) {
	m, ok := c.index.byName[name]
	if !ok || c.forgotten(m) {
		return nil, nil
	}
	st, ok := c.moves[name]
	if !ok {
		st = newMoveState(name)
		c.moves[name] = st
	}
	return st, m
}

// forgotten reports whether the evidence of an ended move is no longer kept.
func (c *Controller) forgotten(m *model.Move) bool {
	return m.Phase.Final() && c.wall.Sub(m.Ended) > keepEnded
}

// Outcomes adds counts of a traffic worker of this VM.
func (c *Controller) Outcomes(ev event.MoveOutcomes, now model.Time, out *effect.List) {
	st, m := c.state(ev.Evidence.Move)
	if st == nil || !covers(m, ev.Evidence.Route) {
		return
	}
	r := st.route(ev.Evidence.Route)
	inc := ev.Evidence
	if c.warming(m, r) {
		inc.Slow = model.PairCounts{}
	}
	r.add(source{c.self, c.boot}, inc)
}

// Heartbeat takes in the evidence of a peer.
func (c *Controller) Heartbeat(hb *event.Heartbeat, now model.Time, out *effect.List) {
	for _, ev := range hb.Evidence {
		st, m := c.state(ev.Move)
		if st == nil || !covers(m, ev.Route) {
			continue
		}
		st.route(ev.Route).merge(ev)
		if ev.Withheld && !st.withheld {
			c.adopt(st, m, ev.VM, out)
		}
	}
}

// Tick advances, finishes or takes back moves that this VM is in charge of. It reports
// whether Shares changed.
func (c *Controller) Tick(in Input, now model.Time, out *effect.List) bool {
	c.observe(in, now)
	c.index.update(c.objects.All(model.ObjectMove))
	for _, o := range c.index.running {
		c.inspect(o.Move, out)
	}
	for _, o := range c.index.ended {
		c.inspect(o.Move, out)
	}
	for _, o := range c.index.running {
		c.act(o, c.decide, in, out)
	}
	for _, o := range c.index.unsettled {
		c.act(o, c.settle, in, out)
	}
	c.prune()
	changed := c.changed
	c.changed = false
	return changed
}

// observe notes the time and the end of a pause.
func (c *Controller) observe(in Input, now model.Time) {
	if !c.ticked {
		c.ticked = true
		c.started = now
	}
	if c.paused && !in.Paused {
		c.resumed = in.Wall
	}
	c.paused = in.Paused
	c.wall = in.Wall
	c.now = now
}

// prune drops the evidence of moves that are gone or ended long ago.
func (c *Controller) prune() {
	if c.now.Sub(c.pruned) < pruneInterval {
		return
	}
	c.pruned = c.now
	for name := range c.moves {
		if m, ok := c.index.byName[name]; !ok || c.forgotten(m) {
			delete(c.moves, name)
		}
	}
	for name := range c.starting {
		if !c.objects.Pending(moveKey(name)) {
			delete(c.starting, name)
		}
	}
}

func covers(m *model.Move, r model.RouteID) bool {
	for _, id := range m.Routes {
		if id == r {
			return true
		}
	}
	return false
}
