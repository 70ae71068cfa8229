package moves

import (
	"fmt"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// refusal is the reply to a command that is rejected.
type refusal struct {
	code    effect.CommandCode
	message string
	object  *model.Object
}

func invalid(format string, args ...any) *refusal {
	return &refusal{code: effect.CommandInvalid, message: fmt.Sprintf(format, args...)}
}

func conflict(o *model.Object, format string, args ...any) *refusal {
	return &refusal{code: effect.CommandConflict, message: fmt.Sprintf(format, args...), object: o}
}

func (r *refusal) reply(id uint64, out *effect.List) {
	out.Add(effect.ReplyOperator{
		Command: id,
		Result:  effect.CommandResult{Code: r.code, Message: r.message, Object: r.object},
	})
}

// Start runs an operator's StartMove command. It replies at once if the move is invalid or
// conflicts with another one; otherwise the write of the move replies.
func (c *Controller) Start(id uint64, by string, cmd event.StartMove, in Input, now model.Time, out *effect.List) {
	m := newMove(cmd.Move, in.Wall)
	c.index.update(c.objects.All(model.ObjectMove))
	if r := c.checkStart(&m, in.Wall); r != nil {
		r.reply(id, out)
		return
	}
	logMove(out, effect.Info, "move started", &m, "by "+by)
	c.pendingStarts[m.Name] = m
	c.objects.Write(id, model.Object{Key: moveKey(m.Name), Move: &m}, 0, now, out)
}

// newMove returns the initial state of a move that an operator requested.
func newMove(requested model.Move, wall time.Time) model.Move {
	return model.Move{
		Name:         requested.Name,
		Customer:     requested.Customer,
		Routes:       slices.Clone(requested.Routes),
		From:         requested.From,
		To:           requested.To,
		Start:        wall,
		Deadline:     requested.Deadline,
		Phase:        model.MoveRunning,
		StageStarted: wall,
	}
}

// checkStart returns a refusal if a move cannot start, or nil.
func (c *Controller) checkStart(m *model.Move, wall time.Time) *refusal {
	if m.Name == "" {
		return invalid("a move needs a name")
	}
	if m.From == m.To {
		return invalid("old and new version are both %q", m.To)
	}
	if len(m.Routes) == 0 {
		return invalid("a move needs at least one route")
	}
	if length := m.Deadline.Sub(wall); length < MinDuration {
		return invalid("deadline %s is %s away, at least %s is needed for the stages",
			m.Deadline.Format(time.RFC3339), length.Round(time.Second), MinDuration)
	}
	if r := c.checkRoutes(m); r != nil {
		return r
	}
	if o, ok := c.storedMove(m.Name); ok {
		return conflict(&o, "move %q exists, it is %s", m.Name, o.Move.Phase)
	}
	if c.objects.Pending(moveKey(m.Name)) {
		return conflict(nil, "move %q is being written", m.Name)
	}
	return nil
}

func (c *Controller) checkRoutes(m *model.Move) *refusal {
	for i, id := range m.Routes {
		if slices.Contains(m.Routes[:i], id) {
			return invalid("route %q is named twice", id)
		}
	}
	for _, id := range m.Routes {
		if r := c.checkRoute(m, id); r != nil {
			return r
		}
	}
	return nil
}

func (c *Controller) checkRoute(m *model.Move, id model.RouteID) *refusal {
	route := model.Route{Customer: m.Customer, Route: id}
	r, ok := c.routeConfig(m.Customer, id)
	if !ok {
		return invalid("no template has route %q", route)
	}
	for _, v := range []model.VersionID{m.From, m.To} {
		if _, ok := r.Version(v); !ok {
			return invalid("route %q has no version %q", route, v)
		}
	}
	if o, ok := c.runningMove(route); ok {
		return conflict(&o, "move %q is running on route %q", o.Move.Name, route)
	}
	if v := c.receivingVersion(route, r); v != m.From {
		return invalid("version %q receives the traffic of route %q, not %q", v, route, m.From)
	}
	return nil
}

// runningMove returns the running move of a route, or a move whose first write is pending.
func (c *Controller) runningMove(route model.Route) (model.Object, bool) {
	if cm, ok := c.index.controlling[route]; ok && !cm.move.Phase.Final() {
		o, ok := c.storedMove(cm.name)
		return o, ok
	}
	for name, m := range c.pendingStarts {
		if !c.objects.Pending(moveKey(name)) || m.Customer != route.Customer || !coversRoute(&m, route.Route) {
			continue
		}
		return model.Object{Key: moveKey(name), Move: &m}, true
	}
	return model.Object{}, false
}

// receivingVersion returns the version that receives the traffic of a route that has no
// running move.
func (c *Controller) receivingVersion(route model.Route, r *model.RouteConfig) model.VersionID {
	if cm, ok := c.index.controlling[route]; ok && controlsRoute(cm.move, r) {
		return resultVersion(cm.move)
	}
	return r.StableVersion
}

// TakeBack runs an operator's TakeBackMove command, which rolls a running move back. It also
// runs while automation is paused, and on any VM, not only on the owner of the move.
func (c *Controller) TakeBack(id uint64, by string, cmd event.TakeBackMove, in Input, now model.Time, out *effect.List) {
	o, ok := c.storedMove(cmd.Name)
	if r := c.checkTakeBack(cmd.Name, o, ok); r != nil {
		r.reply(id, out)
		return
	}
	c.wall = in.Wall
	c.index.update(c.objects.All(model.ObjectMove))
	next := c.rolledBack(o.Move, fmt.Sprintf("taken back by %s: %s", by, cmd.Reason))
	c.objects.Write(id, model.Object{Key: o.Key, Move: &next}, o.Version, now, out)
}

func (c *Controller) checkTakeBack(name string, o model.Object, ok bool) *refusal {
	if !ok {
		return invalid("there is no move %q", name)
	}
	if o.Move.Phase.Final() {
		return conflict(&o, "move %q is already %s", name, o.Move.Phase)
	}
	if c.objects.Pending(o.Key) {
		return conflict(&o, "move %q is being written", name)
	}
	return nil
}
