package vtime

import (
	"fmt"
	"math"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// ServerConfig describes the behaviour of a fake backend server.
type ServerConfig struct {
	Median    time.Duration // of the lognormal service time
	Sigma     float64       // of its logarithm
	SlowShare float64       // share of attempts that take ten times as long, 0 to 1
	FailShare float64       // share of attempts that fail, 0 to 1
	BusyFail  bool          // attempts fail that start while another one runs
	Slots     int
	ColdSlots int
	WarmAfter int // attempts that end the cold start
}

// Server is a fake backend server. It checks the promises made about its load.
type Server struct {
	ID      model.BackendServerID
	Config  ServerConfig
	sched   *Scheduler
	boot    model.Boot
	newest  model.Snapshot
	running int
	done    int
	Gone    bool // does not answer dials

	OverSlots   int            // attempts that came while all slots were taken
	OverCold    int            // attempts that came in cold start while ColdSlots were taken
	Unwarned    int            // of those, the ones dispatched before any sign of the restart reached their owner
	Executed    int            // attempts that ran
	BusyTime    time.Duration  // sum of service times
	LastStart   time.Duration  // virtual time of the last attempt
	Submits     map[string]int // runs by payload
	FellOver    int
	deadUntil   time.Duration
	snapshotFor int // snapshots kept beside the newest
	restartedAt time.Duration
	warnedAt    time.Duration // when the first sign of the last restart reached an owner; 0 for none
	resets      []func()      // break the connections of running attempts
}

func newServer(s *Scheduler, id model.BackendServerID, cfg ServerConfig) *Server {
	return &Server{
		ID: id, Config: cfg, sched: s, boot: model.Boot(s.Rand.Uint64() | 1), newest: 1,
		Submits: make(map[string]int), snapshotFor: 1,
	}
}

// Restart returns the server to cold start; the connections of what ran there break.
func (s *Server) Restart() {
	s.boot = model.Boot(s.sched.Rand.Uint64() | 1)
	s.done = 0
	s.running = 0
	s.restartedAt = s.sched.Now()
	s.warnedAt = 0
	resets := s.resets
	s.resets = nil
	for _, reset := range resets {
		reset()
	}
}

// warn notes that a result of the restarted server reaches an owner at a time.
func (s *Server) warn(at time.Duration) {
	if s.restartedAt > 0 && s.warnedAt == 0 {
		s.warnedAt = at
	}
}

// unwarned reports whether an attempt was dispatched before its owner can have seen a sign of
// the last restart.
func (s *Server) unwarned(dispatched time.Duration) bool {
	return s.restartedAt > 0 && (s.warnedAt == 0 || dispatched < s.warnedAt)
}

// Publish makes the next snapshot the newest.
func (s *Server) Publish() { s.newest++ }

// Warm ends the cold start at once.
func (s *Server) Warm() { s.done = s.Config.WarmAfter }

func (s *Server) oldest() model.Snapshot {
	if s.newest <= model.Snapshot(s.snapshotFor) {
		return 1
	}
	return s.newest - model.Snapshot(s.snapshotFor)
}

func (s *Server) result(o model.OutcomeCode) model.AttemptResult {
	return model.AttemptResult{Outcome: o, Boot: s.boot, Oldest: s.oldest(), Newest: s.newest}
}

// maxResets is more than the attempts that can run at once.
const maxResets = 64

// fallenFor is the time for which a server that was overrun in cold start fails everything.
const fallenFor = 2 * time.Second

// start takes an attempt. The result arrives through done; the returned function cancels
// the attempt.
func (s *Server) start(a *effect.StartAttempt, dispatched time.Duration, done func(model.AttemptResult)) (cancel func()) {
	if s.Gone {
		done(model.AttemptResult{Outcome: model.OutcomeRefusedConnection, Reason: "connection refused"})
		return func() {}
	}
	if r, ok := s.refuse(a, dispatched); ok {
		done(r)
		return func() {}
	}
	s.running++
	s.LastStart = s.sched.Now()
	if a.Kind == model.KindSubmit {
		s.Submits[string(a.Payload)]++
	}
	return s.run(a, done)
}

func (s *Server) refuse(a *effect.StartAttempt, dispatched time.Duration) (model.AttemptResult, bool) {
	if a.Snapshot != 0 && (a.Snapshot > s.newest || a.Snapshot < s.oldest()) {
		return s.result(model.OutcomeSnapshotGone), true
	}
	if s.sched.Now() < s.deadUntil {
		return s.result(model.OutcomeFailed), true
	}
	if cold := s.done < s.Config.WarmAfter; cold && s.running >= s.Config.ColdSlots {
		s.OverCold++
		if s.unwarned(dispatched) {
			s.Unwarned++
		}
		s.FellOver++
		s.deadUntil = s.sched.Now() + fallenFor
		s.done = 0
		return s.result(model.OutcomeFailed), true
	}
	if s.running >= s.Config.Slots {
		s.OverSlots++
		return s.result(model.OutcomeShed), true
	}
	return model.AttemptResult{}, false
}

func (s *Server) run(a *effect.StartAttempt, done func(model.AttemptResult)) (cancel func()) {
	boot := s.boot
	snapshot := a.Snapshot
	if snapshot == 0 {
		snapshot = s.newest
	}
	work := s.serviceTime()
	fails := s.sched.Rand.Float64() < s.Config.FailShare || (s.Config.BusyFail && s.running > 1)
	ended := false
	finish := func(r model.AttemptResult, counted bool) {
		if ended {
			return
		}
		ended = true
		if boot == s.boot {
			s.running--
			if counted {
				s.done++
			}
		}
		done(r)
	}
	reset := func() { finish(model.AttemptResult{Outcome: model.OutcomeLost, Reason: "connection reset"}, false) }
	s.resets = append(s.resets, reset)
	if len(s.resets) > maxResets {
		s.resets = s.resets[len(s.resets)-maxResets:]
	}
	s.sched.After(min(work, a.Timeout), func() {
		if boot != s.boot || s.Gone {
			reset()
			return
		}
		if work > a.Timeout {
			finish(s.result(model.OutcomeTimeout), false)
			return
		}
		s.Executed++
		s.BusyTime += work
		r := s.result(model.OutcomeOK)
		if fails {
			r.Outcome = model.OutcomeFailed
		}
		r.Snapshot = snapshot
		r.Hits = documents(a.Key, snapshot)
		finish(r, true)
	})
	return func() {
		s.sched.After(cancelDelay, func() { finish(s.result(model.OutcomeCancelled), false) })
	}
}

// DocumentCount is the number of documents of a version.
const DocumentCount = 100

// documents returns the documents that a shard holds in a snapshot. Every snapshot moves all
// documents to other shards, so that an answer from two snapshots lacks some and doubles
// others.
func documents(key model.ShardKey, snapshot model.Snapshot) []model.Hit {
	shards, index := shardPlace(key.Shard)
	var hits []model.Hit
	for doc := range DocumentCount {
		if (doc+int(snapshot))%shards == index {
			hits = append(hits, model.Hit{
				Document: fmt.Sprintf("doc-%02d", doc),
				Score:    float64(doc),
				Body:     fmt.Appendf(nil, "%s/%d", key.Version, snapshot),
			})
		}
	}
	return hits
}

// shardPlace reads the number of shards and the index from a name such as "s03-of-20".
func shardPlace(id model.ShardID) (shards, index int) {
	if _, err := fmt.Sscanf(string(id), "s%d-of-%d", &index, &shards); err != nil {
		return 1, 0
	}
	return shards, index
}

// cancelDelay is the time until a cancelled attempt has left its server.
const cancelDelay = time.Millisecond

// coldFactor is how much longer attempts take in cold start, slowFactor for stragglers.
const (
	coldFactor = 2
	slowFactor = 10
)

func (s *Server) serviceTime() time.Duration {
	d := float64(s.Config.Median) * math.Exp(s.Config.Sigma*s.sched.Rand.NormFloat64())
	if s.done < s.Config.WarmAfter {
		d *= coldFactor
	}
	if s.sched.Rand.Float64() < s.Config.SlowShare {
		d *= slowFactor
	}
	return time.Duration(d)
}
