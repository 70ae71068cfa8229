package main

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of objects in one page of a list.
const pageItems = 500

// Calls beyond these rates are answered 429.
const (
	readsPerSecond  = 2000
	writesPerSecond = 400
)

type meta struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
	kind     string
	revision int64
}

// contents is what the store holds. A copy of it can be put back.
type contents struct {
	revision int64
	objects  map[string]map[string]object
	history  []event
}

func (c *contents) clone() contents {
	out := contents{revision: c.revision, objects: make(map[string]map[string]object), history: slices.Clone(c.history)}
	for kind, objects := range c.objects {
		out.objects[kind] = maps.Clone(objects)
	}
	return out
}

// store is a stand-in for the platform's metadata store: one revision counter, lists, watches, writes under a
// condition, and the header Store-Era.
type store struct {
	address string

	mu      sync.Mutex
	changed chan struct{} // closed at each change
	data    contents
	era     int
	away    bool // nothing can be written or read
	server  *http.Server
	calls   int
	second  int64 // the second in which reads and writes are counted
	reads   int
	writes  int
	rec     *recorder
}

func newStore(rec *recorder) *store {
	s := &store{
		changed: make(chan struct{}), era: 1, rec: rec,
		data: contents{revision: 1, objects: make(map[string]map[string]object)},
	}
	lis := must(net.Listen("tcp", "127.0.0.1:0"))
	s.address = lis.Addr().String()
	s.serve(lis)
	return s
}

func (s *store) serve(lis net.Listener) {
	s.server = &http.Server{Handler: s}
	go func(srv *http.Server) { _ = srv.Serve(lis) }(s.server)
}

// down ends all connections and refuses new ones until up.
func (s *store) down() {
	s.setAway(true)
	_ = s.server.Close()
}

func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

func (s *store) up() {
	s.setAway(false)
	for range 100 {
		if lis, err := net.Listen("tcp", s.address); err == nil {
			s.serve(lis)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	fail("the store could not listen again")
}

// snapshot returns a copy of what the store holds now.
func (s *store) snapshot() contents {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.clone()
}

// restore puts a copy back and begins the next era. Waiting watches must have been ended by down.
func (s *store) restore(c contents) (lost []event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.data.history {
		if e.revision > c.revision {
			lost = append(lost, e)
		}
	}
	s.data = c.clone()
	s.era++
	s.notify()
	return lost
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.revision
}

func (s *store) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// put writes the spec of an object, as the operator and the searchers do, and returns the revision.
func (s *store) put(kind, name string, spec any) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := must(json.Marshal(spec))
	o, ok := s.data.objects[kind][name]
	if ok && bytes.Equal(o.Spec, raw) {
		return s.data.revision
	}
	if !ok {
		o = object{Meta: meta{Name: name, Created: s.data.revision + 1}}
	}
	o.Spec = raw
	s.save(kind, o)
	return s.data.revision
}

// replaceQuietly replaces the spec of an object without a change of its revision: a beat in which only the
// sequence differs.
func (s *store) replaceQuietly(kind, name string, spec any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.data.objects[kind][name]
	if ok {
		o.Spec = must(json.Marshal(spec))
		s.data.objects[kind][name] = o
	}
	return ok
}

func (s *store) remove(kind, name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.data.objects[kind][name]; ok {
		s.drop(kind, o)
	}
	return s.data.revision
}

func (s *store) save(kind string, o object) {
	s.data.revision++
	o.Meta.Revision = s.data.revision
	if o.Meta.Finalizers == nil {
		o.Meta.Finalizers = []string{}
	}
	if s.data.objects[kind] == nil {
		s.data.objects[kind] = make(map[string]object)
	}
	s.data.objects[kind][o.Meta.Name] = o
	s.data.history = append(s.data.history, event{Object: o, kind: kind, revision: s.data.revision})
	s.notify()
}

func (s *store) drop(kind string, o object) {
	s.data.revision++
	o.Meta.Revision = s.data.revision
	delete(s.data.objects[kind], o.Meta.Name)
	s.data.history = append(s.data.history, event{Object: o, Removed: true, kind: kind, revision: s.data.revision})
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	allowed := s.allow(r.Method)
	s.mu.Unlock()
	if !allowed {
		answer(w, http.StatusTooManyRequests, struct{}{})
		return
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, parts[0], r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		s.get(w, parts[0], parts[1])
	default:
		s.write(w, r, parts, body)
	}
}

// allow counts a call and reports whether it is within the rates.
func (s *store) allow(method string) bool {
	if now := time.Now().Unix(); now != s.second {
		s.second, s.reads, s.writes = now, 0, 0
	}
	if method == http.MethodGet {
		s.reads++
		return s.reads <= readsPerSecond
	}
	s.writes++
	return s.writes <= writesPerSecond
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.data.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := []object{}
	more := false
	for _, name := range slices.Sorted(maps.Keys(s.data.objects[kind])) {
		if name <= after && after != "" {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, s.data.objects[kind][name])
	}
	at := s.data.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		gone := since > s.data.revision
		events := []event{}
		for _, e := range s.data.history {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		at, changed := s.data.revision, s.changed
		s.mu.Unlock()
		switch {
		case gone:
			answer(w, http.StatusGone, struct{}{})
			return
		case len(events) > 0 || over:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// write carries out POST, PUT, PUT of a status, and DELETE.
func (s *store) write(w http.ResponseWriter, r *http.Request, parts []string, body []byte) {
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	kind, name := parts[0], in.Meta.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	condition := in.Meta.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		condition, _ = strconv.ParseInt(q, 10, 64)
	}
	s.mu.Lock()
	status, out := s.apply(r.Method, kind, name, len(parts) == 3, condition, in)
	s.mu.Unlock()
	s.rec.line("store %s %s/%s -> %d", r.Method, kind, name, status)
	answer(w, status, out)
}

func (s *store) apply(method, kind, name string, onlyStatus bool, condition int64, in object) (int, any) {
	o, ok := s.data.objects[kind][name]
	switch {
	case method == http.MethodPost && ok:
		return http.StatusConflict, o
	case method == http.MethodPost:
		s.save(kind, object{Meta: meta{Name: name, Created: s.data.revision + 1, Finalizers: in.Meta.Finalizers}, Spec: in.Spec})
		return http.StatusOK, s.data.objects[kind][name]
	case !ok:
		return http.StatusNotFound, struct{}{}
	case condition != 0 && condition != o.Meta.Revision:
		return http.StatusConflict, o
	case method == http.MethodDelete:
		s.drop(kind, o)
		return http.StatusOK, o
	case onlyStatus && !bytes.Equal(o.Status, in.Status):
		o.Status = in.Status
		s.save(kind, o)
	case !onlyStatus && !bytes.Equal(o.Spec, in.Spec):
		o.Spec, o.Meta.Finalizers = in.Spec, in.Meta.Finalizers
		s.save(kind, o)
	}
	return http.StatusOK, s.data.objects[kind][name]
}
