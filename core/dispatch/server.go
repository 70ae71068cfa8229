package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// slownessGain is the weight of a new latency in a server's slowness.
	slownessGain = 0.3
	// slownessMemory is how fast a slowness that is not confirmed is forgotten.
	slownessMemory = 3 * time.Second
	// slownessMax bounds the effect of one very long latency.
	slownessMax = 30
	failureGain = 0.3
	// failureCost is the wait, in medians of the route, that a server which always fails is
	// taken to add.
	failureCost   = 40
	failureMemory = 2 * time.Second
	// refusedFor is how long a server that turned an attempt away counts as full.
	refusedFor = 100 * time.Millisecond
	// lostFor is how long a server that could not be reached is avoided.
	lostFor = 500 * time.Millisecond
	// connectCost is the wait that a server without a kept connection is taken to add. It is
	// scaled by a preference of this VM, so that many VMs spread over the servers and each
	// keeps few connections.
	connectCost = 10 * time.Millisecond
	// keptFor is how long after an answer a connection is taken to be kept.
	keptFor = 8 * time.Second
	// avoidCost is the wait, in medians of the route, that an avoided server is taken to add.
	avoidCost = 20
)

// serverKey names one start of a backend server.
type serverKey struct {
	id   model.BackendServerID
	born int64 // Unix milliseconds
}

func keyOf(r *model.Replica) serverKey { return serverKey{id: r.ID, born: r.StartedAt.UnixMilli()} }

// server is what this VM has seen of a backend server.
type server struct {
	running map[model.AttemptID]model.Time // when each attempt was sent
	// slowness is the latency of the server relative to its route's median; 1 is usual.
	slowness   float64
	slowAt     model.Time // last change of slowness
	failures   float64    // recent share of attempts that failed
	failedAt   model.Time
	avoidUntil model.Time
	// lostAddress is an address that another server has taken over; "none" until one has.
	lostAddress string
	answeredAt  model.Time // last answer of any kind
	cold        cold
	rank        float64 // fixed preference of this VM among servers, in [0, 1)
}

func newServer(self model.VM, id model.BackendServerID) *server {
	return &server{
		running:     make(map[model.AttemptID]model.Time),
		slowness:    1,
		lostAddress: noAddress,
		rank:        rank(self, string(id)),
	}
}

// noAddress is no server's address.
const noAddress = "none"

// rank is a fixed preference of a VM among named things, in [0, 1).
func rank(self model.VM, name string) float64 {
	h := xxhash.Sum64String(string(self) + "\x00" + name)
	return float64(h>>11) / (1 << 53)
}

func decay(since time.Duration, memory time.Duration) float64 {
	return math.Exp(-float64(since) / float64(memory))
}

func (s *server) currentSlowness(now model.Time) float64 {
	return 1 + (s.slowness-1)*decay(now.Sub(s.slowAt), slownessMemory)
}

// observe notes a latency in units of the route's median.
func (s *server) observe(ratio float64, now model.Time) {
	current := s.currentSlowness(now)
	s.slowness = current + slownessGain*(min(ratio, slownessMax)-current)
	s.slowAt = now
}

// observeWait notes an attempt that is still waiting, or was given up, after a time.
func (s *server) observeWait(ratio float64, now model.Time) {
	if ratio > s.currentSlowness(now) {
		s.observe(ratio, now)
	}
}

func (s *server) observeFailure(failed bool, now model.Time) {
	v := 0.0
	if failed {
		v = 1
	}
	current := s.failures * decay(now.Sub(s.failedAt), failureMemory)
	s.failures = current + failureGain*(v-current)
	s.failedAt = now
}

// stuck returns how long the oldest attempt has waited without any later answer of the server.
func (s *server) stuck(now model.Time) time.Duration {
	oldest := now
	for _, at := range s.running {
		oldest = min(oldest, at)
	}
	if s.answeredAt > oldest {
		return 0
	}
	return now.Sub(oldest)
}

// expectedWait estimates how long a new attempt takes, given the latencies of its route.
func (s *server) expectedWait(r *model.Replica, l *latencies, now model.Time) time.Duration {
	wait := float64(l.median) * s.currentSlowness(now)
	if over := len(s.running) + 1 - r.Slots; over > 0 {
		wait += wait * float64(over) / float64(r.Slots)
	}
	if stuck := s.stuck(now); stuck > l.high {
		wait += float64(stuck)
	}
	if s.answeredAt == 0 || now.Sub(s.answeredAt) > keptFor {
		wait += float64(connectCost) * (0.5 + s.rank)
	}
	cost := failureCost * s.failures * decay(now.Sub(s.failedAt), failureMemory)
	if now < s.avoidUntil {
		cost += avoidCost
	}
	return time.Duration(wait + cost*float64(l.median))
}
