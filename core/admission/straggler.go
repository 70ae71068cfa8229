package admission

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// stragglerRatio is the ratio of a replica's latency to that of the fastest replica above
	// which it is a straggler.
	stragglerRatio = 3
	// minStragglerSamples is the number of latency samples that a replica needs before it is
	// compared with others.
	minStragglerSamples = 8
	// A straggler still gets single requests as probes, which show whether it has recovered.
	// The interval between probes doubles from minProbeInterval to maxProbeInterval.
	minProbeInterval = 250 * time.Millisecond
	maxProbeInterval = 2 * time.Second
)

// selectionStats holds the latency of a replica for the choice between replicas. Unlike the
// averages that detect a restart, its samples are not clipped and a cold start does not reset
// it.
type selectionStats struct {
	latency       average
	probeAt       model.Time // time of the next probe, if the replica is a straggler
	probeInterval time.Duration
}

// observe adds the latency of an attempt in nanoseconds. If exact is false, the latency is a
// lower bound, and it is added only if it is above the average.
func (p *selectionStats) observe(latency float64, exact bool) {
	if exact || latency > p.latency.value {
		p.latency.add(latency, recentWeight)
	}
}

// fastestServer returns the replica with the lowest latency among those that may get the
// request, or nil. Replicas with too few samples are left out.
func (k *shardKey) fastestServer(r *request, now model.Time) *server {
	var best *server
	for _, s := range k.servers {
		if !s.usable || s.limitAt(now) == 0 || s.failedRecently(now) || r.triedOn(s) || s.selection.latency.samples < minStragglerSamples {
			continue
		}
		if best == nil || s.selection.latency.value < best.selection.latency.value {
			best = s
		}
	}
	return best
}

// isStraggler reports whether the latency of s is more than stragglerRatio times that of the
// fastest replica.
func (s *server) isStraggler(fastest *server) bool {
	return fastest != nil && s != fastest && s.selection.latency.samples >= minStragglerSamples &&
		s.selection.latency.value > stragglerRatio*fastest.selection.latency.value
}

// mayUseStraggler reports whether a straggler may get a request although a faster replica
// exists: when a probe is due, or when the expected wait for the faster replica is longer than
// the difference of the latencies.
func (k *shardKey) mayUseStraggler(s, fastest *server, now model.Time) bool {
	if now >= s.selection.probeAt {
		return true
	}
	wait := fastest.selection.latency.value * float64(k.queue.len()) / float64(fastest.limitAt(now))
	return wait > s.selection.latency.value-fastest.selection.latency.value
}

// scheduleProbe sets the time of the next probe. It is called when an attempt starts on a
// straggler.
func (p *selectionStats) scheduleProbe(now model.Time) {
	p.probeInterval = min(max(2*p.probeInterval, minProbeInterval), maxProbeInterval)
	p.probeAt = now.Add(p.probeInterval)
}

// reset replaces the latency of a straggler that has recovered, so that its earlier slow
// samples no longer count.
func (p *selectionStats) reset(latency float64) {
	p.latency = average{value: latency, samples: minStragglerSamples}
	p.probeInterval = 0
}
