package directory

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// Config are the settings of the reducer.
type Config struct {
	Self model.VM
	// Waits is how long a watch of each kind may wait. With the timeout of the reader it
	// bounds how long a dead watch goes unnoticed. 0 means that the kind is listed every
	// ListInterval instead.
	Waits        [5]time.Duration // by Kind
	ListInterval time.Duration
	// Gather is how long after an answer the next watch of replicas starts, so that one read
	// brings several changes.
	Gather time.Duration
	// RegisterInterval is the time between registrations of this VM.
	RegisterInterval time.Duration
	// VMTimeout is how long a VM counts that does not register again.
	VMTimeout time.Duration
	// LapseAfter is the length of an outage of the store from which entries of live servers
	// may have lapsed, and LapseGrace is the time within which these are back.
	LapseAfter time.Duration
	LapseGrace time.Duration
	// RetryMin and RetryMax bound the pause after a failed read.
	RetryMin, RetryMax time.Duration
}

// DefaultConfig returns the settings for a VM.
func DefaultConfig(self model.VM) Config {
	return Config{
		Self: self,
		Waits: [5]time.Duration{
			KindConfig:   1200 * time.Millisecond,
			KindReplicas: 1500 * time.Millisecond,
			KindZonesOut: 2500 * time.Millisecond,
			KindRollouts: 2500 * time.Millisecond,
		},
		ListInterval:     20 * time.Second,
		Gather:           100 * time.Millisecond,
		RegisterInterval: time.Minute,
		VMTimeout:        3 * time.Minute,
		LapseAfter:       time.Second,
		LapseGrace:       2300 * time.Millisecond,
		RetryMin:         100 * time.Millisecond,
		RetryMax:         time.Second,
	}
}

// Validate reports the first setting that is out of its range.
func (c Config) Validate() error {
	switch {
	case c.Self == "":
		return errors.New("directory: the name of the VM is empty")
	case c.RetryMin <= 0 || c.RetryMax < c.RetryMin:
		return errors.New("directory: the pauses after a failed read are out of order")
	case c.ListInterval <= 0 || c.RegisterInterval <= 0:
		return errors.New("directory: an interval is not positive")
	}
	return nil
}

// read is the state of the reads of one kind.
type read struct {
	revision uint64 // up to which the objects are known; 0 before the first list
	running  bool
	failures int        // in a row
	dueAt    model.Time // of the next read, if none is running
	list     bool       // the next read lists all objects
	okAt     model.Time // last answer
}

// State is the control state of an entry VM.
type State struct {
	cfg      Config
	reads    [kinds]read
	config   *model.EntryConfig
	replicas map[string]*entry[model.Replica] // by the name of the object
	zonesOut map[string]bool
	rollouts map[string]model.Rollout
	vms      map[string]*entry[model.EntryVM]

	failingSince model.Time // 0 while the store answers
	doubtUntil   model.Time // removals count as lapses until then
	registerAt   model.Time
	started      bool
	changed      bool
	effects      []Effect
}

// entry is an object with the time at which this VM last saw it change.
type entry[T any] struct {
	value    T
	revision uint64
	seenAt   model.Time
	lapsed   bool // removed right after an outage of the store; kept until doubtUntil
}

// New returns a state that knows nothing.
func New(cfg Config) *State {
	return &State{
		cfg:      cfg,
		replicas: make(map[string]*entry[model.Replica]),
		zonesOut: make(map[string]bool),
		rollouts: make(map[string]model.Rollout),
		vms:      make(map[string]*entry[model.EntryVM]),
	}
}

// Ready reports whether enough is known to serve callers.
func (s *State) Ready() bool {
	return s.config != nil && s.reads[KindReplicas].revision > 0 && s.reads[KindZonesOut].revision > 0
}

// Reduce applies one event and returns the effects to carry out, in order.
func (s *State) Reduce(ev Event, now model.Time) []Effect {
	s.effects = nil
	s.changed = false
	switch ev := ev.(type) {
	case Started:
		s.start()
	case Listed:
		s.listed(ev, now)
	case Changed:
		s.answered(ev.Kind, now)
		s.apply(ev.Kind, ev.Changes, now)
		s.reads[ev.Kind].revision = max(s.reads[ev.Kind].revision, ev.Revision)
		s.scheduleNext(ev.Kind, len(ev.Changes) > 0, now)
	case HistoryGone:
		s.answered(ev.Kind, now)
		s.note(Info, "history of the store is gone, listing again", Field{"kind", ev.Kind},
			Field{"since", s.reads[ev.Kind].revision})
		s.reads[ev.Kind].list = true
		s.reads[ev.Kind].dueAt = now
	case ReadFailed:
		s.readFailed(ev, now)
	case Registered:
		s.registered(ev, now)
	case Woken:
	}
	s.endDoubt(now)
	s.runReads(now)
	if s.changed {
		s.publish(now)
	}
	s.askWake()
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) note(level Level, message string, fields ...Field) {
	s.emit(Note{Level: level, Message: message, Fields: fields})
}

func (s *State) start() {
	s.started = true
	for k := range s.reads {
		s.reads[k].list = true
	}
	s.registerAt = 0
}

