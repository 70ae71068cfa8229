// Package scenario runs the whole decision core in virtual time under faults. Its tests check the
// guarantees of the project and print the tables of docs/MEASUREMENTS.md.
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

// The service times of the simulated backend servers are lognormal, with 1% stragglers.
const (
	median    = 8 * time.Millisecond
	sigma     = 0.5
	slowShare = 0.01
	warmAfter = 50
	// meanService is the mean service time of a warm server, stragglers included.
	meanService = 9900 * time.Microsecond
)

// warmUp is how long a deployment runs until every shard has an owner and all servers are warm.
const warmUp = 20 * time.Second

// Simulation is a simulated deployment under load.
type Simulation struct {
	*vtime.Cluster
	Deployment    vtime.Deployment
	Template      *model.Template
	Stats         Stats
	loadRunning   bool
	refusedNotRun map[string]bool // by payload, whether the submit was refused as not run
	raceResults   []*effect.CommandResult
}

// Stats holds counts and latencies as seen by callers.
type Stats struct {
	Sent             int
	Answers          int
	Complete         int
	Refused          map[model.RefusalCode]int
	WantedShards     int
	AnsweredShards   int
	NeededAttempts   int
	Attempts         int
	MixedAnswers     int // answers with hits of another snapshot or version than stated
	WrongAnswers     int // answers that have a document twice, and complete answers that lack one
	MisroutedReplies int // replies that belong to another request
	Unanswered       int // requests without a reply so far
	ByVersion        map[model.VersionID]int
	LastRefusal      *model.Refusal
	latency          *hdrhistogram.Histogram
}

func newStats() Stats {
	return Stats{
		Refused:   make(map[model.RefusalCode]int),
		ByVersion: make(map[model.VersionID]int),
		latency:   hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
}

// Quantile returns the latency at percentile q, which is between 0 and 100.
func (s *Stats) Quantile(q float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(q)) * time.Microsecond
}

// Coverage returns the share of the wanted shards that answered, 0 to 1, or 1 if none was wanted.
func (s *Stats) Coverage() float64 {
	if s.WantedShards == 0 {
		return 1
	}
	return float64(s.AnsweredShards) / float64(s.WantedShards)
}

// ExtraLoad returns the number of attempts beyond the needed ones, divided by the needed ones.
func (s *Stats) ExtraLoad() float64 {
	if s.NeededAttempts == 0 {
		return 0
	}
	return float64(s.Attempts)/float64(s.NeededAttempts) - 1
}

// NewWorld starts a deployment with 8 daemons and applies its template.
func NewWorld(d vtime.Deployment, seed uint64, versions ...model.VersionID) *Simulation {
	if len(versions) == 0 {
		versions = []model.VersionID{"v1"}
	}
	c := vtime.NewCluster(vtime.Config{Seed: seed, Daemons: 8, Zones: d.Zones, LinkDelay: d.LinkDelay})
	sim := &Simulation{
		Cluster:       c,
		Deployment:    d,
		Template:      d.Template(versions...),
		Stats:         newStats(),
		refusedNotRun: make(map[string]bool),
	}
	c.AddServers(sim.Template, vtime.ServerConfig{Median: median, Sigma: sigma, SlowShare: slowShare, WarmAfter: warmAfter})
	c.Run(2 * time.Second)
	sim.Apply(0, sim.Template, 0)
	return sim
}

// Apply applies a template through one daemon. The result is filled in when it arrives.
func (sim *Simulation) Apply(daemon int, t *model.Template, ifVersion uint64) *effect.CommandResult {
	return sim.Command(daemon, event.ApplyTemplate{Template: *t, IfVersion: ifVersion})
}

// Command sends an operator's command to one daemon. The result is filled in when it arrives.
func (sim *Simulation) Command(daemon int, body event.Command) *effect.CommandResult {
	res := &effect.CommandResult{}
	sim.Nodes[daemon].Command(body, func(r effect.CommandResult) { *res = r })
	return res
}

