// Package moves shifts the traffic of a customer's routes to a new version in stages. It
// compares failures and latencies of the new version with those of the old one, and
// finishes each move or rolls it back.
package moves

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// collectTime is part of the time for which a new controller collects evidence from
	// heartbeats before it decides whether a stage has enough of it. The other part is the
	// time in which peers send all their counters once. collectTime allows for the start of
	// membership and for several lost heartbeats.
	collectTime = 3 * time.Second

	// writeInterval is the minimum time between two writes that replace the same stored
	// version of a move, so that a store that is down does not get a write at every tick.
	writeInterval = time.Second

	// endedRetention is the time for which the evidence of an ended move is kept in memory
	// for reports.
	endedRetention = time.Hour

	// pruneInterval is the minimum time between two runs of prune.
	pruneInterval = time.Minute

	logStep = "moves"
)

// Objects is the part of the configuration cache that this package uses.
type Objects interface {
	Get(key model.ObjectKey) (model.Object, bool)
	All(kind model.ObjectKind) []model.Object
	Pending(key model.ObjectKey) bool
	Write(command uint64, obj model.Object, ifVersion uint64, now model.Time, out *effect.List)
}

// Input holds the state of other modules that a tick or an operator command uses.
type Input struct {
	Wall   time.Time
	Paused bool       // automation is paused
	Live   []model.VM // members of the group, sorted
}

// Controller holds the state of all moves on one VM and decides on those that the VM owns.
// It is not safe for concurrent use.
type Controller struct {
	self    model.VM
	boot    model.Boot
	objects Objects

	moves         map[string]*moveState
	pendingStarts map[string]model.Move // moves from Start whose write is pending
	index         index
	rotation      rotation

	ticked        bool
	firstTick     model.Time
	lastTick      model.Time
	prunedAt      model.Time
	wall          time.Time
	paused        bool
	resumedAt     time.Time // end of the last pause that this controller observed
	sharesChanged bool      // the result of Shares has changed since the last tick
}

// New returns a controller that holds no evidence. self and boot identify the source of the
// counters that this VM reports.
func New(self model.VM, boot model.Boot, objects Objects) *Controller {
	return &Controller{
		self:          self,
		boot:          boot,
		objects:       objects,
		moves:         make(map[string]*moveState),
		pendingStarts: make(map[string]model.Move),
	}
}

func moveKey(name string) model.ObjectKey {
	return model.ObjectKey{Kind: model.ObjectMove, Name: name}
}

// storedMove returns the stored object of a move, and false if there is none.
func (c *Controller) storedMove(name string) (model.Object, bool) {
	o, ok := c.objects.Get(moveKey(name))
	return o, ok && !o.Deleted && o.Move != nil
}

// state returns the state of a move and the move as stored at the last tick, or nil if the
// move was not stored then or its evidence has expired. Callers drop evidence of a move that
// is not stored yet. For evidence of peers this loses nothing, since their counters are
// cumulative and the next heartbeat repeats them.
func (c *Controller) state(name string) (*moveState, *model.Move) {
	m, ok := c.index.byName[name]
	if !ok || c.evidenceExpired(m) {
		return nil, nil
	}
	st, ok := c.moves[name]
	if !ok {
		st = newMoveState(name)
		c.moves[name] = st
	}
	return st, m
}

// evidenceExpired reports whether a move ended more than endedRetention ago.
func (c *Controller) evidenceExpired(m *model.Move) bool {
	return m.Phase.Final() && c.wall.Sub(m.Ended) > endedRetention
}

// Outcomes adds the counts from a traffic worker of this VM. It ignores latencies while the
// servers of the new version may be in cold start.
func (c *Controller) Outcomes(ev event.MoveOutcomes, now model.Time, out *effect.List) {
	st, m := c.state(ev.Evidence.Move)
	if st == nil || !coversRoute(m, ev.Evidence.Route) {
		return
	}
	r := st.route(ev.Evidence.Route)
	inc := ev.Evidence
	if c.inColdStart(m, r) {
		inc.Slow = model.PairCounts{}
	}
	r.add(model.Process{VM: c.self, Boot: c.boot}, inc)
}

// Heartbeat merges the evidence in a peer's heartbeat and withholds the new version of each
// move that the peer has withheld.
func (c *Controller) Heartbeat(hb *event.Heartbeat, now model.Time, out *effect.List) {
	for _, ev := range hb.Evidence {
		st, m := c.state(ev.Move)
		if st == nil || !coversRoute(m, ev.Route) {
			continue
		}
		st.route(ev.Route).merge(ev)
		if ev.Withheld && !st.withheld {
			c.withholdForPeer(st, m, ev.VM, out)
		}
	}
}

// Tick tests the evidence of all moves, and advances, finishes or rolls back the moves that
// this VM owns. It reports whether the result of Shares has changed.
func (c *Controller) Tick(in Input, now model.Time, out *effect.List) bool {
	c.recordTick(in, now)
	c.index.update(c.objects.All(model.ObjectMove))
	for _, o := range c.index.running {
		c.evaluate(o.Move, out)
	}
	for _, o := range c.index.ended {
		c.evaluate(o.Move, out)
	}
	for _, o := range c.index.running {
		c.writeDecision(o, c.decide, in, out)
	}
	for _, o := range c.index.unsettled {
		c.writeDecision(o, c.markSettled, in, out)
	}
	c.prune()
	changed := c.sharesChanged
	c.sharesChanged = false
	return changed
}

// recordTick stores the times and the pause state of a tick, and when a pause ended.
func (c *Controller) recordTick(in Input, now model.Time) {
	if !c.ticked {
		c.ticked = true
		c.firstTick = now
	}
	if c.paused && !in.Paused {
		c.resumedAt = in.Wall
	}
	c.paused = in.Paused
	c.wall = in.Wall
	c.lastTick = now
}

// prune deletes the evidence of moves that are no longer stored or whose evidence has
// expired, and pending starts whose write has ended.
func (c *Controller) prune() {
	if c.lastTick.Sub(c.prunedAt) < pruneInterval {
		return
	}
	c.prunedAt = c.lastTick
	for name := range c.moves {
		if m, ok := c.index.byName[name]; !ok || c.evidenceExpired(m) {
			delete(c.moves, name)
		}
	}
	for name := range c.pendingStarts {
		if !c.objects.Pending(moveKey(name)) {
			delete(c.pendingStarts, name)
		}
	}
}

func coversRoute(m *model.Move, r model.RouteID) bool {
	for _, id := range m.Routes {
		if id == r {
			return true
		}
	}
	return false
}
