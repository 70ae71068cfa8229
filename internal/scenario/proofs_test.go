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

// Bounds from the brief: "a few seconds" for zones, leaving servers and configuration.
const (
	promptly = 3 * time.Second
	testLoad = 0.15
)

// seeds runs a test once per seed, in parallel.
func seeds(t *testing.T, n uint64, run func(t *testing.T, seed uint64)) {
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

// checkPromises checks what must hold in every run, whatever the faults.
func checkPromises(t *testing.T, w *World) {
	t.Helper()
	is := is.New(t)
	slots, cold := w.Overruns()
	is.Equal(slots, 0)         // no server gets an attempt above its slots
	is.Equal(cold, 0)          // no server in cold start gets more than it bears
	is.Equal(w.Stats.Mixed, 0) // every answer comes from one snapshot
	is.Equal(w.Stats.Wrong, 0) // a complete answer has every document once
	doubled, untrue := w.SubmitFaults()
	is.Equal(doubled, 0) // a submit runs at most once
	is.Equal(untrue, 0)  // "not run" is true
}

// settle stops the load, lets running requests end and checks that each got a reply.
func settle(t *testing.T, w *World) {
	t.Helper()
	w.StopLoad()
	w.Run(6 * time.Second)
	is := is.New(t)
	is.Equal(w.Stats.Unanswered, 0) // every request on a daemon that runs gets one reply
}

// submits sends a submit to billing every 20 ms while the test runs.
func submits(w *World, route model.RouteID) {
	n := 0
	var next func()
	next = func() {
		if !w.loadOn {
			return
		}
		n++
		w.Submit(route, fmt.Sprintf("work-%d", n))
		w.Sched.After(20*time.Millisecond, next)
	}
	next()
}

// TestCalm guards against faults that need no failure: every search complete, nothing refused.
func TestCalm(t *testing.T) {
	t.Parallel()
	for _, d := range []vtime.Deployment{vtime.Haugland(), vtime.Taproom()} {
		seeds(t, 2, func(t *testing.T, seed uint64) {
			is := is.New(t)
			w := NewWorld(d, seed)
			w.Warm(testLoad)
			w.Run(10 * time.Second)
			one, more := w.Owned()
			is.Equal(one, wantedKeys(w))
			is.Equal(more, 0)
			settle(t, w)
			is.Equal(w.Stats.Complete, w.Stats.Sent)
			// The budget holds from the start on; a window can also spend what was saved before it.
			if x := float64(w.Hedges) / float64(w.Attempts-w.Hedges); x > 0.03 {
				t.Errorf("extra load %.4f, budget 0.03", x)
			}
			checkPromises(t, w)
		})
	}
}

func wantedKeys(w *World) int { return w.Nodes[0].Control().Status(w.Nodes[0].Now()).WantedShards }

// TestOwnerFails guards against two owners, untrue "not run", doubled submits and lost
// requests when an owner is killed, crashes silently, or is frozen and comes back.
func TestOwnerFails(t *testing.T) {
	t.Parallel()
	faults := map[string]func(w *World, n *vtime.Node){
		"kill":  func(_ *World, n *vtime.Node) { n.Kill() },
		"crash": func(_ *World, n *vtime.Node) { n.Crash() },
		"freeze for 3 s": func(w *World, n *vtime.Node) {
			n.Freeze()
			w.Sched.After(3*time.Second, n.Thaw)
		},
		"freeze for 400 ms": func(w *World, n *vtime.Node) {
			n.Freeze()
			w.Sched.After(400*time.Millisecond, n.Thaw)
		},
		"freeze twice": func(w *World, n *vtime.Node) {
			n.Freeze()
			w.Sched.After(1300*time.Millisecond, n.Thaw)
			w.Sched.After(1400*time.Millisecond, n.Freeze)
			w.Sched.After(2600*time.Millisecond, n.Thaw)
		},
		"cut off": func(w *World, n *vtime.Node) {
			others := w.VMs(n.VM)
			w.Links.Isolate(n.VM, others)
			w.Sched.After(4*time.Second, func() { w.Links.Rejoin(n.VM, others) })
		},
		"cut one way": func(w *World, n *vtime.Node) {
			for _, o := range w.VMs(n.VM) {
				w.Links.Cut(n.VM, o)
				w.Sched.After(4*time.Second, func() { w.Links.Heal(n.VM, o) })
			}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seeds(t, 3, func(t *testing.T, seed uint64) {
				is := is.New(t)
				w := NewWorld(vtime.Taproom(), seed)
				w.Warm(testLoad)
				submits(w, "billing")
				w.Run(time.Second)
				fault(w, w.Nodes[seed%8])
				w.Run(10 * time.Second)
				one, more := w.Owned()
				is.Equal(one, wantedKeys(w)) // every key has an owner again
				is.Equal(more, 0)            // and only one
				before := w.Stats
				w.Reset()
				w.Run(2 * time.Second)
				is.Equal(w.Stats.Refused[model.RefusedLowCoverage], 0)
				is.True(w.Stats.Coverage() > 0.999) // service is whole again
				_ = before
				checkPromises(t, w)
			})
		})
	}
}

