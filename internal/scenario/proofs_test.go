package scenario

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/internal/vtime"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// maxChangeDelay is the maximum time until a change of a zone, a leaving server or a configuration
	// is in force. The requirement is "a few seconds".
	maxChangeDelay = 3 * time.Second
	// testLoad is the load of most tests, as a share of the capacity.
	testLoad = 0.15
)

// runSeeds runs a test with seeds 1 to n in parallel, or only with seed 1 with the flag -short.
func runSeeds(t *testing.T, n uint64, run func(t *testing.T, seed uint64)) {
	t.Helper()
	if testing.Short() {
		n = 1
	}
	for seed := uint64(1); seed <= n; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed)
		})
	}
}

// checkInvariants checks the guarantees that hold in every run, whatever the faults.
func checkInvariants(t *testing.T, sim *Simulation) {
	t.Helper()
	is := is.New(t)
	slots, cold := sim.Overruns()
	is.Equal(slots, 0)                  // no server gets more attempts than it has slots
	is.Equal(cold, 0)                   // no server in cold start gets more attempts than its cold slots
	is.Equal(sim.Stats.MixedAnswers, 0) // every answer comes from one snapshot and version
	is.Equal(sim.Stats.WrongAnswers, 0) // a complete answer has every document exactly once
	duplicates, falseNotRun := sim.SubmitViolations()
	is.Equal(duplicates, 0)  // a submit runs at most once
	is.Equal(falseNotRun, 0) // no submit ran that was refused as "not run"
}

// finishRequests stops the load, waits for running requests and checks that each got a reply.
func finishRequests(t *testing.T, sim *Simulation) {
	t.Helper()
	sim.StopLoad()
	sim.Run(6 * time.Second)
	is := is.New(t)
	is.Equal(sim.Stats.Unanswered, 0) // every request gets a reply
}

// sendSubmits sends a submit to a route every 20 ms until the load is stopped.
func sendSubmits(sim *Simulation, route model.RouteID) {
	n := 0
	var next func()
	next = func() {
		if !sim.loadRunning {
			return
		}
		n++
		sim.Submit(route, fmt.Sprintf("work-%d", n))
		sim.Sched.After(20*time.Millisecond, next)
	}
	next()
}

// TestCalm guards against incomplete or refused searches, shard keys without exactly one owner, and
// too many hedges, in a deployment without any fault.
func TestCalm(t *testing.T) {
	t.Parallel()
	for _, d := range []vtime.Deployment{vtime.Haugland(), vtime.Taproom()} {
		runSeeds(t, 2, func(t *testing.T, seed uint64) {
			is := is.New(t)
			sim := NewWorld(d, seed)
			sim.Warm(testLoad)
			sim.Run(10 * time.Second)
			one, several := sim.OwnerCounts()
			is.Equal(one, wantedKeyCount(sim))
			is.Equal(several, 0)
			finishRequests(t, sim)
			is.Equal(sim.Stats.Complete, sim.Stats.Sent)
			// The budget applies to the whole run. A shorter window can also use tokens saved before it.
			if x := float64(sim.Hedges) / float64(sim.Attempts-sim.Hedges); x > 0.03 {
				t.Errorf("extra load %.4f, budget 0.03", x)
			}
			checkInvariants(t, sim)
		})
	}
}

func wantedKeyCount(sim *Simulation) int {
	return sim.Nodes[0].Control().Status(sim.Nodes[0].Now()).WantedShards
}

// TestOwnerFails guards against keys with two owners, wrong "not run" refusals, submits that run twice
// and lost coverage, when an owner is killed, crashes, is frozen for a while or loses its network.
func TestOwnerFails(t *testing.T) {
	t.Parallel()
	faults := map[string]func(sim *Simulation, n *vtime.Node){
		"kill":  func(_ *Simulation, n *vtime.Node) { n.Kill() },
		"crash": func(_ *Simulation, n *vtime.Node) { n.Crash() },
		"freeze for 3 s": func(sim *Simulation, n *vtime.Node) {
			n.Freeze()
			sim.Sched.After(3*time.Second, n.Thaw)
		},
		"freeze for 400 ms": func(sim *Simulation, n *vtime.Node) {
			n.Freeze()
			sim.Sched.After(400*time.Millisecond, n.Thaw)
		},
		"freeze twice": func(sim *Simulation, n *vtime.Node) {
			n.Freeze()
			sim.Sched.After(1300*time.Millisecond, n.Thaw)
			sim.Sched.After(1400*time.Millisecond, n.Freeze)
			sim.Sched.After(2600*time.Millisecond, n.Thaw)
		},
		"cut off": func(sim *Simulation, n *vtime.Node) {
			others := sim.VMs(n.VM)
			sim.Links.Isolate(n.VM, others)
			sim.Sched.After(4*time.Second, func() { sim.Links.Rejoin(n.VM, others) })
		},
		"cut one way": func(sim *Simulation, n *vtime.Node) {
			for _, o := range sim.VMs(n.VM) {
				sim.Links.Cut(n.VM, o)
				sim.Sched.After(4*time.Second, func() { sim.Links.Heal(n.VM, o) })
			}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runSeeds(t, 3, func(t *testing.T, seed uint64) {
				is := is.New(t)
				sim := NewWorld(vtime.Taproom(), seed)
				sim.Warm(testLoad)
				sendSubmits(sim, "billing")
				sim.Run(time.Second)
				fault(sim, sim.Nodes[seed%8])
				sim.Run(10 * time.Second)
				one, several := sim.OwnerCounts()
				is.Equal(one, wantedKeyCount(sim)) // every key has an owner again
				is.Equal(several, 0)               // and only one
				before := sim.Stats
				sim.ResetStats()
				sim.Run(2 * time.Second)
				is.Equal(sim.Stats.Refused[model.RefusedLowCoverage], 0)
				is.True(sim.Stats.Coverage() > 0.999) // searches are complete again
				_ = before
				checkInvariants(t, sim)
			})
		})
	}
}

