// Package membership tracks the VMs of an ownership group: their heartbeats, their support for
// each other, the platform's list of VMs, which lags behind, and the roster of voters.
//
// A VM supports a peer from a heartbeat of the peer until Grace after it. Each heartbeat of the
// VM lists the VMs that it supports, and echoes the send time of the last heartbeat of each of
// them. It thereby states support for the listed VMs and no support for the others. The
// receiver considers these statements valid for Fence after its own send time that the
// heartbeat echoes. A boot that has abstained no longer claims keys and is not supported.
package membership

import (
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// peerRetention is how long a VM that the platform does not list is kept after its last
	// heartbeat.
	peerRetention = 10 * time.Second
	// maxFormerBoots bounds the former boots recorded per VM, whose late heartbeats are dropped.
	maxFormerBoots = 8
	// driftDivisor is the inverse of the clock drift that start delays allow for: 2%, since two
	// clocks that are each up to 1% off drift apart by up to 2%.
	driftDivisor = 50
	// distantPast is earlier than every time that can occur, and far enough from the limits of
	// the type for durations to be added without overflow.
	distantPast = model.Time(-1 << 62)
)

// Config holds the identity of this VM and the durations of the protocol.
type Config struct {
	Self              model.VM
	Boot              model.Boot
	Group             string
	Zone              model.AvailabilityZone
	Address           string
	HeartbeatInterval time.Duration
	Fence             time.Duration // validity of a statement on support
	Grace             time.Duration // duration of support after a heartbeat
}

// Tracker is the membership state of one VM.
type Tracker struct {
	cfg           Config
	started       model.Time // start of the process or of the last Rejoin
	resumedAt     model.Time // end of the last gap between events longer than Grace
	lastEvent     model.Time // time of the last event
	nextHeartbeat model.Time // time of the next heartbeat
	sequence      uint64
	abstains      bool
	leaving       bool
	paused        bool

	peers map[model.VM]*peer
	zones map[model.VM]model.AvailabilityZone

	listed     bool // the platform's list has been read
	selfListed bool

	roster          *model.Roster
	previous        *model.Roster // roster before the current one, nil after the transition
	rosterAdoptedAt model.Time
	generation      uint64 // incremented when Candidates or a known zone changes

	supportUntil model.Time
	supportSince model.Time
	endTimes     []model.Time // scratch space of majorityUntil
}

// New returns the state of a VM that has just started.
func New(cfg Config, now model.Time) *Tracker {
	return &Tracker{
		cfg:           cfg,
		started:       now,
		resumedAt:     now,
		lastEvent:     now,
		nextHeartbeat: now,
		peers:         make(map[model.VM]*peer),
		zones:         map[model.VM]model.AvailabilityZone{cfg.Self: cfg.Zone},
		supportUntil:  distantPast,
		supportSince:  model.Never,
	}
}

// Heartbeat handles a heartbeat of a peer. It drops duplicates, heartbeats sent before
// the last one received, and heartbeats of former boots while the peer is live.
func (t *Tracker) Heartbeat(hb *event.Heartbeat, now model.Time) {
	t.recordEvent(now)
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
	if !p.liveAt(now, t.cfg.Grace) {
		p.liveSince = now
	}
	p.heartbeatReceived = true
	p.lastHeartbeat = now
	p.sequence = hb.Sequence
	p.roster = hb.Roster
	p.leaving = hb.Leaving
	if hb.Abstains && !p.abstains {
		p.abstainedAt = now
	}
	p.abstains = hb.Abstains
	p.recordApplied(hb.Revision, now)
	p.address = hb.Address
	t.setZone(hb.From, hb.Zone)
	if hb.Abstains {
		t.revokeSupport(p, now)
	}
	if hb.Roster != t.revision() {
		return
	}
	if !hb.Abstains {
		p.grantSupport(hb.SentAt, now, t.cfg.Grace, t.mayVote(now))
	}
	t.recordStatements(p, hb)
}

