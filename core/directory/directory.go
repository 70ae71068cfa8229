package directory

import (
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Config holds the settings of the reducer.
type Config struct {
	Self model.VM
	Boot model.Boot // of this process
	// Canary bounds the requests to the target version of a rollout, over all VMs.
	Canary model.RolloutLimit
	// WatchWaits is, by kind, the longest time that the store holds a watch open without a change.
	// Together with the slack that the runtime adds to the read it bounds how long a broken watch
	// goes unnoticed.
	WatchWaits [KindCount]time.Duration
	// BatchDelay is the delay between a read that returned changes of replicas and the next
	// watch of replicas. It lets one read return several changes.
	BatchDelay time.Duration
	// RegisterInterval is the minimum time between two registrations of this VM.
	RegisterInterval time.Duration
	// HeartbeatInterval is the time between two signs of life that a VM gives to those that it follows.
	// SilenceTimeout is the time without one after which a VM is checked, and CheckInterval the time
	// between two checks of a VM.
	HeartbeatInterval, SilenceTimeout, CheckInterval time.Duration
	// Readers is the number of VMs that read the store on behalf of all. Upstreams is the number
	// of VMs that each VM follows.
	Readers   int
	Upstreams int
	// FollowGrace is how long after its start a VM waits for the first update from an upstream
	// before it reads the store itself.
	FollowGrace time.Duration
	// ReaderGrace is how long after its start a VM must not become a reader. In this time the VMs
	// that start together register and list each other.
	ReaderGrace time.Duration
	// FreshnessMargin is added to the WatchWaits of a kind. A follower reads a kind from the
	// store itself once the age of the kind exceeds the sum.
	FreshnessMargin time.Duration
	// StatusInterval is the time between two status messages to followers, and between two
	// reports of rollout evidence to upstreams. UpstreamTimeout is the time without a status
	// message after which an upstream counts as lost.
	StatusInterval  time.Duration
	UpstreamTimeout time.Duration
	// UpstreamRetryDelay is the delay before a lost upstream is followed again. It doubles with
	// each consecutive failure, up to a limit.
	UpstreamRetryDelay time.Duration
	// StoreSilence is the time without an answer of the store, here or at an upstream, after which a
	// VM reads the store on new connections.
	StoreSilence time.Duration
	// ExpiryThreshold is the time without an answer of the store after which entries of running
	// servers may have expired. ReregistrationGrace is the time that these servers have to register
	// again before they are removed. It also begins when the store comes back from an older copy.
	ExpiryThreshold     time.Duration
	ReregistrationGrace time.Duration
	// OrderGrace is the time that operators have to write an order again which is missing from the copy
	// from which the store came back.
	OrderGrace time.Duration
	// ServerExpiry is the time after which the store has removed the entry of a server that writes no more.
	ServerExpiry time.Duration
	// RetryMin and RetryMax bound the delay after a failed read. It doubles with each consecutive
	// failure.
	RetryMin, RetryMax time.Duration
}

// DefaultConfig returns the default settings for a VM.
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
		RegisterInterval:    10 * time.Second,
		HeartbeatInterval:   30 * time.Second,
		SilenceTimeout:      2 * time.Minute,
		CheckInterval:       30 * time.Second,
		Readers:             2,
		Upstreams:           2,
		FollowGrace:         1200 * time.Millisecond,
		ReaderGrace:         600 * time.Millisecond,
		FreshnessMargin:     900 * time.Millisecond,
		StatusInterval:      400 * time.Millisecond,
		UpstreamTimeout:     1300 * time.Millisecond,
		UpstreamRetryDelay:  3 * time.Second,
		StoreSilence:        1900 * time.Millisecond,
		ExpiryThreshold:     2300 * time.Millisecond,
		ReregistrationGrace: 2300 * time.Millisecond,
		OrderGrace:          10 * time.Second,
		ServerExpiry:        4600 * time.Millisecond,
		RetryMin:            100 * time.Millisecond,
		RetryMax:            time.Second,
	}
}

