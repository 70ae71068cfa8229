package main

import "time"

const (
	coldTime      = 8 * time.Second // warmup_s
	coldPerSecond = 4.0
	warmupFactor  = 1.5
	warmupSlack   = 5
	evacuated     = 5 * time.Second
)

// playCold: a zone is evacuated and taken back. Its searchers have become cold shortly before it is taken back.
// Without the trouble they have become cold two heartbeats before, so that their entries say so in time.
func playCold(e *env) bool {
	back, l := e.startFiling()
	e.store.put("evacuations", "zone-b", struct{}{})
	e.rec.say("operator: zone-b is evacuated")
	time.Sleep(evacuated)
	early := 2 * heartbeat
	if e.trouble {
		early = 100 * time.Millisecond
	}
	for _, s := range back {
		s.makeCold(coldTime)
	}
	time.Sleep(early)
	e.store.remove("evacuations", "zone-b")
	e.rec.say("operator: zone-b is taken back, %v after its searchers have become cold", early)
	time.Sleep(coldTime)
	return e.judgeCold(back, l.stop())
}

// coldBound is the number of requests that a cold searcher may get in one second.
const coldBound = coldPerSecond*warmupFactor + warmupSlack

// judgeCold tells how many requests the searchers got while they were cold, and whether one got too many.
func (e *env) judgeCold(searchers []*searcher, answers []answered) bool {
	broken := false
	for _, s := range searchers {
		s.mu.Lock()
		most, from := mostInOneSecond(s.coldHits)
		crashed := s.crashed
		s.mu.Unlock()
		at := 0.0
		if most > 0 {
			at = from.Sub(e.rec.start).Seconds()
		}
		e.rec.say("%s got %d requests in one second while cold (from %.3f s on), the bound is %.0f; crashed: %v", s.id, most, at, coldBound, crashed)
		broken = broken || float64(most) > coldBound
	}
	failed := 0
	for _, a := range answers {
		if a.status/100 != 2 {
			failed++
		}
	}
	e.rec.say("%d requests, %d of them without success", len(answers), failed)
	return broken
}

// startFiling starts three daemons and a service with two searchers in each zone, with requests that must not be
// repeated. It returns the searchers of zone b.
func (e *env) startFiling() ([]*searcher, *load) {
	var zoneB []*searcher
	for _, id := range []string{"1", "2"} {
		e.addSearcher("a"+id, "filing", "zone-a", 16*time.Millisecond)
		s := e.addSearcher("b"+id, "filing", "zone-b", 16*time.Millisecond)
		s.crashAbove = 4 * coldPerSecond
		zoneB = append(zoneB, s)
	}
	e.configure(1, coldPerSecond, []route{newRoute("file", "/file/", "unsafe", "filing")}, "filing")
	for i, zone := range []string{"zone-a", "zone-b", "zone-a"} {
		e.addDaemon("front-"+string(rune('1'+i)), zone)
	}
	for _, d := range e.daemons {
		d.waitReady()
	}
	l := newLoad(e.rec, "r", e.daemons, "POST", "/file/new")
	l.body = []byte("a filing")
	l.start(300)
	time.Sleep(5 * time.Second)
	return zoneB, l
}
