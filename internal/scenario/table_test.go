package scenario

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/internal/vtime"
	"github.com/gooseberrylock/gooseberrylock/model"
)

var (
	table     = flag.Bool("table", false, "print the tables of docs/MEASUREMENTS.md")
	tableSeed = flag.Uint64("tableseed", 1, "seed of the runs in the tables")
	tableRows = flag.String("tablerows", "", "only the cases whose name contains this text")
)

// measurement is one row of the table: a deployment under load, with a fault or without.
type measurement struct {
	name   string
	load   float64
	length time.Duration
	fault  func(*Simulation) // injects the fault; may be nil
}

// perServer returns a function that injects a fault into every eighth server of the first route.
func perServer(fault func(*Simulation, *vtime.Server)) func(*Simulation) {
	return func(sim *Simulation) {
		for i, s := range sim.ServersOf(sim.Deployment.Routes[0].Route, "v1") {
			if i%8 == 0 {
				fault(sim, s)
			}
		}
	}
}

func zoneChange(sim *Simulation, out bool) {
	sim.Command(0, event.SetZone{Zone: sim.Zones[1], Out: out})
}

var measurements = []measurement{
	{"no fault, 30% load", 0.3, 20 * time.Second, nil},
	{"no fault, 50% load", 0.5, 20 * time.Second, nil},
	{"no fault, 70% load", 0.7, 20 * time.Second, nil},
	{"stragglers: 5 servers ten times slower for 5 s", 0.5, 10 * time.Second, perServer(func(sim *Simulation, s *vtime.Server) {
		normal := s.Config
		s.Config.Median *= 10
		sim.Sched.After(5*time.Second, func() { s.Config = normal })
	})},
	{"5 servers lost for 5 s, then cold", 0.5, 10 * time.Second, perServer(func(sim *Simulation, s *vtime.Server) {
		s.Down = true
		sim.Sched.After(5*time.Second, func() {
			s.Restart()
			s.Down = false
		})
	})},
	{"5 servers restart cold, twice", 0.5, 10 * time.Second, perServer(func(sim *Simulation, s *vtime.Server) {
		s.Restart()
		sim.Sched.After(2*time.Second, s.Restart)
	})},
	{"one daemon crashes", 0.5, 10 * time.Second, func(sim *Simulation) { sim.Nodes[3].Crash() }},
	{"one daemon freezes for 3 s", 0.5, 10 * time.Second, func(sim *Simulation) {
		sim.Nodes[3].Freeze()
		sim.Sched.After(3*time.Second, sim.Nodes[3].Thaw)
	}},
	{"one daemon leaves gracefully", 0.5, 10 * time.Second, func(sim *Simulation) { sim.Nodes[3].Leave() }},
	{"zone taken out, back after 8 s", 0.3, 16 * time.Second, func(sim *Simulation) {
		zoneChange(sim, true)
		sim.Sched.After(8*time.Second, func() { zoneChange(sim, false) })
	}},
	{"zone lost: 2 daemons and all its servers", 0.3, 10 * time.Second, func(sim *Simulation) {
		for _, n := range sim.Nodes {
			if n.Zone == sim.Zones[1] {
				n.Crash()
			}
		}
		for _, s := range sim.ServersIn(sim.Zones[1]) {
			s.Down = true
		}
	}},
	{"store down for the whole time", 0.5, 20 * time.Second, func(sim *Simulation) { sim.Store.SetDown(true) }},
}

