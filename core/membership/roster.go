package membership

import (
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// firstRosterDelay is how long a VM waits for heartbeats of others before it proposes the
	// first roster.
	firstRosterDelay = time.Second
	// addDelay is how long a VM must have sent heartbeats before it is added to the roster.
	addDelay = time.Second
	// removeDelay is how long a VM must have been without support before it is removed from
	// the roster.
	removeDelay = 10 * time.Second
	// maxRosterVMs bounds the number of voters of a group, and thereby the cost of heartbeats.
	maxRosterVMs = 9
)

// SetRoster adopts a roster if its revision is above the current one. If it is the next
// revision, statements stay valid, and a transition starts in which a lease needs majorities
// of both rosters. Otherwise all statements are dropped.
func (t *Tracker) SetRoster(r *model.Roster, now model.Time) {
	if r == nil || r.Revision <= t.revision() {
		return
	}
	t.recordEvent(now)
	old := t.roster
	t.roster = r
	t.previous = nil
	t.rosterAdoptedAt = now
	t.supportUntil = distantPast
	t.supportSince = model.Never
	t.generation++
	if old == nil || r.Revision != old.Revision+1 {
		t.clearStatements()
		return
	}
	t.previous = old
	for _, p := range t.peers {
		p.lastEchoOfRoster = distantPast
	}
	for _, vm := range r.VMs {
		if !old.Has(vm) {
			t.recordAddedVM(vm, now)
		}
	}
}

// recordAddedVM treats the statements under the former roster as statements of no support for
// vm, which was not in that roster. This is safe because vm gains its first key only after a
// majority has supported it for the start delay under the new revision, and each VM of this
// majority had stopped using the former roster before that.
func (t *Tracker) recordAddedVM(vm model.VM, now model.Time) {
	for _, p := range t.peers {
		if p.vm != vm && p.lastEcho != distantPast {
			p.statementOn(vm).unsupportedAt = p.lastEcho
		}
	}
	if p, ok := t.peers[vm]; ok && t.mayVote(now) {
		p.lastUnsupported = now
	}
}

func (t *Tracker) clearStatements() {
	for _, p := range t.peers {
		p.clearStatements()
	}
	t.supportUntil = distantPast
	t.supportSince = model.Never
}

// endTransition drops the former roster when all leases under it must have ended.
func (t *Tracker) endTransition(now model.Time) {
	if t.previous == nil || now < t.rosterAdoptedAt+t.StartDelay() {
		return
	}
	t.previous = nil
	t.generation++
}

// Roster returns the roster in use, or nil before the first one.
func (t *Tracker) Roster() *model.Roster { return t.roster }

// RosterAdoptedAt returns when this VM began to use the current roster.
func (t *Tracker) RosterAdoptedAt() model.Time { return t.rosterAdoptedAt }

func (t *Tracker) revision() uint64 {
	if t.roster == nil {
		return 0
	}
	return t.roster.Revision
}

// SetPaused sets whether automation is paused. During a pause, VMs that still send heartbeats
// are not removed from the roster.
func (t *Tracker) SetPaused(paused bool) { t.paused = paused }

// NextRoster returns the roster that this VM should write to the store now, if any. It
// differs from the current one by a single VM.
func (t *Tracker) NextRoster(now model.Time) (*model.Roster, bool) {
	t.recordEvent(now)
	if t.roster == nil {
		return t.firstRoster(now)
	}
	if !t.isProposer(now) || !t.usedByMajority(now) {
		return nil, false
	}
	if vm, ok := t.vmToRemove(now); ok {
		return t.nextRevision(slices.DeleteFunc(slices.Clone(t.roster.VMs), func(v model.VM) bool {
			return v == vm
		})), true
	}
	if vm, ok := t.vmToAdd(now); ok {
		return t.nextRevision(append(slices.Clone(t.roster.VMs), vm)), true
	}
	return nil, false
}