// TestServersFail guards against overload of servers that restart, vanish or straggle.
func TestServersFail(t *testing.T) {
	t.Parallel()
	faults := map[string]func(w *World, s *vtime.Server){
		"cold restart": func(_ *World, s *vtime.Server) { s.Restart() },
		"cold restart twice": func(w *World, s *vtime.Server) {
			s.Restart()
			w.Sched.After(150*time.Millisecond, s.Restart)
		},
		"lost for 5 s": func(w *World, s *vtime.Server) {
			s.Down = true
			w.Sched.After(5*time.Second, func() {
				s.Restart()
				s.Down = false
			})
		},
		"straggler": func(w *World, s *vtime.Server) {
			slow := s.Config
			normal := s.Config
			slow.Median *= 10
			s.Config = slow
			w.Sched.After(5*time.Second, func() { s.Config = normal })
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seeds(t, 3, func(t *testing.T, seed uint64) {
				is := is.New(t)
				w := NewWorld(vtime.Haugland(), seed)
				w.Warm(testLoad)
				for i, s := range w.ServersOf("portal-search", "v1") {
					// One replica of every fourth shard fails.
					if i%8 == 0 {
						fault(w, s)
					}
				}
				w.Run(8 * time.Second)
				settle(t, w)
				is.True(w.Stats.Coverage() >= 0.999) // the other replica serves
				// A server that restarts without warning has attempts in flight above its cold-start
				// bound; only new attempts after the first sign of the restart count.
				checkPromises(t, w)
			})
		})
	}
}

// TestAllServersCold guards against a fleet that never comes up when everything is cold.
func TestAllServersCold(t *testing.T) {
	t.Parallel()
	seeds(t, 2, func(t *testing.T, seed uint64) {
		is := is.New(t)
		w := NewWorld(vtime.Haugland(), seed)
		w.Warm(testLoad)
		for _, s := range w.Servers {
			s.Restart()
		}
		w.Run(5 * time.Second)
		w.Reset()
		w.Run(5 * time.Second)
		is.True(w.Stats.Coverage() > 0.999)
		checkPromises(t, w)
	})
}

// TestZoneOutAndIn guards against new work in a zone that operators took out, with the store
// up or down, and against a flood when it comes back.
func TestZoneOutAndIn(t *testing.T) {
	t.Parallel()
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("store down %t", down), func(t *testing.T) {
			seeds(t, 3, func(t *testing.T, seed uint64) {
				is := is.New(t)
				w := NewWorld(vtime.Haugland(), seed)
				w.Warm(testLoad)
				zone := w.Zones[seed%4]
				w.Store.SetDown(down)
				res := w.Command(int(seed%8), event.SetZone{Zone: zone, Out: true})
				ordered := w.Sched.Now()
				w.Run(10 * time.Second)
				want := effect.CommandOK
				if down {
					want = effect.CommandOverride
				}
				is.Equal(res.Code, want)
				for _, s := range w.ServersIn(zone) {
					is.True(s.LastStart <= ordered+promptly) // no new work after a few seconds
				}
				w.Store.SetDown(false)
				w.Run(5 * time.Second)
				res = w.Command(int(seed%8), event.SetZone{Zone: zone, Out: false})
				w.Run(8 * time.Second)
				is.Equal(res.Code, effect.CommandOK)
				served := 0
				for _, s := range w.ServersIn(zone) {
					if s.LastStart > w.Sched.Now()-2*time.Second {
						served++
					}
				}
				is.True(served > 0) // the zone serves again
				settle(t, w)
				// Routes with one replica per shard lose shards with the zone, searched ones do not.
				is.True(w.Stats.Coverage() >= 0.999)
				checkPromises(t, w)
			})
		})
	}
}

