// Package ownership decides which shard keys this VM may dispatch for, by weighted
// rendezvous ranking over the roster and leases made of support statements.
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

// Key is one shard key to be owned.
type Key struct {
	Key            model.ShardKey
	Zones          []model.AvailabilityZone // zones of its replicas
	AttemptTimeout time.Duration
	// Revision is the version of the object that the key comes from. When the zones change,
	// it tells which VMs rank by the new ones.
	Revision uint64
}

// Holder is the ownership state of one VM.
type Holder struct {
	tracker *membership.Tracker
	cfg     membership.Config
	leaving bool
	leaves  model.Time // when leaving began
	busy    model.Time // when a key was last held while leaving
	abstain bool
	term    uint64
	keys    []*entry // in the order of SetKeys
	byKey   map[model.ShardKey]*entry

	// Rankings are valid for this generation of the tracker.
	ranked     bool
	generation uint64
	vms        []model.VM
	self       int
	// Per candidate, recomputed by each Update.
	against []model.Time
	applied []uint64
	lowest  uint64 // lowest of applied
	own     uint64 // highest object version that the last heartbeat announced
	support membership.Support
}

// New returns a holder that owns nothing.
func New(tracker *membership.Tracker) *Holder {
	return &Holder{
		tracker: tracker,
		cfg:     tracker.Config(),
		byKey:   make(map[model.ShardKey]*entry),
	}
}

// SetKeys replaces the shard keys to be owned.
func (h *Holder) SetKeys(keys []Key, now model.Time) {
	entries := make([]*entry, 0, len(keys))
	byKey := make(map[model.ShardKey]*entry, len(keys))
	for _, k := range keys {
		e, ok := h.byKey[k.Key]
		if ok {
			e.replace(k)
		} else {
			e = newEntry(k)
		}
		entries = append(entries, e)
		byKey[k.Key] = e
	}
	h.keys = entries
	h.byKey = byKey
	h.ranked = false
}

// Update renews, gains and loses leases by the statements that count now. It asks for
// effect.DrainKey for keys that a better-ranked VM should get.
func (h *Holder) Update(now model.Time, out *effect.List) {
	h.support = h.tracker.Support(now)
	h.rank()
	h.lowest = math.MaxUint64
	for i, vm := range h.vms {
		if i != h.self {
			h.against[i] = h.tracker.Against(vm, 0, now)
			h.applied[i] = h.tracker.Status(vm, now).Applied
			h.lowest = min(h.lowest, h.applied[i])
		}
	}
	for _, e := range h.keys {
		h.update(e, now, out)
	}
	h.updateAbstain(now)
}

// updateAbstain abstains when nothing is held any more. It first lets the last releases
// arrive, because a key that a successor takes over by the abstention is not clean.
func (h *Holder) updateAbstain(now model.Time) {
	if slices.ContainsFunc(h.keys, func(e *entry) bool { return e.state != idle }) {
		h.busy = now
	}
	h.abstain = h.leaving && now > h.busy.Add(h.cfg.HeartbeatInterval)
	h.tracker.SetPart(h.leaving, h.abstain)
}

func (h *Holder) update(e *entry, now model.Time, out *effect.List) {
	h.findConflicts(e, now)
	if e.state != idle && now >= e.until {
		h.lose(e, out)
	}
	switch e.state {
	case idle:
		if h.mayGain(now) {
			h.gain(e, now)
		}
	case waiting:
		h.wait(e, now)
	case held:
		e.until = max(e.until, h.end(e, now))
	}
	if e.state == held && h.mustDrain(e, now) {
		e.state = draining
		out.Add(effect.DrainKey{Key: e.Key.Key, Term: e.term})
	}
}

// wait goes on until attempts of the previous owner can no longer run.
func (h *Holder) wait(e *entry, now model.Time) {
	if h.leaving {
		e.drop()
		return
	}
	e.until = max(e.until, h.end(e, now))
	if now >= e.ready {
		e.state = held
	}
}

// lose ends a lease that has expired. Traffic is told to refuse what it has queued.
func (h *Holder) lose(e *entry, out *effect.List) {
	if e.state == held {
		out.Add(effect.DrainKey{Key: e.Key.Key, Term: e.term})
	}
	e.drop()
}

// mayGain reports whether this VM may gain keys at all: a majority must have supported it
// for the start delay under the current roster.
func (h *Holder) mayGain(now model.Time) bool {
	if h.leaving || h.support.Since == model.Never {
		return false
	}
	return now >= h.support.Since+h.tracker.StartDelay()
}

// gain takes an idle key if the conditions hold. It leaves the key alone when they hold
// only for the moment, because a better-ranked VM has just returned.
func (h *Holder) gain(e *entry, now model.Time) {
	end := h.end(e, now)
	if end <= now {
		return
	}
	if _, ok := h.better(e, now); ok {
		return
	}
	h.term++
	e.term = h.term
	e.until = end
	e.state = waiting
	e.ready = now.Add(h.extraWait(e, now))
	if e.handedOver(now, h.cfg.Grace) {
		e.ready = now
	}
	if now >= e.ready {
		e.state = held
	}
}

