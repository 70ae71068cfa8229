package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a searcher has begun to work on.
type run struct {
	at       time.Time
	searcher string
	service  string
	request  string
	done     bool
	doneAt   time.Time
}

// searcher is a stand-in for a backend server. It registers itself in the store and tells its state there at
// each heartbeat.
type searcher struct {
	id, service, zone, version string
	address                    string
	slots, queue               int
	work                       time.Duration
	// crashAbove is the number of requests in one second at which a cold searcher crashes; 0 for never.
	crashAbove int
	// records, if set, returns the records of an answer to a request on a gathered route.
	records func(request string, n int) []byte

	store *store
	rec   *recorder
	sem   chan struct{}
	srv   *http.Server

	mu        sync.Mutex
	waiting   int
	state     string
	told      string // what the entry says, without the sequence
	sequence  uint64
	born      int64
	coldUntil time.Time
	crashed   bool
	runs      []run
	arrivals  []time.Time // not counting requests for another searcher
	coldHits  []time.Time // arrivals while cold
	stop      chan struct{}
	once      sync.Once // for close
}

func newSearcher(s *store, rec *recorder, id, service, zone string, work time.Duration) *searcher {
	return &searcher{
		id: id, service: service, zone: zone, version: "v1", slots: 3, queue: 18, work: work, store: s, rec: rec,
		state: "ready", sem: make(chan struct{}, 3), stop: make(chan struct{}),
	}
}

// open starts the searcher. Its beats come at each heartbeat from a phase of its own on.
func (s *searcher) open(phase time.Duration) *searcher {
	lis := must(net.Listen("tcp", "127.0.0.1:0"))
	s.address = lis.Addr().String()
	s.born = time.Now().UnixMilli()
	s.srv = &http.Server{Handler: s}
	go func() { _ = s.srv.Serve(lis) }()
	s.beat()
	go func() {
		select {
		case <-time.After(phase):
		case <-s.stop:
			return
		}
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			s.beat()
			select {
			case <-tick.C:
			case <-s.stop:
				return
			}
		}
	}()
	return s
}

// beat writes the entry. A beat that differs only in the sequence does not change the entry's revision.
func (s *searcher) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed || s.store.isAway() {
		return
	}
	s.sequence++
	left := max(time.Until(s.coldUntil), 0).Milliseconds()
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "concurrency": s.slots,
		"state": s.state, "warmup_left_ms": left, "sequence": s.sequence, "born": s.born,
	}
	told := fmt.Sprint(s.state, left)
	if told == s.told && s.store.replaceQuietly("servers", s.id, entry) {
		return
	}
	s.told = told
	revision := s.store.put("servers", s.id, entry)
	s.rec.line("beat of %s: state %s, warmup_left_ms %d, revision %d", s.id, s.state, left, revision)
}

// makeCold makes the searcher cold for some time. Its entry says so from the next beat on.
func (s *searcher) makeCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(d)
	s.rec.line("%s is cold from now on, for %v", s.id, d)
}

// drain makes the searcher say that it leaves, and returns when the store has accepted that.
func (s *searcher) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.beat()
}

// close ends the searcher. It does nothing if that has been called before.
func (s *searcher) close() {
	s.once.Do(func() {
		close(s.stop)
		_ = s.srv.Close()
	})
}

// ServeHTTP implements http.Handler.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Instance-Id", s.id)
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		s.rec.line("%s: request %s is for %s, 421", s.id, id, target)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.arrived() {
		panic(http.ErrAbortHandler) // a crash closes the connection
	}
	if r.URL.Path == "/healthz" {
		s.health(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id == "" {
		notRun(w, http.StatusBadRequest)
		return
	}
	if !s.enter(r) {
		notRun(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.sem }()
	n := s.begin(id)
	if !s.workOn(r) {
		s.rec.line("%s: request %s dropped, its connection was closed", s.id, id)
		return
	}
	s.end(n)
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%s.%d", s.service, s.id, n))
	if s.records != nil {
		_, _ = w.Write(s.records(id, n))
		return
	}
	_, _ = fmt.Fprintf(w, "%s answers %s (%d bytes)\n", s.id, id, len(body))
}

func notRun(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (s *searcher) health(w http.ResponseWriter) {
	s.mu.Lock()
	left, state := max(time.Until(s.coldUntil), 0), s.state
	s.mu.Unlock()
	w.Header().Set("X-Warmup-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	if state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// arrived counts a request. It reports whether the searcher crashes under it.
func (s *searcher) arrived() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.arrivals = append(s.arrivals, now)
	if !now.Before(s.coldUntil) {
		return s.crashed
	}
	s.coldHits = append(s.coldHits, now)
	if s.crashAbove > 0 && !s.crashed && len(s.coldHits) > s.crashAbove && now.Sub(s.coldHits[len(s.coldHits)-1-s.crashAbove]) < time.Second {
		s.crashed = true
		s.rec.line("%s crashes: more than %d requests in one second while cold, %d requests at work", s.id, s.crashAbove, len(s.sem))
		go func() { _ = s.srv.Close() }()
	}
	return s.crashed
}

// enter waits for a slot. It reports whether there is one before the queue is full or the deadline has passed.
func (s *searcher) enter(r *http.Request) bool {
	s.mu.Lock()
	full := s.waiting >= s.queue
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	left, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		left = 10_000
	}
	select {
	case s.sem <- struct{}{}:
		return true
	case <-time.After(time.Duration(left) * time.Millisecond):
	case <-r.Context().Done():
	}
	return false
}

func (s *searcher) begin(request string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run{at: time.Now(), searcher: s.id, service: s.service, request: request})
	s.rec.line("%s runs %s", s.id, request)
	return len(s.runs) - 1
}

func (s *searcher) end(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[n].done, s.runs[n].doneAt = true, time.Now()
}

// workOn works on a request. It reports false if the connection was closed meanwhile.
func (s *searcher) workOn(r *http.Request) bool {
	work := s.work
	s.mu.Lock()
	if time.Now().Before(s.coldUntil) {
		work = work * 8 / 5
	}
	s.mu.Unlock()
	select {
	case <-time.After(work):
		return true
	case <-r.Context().Done():
		return false
	}
}

// allRuns returns a copy of the runs so far.
func (s *searcher) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

// arrivalWindow is a second less the time that a request may have been on its way, since only requests count that were
// sent and arrived inside one second.
const arrivalWindow = 950 * time.Millisecond

// mostInOneSecond returns the largest number of arrivals within a sliding arrivalWindow, and the first of them.
func mostInOneSecond(times []time.Time) (int, time.Time) {
	most, from, first := 0, time.Time{}, 0
	for i, at := range times {
		for at.Sub(times[first]) >= arrivalWindow {
			first++
		}
		if n := i - first + 1; n > most {
			most, from = n, times[first]
		}
	}
	return most, from
}
