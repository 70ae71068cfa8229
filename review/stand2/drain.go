package main

import (
	"fmt"
	"time"
)

// Case 7: the open connections to the store go silent, and a searcher that never reports draining leaves. It
// exits a little later than drain_ms after the store has removed its entry.

const (
	drainHost, drainPath  = "shop.example", "/find/q"
	orderPath             = "/order/q" // of a route whose requests may run once at most
	drainPrefix           = "/find/"
	drainService          = "find"
	drainRounds           = 5
	drainRoundTime        = 9 * time.Second
	drainServers          = 4
	drainRate             = 60.0 // requests a second on each of the two routes
	drainWork             = 100 * time.Millisecond
	drainSlots            = 8
	drainBound            = 3000 * time.Millisecond
	stableWindow          = 4000 * time.Millisecond
	leaveAfterSilence     = 1200 * time.Millisecond
	servesOnAfterLeaving  = drainBound + 500*time.Millisecond
	observeAfterExit      = 2 * time.Second
	settleTime            = 11 * time.Second
	clientDeadlineMS      = 2500
	searcherWork          = 10 * time.Millisecond
	searcherSlots         = 4
	searcherConns         = 96
	configVersion         = 7
	routeTimeoutMS        = 2500
	routeTargetMS         = 250
	routeAttempts         = 2
	idleTimeoutMS         = 30000
	headerTimeoutMS       = 5000
	maxHeaderBytes        = 16384
	maxBodyBytes          = 262144
	requestsBeyondExample = 12 // of the late runs that are written one by one
)

// plainRoute is a route to one service.
func plainRoute(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "hostname": drainHost, "path_prefix": prefix, "type": "safe", "timeout_ms": routeTimeoutMS,
		"target_latency_ms": routeTargetMS, "priority": 1, "service": service, "max_attempts": routeAttempts,
	}
}

func configOf(service string, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": configVersion, "routes": routes,
		"services": []map[string]any{{"name": service, "health_path": "/healthz", "max_conns": searcherConns, "warmup_s": 0, "cold_per_s": 0}},
		"limits": map[string]any{
			"max_header_bytes": maxHeaderBytes, "max_body_bytes": maxBodyBytes, "header_timeout_ms": headerTimeoutMS, "idle_timeout_ms": idleTimeoutMS,
		},
	}
}

func staleDrain(r *record, trouble bool) (bool, error) {
	var servers []*searcher
	add := func(s *store) error {
		n := len(servers)
		server, err := startSearcher(&searcher{
			id: fmt.Sprintf("i-%08x", n+1), service: drainService, version: "v1", zone: zoneOf(n), slots: drainSlots, work: drainWork,
		})
		if err != nil {
			return err
		}
		servers = append(servers, server)
		s.put("servers", server.id, server.entry("ready"))
		return nil
	}
	once := plainRoute("order", "/order/", drainService)
	once["type"] = "unsafe"
	config := configOf(drainService, plainRoute("find", drainPrefix, drainService), once)
	f, err := startFleet(r, equalCores(6), config, func(s *store) error {
		for range drainServers {
			if err := add(s); err != nil {
				return err
			}
		}
		return nil
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
	c.start(drainPath, drainRate, clientDeadlineMS, stop)
	c.start(orderPath, drainRate, clientDeadlineMS, stop)
	time.Sleep(3 * time.Second)
	late := 0
	for round := range drainRounds {
		leaving := servers[round]
		silentAt := time.Now()
		if trouble {
			for _, v := range f.vms {
				v.proxy.silence()
			}
			r.write("round %d: the open connections from all VMs to the store have gone silent", round+1)
		}
		time.Sleep(leaveAfterSilence)
		goneAt := f.store.remove("servers", leaving.id)
		r.write("round %d: the store has acknowledged that %s is gone", round+1, leaving.id)
		time.Sleep(time.Until(goneAt.Add(servesOnAfterLeaving)))
		leaving.stop()
		r.write("round %d: %s has exited", round+1, leaving.id)
		time.Sleep(observeAfterExit)
		late += lateRuns(r, c, leaving, silentAt, goneAt)
		if err := add(f.store); err != nil {
			return false, err
		}
		time.Sleep(time.Until(silentAt.Add(drainRoundTime)))
	}
	close(stop)
	c.waiting.Wait()
	r.write("answers for %s by status: %v", drainPath, c.statuses(drainPath, r.start))
	r.write("answers for %s by status: %v (502: it may have run, nobody may repeat it)", orderPath, c.statuses(orderPath, r.start))
	r.write("requests that reached a searcher too late: %d", late)
	return late > 0, nil
}

// lateRuns counts the requests that a client sent when all VMs were in touch again, and that reached the
// searcher later than drain_ms after the acknowledgement that it is gone.
func lateRuns(r *record, c *caller, leaving *searcher, silentAt, goneAt time.Time) int {
	inTouch := silentAt.Add(stableWindow)
	late, last := 0, time.Time{}
	for _, run := range leaving.runsOf() {
		if run.at.Before(goneAt) {
			continue
		}
		q, ok := c.requestOf(run.request)
		last = run.at
		counts := ok && q.sent.After(inTouch) && run.at.After(goneAt.Add(drainBound))
		if !counts {
			continue
		}
		if late++; late <= requestsBeyondExample {
			r.detail("         request %s, sent %.3f to %s, reached %s at %.3f: %.3f s after the acknowledgement", q.id, r.at(q.sent), q.vm.name,
				leaving.id, r.at(run.at), run.at.Sub(goneAt).Seconds())
		}
	}
	if last.IsZero() {
		last = goneAt
	}
	r.write("last request at %s %.3f s after the acknowledgement; %d too late, from VMs in touch", leaving.id, last.Sub(goneAt).Seconds(), late)
	return late
}
