package admission

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// Cold-start rules of design 4.3.
const (
	// RampCompletions is the number of successes at a limit after which it is raised by one.
	RampCompletions = 8
	// ShedHold is the time after a shed reply for which the reduced limit is not raised.
	ShedHold = time.Second
	// LatencyStep is the ratio of recent to long-term latency above which a server is treated
	// as restarted.
	LatencyStep = 4
)

const (
	// With recentWeight and sampleClip, at least five slow samples in close succession are needed
	// to exceed LatencyStep, so a single slow attempt never does, however long it takes.
	recentWeight   = 1.0 / 8
	sampleClip     = 8
	longTermWeight = 1.0 / 256
	serviceWeight  = 1.0 / 32
	// minLongTermSamples is the number of samples after which the long-term latency is used.
	minLongTermSamples = 32

	// recentFailurePeriod is the time after a failure for which other replicas are preferred.
	recentFailurePeriod = 250 * time.Millisecond
	// failingThreshold is the number of consecutive failures after which a replica gets no
	// requests for recentFailurePeriod while another one is healthy. A server that fails fast
	// would otherwise attract load, since its slots are free.
	failingThreshold = 3
	// coldThreshold is the number of consecutive failures after which a replica is treated as
	// cold: a server that was overloaded in its cold start fails all requests without a new
	// boot. coldRampThreshold applies instead while its limit is still being raised.
	coldThreshold     = 8
	coldRampThreshold = 2
)

// server is the state of one backend server of a shard key.
type server struct {
	config model.BackendServer
	usable bool

	slots     int // maximum of limit: the lower of the configured slots and connections
	coldLimit int
	warmAfter int        // successes at coldLimit before the limit is raised
	limit     int        // at 0, one attempt is allowed after the hold; see limitAt
	successes int        // at the current limit
	holdUntil model.Time // the limit is not raised before this time
	reducedAt model.Time // time of the last reduction by a shed reply
	// generation is incremented by each cold start and handover. Completions of attempts of an
	// older generation do not raise the limit.
	generation uint64

	boot     model.Boot
	lastBoot model.Boot // previous boot, which late replies may still carry
	// unconfirmed is set from a handover with a known boot until the first reply. The server may
	// have restarted since the last reply to the previous owner, so the attempts of this owner
	// are limited to coldLimit.
	unconfirmed bool

	inFlight  int          // attempts of this owner, including cancelled ones, until AttemptDone
	inherited []model.Time // times at which the previous owner's attempts end, sorted

	selection           selectionStats
	recent              average
	longTerm            average
	failedAt            model.Time
	consecutiveFailures int
}

// average is an exponentially weighted moving average, exact over its first samples.
type average struct {
	value   float64
	samples int
}

func (a *average) empty() bool { return a.samples == 0 }

func (a *average) add(v, weight float64) {
	a.samples++
	a.value += (v - a.value) * max(weight, 1/float64(a.samples))
}

// limitAt returns the number of attempts that may be in flight. After a hold that reduced the
// limit to 0, it allows one attempt.
func (s *server) limitAt(now model.Time) int {
	if s.limit == 0 && now >= s.holdUntil {
		return min(1, s.slots)
	}
	return min(s.limit, s.slots)
}

// inFlightAt returns the number of attempts that occupy a slot, including inherited ones.
func (s *server) inFlightAt(now model.Time) int {
	s.dropExpired(now)
	return s.inFlight + len(s.inherited)
}

func (s *server) dropExpired(now model.Time) {
	for len(s.inherited) > 0 && s.inherited[0] <= now {
		s.inherited = s.inherited[1:]
	}
}

func (s *server) hasFreeSlot(now model.Time) bool {
	if s.unconfirmed && s.inFlight >= s.coldLimit {
		return false
	}
	return s.usable && s.inFlightAt(now) < s.limitAt(now)
}

