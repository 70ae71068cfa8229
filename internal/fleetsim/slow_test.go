package fleetsim

import (
	"testing"
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// slowPlay is a rollout to a version with another latency.
type slowPlay struct {
	name     string
	vms      int
	perSec   float64
	work     time.Duration // mean time of an answer of the old version
	slowdown float64       // of the target version
	from     time.Duration // age of the rollout from which it is slow
}

func (p slowPlay) play(seed uint64) *observer {
	f := newFleet(seed, p.vms, p.perSec)
	f.work = p.work / 2
	f.runUntil(orderedAt)
	f.startRollout(-1)
	f.change(newVersion, func(s *server) { s.slowdown, s.slowFrom = p.slowdown, orderedAt.Add(p.from) })
	f.runUntil(orderedAt.Add(f.duration + playedAfter))
	return &f.seen
}

// Guards against completing a version that is several times as slow, because too few latencies of the old
// version are known on each VM to compare it with.
func TestSlowVersionIsRolledBack(t *testing.T) {
	plays := []slowPlay{
		{"rate of a sheet", 9, 22.5, 60 * time.Millisecond, 5, 0},
		{"three times as slow", 9, 22.5, 60 * time.Millisecond, 3, 0},
		{"short work", 9, 22.5, 20 * time.Millisecond, 4, 0},
		{"low rate", 9, 10, 60 * time.Millisecond, 5, 0},
		{"low rate, three times as slow", 9, 10, 60 * time.Millisecond, 3, 0},
		{"higher rate", 9, 45, 60 * time.Millisecond, 5, 0},
		{"higher rate, three times as slow", 9, 45, 60 * time.Millisecond, 3, 0},
		{"few VMs", 2, 20, 60 * time.Millisecond, 4, 0},
		{"many VMs", 60, 150, 60 * time.Millisecond, 5, 0},
		{"high rate", 6, 400, 30 * time.Millisecond, 3, 0},
		{"slow after 3 s", 9, 22.5, 60 * time.Millisecond, 5, 3 * time.Second},
		{"slow after 3 s, high rate", 6, 400, 30 * time.Millisecond, 4, 3 * time.Second},
	}
	for _, p := range plays {
		t.Run(p.name, func(t *testing.T) {
			for seed := range uint64(2 * seeds) {
				o := p.play(seed)
				if v := o.violation(); v != "" || o.state != model.RolloutRolledBack {
					t.Errorf("seed %d: %s after %s and %d slow answers; %s", seed, o.state, o.stateAt.Sub(o.ordered), o.bad, v)
				}
			}
		})
	}
}

// Guards against a good version that is not completed by its deadline, because its latencies cannot be
// compared or differ a little.
func TestVersionOfLikeLatencyIsCompleted(t *testing.T) {
	plays := []slowPlay{
		{"rate of a sheet", 9, 22.5, 60 * time.Millisecond, 1, 0},
		{"a little slower", 9, 22.5, 60 * time.Millisecond, 1.2, 0},
		{"low rate", 9, 10, 60 * time.Millisecond, 1, 0},
		{"few VMs, a little slower", 2, 20, 60 * time.Millisecond, 1.2, 0},
		{"short work", 9, 22.5, 10 * time.Millisecond, 1, 0},
		{"many VMs", 60, 150, 60 * time.Millisecond, 1, 0},
		{"high rate, a little slower", 6, 400, 30 * time.Millisecond, 1.2, 0},
	}
	for _, p := range plays {
		t.Run(p.name, func(t *testing.T) {
			for seed := range uint64(2 * seeds) {
				if o := p.play(seed); o.state != model.RolloutCompleted || o.stateAt.Sub(o.ordered) > o.duration {
					t.Errorf("seed %d: %s after %s", seed, o.state, o.stateAt.Sub(o.ordered))
				}
			}
		})
	}
}
