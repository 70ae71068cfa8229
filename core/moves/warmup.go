package moves

import "github.com/gooseberrylock/gooseberrylock/model"

// inColdStart reports whether the servers of the new version of a route may still be in cold
// start, in which any version is slower. Each query runs one attempt per shard, so after
// WarmAfter queries per replica, the replicas of a shard have completed WarmAfter attempts
// each. Until then, failures count as evidence and latencies do not. The VM that measured
// the latencies leaves them out, since a VM that merges cumulative counters later cannot
// separate the early ones.
func (c *Controller) inColdStart(m *model.Move, r *routeEvidence) bool {
	cfg, ok := c.routeConfig(m.Customer, r.route)
	if !ok {
		return false
	}
	v, ok := cfg.Version(m.To)
	if !ok {
		return false
	}
	return r.total.New < warmupQueries(v)
}

// warmupQueries returns the number of queries to a version after which all of its servers
// have left their cold start. The shard with the most replicas determines it.
func warmupQueries(v *model.VersionConfig) uint64 {
	replicas := 0
	for i := range v.Shards {
		replicas = max(replicas, len(v.Shards[i].Replicas))
	}
	return uint64(max(v.Limits.WarmAfter, 0)) * uint64(replicas)
}
