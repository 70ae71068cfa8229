package main

import (
	"encoding/json"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// report is the content of report.json.
type report struct {
	Seed     uint64         `json:"seed"`
	Duration string         `json:"duration"`
	VMs      int            `json:"vms"`
	Requests int            `json:"requests"`
	Outcomes map[string]int `json:"outcomes"`
	Faults   []string       `json:"faults"`
	Rollouts []string       `json:"rollouts"`
	Broken   []string       `json:"broken"`
}

func writeReport(o options, obs *observations) error {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	r := report{Seed: o.seed, Duration: o.duration.String(), VMs: o.vms, Requests: len(obs.daemonByRequest), Outcomes: make(map[string]int), Rollouts: obs.rolloutResults, Broken: obs.violations}
	for kind, counts := range obs.outcomeCounts {
		for _, n := range counts {
			r.Outcomes[kind] += n
		}
	}
	for _, f := range obs.faults {
		r.Faults = append(r.Faults, fmt.Sprintf("%s: %.1f s to %.1f s", f.name, f.from.Seconds(), f.to.Seconds()))
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(o.dir, "report.json"), data, 0o644); err != nil {
		return err
	}
	return drawOutcomes(obs, filepath.Join(o.dir, "outcomes.png"))
}

var outcomeColors = map[string]color.Color{
	outcomeServed:  color.RGBA{G: 140, A: 255},
	outcomePartial: color.RGBA{R: 200, G: 160, A: 255},
	outcomeRefused: color.RGBA{B: 200, A: 255},
	outcomeFailed:  color.RGBA{R: 200, A: 255},
	outcomeCut:     color.RGBA{R: 120, B: 120, A: 255},
}

// drawOutcomes plots the outcomes per second, with one line below zero for each fault.
func drawOutcomes(obs *observations, path string) error {
	p := plot.New()
	p.Title.Text = "Outcomes per second; below zero: faults"
	p.X.Label.Text = "seconds"
	names := make([]string, 0, len(obs.outcomeCounts))
	for kind := range obs.outcomeCounts {
		names = append(names, kind)
	}
	slices.Sort(names)
	for _, kind := range names {
		var points plotter.XYs
		for second, n := range obs.outcomeCounts[kind] {
			points = append(points, plotter.XY{X: float64(second), Y: float64(n)})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = outcomeColors[kind]
		p.Add(line)
		p.Legend.Add(kind, line)
	}
	const lanes = 12
	for i, f := range obs.faults {
		y := -3 * float64(1+i%lanes)
		line, err := plotter.NewLine(plotter.XYs{{X: f.from.Seconds(), Y: y}, {X: f.to.Seconds(), Y: y}})
		if err != nil {
			return err
		}
		p.Add(line)
	}
	return p.Save(10*vg.Inch, 5*vg.Inch, path)
}