// extraWait is how much longer attempts of the previous owner may run after a takeover
// without a release. A previous owner that ranked higher stopped at least Grace - Fence ago,
// or before it abstained; one that ranked lower stopped when the start delay of this VM was
// over, and one that ranked by other zones before the conflict ended.
func (h *Holder) extraWait(e *entry, now model.Time) time.Duration {
	stopped := min(
		h.cfg.Grace-h.cfg.Fence,
		now.Sub(h.support.Since+h.tracker.StartDelay()),
		now.Sub(e.cleared),
	)
	for i, vm := range h.vms {
		if e.ranking.above.has(i) {
			stopped = min(stopped, now.Sub(h.tracker.Status(vm, now).Abstained))
		}
	}
	return max(0, e.Key.AttemptTimeout-stopped)
}

// end returns when the first of the majorities that a lease of the key needs stops counting.
func (h *Holder) end(e *entry, now model.Time) model.Time {
	end := h.support.Until
	if h.self < 0 {
		return end
	}
	above := e.ranking.above | e.conflicts
	for i := range h.vms {
		if above.has(i) {
			end = min(end, h.endAgainst(e, i, now))
		}
	}
	return end
}

// endAgainst is until when a majority states no support for a candidate. Boots that have
// released the key for good need no such majority.
func (h *Holder) endAgainst(e *entry, i int, now model.Time) model.Time {
	end := h.against[i]
	x, ok := e.exempt[h.vms[i]]
	if !ok {
		return end
	}
	if s := h.tracker.Status(h.vms[i], now); s.Boot == x.boot && s.Leaving {
		x.final = true
	}
	if !x.final || (e.state == idle && now.Sub(x.at) > h.cfg.Grace) {
		return end
	}
	return max(end, h.tracker.Against(h.vms[i], x.boot, now))
}

// mustDrain reports whether the key has to be handed over now. A leaving VM first lets the
// others hear that it leaves and pass the start delay of the roster. For a better-ranked VM
// the hand-over comes just before the lease ends, because that VM may not use the key
// earlier.
func (h *Holder) mustDrain(e *entry, now model.Time) bool {
	if h.leaving {
		return now >= max(h.tracker.Adopted()+2*h.tracker.StartDelay(), h.leaves.Add(2*h.cfg.HeartbeatInterval))
	}
	if e.until.Sub(now) > h.drainLead() {
		return false
	}
	_, ok := h.better(e, now)
	return ok
}

// drainLead is the time that a hand-over to a better-ranked VM may take.
func (h *Holder) drainLead() time.Duration { return h.cfg.HeartbeatInterval }

// better returns the best-ranked VM above this one that can take over the key.
func (h *Holder) better(e *entry, now model.Time) (model.VM, bool) {
	for _, i := range e.ranking.order {
		if i == h.self {
			break
		}
		if h.successor(h.vms[i], now) {
			return h.vms[i], true
		}
	}
	return "", false
}

// next returns the VM that gets the key. Only a leaving VM hands keys to lower-ranked ones,
// which is what makes such a release final.
func (h *Holder) next(e *entry, now model.Time) (model.VM, bool) {
	if !h.leaving {
		return h.better(e, now)
	}
	for _, i := range e.ranking.order {
		if i != h.self && h.successor(h.vms[i], now) {
			return h.vms[i], true
		}
	}
	return "", false
}

// successor reports whether a VM is alive, claims keys and is supported by a majority.
func (h *Holder) successor(vm model.VM, now model.Time) bool {
	s := h.tracker.Status(vm, now)
	return s.Alive && !s.Leaving && !s.Abstains && h.tracker.Backed(vm, now)
}