// recordStatements records which candidates the sender of a heartbeat supports. Statements
// are dated by the send time that the heartbeat echoes, so a heartbeat without an echo of
// this boot is ignored.
func (t *Tracker) recordStatements(p *peer, hb *event.Heartbeat) {
	i := slices.IndexFunc(hb.Supports, func(s event.Support) bool {
		return s.VM == t.cfg.Self && s.Boot == t.cfg.Boot
	})
	if i < 0 || hb.Supports[i].SentAt < p.lastEcho {
		return
	}
	p.lastEcho = hb.Supports[i].SentAt
	p.lastEchoOfRoster = p.lastEcho
	for _, vm := range t.Candidates() {
		if vm != t.cfg.Self {
			p.statementOn(vm).record(p.lastEcho, t.statedBoot(hb, vm))
		}
	}
}

// statedBoot returns the boot of vm that the heartbeat states support for, or 0. A VM
// supports itself until it abstains, and a boot that has abstained is treated as not
// supported.
func (t *Tracker) statedBoot(hb *event.Heartbeat, vm model.VM) model.Boot {
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

// revokeSupport ends the support for a peer whose boot has abstained, both this VM's own and
// that recorded from the statements of others.
func (t *Tracker) revokeSupport(p *peer, now model.Time) {
	if p.supportedBoot == p.boot {
		p.supportUntil = now
	}
	for _, q := range t.peers {
		if s, ok := q.statements[p.vm]; ok {
			s.recordAbstained(p.boot)
		}
	}
}

// Listed handles the platform's list of the VMs of the group.
func (t *Tracker) Listed(vms []event.ListedVM, now model.Time) {
	t.recordEvent(now)
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
		if !p.heartbeatReceived {
			p.address = l.Address
			t.setZone(l.VM, l.Zone)
		}
	}
	t.dropExpiredPeers(now)
}

// dropExpiredPeers drops VMs that are not listed and have sent no heartbeat for peerRetention.
func (t *Tracker) dropExpiredPeers(now model.Time) {
	for vm, p := range t.peers {
		if !p.listed && now.Sub(p.lastHeartbeat) >= peerRetention {
			delete(t.peers, vm)
		}
	}
}

// setZone records the zone of a VM. Zones are kept when a peer is dropped, since the ranking
// of the roster's VMs needs them.
func (t *Tracker) setZone(vm model.VM, zone model.AvailabilityZone) {
	if z, ok := t.zones[vm]; ok && z == zone {
		return
	}
	t.zones[vm] = zone
	t.generation++
}

// Zone returns the zone of a VM, if it is known.
func (t *Tracker) Zone(vm model.VM) (model.AvailabilityZone, bool) {
	z, ok := t.zones[vm]
	return z, ok
}

// recordEvent records the time of an event and detects gaps between events. After a gap, the
// lack of heartbeats does not show that a peer is down, since this VM may have been stopped.
func (t *Tracker) recordEvent(now model.Time) {
	if now.Sub(t.lastEvent) > t.cfg.Grace {
		t.resumedAt = now
	}
	t.lastEvent = max(t.lastEvent, now)
}

func (t *Tracker) peer(vm model.VM) *peer {
	p, ok := t.peers[vm]
	if !ok {
		p = newPeer(vm, t.lastEvent)
		t.peers[vm] = p
	}
	return p
}

// mayVote reports whether the support that a former boot of this VM may have granted has
// ended. That support is not recorded across restarts, so until it has ended, this VM must
// make no statements about others.
func (t *Tracker) mayVote(now model.Time) bool { return now >= t.started.Add(t.cfg.Grace) }

// HeartbeatDue reports whether the next heartbeat is due.
func (t *Tracker) HeartbeatDue(now model.Time) bool {
	t.recordEvent(now)
	return now >= t.nextHeartbeat
}

