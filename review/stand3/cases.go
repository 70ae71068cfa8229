package main

import (
	"time"
)

var zones = []string{"zone-a", "zone-b"}

// route is a route of the configuration.
type route struct {
	Name     string  `json:"name"`
	Hostname string  `json:"hostname"`
	Prefix   string  `json:"path_prefix"`
	Type     string  `json:"type"`
	Timeout  float64 `json:"timeout_ms"`
	Target   float64 `json:"target_latency_ms"`
	Priority int     `json:"priority"`
	Attempts int     `json:"max_attempts"`
	Service  string  `json:"service,omitempty"`
	// Gather, TopK and Coverage are set on a route that is gathered.
	Gather   []string `json:"gather,omitempty"`
	TopK     int      `json:"top_k,omitempty"`
	Coverage float64  `json:"min_coverage,omitempty"`
}

func newRoute(name, prefix, kind, service string) route {
	return route{Name: name, Hostname: "app.example", Prefix: prefix, Type: kind, Timeout: 2000, Target: 300, Priority: 1, Attempts: 2, Service: service}
}

// configure writes the configuration, as the operator does.
func (e *env) configure(version int, coldPerSecond float64, routes []route, services ...string) {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{
			"name": name, "health_path": "/healthz", "max_conns": 30, "protocol": "h1", "tls": false, "warmup_s": coldTime.Seconds(),
			"cold_per_s": coldPerSecond,
		})
	}
	revision := e.store.put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	e.rec.say("operator: version %d of the configuration is acknowledged, revision %d", version, revision)
}

// addSearcher starts a searcher.
func (e *env) addSearcher(id, service, zone string, work time.Duration) *searcher {
	phase := heartbeat * time.Duration(len(e.servers)+1) / 4
	s := newSearcher(e.store, e.rec, id, service, zone, work).open(phase)
	e.servers = append(e.servers, s)
	return s
}

// addDaemon starts a daemon.
func (e *env) addDaemon(name, zone string) *daemon {
	d := newDaemon(e.rec, e.dir, name, zone, zones, e.store)
	e.daemons = append(e.daemons, d)
	d.start()
	return d
}
