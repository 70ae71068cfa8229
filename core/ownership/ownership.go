// Package ownership decides for which shard keys this VM may dispatch attempts. Weighted
// rendezvous hashing ranks the VMs of the roster for each key. The best-ranked VM that a
// majority of the roster supports gains a lease.
//
// A VM keeps a lease while the heartbeats of a majority state that they support it and, for each
// VM that ranks higher, those of a majority state that they do not support that VM. A heartbeat
// that this VM receives echoes the send time of the last heartbeat that its sender got from this
// VM. Its statements are valid until Fence after that time, so their validity is measured by this
// VM's own clock. A VM withdraws its support for another one at the latest Grace after the other's
// last heartbeat.
package ownership

import (
	"math"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/core/membership"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Key is a shard key with the data that its ranking and lease depend on.
type Key struct {
	Key            model.ShardKey
	Zones          []model.AvailabilityZone // zones of its replicas
	AttemptTimeout time.Duration
	// Revision is the version of the template that defines the key. After a change of the zones,
	// a VM that has applied this version ranks by the new zones.
	Revision uint64
}

// Holder manages the leases of one VM. It is not safe for concurrent use.
type Holder struct {
	tracker      *membership.Tracker
	cfg          membership.Config
	leaving      bool
	leavingSince model.Time // time of the last call of SetLeaving
	lastHeld     model.Time // last time at which a key was not idle
	abstained    bool
	term         uint64
	keys         []*entry // in the order of SetKeys
	byKey        map[model.ShardKey]*entry

	// The rankings are computed from the candidates and zones of this generation of the tracker.
	rankingsValid bool
	generation    uint64
	candidates    []model.VM
	self          int // index of this VM in candidates, -1 if it is not one
	// Indexed by candidate; Update recomputes them. unsupportedUntil is the time until which a
	// majority states no support for the candidate. appliedRevisions is the object version that
	// it has applied.
	unsupportedUntil  []model.Time
	appliedRevisions  []uint64
	lowestApplied     uint64 // minimum of appliedRevisions
	announcedRevision uint64 // object version in the last heartbeat of this VM
	support           membership.Support
}

// New returns a Holder without keys.
func New(tracker *membership.Tracker) *Holder {
	return &Holder{
		tracker: tracker,
		cfg:     tracker.Config(),
		byKey:   make(map[model.ShardKey]*entry),
	}
}

// SetKeys replaces the set of shard keys. A key that stays in the set keeps its lease; a key
// that is removed loses it at once.
func (h *Holder) SetKeys(keys []Key, now model.Time) {
	entries := make([]*entry, 0, len(keys))
	byKey := make(map[model.ShardKey]*entry, len(keys))
	for _, k := range keys {
		e, ok := h.byKey[k.Key]
		if ok {
			e.setKey(k)
		} else {
			e = newEntry(k)
		}
		entries = append(entries, e)
		byKey[k.Key] = e
	}
	h.keys = entries
	h.byKey = byKey
	h.rankingsValid = false
}

// Update renews, gains and expires leases according to the support statements that are valid
// now. It emits effect.DrainKey for keys that must be handed over and for held keys whose lease
// has expired.
// It must be called after every event.
func (h *Holder) Update(now model.Time, out *effect.List) {
	h.support = h.tracker.Support(now)
	h.updateRankings()
	h.lowestApplied = math.MaxUint64
	for i, vm := range h.candidates {
		if i != h.self {
			h.unsupportedUntil[i] = h.tracker.NoSupportUntil(vm, 0, now)
			h.appliedRevisions[i] = h.tracker.Status(vm, now).Applied
			h.lowestApplied = min(h.lowestApplied, h.appliedRevisions[i])
		}
	}
	for _, e := range h.keys {
		h.updateEntry(e, now, out)
	}
	h.updateAbstention(now)
}

// updateAbstention makes a leaving VM abstain, that is, announce that it claims no keys, one
// heartbeat interval after its last key became idle. The delay gives the last releases time to
// arrive: a successor that learns of the abstention first takes the key over without a release
// and so does not know the attempts that still run.
func (h *Holder) updateAbstention(now model.Time) {
	if slices.ContainsFunc(h.keys, func(e *entry) bool { return e.state != idle }) {
		h.lastHeld = now
	}
	h.abstained = h.leaving && now > h.lastHeld.Add(h.cfg.HeartbeatInterval)
	h.tracker.SetLeaveState(h.leaving, h.abstained)
}

func (h *Holder) updateEntry(e *entry, now model.Time, out *effect.List) {
	h.updateConflicts(e, now)
	if e.state != idle && now >= e.leaseUntil {
		h.expireLease(e, out)
	}
	switch e.state {
	case idle:
		if h.canGainKeys(now) {
			h.tryGain(e, now)
		}
	case waiting:
		h.continueWait(e, now)
	case held:
		e.leaseUntil = max(e.leaseUntil, h.leaseEnd(e, now))
	}
	if e.state == held && h.mustDrain(e, now) {
		e.state = draining
		out.Add(effect.DrainKey{Key: e.Key.Key, Term: e.term})
	}
}

// continueWait renews the lease of a waiting key and turns it into a held key when attempts of the
// previous owner can no longer run. A leaving VM gives the key up instead.
func (h *Holder) continueWait(e *entry, now model.Time) {
	if h.leaving {
		e.endLease()
		return
	}
	e.leaseUntil = max(e.leaseUntil, h.leaseEnd(e, now))
	if now >= e.waitUntil {
		e.state = held
	}
}

// expireLease ends a lease that has expired. If the key was held, the effect makes traffic refuse
// the requests that are queued for it.
func (h *Holder) expireLease(e *entry, out *effect.List) {
	if e.state == held {
		out.Add(effect.DrainKey{Key: e.Key.Key, Term: e.term})
	}
	e.endLease()
}

// canGainKeys reports whether this VM may gain keys at all: it is not leaving, and a majority
// has supported it for the start delay under the current roster.
func (h *Holder) canGainKeys(now model.Time) bool {
	if h.leaving || h.support.Since == model.Never {
		return false
	}
	return now >= h.support.Since+h.tracker.StartDelay()
}

// tryGain starts a lease of an idle key if majorities permit it. It does not if a better-ranked
// VM has returned and can take over the key, since the lease would soon end.
func (h *Holder) tryGain(e *entry, now model.Time) {
	end := h.leaseEnd(e, now)
	if end <= now {
		return
	}
	if _, ok := h.betterRanked(e, now); ok {
		return
	}
	h.term++
	e.term = h.term
	e.leaseUntil = end
	e.state = waiting
	e.waitUntil = now.Add(h.extraWait(e, now))
	if e.consumeRelease(now, h.cfg.Grace) {
		e.waitUntil = now
	}
	if now >= e.waitUntil {
		e.state = held
	}
}

// extraWait returns how much longer attempts of the previous owner may run after a takeover
// without a release. They run for at most AttemptTimeout after the previous owner stopped
// dispatching. It stopped at the latest
//   - Grace - Fence ago, or when it abstained, if it ranks higher than this VM;
//   - at the end of the start delay of this VM, if it ranks lower;
//   - at the end of the conflict, if it ranked by other zones.
func (h *Holder) extraWait(e *entry, now model.Time) time.Duration {
	stopped := min(
		h.cfg.Grace-h.cfg.Fence,
		now.Sub(h.support.Since+h.tracker.StartDelay()),
		now.Sub(e.conflictEndedAt),
	)
	for i, vm := range h.candidates {
		if e.ranking.above.has(i) {
			stopped = min(stopped, now.Sub(h.tracker.Status(vm, now).AbstainedAt))
		}
	}
	return max(0, e.Key.AttemptTimeout-stopped)
}

// leaseEnd returns the time until which a lease of the key may last. The lease needs a majority
// that supports this VM and, for each candidate that ranks higher or may do so, a majority that
// does not support that candidate. It ends as soon as one of these majorities ends.
func (h *Holder) leaseEnd(e *entry, now model.Time) model.Time {
	end := h.support.Until
	if h.self < 0 {
		return end
	}
	above := e.ranking.above | e.conflicts
	for i := range h.candidates {
		if above.has(i) {
			end = min(end, h.noSupportEnd(e, i, now))
		}
	}
	return end
}

// noSupportEnd returns the time until which a majority states no support for candidate i. If a
// boot of the candidate has released the key and will not claim it again, support for that boot is
// ignored.
func (h *Holder) noSupportEnd(e *entry, i int, now model.Time) model.Time {
	end := h.unsupportedUntil[i]
	x, ok := e.exemptions[h.candidates[i]]
	if !ok {
		return end
	}
	if s := h.tracker.Status(h.candidates[i], now); s.Boot == x.boot && s.Leaving {
		x.final = true
	}
	if !x.final || (e.state == idle && now.Sub(x.receivedAt) > h.cfg.Grace) {
		return end
	}
	return max(end, h.tracker.NoSupportUntil(h.candidates[i], x.boot, now))
}

// mustDrain reports whether the handover of the key has to start now. A leaving VM first waits
// until the others have received that it leaves, and until they have passed the start delay under
// the current roster. The handover to a better-ranked VM starts shortly before the lease ends,
// because that VM may not use the key earlier.
func (h *Holder) mustDrain(e *entry, now model.Time) bool {
	if h.leaving {
		return now >= max(h.tracker.RosterAdoptedAt()+2*h.tracker.StartDelay(), h.leavingSince.Add(2*h.cfg.HeartbeatInterval))
	}
	if e.leaseUntil.Sub(now) > h.drainLead() {
		return false
	}
	_, ok := h.betterRanked(e, now)
	return ok
}

// drainLead returns how long before the end of the lease a handover to a better-ranked VM starts.
func (h *Holder) drainLead() time.Duration { return h.cfg.HeartbeatInterval }

// betterRanked returns the best-ranked VM that ranks above this one and can take over the key.
func (h *Holder) betterRanked(e *entry, now model.Time) (model.VM, bool) {
	for _, i := range e.ranking.order {
		if i == h.self {
			break
		}
		if h.canTakeOver(h.candidates[i], now) {
			return h.candidates[i], true
		}
	}
	return "", false
}

// nextOwner returns the VM to which the key is handed over. Only a leaving VM hands keys to
// lower-ranked VMs. The receiver relies on this: it ignores further support for the boot that
// released the key, which is safe only if that boot does not claim the key again.
func (h *Holder) nextOwner(e *entry, now model.Time) (model.VM, bool) {
	if !h.leaving {
		return h.betterRanked(e, now)
	}
	for _, i := range e.ranking.order {
		if i != h.self && h.canTakeOver(h.candidates[i], now) {
			return h.candidates[i], true
		}
	}
	return "", false
}

// canTakeOver reports whether a VM may become the owner of a key: its heartbeats arrive, it is not
// leaving, it claims keys and a majority supports it.
func (h *Holder) canTakeOver(vm model.VM, now model.Time) bool {
	s := h.tracker.Status(vm, now)
	return s.Live && !s.Leaving && !s.Abstains && h.tracker.HasMajoritySupport(vm, now)
}

// HandleDrained continues the handover of a key after traffic has stopped dispatching for it: it ends
// the lease and sends a release to the next owner. A lease that has expired meanwhile is not
// released, because another VM may have owned the key since and the running attempts in the
// release would be incomplete.
func (h *Holder) HandleDrained(ev event.KeyDrained, now model.Time, out *effect.List) {
	e, ok := h.byKey[ev.Key]
	if !ok || e.state != draining || e.term != ev.Term || now >= e.leaseUntil {
		return
	}
	e.endLease()
	h.lastHeld = now
	to, ok := h.nextOwner(e, now)
	if !ok {
		return
	}
	out.Add(effect.SendRelease{
		To:      to,
		Address: h.tracker.Status(to, now).Address,
		Release: event.Release{
			From: h.cfg.Self,
			Boot: h.tracker.Boot(),
			To:   to,
			Keys: []event.ReleasedKey{{Key: ev.Key, Running: ev.Running, Submits: ev.Submits, Servers: ev.Servers}},
		},
	})
}

// HandleRelease stores a release that this VM received from the previous owner. A later Update gains
// the keys when majorities permit it. A release is ignored unless it is addressed to this VM and
// comes from the boot of the sender that is known here.
func (h *Holder) HandleRelease(rel *event.Release, now model.Time, out *effect.List) {
	from := h.tracker.Status(rel.From, now)
	if rel.To != h.cfg.Self || from.Boot != rel.Boot {
		return
	}
	h.updateRankings()
	for i := range rel.Keys {
		e, ok := h.byKey[rel.Keys[i].Key]
		if !ok {
			continue
		}
		if i := slices.Index(h.candidates, rel.From); i >= 0 && e.ranking.above.has(i) {
			e.addExemption(rel.From, rel.Boot, now)
		}
		e.storeRelease(&rel.Keys[i], now, h.cfg.Grace)
	}
}

// SetLeaving starts the handover of all keys, or ends it. Before a VM that has abstained may
// claim keys again, the caller has to draw a new boot with Tracker.Rejoin.
func (h *Holder) SetLeaving(leaving bool, now model.Time, out *effect.List) {
	h.leaving = leaving
	h.leavingSince = now
	h.updateAbstention(now)
}

// FillHeartbeat sets the fields Leaving, Abstains and Entry of a heartbeat of this VM. The heartbeat's
// Revision must be set before; FillHeartbeat records it as announced.
func (h *Holder) FillHeartbeat(hb *event.Heartbeat) {
	h.announcedRevision = hb.Revision
	hb.Leaving = h.leaving
	hb.Abstains = h.Abstained()
	hb.Entry = !h.leaving
}

// Abstained reports whether this VM is leaving, has handed over its keys and claims none.
func (h *Holder) Abstained() bool { return h.abstained }

// Leases returns the leases that are valid now, by key.
func (h *Holder) Leases(now model.Time) map[model.ShardKey]model.Lease {
	leases := make(map[model.ShardKey]model.Lease)
	for _, e := range h.keys {
		if e.leased(now) {
			leases[e.Key.Key] = e.lease()
		}
	}
	return leases
}

// Owners returns the expected owner of each key: this VM if it holds the lease, else the
// best-ranked other VM that claims keys and whose heartbeats arrive, with preference for VMs whose
// start delay is over. Keys without such a VM are omitted.
func (h *Holder) Owners(now model.Time) map[model.ShardKey]model.Owner {
	owners := make(map[model.ShardKey]model.Owner, len(h.keys))
	h.updateRankings()
	candidates := h.ownerCandidates(now)
	for _, e := range h.keys {
		if o, ok := h.expectedOwner(e, candidates, now); ok {
			owners[e.Key.Key] = o
		}
	}
	return owners
}

// ownerCandidate is a candidate as a possible owner of keys.
type ownerCandidate struct {
	owner          model.Owner
	eligible       bool // its heartbeats arrive and it claims keys
	pastStartDelay bool // it is eligible and its start delay is over
}

func (h *Holder) ownerCandidates(now model.Time) []ownerCandidate {
	list := make([]ownerCandidate, len(h.candidates))
	for i, vm := range h.candidates {
		if i == h.self {
			continue
		}
		s := h.tracker.Status(vm, now)
		list[i].owner = model.Owner{VM: vm, Boot: s.Boot}
		list[i].eligible = s.Live && !s.Abstains
		list[i].pastStartDelay = list[i].eligible && now >= s.LiveSince+h.tracker.StartDelay()
	}
	return list
}

// expectedOwner returns the expected owner of a key and reports whether there is one. It prefers
// VMs whose start delay is over, because a VM that has just returned gains the key only then.
func (h *Holder) expectedOwner(e *entry, candidates []ownerCandidate, now model.Time) (model.Owner, bool) {
	if e.leased(now) {
		return model.Owner{VM: h.cfg.Self, Boot: h.tracker.Boot()}, true
	}
	for _, i := range e.ranking.order {
		if candidates[i].pastStartDelay {
			return candidates[i].owner, true
		}
	}
	for _, i := range e.ranking.order {
		if candidates[i].eligible {
			return candidates[i].owner, true
		}
	}
	return model.Owner{}, false
}

// updateRankings recomputes the rankings if the candidates, their zones or the keys have changed.
func (h *Holder) updateRankings() {
	if h.rankingsValid && h.generation == h.tracker.Generation() {
		return
	}
	h.rankingsValid = true
	h.generation = h.tracker.Generation()
	oldCandidates := h.candidates
	h.candidates = h.tracker.Candidates()
	if len(h.candidates) > maxCandidates {
		h.candidates = h.candidates[:maxCandidates]
	}
	h.self = slices.Index(h.candidates, h.cfg.Self)
	h.unsupportedUntil = make([]model.Time, len(h.candidates))
	h.appliedRevisions = make([]uint64, len(h.candidates))
	for _, e := range h.keys {
		e.confirmed = e.confirmed.reindexed(oldCandidates, h.candidates)
		e.conflicts = e.conflicts.reindexed(oldCandidates, h.candidates)
		h.rankKey(e)
	}
}

func (h *Holder) rankKey(e *entry) {
	e.ranking = rankCandidates(h.tracker, h.candidates, h.self, e.Key.Key.String(), e.Key.Zones)
}

// updateConflicts finds the candidates that may rank themselves above this VM because they use
// other zones for the key. Of two VMs that use different zones, the one with the newer object
// version treats the other as ranked higher until the other has announced that it applied the
// current zones. A VM that announces a newer version than this VM confirms nothing, because it may
// have skipped the version with the current zones.
func (h *Holder) updateConflicts(e *entry, now model.Time) {
	if e.confirmed == h.otherCandidates() && h.lowestApplied >= e.Key.Revision {
		return
	}
	for i := range h.candidates {
		if i != h.self {
			e.updateConfirmed(i, h.appliedRevisions[i], h.announcedRevision)
		}
	}
	conflicts := h.otherCandidates() &^ e.confirmed
	if e.conflicts&^conflicts != 0 {
		e.conflictEndedAt = now
	}
	e.conflicts = conflicts
}

// otherCandidates returns the set of all candidates except this VM.
func (h *Holder) otherCandidates() candidateSet {
	set := candidateSet(1)<<len(h.candidates) - 1
	if h.self >= 0 {
		set &^= 1 << h.self
	}
	return set
}
