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
	// latencyRotation is the length of one window. All windows together limit the age of the
	// latencies that count.
	latencyRotation = time.Second
	// latencyRefresh is the minimum interval between computations of the quantiles.
	latencyRefresh = 250 * time.Millisecond
	// minSamples is the number of latencies below which the quantiles are not computed.
	minSamples = 20
)

// latencies holds the latency distribution of the attempts of one route. The quantiles are over
// all servers, since a single server answers too few attempts.
type latencies struct {
	hist      *hdrhistogram.WindowedHistogram
	samples   int64
	rotated   model.Time
	refreshed model.Time
	median    time.Duration
	p95       time.Duration
}

// newLatencies returns latencies whose initial quantiles are fixed fractions of the route's target
// latency.
func newLatencies(target time.Duration, now model.Time) *latencies {
	if target <= 0 {
		target = defaultTarget
	}
	return &latencies{
		hist:      hdrhistogram.NewWindowed(latencyWindows, 1, int64(latencyMax/latencyUnit), latencyDigits),
		rotated:   now,
		refreshed: now,
		median:    time.Duration(initialMedianShare * float64(target)),
		p95:       time.Duration(initialP95Share * float64(target)),
	}
}

const (
	// defaultTarget is used for a route without a configured target.
	defaultTarget      = 500 * time.Millisecond
	initialMedianShare = 0.15
	initialP95Share    = 0.35
	highQuantile       = 95
)

func (l *latencies) record(d time.Duration, now model.Time) {
	for now.Sub(l.rotated) >= latencyRotation {
		l.hist.Rotate()
		l.rotated = max(l.rotated.Add(latencyRotation), now.Add(-latencyWindows*latencyRotation))
	}
	// The value is clamped to the histogram's range, so that RecordValue returns no error.
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
	l.p95 = time.Duration(merged.ValueAtQuantile(highQuantile)) * latencyUnit
}

const (
	// hedgeMedians is the number of medians after which an attempt is hedged.
	hedgeMedians = 2
	// minHedgeDelay avoids hedges caused by latency noise on very fast routes.
	minHedgeDelay = 4 * time.Millisecond
)

// hedgeAfter returns how long to wait for an attempt before it is hedged. The 95th percentile
// alone would be too long if 5% of the attempts are delayed by pauses of servers.
func (l *latencies) hedgeAfter() time.Duration {
	return max(min(l.p95, hedgeMedians*l.median), minHedgeDelay)
}
