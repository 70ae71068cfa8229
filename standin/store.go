// Package standin provides stand-ins for the platform's object store and for backend servers, for tests
// and demos. They are HTTP handlers with faults that can be switched on.
package standin

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	api "github.com/gooseberrylock/gooseberrylock/api/store"
)

// StoreFaults holds the faults of a Store. The zero value has none.
type StoreFaults struct {
	Down       bool          // every call fails without effect
	Delay      time.Duration // delay before every call is handled
	LoseAnswer bool          // writes take effect, but their answers are lost
}

// Store is an in-memory object store with versions, conditional updates and long-poll reads. Its
// methods may be called concurrently.
type Store struct {
	mu       sync.Mutex
	revision int64
	objects  map[storeKey]api.Object
	vms      []api.VM
	faults   StoreFaults
	changed  chan struct{} // closed and replaced at each change
	calls    int
}

type storeKey struct{ kind, name string }

// NewStore returns a store without objects that lists the given VMs.
func NewStore(vms []api.VM) *Store {
	return &Store{objects: make(map[storeKey]api.Object), vms: vms, changed: make(chan struct{})}
}

// Handler returns the HTTP handler of the store API.
func (s *Store) Handler() http.Handler {
	h, err := api.NewServer(s)
	if err != nil {
		panic(err) // only a bug in the generated code can cause this
	}
	return h
}

// SetFaults replaces the faults. Waiting reads are woken, so that they see Down.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notify()
}

// SetVMs replaces the list of VMs.
func (s *Store) SetVMs(vms []api.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = vms
}

// Calls returns the number of API calls received so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// notify wakes all waiting reads. The caller holds the lock.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// unavailable returns the error answer of a store that is down.
func unavailable() error {
	return &api.ErrorStatusCode{StatusCode: http.StatusServiceUnavailable, Response: api.Error{Reason: "store is down"}}
}

// begin counts a call and applies the faults Delay and Down.
func (s *Store) begin(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
		}
	}
	if f.Down {
		return unavailable()
	}
	return nil
}

// GetObject implements api.Handler.
func (s *Store) GetObject(ctx context.Context, p api.GetObjectParams) (api.GetObjectRes, error) {
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[storeKey{p.Kind, p.Name}]
	if !ok {
		return &api.Error{Reason: "no such object"}, nil
	}
	return &o, nil
}

// PutObject implements api.Handler.
func (s *Store) PutObject(ctx context.Context, v *api.Value, p api.PutObjectParams) (api.PutObjectRes, error) {
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := storeKey{p.Kind, p.Name}
	current, ok := s.objects[key]
	if current.Version != p.IfVersion {
		c := &api.Conflict{Reason: "the object has another version"}
		if ok {
			c.Current = api.NewOptObject(current)
		}
		return c, nil
	}
	s.revision++
	o := api.Object{Kind: p.Kind, Name: p.Name, Version: s.revision, Data: v.Data}
	s.objects[key] = o
	s.notify()
	if s.faults.LoseAnswer {
		return nil, unavailable()
	}
	return &o, nil
}

// ListObjects implements api.Handler.
func (s *Store) ListObjects(ctx context.Context, p api.ListObjectsParams) (*api.ObjectList, error) {
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	deadline := time.NewTimer(time.Duration(p.WaitMs.Or(0)) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		list := s.since(p.Since)
		down := s.faults.Down
		changed := s.changed
		s.mu.Unlock()
		if down {
			return nil, unavailable()
		}
		if len(list.Objects) > 0 || p.WaitMs.Or(0) == 0 {
			return list, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return list, nil
		case <-ctx.Done():
			return list, nil
		}
	}
}

// since returns the objects that changed after a revision, in the order of their changes. The caller
// holds the lock.
func (s *Store) since(revision int64) *api.ObjectList {
	list := &api.ObjectList{Revision: s.revision, Objects: []api.Object{}}
	for _, o := range s.objects {
		if o.Version > revision {
			list.Objects = append(list.Objects, o)
		}
	}
	sort.Slice(list.Objects, func(i, j int) bool { return list.Objects[i].Version < list.Objects[j].Version })
	return list
}

// ListVMs implements api.Handler.
func (s *Store) ListVMs(ctx context.Context) (*api.VMList, error) {
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return &api.VMList{Vms: append([]api.VM{}, s.vms...)}, nil
}

// NewError implements api.Handler.
func (s *Store) NewError(_ context.Context, err error) *api.ErrorStatusCode {
	return &api.ErrorStatusCode{StatusCode: http.StatusBadRequest, Response: api.Error{Reason: err.Error()}}
}
