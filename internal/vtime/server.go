package vtime

import (
	"fmt"
	"math"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// ServerConfig describes the behaviour of a simulated backend server.
type ServerConfig struct {
	Median       time.Duration // median of the lognormal service time
	Sigma        float64       // standard deviation of the logarithm of the service time
	SlowShare    float64       // share of attempts that take ten times as long, 0 to 1
	FailShare    float64       // share of attempts that fail, 0 to 1
	FailWhenBusy bool          // an attempt fails if another one runs when it starts
	Slots        int
	ColdSlots    int
	WarmAfter    int // number of completed attempts that ends the cold start
}

// Server is a simulated backend server. It counts the attempts that exceed its load limits.
type Server struct {
	ID        model.BackendServerID
	Config    ServerConfig
	sched     *Scheduler
	boot      model.Boot
	newest    model.Snapshot
	running   int
	completed int
	Down      bool // refuses new connections

	SlotOverruns             int            // attempts that arrived while all slots were in use
	ColdOverruns             int            // attempts that arrived in cold start while all ColdSlots were in use
	ColdOverrunsBeforeNotice int            // part of ColdOverruns: dispatched before any result showed the restart to an owner
	Executed                 int            // attempts that ran to completion
	BusyTime                 time.Duration  // sum of their service times
	LastStart                time.Duration  // virtual time at which the latest attempt started
	SubmitRuns               map[string]int // number of runs of each submit, by payload
	Overloads                int            // times that the server failed because of a cold overrun
	overloadedUntil          time.Duration
	olderSnapshots           int // number of snapshots kept besides the newest
	restartedAt              time.Duration
	restartNoticedAt         time.Duration // when the first result after the last restart reached an owner; 0 for none
	resetConnections         []func()      // functions that reset the connections of running attempts
}

func newServer(s *Scheduler, id model.BackendServerID, cfg ServerConfig) *Server {
	return &Server{
		ID: id, Config: cfg, sched: s, boot: model.Boot(s.Rand.Uint64() | 1), newest: 1,
		SubmitRuns: make(map[string]int), olderSnapshots: 1,
	}
}

// Restart returns the server to cold start. The connections of running attempts are reset.
func (s *Server) Restart() {
	s.boot = model.Boot(s.sched.Rand.Uint64() | 1)
	s.completed = 0
	s.running = 0
	s.restartedAt = s.sched.Now()
	s.restartNoticedAt = 0
	resets := s.resetConnections
	s.resetConnections = nil
	for _, reset := range resets {
		reset()
	}
}

// noteReplyArrival records when an owner receives a result. The first result after a restart shows
// the owner that the server is in cold start again.
func (s *Server) noteReplyArrival(at time.Duration) {
	if s.restartedAt > 0 && s.restartNoticedAt == 0 {
		s.restartNoticedAt = at
	}
}

// beforeRestartNotice reports whether an attempt was dispatched before an owner could know of the
// last restart.
func (s *Server) beforeRestartNotice(dispatched time.Duration) bool {
	return s.restartedAt > 0 && (s.restartNoticedAt == 0 || dispatched < s.restartNoticedAt)
}

// Publish makes the next snapshot the newest.
func (s *Server) Publish() { s.newest++ }

// Warm ends the cold start at once.
func (s *Server) Warm() { s.completed = s.Config.WarmAfter }

func (s *Server) oldest() model.Snapshot {
	if s.newest <= model.Snapshot(s.olderSnapshots) {
		return 1
	}
	return s.newest - model.Snapshot(s.olderSnapshots)
}

func (s *Server) result(o model.OutcomeCode) model.AttemptResult {
	return model.AttemptResult{Outcome: o, Boot: s.boot, Oldest: s.oldest(), Newest: s.newest}
}

// maxResetConnections limits the number of reset functions kept. It exceeds the number of attempts
// that can run at once.
const maxResetConnections = 64

// overloadDuration is how long a server fails all attempts after it got too many in cold start.
const overloadDuration = 2 * time.Second

// startAttempt runs an attempt or rejects it. The result is passed to done. The returned function
// cancels the attempt.
func (s *Server) startAttempt(a *effect.StartAttempt, dispatched time.Duration, done func(model.AttemptResult)) (cancel func()) {
	if s.Down {
		done(model.AttemptResult{Outcome: model.OutcomeRefusedConnection, Reason: "connection refused"})
		return func() {}
	}
	if r, ok := s.reject(a, dispatched); ok {
		done(r)
		return func() {}
	}
	s.running++
	s.LastStart = s.sched.Now()
	if a.Kind == model.KindSubmit {
		s.SubmitRuns[string(a.Payload)]++
	}
	return s.run(a, done)
}

// reject reports whether the server rejects an attempt, and returns the result if it does.
func (s *Server) reject(a *effect.StartAttempt, dispatched time.Duration) (model.AttemptResult, bool) {
	if a.Snapshot != 0 && (a.Snapshot > s.newest || a.Snapshot < s.oldest()) {
		return s.result(model.OutcomeSnapshotGone), true
	}
	if s.sched.Now() < s.overloadedUntil {
		return s.result(model.OutcomeFailed), true
	}
	if cold := s.completed < s.Config.WarmAfter; cold && s.running >= s.Config.ColdSlots {
		s.ColdOverruns++
		if s.beforeRestartNotice(dispatched) {
			s.ColdOverrunsBeforeNotice++
		}
		s.Overloads++
		s.overloadedUntil = s.sched.Now() + overloadDuration
		s.completed = 0
		return s.result(model.OutcomeFailed), true
	}
	if s.running >= s.Config.Slots {
		s.SlotOverruns++
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
	failed := s.sched.Rand.Float64() < s.Config.FailShare || (s.Config.FailWhenBusy && s.running > 1)
	ended := false
	finish := func(r model.AttemptResult, counted bool) {
		if ended {
			return
		}
		ended = true
		if boot == s.boot {
			s.running--
			if counted {
				s.completed++
			}
		}
		done(r)
	}
	reset := func() { finish(model.AttemptResult{Outcome: model.OutcomeLost, Reason: "connection reset"}, false) }
	s.resetConnections = append(s.resetConnections, reset)
	if len(s.resetConnections) > maxResetConnections {
		s.resetConnections = s.resetConnections[len(s.resetConnections)-maxResetConnections:]
	}
	s.sched.After(min(work, a.Timeout), func() {
		if boot != s.boot || s.Down {
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
		if failed {
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

// DocumentCount is the number of documents in each version.
const DocumentCount = 100

// documents returns the documents that a shard holds in a snapshot. Every snapshot assigns all
// documents to other shards, so that an answer that mixes two snapshots lacks some documents and
// has others twice.
func documents(key model.ShardKey, snapshot model.Snapshot) []model.Hit {
	shards, index := parseShardID(key.Shard)
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

// parseShardID returns the number of shards and the index from an ID such as "s03-of-20".
func parseShardID(id model.ShardID) (shards, index int) {
	if _, err := fmt.Sscanf(string(id), "s%d-of-%d", &index, &shards); err != nil {
		return 1, 0
	}
	return shards, index
}

// cancelDelay is how long a cancelled attempt still uses a slot of its server.
const cancelDelay = time.Millisecond

// An attempt takes coldFactor times as long in cold start and slowFactor times as long if it is a
// straggler.
const (
	coldFactor = 2
	slowFactor = 10
)

func (s *Server) serviceTime() time.Duration {
	d := float64(s.Config.Median) * math.Exp(s.Config.Sigma*s.sched.Rand.NormFloat64())
	if s.completed < s.Config.WarmAfter {
		d *= coldFactor
	}
	if s.sched.Rand.Float64() < s.Config.SlowShare {
		d *= slowFactor
	}
	return time.Duration(d)
}
