// Command plots draws the charts in docs/img from simulations that run in virtual time.
package main

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/gooseberrylock/gooseberrylock/internal/scenario"
	"github.com/gooseberrylock/gooseberrylock/internal/vtime"
)

const (
	width  = 16 * vg.Centimeter
	height = 10 * vg.Centimeter

	loadSpan = 10 * time.Second // length of the measurement at each load
	moveSpan = 95 * time.Second // length of a move simulation; includes the deadline at 90 s
	seed     = 1
)

func main() {
	out := flag.String("out", "docs/img", "directory for the PNG files")
	flag.Parse()
	if err := draw(*out); err != nil {
		fmt.Fprintln(os.Stderr, "plots:", err)
		os.Exit(1)
	}
}

func draw(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create the output directory: %w", err)
	}
	if err := drawLatency(filepath.Join(dir, "latency.png")); err != nil {
		return fmt.Errorf("draw latency: %w", err)
	}
	if err := drawMoves(filepath.Join(dir, "moves.png")); err != nil {
		return fmt.Errorf("draw moves: %w", err)
	}
	return nil
}

// loadPercents are the loads at which latency is measured, in percent of the capacity.
var loadPercents = []int{10, 20, 30, 40, 50, 60, 70, 80, 90}

// drawLatency plots the latency of Haugland's portal search against the load.
func drawLatency(file string) error {
	quantiles := []float64{50, 99, 99.9}
	lines := make([]plotter.XYs, len(quantiles))
	for i := range lines {
		lines[i] = make(plotter.XYs, len(loadPercents))
	}
	var wg sync.WaitGroup
	limit := make(chan struct{}, 4)
	for i, load := range loadPercents {
		wg.Add(1)
		go func() {
			defer wg.Done()
			limit <- struct{}{}
			stats := portalSearch(float64(load) / 100)
			for q := range quantiles {
				lines[q][i] = plotter.XY{X: float64(load), Y: stats.Quantile(quantiles[q]).Seconds() * 1000}
			}
			<-limit
		}()
	}
	wg.Wait()
	p := plot.New()
	p.Title.Text = "Haugland portal search, 20 shards x 2 replicas"
	p.X.Label.Text = "load (% of capacity)"
	p.Y.Label.Text = "latency (ms)"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.ConstantTicks(millisecondTicks())
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	if err := plotutil.AddLinePoints(p, "p50", lines[0], "p99", lines[1], "p99.9", lines[2]); err != nil {
		return err
	}
	p.Y.Min = 10
	p.Y.Max = 1200
	return p.Save(width, height, file)
}

func millisecondTicks() []plot.Tick {
	var ticks []plot.Tick
	for _, v := range []float64{10, 20, 50, 100, 200, 500, 1000} {
		ticks = append(ticks, plot.Tick{Value: v, Label: fmt.Sprint(v)})
	}
	return ticks
}

func portalSearch(load float64) *scenario.Stats {
	d := vtime.Haugland()
	d.Routes = d.Routes[:1]
	w := scenario.NewWorld(d, seed)
	w.Warm(load)
	w.Run(loadSpan)
	return &w.Stats
}

// drawMoves plots the traffic share of the new version over time, as applied by the daemons: once
// for a good version and once for one that becomes three times slower at a share of 25%.
func drawMoves(file string) error {
	good := highestShares(func(*scenario.MoveRun) {})
	bad := highestShares(func(r *scenario.MoveRun) {
		r.OnShare = func(share float64) {
			if share >= 0.25 {
				r.Spoil(len(r.Deployment.Routes), func(c *vtime.ServerConfig) { c.Median *= 3 })
				r.OnShare = nil
			}
		}
	})
	p := plot.New()
	p.Title.Text = "Share of the new version in force on 8 daemons"
	p.X.Label.Text = "time since the start of the move (s)"
	p.Y.Label.Text = "share of queries, highest of the daemons (%)"
	p.X.Min, p.X.Max = 0, moveSpan.Seconds()
	p.Y.Min, p.Y.Max = 0, 105
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	deadline := scenario.MoveLength.Seconds()
	lines := []any{
		"good version", good,
		"bad version, three times slower from 25% on", bad,
		"deadline", plotter.XYs{{X: deadline, Y: 0}, {X: deadline, Y: 105}},
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(width, height, file)
}

// highestShares simulates a move and returns, for each sample time, the highest share that any
// daemon applies to the new version.
func highestShares(prepare func(*scenario.MoveRun)) plotter.XYs {
	r := scenario.NewMoveRun(seed, false)
	prepare(r)
	r.Begin()
	r.Run(moveSpan)
	highest := make(map[time.Duration]float64)
	for _, s := range r.Samples {
		highest[s.At] = max(highest[s.At], s.Share)
	}
	points := make(plotter.XYs, 0, len(highest))
	for at, share := range highest {
		points = append(points, plotter.XY{X: at.Seconds(), Y: 100 * share})
	}
	slices.SortFunc(points, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
	return points
}