// Validate returns an error for the first setting that is out of range.
func (c Config) Validate() error {
	switch {
	case c.Self == "":
		return errors.New("directory: the name of the VM is empty")
	case c.RetryMin <= 0 || c.RetryMax < c.RetryMin:
		return errors.New("directory: the retry delays must satisfy 0 < RetryMin <= RetryMax")
	case c.RegisterInterval <= 0 || c.StatusInterval <= 0:
		return errors.New("directory: RegisterInterval and StatusInterval must be positive")
	case c.HeartbeatInterval <= 0 || c.CheckInterval <= 0 || c.SilenceTimeout < 2*c.HeartbeatInterval:
		return errors.New("directory: HeartbeatInterval and CheckInterval must be positive, and SilenceTimeout twice HeartbeatInterval")
	case c.StoreSilence <= 0 || c.StoreSilence >= c.ExpiryThreshold:
		return errors.New("directory: StoreSilence must be positive and shorter than ExpiryThreshold")
	case c.ReregistrationGrace <= 0 || c.OrderGrace <= 0 || c.ServerExpiry <= 0:
		return errors.New("directory: ReregistrationGrace, OrderGrace and ServerExpiry must be positive")
	case c.Readers < 1 || c.Upstreams < 0:
		return errors.New("directory: Readers must be at least 1 and Upstreams must not be negative")
	}
	return c.Canary.Validate()
}

// State is the control state of an entry VM.
type State struct {
	cfg      Config
	era      uint64 // highest era of the store that is known, 0 if none was stated
	eraRose  bool   // the era has risen since the first answer
	oddEra   uint64 // last era below the current one that the store has stated for a read of the current one
	reads    [kinds]readState
	objects  [kinds]map[string]Change // by name, as received from the store
	held     [kinds]heldObjects
	config   *model.EntryConfig
	replicas map[string]*replica  // by object name
	departed map[string]departure // servers whose entries were removed lately, by object name
	// forgetDeparturesAt is the next time at which old departures are forgotten.
	forgetDeparturesAt model.Time
	// nextDoubtEnd is a lower bound of the next end of a doubt of a server, or model.Never.
	nextDoubtEnd model.Time
	zonesOut     map[string]bool
	rollouts     map[string]*rollout // by object name
	// withdrawn holds the last removed rollout of each object name, and replaced the orders that were replaced
	// by another one lately.
	withdrawn map[string]*rollout
	replaced  map[string][]replacedOrder
	// versions holds the versions of all servers. openVersions are those that are not accepted.
	versions     map[version]*versionState
	openVersions map[version]bool
	versionsDue  bool // something has changed by which versions are accepted or rejected
	vms          map[string]*knownVM
	vmOrder      []model.EntryVM // cache of rankedVMs; nil after a change of vms

	upstreams      map[model.VM]*upstream
	unreachable    map[model.VM]unreachableVM
	followers      map[uint64]bool
	loads          loadState
	vmListCount    int // number of lists of the VMs read so far
	nextStatusAt   model.Time
	nextEvidenceAt model.Time // next report of rollout evidence to the upstreams

	storeHeardAt       model.Time // last answer of the store, here or at an upstream; 0 before the first one
	answeredAt         model.Time // last answer of the store to this VM
	readsRenewedAt     model.Time // last time at which all reads were started again
	storeFailing       bool       // the last read failed; cleared by the next answer
	expiryGraceUntil   model.Time // until then, removals of replicas count as expirations; 0 if unset
	nextRegistrationAt model.Time
	registered         bool
	nextHeartbeatAt    model.Time
	nextVMRoundAt      model.Time // next look for silent VMs
	nextRemovalAt      model.Time // earliest time of the next removal of a registration
	started            bool
	startedAt          model.Time
	resumedAt          model.Time // end of the last pause of this VM, 0 if there was none
	viewChanged        bool
	initialUpdate      bool // the update that is being applied is the first of its kind
	fullUpdate         bool // the update that is being applied lists all objects of its kind
	effects            []Effect
}

// replica is the cached entry of a backend server.
type replica struct {
	value    model.Replica
	position model.Position
	expired  bool // removed right after an outage of the store; kept until expiryGraceUntil
	// doubtedUntil is set if the entry is back although the server had left. The server gets no requests
	// until then.
	doubtedUntil model.Time
}

