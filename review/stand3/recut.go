package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	recutColdPerSecond = 0.5
	recutCrashAbove    = 6               // twelve times recutColdPerSecond
	recutDelay         = 3 * time.Second // from the start of the new shards' searchers to the configuration that names them
)

// startShards starts two searchers for each of n shards, one in each zone.
func (e *env) startShards(prefix string, n int, cold time.Duration) (names []string, searchers []*searcher) {
	for i := range n {
		name := fmt.Sprintf("%s-%02d", prefix, i)
		names = append(names, name)
		for _, zone := range zones {
			s := newSearcher(e.store, e.rec, fmt.Sprintf("i-%08x", rand.Uint32()), name, zone, 10*time.Millisecond)
			s.records = func(string, int) []byte { return make([]byte, 160) }
			s.coldUntil = time.Now().Add(cold)
			s.crashAbove = recutCrashAbove
			s.open(rand.N(heartbeat))
			e.servers = append(e.servers, s)
			searchers = append(searchers, s)
		}
	}
	return names, searchers
}

// playRecut: an index of 20 shards is cut into 30. The searchers of the new shards start, and are cold; some seconds later
// the configuration names them.
func playRecut(e *env) bool {
	oldShards, _ := e.startShards("old", 20, 0)
	gathered := func(shards []string) []route {
		r := newRoute("page", "/page/", "safe", "")
		r.Gather, r.TopK, r.Coverage = shards, 20, 0.75
		return []route{r}
	}
	e.configure(1, recutColdPerSecond, gathered(oldShards), oldShards...)
	for i := range 9 {
		e.addDaemon(fmt.Sprintf("front-%08x", rand.Uint32()), zones[i%2])
	}
	for _, d := range e.daemons {
		d.waitReady()
	}
	l := newLoad(e.rec, "r", e.daemons, "GET", "/page/x")
	l.start(90)
	time.Sleep(5 * time.Second)
	var cold []*searcher
	if e.trouble {
		var newShards []string
		newShards, cold = e.startShards("new", 30, coldTime)
		e.rec.say("the searchers of 30 new shards have started, cold for %v", coldTime)
		time.Sleep(recutDelay)
		e.configure(2, recutColdPerSecond, gathered(newShards), append(newShards, oldShards...)...)
	}
	time.Sleep(coldTime)
	answers := l.stop()

	const bound = recutColdPerSecond*warmupFactor + warmupSlack
	over, crashed, most := 0, 0, make(map[int]int)
	for _, s := range cold {
		s.mu.Lock()
		n, _ := mostInOneSecond(s.coldHits)
		if s.crashed {
			crashed++
		}
		s.mu.Unlock()
		most[n]++
		if float64(n) > bound {
			over++
		}
	}
	e.rec.say("%d of %d cold searchers got more than %.2f requests in one second; searchers by their most: %v", over, len(cold), bound, most)
	e.rec.say("%d searchers crashed; %d requests", crashed, len(answers))
	return over > 0
}
