package admission

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// Cold-start rules of design 4.3.
const (
	// RampCompletions is the number of successes at one limit that prove it.
	RampCompletions = 8
	// ShedHold is the time for which a shed reply holds the reduced limit.
	ShedHold = time.Second
	// LatencyStep is the ratio of recent to long-term latency that counts as a restart.
	LatencyStep = 4
)

const (
	// recentWeight and sampleClip together need five samples in close succession to reach
	// LatencyStep, so that single stragglers of any length do not.
	recentWeight  = 1.0 / 8
	sampleClip    = 8
	longWeight    = 1.0 / 256
	serviceWeight = 1.0 / 32
	// stepSamples is the number of samples after which the long-term latency is trusted.
	stepSamples = 32

	// recentFailure is the time for which a failure makes a replica the last choice.
	recentFailure = 250 * time.Millisecond
	// failureStreak failures in a row take a replica out for recentFailure while another
	// one is healthy. A server that fails fast would otherwise draw load by being idle.
	failureStreak = 3
	// coldStreak failures in a row return a replica to cold: a server that was overrun in
	// cold start fails everything without a new boot. In the ramp fewer are enough.
	coldStreak     = 8
	coldRampStreak = 2
)

// server is the state of one backend server.
type server struct {
	config model.BackendServer
	usable bool

	slots     int // hard bound: the lower of slots and connections
	coldBound int
	warmAfter int // successes at the cold-start bound before the ramp
	limit     int // 0 only while a hold lasts
	successes int // at the current limit
	holdUntil model.Time
	reducedAt model.Time // time of the last reduction by a shed reply
	// generation rises with each return to cold; completions of older attempts prove nothing.
	generation uint64

	boot     model.Boot
	lastBoot model.Boot // the boot before; late replies may still carry it
	// unconfirmed is set from a hand-over until the first reply: the server may have
	// restarted since the previous owner heard of it, so it gets its cold-start bound only.
	unconfirmed bool

	inFlight  int          // own attempts, also cancelled ones, until reported done
	inherited []model.Time // ends of the previous owner's attempts, sorted

	pace     pace
	recent   average
	longTerm average
	failedAt model.Time
	streak   int // failures in a row
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

// limitAt returns the number of attempts that may be in flight.
func (s *server) limitAt(now model.Time) int {
	if s.limit == 0 && now >= s.holdUntil {
		return min(1, s.slots)
	}
	return min(s.limit, s.slots)
}

// inFlightAt returns the attempts that occupy a slot, including inherited ones.
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
	if s.unconfirmed && s.inFlight >= s.coldBound {
		return false
	}
	return s.usable && s.inFlightAt(now) < s.limitAt(now)
}

func (s *server) setLimits(l model.Limits) {
	s.slots = max(0, min(l.Slots, l.Connections))
	s.coldBound = min(max(1, l.ColdSlots), s.slots)
	s.warmAfter = max(l.WarmAfter, RampCompletions)
	s.limit = min(s.limit, s.slots) // added slots are not proven yet
}

// resume continues the cold start where the previous owner was. Completions of attempts
// that this owner started in an earlier term prove nothing.
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

func (s *server) toCold(now model.Time) {
	if now < s.holdUntil {
		s.limit = min(s.limit, s.coldBound)
	} else {
		s.limit = s.coldBound
	}
	s.successes = 0
	s.unconfirmed = false
	s.generation++
	s.recent = s.longTerm
}

// observe updates the state by the result of an attempt. It reports whether the server
// went back to cold and whether a latency step was the reason.
func (s *server) observe(a *attempt, res *model.AttemptResult, now model.Time) (cold, step bool) {
	if a.generation == s.generation && (res.Boot != 0 || res.Outcome == model.OutcomeOK) {
		s.unconfirmed = false
	}
	restarted := s.observeBoot(res.Boot)
	// A deadline shorter than the usual latency says nothing about the server.
	slow := float64(now.Sub(a.started)) > s.recent.value
	if restarted {
		s.toCold(now)
	}
	switch res.Outcome {
	case model.OutcomeRefusedConnection, model.OutcomeLost:
		s.toCold(now)
		s.fail(now)
		return true, false
	case model.OutcomeShed:
		s.reduce(a, now)
		s.fail(now)
	case model.OutcomeFailed:
		s.fail(now)
		if s.overrun() {
			s.toCold(now)
			return true, false
		}
	case model.OutcomeTimeout:
		if slow {
			s.fail(now)
		}
	case model.OutcomeOK:
		s.streak = 0
	}
	if restarted {
		return true, false
	}
	if s.observeLatency(a, res.Outcome, now) {
		s.toCold(now)
		return true, true
	}
	if res.Outcome == model.OutcomeOK {
		s.succeed(a, now)
	}
	return false, false
}