// ComposeHeartbeat returns the next heartbeat, with the fields set that describe membership.
func (t *Tracker) ComposeHeartbeat(now model.Time) event.Heartbeat {
	t.nextHeartbeat = max(t.nextHeartbeat.Add(t.cfg.HeartbeatInterval), now.Add(t.cfg.HeartbeatInterval/2))
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
	if !t.mayVote(now) {
		return nil
	}
	list := make([]event.Support, 0, len(t.peers))
	for _, p := range t.peers {
		if p.supportUntil > now {
			list = append(list, event.Support{VM: p.vm, Boot: p.supportedBoot, SentAt: p.sentAt})
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
	t.dropExpiredPeers(now)
	targets := make([]model.Peer, 0, len(t.peers))
	for _, vm := range t.sortedPeers() {
		p := t.peers[vm]
		if p.address != "" {
			targets = append(targets, t.describePeer(p, now))
		}
	}
	return targets
}

// Peers returns every known peer, this VM included.
func (t *Tracker) Peers(now model.Time) map[model.VM]model.Peer {
	peers := make(map[model.VM]model.Peer, len(t.peers)+1)
	for vm, p := range t.peers {
		peers[vm] = t.describePeer(p, now)
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

// describePeer returns the published state of a peer.
func (t *Tracker) describePeer(p *peer, now model.Time) model.Peer {
	return model.Peer{
		VM:      p.vm,
		Boot:    p.boot,
		Zone:    t.zones[p.vm],
		Address: p.address,
		Alive:   p.liveAt(now, t.cfg.Grace),
	}
}

// Live returns this VM and all peers whose last heartbeat is less than Grace ago, sorted.
func (t *Tracker) Live(now model.Time) []model.VM {
	live := []model.VM{t.cfg.Self}
	for vm, p := range t.peers {
		if p.liveAt(now, t.cfg.Grace) {
			live = append(live, vm)
		}
	}
	slices.Sort(live)
	return live
}

func (t *Tracker) sortedPeers() []model.VM {
	vms := make([]model.VM, 0, len(t.peers))
	for vm := range t.peers {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	return vms
}

// Status is the state of a peer as far as it concerns ownership.
type Status struct {
	Boot      model.Boot
	Address   string
	Live      bool       // its last heartbeat is less than Grace ago
	LiveSince model.Time // start of the current period of being live
	Leaving   bool
	Abstains  bool
	// AbstainedAt is when this VM learned that a boot has abstained, for the last such boot.
	AbstainedAt model.Time
	// Applied is the highest object version that the peer is known to have applied for at
	// least the start delay, so that it has no lease from before that version.
	Applied uint64
}

// Status returns the state of a peer.
func (t *Tracker) Status(vm model.VM, now model.Time) Status {
	p, ok := t.peers[vm]
	if !ok {
		return Status{AbstainedAt: distantPast}
	}
	return Status{
		Boot:        p.boot,
		Address:     p.address,
		Live:        p.liveAt(now, t.cfg.Grace),
		LiveSince:   p.liveSince,
		Leaving:     p.leaving,
		Abstains:    p.abstains,
		AbstainedAt: p.abstainedAt,
		Applied:     p.appliedBy(now - t.StartDelay()),
	}
}

// Config returns the identity and timing of this VM.
func (t *Tracker) Config() Config { return t.cfg }

// Boot returns the current boot of this VM.
func (t *Tracker) Boot() model.Boot { return t.cfg.Boot }

// SetLeaveState sets whether this VM is leaving and whether it has abstained.
func (t *Tracker) SetLeaveState(leaving, abstains bool) {
	t.leaving = leaving
	t.abstains = abstains
}

// Rejoin makes this VM a member again under a new boot after it has abstained. It supports no
// peer and claims no key until the delays after a start have passed again.
func (t *Tracker) Rejoin(boot model.Boot, now model.Time) {
	t.cfg.Boot = boot
	t.started = now
	t.leaving = false
	t.abstains = false
	t.clearStatements()
}
