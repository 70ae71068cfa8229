package directory

import (
	"errors"
	"math"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Config are the settings of the reducer.
type Config struct {
	Self model.VM
	Boot model.Boot // of this process
	// WatchWaits is, by kind, the longest time that a watch waits for a change. Together with
	// the timeout of the reader it bounds how long a dead watch goes unnoticed.
	WatchWaits [KindCount]time.Duration
	// BatchDelay is the delay between a read that returned changes of replicas and the next
	// watch of replicas, so that one read returns several changes.
	BatchDelay time.Duration
	// RegisterInterval is the time between registrations of this VM.
	RegisterInterval time.Duration
	// VMTimeout is how long a VM counts that does not register again.
	VMTimeout time.Duration
	// Readers is the number of VMs that read the store for all, and Upstreams how many of
	// them each VM follows.
	Readers   int
	Upstreams int
	// FollowGrace is how long after its start a VM waits for another one's answer before it
	// reads the store itself.
	FollowGrace time.Duration
	// ReaderGrace is how long after its start a VM learns which VMs there are before it may
	// become a reader.
	ReaderGrace time.Duration
	// FreshnessMargin is added to the WatchWaits of a kind. A VM that follows others reads a
	// kind from the store itself once the last confirmation of the kind is older than the sum.
	FreshnessMargin time.Duration
	// StatusInterval is the time between two status messages to followers, and between two
	// reports of evidence to upstreams. UpstreamTimeout is the time without a message after
	// which an upstream counts as lost.
	StatusInterval  time.Duration
	UpstreamTimeout time.Duration
	// UpstreamRetryDelay is how long a VM that could not be followed is left out. It doubles
	// with each failure in a row, up to a limit.
	UpstreamRetryDelay time.Duration
	// ExpiryThreshold is the time without a confirmation by the store after which entries of
	// live servers may have expired, and ReregistrationGrace is the time within which these
	// servers register again.
	ExpiryThreshold     time.Duration
	ReregistrationGrace time.Duration
	// RetryMin and RetryMax bound the pause after a failed read.
	RetryMin, RetryMax time.Duration
}

// DefaultConfig returns the settings for a VM.
func DefaultConfig(self model.VM, boot model.Boot) Config {
	return Config{
		Self: self,
		Boot: boot,
		WatchWaits: [KindCount]time.Duration{
			KindConfig:   1200 * time.Millisecond,
			KindReplicas: 1500 * time.Millisecond,
			KindZonesOut: 2500 * time.Millisecond,
			KindRollouts: 2500 * time.Millisecond,
			KindVMs:      5 * time.Second,
		},
		BatchDelay:          100 * time.Millisecond,
		RegisterInterval:    time.Minute,
		VMTimeout:           3 * time.Minute,
		Readers:             2,
		Upstreams:           2,
		FollowGrace:         1200 * time.Millisecond,
		ReaderGrace:         600 * time.Millisecond,
		FreshnessMargin:     1300 * time.Millisecond,
		StatusInterval:      400 * time.Millisecond,
		UpstreamTimeout:     1300 * time.Millisecond,
		UpstreamRetryDelay:  3 * time.Second,
		ExpiryThreshold:     2300 * time.Millisecond,
		ReregistrationGrace: 2300 * time.Millisecond,
		RetryMin:            100 * time.Millisecond,
		RetryMax:            time.Second,
	}
}

// Validate reports the first setting that is out of its range.
func (c Config) Validate() error {
	switch {
	case c.Self == "":
		return errors.New("directory: the name of the VM is empty")
	case c.RetryMin <= 0 || c.RetryMax < c.RetryMin:
		return errors.New("directory: the pauses after a failed read are out of order")
	case c.RegisterInterval <= 0 || c.StatusInterval <= 0:
		return errors.New("directory: an interval is not positive")
	case c.Readers < 1 || c.Upstreams < 0:
		return errors.New("directory: the number of readers or of followed VMs is out of range")
	}
	return nil
}

// State is the control state of an entry VM.
type State struct {
	cfg      Config
	reads    [kinds]read
	objects  [kinds]map[string]Change // as the store has them
	config   *model.EntryConfig
	replicas map[string]*replica // by the name of the object
	zonesOut map[string]bool
	rollouts map[string]*rollout // by the name of the object
	vms      map[string]*knownVM
	order    []model.EntryVM // cache of rankedVMs, nil after a change of vms

	upstreams map[model.VM]*upstream
	lost      map[model.VM]lostVM
	followers map[uint64]bool
	vmLists   int // lists of the VMs that were read
	spreadAt  model.Time
	reportAt  model.Time // next report of the evidence on rollouts

	failing    bool       // the last read failed
	doubtUntil model.Time // removals of replicas count as lapses until then
	registerAt model.Time
	registered bool
	started    bool
	startedAt  model.Time
	changed    bool
	effects    []Effect
}

// replica is a backend server's entry.
type replica struct {
	value  model.Replica
	lapsed bool // removed right after an outage of the store; kept until doubtUntil
}

// knownVM is a VM's entry with the time at which this VM last saw it change.
type knownVM struct {
	value    model.EntryVM
	revision uint64
	seenAt   model.Time
}

// New returns a state that knows nothing.
func New(cfg Config) *State {
	s := &State{
		cfg:       cfg,
		replicas:  make(map[string]*replica),
		zonesOut:  make(map[string]bool),
		rollouts:  make(map[string]*rollout),
		vms:       make(map[string]*knownVM),
		upstreams: make(map[model.VM]*upstream),
		lost:      make(map[model.VM]lostVM),
		followers: make(map[uint64]bool),
	}
	for k := range s.objects {
		s.objects[k] = make(map[string]Change)
		s.reads[k].list = true
	}
	return s
}

// Ready reports whether enough is known to serve callers.
func (s *State) Ready() bool {
	return s.config != nil && s.reads[KindReplicas].revision > 0 && s.reads[KindZonesOut].revision > 0
}

// KnownRevision returns the revision up to which a kind is known, or 0 if changes are missing
// and all objects of the kind are needed.
func (s *State) KnownRevision(k Kind) uint64 {
	if s.reads[k].gap {
		return 0
	}
	return s.reads[k].revision
}

// Reduce applies one event and returns the effects to carry out, in order.
func (s *State) Reduce(ev Event, now model.Time) []Effect {
	s.effects = nil
	s.changed = false
	switch ev := ev.(type) {
	case Started:
		s.started, s.startedAt = true, now
	case Listed, Changed, HistoryGone, ReadFailed:
		s.readEnded(ev, now)
	case Registered:
		s.registrationEnded(ev, now)
	case UpstreamStatusReceived:
		s.heard(ev, now)
	case FollowEnded:
		s.lose(ev.From, ev.Cause, now)
	case FollowerJoined:
		s.followerJoined(ev.Follower, now)
	case FollowerLeft:
		delete(s.followers, ev.Follower)
	case LocalEvidenceReceived:
		s.takeEvidence(ev.Evidence, now)
	case FollowerEvidenceReceived:
		s.mergeEvidence(ev.Evidence, now)
	case RolloutWriteEnded:
		s.concluded(ev, now)
	case Woken:
	}
	if s.started {
		s.endDoubt(now)
		s.chooseUpstreams(now)
		s.runReads(now)
		s.reportEvidence(now)
		s.conclude(now)
		s.spreadAges(now)
		s.register(now)
	}
	if s.changed {
		s.publish(now)
	}
	s.askWake(now)
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) log(level logline.Level, message string, fields ...logline.Field) {
	s.emit(Log{Line: logline.Line{Level: level, Message: message, Fields: fields}})
}

func (s *State) register(now model.Time) {
	if now < s.registerAt {
		return
	}
	s.registerAt = now.Add(s.cfg.RegisterInterval)
	s.emit(Register{Again: s.registered})
}

func (s *State) registrationEnded(ev Registered, now model.Time) {
	if ev.Cause == "" {
		s.registered = true
		return
	}
	s.registerAt = now.Add(s.cfg.RetryMax)
	s.log(logline.Warn, "registration of this VM failed", logline.F("cause", ev.Cause))
}

// askWake asks for the next time at which something is due.
func (s *State) askWake(now model.Time) {
	at := s.registerAt
	for k := range s.reads {
		if !s.reads[k].running {
			at = min(at, s.nextRead(Kind(k), now))
		}
	}
	if s.doubtUntil != 0 {
		at = min(at, s.doubtUntil)
	}
	if len(s.followers) > 0 {
		at = min(at, s.spreadAt)
	}
	for _, u := range s.upstreams {
		at = min(at, u.heardAt.Add(s.cfg.UpstreamTimeout))
	}
	if grace := s.startedAt.Add(s.cfg.ReaderGrace); grace > now {
		at = min(at, grace)
	}
	at = min(at, s.nextRollout(now))
	for _, l := range s.lost {
		if l.until > now {
			at = min(at, l.until)
		}
	}
	s.emit(Wake{At: max(at, now.Add(minWake))})
}

// minWake keeps a due time that nothing acts on from waking the VM without end.
const minWake = time.Millisecond

// publish hands the beliefs to the traffic workers.
func (s *State) publish(now model.Time) {
	v := &model.EntryView{
		Config:      s.config,
		Replicas:    make(map[model.ReplicaSet][]model.Replica),
		ServingVMs:  s.shares(now),
		Rollouts:    s.publishedRollouts(),
		ConfirmedAt: s.reads[KindConfig].okAt,
	}
	for _, name := range keysOf(s.replicas) {
		r := s.replicas[name].value
		if !r.Draining && !s.zonesOut[string(r.Zone)] {
			v.Replicas[r.Set] = append(v.Replicas[r.Set], r)
		}
	}
	v.Senders = s.senders(now)
	v.IsSender = slices.ContainsFunc(v.Senders, func(vm model.EntryVM) bool { return vm.Name == s.cfg.Self })
	s.emit(PublishView{View: v})
}

const (
	// senderCores is the part of the largest VM's cores that a sender has at least.
	senderCores = 0.5
	// senderConns is the number of connections that a sender needs to one backend server, and
	// connsInUse the part of a server's connections that is planned with.
	senderConns = 2
	connsInUse  = 0.8
)

// senders returns the VMs that send gathered queries: the larger ones, no more than the
// connections of the backend servers allow. Every VM that knows the same finds the same.
func (s *State) senders(now model.Time) []model.EntryVM {
	var vms []model.EntryVM
	largest := 0.0
	for _, vm := range s.rankedVMs() {
		if now.Sub(s.vms[string(vm.Name)].seenAt) < s.cfg.VMTimeout {
			vms = append(vms, vm)
			largest = max(largest, vm.Cores)
		}
	}
	vms = slices.DeleteFunc(vms, func(vm model.EntryVM) bool { return vm.Cores < senderCores*largest })
	return vms[:min(len(vms), s.maxSenders())]
}

// maxSenders returns how many senders the connections of the backend servers allow.
func (s *State) maxSenders() int {
	conns := math.MaxInt
	if s.config == nil {
		return conns
	}
	for i := range s.config.Routes {
		for _, set := range s.config.Routes[i].Shards {
			if c := s.config.Sets[set].MaxConns; c > 0 {
				conns = min(conns, c)
			}
		}
	}
	if conns == math.MaxInt {
		return conns
	}
	return max(int(connsInUse*float64(conns)/senderConns), 1)
}

// ViewAge returns the largest of the ages of the configuration, the replicas and the zones that
// are out, which decide where a request may go.
func (s *State) ViewAge(now model.Time) time.Duration {
	age := time.Duration(0)
	for _, k := range []Kind{KindConfig, KindReplicas, KindZonesOut} {
		age = max(age, now.Sub(s.reads[k].okAt))
	}
	return age
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

func keysOf[K ~string, T any](m map[K]T) []K {
	names := make([]K, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
