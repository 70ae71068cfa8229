package vtime

import (
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Store simulates the platform's object store.
type Store struct {
	sched            *Scheduler
	Delay            time.Duration
	Down             bool
	LoseWriteAnswers bool // writes take effect, but their answers are lost
	Calls            int
	Writes           int
	revision         uint64
	objects          map[model.ObjectKey]model.Object
	watches          []*watch
	VMs              []event.ListedVM
}

type watch struct {
	since   uint64
	deliver func(event.Event)
	ended   bool
}

func newStore(s *Scheduler) *Store {
	return &Store{sched: s, Delay: 3 * time.Millisecond, objects: make(map[model.ObjectKey]model.Object)}
}

// callTimeout is the timeout of a call to the store or of a pull from a peer that gets no answer.
const callTimeout = 500 * time.Millisecond

// put writes an object if its stored version is still ifVersion, and passes the outcome to done.
func (s *Store) put(o model.Object, ifVersion uint64, done func(event.WriteOutcome, model.Object)) {
	s.Calls++
	if s.Down {
		s.sched.After(callTimeout, func() { done(event.WriteUnknown, model.Object{}) })
		return
	}
	s.sched.After(s.Delay, func() {
		current, ok := s.objects[o.Key]
		if !ok {
			current = model.Object{Key: o.Key, Deleted: true}
		}
		if current.Version != ifVersion {
			s.sched.After(s.Delay, func() { done(event.WriteConflict, current) })
			return
		}
		stored := s.Set(o)
		if s.LoseWriteAnswers {
			s.sched.After(callTimeout, func() { done(event.WriteUnknown, model.Object{}) })
			return
		}
		s.sched.After(s.Delay, func() { done(event.WriteOK, stored) })
	})
}

// Set writes an object unconditionally, as an operator of the platform would.
func (s *Store) Set(o model.Object) model.Object {
	s.Writes++
	s.revision++
	o.Version = s.revision
	s.objects[o.Key] = o
	for _, w := range slices.Clone(s.watches) {
		s.deliver(w)
	}
	return o
}

// Get returns the stored object and whether it exists.
func (s *Store) Get(key model.ObjectKey) (model.Object, bool) {
	o, ok := s.objects[key]
	return o, ok
}

func (s *Store) read(key model.ObjectKey, deliver func(event.Event)) {
	s.Calls++
	if s.Down {
		s.sched.After(callTimeout, func() { deliver(event.StoreFailed{Op: "read", Reason: "down"}) })
		return
	}
	s.sched.After(2*s.Delay, func() {
		o, ok := s.objects[key]
		if !ok {
			o = model.Object{Key: key, Deleted: true}
		}
		deliver(event.ObjectsReceived{FromStore: true, Objects: []model.Object{o}})
	})
}

// startWatch opens a watch. It is reopened after a failure, as the runtime does.
func (s *Store) startWatch(since uint64, deliver func(event.Event)) *watch {
	w := &watch{since: since, deliver: deliver}
	s.watches = append(s.watches, w)
	s.open(w, true)
	return w
}

// watchRetry is the delay before a failed watch is opened again.
const watchRetry = 300 * time.Millisecond

func (s *Store) open(w *watch, first bool) {
	if w.ended {
		return
	}
	s.Calls++
	if s.Down {
		s.sched.After(callTimeout, func() {
			if !w.ended {
				w.deliver(event.StoreFailed{Op: "watch", Reason: "down"})
				s.sched.After(watchRetry, func() { s.open(w, true) })
			}
		})
		return
	}
	if first {
		s.deliver(w)
	}
}

// deliver sends a watch all objects that changed since its last delivery.
func (s *Store) deliver(w *watch) {
	if w.ended || s.Down {
		return
	}
	var list []model.Object
	for _, o := range s.objects {
		if o.Version > w.since {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b model.Object) int { return int(a.Version) - int(b.Version) })
	w.since = s.revision
	revision := s.revision
	s.Calls++
	s.sched.After(s.Delay, func() {
		if !w.ended {
			w.deliver(event.ObjectsReceived{FromStore: true, Revision: revision, Objects: list})
		}
	})
}

func (s *Store) stopWatch(w *watch) {
	if w == nil {
		return
	}
	w.ended = true
	s.watches = slices.DeleteFunc(s.watches, func(x *watch) bool { return x == w })
}

// SetDown starts or ends an outage. Open watches fail when it starts.
func (s *Store) SetDown(down bool) {
	s.Down = down
	if !down {
		return
	}
	for _, w := range slices.Clone(s.watches) {
		w.deliver(event.StoreFailed{Op: "watch", Reason: "down"})
		s.sched.After(watchRetry, func() { s.open(w, true) })
	}
}