// TestServersFail guards against overload and lost coverage when servers restart, fail or become slow.
func TestServersFail(t *testing.T) {
	t.Parallel()
	faults := map[string]func(sim *Simulation, s *vtime.Server){
		"cold restart": func(_ *Simulation, s *vtime.Server) { s.Restart() },
		"cold restart twice": func(sim *Simulation, s *vtime.Server) {
			s.Restart()
			sim.Sched.After(150*time.Millisecond, s.Restart)
		},
		"lost for 5 s": func(sim *Simulation, s *vtime.Server) {
			s.Down = true
			sim.Sched.After(5*time.Second, func() {
				s.Restart()
				s.Down = false
			})
		},
		"straggler": func(sim *Simulation, s *vtime.Server) {
			slow := s.Config
			normal := s.Config
			slow.Median *= 10
			s.Config = slow
			sim.Sched.After(5*time.Second, func() { s.Config = normal })
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runSeeds(t, 3, func(t *testing.T, seed uint64) {
				is := is.New(t)
				sim := NewWorld(vtime.Haugland(), seed)
				sim.Warm(testLoad)
				for i, s := range sim.ServersOf("portal-search", "v1") {
					// One replica of every fourth shard fails.
					if i%8 == 0 {
						fault(sim, s)
					}
				}
				sim.Run(8 * time.Second)
				finishRequests(t, sim)
				is.True(sim.Stats.Coverage() >= 0.999) // the other replica answers
				// When a server restarts, attempts in flight can exceed its cold-start bound. Overruns counts
				// only attempts dispatched after the owner could know of the restart.
				checkInvariants(t, sim)
			})
		})
	}
}

// TestAllServersCold guards against a deployment that does not recover when all servers restart in
// cold start at the same time.
func TestAllServersCold(t *testing.T) {
	t.Parallel()
	runSeeds(t, 2, func(t *testing.T, seed uint64) {
		is := is.New(t)
		sim := NewWorld(vtime.Haugland(), seed)
		sim.Warm(testLoad)
		for _, s := range sim.Servers {
			s.Restart()
		}
		sim.Run(5 * time.Second)
		sim.ResetStats()
		sim.Run(5 * time.Second)
		is.True(sim.Stats.Coverage() > 0.999)
		checkInvariants(t, sim)
	})
}

// TestZoneOutAndIn guards against new work in a zone that an operator has taken out, with the store
// up or down, and against overload when the zone is put back.
func TestZoneOutAndIn(t *testing.T) {
	t.Parallel()
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("store down %t", down), func(t *testing.T) {
			runSeeds(t, 3, func(t *testing.T, seed uint64) {
				is := is.New(t)
				sim := NewWorld(vtime.Haugland(), seed)
				sim.Warm(testLoad)
				zone := sim.Zones[seed%4]
				sim.Store.SetDown(down)
				res := sim.Command(int(seed%8), event.SetZone{Zone: zone, Out: true})
				commandAt := sim.Sched.Now()
				sim.Run(10 * time.Second)
				want := effect.CommandOK
				if down {
					want = effect.CommandOverride
				}
				is.Equal(res.Code, want)
				for _, s := range sim.ServersIn(zone) {
					is.True(s.LastStart <= commandAt+maxChangeDelay) // no new work after maxChangeDelay
				}
				sim.Store.SetDown(false)
				sim.Run(5 * time.Second)
				res = sim.Command(int(seed%8), event.SetZone{Zone: zone, Out: false})
				sim.Run(8 * time.Second)
				is.Equal(res.Code, effect.CommandOK)
				served := 0
				for _, s := range sim.ServersIn(zone) {
					if s.LastStart > sim.Sched.Now()-2*time.Second {
						served++
					}
				}
				is.True(served > 0) // the zone gets attempts again
				finishRequests(t, sim)
				// Routes with one replica per shard lose shards with the zone. The routes under load do not.
				is.True(sim.Stats.Coverage() >= 0.999)
				checkInvariants(t, sim)
			})
		})
	}
}

