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

// measurement is one row: a deployment under load while something happens.
type measurement struct {
	name   string
	load   float64
	length time.Duration
	start  func(*World) // brings the fault about; may be nil
}

// perServer runs a fault on every eighth server of the first route.
func perServer(fault func(*World, *vtime.Server)) func(*World) {
	return func(w *World) {
		for i, s := range w.ServersOf(w.Deployment.Routes[0].Route, "v1") {
			if i%8 == 0 {
				fault(w, s)
			}
		}
	}
}

func zoneChange(w *World, out bool) {
	w.Command(0, event.SetZone{Zone: w.Zones[1], Out: out})
}

var measurements = []measurement{
	{"no fault, 30% load", 0.3, 20 * time.Second, nil},
	{"no fault, 50% load", 0.5, 20 * time.Second, nil},
	{"no fault, 70% load", 0.7, 20 * time.Second, nil},
	{"stragglers: 5 servers ten times slower for 5 s", 0.5, 10 * time.Second, perServer(func(w *World, s *vtime.Server) {
		normal := s.Config
		s.Config.Median *= 10
		w.Sched.After(5*time.Second, func() { s.Config = normal })
	})},
	{"5 servers lost for 5 s, then cold", 0.5, 10 * time.Second, perServer(func(w *World, s *vtime.Server) {
		s.Down = true
		w.Sched.After(5*time.Second, func() {
			s.Restart()
			s.Down = false
		})
	})},
	{"5 servers restart cold, twice", 0.5, 10 * time.Second, perServer(func(w *World, s *vtime.Server) {
		s.Restart()
		w.Sched.After(2*time.Second, s.Restart)
	})},
	{"one daemon crashes", 0.5, 10 * time.Second, func(w *World) { w.Nodes[3].Crash() }},
	{"one daemon freezes for 3 s", 0.5, 10 * time.Second, func(w *World) {
		w.Nodes[3].Freeze()
		w.Sched.After(3*time.Second, w.Nodes[3].Thaw)
	}},
	{"one daemon leaves gracefully", 0.5, 10 * time.Second, func(w *World) { w.Nodes[3].Leave() }},
	{"zone taken out, back after 8 s", 0.3, 16 * time.Second, func(w *World) {
		zoneChange(w, true)
		w.Sched.After(8*time.Second, func() { zoneChange(w, false) })
	}},
	{"zone lost: 2 daemons and all its servers", 0.3, 10 * time.Second, func(w *World) {
		for _, n := range w.Nodes {
			if n.Zone == w.Zones[1] {
				n.Crash()
			}
		}
		for _, s := range w.ServersIn(w.Zones[1]) {
			s.Down = true
		}
	}},
	{"store down for the whole time", 0.5, 20 * time.Second, func(w *World) { w.Store.SetDown(true) }},
}

// TestTable prints latency, coverage and extra load of the searched routes under faults.
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
	w := NewWorld(d, *tableSeed)
	w.Warm(m.load)
	slots, cold := w.Overruns()
	if m.start != nil {
		m.start(w)
	}
	w.Run(m.length)
	s := &w.Stats
	slotsAfter, coldAfter := w.Overruns()
	refused := 0
	for _, n := range s.Refused {
		refused += n
	}
	ms := func(q float64) float64 { return float64(s.Quantile(q).Microseconds()) / 1000 }
	return fmt.Sprintf("| %s\t| %s\t| %.0f\t| %.0f\t| %.0f\t| %.0f\t| %.5f\t| %.5f\t| %d\t| %.4f\t| %d\t| %d\t|",
		d.Customer, m.name, float64(s.Answers)/m.length.Seconds(), ms(50), ms(99), ms(99.9), s.Coverage(),
		float64(s.Complete)/float64(max(s.Answers, 1)), refused, s.ExtraLoad(), slotsAfter-slots, coldAfter-cold)
}

// TestTimesTable prints how long changes take to be in force, and what the store is asked.
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

// pauseTime is from an operator's command until all daemons have it in force.
func pauseTime(seed uint64, fail bool) time.Duration {
	w := NewWorld(vtime.Taproom(), seed)
	w.Run(5 * time.Second)
	w.Nodes[0].Command(event.SetPause{Paused: true}, func(effect.CommandResult) { w.Store.SetDown(fail) })
	took, _ := w.InForce(20*time.Second, func(v *model.View) bool { return v.Config.Paused })
	return took
}

// zoneTime is from the command until the last attempt starts on a server of the zone.
func zoneTime(seed uint64, down bool) time.Duration {
	w := NewWorld(vtime.Haugland(), seed)
	w.Warm(0.1)
	w.Store.SetDown(down)
	ordered := w.Sched.Now()
	w.Command(int(seed%8), event.SetZone{Zone: w.Zones[2], Out: true})
	w.Run(8 * time.Second)
	last := ordered
	for _, s := range w.ServersIn(w.Zones[2]) {
		last = max(last, s.LastStart)
	}
	return last - ordered
}

// ownerTime is from a crash until every shard key, or those of the searched routes only, has
// an owner again.
func ownerTime(seed uint64, searched bool) time.Duration {
	d := vtime.Taproom()
	if searched {
		d.Routes = d.Routes[:2]
	}
	w := NewWorld(d, seed)
	w.Run(10 * time.Second)
	wanted := wantedKeys(w)
	w.Nodes[seed%8].Crash()
	began := w.Sched.Now()
	for {
		w.Run(10 * time.Millisecond)
		if one, _ := w.Owned(); one == wanted || w.Sched.Now()-began > 20*time.Second {
			return w.Sched.Now() - began
		}
	}
}
