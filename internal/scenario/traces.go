package scenario

import (
	"io"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/internal/vtime"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Session is a recorded session of a small deployment: what happens, and what the recorded
// daemon must make of it.
type Session struct {
	Name    string
	Outcome string // what the session shows
	Role    string // trace.RoleControl or trace.RoleTraffic of entry-0
	Length  time.Duration
	Run     func(*World)
	// Check reports why the session did not end as stated, or "".
	Check func(*World) string
}

// small is a deployment whose traces stay small.
func small() vtime.Deployment {
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

// Play runs a session with three daemons and records one role of entry-0.
func (s *Session) Play(w io.Writer, seed uint64) (*World, error) {
	d := small()
	c := vtime.NewCluster(vtime.Config{Seed: seed, Daemons: 3, Zones: d.Zones, LinkDelay: d.LinkDelay})
	world := &World{
		Cluster: c, Deployment: d, Template: d.Template("v1", "v2"), Stats: newStats(), submits: make(map[string]bool),
	}
	record := c.Nodes[0].RecordTraffic
	if s.Role == "control" {
		record = c.Nodes[0].RecordControl
	}
	rec := record(w, s.Name, s.Outcome)
	world.AddServers(world.Template, vtime.ServerConfig{Median: median, Sigma: sigma, SlowShare: slowShare, WarmAfter: 5})
	c.Run(2 * time.Second)
	world.Apply(0, world.Template, 0)
	c.Run(2 * time.Second)
	s.Run(world)
	c.Run(s.Length)
	world.StopLoad()
	return world, rec.Err()
}

// gentle is a load in searches a second that keeps traces small.
const gentle = 10

func (w *World) gentleLoad() {
	w.loadOn = true
	w.arrivals("court-prep", gentle)
}

// Sessions returns the recorded sessions.
func Sessions() []Session {
	return []Session{
		{
			Name: "owner-crash", Role: "control", Length: 4 * time.Second,
			Outcome: "entry-1 crashes; the keys that entry-0 takes over are leased after the grace, not before",
			Run:     func(w *World) { w.Nodes[1].Crash() },
			Check: func(w *World) string {
				if one, more := w.Owned(); one != wantedSmall || more != 0 {
					return "not every key has one owner"
				}
				return ""
			},
		},
		{
			Name: "graceful-leave", Role: "control", Length: 3 * time.Second,
			Outcome: "entry-0 leaves: it drains and releases every key, then abstains",
			Run:     func(w *World) { w.Nodes[0].Leave() },
			Check: func(w *World) string {
				if !w.Nodes[0].Left {
					return "the leave is not complete"
				}
				return ""
			},
		},
		{
			Name: "zone-out-store-down", Role: "control", Length: 6 * time.Second,
			Outcome: "a zone is taken out while the store is down: an override at once, kept in the store when it returns",
			Run: func(w *World) {
				w.Store.SetDown(true)
				w.Command(0, event.SetZone{Zone: w.Zones[2], Out: true, Reason: "flood"})
				w.Sched.After(4*time.Second, func() { w.Store.SetDown(false) })
			},
			Check: func(w *World) string {
				o, ok := w.Store.Get(model.ObjectKey{Kind: model.ObjectZone, Name: string(w.Zones[2])})
				if !ok || !o.Zone.Out {
					return "the store does not have the zone-out"
				}
				return ""
			},
		},
		{
			Name: "racing-operators", Role: "control", Length: time.Second,
			Outcome: "two operators apply from the same version: one is told ok, the other conflict",
			Run: func(w *World) {
				old, _ := w.Store.Get(model.ObjectKey{Kind: model.ObjectTemplate, Name: string(w.Deployment.Customer)})
				a, b := *w.Template, *w.Template
				a.Text, b.Text = "first", "second"
				w.race = []*effect.CommandResult{w.Apply(0, &a, old.Version), w.Apply(1, &b, old.Version)}
			},
			Check: func(w *World) string {
				codes := map[effect.CommandCode]int{}
				for _, r := range w.race {
					codes[r.Code]++
				}
				if codes[effect.CommandOK] != 1 || codes[effect.CommandConflict] != 1 {
					return "not one ok and one conflict"
				}
				return ""
			},
		},
		{
			Name: "straggler", Role: "traffic", Length: 2 * time.Second,
			Outcome: "one replica becomes ten times slower: hedges within the budget, complete answers",
			Run: func(w *World) {
				w.gentleLoad()
				w.ServersOf("court-prep", "v1")[0].Config.Median *= 10
			},
			Check: func(w *World) string { return w.whole() },
		},
		{
			Name: "cold-restart", Role: "traffic", Length: 2 * time.Second,
			Outcome: "a server restarts twice under load: back to its cold-start bound each time",
			Run: func(w *World) {
				w.gentleLoad()
				s := w.ServersOf("court-prep", "v1")[0]
				s.Restart()
				w.Sched.After(time.Second, s.Restart)
			},
			Check: func(w *World) string { return w.whole() },
		},
		{
			Name: "snapshot-change", Role: "traffic", Length: 2 * time.Second,
			Outcome: "all servers go to the next snapshot one by one: no answer mixes two",
			Run: func(w *World) {
				w.gentleLoad()
				for i, s := range w.ServersOf("court-prep", "v1") {
					w.Sched.After(time.Duration(i)*200*time.Millisecond, s.Publish)
				}
			},
			Check: func(w *World) string { return w.whole() },
		},
		{
			Name: "submit-owner-lost", Role: "traffic", Length: 3 * time.Second,
			Outcome: "the owners of billing crash while submits run: none runs twice, \"not run\" is true",
			Run: func(w *World) {
				w.loadOn = true
				for i := range 30 {
					w.Sched.After(time.Duration(i)*50*time.Millisecond, func() { w.Submit("billing", string(rune('a'+i))) })
				}
				w.Sched.After(700*time.Millisecond, w.Nodes[2].Crash)
			},
			Check: func(w *World) string {
				if doubled, untrue := w.SubmitFaults(); doubled+untrue > 0 {
					return "a submit ran twice or its refusal was untrue"
				}
				return ""
			},
		},
		{
			Name: "bad-move-paused", Role: "control", Length: 25 * time.Second,
			Outcome: "a version that fails is withheld although automation is paused, and taken back after the resume",
			Run: func(w *World) {
				for _, s := range w.ServersOf("court-prep", "v2") {
					s.Config.FailShare = 0.5
				}
				w.loadOn = true
				w.arrivals("court-prep", 80)
				w.Command(0, event.StartMove{Move: model.Move{
					Name: "to-v2", Customer: w.Deployment.Customer, Routes: []model.RouteID{"court-prep"},
					From: "v1", To: "v2", Deadline: w.Wall().Add(90 * time.Second),
				}})
				w.Run(time.Second)
				w.Command(1, event.SetPause{Paused: true, Reason: "holiday"})
				w.Run(40 * time.Second)
				w.Command(2, event.SetPause{Paused: false})
			},
			Check: func(w *World) string {
				o, ok := w.Store.Get(model.ObjectKey{Kind: model.ObjectMove, Name: "to-v2"})
				if !ok || o.Move.Phase != model.MoveTakenBack {
					return "the move is not taken back"
				}
				return ""
			},
		},
	}
}

// wantedSmall is the number of shard keys of the small deployment with two versions.
const wantedSmall = 8

// whole reports whether every answer was complete and consistent, or why not.
func (w *World) whole() string {
	switch {
	case w.Stats.Mixed+w.Stats.Wrong > 0:
		return "an answer mixes snapshots"
	case w.Stats.Answers == 0:
		return "nothing was answered"
	case w.Stats.Complete < w.Stats.Answers:
		return "an answer is not complete"
	}
	return ""
}