// TestRollingReplacement guards against refused requests and incomplete answers when every VM leaves
// gracefully and is replaced, one after the other.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	runSeeds(t, 2, func(t *testing.T, seed uint64) {
		is := is.New(t)
		sim := NewWorld(vtime.Taproom(), seed)
		sim.Warm(testLoad)
		for i := range 8 {
			n := sim.Nodes[i]
			n.Leave()
			sim.Run(5 * time.Second)
			is.True(n.Left) // the node has left
			n.Crash()
			sim.AddNode(n.VM, n.Zone)
			sim.Run(4 * time.Second)
		}
		finishRequests(t, sim)
		if r := sim.Stats.LastRefusal; r != nil {
			t.Errorf("requests were refused: %v, the last one: %v", sim.Stats.Refused, r)
		}
		is.True(sim.Stats.Coverage() >= 0.999) // answers are complete
		checkInvariants(t, sim)
	})
}

// TestSnapshotChange guards against answers that mix two snapshots while the servers change to the
// next snapshot at different times.
func TestSnapshotChange(t *testing.T) {
	t.Parallel()
	runSeeds(t, 3, func(t *testing.T, seed uint64) {
		is := is.New(t)
		sim := NewWorld(vtime.Haugland(), seed)
		sim.Warm(testLoad)
		for range 5 {
			for _, s := range sim.ServersOf("portal-search", "v1") {
				sim.Sched.After(time.Duration(sim.Sched.Rand.Int64N(int64(2*time.Second))), s.Publish)
			}
			sim.Run(3 * time.Second)
		}
		finishRequests(t, sim)
		is.True(sim.Stats.Coverage() >= 0.999)
		checkInvariants(t, sim)
	})
}

// TestRepartition guards against duplicate and missing documents when a template changes the number
// of shards while queries run.
func TestRepartition(t *testing.T) {
	t.Parallel()
	runSeeds(t, 2, func(t *testing.T, seed uint64) {
		is := is.New(t)
		sim := NewWorld(vtime.Haugland(), seed)
		sim.Warm(testLoad)
		d := sim.Deployment
		d.Routes = append([]vtime.RouteSize{}, d.Routes...)
		d.Routes[0].Shards = 25
		next := d.Template("v1")
		next.Text = "25 shards"
		next.Routes[0].Versions[0].Epoch = 2
		sim.AddServers(next, vtime.ServerConfig{Median: median, Sigma: sigma, SlowShare: slowShare, WarmAfter: warmAfter})
		old, _ := sim.Store.Get(model.ObjectKey{Kind: model.ObjectTemplate, Name: string(d.Customer)})
		res := sim.Apply(3, next, old.Version)
		sim.Template = next
		sim.Run(10 * time.Second)
		is.Equal(res.Code, effect.CommandOK)
		sim.ResetStats()
		sim.Run(3 * time.Second)
		is.True(sim.Stats.Coverage() >= 0.999)
		is.Equal(sim.Stats.Complete, sim.Stats.Answers)
		checkInvariants(t, sim)
	})
}

// TestConfigurationInForce guards against configurations that take effect late or revert to an older
// revision, with store outages right after some commands were accepted.
func TestConfigurationInForce(t *testing.T) {
	t.Parallel()
	runSeeds(t, 3, func(t *testing.T, seed uint64) {
		is := is.New(t)
		sim := NewWorld(vtime.Taproom(), seed)
		sim.Run(warmUp)
		highest := make(map[model.VM]uint64)
		sim.AfterEvent = func(n *vtime.Node) {
			if n.View == nil {
				return
			}
			if r := n.View.Config.Revision; r < highest[n.VM] {
				t.Errorf("%s reverted from revision %d to %d", n.VM, highest[n.VM], r)
			} else {
				highest[n.VM] = r
			}
		}
		sim.StartLoad(0.02)
		for i := range 6 {
			sim.Nodes[i].Command(event.SetPause{Paused: i%2 == 0, Reason: fmt.Sprint(i)}, func(r effect.CommandResult) {
				if r.Code != effect.CommandOK {
					t.Errorf("command %d: result %s %s", i, r.Code, r.Message)
					return
				}
				sim.Store.SetDown(i%3 == 1) // the store goes down right after it has accepted the command
			})
			took, ok := sim.WaitForViews(5*time.Second, func(v *model.View) bool { return v.Config.Paused == (i%2 == 0) })
			is.True(ok && took <= maxChangeDelay)
			sim.Store.SetDown(false)
			sim.Run(4 * time.Second)
		}
	})
}