// runReads starts the reads that are due, and the registration of this VM.
func (s *State) runReads(now model.Time) {
	if !s.started {
		return
	}
	for k := range s.reads {
		r := &s.reads[k]
		if r.running || now < r.dueAt {
			continue
		}
		r.running = true
		if r.list {
			s.emit(List{Kind: Kind(k)})
		} else {
			s.emit(Watch{Kind: Kind(k), Since: r.revision, Wait: s.cfg.Waits[k]})
		}
	}
	if now >= s.registerAt {
		s.registerAt = now.Add(s.cfg.RegisterInterval)
		s.emit(Register{})
	}
}

func (s *State) listed(ev Listed, now model.Time) {
	s.answered(ev.Kind, now)
	r := &s.reads[ev.Kind]
	if ev.Revision < r.revision {
		s.note(Warn, "list of the store is older than what is known", Field{"kind", ev.Kind},
			Field{"revision", ev.Revision}, Field{"known", r.revision})
		r.dueAt = now.Add(s.cfg.RetryMin)
		return
	}
	first := r.revision == 0
	r.revision = ev.Revision
	r.list = false
	s.apply(ev.Kind, append(ev.Changes, s.missing(ev)...), now)
	s.changed = s.changed || first
	s.scheduleNext(ev.Kind, false, now)
}

// missing returns the removals that a full list implies.
func (s *State) missing(ev Listed) []Change {
	listed := make(map[string]bool, len(ev.Changes))
	for _, c := range ev.Changes {
		listed[c.Name] = true
	}
	var names []string
	switch ev.Kind {
	case KindReplicas:
		names = keysOf(s.replicas)
	case KindZonesOut:
		names = keysOf(s.zonesOut)
	case KindRollouts:
		names = keysOf(s.rollouts)
	case KindVMs:
		names = keysOf(s.vms)
	}
	var removed []Change
	for _, name := range names {
		if !listed[name] {
			removed = append(removed, Change{Name: name, Revision: ev.Revision, Removed: true})
		}
	}
	return removed
}

func keysOf[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *State) scheduleNext(k Kind, gather bool, now model.Time) {
	r := &s.reads[k]
	r.dueAt = now
	switch {
	case s.cfg.Waits[k] == 0:
		r.list = true
		r.dueAt = now.Add(s.cfg.ListInterval)
	case gather && k == KindReplicas:
		r.dueAt = now.Add(s.cfg.Gather)
	}
}

// answered notes that the store has answered, and the end of an outage.
func (s *State) answered(k Kind, now model.Time) {
	r := &s.reads[k]
	r.running, r.failures, r.okAt = false, 0, now
	if s.failingSince == 0 {
		return
	}
	away := now.Sub(s.failingSince)
	s.failingSince = 0
	if away >= s.cfg.LapseAfter {
		s.doubtUntil = now.Add(s.cfg.LapseGrace)
	}
	s.note(Info, "store is back", Field{"away", away}, Field{"doubt_removals", away >= s.cfg.LapseAfter})
}

func (s *State) readFailed(ev ReadFailed, now model.Time) {
	r := &s.reads[ev.Kind]
	r.running = false
	r.failures++
	pause := min(s.cfg.RetryMin<<min(r.failures-1, 8), s.cfg.RetryMax)
	r.dueAt = now.Add(pause)
	if s.failingSince == 0 {
		// A watch that was silent may have been dead since it started.
		s.failingSince = max(r.okAt, 1)
		s.note(Warn, "store does not answer", Field{"kind", ev.Kind}, Field{"cause", ev.Cause},
			Field{"last_answer_ago", now.Sub(r.okAt)})
	}
}

func (s *State) registered(ev Registered, now model.Time) {
	if ev.Cause == "" {
		return
	}
	s.registerAt = now.Add(s.cfg.RetryMax)
	s.note(Warn, "registration of this VM failed", Field{"cause", ev.Cause})
}

func (s *State) askWake() {
	at := s.registerAt
	for k := range s.reads {
		if !s.reads[k].running {
			at = min(at, s.reads[k].dueAt)
		}
	}
	if s.doubtUntil != 0 {
		at = min(at, s.doubtUntil)
	}
	s.emit(Wake{At: at})
}

// publish hands the beliefs to the traffic workers.
func (s *State) publish(now model.Time) {
	v := &model.EntryView{
		Config:   s.config,
		Replicas: make(map[model.ReplicaSet][]model.Replica),
		Shares:   s.shares(now),
		Rollouts: make(map[model.ReplicaSet]model.Rollout),
		AsOf:     s.reads[KindConfig].okAt,
	}
	for _, name := range keysOf(s.replicas) {
		r := s.replicas[name].value
		if !r.Draining && !s.zonesOut[string(r.Zone)] {
			v.Replicas[r.Set] = append(v.Replicas[r.Set], r)
		}
	}
	for _, r := range s.rollouts {
		v.Rollouts[r.Set] = r
	}
	s.emit(Publish{View: v})
}

// shares returns the number of VMs that may serve callers now.
func (s *State) shares(now model.Time) int {
	n := 0
	for _, vm := range s.vms {
		if now.Sub(vm.seenAt) < s.cfg.VMTimeout {
			n++
		}
	}
	return max(n, 1)
}

func compareBorn(a, b model.Replica) int {
	if c := a.Born.Compare(b.Born); c != 0 {
		return c
	}
	return cmp.Compare(a.Sequence, b.Sequence)
}
