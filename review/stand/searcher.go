package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	recordBytes    = 16
	partRecords    = 8
	heartbeat      = 1200 * time.Millisecond
	retryPause     = 100 * time.Millisecond // before an entry is written again that the store did not take
	healthPath     = "/healthz"
	kindSearchers  = "servers"
	stateReady     = "ready"
	stateDraining  = "draining"
	queueRoom      = 18
	searcherConns  = 30
	defaultSlots   = 3
	searcherZone   = "zone-a"
	firstVersion   = "v1"
	recordsPerPart = partRecords * recordBytes
)

// Arrival is one request that reached a searcher.
type Arrival struct {
	At      time.Time
	ID      string // X-Request-Id
	Method  string
	URI     string // as in the request line
	Body    string
	Reached string // ID of the searcher
}

// Searcher is a stand-in of a backend server.
type Searcher struct {
	ID      string
	Service string
	Work    time.Duration // mean time
	Slots   int

	store  *Store
	addr   string
	server *http.Server
	slots  chan struct{}
	queue  chan struct{}
	done   chan struct{}
	closed sync.Once

	mu        sync.Mutex
	arrivals  []Arrival
	sequence  int
	born      time.Time
	state     string
	coldSince time.Time
	coldUntil time.Time
	crashRate int // requests in a second at which the searcher crashes while it is cold; 0 if it does not
	crashed   bool
	version   string
	bad       bool    // each request fails
	limit     float64 // Server-Limit of its answers; 0 for none
	health    int     // health checks answered
}

// NewSearcher starts a searcher at a free port of ip and registers it.
func NewSearcher(store *Store, ip, id, service string, work time.Duration) (*Searcher, error) {
	lis, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &Searcher{
		ID: id, Service: service, Work: work, Slots: defaultSlots,
		store: store, addr: lis.Addr().String(), born: time.Now(), state: stateReady, version: firstVersion, done: make(chan struct{}),
		slots: make(chan struct{}, defaultSlots), queue: make(chan struct{}, queueRoom),
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(lis) }() // ends with Close
	s.register()
	go s.beat()
	return s, nil
}

// overloaded reports, once, that the searcher crashes, since it is cold and gets too many requests.
func (s *Searcher) overloaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashRate == 0 || s.crashed || s.warmupLeft() == 0 {
		return false
	}
	n := len(s.arrivals)
	s.crashed = n >= s.crashRate && s.arrivals[n-s.crashRate].At.After(s.coldSince) && time.Since(s.arrivals[n-s.crashRate].At) < time.Second
	return s.crashed
}

// Close stops the searcher without a word, as a crash does.
func (s *Searcher) Close() {
	s.closed.Do(func() { close(s.done) })
	_ = s.server.Close()
}

func (s *Searcher) beat() {
	pause := heartbeat
	for {
		select {
		case <-time.After(pause):
			pause = heartbeat
			if _, ok := s.register(); !ok {
				pause = retryPause
			}
		case <-s.done:
			return
		}
	}
}

// register writes the searcher's entry. It returns the time of the acknowledgement, or false if the store is
// down.
func (s *Searcher) register() (time.Time, bool) {
	s.mu.Lock()
	s.sequence++
	spec := map[string]any{
		"service": s.Service, "address": s.addr, "zone": searcherZone, "version": s.version,
		"concurrency": s.Slots, "state": s.state, "warmup_left_ms": s.warmupLeft().Milliseconds(),
		"sequence": s.sequence, "born": s.born.UnixMilli(),
	}
	s.mu.Unlock()
	return s.store.PutEntry(s.ID, spec)
}

// warmupLeft returns how much longer the searcher stays cold. The caller holds s.mu.
func (s *Searcher) warmupLeft() time.Duration { return max(time.Until(s.coldUntil), 0) }

// SetSlots sets how many requests the searcher runs at the same time.
func (s *Searcher) SetSlots(n int) {
	s.mu.Lock()
	s.Slots, s.slots = n, make(chan struct{}, n)
	s.mu.Unlock()
	s.register()
}

// SetLimit makes the searcher name a limit, in requests a second, in all its answers.
func (s *Searcher) SetLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = perSecond
}