// firstRoster returns the first roster of the group, with up to maxRosterVMs live VMs that are
// not leaving, if this VM is the first of them by name. It returns false if a peer uses a
// roster, since one then exists already.
func (t *Tracker) firstRoster(now model.Time) (*model.Roster, bool) {
	if now < t.started.Add(firstRosterDelay) || now < t.resumedAt.Add(firstRosterDelay) || t.leaving || t.abstains {
		return nil, false
	}
	vms := []model.VM{t.cfg.Self}
	for _, p := range t.peers {
		if p.roster != 0 {
			return nil, false
		}
		if p.liveAt(now, t.cfg.Grace) && !p.leaving && !p.abstains {
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

func (t *Tracker) nextRevision(vms []model.VM) *model.Roster {
	slices.Sort(vms)
	return &model.Roster{Group: t.cfg.Group, Revision: t.roster.Revision + 1, VMs: vms}
}

// isProposer reports whether this VM is the first by name of the live VMs that use the current
// roster and are not leaving. Two VMs may both be proposers for a while; writes are
// conditional, so only one succeeds.
func (t *Tracker) isProposer(now model.Time) bool {
	if t.leaving || t.abstains {
		return false
	}
	for _, p := range t.peers {
		if p.vm < t.cfg.Self && t.usesCurrentRoster(p, now) && !p.leaving && !p.abstains {
			return false
		}
	}
	return true
}

// InUse reports whether a majority of the roster's VMs, not counting this one, uses it now. If
// so, the only later roster that VMs can use is the next revision, and less than a majority
// uses it.
func (t *Tracker) InUse(r *model.Roster, now model.Time) bool {
	n := 0
	for _, vm := range r.VMs {
		p, ok := t.peers[vm]
		if ok && vm != t.cfg.Self && p.liveAt(now, t.cfg.Grace) && p.roster == r.Revision {
			n++
		}
	}
	return n >= r.Majority()
}

// usedByMajority reports whether a majority of the current roster's VMs uses it.
func (t *Tracker) usedByMajority(now model.Time) bool {
	n := 0
	for _, vm := range t.roster.VMs {
		p, ok := t.peers[vm]
		if vm == t.cfg.Self || (ok && t.usesCurrentRoster(p, now)) {
			n++
		}
	}
	return n >= t.roster.Majority()
}

func (t *Tracker) usesCurrentRoster(p *peer, now model.Time) bool {
	return p.liveAt(now, t.cfg.Grace) && p.roster == t.revision()
}

// vmToRemove returns the next VM to remove from the roster, if any: VMs that have left come
// before silent ones.
func (t *Tracker) vmToRemove(now model.Time) (model.VM, bool) {
	for _, vm := range t.roster.VMs {
		if vm != t.cfg.Self && t.hasLeft(vm, now) {
			return vm, true
		}
	}
	for _, vm := range t.roster.VMs {
		if vm != t.cfg.Self && t.isSilent(vm, now) {
			return vm, true
		}
	}
	return "", false
}

// hasLeft reports whether the last heartbeat of a VM said that it was leaving and the platform
// no longer lists it. Unless it has abstained and automation is not paused, it must also have
// stopped sending heartbeats.
func (t *Tracker) hasLeft(vm model.VM, now model.Time) bool {
	p, ok := t.peers[vm]
	if !ok || !t.listed || p.listed || !(p.leaving || p.abstains) {
		return false
	}
	if t.paused && p.liveAt(now, t.cfg.Grace) {
		return false
	}
	return p.abstains || !p.liveAt(now, t.cfg.Grace)
}

// isSilent reports whether a VM has been without heartbeats and without support from this VM
// for removeDelay. Support ends at most Grace after the last heartbeat. The time before this VM
// started, or resumed after a gap between events, does not count. For a VM without any
// heartbeat, neither does the time before the roster was adopted.
func (t *Tracker) isSilent(vm model.VM, now model.Time) bool {
	last := max(t.started, t.resumedAt)
	p, ok := t.peers[vm]
	if ok && p.supportUntil != distantPast {
		last = max(last, p.supportUntil)
	}
	if ok && p.heartbeatReceived {
		last = max(last, p.lastHeartbeat)
	}
	if !ok || !p.heartbeatReceived {
		last = max(last, t.rosterAdoptedAt)
	}
	return now.Sub(last) >= removeDelay
}

// vmToAdd returns the next VM to add to the roster, if any: this VM, or else the first by name.
// A peer must already use the current roster, since otherwise it could not vote.
func (t *Tracker) vmToAdd(now model.Time) (model.VM, bool) {
	if len(t.roster.VMs) >= maxRosterVMs || !t.listed {
		return "", false
	}
	if t.selfListed && !t.roster.Has(t.cfg.Self) && now >= t.started.Add(addDelay) {
		return t.cfg.Self, true
	}
	for _, vm := range t.sortedPeers() {
		p := t.peers[vm]
		if t.roster.Has(vm) || !p.listed || p.listedLeaving || p.leaving || p.abstains {
			continue
		}
		if t.usesCurrentRoster(p, now) && now >= p.liveSince.Add(addDelay) {
			return vm, true
		}
	}
	return "", false
}
