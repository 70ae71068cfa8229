package moves

import "github.com/gooseberrylock/gooseberrylock/model"

// warming reports whether the servers of the new version of a route can still be in cold
// start, in which they are slower than those of the old version whatever the version. Each
// query runs one attempt per shard, so that the replicas of a shard have completed
// WarmAfter attempts each after WarmAfter queries per replica. Latencies do not count until
// then; failures do. The daemon that saw the pairs leaves them out, since one that merges
// the counters of its peers later cannot tell which of them are early ones.
func (c *Controller) warming(m *model.Move, r *routeEvidence) bool {
	cfg, ok := c.routeConfig(m.Customer, r.route)
	if !ok {
		return false
	}
	v, ok := cfg.Version(m.To)
	if !ok {
		return false
	}
	return r.total.New < warmQueries(v)
}

// warmQueries returns the number of queries after which the servers of a version are warm.
func warmQueries(v *model.VersionConfig) uint64 {
	replicas := 0
	for i := range v.Shards {
		replicas = max(replicas, len(v.Shards[i].Replicas))
	}
	return uint64(max(v.Limits.WarmAfter, 0)) * uint64(replicas)
}