// TestRollingReplacement guards against cut requests when every VM is replaced gracefully.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	seeds(t, 2, func(t *testing.T, seed uint64) {
		is := is.New(t)
		w := NewWorld(vtime.Taproom(), seed)
		w.Warm(testLoad)
		for i := range 8 {
			n := w.Nodes[i]
			n.Leave()
			w.Run(5 * time.Second)
			is.True(n.Left) // the leave is complete
			n.Crash()
			w.AddNode(n.VM, n.Zone)
			w.Run(4 * time.Second)
		}
		settle(t, w)
		if r := w.Stats.LastRefusal; r != nil {
			t.Errorf("%v were refused, the last one: %v", w.Stats.Refused, r)
		}
		is.True(w.Stats.Coverage() >= 0.999) // and nothing was cut short
		checkPromises(t, w)
	})
}

// TestSnapshotChange guards against answers from two snapshots while all servers go to the
// next snapshot one after the other.
func TestSnapshotChange(t *testing.T) {
	t.Parallel()
	seeds(t, 3, func(t *testing.T, seed uint64) {
		is := is.New(t)
		w := NewWorld(vtime.Haugland(), seed)
		w.Warm(testLoad)
		for range 5 {
			for _, s := range w.ServersOf("portal-search", "v1") {
				w.Sched.After(time.Duration(w.Sched.Rand.Int64N(int64(2*time.Second))), s.Publish)
			}
			w.Run(3 * time.Second)
		}
		settle(t, w)
		is.True(w.Stats.Coverage() >= 0.999)
		checkPromises(t, w)
	})
}

// TestRepartition guards against doubled and lost documents when a template changes the
// number of shards under running queries.
func TestRepartition(t *testing.T) {
	t.Parallel()
	seeds(t, 2, func(t *testing.T, seed uint64) {
		is := is.New(t)
		w := NewWorld(vtime.Haugland(), seed)
		w.Warm(testLoad)
		d := w.Deployment
		d.Routes = append([]vtime.RouteSize{}, d.Routes...)
		d.Routes[0].Shards = 25
		next := d.Template("v1")
		next.Text = "25 shards"
		next.Routes[0].Versions[0].Epoch = 2
		w.AddServers(next, vtime.ServerConfig{Median: median, Sigma: sigma, SlowShare: slowShare, WarmAfter: warmAfter})
		old, _ := w.Store.Get(model.ObjectKey{Kind: model.ObjectTemplate, Name: string(d.Customer)})
		res := w.Apply(3, next, old.Version)
		w.Template = next
		w.Run(10 * time.Second)
		is.Equal(res.Code, effect.CommandOK)
		w.Reset()
		w.Run(3 * time.Second)
		is.True(w.Stats.Coverage() >= 0.999)
		is.Equal(w.Stats.Complete, w.Stats.Answers)
		checkPromises(t, w)
	})
}

// TestConfigurationInForce guards against a configuration that is late or reverts: applies
// and outages alternate, and every daemon must have each accepted version within seconds.
func TestConfigurationInForce(t *testing.T) {
	t.Parallel()
	seeds(t, 3, func(t *testing.T, seed uint64) {
		is := is.New(t)
		w := NewWorld(vtime.Taproom(), seed)
		w.Run(warmUp)
		highest := make(map[model.VM]uint64)
		w.AfterEvent = func(n *vtime.Node) {
			if n.View == nil {
				return
			}
			if r := n.View.Config.Revision; r < highest[n.VM] {
				t.Errorf("%s went back from version %d to %d", n.VM, highest[n.VM], r)
			} else {
				highest[n.VM] = r
			}
		}
		w.StartLoad(0.02)
		for i := range 6 {
			w.Nodes[i].Command(event.SetPause{Paused: i%2 == 0, Reason: fmt.Sprint(i)}, func(r effect.CommandResult) {
				if r.Code != effect.CommandOK {
					t.Errorf("command %d: %s %s", i, r.Code, r.Message)
					return
				}
				w.Store.SetDown(i%3 == 1) // the store fails right after it has accepted the command
			})
			took, ok := w.InForce(5*time.Second, func(v *model.View) bool { return v.Config.Paused == (i%2 == 0) })
			is.True(ok && took <= promptly)
			w.Store.SetDown(false)
			w.Run(4 * time.Second)
		}
	})
}

