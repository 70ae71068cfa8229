package main

import (
	"encoding/json"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store. It follows PROTOCOL.md: its answers are linearizable, a
// single revision counter starts above 0, and a watch answers as soon as there is an event.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change
	revision int64
	objects  map[string]map[string]*object // by kind and name
	events   map[string][]event
}

type object struct {
	Meta   meta `json:"meta"`
	Spec   any  `json:"spec"`
	Status any  `json:"status"`
}

type meta struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type event struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

const pageSize = 500

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		listener: listener, changed: make(chan struct{}), revision: 1,
		objects: make(map[string]map[string]*object), events: make(map[string][]event),
	}
	go func() { _ = http.Serve(listener, s) }() // ends with the process
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put creates an object or replaces its spec, and returns the time of the acknowledgement.
func (s *store) put(kind, name string, spec any) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := object{Meta: meta{Name: name, Created: s.revision + 1, Finalizers: []string{}}, Spec: spec}
	if old, ok := s.objects[kind][name]; ok {
		o.Meta.Created, o.Status = old.Meta.Created, old.Status
	}
	s.save(kind, o)
	return time.Now()
}

// remove deletes an object, and returns the time of the acknowledgement.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
	return time.Now()
}

// status returns the status of an object.
func (s *store) status(kind, name string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		status, _ := o.Status.(map[string]any)
		return status
	}
	return nil
}

// save stores an object under the next revision. The caller holds s.mu.
func (s *store) save(kind string, o object) {
	s.revision++
	o.Meta.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*object)
	}
	s.objects[kind][o.Meta.Name] = &o
	s.publish(kind, event{Object: o})
}

// drop deletes an object, if it exists. The caller holds s.mu.
func (s *store) drop(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	gone := *o
	gone.Meta.Revision = s.revision
	delete(s.objects[kind], name)
	s.publish(kind, event{Object: gone, Removed: true})
}

func (s *store) publish(kind string, e event) {
	s.events[kind] = append(s.events[kind], e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	query := r.URL.Query()
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	var body object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodPost:
		s.create(w, kind, body)
	case r.Method == http.MethodPut && len(parts) == 3:
		s.replace(w, kind, name, body, func(o *object) { o.Status = body.Status })
	case r.Method == http.MethodPut:
		s.replace(w, kind, name, body, func(o *object) { o.Spec = body.Spec })
	case r.Method == http.MethodDelete:
		revision, _ := strconv.ParseInt(query.Get("revision"), 10, 64)
		s.delete(w, kind, name, revision)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // an error means that the VM has closed the connection
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	items := []object{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, *s.objects[kind][name])
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at": s.revision})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, o)
}

func (s *store) create(w http.ResponseWriter, kind string, body object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.objects[kind][body.Meta.Name]; ok {
		respond(w, http.StatusConflict, old)
		return
	}
	s.save(kind, object{Meta: meta{Name: body.Meta.Name, Created: s.revision + 1, Finalizers: []string{}}, Spec: body.Spec})
	respond(w, http.StatusOK, s.objects[kind][body.Meta.Name])
}

func (s *store) replace(w http.ResponseWriter, kind, name string, body object, change func(*object)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind][name]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
		return
	case body.Meta.Revision != 0 && body.Meta.Revision != old.Meta.Revision:
		respond(w, http.StatusConflict, old)
		return
	}
	o := *old
	change(&o)
	if !reflect.DeepEqual(o, *old) {
		s.save(kind, o)
	}
	respond(w, http.StatusOK, s.objects[kind][name])
}

func (s *store) delete(w http.ResponseWriter, kind, name string, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind][name]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case revision != 0 && revision != old.Meta.Revision:
		respond(w, http.StatusConflict, old)
	default:
		s.drop(kind, name)
		respond(w, http.StatusOK, old)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.events[kind] {
			if e.Object.Meta.Revision > since {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			respond(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}
