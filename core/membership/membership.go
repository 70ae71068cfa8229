// Package membership tracks the VMs of an ownership group: heartbeats, support for
// each other, the platform's lagging list, and the roster of voters.
package membership

import (
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// forgetAfter is how long a VM that the platform no longer lists is kept after its last
	// heartbeat.
	forgetAfter = 10 * time.Second
	// maxRetiredBoots bounds the former boots remembered per VM, whose late heartbeats are
	// dropped.
	maxRetiredBoots = 8
	// driftShare is the inverse of the difference of clock rates that start delays allow for:
	// two clocks that are each up to 1% off differ by up to 2%.
	driftShare = 50
	// longAgo is earlier than every time that can occur and far enough from the limits of
	// the type for a duration to be added.
	longAgo = model.Time(-1 << 62)
)

// Config holds the identity of this VM and the timing of support.
type Config struct {
	Self              model.VM
	Boot              model.Boot
	Group             string
	Zone              model.AvailabilityZone
	Address           string
	HeartbeatInterval time.Duration
	Fence             time.Duration
	Grace             time.Duration
}

// Tracker is the membership state of one VM.
type Tracker struct {
	cfg      Config
	started  model.Time // start of the process or of the last Rejoin
	awake    model.Time // end of the last gap between events that was longer than Grace
	seen     model.Time // last event
	next     model.Time // next heartbeat
	sequence uint64
	abstains bool
	leaving  bool
	paused   bool

	peers map[model.VM]*peer
	zones map[model.VM]model.AvailabilityZone

	listed     bool // the platform's list has been read
	selfListed bool

	roster    *model.Roster
	previous  *model.Roster // roster before the current one, during the transition
	adopted   model.Time
	generated uint64 // rises when Candidates or a known zone changes

	supportUntil model.Time
	supportSince model.Time
	ends         []model.Time // scratch of majorityEnd
}

// New returns the state of a VM that has just started.
func New(cfg Config, now model.Time) *Tracker {
	return &Tracker{
		cfg:          cfg,
		started:      now,
		awake:        now,
		seen:         now,
		next:         now,
		peers:        make(map[model.VM]*peer),
		zones:        map[model.VM]model.AvailabilityZone{cfg.Self: cfg.Zone},
		supportUntil: longAgo,
		supportSince: model.Never,
	}
}

// Heartbeat takes in a heartbeat of a peer. Heartbeats of former boots and those overtaken
// by a later one are dropped.
func (t *Tracker) Heartbeat(hb *event.Heartbeat, now model.Time) {
	t.observe(now)
	if hb.From == t.cfg.Self {
		return
	}
	p := t.peer(hb.From)
	if !p.accepts(hb, now, t.cfg.Grace) {
		return
	}
	if p.boot != hb.Boot {
		p.reset(hb.Boot)
	}
	if !p.aliveAt(now, t.cfg.Grace) {
		p.aliveSince = now
	}
	p.heard = true
	p.lastHeard = now
	p.sequence = hb.Sequence
	p.roster = hb.Roster
	p.leaving = hb.Leaving
	if hb.Abstains && !p.abstains {
		p.abstained = now
	}
	p.abstains = hb.Abstains
	p.apply(hb.Revision, now)
	p.address = hb.Address
	t.setZone(hb.From, hb.Zone)
	if hb.Abstains {
		t.endSupport(p, now)
	}
	if hb.Roster != t.revision() {
		return
	}
	if !hb.Abstains {
		p.support(hb.SentAt, now, t.cfg.Grace, t.voting(now))
	}
	t.statements(p, hb)
}

// statements takes in what a heartbeat states of every candidate. Only a heartbeat that
// echoes a send time of this boot can be dated.
func (t *Tracker) statements(p *peer, hb *event.Heartbeat) {
	i := slices.IndexFunc(hb.Supports, func(s event.Support) bool {
		return s.VM == t.cfg.Self && s.Boot == t.cfg.Boot
	})
	if i < 0 || hb.Supports[i].SentAt < p.echo {
		return
	}
	p.echo = hb.Supports[i].SentAt
	p.echoCurrent = p.echo
	for _, vm := range t.Candidates() {
		if vm != t.cfg.Self {
			p.statement(vm).update(p.echo, t.listedBoot(hb, vm))
		}
	}
}

