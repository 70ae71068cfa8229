package main

import "time"

const (
	configTime   = 3 * time.Second // config_ms
	stableWindow = 4 * time.Second // stable_window_ms
)

// playEra: a machine is added, the store comes back from a copy that is a few seconds old and does not know it, and
// after the store has been calm for longer than stable_window_ms the operator moves a route to another service.
func playEra(e *env) bool {
	for _, zone := range zones {
		e.addSearcher("old-"+zone, "old", zone, 10*time.Millisecond)
		e.addSearcher("new-"+zone, "new", zone, 10*time.Millisecond)
	}
	before := []route{newRoute("app", "/app/", "unsafe", "old")}
	after := []route{newRoute("app", "/app/", "unsafe", "new")}
	e.configure(3, 0, before, "old", "new")
	for i, zone := range []string{"zone-a", "zone-b", "zone-a"} {
		e.addDaemon("front-"+string(rune('1'+i)), zone)
	}
	for _, d := range e.daemons {
		d.waitReady()
	}
	first := append([]*daemon(nil), e.daemons...)
	l := newLoad(e.rec, "r", first, "POST", "/app/file")
	l.body = []byte("a filing")
	l.start(30)
	time.Sleep(5 * time.Second)

	backup := e.store.snapshot()
	e.rec.say("the copy of the store is of revision %d", backup.revision)
	time.Sleep(500 * time.Millisecond)
	e.addDaemon("front-4", "zone-b").waitReady()
	time.Sleep(1500 * time.Millisecond)
	if e.trouble {
		e.rec.say("the store is away, its revision is %d", e.store.revision())
		e.store.down()
		lost := e.store.restore(backup)
		for _, ev := range lost {
			e.rec.say("lost with the store: revision %d, %s/%s", ev.revision, ev.kind, ev.Object.Meta.Name)
			if ev.kind != "entry-vms" {
				fail("a write of the operator or of a searcher was lost; the case expects none")
			}
		}
		time.Sleep(time.Second)
		e.store.up()
		e.rec.say("the store is back, its revision is %d", e.store.revision())
	}
	calls := e.store.callCount()
	time.Sleep(stableWindow + 2*time.Second)
	e.rec.say("calls to the store in these %v: %d", stableWindow+2*time.Second, e.store.callCount()-calls)

	e.configure(7, 0, after, "old", "new")
	acked := time.Now()
	time.Sleep(configTime + 8*time.Second)
	answers := l.stop()

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
	e.rec.say("requests sent later than %v after the acknowledgement: %d answered by a searcher, %d of them by the service of the older version only",
		configTime, due, stale)
	if due == 0 {
		fail("no request was served at the end")
	}
	return stale > 0
}