// usable reports whether the server accepts requests.
func (r *replica) usable() bool { return !r.value.Draining && r.doubtedUntil == 0 }

// New returns a state with an empty cache.
func New(cfg Config) *State {
	s := &State{
		cfg:          cfg,
		replicas:     make(map[string]*replica),
		departed:     make(map[string]departure),
		nextDoubtEnd: model.Never,
		zonesOut:     make(map[string]bool),
		rollouts:     make(map[string]*rollout),
		withdrawn:    make(map[string]*rollout),
		replaced:     make(map[string][]replacedOrder),
		versions:     make(map[version]*versionState),
		openVersions: make(map[version]bool),
		vms:          make(map[string]*knownVM),
		upstreams:    make(map[model.VM]*upstream),
		unreachable:  make(map[model.VM]unreachableVM),
		followers:    make(map[uint64]bool),
		loads:        newLoadState(),
	}
	for k := range s.objects {
		s.objects[k] = make(map[string]Change)
		s.held[k].names = make(map[string]bool)
		s.reads[k].listNext = true
	}
	return s
}

// Ready reports whether everything that decides to which servers a request may be sent has been read.
func (s *State) Ready() bool {
	for _, k := range confirmedKinds {
		if !s.reads[k].known() {
			return false
		}
	}
	return s.config != nil
}

// KnownPosition returns the position up to which the cached objects of a kind are complete. Its revision
// is 0 if changes are missing, so that all objects of the kind have to be sent.
func (s *State) KnownPosition(k Kind) model.Position {
	if s.reads[k].incomplete {
		return model.Position{Era: s.reads[k].position.Era}
	}
	return s.reads[k].position
}

// Era returns the highest era of the store that is known, 0 if none was stated.
func (s *State) Era() uint64 { return s.era }

// Reduce applies one event and returns the effects to carry out, in order.
func (s *State) Reduce(ev Event, now model.Time) []Effect {
	s.effects = nil
	s.viewChanged = false
	switch ev := ev.(type) {
	case Started:
		s.started, s.startedAt = true, now
		s.nextHeartbeatAt = now.Add(s.cfg.HeartbeatInterval)
	case Resumed:
		s.resumed(now)
	case Listed, Changed, HistoryGone, ReadFailed, ReadCancelled:
		s.readEnded(ev, now)
	case NewerConfigSeen:
		s.newerConfigSeen(ev, now)
	case RegistrationEnded:
		s.registrationEnded(ev, now)
	case UpstreamStatusReceived:
		s.applyUpstreamStatus(ev, now)
	case FollowEnded:
		s.markUnreachable(ev.From, ev.Cause, now)
	case FollowerJoined:
		s.followerJoined(ev.Follower, now)
	case FollowerLeft:
		delete(s.followers, ev.Follower)
	case FollowerHeard:
		s.heard(ev.VM, now)
	case VMChecked:
		s.vmChecked(ev, now)
	case RemovalEnded:
		s.removalEnded(ev, now)
	case LocalEvidenceReceived:
		s.addLocalEvidence(ev, now)
	case FollowerEvidenceReceived:
		s.mergeFollowerEvidence(ev, now)
	case LocalLoadsReported:
		s.localLoadsReported(ev, now)
	case FollowerLoadsReceived:
		s.heard(ev.VM, now)
		s.recordLoads(ev.VM, ev.Loads, ev.Limited, now)
	case RolloutWriteEnded:
		s.rolloutWriteEnded(ev, now)
	case Woken:
	}
	if s.started {
		s.endConfirmation(now)
		s.removeExpired(now)
		s.endHolds(now)
		s.endDoubts(now)
		s.chooseUpstreams(now)
		s.renewReads(now)
		s.startDueReads(now)
		s.reportEvidence(now)
		s.writeDueStates(now)
		s.sendStatus(now)
		s.register(now)
		s.sendHeartbeat(now)
		s.checkVMs(now)
	}
	s.updateVersions(now)
	if s.viewChanged {
		s.publish(now)
	}
	s.scheduleWake(now)
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) log(level logline.Level, message string, fields ...logline.Field) {
	s.emit(Log{Line: logline.Line{Level: level, Message: message, Fields: fields}})
}