// listedBoot returns the boot of vm that the heartbeat states support for, or 0. A VM
// supports itself until it abstains, and a boot that has abstained counts as not supported.
func (t *Tracker) listedBoot(hb *event.Heartbeat, vm model.VM) model.Boot {
	if vm == hb.From {
		if hb.Abstains {
			return 0
		}
		return hb.Boot
	}
	for _, s := range hb.Supports {
		if s.VM != vm {
			continue
		}
		if q, ok := t.peers[vm]; ok && q.abstains && q.boot == s.Boot {
			return 0
		}
		return s.Boot
	}
	return 0
}

// endSupport withdraws the support of a peer whose boot has abstained, here and in the
// statements of others.
func (t *Tracker) endSupport(p *peer, now model.Time) {
	if p.supported == p.boot {
		p.supportUntil = now
	}
	for _, q := range t.peers {
		if s, ok := q.states[p.vm]; ok {
			s.abstained(p.boot)
		}
	}
}

// Listed takes in a reading of the platform's list.
func (t *Tracker) Listed(vms []event.ListedVM, now model.Time) {
	t.observe(now)
	t.listed = true
	t.selfListed = false
	for _, p := range t.peers {
		p.listed = false
	}
	for _, l := range vms {
		if l.VM == t.cfg.Self {
			t.selfListed = !l.Leaving
			continue
		}
		p := t.peer(l.VM)
		p.listed = true
		p.listedLeaving = l.Leaving
		if !p.heard {
			p.address = l.Address
			t.setZone(l.VM, l.Zone)
		}
	}
	t.forget(now)
}

// forget drops VMs that are neither listed nor heard.
func (t *Tracker) forget(now model.Time) {
	for vm, p := range t.peers {
		if !p.listed && now.Sub(p.lastHeard) >= forgetAfter {
			delete(t.peers, vm)
		}
	}
}

// setZone notes the zone of a VM. Zones are kept when a peer is dropped, since the ranking
// of the roster's VMs needs them.
func (t *Tracker) setZone(vm model.VM, zone model.AvailabilityZone) {
	if z, ok := t.zones[vm]; ok && z == zone {
		return
	}
	t.zones[vm] = zone
	t.generated++
}

// Zone returns the zone of a VM, if it is known.
func (t *Tracker) Zone(vm model.VM) (model.AvailabilityZone, bool) {
	z, ok := t.zones[vm]
	return z, ok
}

// observe notes gaps between events. After a gap, the silence of others proves nothing.
func (t *Tracker) observe(now model.Time) {
	if now.Sub(t.seen) > t.cfg.Grace {
		t.awake = now
	}
	t.seen = max(t.seen, now)
}

func (t *Tracker) peer(vm model.VM) *peer {
	p, ok := t.peers[vm]
	if !ok {
		p = newPeer(vm, t.seen)
		t.peers[vm] = p
	}
	return p
}

// voting reports whether the promises of a former boot of this VM have ended.
func (t *Tracker) voting(now model.Time) bool { return now >= t.started.Add(t.cfg.Grace) }

// Due reports whether the next heartbeat is due.
func (t *Tracker) Due(now model.Time) bool {
	t.observe(now)
	return now >= t.next
}

// Compose returns the next heartbeat, with the fields that membership owns filled in.
func (t *Tracker) Compose(now model.Time) event.Heartbeat {
	t.next = max(t.next.Add(t.cfg.HeartbeatInterval), now.Add(t.cfg.HeartbeatInterval/2))
	t.sequence++
	return event.Heartbeat{
		From:     t.cfg.Self,
		Boot:     t.cfg.Boot,
		Zone:     t.cfg.Zone,
		Address:  t.cfg.Address,
		Sequence: t.sequence,
		SentAt:   now,
		Roster:   t.revision(),
		Supports: t.supports(now),
		Leaving:  t.leaving,
		Abstains: t.abstains,
	}
}

