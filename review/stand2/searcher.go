package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// searcher is a stand-in for a searcher. It runs a request only if the request names this searcher.
type searcher struct {
	id, service, version, zone string
	slots                      int
	work                       time.Duration
	warmup                     time.Duration // how long the searcher is cold after its start
	crashRate                  int           // requests in a second at which a cold searcher crashes; 0 if it does not
	records                    int           // 16-byte records in an answer; 0 for another body
	// fails reports whether the searcher answers a request for a path with a failure of its own.
	fails func(path string) bool

	listener net.Listener
	server   *http.Server
	born     time.Time
	sequence atomic.Int64
	slot     chan struct{}

	mu   sync.Mutex
	runs []run
}

// run is a request that a searcher began to work on.
type run struct {
	at      time.Time
	request string
	path    string
	failed  bool
}

// queueFactor is the number of requests that a searcher queues for each slot.
const queueFactor = 4

// recordBytes is the size of a record in the answer of a shard.
const recordBytes = 16

// searchers are all searchers that were started.
var searchers []*searcher

func startSearcher(s *searcher) (*searcher, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.listener, s.born = listener, time.Now()
	s.slot = make(chan struct{}, s.slots)
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }() // ends with stop
	searchers = append(searchers, s)
	return s, nil
}

func (s *searcher) stop() { _ = s.server.Close() }

// entry returns the registration of the searcher.
func (s *searcher) entry(state string) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": s.version, "concurrency": s.slots,
		"state": state, "warmup_left_ms": s.warmupLeft().Milliseconds(), "sequence": s.sequence.Add(1), "born": s.born.UnixMilli(),
	}
}

func (s *searcher) warmupLeft() time.Duration { return max(s.warmup-time.Since(s.born), 0) }

// runsInLastSecond counts the newest runs. The caller holds s.mu.
func (s *searcher) runsInLastSecond() int {
	n := 0
	for i := len(s.runs) - 1; i >= 0 && time.Since(s.runs[i].at) < time.Second; i-- {
		n++
	}
	return n
}

// runsOf returns the runs so far.
func (s *searcher) runsOf() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

// ServeHTTP implements http.Handler.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", s.id)
	_, _ = io.Copy(io.Discard, r.Body)
	switch target := r.Header.Get("X-Target-Instance"); {
	case target != "" && target != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	patience := time.NewTimer(time.Duration(queueFactor) * s.work)
	defer patience.Stop()
	select {
	case s.slot <- struct{}{}:
	case <-patience.C:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slot }()
	failed := s.fails != nil && s.fails(r.URL.Path)
	s.mu.Lock()
	s.runs = append(s.runs, run{at: time.Now(), request: id, path: r.URL.Path, failed: failed})
	crash := s.crashRate > 0 && s.warmupLeft() > 0 && s.runsInLastSecond() >= s.crashRate
	s.mu.Unlock()
	if crash {
		s.stop()
		return
	}
	time.Sleep(s.work)
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%s", s.id, id))
	if failed {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if s.records > 0 {
		_, _ = io.WriteString(w, strings.Repeat(id[:recordBytes], s.records))
		return
	}
	_, _ = io.WriteString(w, strings.Repeat(id, 8))
}
