package membership

import (
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// gatherTime is how long the first proposer waits for heartbeats of other VMs.
	gatherTime = time.Second
	// addAfter is how long a VM must have been heard before it gets a vote.
	addAfter = time.Second
	// removeAfter is how long a VM must have been without support before it loses its vote.
	removeAfter = 10 * time.Second
	// maxRosterVMs bounds the votes of a group, and so the cost of heartbeats.
	maxRosterVMs = 9
)

// SetRoster adopts a roster; older revisions are ignored. The next revision keeps the
// statements that count and starts a transition, in which a lease needs the majorities of
// both rosters. A greater step drops all statements.
func (t *Tracker) SetRoster(r *model.Roster, now model.Time) {
	if r == nil || r.Revision <= t.revision() {
		return
	}
	t.observe(now)
	old := t.roster
	t.roster = r
	t.previous = nil
	t.adopted = now
	t.supportUntil = longAgo
	t.supportSince = model.Never
	t.generated++
	if old == nil || r.Revision != old.Revision+1 {
		t.clearStatements()
		return
	}
	t.previous = old
	for _, p := range t.peers {
		p.echoCurrent = longAgo
	}
	for _, vm := range r.VMs {
		if !old.Has(vm) {
			t.added(vm, now)
		}
	}
}

// added makes the statements under the former roster count as votes against a VM that had
// no part in it. A VM gains its first key only when a majority has supported it for the
// start delay under the new revision, and each of these VMs had stopped using the former
// one before that.
func (t *Tracker) added(vm model.VM, now model.Time) {
	for _, p := range t.peers {
		if p.vm != vm && p.echo != longAgo {
			p.statement(vm).against = p.echo
		}
	}
	if p, ok := t.peers[vm]; ok && t.voting(now) {
		p.notSince = now
	}
}

func (t *Tracker) clearStatements() {
	for _, p := range t.peers {
		p.clearStatements()
	}
	t.supportUntil = longAgo
	t.supportSince = model.Never
}

// endTransition drops the former roster when no lease under it can be left.
func (t *Tracker) endTransition(now model.Time) {
	if t.previous == nil || now < t.adopted+t.StartDelay() {
		return
	}
	t.previous = nil
	t.generated++
}

// Roster returns the roster in use, or nil.
func (t *Tracker) Roster() *model.Roster { return t.roster }

// Adopted returns when this VM began to use the roster.
func (t *Tracker) Adopted() model.Time { return t.adopted }

func (t *Tracker) revision() uint64 {
	if t.roster == nil {
		return 0
	}
	return t.roster.Revision
}

// SetPaused tells whether automation is paused. A pause holds back the removal of VMs that
// still send heartbeats.
func (t *Tracker) SetPaused(paused bool) { t.paused = paused }

// NextRoster returns the roster that this VM proposes to write now, if any.
func (t *Tracker) NextRoster(now model.Time) (*model.Roster, bool) {
	t.observe(now)
	if t.roster == nil {
		return t.firstRoster(now)
	}
	if !t.proposes(now) || !t.settled(now) {
		return nil, false
	}
	if vm, ok := t.toRemove(now); ok {
		return t.successor(slices.DeleteFunc(slices.Clone(t.roster.VMs), func(v model.VM) bool {
			return v == vm
		})), true
	}
	if vm, ok := t.toAdd(now); ok {
		return t.successor(append(slices.Clone(t.roster.VMs), vm)), true
	}
	return nil, false
}

// firstRoster lists every VM heard. A peer that uses a roster proves that one exists.
func (t *Tracker) firstRoster(now model.Time) (*model.Roster, bool) {
	if now < t.started.Add(gatherTime) || now < t.awake.Add(gatherTime) || t.leaving || t.abstains {
		return nil, false
	}
	vms := []model.VM{t.cfg.Self}
	for _, p := range t.peers {
		if p.roster != 0 {
			return nil, false
		}
		if p.aliveAt(now, t.cfg.Grace) && !p.leaving && !p.abstains {
			vms = append(vms, p.vm)
		}
	}
	slices.Sort(vms)
	if vms[0] != t.cfg.Self {
		return nil, false
	}
	if len(vms) > maxRosterVMs {
		vms = vms[:maxRosterVMs]
	}
	return &model.Roster{Group: t.cfg.Group, Revision: 1, VMs: vms}, true
}

