package dispatch

import (
	"cmp"
	"slices"
	"strings"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// table finds the route of a request.
type table struct {
	byHost map[string][]*route // longest prefix first
	sets   map[model.ReplicaSet]bool
}

// route is a configured route with the state of its weighted split.
type route struct {
	*model.EntryRoute
	credit []float64 // by the index of Split, for the smooth round-robin
}

func newTable(cfg *model.EntryConfig) *table {
	t := &table{byHost: make(map[string][]*route), sets: make(map[model.ReplicaSet]bool)}
	if cfg == nil {
		return t
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], &route{EntryRoute: r, credit: make([]float64, len(r.Split))})
		for _, set := range r.Shards {
			t.sets[set] = true
		}
		for _, w := range r.Split {
			t.sets[w.Set] = true
		}
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return t
}

func (t *table) uses(set model.ReplicaSet) bool { return t.sets[set] }

// find returns the route with the longest prefix that begins the path, or nil.
func (t *table) find(host, path string) *route {
	for _, r := range t.byHost[strings.ToLower(host)] {
		if r.Matches(host, path) {
			return r
		}
	}
	return nil
}

// choose returns the replica set for the next request of a route that reads one server, by a
// smooth weighted round-robin: every run of requests is close to the weights.
func (r *route) choose() model.ReplicaSet {
	total, best := 0.0, 0
	for i, w := range r.Split {
		r.credit[i] += w.Weight
		total += w.Weight
		if r.credit[i] > r.credit[best] {
			best = i
		}
	}
	r.credit[best] -= total
	return r.Split[best].Set
}
