package moves

import (
	"github.com/gooseberrylock/gooseberrylock/model"
)

// holding is the move that decides the traffic of a route.
type holding struct {
	name string
	move *model.Move
}

// index orders the stored moves. It is rebuilt only when one of them has changed.
type index struct {
	count     int
	highest   uint64 // object version; every write raises it
	byName    map[string]*model.Move
	running   []model.Object
	ended     []model.Object
	unsettled []model.Object // ended, and still deciding the traffic of a route
	holder    map[model.Route]holding

	runningRoutes int // routes of all running moves
}

// update takes in the stored moves, sorted by name.
func (x *index) update(list []model.Object) {
	var highest uint64
	for i := range list {
		highest = max(highest, list[i].Version)
	}
	if x.holder != nil && len(list) == x.count && highest == x.highest {
		return
	}
	*x = index{
		count:   len(list),
		highest: highest,
		byName:  make(map[string]*model.Move),
		holder:  make(map[model.Route]holding),
	}
	for _, o := range list {
		if o.Deleted || o.Move == nil {
			continue
		}
		x.add(o)
	}
}

func (x *index) add(o model.Object) {
	x.byName[o.Move.Name] = o.Move
	switch {
	case !o.Move.Phase.Final():
		x.running = append(x.running, o)
		x.runningRoutes += len(o.Move.Routes)
	case o.Move.Settled:
		x.ended = append(x.ended, o)
	default:
		x.ended = append(x.ended, o)
		x.unsettled = append(x.unsettled, o)
	}
	for _, id := range o.Move.Routes {
		route := model.Route{Customer: o.Move.Customer, Route: id}
		if h, ok := x.holder[route]; !ok || precedes(o.Move, h.move) {
			x.holder[route] = holding{o.Move.Name, o.Move}
		}
	}
}

// precedes reports whether a decides the traffic of a route rather than b. A running move
// comes before ended ones. Of two running moves, which only a race of operators can
// leave, the first started wins and the other is taken back. Of two ended ones, the last
// ended wins.
func precedes(a, b *model.Move) bool {
	if a.Phase.Final() != b.Phase.Final() {
		return b.Phase.Final()
	}
	if !a.Phase.Final() {
		return a.Start.Before(b.Start) || (a.Start.Equal(b.Start) && a.Name < b.Name)
	}
	return a.Ended.After(b.Ended) || (a.Ended.Equal(b.Ended) && a.Name < b.Name)
}

// outcome returns the version that an ended move leaves the traffic with.
func outcome(m *model.Move) model.VersionID {
	if m.Phase == model.MoveFinished {
		return m.To
	}
	return m.From
}

// routeConfig returns the template's configuration of a route.
func (c *Controller) routeConfig(customer model.CustomerID, id model.RouteID) (*model.RouteConfig, bool) {
	o, ok := c.objects.Get(model.ObjectKey{Kind: model.ObjectTemplate, Name: string(customer)})
	if !ok || o.Deleted || o.Template == nil {
		return nil, false
	}
	for i := range o.Template.Routes {
		if o.Template.Routes[i].ID == id {
			return &o.Template.Routes[i], true
		}
	}
	return nil, false
}

// directs reports whether an ended move still decides the traffic of a route: until the
// template's stable version is the outcome, and only while the template has that version.
func directs(m *model.Move, r *model.RouteConfig) bool {
	if m.Settled || r.StableVersion == outcome(m) {
		return false
	}
	_, ok := r.Version(outcome(m))
	return ok
}

// settled reports whether an ended move decides the traffic of no route any more.
func (c *Controller) settled(m *model.Move) bool {
	for _, id := range m.Routes {
		r, ok := c.routeConfig(m.Customer, id)
		if !ok || !directs(m, r) {
			continue
		}
		h, ok := c.index.holder[model.Route{Customer: m.Customer, Route: id}]
		if !ok || h.name == m.Name {
			return false
		}
	}
	return true
}

// settle marks an ended move once the template has caught up with it. Without the mark, a
// later template that goes back to the earlier stable version would be overruled.
func (c *Controller) settle(o model.Object) (model.Move, bool) {
	if c.paused || !c.settled(o.Move) {
		return model.Move{}, false
	}
	next := *o.Move
	next.Settled = true
	return next, true
}

// Shares returns the split of every route that a running move covers, and of routes whose
// template does not name the outcome of an ended move yet.
func (c *Controller) Shares() map[model.Route]model.VersionShare {
	c.index.update(c.objects.All(model.ObjectMove))
	shares := make(map[model.Route]model.VersionShare)
	for route, h := range c.index.holder {
		if s, ok := c.split(route, h.move); ok {
			shares[route] = s
		}
	}
	return shares
}

// split returns the split of a route under the move that decides it.
func (c *Controller) split(route model.Route, m *model.Move) (model.VersionShare, bool) {
	s := model.VersionShare{Move: m.Name, From: m.From, To: m.To}
	r, ok := c.routeConfig(route.Customer, route.Route)
	if !ok {
		return s, false
	}
	if m.Phase.Final() {
		if m.Phase == model.MoveFinished {
			s.Share = 1
		}
		return s, directs(m, r)
	}
	if _, ok := r.Version(m.To); ok && !c.withheld(m) {
		s.Share = share(m)
	}
	return s, true
}

// withheld reports whether the new version of a running move receives no traffic.
func (c *Controller) withheld(m *model.Move) bool {
	if m.Withheld {
		return true
	}
	st, ok := c.moves[m.Name]
	if ok && st.withheld {
		return true
	}
	for _, id := range m.Routes {
		if c.index.holder[model.Route{Customer: m.Customer, Route: id}].name != m.Name {
			return true
		}
	}
	return false
}
