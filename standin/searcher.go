package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	api "github.com/gooseberrylock/gooseberrylock/api/backend"
)

// SearcherConfig configures a Searcher.
type SearcherConfig struct {
	ID          string
	Slots       int                // number of attempts that may run at once when warm; further ones are shed
	ColdSlots   int                // number of attempts that may run at once in cold start; one more causes an outage
	WarmAfter   int                // number of completed attempts that ends the cold start
	Median      time.Duration      // median of the service time, which is lognormally distributed
	Sigma       float64            // standard deviation of the logarithm of the service time
	SlowShare   float64            // share of attempts that take ten times as long, 0 to 1
	FailShare   float64            // share of attempts that fail, 0 to 1
	Hits        int                // number of hits per attempt
	FirstNewest int64              // newest snapshot at the start
	OnSubmit    func(query string) // called with the query text before a submit runs; may be nil
}

// olderSnapshots is the number of snapshots that a searcher serves besides the newest.
const olderSnapshots = 1

// overrunOutage is how long a searcher fails every attempt after it was overrun in cold start.
const overrunOutage = 500 * time.Millisecond

// SearcherStats holds the counters of a searcher since it was created.
type SearcherStats struct {
	Executed   int            // attempts that were started
	Shed       int            // attempts refused because all slots were taken
	MaxRunning int            // highest number of attempts that ran at once
	FellOver   int            // outages caused by more than ColdSlots attempts in cold start
	Cancelled  int            // attempts that ended early by cancellation or timeout
	Submits    map[string]int // number of runs by query text
}

// Searcher is a stand-in for a backend server. Its methods may be called concurrently.
type Searcher struct {
	cfg SearcherConfig

	mu           sync.Mutex
	boot         int64
	newest       int64
	running      int
	completed    int // attempts since the start of the cold start
	draining     bool
	failingUntil time.Time
	stats        SearcherStats
}

// NewSearcher returns a searcher in cold start.
func NewSearcher(cfg SearcherConfig) *Searcher {
	s := &Searcher{cfg: cfg, newest: max(cfg.FirstNewest, 1)}
	s.stats.Submits = make(map[string]int)
	s.Restart()
	return s
}

// Handler returns the HTTP handler of the searcher. Besides the backend API it serves GET /stats,
// which returns the SearcherStats as JSON.
func (s *Searcher) Handler() http.Handler {
	h, err := api.NewServer(s)
	if err != nil {
		panic(err) // only a bug in the generated code can cause this
	}
	mux := http.NewServeMux()
	mux.Handle("/", h)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Stats())
	})
	return mux
}

// Restart puts the searcher back into cold start, with a new boot number.
func (s *Searcher) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boot = rand.Int64N(math.MaxInt64-1) + 1
	s.completed = 0
}

// Publish adds the next snapshot, which becomes the newest.
func (s *Searcher) Publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest++
}

// SetDraining sets whether the searcher refuses new attempts because it is draining.
func (s *Searcher) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// SetFaults sets the shares of slow and failed attempts, each from 0 to 1.
func (s *Searcher) SetFaults(slow, fail float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.SlowShare = slow
	s.cfg.FailShare = fail
}

// Stats returns a copy of the counters.
func (s *Searcher) Stats() SearcherStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.Submits = make(map[string]int, len(s.stats.Submits))
	for k, v := range s.stats.Submits {
		st.Submits[k] = v
	}
	return st
}

// state returns the boot number and the served snapshots. The caller holds the lock.
func (s *Searcher) state() api.ServerState {
	return api.ServerState{Boot: s.boot, Oldest: max(s.newest-olderSnapshots, 1), Newest: s.newest}
}

// refuse returns the error answer for an attempt that was not run or that failed. The caller holds the
// lock.
func (s *Searcher) refuse(status int, code api.ExecuteErrorCode, reason string) *api.ExecuteErrorStatusCode {
	return &api.ExecuteErrorStatusCode{
		StatusCode: status,
		Response: api.ExecuteError{
			Code:   code,
			Reason: reason,
			State:  api.NewOptServerState(s.state()),
		},
	}
}

