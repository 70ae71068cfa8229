package dispatch

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// latencyUnit is the resolution of measured latencies.
	latencyUnit    = 100 * time.Microsecond
	latencyMax     = 30 * time.Second
	latencyDigits  = 1
	latencyWindows = 6
	// latencyRotation is the length of one window; all windows together bound the age of a
	// measured latency.
	latencyRotation = time.Second
	// latencyRefresh is how old the quantiles may be.
	latencyRefresh = 250 * time.Millisecond
	// minSamples is the number of latencies from which quantiles are taken.
	minSamples = 20
)

// latencies measures how long the attempts of one route take. The quantiles are over all
// servers, since one server alone answers too seldom.
type latencies struct {
	hist      *hdrhistogram.WindowedHistogram
	samples   int64
	rotated   model.Time
	refreshed model.Time
	median    time.Duration
	high      time.Duration // 95th percentile
}

// newLatencies starts with guesses from the time within which an answer has its full worth.
func newLatencies(target time.Duration, now model.Time) *latencies {
	if target <= 0 {
		target = defaultTarget
	}
	return &latencies{
		hist:      hdrhistogram.NewWindowed(latencyWindows, 1, int64(latencyMax/latencyUnit), latencyDigits),
		rotated:   now,
		refreshed: now,
		median:    time.Duration(guessMedian * float64(target)),
		high:      time.Duration(guessHigh * float64(target)),
	}
}

const (
	// defaultTarget stands in for a route without a stated target.
	defaultTarget = 500 * time.Millisecond
	guessMedian   = 0.15
	guessHigh     = 0.35
	highQuantile  = 95
)

func (l *latencies) record(d time.Duration, now model.Time) {
	for now.Sub(l.rotated) >= latencyRotation {
		l.hist.Rotate()
		l.rotated = max(l.rotated.Add(latencyRotation), now.Add(-latencyWindows*latencyRotation))
	}
	// A value outside the range is clamped, so that it cannot be refused.
	_ = l.hist.Current.RecordValue(min(max(int64(d/latencyUnit), 1), int64(latencyMax/latencyUnit)))
	l.samples++
	if now.Sub(l.refreshed) < latencyRefresh || l.samples < minSamples {
		return
	}
	l.refreshed = now
	merged := l.hist.Merge()
	if merged.TotalCount() < minSamples {
		return
	}
	l.median = time.Duration(merged.ValueAtQuantile(50)) * latencyUnit
	l.high = time.Duration(merged.ValueAtQuantile(highQuantile)) * latencyUnit
}

const (
	// hedgeMedians is the number of medians after which an attempt is late.
	hedgeMedians = 2
	// minHedge keeps hedges from chasing the noise of very fast routes.
	minHedge = 4 * time.Millisecond
)

// hedgeAfter returns how long an attempt may take before another server is asked too. The
// 95th percentile alone comes too late where pauses make up five in a hundred attempts.
func (l *latencies) hedgeAfter() time.Duration {
	return max(min(l.high, hedgeMedians*l.median), minHedge)
}