// scheduleWake requests a Woken event for the next time at which something is due.
func (s *State) scheduleWake(now model.Time) {
	at := min(s.nextRegistrationDue(), now.Add(maxWakeDelay))
	for k := range s.reads {
		if !s.reads[k].running {
			at = min(at, s.nextReadAt(Kind(k), now))
		}
	}
	if s.unconfirmed() {
		at = min(at, s.resumedAt.Add(confirmTimeout))
	}
	if s.expiryGraceUntil != 0 {
		at = min(at, s.expiryGraceUntil)
	}
	at = min(at, s.nextHoldEnd(), s.nextDoubtEnd)
	if s.readsRenewedAt <= s.storeHeardAt {
		at = min(at, s.silentAt())
	}
	if len(s.followers) > 0 {
		at = min(at, s.nextStatusAt)
	}
	if len(s.upstreams) > 0 {
		at = min(at, s.nextHeartbeatAt)
	}
	for _, u := range s.upstreams {
		at = min(at, u.lastStatusAt.Add(s.cfg.UpstreamTimeout))
	}
	if grace := s.startedAt.Add(s.cfg.ReaderGrace); grace > now {
		at = min(at, grace)
	}
	at = min(at, s.nextRolloutAt(now))
	for _, u := range s.unreachable {
		if u.retryAt > now {
			at = min(at, u.retryAt)
		}
	}
	s.emit(Wake{At: max(at, now.Add(minWakeDelay))})
}

const (
	// minWakeDelay prevents a busy loop if a due time has passed and nothing acts on it.
	minWakeDelay = time.Millisecond
	// maxWakeDelay is the delay of a Wake if nothing is due.
	maxWakeDelay = time.Minute
)

// publish builds a new view and publishes it to the traffic workers.
func (s *State) publish(now model.Time) {
	v := &model.EntryView{
		Config:      s.config,
		Replicas:    make(map[model.ReplicaSet][]model.Replica),
		ServingVMs:  s.servingVMs(),
		Rollouts:    s.publishedRollouts(),
		ConfirmedAt: s.reads[KindConfig].confirmedAt,
		Unconfirmed: s.unconfirmed() || !s.Ready(),
	}
	for _, name := range slices.Sorted(maps.Keys(s.replicas)) {
		r := s.replicas[name]
		if set := r.value.Set; r.usable() && !s.zonesOut[string(r.value.Zone)] {
			v.Replicas[set] = append(v.Replicas[set], r.value)
		}
	}
	v.Senders = s.senders()
	v.IsSender = slices.ContainsFunc(v.Senders, func(vm model.EntryVM) bool { return vm.Name == s.cfg.Self })
	s.emit(PublishView{View: v})
}

const (
	// minSenderCoreShare is the least number of cores of a sender, as a share of the cores of the
	// largest VM.
	minSenderCoreShare = 0.5
	// connsPerSender is the number of connections that a sender needs to one backend server.
	// usableConnShare is the share of a server's connection limit that senders may use.
	connsPerSender  = 2
	usableConnShare = 0.8
)

// senders returns the VMs that send gathered queries: the first maxSenders of rankedVMs that have at
// least minSenderCoreShare of the cores of the largest VM. VMs with the same cached objects compute the
// same list.
func (s *State) senders() []model.EntryVM {
	largest := 0.0
	for _, vm := range s.rankedVMs() {
		largest = max(largest, vm.Cores)
	}
	vms := slices.DeleteFunc(slices.Clone(s.rankedVMs()), func(vm model.EntryVM) bool { return vm.Cores < minSenderCoreShare*largest })
	return vms[:min(len(vms), s.maxSenders())]
}

// maxSenders returns the number of senders that the connection limits of the backend servers allow.
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
	return max(int(usableConnShare*float64(conns)/connsPerSender), 1)
}

// ViewAge returns the largest of the ages of the kinds that decide to which servers a request may be
// sent.
func (s *State) ViewAge(now model.Time) time.Duration {
	age := time.Duration(0)
	for _, k := range confirmedKinds {
		age = max(age, now.Sub(s.reads[k].confirmedAt))
	}
	return age
}
