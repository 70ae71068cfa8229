package admission

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// stragglerRatio is the ratio of latencies from which a replica counts as a straggler
	// beside the fastest one.
	stragglerRatio = 3
	// paceSamples is the number of samples after which the latency of a replica is compared.
	paceSamples = 8
	// A straggler gets a request now and then, which shows when it has recovered. The time
	// between two doubles while it is still slow.
	firstProbe = 250 * time.Millisecond
	maxProbe   = 2 * time.Second
)

// pace is the latency of a replica as it matters for the choice between replicas. Unlike the
// averages that detect a cold start it has no clipping and is not reset.
type pace struct {
	latency   average
	probeAt   model.Time // a straggler may get a request from then on
	probeWait time.Duration
}

// observe takes in the latency of an attempt, or a lower bound of it.
func (p *pace) observe(latency float64, exact bool) {
	if exact || latency > p.latency.value {
		p.latency.add(latency, recentWeight)
	}
}

// fastest returns the replica with the lowest latency among those that could take a request.
func (k *shardKey) fastest(r *request, now model.Time) *server {
	var best *server
	for _, s := range k.servers {
		if !s.usable || s.limitAt(now) == 0 || s.failedRecently(now) || r.triedOn(s) || s.pace.latency.samples < paceSamples {
			continue
		}
		if best == nil || s.pace.latency.value < best.pace.latency.value {
			best = s
		}
	}
	return best
}

// straggles reports whether s is much slower than the fastest replica.
func (s *server) straggles(fastest *server) bool {
	return fastest != nil && s != fastest && s.pace.latency.samples >= paceSamples &&
		s.pace.latency.value > stragglerRatio*fastest.pace.latency.value
}

// worthwhile reports whether a straggler may take a request although a faster replica exists:
// when it is due for a probe, or when waiting for the faster one would take longer.
func (k *shardKey) worthwhile(s, fastest *server, now model.Time) bool {
	if now >= s.pace.probeAt {
		return true
	}
	wait := fastest.pace.latency.value * float64(k.queue.len()) / float64(fastest.limitAt(now))
	return wait > s.pace.latency.value-fastest.pace.latency.value
}

// probed plans the next probe of a straggler when an attempt has started on it.
func (p *pace) probed(now model.Time) {
	p.probeWait = min(max(2*p.probeWait, firstProbe), maxProbe)
	p.probeAt = now.Add(p.probeWait)
}

// recovered forgets the slow past of a straggler that has answered as fast as the others.
func (p *pace) recovered(latency float64) {
	p.latency = average{value: latency, samples: paceSamples}
	p.probeWait = 0
}