// SetVersion sets the version of the searcher.
func (s *Searcher) SetVersion(version string) {
	s.mu.Lock()
	s.version = version
	s.mu.Unlock()
	s.register()
}

// SetBad makes all further requests fail.
func (s *Searcher) SetBad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bad = true
}

// BecomeCold makes the searcher cold for a time and writes that to the store. While it is cold, it crashes at
// crashRate requests in a second.
func (s *Searcher) BecomeCold(d time.Duration, crashRate int) {
	s.mu.Lock()
	s.crashRate = crashRate
	s.coldSince = time.Now()
	s.coldUntil = time.Now().Add(d)
	s.mu.Unlock()
	s.register()
}

// Drain reports that the searcher drains. It returns the time of the acknowledgement. The searcher goes on
// serving.
func (s *Searcher) Drain() time.Time {
	s.mu.Lock()
	s.state = stateDraining
	s.mu.Unlock()
	for {
		if at, ok := s.register(); ok {
			return at
		}
		time.Sleep(retryPause)
	}
}

// Arrivals returns the requests that have reached the searcher.
func (s *Searcher) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// HealthChecks returns the number of health checks that the searcher has got.
func (s *Searcher) HealthChecks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health
}

// ServeHTTP implements http.Handler.
func (s *Searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has left before its request was complete
	}
	w.Header().Set("X-Instance-Id", s.ID)
	s.mu.Lock()
	if s.limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(s.limit, 'f', -1, 64))
	}
	slots := s.slots
	s.mu.Unlock()
	if r.URL.Path == healthPath {
		s.answerHealth(w)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.ID {
		s.reject(w, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		s.reject(w, http.StatusBadRequest)
		return
	}
	s.record(Arrival{At: time.Now(), ID: id, Method: r.Method, URI: r.RequestURI, Body: string(body), Reached: s.ID})
	if s.overloaded() {
		s.Close()
		return
	}
	select {
	case s.queue <- struct{}{}:
	default:
		s.reject(w, http.StatusServiceUnavailable)
		return
	}
	slots <- struct{}{}
	<-s.queue
	defer func() { <-slots }()
	s.run(w, r, id)
}

func (s *Searcher) record(a Arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, a)
}

func (s *Searcher) answerHealth(w http.ResponseWriter) {
	s.mu.Lock()
	s.health++
	left := s.warmupLeft()
	s.mu.Unlock()
	w.Header().Set("X-Warmup-Ms", strconv.FormatInt(left.Milliseconds(), 10))
}

func (s *Searcher) reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// run works on a request until its deadline and answers it.
func (s *Searcher) run(w http.ResponseWriter, r *http.Request, id string) {
	work := s.Work/2 + rand.N(s.Work)
	left := time.Hour
	if ms, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	select {
	case <-time.After(min(work, left)):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Server-Stamp", Stamp(s.Service, s.ID, id))
	if left < work {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	s.mu.Lock()
	bad := s.bad
	s.mu.Unlock()
	if bad {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(Part(s.Service, id)) // an error means that the caller has left
}

// Stamp returns the signature of a searcher under its answer to a request.
func Stamp(service, searcher, id string) string {
	return fmt.Sprintf("%s.%s.%08x", service, searcher, hash(service, searcher, id))
}

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p + "\x00")) // never returns an error
	}
	return h.Sum64()
}

// Part returns the records of a service for a request, which all its searchers answer.
func Part(service, id string) []byte {
	body := make([]byte, 0, recordsPerPart)
	for n := range partRecords {
		body = binary.BigEndian.AppendUint64(body, hash("high", service, id, strconv.Itoa(n)))
		body = binary.BigEndian.AppendUint64(body, hash("low", service, id, strconv.Itoa(n)))
	}
	return body
}

// Greatest returns the greatest k records of the parts, greatest first.
func Greatest(k int, parts ...[]byte) []byte {
	var records [][]byte
	for _, p := range parts {
		for ; len(p) >= recordBytes; p = p[recordBytes:] {
			records = append(records, p[:recordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(records[:min(k, len(records))], nil)
}
