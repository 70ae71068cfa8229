package moves

import (
	"github.com/gooseberrylock/gooseberrylock/model"
)

// controllingMove is the move that determines how the traffic of a route is split.
type controllingMove struct {
	name string
	move *model.Move
}

// index groups the stored moves by phase and route. It is rebuilt only when one of them has
// changed.
type index struct {
	count          int
	highestVersion uint64 // highest object version; every write of a move increases it
	byName         map[string]*model.Move
	running        []model.Object
	ended          []model.Object
	unsettled      []model.Object // ended, but not marked as settled
	controlling    map[model.Route]controllingMove

	runningRoutes int // number of routes of all running moves
}

// update rebuilds the index if a stored move has changed. list is sorted by name.
func (x *index) update(list []model.Object) {
	var highest uint64
	for i := range list {
		highest = max(highest, list[i].Version)
	}
	if x.controlling != nil && len(list) == x.count && highest == x.highestVersion {
		return
	}
	*x = index{
		count:          len(list),
		highestVersion: highest,
		byName:         make(map[string]*model.Move),
		controlling:    make(map[model.Route]controllingMove),
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
		if cm, ok := x.controlling[route]; !ok || takesPrecedence(o.Move, cm.move) {
			x.controlling[route] = controllingMove{o.Move.Name, o.Move}
		}
	}
}

// takesPrecedence reports whether a controls the traffic of a route rather than b. A running
// move precedes an ended one. Two moves can only run on one route if operators started them
// concurrently: the one that started first controls the route and the other is rolled back.
// Of two ended moves, the one that ended last controls the route.
func takesPrecedence(a, b *model.Move) bool {
	if a.Phase.Final() != b.Phase.Final() {
		return b.Phase.Final()
	}
	if !a.Phase.Final() {
		return a.Start.Before(b.Start) || (a.Start.Equal(b.Start) && a.Name < b.Name)
	}
	return a.Ended.After(b.Ended) || (a.Ended.Equal(b.Ended) && a.Name < b.Name)
}

// resultVersion returns the version that receives the traffic after a move has ended.
func resultVersion(m *model.Move) model.VersionID {
	if m.Phase == model.MoveFinished {
		return m.To
	}
	return m.From
}

// routeConfig returns the configuration of a route from the customer's template.
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

// controlsRoute reports whether an ended move still determines the traffic of a route. It
// does so until the template names the move's result as the stable version, and only while
// the template contains that version.
func controlsRoute(m *model.Move, r *model.RouteConfig) bool {
	if m.Settled || r.StableVersion == resultVersion(m) {
		return false
	}
	_, ok := r.Version(resultVersion(m))
	return ok
}

// isSettled reports whether an ended move no longer determines the traffic of any route.
func (c *Controller) isSettled(m *model.Move) bool {
	for _, id := range m.Routes {
		r, ok := c.routeConfig(m.Customer, id)
		if !ok || !controlsRoute(m, r) {
			continue
		}
		cm, ok := c.index.controlling[model.Route{Customer: m.Customer, Route: id}]
		if !ok || cm.name == m.Name {
			return false
		}
	}
	return true
}

// markSettled returns an ended move with Settled set if no route depends on it any more.
// Without the mark, the move would override a later template that returns to the earlier
// stable version.
func (c *Controller) markSettled(o model.Object) (model.Move, bool) {
	if c.paused || !c.isSettled(o.Move) {
		return model.Move{}, false
	}
	next := *o.Move
	next.Settled = true
	return next, true
}

// Shares returns the traffic split of every route that has a running move, and of every route
// whose template does not yet name the result of an ended move as the stable version.
func (c *Controller) Shares() map[model.Route]model.VersionShare {
	c.index.update(c.objects.All(model.ObjectMove))
	shares := make(map[model.Route]model.VersionShare)
	for route, cm := range c.index.controlling {
		if s, ok := c.split(route, cm.move); ok {
			shares[route] = s
		}
	}
	return shares
}

// split returns the traffic split of a route under its controlling move, and false if the
// template alone determines the traffic.
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
		return s, controlsRoute(m, r)
	}
	if _, ok := r.Version(m.To); ok && !c.withheld(m) {
		s.Share = stageShare(m)
	}
	return s, true
}

// withheld reports whether the new version of a running move receives no traffic: the move
// is marked as withheld in the store or on this VM, or another move controls a route of it.
func (c *Controller) withheld(m *model.Move) bool {
	if m.Withheld {
		return true
	}
	st, ok := c.moves[m.Name]
	if ok && st.withheld {
		return true
	}
	for _, id := range m.Routes {
		if c.index.controlling[model.Route{Customer: m.Customer, Route: id}].name != m.Name {
			return true
		}
	}
	return false
}