// TestStoreOutage guards against a loss of service, of ownership or of new VMs' knowledge
// while the store is down, and against a frozen roster afterwards.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	seeds(t, 3, func(t *testing.T, seed uint64) {
		is := is.New(t)
		w := NewWorld(vtime.Taproom(), seed)
		w.Warm(testLoad)
		w.Store.SetDown(true)
		w.Run(5 * time.Second)
		lost := w.Nodes[seed%8]
		lost.Crash()
		w.Run(5 * time.Second)
		fresh := w.AddNode("entry-new", lost.Zone)
		w.Run(5 * time.Second)
		is.Equal(fresh.View.Config.Revision, w.LiveNodes()[0].View.Config.Revision) // learnt from peers
		one, more := w.Owned()
		is.Equal(one, wantedKeys(w))
		is.Equal(more, 0)
		w.Reset()
		w.Run(5 * time.Second)
		is.True(w.Stats.Coverage() >= 0.999)
		w.Store.SetDown(false)
		w.Run(20 * time.Second)
		roster, _ := w.Store.Get(model.ObjectKey{Kind: model.ObjectRoster, Name: "group"})
		is.True(roster.Roster.Has("entry-new")) // the new VM votes
		is.True(!roster.Roster.Has(lost.VM))
		checkPromises(t, w)
	})
}

// TestZoneLost guards against a loss of the whole service when two of eight VMs and all
// servers of a zone fail at once.
func TestZoneLost(t *testing.T) {
	t.Parallel()
	seeds(t, 2, func(t *testing.T, seed uint64) {
		is := is.New(t)
		w := NewWorld(vtime.Haugland(), seed)
		w.Warm(testLoad)
		zone := w.Zones[seed%4]
		for _, n := range w.Nodes {
			if n.Zone == zone {
				n.Crash()
			}
		}
		for _, s := range w.ServersIn(zone) {
			s.Down = true
		}
		w.Run(4 * time.Second)
		w.Reset()
		w.Run(4 * time.Second)
		is.True(w.Stats.Coverage() >= 0.999)
		checkPromises(t, w)
	})
}

// TestChaos guards against faults that only show together: random faults, alone and
// overlapping, twice and in any order.
func TestChaos(t *testing.T) {
	t.Parallel()
	seeds(t, 8, func(t *testing.T, seed uint64) {
		w := NewWorld(vtime.Taproom(), seed)
		w.Warm(0.1)
		submits(w, "billing")
		for range 25 {
			randomFault(w)
			w.Run(time.Duration(w.Sched.Rand.Int64N(int64(2 * time.Second))))
		}
		w.Store.SetDown(false)
		w.Run(20 * time.Second)
		is := is.New(t)
		one, more := w.Owned()
		is.Equal(one, wantedKeys(w))
		is.Equal(more, 0)
		checkPromises(t, w)
	})
}

// randomFault brings about one fault that ends by itself.
func randomFault(w *World) {
	r := w.Sched.Rand
	n := w.Nodes[r.IntN(len(w.Nodes))]
	span := time.Duration(r.Int64N(int64(4 * time.Second)))
	servers := w.ServersIn(w.Zones[r.IntN(4)])
	server := servers[r.IntN(len(servers))]
	switch r.IntN(8) {
	case 0:
		if n.IsRunning() && len(w.LiveNodes()) > 6 {
			n.Crash()
			w.Sched.After(span, func() { w.AddNode(n.VM, n.Zone) })
		}
	case 1:
		n.Freeze()
		w.Sched.After(span, n.Thaw)
	case 2:
		others := w.VMs(n.VM)
		w.Links.Isolate(n.VM, others)
		w.Sched.After(span, func() { w.Links.Rejoin(n.VM, others) })
	case 3:
		for _, o := range w.VMs(n.VM) {
			w.Links.Cut(n.VM, o)
			w.Sched.After(span, func() { w.Links.Heal(n.VM, o) })
		}
	case 4:
		server.Restart()
	case 5:
		server.Down = true
		w.Sched.After(span, func() {
			server.Restart()
			server.Down = false
		})
	case 6:
		w.Store.SetDown(!w.Store.Down)
	case 7:
		w.Store.LoseWriteAnswers = !w.Store.LoseWriteAnswers
	}
}