// supports lists the VMs that this VM supports, sorted.
func (t *Tracker) supports(now model.Time) []event.Support {
	if !t.voting(now) {
		return nil
	}
	list := make([]event.Support, 0, len(t.peers))
	for _, p := range t.peers {
		if p.supportUntil > now {
			list = append(list, event.Support{VM: p.vm, Boot: p.supported, SentAt: p.sentAt})
		}
	}
	slices.SortFunc(list, func(a, b event.Support) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return list
}

// Targets returns the peers that receive heartbeats, sorted by VM.
func (t *Tracker) Targets(now model.Time) []model.Peer {
	t.forget(now)
	targets := make([]model.Peer, 0, len(t.peers))
	for _, vm := range t.sorted() {
		p := t.peers[vm]
		if p.address != "" {
			targets = append(targets, t.view(p, now))
		}
	}
	return targets
}

// Peers returns every known peer, this VM included.
func (t *Tracker) Peers(now model.Time) map[model.VM]model.Peer {
	peers := make(map[model.VM]model.Peer, len(t.peers)+1)
	for vm, p := range t.peers {
		peers[vm] = t.view(p, now)
	}
	peers[t.cfg.Self] = model.Peer{
		VM:      t.cfg.Self,
		Boot:    t.cfg.Boot,
		Zone:    t.cfg.Zone,
		Address: t.cfg.Address,
		Alive:   true,
	}
	return peers
}

func (t *Tracker) view(p *peer, now model.Time) model.Peer {
	return model.Peer{
		VM:      p.vm,
		Boot:    p.boot,
		Zone:    t.zones[p.vm],
		Address: p.address,
		Alive:   p.aliveAt(now, t.cfg.Grace),
	}
}

// Live returns the VMs that this VM counts as alive, itself included, sorted.
func (t *Tracker) Live(now model.Time) []model.VM {
	live := []model.VM{t.cfg.Self}
	for vm, p := range t.peers {
		if p.aliveAt(now, t.cfg.Grace) {
			live = append(live, vm)
		}
	}
	slices.Sort(live)
	return live
}

func (t *Tracker) sorted() []model.VM {
	vms := make([]model.VM, 0, len(t.peers))
	for vm := range t.peers {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	return vms
}

// Status is what the last heartbeat of a VM said of its part in ownership.
type Status struct {
	Boot     model.Boot
	Address  string
	Alive    bool
	Since    model.Time // start of the present time of being alive
	Leaving  bool
	Abstains bool
	// Abstained is when the last boot that abstained was first known to.
	Abstained model.Time
	// Applied is the highest object version that it is known to have applied for the start
	// delay, so that it has no lease from before that.
	Applied uint64
}

// Status returns the state of a peer.
func (t *Tracker) Status(vm model.VM, now model.Time) Status {
	p, ok := t.peers[vm]
	if !ok {
		return Status{Abstained: longAgo}
	}
	return Status{
		Boot:      p.boot,
		Address:   p.address,
		Alive:     p.aliveAt(now, t.cfg.Grace),
		Since:     p.aliveSince,
		Leaving:   p.leaving,
		Abstains:  p.abstains,
		Abstained: p.abstained,
		Applied:   p.appliedBy(now - t.StartDelay()),
	}
}

// Config returns the identity and timing of this VM.
func (t *Tracker) Config() Config { return t.cfg }

// Boot returns the boot with which this VM takes part now.
func (t *Tracker) Boot() model.Boot { return t.cfg.Boot }

// SetPart tells whether this VM is leaving and whether it has abstained.
func (t *Tracker) SetPart(leaving, abstains bool) {
	t.leaving = leaving
	t.abstains = abstains
}

// Rejoin draws a new boot after this VM had abstained; it gives no support and claims
// nothing until the start-up delays have passed again.
func (t *Tracker) Rejoin(boot model.Boot, now model.Time) {
	t.cfg.Boot = boot
	t.started = now
	t.leaving = false
	t.abstains = false
	t.clearStatements()
}
