package query

import (
	"cmp"
	"slices"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// partition is the partition map of one version of a route. Queries keep the one they were
// planned with.
type partition struct {
	epoch  uint64
	keys   []model.ShardKey // sorted by shard
	ranges []*snapshotRange // by the index of keys
	index  map[model.ShardID]int
}

// routeEntry is one route with the partition maps of its versions.
type routeEntry struct {
	template *model.Template
	config   *model.RouteConfig
	versions map[model.VersionID]*partition
}

// catalog caches the routes in use. It holds nothing of routes, versions and shards that the
// view no longer has, which bounds the memory of snapshot ranges.
type catalog struct {
	config *model.ConfigView
	routes map[model.Route]*routeEntry
}

// update drops or rebuilds the routes whose template has changed.
func (c *catalog) update(config *model.ConfigView) {
	if c.config == config {
		return
	}
	c.config = config
	for route, old := range c.routes {
		template := c.template(route.Customer)
		if template == old.template {
			continue
		}
		delete(c.routes, route)
		if template != nil {
			c.build(route, template, old)
		}
	}
}

func (c *catalog) template(customer model.CustomerID) *model.Template {
	if c.config == nil {
		return nil
	}
	return c.config.Templates[customer]
}

// route returns a route of the view, or nil.
func (c *catalog) route(route model.Route) *routeEntry {
	if e, ok := c.routes[route]; ok {
		return e
	}
	template := c.template(route.Customer)
	if template == nil {
		return nil
	}
	return c.build(route, template, nil)
}

// partition returns the current partition map of a version, or nil.
func (c *catalog) partition(route model.Route, version model.VersionID) *partition {
	e := c.route(route)
	if e == nil {
		return nil
	}
	return e.versions[version]
}

// build adds a route and takes over the snapshot ranges of the shard keys that remain.
func (c *catalog) build(route model.Route, template *model.Template, old *routeEntry) *routeEntry {
	i := slices.IndexFunc(template.Routes, func(r model.RouteConfig) bool { return r.ID == route.Route })
	if i < 0 {
		return nil
	}
	e := &routeEntry{
		template: template,
		config:   &template.Routes[i],
		versions: make(map[model.VersionID]*partition),
	}
	for j := range e.config.Versions {
		v := &e.config.Versions[j]
		if _, ok := e.versions[v.ID]; !ok {
			e.versions[v.ID] = newPartition(route, v, old)
		}
	}
	if c.routes == nil {
		c.routes = make(map[model.Route]*routeEntry)
	}
	c.routes[route] = e
	return e
}

func newPartition(route model.Route, v *model.VersionConfig, old *routeEntry) *partition {
	p := &partition{epoch: v.Epoch, index: make(map[model.ShardID]int, len(v.Shards))}
	ids := make([]model.ShardID, 0, len(v.Shards))
	for i := range v.Shards {
		ids = append(ids, v.Shards[i].ID)
	}
	slices.SortFunc(ids, cmp.Compare[model.ShardID])
	for i, id := range slices.Compact(ids) {
		p.keys = append(p.keys, model.ShardKey{Route: route, Version: v.ID, Shard: id})
		p.ranges = append(p.ranges, old.snapshotRange(v.ID, id))
		p.index[id] = i
	}
	return p
}

// snapshotRange returns the range kept for a shard, or a new one.
func (e *routeEntry) snapshotRange(version model.VersionID, shard model.ShardID) *snapshotRange {
	if e != nil {
		if p, ok := e.versions[version]; ok {
			if i, ok := p.index[shard]; ok {
				return p.ranges[i]
			}
		}
	}
	return &snapshotRange{}
}
