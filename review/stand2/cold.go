package main

import (
	"fmt"
	"time"
)

// Case 8: the large VMs, which send all gathered queries, are lost; later the index is cut into other shards, whose
// searchers are cold.

const (
	coldShards       = 4
	replicasPerShard = 2
	gatherPath       = "/find/q"
	gatherRate       = 90.0 // requests a second
	gatherDeadlineMS = 2000
	coldPerSecond    = 10
	warmupSeconds    = 10
	coldCrash        = 3 * coldPerSecond     // requests in a second at which a cold searcher crashes: "well above" cold_per_s
	coldBound        = coldPerSecond*1.5 + 5 // cold_per_s x warmup_factor + warmup_slack
	largeCores       = 0.8
	smallCores       = 0.192
	largeVMs         = 2
	smallVMs         = 6
	lossBeforeWork   = 5 * time.Second
	namedAfterStart  = 3 * time.Second // a version names the new shards so long after their searchers have started
)

func shardName(index string, i int) string { return fmt.Sprintf("shard-%s%d", index, i) }

// gatherConfig returns a configuration whose route gathers the shards of an index.
func gatherConfig(version int, index string) map[string]any {
	var shards []string
	var services []map[string]any
	for i := range coldShards {
		shards = append(shards, shardName(index, i))
		services = append(services, map[string]any{
			"name": shardName(index, i), "health_path": "/healthz", "max_conns": searcherConns, "warmup_s": warmupSeconds, "cold_per_s": coldPerSecond,
		})
	}
	config := configOf("", map[string]any{
		"name": "find", "hostname": drainHost, "path_prefix": drainPrefix, "type": "safe", "timeout_ms": gatherDeadlineMS,
		"target_latency_ms": 200, "priority": 1, "gather": shards, "max_attempts": routeAttempts, "top_k": 20, "min_coverage": 0.75,
	})
	config["services"], config["version"] = services, version
	return config
}

func coldOverload(r *record, trouble bool) (bool, error) {
	start := func(s *store, index string, warmup time.Duration) ([]*searcher, error) {
		var started []*searcher
		for i := range coldShards * replicasPerShard {
			shard, replica := i/replicasPerShard, i%replicasPerShard
			server, err := startSearcher(&searcher{
				id: fmt.Sprintf("i-%s%d-%d", index, shard, replica), service: shardName(index, shard), version: "v1", zone: zoneOf(replica),
				slots: searcherSlots, work: searcherWork, records: 20, warmup: warmup, crashRate: coldCrash,
			})
			if err != nil {
				return started, err
			}
			started = append(started, server)
			s.put("servers", server.id, server.entry("ready"))
		}
		return started, nil
	}
	cores := equalCores(largeVMs + smallVMs)
	for i := range cores {
		cores[i] = smallCores
		if i < largeVMs {
			cores[i] = largeCores
		}
	}
	f, err := startFleet(r, cores, gatherConfig(configVersion, "a"), func(s *store) error {
		_, err := start(s, "a", 0)
		return err
	})
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	stop := make(chan struct{})
	c := newCaller(f, drainHost)
	c.start(gatherPath, gatherRate, gatherDeadlineMS, stop)
	time.Sleep(4 * time.Second)
	if trouble {
		for _, v := range f.vms[:largeVMs] {
			c.avoid(v)
			if err := f.kill(v); err != nil {
				return false, err
			}
			r.write("%s, a VM with %.1f cores, is lost for good", v.name, largeCores)
		}
	}
	time.Sleep(lossBeforeWork)
	cold, err := start(f.store, "b", warmupSeconds*time.Second)
	if err != nil {
		return false, err
	}
	r.write("the searchers of the new shards have started, cold for %d s; each takes %d requests a second, the bound is %.0f", warmupSeconds, coldPerSecond, coldBound)
	time.Sleep(namedAfterStart)
	namedAt := f.store.put("config", "main", gatherConfig(configVersion+1, "b"))
	r.write("the store has acknowledged the version that names the new shards")
	time.Sleep(warmupSeconds * time.Second)
	close(stop)
	c.waiting.Wait()
	r.write("answers by status: %v", c.statuses(gatherPath, r.start))
	r.write("of these, since the version that names the new shards: %v", c.statuses(gatherPath, namedAt))
	broken := false
	for _, s := range cold {
		most, at := busiestSecond(s.runsOf(), s.born.Add(s.warmup))
		r.write("%s got %d requests in the second from %.3f while it was cold; crashed: %v", s.id, most, r.at(at), most >= coldCrash)
		broken = broken || float64(most) > coldBound
	}
	return broken, nil
}

// busiestSecond returns the largest number of runs in one second before a time, and the start of that second.
func busiestSecond(runs []run, end time.Time) (int, time.Time) {
	most, at := 0, time.Time{}
	for i := range runs {
		n := 0
		for _, q := range runs[i:] {
			if q.at.Sub(runs[i].at) < time.Second && q.at.Before(end) {
				n++
			}
		}
		if n > most {
			most, at = n, runs[i].at
		}
	}
	return most, at
}