func (t *Tracker) successor(vms []model.VM) *model.Roster {
	slices.Sort(vms)
	return &model.Roster{Group: t.cfg.Group, Revision: t.roster.Revision + 1, VMs: vms}
}

// proposes reports whether this VM is the first live one by name that uses the current
// roster. Two proposers at once are harmless, since writes are conditional.
func (t *Tracker) proposes(now model.Time) bool {
	if t.leaving || t.abstains {
		return false
	}
	for _, p := range t.peers {
		if p.vm < t.cfg.Self && t.current(p, now) && !p.leaving && !p.abstains {
			return false
		}
	}
	return true
}

// InUse reports whether a majority of a roster, this VM left out, uses it now. No later roster
// than the next one can then be in use, and that one not by a majority.
func (t *Tracker) InUse(r *model.Roster, now model.Time) bool {
	n := 0
	for _, vm := range r.VMs {
		p, ok := t.peers[vm]
		if ok && vm != t.cfg.Self && p.aliveAt(now, t.cfg.Grace) && p.roster == r.Revision {
			n++
		}
	}
	return n >= r.Majority()
}

// settled reports whether a majority of the roster uses it.
func (t *Tracker) settled(now model.Time) bool {
	n := 0
	for _, vm := range t.roster.VMs {
		p, ok := t.peers[vm]
		if vm == t.cfg.Self || (ok && t.current(p, now)) {
			n++
		}
	}
	return n >= t.roster.Majority()
}

func (t *Tracker) current(p *peer, now model.Time) bool {
	return p.aliveAt(now, t.cfg.Grace) && p.roster == t.revision()
}

// toRemove returns the first VM that should lose its vote: first those that have left, then
// those that are silent.
func (t *Tracker) toRemove(now model.Time) (model.VM, bool) {
	for _, vm := range t.roster.VMs {
		if vm != t.cfg.Self && t.hasLeft(vm, now) {
			return vm, true
		}
	}
	for _, vm := range t.roster.VMs {
		if vm != t.cfg.Self && t.silent(vm, now) {
			return vm, true
		}
	}
	return "", false
}

// hasLeft reports whether a VM was leaving when last heard and has left the list.
func (t *Tracker) hasLeft(vm model.VM, now model.Time) bool {
	p, ok := t.peers[vm]
	if !ok || !t.listed || p.listed || !(p.leaving || p.abstains) {
		return false
	}
	if t.paused && p.aliveAt(now, t.cfg.Grace) {
		return false
	}
	return p.abstains || !p.aliveAt(now, t.cfg.Grace)
}

// silent reports whether a VM has been without support for removeAfter while this VM was
// running and using the roster. The time since the last heartbeat stands for it: support
// ends Grace after that at the latest.
func (t *Tracker) silent(vm model.VM, now model.Time) bool {
	last := max(t.started, t.awake)
	p, ok := t.peers[vm]
	if ok && p.supportUntil != longAgo {
		last = max(last, p.supportUntil)
	}
	if ok && p.heard {
		last = max(last, p.lastHeard)
	}
	if !ok || !p.heard {
		last = max(last, t.adopted)
	}
	return now.Sub(last) >= removeAfter
}

// toAdd returns the first VM by name that should get a vote. It must use the current roster,
// since it could not vote before.
func (t *Tracker) toAdd(now model.Time) (model.VM, bool) {
	if len(t.roster.VMs) >= maxRosterVMs || !t.listed {
		return "", false
	}
	if t.selfListed && !t.roster.Has(t.cfg.Self) && now >= t.started.Add(addAfter) {
		return t.cfg.Self, true
	}
	for _, vm := range t.sorted() {
		p := t.peers[vm]
		if t.roster.Has(vm) || !p.listed || p.listedLeaving || p.leaving || p.abstains {
			continue
		}
		if t.current(p, now) && now >= p.aliveSince.Add(addAfter) {
			return vm, true
		}
	}
	return "", false
}