func (s *server) setLimits(l model.Limits) {
	s.slots = max(0, min(l.Slots, l.Connections))
	s.coldLimit = min(max(1, l.ColdSlots), s.slots)
	s.warmAfter = max(l.WarmAfter, RampCompletions)
	s.limit = min(s.limit, s.slots) // added slots become available only as the limit is raised
}

// resume continues the cold start from the state of the previous owner. It starts a new
// generation, so that attempts which this owner started in an earlier term do not raise the
// limit.
func (s *server) resume(state *model.ServerState, now model.Time) {
	limit := min(max(0, state.Limit), s.slots)
	if now < s.holdUntil {
		limit = min(limit, s.limit)
	}
	s.limit = limit
	s.successes = max(0, state.Successes)
	s.generation++
	s.unconfirmed = state.Boot != 0
	s.recent = s.longTerm
	if state.Boot != 0 && state.Boot != s.boot {
		s.lastBoot = s.boot
		s.boot = state.Boot
	}
}

// resetToCold starts a new cold start. It does not raise the limit during a hold.
func (s *server) resetToCold(now model.Time) {
	if now < s.holdUntil {
		s.limit = min(s.limit, s.coldLimit)
	} else {
		s.limit = s.coldLimit
	}
	s.successes = 0
	s.unconfirmed = false
	s.generation++
	s.recent = s.longTerm
}

// observe updates the state with the result of an attempt. It reports whether a cold start
// began and whether a latency step was its cause.
func (s *server) observe(a *attempt, res *model.AttemptResult, now model.Time) (cold, step bool) {
	if a.generation == s.generation && (res.Boot != 0 || res.Outcome == model.OutcomeOK) {
		s.unconfirmed = false
	}
	restarted := s.observeBoot(res.Boot)
	// A timeout shorter than the usual latency does not indicate a failure of the server.
	slow := float64(now.Sub(a.started)) > s.recent.value
	if restarted {
		s.resetToCold(now)
	}
	switch res.Outcome {
	case model.OutcomeRefusedConnection, model.OutcomeLost:
		s.resetToCold(now)
		s.recordFailure(now)
		return true, false
	case model.OutcomeShed:
		s.reduceLimit(a, now)
		s.recordFailure(now)
	case model.OutcomeFailed:
		s.recordFailure(now)
		if s.failedUnderLoad() {
			s.resetToCold(now)
			return true, false
		}
	case model.OutcomeTimeout:
		if slow {
			s.recordFailure(now)
		}
	case model.OutcomeOK:
		s.consecutiveFailures = 0
	}
	if restarted {
		return true, false
	}
	if s.observeLatency(a, res.Outcome, now) {
		s.resetToCold(now)
		return true, true
	}
	if res.Outcome == model.OutcomeOK {
		s.recordSuccess(a, now)
	}
	return false, false
}

// observeBoot records the boot of a reply and reports whether the server has restarted.
func (s *server) observeBoot(b model.Boot) bool {
	if b == 0 || b == s.boot || b == s.lastBoot {
		return false
	}
	restarted := s.boot != 0
	s.lastBoot = s.boot
	s.boot = b
	return restarted
}

func (s *server) recordFailure(now model.Time) {
	s.failedAt = now
	s.consecutiveFailures++
}

// reduceLimit lowers the limit by one after a shed reply and starts a hold. Shed replies to
// attempts that started before the last reduction only extend the hold, so that a burst of
// them lowers the limit once.
func (s *server) reduceLimit(a *attempt, now model.Time) {
	if a.started >= s.reducedAt {
		s.limit = max(0, s.limitAt(now)-1)
		s.reducedAt = now
	}
	s.successes = 0
	s.holdUntil = now.Add(ShedHold)
}

// recordSuccess counts a success and raises the limit after requiredSuccesses of them. It
// does nothing at the maximum, during a hold, or for an attempt of an older generation.
func (s *server) recordSuccess(a *attempt, now model.Time) {
	limit := s.limitAt(now)
	if limit >= s.slots || a.generation != s.generation || now < s.holdUntil {
		return
	}
	s.successes++
	if s.successes >= s.requiredSuccesses(limit) {
		s.limit = limit + 1
		s.successes = 0
	}
}

