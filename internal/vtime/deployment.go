package vtime

import (
	"fmt"
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// Deployment holds the sizes of one customer's routes.
type Deployment struct {
	Customer  model.CustomerID
	Zones     []model.AvailabilityZone
	LinkDelay time.Duration // one-way delay between zones
	Routes    []RouteSize
}

// RouteSize holds the sizes of one route.
type RouteSize struct {
	Route          model.RouteID
	Shards         int
	Replicas       int
	Limits         model.Limits
	Timeout        time.Duration
	AttemptTimeout time.Duration
}

// Haugland returns the deployment of customer haugland in vestland.
func Haugland() Deployment {
	search := model.Limits{Slots: 3, Connections: 30, ConnectCost: 6 * time.Millisecond, ColdSlots: 1, WarmAfter: 50}
	single := model.Limits{Slots: 2, Connections: 100, ConnectCost: time.Millisecond, ColdSlots: 1, WarmAfter: 50}
	return Deployment{
		Customer:  "haugland",
		Zones:     []model.AvailabilityZone{"vestland-a", "vestland-b", "vestland-c", "vestland-d"},
		LinkDelay: 250 * time.Microsecond,
		Routes: []RouteSize{
			{"portal-search", 20, 2, search, time.Second, 500 * time.Millisecond},
			{"print-proof", 30, 2, search, time.Second, 500 * time.Millisecond},
			{"archive-export", 24, 1, single, 5 * time.Second, 2 * time.Second},
			{"agency-sync", 12, 1, single, 5 * time.Second, 2 * time.Second},
		},
	}
}

// Taproom returns the deployment of customer taproom in Dublin.
func Taproom() Deployment {
	search := model.Limits{Slots: 2, Connections: 25, ConnectCost: 6 * time.Millisecond, ColdSlots: 1, WarmAfter: 50}
	single := model.Limits{Slots: 4, Connections: 45, ConnectCost: time.Millisecond, ColdSlots: 1, WarmAfter: 50}
	return Deployment{
		Customer:  "taproom",
		Zones:     []model.AvailabilityZone{"dublin-a", "dublin-b", "dublin-c", "dublin-d"},
		LinkDelay: 750 * time.Microsecond,
		Routes: []RouteSize{
			{"court-prep", 20, 2, search, time.Second, 500 * time.Millisecond},
			{"client-portal", 30, 2, search, time.Second, 500 * time.Millisecond},
			{"case-desk", 4, 1, single, 5 * time.Second, 2 * time.Second},
			{"billing", 4, 1, single, 5 * time.Second, 2 * time.Second},
		},
	}
}

// Template builds the template of a deployment with the given versions on every route.
// Replicas of a shard are in different zones.
func (d *Deployment) Template(versions ...model.VersionID) *model.Template {
	t := &model.Template{
		Customer:     d.Customer,
		AllowedZones: d.Zones,
		Text:         fmt.Sprintf("%s %v", d.Customer, versions),
	}
	for _, r := range d.Routes {
		route := model.RouteConfig{
			ID: r.Route, Timeout: r.Timeout, AttemptTimeout: r.AttemptTimeout, CoverageFloor: 0.5,
			Classes: []string{"high", "normal", "low"}, DefaultClass: "normal",
			StableVersion: versions[0], HedgePercentile: 0.95, HedgeBudget: 0.03,
		}
		for _, v := range versions {
			route.Versions = append(route.Versions, d.version(r, v))
		}
		t.Routes = append(t.Routes, route)
	}
	return t
}

func (d *Deployment) version(r RouteSize, v model.VersionID) model.VersionConfig {
	vc := model.VersionConfig{ID: v, Epoch: 1, Limits: r.Limits}
	for s := range r.Shards {
		shard := model.ShardConfig{ID: model.ShardID(fmt.Sprintf("s%02d-of-%d", s, r.Shards))}
		for i := range r.Replicas {
			id := fmt.Sprintf("%s-%s-%s-%02d-%d", d.Customer, r.Route, v, s, i)
			shard.Replicas = append(shard.Replicas, model.BackendServer{
				ID:      model.BackendServerID(id),
				Zone:    d.Zones[(s+i)%len(d.Zones)],
				Address: id,
			})
		}
		vc.Shards = append(vc.Shards, shard)
	}
	return vc
}

// AddServers creates a simulated server for every backend server of a template that has none yet.
func (c *Cluster) AddServers(t *model.Template, cfg ServerConfig) {
	for i := range t.Routes {
		for j := range t.Routes[i].Versions {
			v := &t.Routes[i].Versions[j]
			cfg.Slots = v.Limits.Slots
			cfg.ColdSlots = v.Limits.ColdSlots
			for k := range v.Shards {
				for _, b := range v.Shards[k].Replicas {
					if c.Servers[b.ID] == nil {
						c.Servers[b.ID] = newServer(c.Sched, b.ID, cfg)
					}
				}
			}
		}
	}
}