// TestStoreOutage guards against lost coverage, shard keys without an owner and new VMs without a
// configuration while the store is down, and against a roster that is not updated afterwards.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	runSeeds(t, 3, func(t *testing.T, seed uint64) {
		is := is.New(t)
		sim := NewWorld(vtime.Taproom(), seed)
		sim.Warm(testLoad)
		sim.Store.SetDown(true)
		sim.Run(5 * time.Second)
		lost := sim.Nodes[seed%8]
		lost.Crash()
		sim.Run(5 * time.Second)
		newNode := sim.AddNode("entry-new", lost.Zone)
		sim.Run(5 * time.Second)
		is.Equal(newNode.View.Config.Revision, sim.LiveNodes()[0].View.Config.Revision) // it got the configuration from peers
		one, several := sim.OwnerCounts()
		is.Equal(one, wantedKeyCount(sim))
		is.Equal(several, 0)
		sim.ResetStats()
		sim.Run(5 * time.Second)
		is.True(sim.Stats.Coverage() >= 0.999)
		sim.Store.SetDown(false)
		sim.Run(20 * time.Second)
		roster, _ := sim.Store.Get(model.ObjectKey{Kind: model.ObjectRoster, Name: "group"})
		is.True(roster.Roster.Has("entry-new")) // the new VM is a voter
		is.True(!roster.Roster.Has(lost.VM))
		checkInvariants(t, sim)
	})
}

// TestZoneLost guards against lost coverage when the two VMs and all servers of a zone fail at the
// same time.
func TestZoneLost(t *testing.T) {
	t.Parallel()
	runSeeds(t, 2, func(t *testing.T, seed uint64) {
		is := is.New(t)
		sim := NewWorld(vtime.Haugland(), seed)
		sim.Warm(testLoad)
		zone := sim.Zones[seed%4]
		for _, n := range sim.Nodes {
			if n.Zone == zone {
				n.Crash()
			}
		}
		for _, s := range sim.ServersIn(zone) {
			s.Down = true
		}
		sim.Run(4 * time.Second)
		sim.ResetStats()
		sim.Run(4 * time.Second)
		is.True(sim.Stats.Coverage() >= 0.999)
		checkInvariants(t, sim)
	})
}

// TestChaos guards against violations that need several faults: it injects random faults, which can
// overlap and repeat in any order.
func TestChaos(t *testing.T) {
	t.Parallel()
	runSeeds(t, 8, func(t *testing.T, seed uint64) {
		sim := NewWorld(vtime.Taproom(), seed)
		sim.Warm(0.1)
		sendSubmits(sim, "billing")
		for range 25 {
			randomFault(sim)
			sim.Run(time.Duration(sim.Sched.Rand.Int64N(int64(2 * time.Second))))
		}
		sim.Store.SetDown(false)
		sim.Run(20 * time.Second)
		is := is.New(t)
		one, several := sim.OwnerCounts()
		is.Equal(one, wantedKeyCount(sim))
		is.Equal(several, 0)
		checkInvariants(t, sim)
	})
}

// randomFault injects one random fault. All faults end by themselves, except those of the store,
// which another call ends.
func randomFault(sim *Simulation) {
	r := sim.Sched.Rand
	n := sim.Nodes[r.IntN(len(sim.Nodes))]
	span := time.Duration(r.Int64N(int64(4 * time.Second)))
	servers := sim.ServersIn(sim.Zones[r.IntN(4)])
	server := servers[r.IntN(len(servers))]
	switch r.IntN(8) {
	case 0:
		if n.IsRunning() && len(sim.LiveNodes()) > 6 {
			n.Crash()
			sim.Sched.After(span, func() { sim.AddNode(n.VM, n.Zone) })
		}
	case 1:
		n.Freeze()
		sim.Sched.After(span, n.Thaw)
	case 2:
		others := sim.VMs(n.VM)
		sim.Links.Isolate(n.VM, others)
		sim.Sched.After(span, func() { sim.Links.Rejoin(n.VM, others) })
	case 3:
		for _, o := range sim.VMs(n.VM) {
			sim.Links.Cut(n.VM, o)
			sim.Sched.After(span, func() { sim.Links.Heal(n.VM, o) })
		}
	case 4:
		server.Restart()
	case 5:
		server.Down = true
		sim.Sched.After(span, func() {
			server.Restart()
			server.Down = false
		})
	case 6:
		sim.Store.SetDown(!sim.Store.Down)
	case 7:
		sim.Store.LoseWriteAnswers = !sim.Store.LoseWriteAnswers
	}
}
