// Package scenario runs the whole decision core on virtual time under faults, for the
// proofs of the guarantees and for the tables of docs/MEASUREMENTS.md.
package scenario

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/internal/vtime"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Service times of the fake backend servers: lognormal with 1% stragglers.
const (
	median    = 8 * time.Millisecond
	sigma     = 0.5
	slowShare = 0.01
	warmAfter = 50
	// meanService is the mean of such a service time.
	meanService = 9900 * time.Microsecond
)

// warmUp is the time until every shard has an owner and all servers are warm.
const warmUp = 20 * time.Second

// World is a deployment under load.
type World struct {
	*vtime.Cluster
	Deployment vtime.Deployment
	Template   *model.Template
	Stats      Stats
	loadOn     bool
	submits    map[string]bool // payload: refused as not run
	race       []*effect.CommandResult
}

// Stats sum up what callers saw.
type Stats struct {
	Sent        int
	Answers     int
	Complete    int
	Refused     map[model.RefusalCode]int
	Wanted      int
	Covered     int
	Needed      int
	Attempts    int
	Mixed       int // answers with hits of another snapshot or version
	Wrong       int // complete searches that lack a document or have one twice
	Foreign     int // replies to another request
	Unanswered  int // requests whose daemon runs and that got no reply
	ByVersion   map[model.VersionID]int
	LastRefusal *model.Refusal
	latency     *hdrhistogram.Histogram
}

func newStats() Stats {
	return Stats{
		Refused:   make(map[model.RefusalCode]int),
		ByVersion: make(map[model.VersionID]int),
		latency:   hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
}

// Quantile returns a latency quantile, 0 to 100.
func (s *Stats) Quantile(q float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(q)) * time.Microsecond
}

// Coverage returns the share of wanted shards that answered.
func (s *Stats) Coverage() float64 {
	if s.Wanted == 0 {
		return 1
	}
	return float64(s.Covered) / float64(s.Wanted)
}

// ExtraLoad returns attempts beyond the needed ones, per needed one.
func (s *Stats) ExtraLoad() float64 {
	if s.Needed == 0 {
		return 0
	}
	return float64(s.Attempts)/float64(s.Needed) - 1
}

// NewWorld starts a deployment with 8 daemons and applies its template.
func NewWorld(d vtime.Deployment, seed uint64, versions ...model.VersionID) *World {
	if len(versions) == 0 {
		versions = []model.VersionID{"v1"}
	}
	c := vtime.NewCluster(vtime.Config{Seed: seed, Daemons: 8, Zones: d.Zones, LinkDelay: d.LinkDelay})
	w := &World{
		Cluster:    c,
		Deployment: d,
		Template:   d.Template(versions...),
		Stats:      newStats(),
		submits:    make(map[string]bool),
	}
	c.AddServers(w.Template, vtime.ServerConfig{Median: median, Sigma: sigma, SlowShare: slowShare, WarmAfter: warmAfter})
	c.Run(2 * time.Second)
	w.Apply(0, w.Template, 0)
	return w
}

// Apply applies a template through one daemon and returns the result when it arrives.
func (w *World) Apply(daemon int, t *model.Template, ifVersion uint64) *effect.CommandResult {
	return w.Command(daemon, event.ApplyTemplate{Template: *t, IfVersion: ifVersion})
}

// Command runs an operator's command; the result is filled in when it arrives.
func (w *World) Command(daemon int, body event.Command) *effect.CommandResult {
	res := &effect.CommandResult{}
	w.Nodes[daemon].Command(body, func(r effect.CommandResult) { *res = r })
	return res
}

// Warm lets the deployment come up under load and forgets what callers saw so far.
func (w *World) Warm(load float64) {
	w.StartLoad(load)
	w.Run(warmUp)
	w.Reset()
}

// Reset forgets what callers saw so far.
func (w *World) Reset() { w.Stats = newStats() }

// StartLoad sends searches to the searched routes at a share of their capacity.
func (w *World) StartLoad(load float64) {
	w.loadOn = true
	for _, r := range w.Deployment.Routes {
		if r.Replicas < 2 {
			continue
		}
		capacity := float64(r.Replicas*r.Limits.Slots) / meanService.Seconds()
		w.arrivals(r.Route, load*capacity)
	}
}

// StopLoad ends the load; running requests go on.
func (w *World) StopLoad() { w.loadOn = false }

