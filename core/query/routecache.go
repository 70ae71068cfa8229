package query

import (
	"cmp"
	"slices"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// partitionMap is the partition map of one version of a route. It is not changed after it has been
// built, apart from its snapshot ranges. A query keeps the map that its run was planned with.
type partitionMap struct {
	epoch  uint64
	keys   []model.ShardKey      // sorted by shard
	ranges []*snapshotRange      // indexed like keys
	index  map[model.ShardID]int // index in keys
}

// cachedRoute is one route with the partition maps of its versions.
type cachedRoute struct {
	template *model.Template
	config   *model.RouteConfig
	versions map[model.VersionID]*partitionMap
}

// routeCache caches the routes that requests have used, with the snapshot ranges of their shards.
// Routes, versions and shards that are no longer in the view are removed, which bounds the memory
// of the snapshot ranges.
type routeCache struct {
	config *model.ConfigView
	routes map[model.Route]*cachedRoute
}

// update replaces the configuration. It rebuilds the cached routes whose template has changed and
// removes those that no longer exist.
func (c *routeCache) update(config *model.ConfigView) {
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
			c.add(route, template, old)
		}
	}
}

func (c *routeCache) template(customer model.CustomerID) *model.Template {
	if c.config == nil {
		return nil
	}
	return c.config.Templates[customer]
}

// route returns a route of the configuration, or nil if it does not exist.
func (c *routeCache) route(route model.Route) *cachedRoute {
	if e, ok := c.routes[route]; ok {
		return e
	}
	template := c.template(route.Customer)
	if template == nil {
		return nil
	}
	return c.add(route, template, nil)
}

// partition returns the current partition map of a version, or nil if it does not exist.
func (c *routeCache) partition(route model.Route, version model.VersionID) *partitionMap {
	e := c.route(route)
	if e == nil {
		return nil
	}
	return e.versions[version]
}

// add builds a route from a template and caches it. Shard keys that the old entry also has keep
// their snapshot ranges. It returns nil if the template does not have the route.
func (c *routeCache) add(route model.Route, template *model.Template, old *cachedRoute) *cachedRoute {
	i := slices.IndexFunc(template.Routes, func(r model.RouteConfig) bool { return r.ID == route.Route })
	if i < 0 {
		return nil
	}
	e := &cachedRoute{
		template: template,
		config:   &template.Routes[i],
		versions: make(map[model.VersionID]*partitionMap),
	}
	for j := range e.config.Versions {
		v := &e.config.Versions[j]
		if _, ok := e.versions[v.ID]; !ok {
			e.versions[v.ID] = newPartitionMap(route, v, old)
		}
	}
	if c.routes == nil {
		c.routes = make(map[model.Route]*cachedRoute)
	}
	c.routes[route] = e
	return e
}

func newPartitionMap(route model.Route, v *model.VersionConfig, old *cachedRoute) *partitionMap {
	p := &partitionMap{epoch: v.Epoch, index: make(map[model.ShardID]int, len(v.Shards))}
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

// snapshotRange returns the snapshot range that e has for a shard, or an empty one. e may be nil.
func (e *cachedRoute) snapshotRange(version model.VersionID, shard model.ShardID) *snapshotRange {
	if e != nil {
		if p, ok := e.versions[version]; ok {
			if i, ok := p.index[shard]; ok {
				return p.ranges[i]
			}
		}
	}
	return &snapshotRange{}
}