// requiredSuccesses returns the number of successes after which a limit is raised.
func (s *server) requiredSuccesses(limit int) int {
	if limit <= s.coldLimit {
		return s.warmAfter
	}
	return RampCompletions
}

// failedUnderLoad reports whether the consecutive failures indicate that the server was
// overloaded in its cold start.
func (s *server) failedUnderLoad() bool {
	if s.limit >= s.slots {
		return s.consecutiveFailures >= coldThreshold && s.consecutiveFailures%coldThreshold == 0
	}
	return s.consecutiveFailures >= coldRampThreshold && s.limit > s.coldLimit
}

// observeLatency adds the latency of an attempt and reports whether the recent latency is above
// LatencyStep times the long-term one. The latency of a timed-out or cancelled attempt is a lower
// bound, so it counts only if it is above the average.
func (s *server) observeLatency(a *attempt, outcome model.OutcomeCode, now model.Time) bool {
	latency := float64(now.Sub(a.started))
	switch outcome {
	case model.OutcomeOK:
	case model.OutcomeTimeout, model.OutcomeCancelled:
		if latency <= s.recent.value {
			return false
		}
	default:
		return false
	}
	s.observeSelectionLatency(latency, outcome == model.OutcomeOK)
	enoughSamples := s.longTerm.samples >= minLongTermSamples
	sample := latency
	if enoughSamples {
		sample = min(latency, sampleClip*s.longTerm.value)
	}
	s.recent.add(sample, recentWeight)
	s.longTerm.add(latency, longTermWeight)
	return enoughSamples && s.recent.value > LatencyStep*s.longTerm.value
}

// observeSelectionLatency updates the latency for the choice between replicas. A straggler
// whose latency is again near its long-term average has recovered.
func (s *server) observeSelectionLatency(latency float64, exact bool) {
	slow := s.selection.latency.value > stragglerRatio*s.longTerm.value
	if exact && slow && latency < 2*s.longTerm.value {
		s.selection.reset(latency)
		return
	}
	s.selection.observe(latency, exact)
}

func (s *server) failedRecently(now model.Time) bool {
	return s.consecutiveFailures > 0 && now < s.failedAt.Add(recentFailurePeriod)
}

// failing reports whether the server gets no requests while another one is healthy.
func (s *server) failing(now model.Time) bool {
	return s.consecutiveFailures >= failingThreshold && s.failedRecently(now)
}

// nextChange returns the next time at which a slot may become free without an event, or
// model.Never.
func (s *server) nextChange(now model.Time) model.Time {
	if !s.usable {
		return model.Never
	}
	at := model.Never
	if s.inFlightAt(now) > s.inFlight {
		at = s.inherited[0]
	}
	if s.holdUntil > now {
		at = min(at, s.holdUntil)
	}
	if s.failing(now) {
		at = min(at, s.failedAt.Add(recentFailurePeriod))
	}
	return at
}

// totalLimit returns the sum of the limits of the usable replicas.
func (k *shardKey) totalLimit(now model.Time) int {
	n := 0
	for _, s := range k.servers {
		if s.usable {
			n += s.limitAt(now)
		}
	}
	return n
}

// ServerLoad is the load of one backend server as counted by the owner of the key.
type ServerLoad struct {
	Key      model.ShardKey
	Server   model.BackendServerID
	InFlight int // attempts that occupy a slot, including those of the previous owner
	Limit    int // attempts that may be in flight now
	Usable   bool
}

// Load returns the load of all backend servers at the given time, sorted by key and server.
func (o *Owner) Load(now model.Time) []ServerLoad {
	var all []ServerLoad
	for _, k := range o.order {
		for _, s := range k.servers {
			all = append(all, ServerLoad{k.id, s.config.ID, s.inFlightAt(now), s.limitAt(now), s.usable})
		}
	}
	return all
}