// arrivals sends searches of one route as a Poisson process.
func (w *World) arrivals(route model.RouteID, rate float64) {
	var next func()
	next = func() {
		if !w.loadOn {
			return
		}
		w.Search(route)
		w.Sched.After(time.Duration(w.Sched.Rand.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
}

// pick returns a daemon that the balancer would choose: one that runs and is ready. A frozen
// one still counts as ready.
func (w *World) pick() *vtime.Node {
	live := w.LiveNodes()
	ready := slices.DeleteFunc(slices.Clone(live), func(n *vtime.Node) bool { return !isReady(n) })
	if len(ready) > 0 {
		live = ready
	}
	return live[w.Sched.Rand.IntN(len(live))]
}

// isReady is what a daemon answers to the balancer's readiness check.
func isReady(n *vtime.Node) bool {
	return n.View != nil && len(n.View.Config.Templates) > 0 && !n.View.Leaving
}

// Search sends one search and records its answer.
func (w *World) Search(route model.RouteID) {
	n := w.pick()
	w.Stats.Sent++
	w.Stats.Unanswered++
	stats := &w.Stats
	began := w.Stats.latency
	n.Request(model.Request{
		Route:       model.Route{Customer: w.Deployment.Customer, Route: route},
		Kind:        model.KindSearch,
		MinCoverage: -1,
		Payload:     []byte("query"),
	}, func(r effect.ReplyCaller, took time.Duration) {
		if stats.latency == began {
			stats.record(&r, took)
		}
	})
}

func (s *Stats) record(r *effect.ReplyCaller, took time.Duration) {
	s.Unanswered--
	_ = s.latency.RecordValue(took.Microseconds())
	if r.Refusal != nil {
		s.Refused[r.Refusal.Code]++
		s.LastRefusal = r.Refusal
		if c := r.Refusal.Coverage; c != nil {
			s.Wanted += c.Wanted
			s.Covered += c.Answered
		}
		return
	}
	a := r.Answer
	s.Answers++
	s.ByVersion[a.Version]++
	s.Wanted += a.Coverage.Wanted
	s.Covered += a.Coverage.Answered
	s.Needed += a.Needed
	s.Attempts += a.Attempts
	if a.Coverage.Complete() {
		s.Complete++
	}
	s.verify(a)
}

// verify checks the hits of a search against the fake's documents.
func (s *Stats) verify(a *model.Answer) {
	want := fmt.Sprintf("%s/%d", a.Version, a.Snapshot)
	seen := make(map[string]bool)
	for _, h := range a.Hits {
		if string(h.Body) != want {
			s.Mixed++
			return
		}
		if seen[h.Document] {
			s.Wrong++
			return
		}
		seen[h.Document] = true
	}
	if a.Coverage.Complete() && len(seen) != vtime.DocumentCount {
		s.Wrong++
	}
}

// Submit sends work that must run at most once to the first shard of a route.
func (w *World) Submit(route model.RouteID, payload string) {
	r, _ := w.routeSize(route)
	n := w.pick()
	n.Request(model.Request{
		Route:       model.Route{Customer: w.Deployment.Customer, Route: route},
		Kind:        model.KindSubmit,
		Shard:       model.ShardID(fmt.Sprintf("s%02d-of-%d", w.Sched.Rand.IntN(r.Shards), r.Shards)),
		MinCoverage: -1,
		Key:         payload,
		Payload:     []byte(payload),
	}, func(reply effect.ReplyCaller, _ time.Duration) {
		if reply.Refusal != nil {
			w.Stats.Refused[reply.Refusal.Code]++
			w.submits[payload] = reply.Refusal.Code == model.RefusedNotRun
			return
		}
		w.Stats.Answers++
	})
}

func (w *World) routeSize(route model.RouteID) (vtime.RouteSize, bool) {
	for _, r := range w.Deployment.Routes {
		if r.Route == route {
			return r, true
		}
	}
	return vtime.RouteSize{}, false
}

// SubmitFaults counts submits that ran more than once, and those that ran although the caller
// was told "not run".
func (w *World) SubmitFaults() (doubled, untrue int) {
	runs := make(map[string]int)
	for _, s := range w.Servers {
		for payload, n := range s.SubmitRuns {
			runs[payload] += n
		}
	}
	for payload, n := range runs {
		if n > 1 {
			doubled++
		}
		if n > 0 && w.submits[payload] {
			untrue++
		}
	}
	return doubled, untrue
}

// Overruns counts attempts that came to a server above its slots and above its cold-start
// bound. An attempt that was dispatched before any sign of a restart can have reached its
// owner does not count: nothing tells the owner that the server is cold again.
func (w *World) Overruns() (slots, cold int) {
	for _, s := range w.Servers {
		slots += s.SlotOverruns
		cold += s.ColdOverruns - s.ColdOverrunsBeforeNotice
	}
	return slots, cold
}

// ServersIn returns the servers of a zone that the template in force names, sorted.
func (w *World) ServersIn(zone model.AvailabilityZone) []*vtime.Server {
	var list []*vtime.Server
	for i := range w.Template.Routes {
		for j := range w.Template.Routes[i].Versions {
			for _, shard := range w.Template.Routes[i].Versions[j].Shards {
				for _, b := range shard.Replicas {
					if b.Zone == zone {
						list = append(list, w.Servers[b.ID])
					}
				}
			}
		}
	}
	return list
}

// ServersOf returns the servers of one version of a route.
func (w *World) ServersOf(route model.RouteID, version model.VersionID) []*vtime.Server {
	var list []*vtime.Server
	for i := range w.Template.Routes {
		if w.Template.Routes[i].ID != route {
			continue
		}
		v, ok := w.Template.Routes[i].Version(version)
		if !ok {
			continue
		}
		for _, shard := range v.Shards {
			for _, b := range shard.Replicas {
				list = append(list, w.Servers[b.ID])
			}
		}
	}
	return list
}

// Owned returns the number of shard keys that exactly one live daemon may dispatch for, and
// those that more than one may.
func (w *World) Owned() (one, more int) {
	holders := make(map[model.ShardKey]int)
	for _, n := range w.Nodes {
		if !n.IsRunning() || n.View == nil {
			continue
		}
		for k, l := range n.View.Leases {
			if n.Now() < l.Until {
				holders[k]++
			}
		}
	}
	for _, h := range holders {
		if h > 1 {
			more++
		} else {
			one++
		}
	}
	return one, more
}

// InForce returns the virtual time that passes until check holds on every live daemon, at
// most limit.
func (w *World) InForce(limit time.Duration, check func(*model.View) bool) (time.Duration, bool) {
	const step = 10 * time.Millisecond
	began := w.Sched.Now()
	for w.Sched.Now()-began < limit {
		w.Run(step)
		all := true
		for _, n := range w.LiveNodes() {
			if n.View == nil || !check(n.View) {
				all = false
			}
		}
		if all {
			return w.Sched.Now() - began, true
		}
	}
	return limit, false
}
