package main

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems bounds the objects of one page of a list.
const pageItems = 500

// Store is a stand-in of the platform's store. It keeps its whole history.
type Store struct {
	server *http.Server
	addr   string

	mu       sync.Mutex
	changed  *sync.Cond
	revision int64
	objects  map[string]map[string]object // by kind and name
	events   map[string][]storeEvent      // by kind
	down     bool
}

type objectMeta struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   objectMeta `json:"meta"`
	Spec   any        `json:"spec"`
	Status any        `json:"status"`
}

type storeEvent struct {
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
	revision int64
}

// NewStore starts an empty store at a free port of ip.
func NewStore(ip string) (*Store, error) {
	lis, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &Store{
		addr:     lis.Addr().String(),
		revision: 1,
		objects:  make(map[string]map[string]object),
		events:   make(map[string][]storeEvent),
	}
	s.changed = sync.NewCond(&s.mu)
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(lis) }() // ends with Close
	return s, nil
}

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// SetDown makes the store silent, or ends that: it then answers no call, and executes none.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.changed.Broadcast()
}

// Put creates an object or replaces its spec, as the operator and the searchers do. It returns the time of
// the acknowledgement, or false if the store is down.
func (s *Store) Put(kind, name string, spec any) (time.Time, bool) {
	spec = normalize(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return time.Time{}, false
	}
	o, ok := s.objects[kind][name]
	if !ok {
		o.Meta = objectMeta{Name: name, Created: s.revision + 1}
	}
	o.Spec = spec
	s.put(kind, o)
	return time.Now(), true
}

// Remove deletes an object. It returns the time of the acknowledgement.
func (s *Store) Remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.revision++
		delete(s.objects[kind], name)
		o.Meta.Revision = s.revision
		s.events[kind] = append(s.events[kind], storeEvent{Object: o, Removed: true, revision: s.revision})
		s.changed.Broadcast()
	}
	return time.Now()
}

// Status returns the status of an object, or nil.
func (s *Store) Status(kind, name string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, _ := s.objects[kind][name].Status.(map[string]any)
	return status
}

// Names returns the names of the objects of a kind.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names(kind)
}

func (s *Store) names(kind string) []string {
	var names []string
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// put stores an object under the next revision, unless it has not changed. The caller holds s.mu.
func (s *Store) put(kind string, o object) object {
	if old, ok := s.objects[kind][o.Meta.Name]; ok && reflect.DeepEqual(old.Spec, o.Spec) && reflect.DeepEqual(old.Status, o.Status) {
		return old
	}
	s.revision++
	o.Meta.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][o.Meta.Name] = o
	s.events[kind] = append(s.events[kind], storeEvent{Object: o, revision: s.revision})
	s.changed.Broadcast()
	return o
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// normalize returns a value as JSON decoding returns it.
func normalize(v any) any {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the values are literals of this program
	}
	var out any
	if err := json.Unmarshal(data, &out); err != nil {
		panic(err)
	}
	return out
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		<-r.Context().Done() // silent until the caller leaves
		return
	}
	body, err := io.ReadAll(r.Body)
	path, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if err != nil || !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	parts := strings.Split(path, "/")
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, r, parts[0])
	case r.Method == http.MethodGet:
		s.get(w, parts[0], parts[1])
	default:
		s.write(w, r, parts, body)
	}
}

// unreadable stands in a string of a spec for bytes that JSON does not allow there.
const unreadable = "@unreadable@"

func reply(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	data = bytes.ReplaceAll(data, []byte(unreadable), []byte("\x01\xff\x02"))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // an error means that the caller has left
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	after := r.URL.Query().Get("after")
	items, more := []object{}, false
	for _, name := range s.names(kind) {
		if name <= after {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, s.objects[kind][name])
	}
	at := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Until(end), s.changed.Broadcast)
	defer timer.Stop()
	s.mu.Lock()
	events := s.eventsSince(kind, since)
	for len(events) == 0 && time.Now().Before(end) && r.Context().Err() == nil {
		s.changed.Wait()
		events = s.eventsSince(kind, since)
	}
	down := s.down
	at := s.revision
	s.mu.Unlock()
	if down {
		<-r.Context().Done() // the answer is lost
		return
	}
	reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
}

func (s *Store) eventsSince(kind string, since int64) []storeEvent {
	events := []storeEvent{}
	for _, e := range s.events[kind] {
		if e.revision > since {
			events = append(events, e)
		}
	}
	return events
}

// write performs a call that changes an object.
func (s *Store) write(w http.ResponseWriter, r *http.Request, parts []string, body []byte) {
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	kind, name := parts[0], in.Meta.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	revision := in.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		revision, _ = strconv.ParseInt(text, 10, 64) // 0 means that the call has no condition
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case exists && revision != 0 && revision != old.Meta.Revision, exists && r.Method == http.MethodPost:
		reply(w, http.StatusConflict, old)
	case !exists && r.Method != http.MethodPost:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.objects[kind], name)
		s.events[kind] = append(s.events[kind], storeEvent{Object: old, Removed: true, revision: s.revision})
		s.changed.Broadcast()
		reply(w, http.StatusOK, old)
	case len(parts) == 3 && parts[2] == "status":
		old.Status = in.Status
		reply(w, http.StatusOK, s.put(kind, old))
	case exists:
		old.Spec, old.Meta.Finalizers = in.Spec, in.Meta.Finalizers
		reply(w, http.StatusOK, s.put(kind, old))
	default:
		in.Meta.Created = s.revision + 1
		reply(w, http.StatusCreated, s.put(kind, in))
	}
}

// PutEntry writes the entry of a searcher. A new sequence alone does not change the entry. It returns the time
// of the acknowledgement, or false if the store is down.
func (s *Store) PutEntry(name string, spec map[string]any) (time.Time, bool) {
	s.mu.Lock()
	old, _ := s.objects[kindSearchers][name].Spec.(map[string]any)
	down := s.down
	s.mu.Unlock()
	if old != nil && !down {
		same := maps.Clone(old)
		same["sequence"] = normalize(spec["sequence"])
		if reflect.DeepEqual(same, normalize(spec)) {
			return time.Now(), true
		}
	}
	return s.Put(kindSearchers, name, spec)
}