// admit takes a slot for an attempt and returns its snapshot, its service time and whether it fails. If
// the attempt cannot run, it returns the refusal instead.
func (s *Searcher) admit(req *api.ExecuteRequest) (refused *api.ExecuteErrorStatusCode, snapshot int64, work time.Duration, fails bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot = s.newest
	if want, ok := req.Snapshot.Get(); ok {
		if want > s.newest || want < s.newest-olderSnapshots {
			return s.refuse(http.StatusGone, api.ExecuteErrorCodeSnapshotGone, fmt.Sprintf("snapshot %d is not served", want)), 0, 0, false
		}
		snapshot = want
	}
	cold := s.completed < s.cfg.WarmAfter
	switch {
	case s.draining:
		return s.refuse(http.StatusServiceUnavailable, api.ExecuteErrorCodeDraining, "draining"), 0, 0, false
	case time.Now().Before(s.failingUntil):
		return s.refuse(http.StatusInternalServerError, api.ExecuteErrorCodeFailed, "overrun in cold start"), 0, 0, false
	case cold && s.running >= s.cfg.ColdSlots:
		s.stats.FellOver++
		s.completed = 0
		s.failingUntil = time.Now().Add(overrunOutage)
		return s.refuse(http.StatusInternalServerError, api.ExecuteErrorCodeFailed, "overrun in cold start"), 0, 0, false
	case s.running >= s.cfg.Slots:
		s.stats.Shed++
		return s.refuse(http.StatusTooManyRequests, api.ExecuteErrorCodeShed, "all slots are taken"), 0, 0, false
	}
	s.running++
	s.stats.Executed++
	s.stats.MaxRunning = max(s.stats.MaxRunning, s.running)
	if req.Kind == api.ExecuteRequestKindSubmit {
		s.stats.Submits[req.Query]++
		if s.cfg.OnSubmit != nil {
			s.cfg.OnSubmit(req.Query)
		}
	}
	return nil, snapshot, s.serviceTime(cold), rand.Float64() < s.cfg.FailShare
}

// slowFactor is the factor by which the service time of a slow attempt is longer.
const slowFactor = 10

// serviceTime returns a random service time. In cold start it is twice as long.
func (s *Searcher) serviceTime(cold bool) time.Duration {
	d := float64(s.cfg.Median) * math.Exp(s.cfg.Sigma*rand.NormFloat64())
	if cold {
		d *= 2
	}
	if rand.Float64() < s.cfg.SlowShare {
		d *= slowFactor
	}
	return time.Duration(d)
}

// release frees the slot of an attempt, which either finished or was cancelled.
func (s *Searcher) release(finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if finished {
		s.completed++
		return
	}
	s.stats.Cancelled++
}

// Execute implements api.Handler.
func (s *Searcher) Execute(ctx context.Context, req *api.ExecuteRequest, p api.ExecuteParams) (api.ExecuteRes, error) {
	refused, snapshot, work, fails := s.admit(req)
	if refused != nil {
		return refused, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.XTimeoutMs)*time.Millisecond)
	defer cancel()
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
		s.release(true)
	case <-ctx.Done():
		s.release(false)
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.refuse(http.StatusGatewayTimeout, api.ExecuteErrorCodeTimeout, "the deadline has passed"), nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if fails {
		return s.refuse(http.StatusInternalServerError, api.ExecuteErrorCodeFailed, "injected failure"), nil
	}
	return &api.ExecuteResponse{State: s.state(), Snapshot: snapshot, Hits: s.hits(req, snapshot)}, nil
}

// hits returns the hits of an attempt. They are the same on every replica for the same route, shard,
// version, snapshot and query.
func (s *Searcher) hits(req *api.ExecuteRequest, snapshot int64) []api.Hit {
	n := s.cfg.Hits
	if limit, ok := req.Limit.Get(); ok {
		n = min(n, limit)
	}
	hits := make([]api.Hit, 0, n)
	for i := range n {
		doc := fmt.Sprintf("%s/%s/%d", req.Route, req.Shard, i)
		score := float64(xxhash.Sum64String(doc+req.Query)%10000) / 10000
		hits = append(hits, api.Hit{
			Document: doc,
			Score:    score,
			Body:     api.NewOptString(fmt.Sprintf("version %s snapshot %d", req.Version, snapshot)),
		})
	}
	return hits
}

// Health implements api.Handler. It always reports the status ok, as real endpoints may do even when
// attempts fail.
func (s *Searcher) Health(context.Context) (*api.Health, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &api.Health{Status: api.HealthStatusOk, Running: api.NewOptInt(s.running)}, nil
}
