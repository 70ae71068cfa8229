package main

import "time"

const (
	configTime   = 3 * time.Second // config_ms
	drainTime    = 3 * time.Second // drain_ms
	stableWindow = 4 * time.Second // stable_window_ms
)

// playEra: two machines are added, the store comes back from a copy that is a few seconds old and does not know them, and
// after the store has been calm for longer than stable_window_ms the operator moves a route to another service, and a
// searcher reports that it leaves.
func playEra(e *env) bool {
	for _, zone := range zones {
		e.addSearcher("old-"+zone, "old", zone, 10*time.Millisecond)
		e.addSearcher("new-"+zone, "new", zone, 10*time.Millisecond)
	}
	leaving := e.addSearcher("leaving", "other", "zone-a", 100*time.Millisecond)
	e.addSearcher("staying", "other", "zone-b", 100*time.Millisecond)
	routes := func(service string) []route {
		return []route{newRoute("app", "/app/", "unsafe", service), newRoute("other", "/other/", "unsafe", "other")}
	}
	services := []string{"old", "new", "other"}
	e.configure(3, 0, routes("old"), services...)
	for i, zone := range []string{"zone-a", "zone-b", "zone-a"} {
		e.addDaemon("front-"+string(rune('1'+i)), zone)
	}
	for _, d := range e.daemons {
		d.waitReady()
	}
	first := append([]*daemon(nil), e.daemons...)
	app, other := newLoad(e.rec, "app", first, "POST", "/app/file"), newLoad(e.rec, "other", first, "POST", "/other/file")
	for _, l := range []*load{app, other} {
		l.body = []byte("a filing")
		l.start(30)
	}
	time.Sleep(5 * time.Second)

	backup := e.store.snapshot()
	e.rec.say("the copy of the store is of revision %d", backup.revision)
	time.Sleep(500 * time.Millisecond)
	e.addDaemon("front-4", "zone-b").waitReady()
	e.addDaemon("front-5", "zone-a").waitReady()
	time.Sleep(1500 * time.Millisecond)
	if e.trouble {
		e.drill(backup)
	}
	calls := e.store.callCount()
	time.Sleep(stableWindow + 2*time.Second)
	e.rec.say("calls to the store in these %v: %d", stableWindow+2*time.Second, e.store.callCount()-calls)

	e.configure(7, 0, routes("new"), services...)
	acked := time.Now()
	leaving.drain()
	drained := time.Now()
	time.Sleep(drainTime + 500*time.Millisecond)
	leaving.close()
	e.rec.say("the searcher that leaves has ended")
	time.Sleep(configTime + 4*time.Second)
	config, drain := judgeConfig(e, app.stop(), acked), judgeDrain(e, leaving, other.stop(), drained)
	return config || drain
}

// drill takes the store away for a second and lets it come back from a copy. The copy must lack nothing that the operator
// or a searcher has written.
func (e *env) drill(backup contents) {
	e.rec.say("the store is away, its revision is %d", e.store.revision())
	e.store.down()
	for _, ev := range e.store.restore(backup) {
		e.rec.say("lost with the store: revision %d, %s/%s", ev.revision, ev.kind, ev.Object.Meta.Name)
		if ev.kind != "entry-vms" {
			fail("a write of the operator or of a searcher was lost; the case expects none")
		}
	}
	time.Sleep(time.Second)
	e.store.up()
	e.rec.say("the store is back, its revision is %d", e.store.revision())
}

// judgeConfig reports whether requests were handled as only the older version allows, later than configTime after the
// acknowledgement of the newer one.
func judgeConfig(e *env, answers []answered, acked time.Time) bool {
	due, stale := 0, 0
	for _, a := range answers {
		if a.sent.Sub(acked) <= configTime || a.service == "" {
			continue
		}
		due++
		if a.service == "old" {
			stale++
		}
	}
	e.rec.say("CONFIG: requests sent later than %v after the acknowledgement: %d answered by a searcher, %d of them by the service of the older version only",
		configTime, due, stale)
	if due == 0 {
		fail("no request was served at the end")
	}
	return stale > 0
}

// judgeDrain reports whether requests reached the searcher that leaves later than drainTime after the acknowledgement.
func judgeDrain(e *env, leaving *searcher, answers []answered, acked time.Time) bool {
	late, lost := 0, 0
	for _, r := range leaving.allRuns() {
		if r.at.Sub(acked) > drainTime {
			late++
		}
		if !r.done {
			lost++
		}
	}
	e.rec.say("DRAIN: %d requests reached the searcher later than %v after its leaving was acknowledged; %d were cut off by its end (%d requests to its service)",
		late, drainTime, lost, len(answers))
	return late > 0
}
