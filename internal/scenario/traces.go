package scenario

import (
	"io"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/internal/vtime"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Session describes a simulation of a small deployment that is recorded as a trace, and the result
// that it must have.
type Session struct {
	Name    string
	Outcome string // what the session shows, in words; part of the trace
	Role    string // trace.RoleControl or trace.RoleTraffic of entry-0
	Length  time.Duration
	Run     func(*Simulation)
	// Check returns why the session did not end as described by Outcome, or "" if it did.
	Check func(*Simulation) string
}

// tracedDeployment returns a deployment that is small enough to keep the traces small.
func tracedDeployment() vtime.Deployment {
	d := vtime.Taproom()
	d.Routes = []vtime.RouteSize{
		{
			Route: "court-prep", Shards: 3, Replicas: 2, Limits: d.Routes[0].Limits,
			Timeout: time.Second, AttemptTimeout: 500 * time.Millisecond,
		},
		{
			Route: "billing", Shards: 1, Replicas: 1, Limits: d.Routes[3].Limits,
			Timeout: time.Second, AttemptTimeout: 500 * time.Millisecond,
		},
	}
	return d
}

// Record runs a session with three daemons and writes the trace of one role of entry-0 to w.
func (s *Session) Record(w io.Writer, seed uint64) (*Simulation, error) {
	d := tracedDeployment()
	c := vtime.NewCluster(vtime.Config{Seed: seed, Daemons: 3, Zones: d.Zones, LinkDelay: d.LinkDelay})
	sim := &Simulation{
		Cluster: c, Deployment: d, Template: d.Template("v1", "v2"), Stats: newStats(), refusedNotRun: make(map[string]bool),
	}
	record := c.Nodes[0].RecordTraffic
	if s.Role == "control" {
		record = c.Nodes[0].RecordControl
	}
	rec := record(w, s.Name, s.Outcome)
	sim.AddServers(sim.Template, vtime.ServerConfig{Median: median, Sigma: sigma, SlowShare: slowShare, WarmAfter: 5})
	c.Run(2 * time.Second)
	sim.Apply(0, sim.Template, 0)
	c.Run(2 * time.Second)
	s.Run(sim)
	c.Run(s.Length)
	sim.StopLoad()
	return sim, rec.Err()
}

// lowLoadRate is a number of searches per second that keeps the traces small.
const lowLoadRate = 10

func (sim *Simulation) startLowLoad() {
	sim.loadRunning = true
	sim.startArrivals("court-prep", lowLoadRate)
}

// Sessions returns all sessions. Their names are the file names in testdata/traces.
func Sessions() []Session {
	return []Session{
		{
			Name: "owner-crash", Role: "control", Length: 4 * time.Second,
			Outcome: "entry-1 crashes; the keys that entry-0 takes over are leased after the grace, not before",
			Run:     func(sim *Simulation) { sim.Nodes[1].Crash() },
			Check: func(sim *Simulation) string {
				if one, several := sim.OwnerCounts(); one != tracedShardKeys || several != 0 {
					return "not every key has one owner"
				}
				return ""
			},
		},
		{
			Name: "graceful-leave", Role: "control", Length: 3 * time.Second,
			Outcome: "entry-0 leaves: it drains and releases every key, then abstains",
			Run:     func(sim *Simulation) { sim.Nodes[0].Leave() },
			Check: func(sim *Simulation) string {
				if !sim.Nodes[0].Left {
					return "entry-0 has not finished leaving"
				}
				return ""
			},
		},
		{
			Name: "zone-out-store-down", Role: "control", Length: 6 * time.Second,
			Outcome: "a zone is taken out while the store is down: an override at once, kept in the store when it returns",
			Run: func(sim *Simulation) {
				sim.Store.SetDown(true)
				sim.Command(0, event.SetZone{Zone: sim.Zones[2], Out: true, Reason: "flood"})
				sim.Sched.After(4*time.Second, func() { sim.Store.SetDown(false) })
			},
			Check: func(sim *Simulation) string {
				o, ok := sim.Store.Get(model.ObjectKey{Kind: model.ObjectZone, Name: string(sim.Zones[2])})
				if !ok || !o.Zone.Out {
					return "the store does not mark the zone as out"
				}
				return ""
			},
		},
		{
			Name: "racing-operators", Role: "control", Length: time.Second,
			Outcome: "two operators apply from the same version: one is told ok, the other conflict",
			Run: func(sim *Simulation) {
				old, _ := sim.Store.Get(model.ObjectKey{Kind: model.ObjectTemplate, Name: string(sim.Deployment.Customer)})
				a, b := *sim.Template, *sim.Template
				a.Text, b.Text = "first", "second"
				sim.raceResults = []*effect.CommandResult{sim.Apply(0, &a, old.Version), sim.Apply(1, &b, old.Version)}
			},
			Check: func(sim *Simulation) string {
				codes := map[effect.CommandCode]int{}
				for _, r := range sim.raceResults {
					codes[r.Code]++
				}
				if codes[effect.CommandOK] != 1 || codes[effect.CommandConflict] != 1 {
					return "the results are not one ok and one conflict"
				}
				return ""
			},
		},
		{
			Name: "straggler", Role: "traffic", Length: 2 * time.Second,
			Outcome: "one replica becomes ten times slower: hedges within the budget, complete answers",
			Run: func(sim *Simulation) {
				sim.startLowLoad()
				sim.ServersOf("court-prep", "v1")[0].Config.Median *= 10
			},
			Check: func(sim *Simulation) string { return sim.checkAnswers() },
		},
		{
			Name: "cold-restart", Role: "traffic", Length: 2 * time.Second,
			Outcome: "a server restarts twice under load: back to its cold-start bound each time",
			Run: func(sim *Simulation) {
				sim.startLowLoad()
				s := sim.ServersOf("court-prep", "v1")[0]
				s.Restart()
				sim.Sched.After(time.Second, s.Restart)
			},
			Check: func(sim *Simulation) string { return sim.checkAnswers() },
		},
		{
			Name: "snapshot-change", Role: "traffic", Length: 2 * time.Second,
			Outcome: "all servers go to the next snapshot one by one: no answer mixes two",
			Run: func(sim *Simulation) {
				sim.startLowLoad()
				for i, s := range sim.ServersOf("court-prep", "v1") {
					sim.Sched.After(time.Duration(i)*200*time.Millisecond, s.Publish)
				}
			},
			Check: func(sim *Simulation) string { return sim.checkAnswers() },
		},
		{
			Name: "submit-owner-lost", Role: "traffic", Length: 3 * time.Second,
			Outcome: "the owners of billing crash while submits run: none runs twice, \"not run\" is true",
			Run: func(sim *Simulation) {
				sim.loadRunning = true
				for i := range 30 {
					sim.Sched.After(time.Duration(i)*50*time.Millisecond, func() { sim.Submit("billing", string(rune('a'+i))) })
				}
				sim.Sched.After(700*time.Millisecond, sim.Nodes[2].Crash)
			},
			Check: func(sim *Simulation) string {
				if duplicates, falseNotRun := sim.SubmitViolations(); duplicates+falseNotRun > 0 {
					return "a submit ran twice, or ran although it was refused as not run"
				}
				return ""
			},
		},
		{
			Name: "bad-move-paused", Role: "control", Length: 25 * time.Second,
			Outcome: "a version that fails is withheld although automation is paused, and taken back after the resume",
			Run: func(sim *Simulation) {
				for _, s := range sim.ServersOf("court-prep", "v2") {
					s.Config.FailShare = 0.5
				}
				sim.loadRunning = true
				sim.startArrivals("court-prep", 80)
				sim.Command(0, event.StartMove{Move: model.Move{
					Name: "to-v2", Customer: sim.Deployment.Customer, Routes: []model.RouteID{"court-prep"},
					From: "v1", To: "v2", Deadline: sim.Wall().Add(90 * time.Second),
				}})
				sim.Run(time.Second)
				sim.Command(1, event.SetPause{Paused: true, Reason: "holiday"})
				sim.Run(40 * time.Second)
				sim.Command(2, event.SetPause{Paused: false})
			},
			Check: func(sim *Simulation) string {
				o, ok := sim.Store.Get(model.ObjectKey{Kind: model.ObjectMove, Name: "to-v2"})
				if !ok || o.Move.Phase != model.MoveTakenBack {
					return "the move was not rolled back"
				}
				return ""
			},
		},
	}
}

// tracedShardKeys is the number of shard keys of tracedDeployment with two versions.
const tracedShardKeys = 8

// checkAnswers returns "" if every answer was complete and from one snapshot, or else what was wrong.
func (sim *Simulation) checkAnswers() string {
	switch {
	case sim.Stats.MixedAnswers+sim.Stats.WrongAnswers > 0:
		return "an answer mixes snapshots, or has missing or duplicate documents"
	case sim.Stats.Answers == 0:
		return "no request was answered"
	case sim.Stats.Complete < sim.Stats.Answers:
		return "an answer is not complete"
	}
	return ""
}