// Drained continues the hand-over of a key that traffic has stopped dispatching for. A
// lease that had expired by then is not released: somebody else may have served the key
// since, so the attempts reported here would be incomplete.
func (h *Holder) Drained(ev event.KeyDrained, now model.Time, out *effect.List) {
	e, ok := h.byKey[ev.Key]
	if !ok || e.state != draining || e.term != ev.Term || now >= e.until {
		return
	}
	e.drop()
	h.busy = now
	to, ok := h.next(e, now)
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

// Released takes over keys from their previous owner. The keys are gained by the next
// Update for which the conditions hold.
func (h *Holder) Released(rel *event.Release, now model.Time, out *effect.List) {
	from := h.tracker.Status(rel.From, now)
	if rel.To != h.cfg.Self || from.Boot != rel.Boot {
		return
	}
	h.rank()
	for i := range rel.Keys {
		e, ok := h.byKey[rel.Keys[i].Key]
		if !ok {
			continue
		}
		if i := slices.Index(h.vms, rel.From); i >= 0 && e.ranking.above.has(i) {
			e.exempts(rel.From, rel.Boot, now)
		}
		e.received(&rel.Keys[i], now, h.cfg.Grace)
	}
}

// SetLeaving starts or ends the hand-over of all keys. Rejoining needs a new boot.
func (h *Holder) SetLeaving(leaving bool, now model.Time, out *effect.List) {
	h.leaving = leaving
	h.leaves = now
	h.updateAbstain(now)
}

// Fill sets the fields of a heartbeat that ownership owns. The revision must be set already.
func (h *Holder) Fill(hb *event.Heartbeat) {
	h.own = hb.Revision
	hb.Leaving = h.leaving
	hb.Abstains = h.Abstained()
	hb.Entry = !h.leaving
}

// Abstained reports whether this VM has handed everything over and claims nothing.
func (h *Holder) Abstained() bool { return h.abstain }

// Leases returns the keys that this VM may dispatch for, with the end of each lease.
func (h *Holder) Leases(now model.Time) map[model.ShardKey]model.Lease {
	leases := make(map[model.ShardKey]model.Lease)
	for _, e := range h.keys {
		if e.leased(now) {
			leases[e.Key.Key] = e.lease()
		}
	}
	return leases
}

// Owners returns whom this VM believes to own each key.
func (h *Holder) Owners(now model.Time) map[model.ShardKey]model.Owner {
	owners := make(map[model.ShardKey]model.Owner, len(h.keys))
	h.rank()
	guesses := h.guesses(now)
	for _, e := range h.keys {
		if o, ok := h.owner(e, guesses, now); ok {
			owners[e.Key.Key] = o
		}
	}
	return owners
}

// guess is what Owners needs to know of a candidate.
type guess struct {
	owner   model.Owner
	serves  bool // alive and not abstaining
	settled bool // and past its start delay
}

func (h *Holder) guesses(now model.Time) []guess {
	list := make([]guess, len(h.vms))
	for i, vm := range h.vms {
		if i == h.self {
			continue
		}
		s := h.tracker.Status(vm, now)
		list[i].owner = model.Owner{VM: vm, Boot: s.Boot}
		list[i].serves = s.Alive && !s.Abstains
		list[i].settled = list[i].serves && now >= s.Since+h.tracker.StartDelay()
	}
	return list
}

// owner prefers VMs that have been alive for the start delay, because a VM that has just
// returned gets the key only after that.
func (h *Holder) owner(e *entry, guesses []guess, now model.Time) (model.Owner, bool) {
	if e.leased(now) {
		return model.Owner{VM: h.cfg.Self, Boot: h.tracker.Boot()}, true
	}
	for _, i := range e.ranking.order {
		if guesses[i].settled {
			return guesses[i].owner, true
		}
	}
	for _, i := range e.ranking.order {
		if guesses[i].serves {
			return guesses[i].owner, true
		}
	}
	return model.Owner{}, false
}

// rank recomputes the rankings if the candidates, their zones or the keys have changed.
func (h *Holder) rank() {
	if h.ranked && h.generation == h.tracker.Generation() {
		return
	}
	h.ranked = true
	h.generation = h.tracker.Generation()
	former := h.vms
	h.vms = h.tracker.Candidates()
	if len(h.vms) > maxCandidates {
		h.vms = h.vms[:maxCandidates]
	}
	h.self = slices.Index(h.vms, h.cfg.Self)
	h.against = make([]model.Time, len(h.vms))
	h.applied = make([]uint64, len(h.vms))
	for _, e := range h.keys {
		e.confirmed = e.confirmed.moved(former, h.vms)
		e.conflicts = e.conflicts.moved(former, h.vms)
		h.rankKey(e)
	}
}

func (h *Holder) rankKey(e *entry) {
	e.ranking = rank(h.tracker, h.vms, h.self, e.Key.Key.String(), e.Key.Zones)
}

// findConflicts finds the candidates that may rank themselves above this VM by other zones
// than those known here. Of two VMs with different zones for a key, the one that is ahead
// respects the other until it has heard that the other has applied the present zones. A VM
// that is ahead of this one proves nothing, because it may have skipped the revision of the
// present zones.
func (h *Holder) findConflicts(e *entry, now model.Time) {
	if e.confirmed == h.others() && h.lowest >= e.Key.Revision {
		return
	}
	for i := range h.vms {
		if i != h.self {
			e.confirm(i, h.applied[i], h.own)
		}
	}
	conflicts := h.others() &^ e.confirmed
	if e.conflicts&^conflicts != 0 {
		e.cleared = now
	}
	e.conflicts = conflicts
}

// others is the set of all candidates but this VM.
func (h *Holder) others() candidateSet {
	set := candidateSet(1)<<len(h.vms) - 1
	if h.self >= 0 {
		set &^= 1 << h.self
	}
	return set
}
