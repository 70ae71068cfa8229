package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// slownessGain is the weight of a new latency in the moving average of a server's slowness.
	slownessGain = 0.3
	// slownessDecay is the time constant with which slowness returns to 1 without new latencies.
	slownessDecay = 3 * time.Second
	// maxSlowness limits the effect of one very long latency.
	maxSlowness = 30
	// failureGain is the weight of a new outcome in the moving average of a server's failure rate.
	failureGain = 0.3
	// failureCost is the wait, in medians of the route, that is added for a failure rate of 1.
	failureCost = 40
	// failureDecay is the time constant with which the failure rate returns to 0 without new
	// outcomes.
	failureDecay = 2 * time.Second
	// refusalAvoidance is how long a server is avoided after it refused to run an attempt, since
	// it is probably at its limit.
	refusalAvoidance = 100 * time.Millisecond
	// unreachableAvoidance is how long a server is avoided after it could not be reached.
	unreachableAvoidance = 500 * time.Millisecond
	// connectCost is the wait that is added for a server without an open connection. It is scaled
	// by serverStats.rank, which differs by VM, so that the VMs spread over the servers and each
	// keeps connections to few of them.
	connectCost = 10 * time.Millisecond
	// connectionKeepAlive is how long after an answer a connection is assumed to stay open.
	connectionKeepAlive = 8 * time.Second
	// avoidCost is the wait, in medians of the route, that is added for an avoided server.
	avoidCost = 20
)

// serverKey identifies one start of a backend server.
type serverKey struct {
	id        model.BackendServerID
	startedAt int64 // Unix milliseconds
}

func keyOf(r *model.Replica) serverKey {
	return serverKey{id: r.ID, startedAt: r.StartedAt.UnixMilli()}
}

// serverStats holds this VM's observations of a backend server.
type serverStats struct {
	running map[model.AttemptID]model.Time // time when each running attempt was sent
	// slowness is the moving average of the server's latencies in units of the route's median.
	slowness      float64
	slownessAt    model.Time // last update of slowness
	failureRate   float64    // moving average of the fraction of attempts that failed
	failureRateAt model.Time
	avoidUntil    model.Time
	// reassignedAddress is the last address of this server at which another server answered;
	// noAddress if there is none.
	reassignedAddress string
	answeredAt        model.Time // last answer of any kind
	cold              coldStart
	limit             requestLimit
	leavingAt         model.Time // when the server first said that it leaves, 0 if it has not
	restUntil         model.Time // until then the server wants no request
	rank              float64    // rank of the server for this VM, in [0, 1)
}

func newServerStats(self model.VM, id model.BackendServerID) *serverStats {
	return &serverStats{
		running:           make(map[model.AttemptID]model.Time),
		slowness:          1,
		reassignedAddress: noAddress,
		rank:              rank(self, string(id)),
	}
}

// noAddress is a value that no server's address has.
const noAddress = "none"

// rank returns a hash of the VM and a name, in [0, 1). It gives each VM a different order of
// preference that does not change.
func rank(self model.VM, name string) float64 {
	h := xxhash.Sum64String(string(self) + "\x00" + name)
	return float64(h>>11) / (1 << 53)
}

func decay(since time.Duration, timeConstant time.Duration) float64 {
	return math.Exp(-float64(since) / float64(timeConstant))
}

func (s *serverStats) currentSlowness(now model.Time) float64 {
	return 1 + (s.slowness-1)*decay(now.Sub(s.slownessAt), slownessDecay)
}

// observe records a latency, given in units of the route's median.
func (s *serverStats) observe(ratio float64, now model.Time) {
	current := s.currentSlowness(now)
	s.slowness = current + slownessGain*(min(ratio, maxSlowness)-current)
	s.slownessAt = now
}

// observeWait records how long an attempt has been waiting or was waiting when it was aborted, in
// units of the route's median. The true latency is longer, so only an increase of the slowness
// counts.
func (s *serverStats) observeWait(ratio float64, now model.Time) {
	if ratio > s.currentSlowness(now) {
		s.observe(ratio, now)
	}
}

func (s *serverStats) observeFailure(failed bool, now model.Time) {
	v := 0.0
	if failed {
		v = 1
	}
	current := s.failureRate * decay(now.Sub(s.failureRateAt), failureDecay)
	s.failureRate = current + failureGain*(v-current)
	s.failureRateAt = now
}

// stalledFor returns for how long the oldest running attempt has been waiting, or 0 if the server
// has answered any attempt since that one was sent.
func (s *serverStats) stalledFor(now model.Time) time.Duration {
	oldest := now
	for _, at := range s.running {
		oldest = min(oldest, at)
	}
	if s.answeredAt > oldest {
		return 0
	}
	return now.Sub(oldest)
}

// expectedWait estimates the time until the answer of a new attempt, from the latencies of its
// route and the statistics of the server.
func (s *serverStats) expectedWait(r *model.Replica, l *latencies, now model.Time) time.Duration {
	wait := float64(l.median) * s.currentSlowness(now)
	if excess := len(s.running) + 1 - r.Slots; excess > 0 {
		wait += wait * float64(excess) / float64(r.Slots)
	}
	if stalled := s.stalledFor(now); stalled > l.p95 {
		wait += float64(stalled)
	}
	if s.answeredAt == 0 || now.Sub(s.answeredAt) > connectionKeepAlive {
		wait += float64(connectCost) * (0.5 + s.rank)
	}
	cost := failureCost * s.failureRate * decay(now.Sub(s.failureRateAt), failureDecay)
	if now < s.avoidUntil {
		cost += avoidCost
	}
	return time.Duration(wait + cost*float64(l.median))
}
