package moves

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// TestRanks guards against an outcome that is compared with outcomes too far from it in time or twice, and
// against failures that count as fast.
func TestRanks(t *testing.T) {
	type in struct {
		ms      int // time, and latency unless it is set
		latency int
		new     bool
		failed  bool
	}
	trials := func(neighbours int, slowest uint64) (c model.RankCounts) {
		c.Trials[neighbours-1], c.Slowest[neighbours-1] = 1, slowest
		return c
	}
	tests := []struct {
		name     string
		outcomes []in
		want     model.RankCounts
	}{
		{"two on each side", []in{{0, 5, false, false}, {1, 6, false, false}, {2, 9, true, false}, {3, 7, false, false}, {4, 8, false, false}}, trials(4, 1)},
		{"only the nearest two", []in{{0, 99, false, false}, {1, 5, false, false}, {1, 5, false, false}, {2, 9, true, false}, {3, 7, false, false}, {4, 8, false, false}, {5, 99, false, false}}, trials(4, 1)},
		{"one was slower", []in{{0, 5, false, false}, {1, 6, false, false}, {2, 9, true, false}, {3, 10, false, false}, {4, 8, false, false}}, trials(4, 0)},
		{"as slow as one", []in{{0, 5, false, false}, {1, 9, false, false}, {2, 9, true, false}, {3, 7, false, false}, {4, 8, false, false}}, trials(4, 0)},
		{"first outcome", []in{{2, 9, true, false}, {3, 7, false, false}, {4, 8, false, false}}, trials(2, 1)},
		{"overdue", []in{{0, 5, false, false}, {1, 9, true, false}, {5002, 8, false, false}}, trials(1, 1)},
		{"alone", []in{{1, 9, true, false}, {5002, 8, false, false}}, model.RankCounts{}},
		{"earlier outcome too old", []in{{0, 99, false, false}, {5001, 9, true, false}, {5002, 8, false, false}, {5003, 8, false, false}}, trials(2, 1)},
		{"failure of the old version", []in{{0, 5, false, false}, {1, 1, false, true}, {2, 9, true, false}, {3, 7, false, false}, {4, 8, false, false}}, trials(4, 0)},
		{"failure of the new version", []in{{0, 5, false, false}, {2, 1, true, true}, {3, 7, false, false}, {4, 8, false, false}}, trials(3, 1)},
		{"failure of both", []in{{0, 5, false, true}, {2, 1, true, true}, {3, 7, false, false}, {4, 8, false, false}}, trials(3, 0)},
		{"not decided yet", []in{{0, 5, false, false}, {1, 6, false, false}, {2, 9, true, false}, {3, 7, false, false}}, model.RankCounts{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := NewRankingPairer()
			last := time.Duration(0)
			for _, o := range tt.outcomes {
				last = time.Duration(o.ms) * time.Millisecond
				p.Record(Outcome{Move: simMove, New: o.new, Failed: o.failed, Latency: time.Duration(o.latency) * time.Millisecond}, model.Time(last))
			}
			var sum model.RankCounts
			for _, ev := range flush(p, last) {
				sum = sum.Add(ev.Ranks)
			}
			is.Equal(sum, tt.want)
		})
	}
}

// TestRanksOfGoodVersion guards against evidence of ranks against a version that is as fast as the old one: by
// chance, while all servers turn slow for a time, and after a sample.
func TestRanksOfGoodVersion(t *testing.T) {
	const (
		workers  = 9
		rate     = 100 // queries a second over all workers
		duration = 20 * time.Second
		plays    = 500
	)
	for _, slowFor := range []time.Duration{0, time.Second, 5 * time.Second} {
		withheld := 0
		for seed := range uint64(plays) {
			rng := rand.New(rand.NewPCG(seed, 9))
			a := NewEvidenceAggregate(simMove, "vm1", 1)
			pairers := make([]*Pairer, workers)
			for i := range pairers {
				pairers[i] = NewRankingPairer()
			}
			exceeded := false
			slowFrom := time.Duration(rng.Int64N(int64(duration)))
			for i := range int(duration.Seconds()) * rate {
				now := time.Duration(i) * time.Second / rate
				latency := 8 * math.Exp(rng.NormFloat64())
				if now >= slowFrom && now < slowFrom+slowFor {
					latency *= 5
				}
				o := Outcome{Move: simMove, New: rng.Float64() < 0.1, Latency: time.Duration(latency * float64(time.Millisecond))}
				p := pairers[rng.IntN(workers)]
				p.Record(o, model.Time(now))
				a.SampleRanks(now, duration)
				for _, ev := range flush(p, now) {
					a.AddLocal(ev)
				}
				if i%10 == 0 {
					ratio, _ := a.rankRatio(a.state.route(""))
					exceeded = exceeded || ratio >= a.rankLimit()
				}
			}
			if exceeded {
				withheld++
			}
		}
		t.Logf("slow for %s: withheld %d of %d", slowFor, withheld, plays)
		if allowed := 2 * falseRankProbability * plays; float64(withheld) > allowed {
			t.Errorf("slow for %s: withheld %d of %d, at most %.0f allowed", slowFor, withheld, plays, allowed)
		}
	}
}

// TestSlowAfterSample guards against a version that turns slow late and is not found, because it was as fast as
// the old one before.
func TestSlowAfterSample(t *testing.T) {
	is := is.New(t)
	a := NewEvidenceAggregate(simMove, "vm1", 1)
	add := func(trials, slowest uint64) {
		var ev model.MoveEvidence
		ev.Ranks.Trials[3], ev.Ranks.Slowest[3] = trials, slowest
		a.AddLocal(ev)
	}
	add(40, 8)
	a.SampleRanks(2*time.Second, 7*time.Second)
	add(12, 12)
	_, bad := a.RollbackReason()
	is.True(bad)
}