// observeBoot reports whether the boot shows a restart.
func (s *server) observeBoot(b model.Boot) bool {
	if b == 0 || b == s.boot || b == s.lastBoot {
		return false
	}
	restarted := s.boot != 0
	s.lastBoot = s.boot
	s.boot = b
	return restarted
}

func (s *server) fail(now model.Time) {
	s.failedAt = now
	s.streak++
}

// reduce lowers the limit after a shed reply. Replies to attempts that were started before
// the last reduction tell nothing new: one burst counts once.
func (s *server) reduce(a *attempt, now model.Time) {
	if a.started >= s.reducedAt {
		s.limit = max(0, s.limitAt(now)-1)
		s.reducedAt = now
	}
	s.successes = 0
	s.holdUntil = now.Add(ShedHold)
}

// succeed counts a completion and raises the limit when it is proven.
func (s *server) succeed(a *attempt, now model.Time) {
	limit := s.limitAt(now)
	if limit >= s.slots || a.generation != s.generation || now < s.holdUntil {
		return
	}
	s.successes++
	if s.successes >= s.proof(limit) {
		s.limit = limit + 1
		s.successes = 0
	}
}

// proof returns the number of successes that raise a limit.
func (s *server) proof(limit int) int {
	if limit <= s.coldBound {
		return s.warmAfter
	}
	return RampCompletions
}

// overrun reports whether failures in a row look like a server that fell over in cold start.
func (s *server) overrun() bool {
	if s.limit >= s.slots {
		return s.streak >= coldStreak && s.streak%coldStreak == 0
	}
	return s.streak >= coldRampStreak && s.limit > s.coldBound
}

// observeLatency reports whether the latency has stepped up. An attempt that was cut off
// gives a lower bound only, so it counts if it is above the average.
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
	s.observePace(latency, outcome == model.OutcomeOK)
	trusted := s.longTerm.samples >= stepSamples
	sample := latency
	if trusted {
		sample = min(latency, sampleClip*s.longTerm.value)
	}
	s.recent.add(sample, recentWeight)
	s.longTerm.add(latency, longWeight)
	return trusted && s.recent.value > LatencyStep*s.longTerm.value
}

// observePace updates the latency for the choice between replicas. A straggler that answers in
// its usual time, as before it slowed down, has recovered.
func (s *server) observePace(latency float64, exact bool) {
	slow := s.pace.latency.value > stragglerRatio*s.longTerm.value
	if exact && slow && latency < 2*s.longTerm.value {
		s.pace.recovered(latency)
		return
	}
	s.pace.observe(latency, exact)
}

func (s *server) failedRecently(now model.Time) bool {
	return s.streak > 0 && now < s.failedAt.Add(recentFailure)
}

func (s *server) failing(now model.Time) bool {
	return s.streak >= failureStreak && s.failedRecently(now)
}

// nextChange returns the next time at which a slot becomes free without an event.
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
		at = min(at, s.failedAt.Add(recentFailure))
	}
	return at
}

// limits returns the sum of the limits of the usable replicas.
func (k *shardKey) limits(now model.Time) int {
	n := 0
	for _, s := range k.servers {
		if s.usable {
			n += s.limitAt(now)
		}
	}
	return n
}

// ServerLoad is the load of one backend server as its owner counts it.
type ServerLoad struct {
	Key      model.ShardKey
	Server   model.BackendServerID
	InFlight int // attempts that occupy a slot, including those of the previous owner
	Limit    int // attempts that may be in flight now
	Usable   bool
}

// Load returns the load of all backend servers, sorted by key and server.
func (o *Owner) Load(now model.Time) []ServerLoad {
	var all []ServerLoad
	for _, k := range o.order {
		for _, s := range k.servers {
			all = append(all, ServerLoad{k.id, s.config.ID, s.inFlightAt(now), s.limitAt(now), s.usable})
		}
	}
	return all
}
