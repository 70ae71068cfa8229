package moves

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// TestPairs guards against outcomes that are paired twice, pairs of outcomes that are too far
// apart in time, and pairs across routes or moves.
func TestPairs(t *testing.T) {
	type in struct {
		ms      int
		new     bool
		failed  bool
		route   model.RouteID
		moveTwo bool
	}
	tests := []struct {
		name     string
		outcomes []in
		want     model.PairCounts
	}{
		{"one pair", []in{{ms: 0}, {ms: 1, new: true, failed: true}}, model.PairCounts{Pairs: 1, NewWorse: 1}},
		{"both failed", []in{{ms: 0, failed: true}, {ms: 1, new: true, failed: true}}, model.PairCounts{Pairs: 1}},
		{"old is paired once", []in{{ms: 0, failed: true}, {ms: 1, new: true}, {ms: 2, new: true}}, model.PairCounts{Pairs: 1, OldWorse: 1}},
		{"the latest old starts the pair", []in{{ms: 0, failed: true}, {ms: 1}, {ms: 2, new: true, failed: true}}, model.PairCounts{Pairs: 1, NewWorse: 1}},
		{"new starts the second pair", []in{{ms: 0}, {ms: 1, new: true}, {ms: 2, new: true, failed: true}, {ms: 3}}, model.PairCounts{Pairs: 2, NewWorse: 1}},
		{"old does not start the second pair", []in{{ms: 0}, {ms: 1, new: true}, {ms: 2, failed: true}, {ms: 3, new: true}, {ms: 4}}, model.PairCounts{Pairs: 2}},
		{"new is paired once", []in{{ms: 0}, {ms: 1, new: true}, {ms: 2, new: true, failed: true}, {ms: 3}, {ms: 4}}, model.PairCounts{Pairs: 2, NewWorse: 1}},
		{"the latest new starts the second pair", []in{{ms: 0}, {ms: 1, new: true}, {ms: 2, new: true, failed: true}, {ms: 3, new: true}, {ms: 4}}, model.PairCounts{Pairs: 2}},
		{"new more than 5 s before old", []in{{ms: 0}, {ms: 1, new: true}, {ms: 2, new: true}, {ms: 5003}}, model.PairCounts{Pairs: 1}},
		{"5 s apart", []in{{ms: 0}, {ms: 5000, new: true}}, model.PairCounts{Pairs: 1}},
		{"more than 5 s apart", []in{{ms: 0}, {ms: 5001, new: true}}, model.PairCounts{}},
		{"new does not start the first pair", []in{{ms: 0, new: true}, {ms: 1}}, model.PairCounts{}},
		{"other route", []in{{ms: 0, route: "other"}, {ms: 1, new: true}}, model.PairCounts{}},
		{"other move", []in{{ms: 0, moveTwo: true}, {ms: 1, new: true}}, model.PairCounts{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := NewPairer()
			for _, o := range tt.outcomes {
				out := Outcome{Route: model.Route{Route: o.route}, Move: simMove, New: o.new, Failed: o.failed}
				if o.moveTwo {
					out.Move = "m2"
				}
				p.Record(out, model.Time(time.Duration(o.ms)*time.Millisecond))
			}
			var sum model.PairCounts
			for _, ev := range flush(p, 6*time.Second) {
				sum = sum.Add(ev.Failures)
			}
			is.Equal(sum, tt.want)
			is.Equal(len(flush(p, 7*time.Second)), 0) // increments are reported once
		})
	}
}

// TestSlowThreshold guards against a threshold that depends on the outcomes it is applied to,
// or that differs from the old version's p90.
func TestSlowThreshold(t *testing.T) {
	is := is.New(t)
	p := NewPairer()
	now := model.Time(0)
	record := func(isNew bool, latency time.Duration) {
		now = now.Add(10 * time.Millisecond)
		p.Record(Outcome{Move: simMove, New: isNew, Latency: latency}, now)
	}
	for i := range 2010 { // two windows of the old version, 1 to 100 ms
		record(false, time.Duration(1+i*37%100)*time.Millisecond)
	}
	r := p.routes[pairKey{move: simMove}]
	t.Logf("threshold %s for a p90 of 90 ms", r.slowThreshold)
	is.True(r.slowThreshold >= 88*time.Millisecond && r.slowThreshold <= 92*time.Millisecond)
	before := r.slowThreshold
	for i := range 400 { // latencies increase: the threshold must not change within the current window
		record(i%2 == 1, 200*time.Millisecond)
		record(i%2 == 0, 150*time.Millisecond)
	}
	is.Equal(r.slowThreshold, before)
	ev := flush(p, time.Hour)[0]
	is.Equal(ev.Slow, model.PairCounts{Pairs: 400}) // both outcomes are slow by the earlier threshold
}

// TestFirstPairsHaveNoThreshold guards against pairs compared by a threshold that was computed
// from fewer than firstThresholdOutcomes outcomes.
func TestFirstPairsHaveNoThreshold(t *testing.T) {
	is := is.New(t)
	p := NewPairer()
	for i := range firstThresholdOutcomes {
		p.Record(Outcome{Move: simMove, New: i%2 == 1, Latency: time.Second}, 0)
		p.Record(Outcome{Move: simMove, New: i%2 == 0, Latency: time.Second}, 0)
	}
	ev := flush(p, 0)[0]
	is.Equal(ev.Failures.Pairs, uint64(firstThresholdOutcomes))
	is.Equal(ev.Slow.Pairs, uint64(0))
}

func flush(p *Pairer, at time.Duration) []model.MoveEvidence {
	var out effect.List
	p.Flush(model.Time(at), &out)
	var list []model.MoveEvidence
	for _, e := range out.Take() {
		list = append(list, e.(effect.ReportOutcomes).Evidence)
	}
	return list
}

// TestCommonFault guards against moves that are withheld because of a fault that affects both
// versions, such as a lost zone. The fault starts and ends for all workers at once, so each
// worker may add a pair with one half before and one half after the change.
func TestCommonFault(t *testing.T) {
	const (
		workers = 90
		rate    = 2000 // queries a second over all workers
		trials  = 10
		period  = 10 * time.Second
	)
	for _, stage := range stages {
		t.Run(fmt.Sprintf("share %.2f", stage.share), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			withheld := 0
			for seed := range seedCount(trials) {
				rng := rand.New(rand.NewPCG(uint64(seed), 5))
				r := &routeEvidence{}
				pairers := make([]*Pairer, workers)
				for i := range pairers {
					pairers[i] = NewPairer()
				}
				exceeded := false
				for i := range 7 * int(period.Seconds()) * rate {
					now := model.Time(i) * model.Time(time.Second) / rate
					o := Outcome{Move: simMove, New: rng.Float64() < stage.share}
					fail, latency := 0.01, 8*math.Exp(0.5*rng.NormFloat64())
					if int(now/model.Time(period))%2 == 1 {
						fail, latency = 0.5, 3*latency
					}
					o.Failed = rng.Float64() < fail
					o.Latency = time.Duration(latency * float64(time.Millisecond))
					pairers[rng.IntN(workers)].Record(o, now)
					if i%200 == 0 {
						for _, p := range pairers {
							for _, ev := range flush(p, time.Duration(now)) {
								addCounters(&r.total, ev)
							}
						}
						exceeded = exceeded || r.strongestEvidence().logRatio >= logRatioThreshold(1)
					}
				}
				if exceeded {
					withheld++
				}
			}
			t.Logf("withheld: %d of %d", withheld, trials)
			is.Equal(withheld, 0)
		})
	}
}