// Warm runs the deployment under load for the warm-up time and then clears the statistics.
func (sim *Simulation) Warm(load float64) {
	sim.StartLoad(load)
	sim.Run(warmUp)
	sim.ResetStats()
}

// ResetStats clears the statistics. Requests that are still running are not counted.
func (sim *Simulation) ResetStats() { sim.Stats = newStats() }

// StartLoad sends searches to every route with several replicas, at a share of its capacity, 0 to 1.
func (sim *Simulation) StartLoad(load float64) {
	sim.loadRunning = true
	for _, r := range sim.Deployment.Routes {
		if r.Replicas < 2 {
			continue
		}
		capacity := float64(r.Replicas*r.Limits.Slots) / meanService.Seconds()
		sim.startArrivals(r.Route, load*capacity)
	}
}

// StopLoad stops sending requests. Requests that are still running continue.
func (sim *Simulation) StopLoad() { sim.loadRunning = false }

// startArrivals sends searches to one route as a Poisson process with a rate per second.
func (sim *Simulation) startArrivals(route model.RouteID, rate float64) {
	var next func()
	next = func() {
		if !sim.loadRunning {
			return
		}
		sim.Search(route)
		sim.Sched.After(time.Duration(sim.Sched.Rand.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
}

// pickNode returns a random ready daemon, as the load balancer would, or any live daemon if none is
// ready. A frozen daemon still counts as ready.
func (sim *Simulation) pickNode() *vtime.Node {
	live := sim.LiveNodes()
	ready := slices.DeleteFunc(slices.Clone(live), func(n *vtime.Node) bool { return !isReady(n) })
	if len(ready) > 0 {
		live = ready
	}
	return live[sim.Sched.Rand.IntN(len(live))]
}

// isReady returns a daemon's answer to the readiness check of the load balancer.
func isReady(n *vtime.Node) bool {
	return n.View != nil && len(n.View.Config.Templates) > 0 && !n.View.Leaving
}

// Search sends one search and records its answer.
func (sim *Simulation) Search(route model.RouteID) {
	n := sim.pickNode()
	sim.Stats.Sent++
	sim.Stats.Unanswered++
	stats := &sim.Stats
	latency := sim.Stats.latency // ResetStats replaces it
	n.Request(model.Request{
		Route:       model.Route{Customer: sim.Deployment.Customer, Route: route},
		Kind:        model.KindSearch,
		MinCoverage: -1,
		Payload:     []byte("query"),
	}, func(r effect.ReplyCaller, took time.Duration) {
		if stats.latency == latency {
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
			s.WantedShards += c.Wanted
			s.AnsweredShards += c.Answered
		}
		return
	}
	a := r.Answer
	s.Answers++
	s.ByVersion[a.Version]++
	s.WantedShards += a.Coverage.Wanted
	s.AnsweredShards += a.Coverage.Answered
	s.NeededAttempts += a.Needed
	s.Attempts += a.Attempts
	if a.Coverage.Complete() {
		s.Complete++
	}
	s.checkHits(a)
}

// checkHits checks the hits of a search against the documents of the simulated servers.
func (s *Stats) checkHits(a *model.Answer) {
	want := fmt.Sprintf("%s/%d", a.Version, a.Snapshot)
	seen := make(map[string]bool)
	for _, h := range a.Hits {
		if string(h.Body) != want {
			s.MixedAnswers++
			return
		}
		if seen[h.Document] {
			s.WrongAnswers++
			return
		}
		seen[h.Document] = true
	}
	if a.Coverage.Complete() && len(seen) != vtime.DocumentCount {
		s.WrongAnswers++
	}
}

// Submit sends work that must run at most once to a random shard of a route.
func (sim *Simulation) Submit(route model.RouteID, payload string) {
	r, _ := sim.routeSize(route)
	n := sim.pickNode()
	n.Request(model.Request{
		Route:       model.Route{Customer: sim.Deployment.Customer, Route: route},
		Kind:        model.KindSubmit,
		Shard:       model.ShardID(fmt.Sprintf("s%02d-of-%d", sim.Sched.Rand.IntN(r.Shards), r.Shards)),
		MinCoverage: -1,
		Key:         payload,
		Payload:     []byte(payload),
	}, func(reply effect.ReplyCaller, _ time.Duration) {
		if reply.Refusal != nil {
			sim.Stats.Refused[reply.Refusal.Code]++
			sim.refusedNotRun[payload] = reply.Refusal.Code == model.RefusedNotRun
			return
		}
		sim.Stats.Answers++
	})
}

func (sim *Simulation) routeSize(route model.RouteID) (vtime.RouteSize, bool) {
	for _, r := range sim.Deployment.Routes {
		if r.Route == route {
			return r, true
		}
	}
	return vtime.RouteSize{}, false
}

// SubmitViolations returns the number of submits that ran more than once, and the number that ran
// although the caller was told "not run".
func (sim *Simulation) SubmitViolations() (duplicates, falseNotRun int) {
	runs := make(map[string]int)
	for _, s := range sim.Servers {
		for payload, n := range s.SubmitRuns {
			runs[payload] += n
		}
	}
	for payload, n := range runs {
		if n > 1 {
			duplicates++
		}
		if n > 0 && sim.refusedNotRun[payload] {
			falseNotRun++
		}
	}
	return duplicates, falseNotRun
}

// Overruns returns the number of attempts that exceeded the slots of a server, and the number that
// exceeded its cold-start bound. An attempt that was dispatched before any result could show the
// owner that the server had restarted does not count, because the owner could not know that the
// server was cold again.
func (sim *Simulation) Overruns() (slots, cold int) {
	for _, s := range sim.Servers {
		slots += s.SlotOverruns
		cold += s.ColdOverruns - s.ColdOverrunsBeforeNotice
	}
	return slots, cold
}

// ServersIn returns the servers of a zone in the order of the current template.
func (sim *Simulation) ServersIn(zone model.AvailabilityZone) []*vtime.Server {
	var list []*vtime.Server
	for i := range sim.Template.Routes {
		for j := range sim.Template.Routes[i].Versions {
			for _, shard := range sim.Template.Routes[i].Versions[j].Shards {
				for _, b := range shard.Replicas {
					if b.Zone == zone {
						list = append(list, sim.Servers[b.ID])
					}
				}
			}
		}
	}
	return list
}

// ServersOf returns the servers of one version of a route in the order of the current template.
func (sim *Simulation) ServersOf(route model.RouteID, version model.VersionID) []*vtime.Server {
	var list []*vtime.Server
	for i := range sim.Template.Routes {
		if sim.Template.Routes[i].ID != route {
			continue
		}
		v, ok := sim.Template.Routes[i].Version(version)
		if !ok {
			continue
		}
		for _, shard := range v.Shards {
			for _, b := range shard.Replicas {
				list = append(list, sim.Servers[b.ID])
			}
		}
	}
	return list
}

// OwnerCounts returns the number of shard keys for which exactly one running daemon has a valid
// lease, and the number for which more than one has.
func (sim *Simulation) OwnerCounts() (one, several int) {
	owners := make(map[model.ShardKey]int)
	for _, n := range sim.Nodes {
		if !n.IsRunning() || n.View == nil {
			continue
		}
		for k, l := range n.View.Leases {
			if n.Now() < l.Until {
				owners[k]++
			}
		}
	}
	for _, h := range owners {
		if h > 1 {
			several++
		} else {
			one++
		}
	}
	return one, several
}

// WaitForViews runs until check is true for the view of every live daemon. It returns the virtual
// time that this took, or limit and false if the limit was reached first.
func (sim *Simulation) WaitForViews(limit time.Duration, check func(*model.View) bool) (time.Duration, bool) {
	const step = 10 * time.Millisecond
	start := sim.Sched.Now()
	for sim.Sched.Now()-start < limit {
		sim.Run(step)
		all := true
		for _, n := range sim.LiveNodes() {
			if n.View == nil || !check(n.View) {
				all = false
			}
		}
		if all {
			return sim.Sched.Now() - start, true
		}
	}
	return limit, false
}
