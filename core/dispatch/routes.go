package dispatch

import (
	"cmp"
	"slices"
	"strings"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// routeTable finds the route of a request.
type routeTable struct {
	byHost map[string][]*route // sorted by descending length of the path prefix
	// routesOf holds the names of the routes that use a replica set, and mostUrgent the least Priority
	// of these routes.
	routesOf   map[model.ReplicaSet][]string
	mostUrgent map[model.ReplicaSet]int
}

// route is a configured route with the state of its weighted split.
type route struct {
	*model.EntryRoute
	currentWeights []float64 // by index of Split; state of the smooth weighted round-robin
}

func newRouteTable(cfg *model.EntryConfig) *routeTable {
	t := &routeTable{
		byHost:     make(map[string][]*route),
		routesOf:   make(map[model.ReplicaSet][]string),
		mostUrgent: make(map[model.ReplicaSet]int),
	}
	if cfg == nil {
		return t
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], &route{EntryRoute: r, currentWeights: make([]float64, len(r.Split))})
		for _, set := range r.Shards {
			t.addSet(set, r)
		}
		for _, w := range r.Split {
			t.addSet(w.Set, r)
		}
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return t
}

// addSet records that a route uses a replica set.
func (t *routeTable) addSet(set model.ReplicaSet, r *model.EntryRoute) {
	if len(t.routesOf[set]) == 0 {
		t.mostUrgent[set] = r.Priority
	}
	t.routesOf[set] = append(t.routesOf[set], r.Name)
	t.mostUrgent[set] = min(t.mostUrgent[set], r.Priority)
}

func (t *routeTable) usesSet(set model.ReplicaSet) bool { return len(t.routesOf[set]) > 0 }

// find returns the matching route with the longest path prefix, or nil.
func (t *routeTable) find(host, path string) *route {
	for _, r := range t.byHost[strings.ToLower(host)] {
		if r.Matches(host, path) {
			return r
		}
	}
	return nil
}

// chooseSet returns the replica set for the next request of a route that is not gathered, by
// smooth weighted round-robin: even short runs of requests are split close to the weights.
func (r *route) chooseSet() model.ReplicaSet {
	total, best := 0.0, 0
	for i, w := range r.Split {
		r.currentWeights[i] += w.Weight
		total += w.Weight
		if r.currentWeights[i] > r.currentWeights[best] {
			best = i
		}
	}
	r.currentWeights[best] -= total
	return r.Split[best].Set
}