// TestTable prints latency, coverage and extra load of the routes under load, with and without faults.
func TestTable(t *testing.T) {
	if !*table {
		t.Skip("prints a table with -args -table")
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	defer out.Flush()
	fmt.Fprintln(out, "| deployment\t| case\t| answers/s\t| p50 ms\t| p99 ms\t| p99.9 ms\t| coverage\t| complete\t| refused\t| extra load\t| above slots\t| above cold bound\t|")
	fmt.Fprintln(out, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	deployments := []vtime.Deployment{vtime.Haugland(), vtime.Taproom()}
	rows := make([]string, len(deployments)*len(measurements))
	var wg sync.WaitGroup
	limit := make(chan struct{}, 6)
	for i, d := range deployments {
		for j, m := range measurements {
			if !strings.Contains(m.name, *tableRows) {
				continue
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				limit <- struct{}{}
				rows[i*len(measurements)+j] = m.row(d)
				<-limit
			}()
		}
	}
	wg.Wait()
	for _, r := range rows {
		if r != "" {
			fmt.Fprintln(out, r)
		}
	}
}

func (m *measurement) row(d vtime.Deployment) string {
	sim := NewWorld(d, *tableSeed)
	sim.Warm(m.load)
	slots, cold := sim.Overruns()
	if m.fault != nil {
		m.fault(sim)
	}
	sim.Run(m.length)
	s := &sim.Stats
	slotsAfter, coldAfter := sim.Overruns()
	refused := 0
	for _, n := range s.Refused {
		refused += n
	}
	ms := func(q float64) float64 { return float64(s.Quantile(q).Microseconds()) / 1000 }
	return fmt.Sprintf("| %s\t| %s\t| %.0f\t| %.0f\t| %.0f\t| %.0f\t| %.5f\t| %.5f\t| %d\t| %.4f\t| %d\t| %d\t|",
		d.Customer, m.name, float64(s.Answers)/m.length.Seconds(), ms(50), ms(99), ms(99.9), s.Coverage(),
		float64(s.Complete)/float64(max(s.Answers, 1)), refused, s.ExtraLoad(), slotsAfter-slots, coldAfter-cold)
}

// TestTimesTable prints how long changes take until they are in force.
func TestTimesTable(t *testing.T) {
	if !*table {
		t.Skip("prints a table with -args -table")
	}
	const runs = 20
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	defer out.Flush()
	fmt.Fprintln(out, "| what\t| median\t| max\t| runs\t|")
	fmt.Fprintln(out, "|---\t|---\t|---\t|---\t|")
	for _, c := range []struct {
		name string
		run  func(seed uint64) time.Duration
	}{
		{"configuration in force on all 8 daemons, store up", func(seed uint64) time.Duration { return pauseTime(seed, false) }},
		{"configuration in force, store fails right after it accepted", func(seed uint64) time.Duration { return pauseTime(seed, true) }},
		{"last attempt in a zone after zone out, store up", func(seed uint64) time.Duration { return zoneTime(seed, false) }},
		{"last attempt in a zone after zone out, store down", func(seed uint64) time.Duration { return zoneTime(seed, true) }},
		{"searched shards have an owner again after a crash", func(seed uint64) time.Duration { return ownerTime(seed, true) }},
		{"all shards, with attempts of up to 2 s, after a crash", func(seed uint64) time.Duration { return ownerTime(seed, false) }},
	} {
		var times []time.Duration
		for seed := range uint64(runs) {
			times = append(times, c.run(seed+1))
		}
		slices.Sort(times)
		fmt.Fprintf(out, "| %s\t| %v\t| %v\t| %d\t|\n", c.name, times[runs/2].Round(time.Millisecond), times[runs-1].Round(time.Millisecond), runs)
	}
}

// pauseTime returns the time from an operator's pause command until it is in force on all daemons.
// With fail set, the store goes down right after the command is accepted.
func pauseTime(seed uint64, fail bool) time.Duration {
	sim := NewWorld(vtime.Taproom(), seed)
	sim.Run(5 * time.Second)
	sim.Nodes[0].Command(event.SetPause{Paused: true}, func(effect.CommandResult) { sim.Store.SetDown(fail) })
	took, _ := sim.WaitForViews(20*time.Second, func(v *model.View) bool { return v.Config.Paused })
	return took
}

// zoneTime returns the time from the command that takes a zone out until the last attempt on a server
// of the zone. With down set, the store is down during the command.
func zoneTime(seed uint64, down bool) time.Duration {
	sim := NewWorld(vtime.Haugland(), seed)
	sim.Warm(0.1)
	sim.Store.SetDown(down)
	commandAt := sim.Sched.Now()
	sim.Command(int(seed%8), event.SetZone{Zone: sim.Zones[2], Out: true})
	sim.Run(8 * time.Second)
	last := commandAt
	for _, s := range sim.ServersIn(sim.Zones[2]) {
		last = max(last, s.LastStart)
	}
	return last - commandAt
}

// ownerTime returns the time from a crash of a daemon until every shard key has exactly one owner. With
// searched set, the deployment has only the first two routes.
func ownerTime(seed uint64, searched bool) time.Duration {
	d := vtime.Taproom()
	if searched {
		d.Routes = d.Routes[:2]
	}
	sim := NewWorld(d, seed)
	sim.Run(10 * time.Second)
	wanted := wantedKeyCount(sim)
	sim.Nodes[seed%8].Crash()
	crashedAt := sim.Sched.Now()
	for {
		sim.Run(10 * time.Millisecond)
		if one, _ := sim.OwnerCounts(); one == wanted || sim.Sched.Now()-crashedAt > 20*time.Second {
			return sim.Sched.Now() - crashedAt
		}
	}
}
