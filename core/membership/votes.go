package membership

import (
	"slices"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// StartDelay returns how long a majority must have supported a VM under the current roster
// before the VM may gain a key: Fence plus the drift between two clocks during it.
func (t *Tracker) StartDelay() model.Time {
	return model.Time(t.cfg.Fence + t.cfg.Fence/driftDivisor)
}

// Candidates returns the VMs that may own keys: those of the current roster and, during a
// transition, those of the former one. The slice must not be changed.
func (t *Tracker) Candidates() []model.VM {
	if t.roster == nil {
		return nil
	}
	if t.previous == nil {
		return t.roster.VMs
	}
	vms := slices.Concat(t.roster.VMs, t.previous.VMs)
	slices.Sort(vms)
	return slices.Compact(vms)
}

// Generation returns a number that rises whenever Candidates or the known zone of a VM changes.
func (t *Tracker) Generation() uint64 { return t.generation }

// Support is the support for this VM by a majority of the roster.
type Support struct {
	Until model.Time // end of the validity of a majority's statements
	Since model.Time // start of the continuous support under the current roster
}

// Support returns the state of the support for this VM. It must be called after every event,
// because it also detects that support has ended.
func (t *Tracker) Support(now model.Time) Support {
	t.recordEvent(now)
	t.endTransition(now)
	if t.roster == nil || !t.roster.Has(t.cfg.Self) {
		return Support{Until: distantPast, Since: model.Never}
	}
	if now >= t.supportUntil {
		t.supportSince = now
	}
	t.supportUntil = max(t.supportUntil, t.majorityUntil(t.roster, now, currentSupportValidUntil))
	if t.supportUntil <= now {
		t.supportSince = model.Never
	}
	until := t.majorityUntil(t.roster, now, supportValidUntil)
	if t.previous != nil {
		until = min(until, t.majorityUntil(t.previous, now, supportValidUntil))
	}
	return Support{Until: until, Since: t.supportSince}
}

// NoSupportUntil returns the time until which a majority's statements of no support for vm are
// valid, or model.Never if vm is in no roster in use. Support for the boot exempt is treated as
// no support. During a transition, a majority of each roster that contains vm is needed.
func (t *Tracker) NoSupportUntil(vm model.VM, exempt model.Boot, now model.Time) model.Time {
	validUntil := func(t *Tracker, voter model.VM, now model.Time) model.Time {
		return t.unsupportedUntil(voter, vm, exempt, now)
	}
	until := model.Never
	if t.roster.Has(vm) {
		until = t.majorityUntil(t.roster, now, validUntil)
	}
	if t.previous != nil && t.previous.Has(vm) {
		until = min(until, t.majorityUntil(t.previous, now, validUntil))
	}
	return until
}

// HasMajoritySupport reports whether a majority's last statements support vm and are still valid.
func (t *Tracker) HasMajoritySupport(vm model.VM, now model.Time) bool {
	if t.roster == nil {
		return false
	}
	validUntil := func(t *Tracker, voter model.VM, now model.Time) model.Time {
		if voter == t.cfg.Self {
			if p, ok := t.peers[vm]; ok && p.supportUntil > now {
				return now.Add(t.cfg.Fence)
			}
			return distantPast
		}
		p, ok := t.peers[voter]
		if !ok {
			return distantPast
		}
		s, ok := p.statements[vm]
		if !ok || s.supportedAt <= s.unsupportedAt {
			return distantPast
		}
		return s.supportedAt.Add(t.cfg.Fence)
	}
	return t.majorityUntil(t.roster, now, validUntil) > now
}

// majorityUntil returns until when the statements of a majority of the roster are valid.
// validUntil returns this time for a single voter.
func (t *Tracker) majorityUntil(r *model.Roster, now model.Time, validUntil func(t *Tracker, voter model.VM, now model.Time) model.Time) model.Time {
	t.endTimes = t.endTimes[:0]
	for _, vm := range r.VMs {
		t.endTimes = append(t.endTimes, validUntil(t, vm, now))
	}
	slices.Sort(t.endTimes)
	return t.endTimes[len(t.endTimes)-r.Majority()]
}

// supportValidUntil returns until when a voter's statement of support for this VM is valid.
func supportValidUntil(t *Tracker, voter model.VM, now model.Time) model.Time {
	if voter == t.cfg.Self {
		if t.mayVote(now) {
			return now.Add(t.cfg.Fence)
		}
		return distantPast
	}
	if p, ok := t.peers[voter]; ok {
		return p.lastEcho.Add(t.cfg.Fence)
	}
	return distantPast
}

// currentSupportValidUntil is like supportValidUntil, but ignores statements made under the
// former roster. Those extend leases, but must not shorten the start delay, which proves that
// a majority has stopped using the former roster.
func currentSupportValidUntil(t *Tracker, voter model.VM, now model.Time) model.Time {
	if p, ok := t.peers[voter]; ok && voter != t.cfg.Self {
		return p.lastEchoOfRoster.Add(t.cfg.Fence)
	}
	return supportValidUntil(t, voter, now)
}

// unsupportedUntil returns until when a voter's statement that it does not support vm is valid.
func (t *Tracker) unsupportedUntil(voter, vm model.VM, exempt model.Boot, now model.Time) model.Time {
	if voter == t.cfg.Self {
		return t.ownUnsupportedUntil(vm, exempt, now)
	}
	p, ok := t.peers[voter]
	if !ok {
		return distantPast
	}
	s, ok := p.statements[vm]
	if !ok {
		return distantPast
	}
	return s.lastUnsupported(exempt).Add(t.cfg.Fence)
}

// ownUnsupportedUntil is unsupportedUntil for this VM itself. When this VM begins to support vm,
// its statement of no support remains valid for Fence, as the statements of other VMs do.
func (t *Tracker) ownUnsupportedUntil(vm model.VM, exempt model.Boot, now model.Time) model.Time {
	if !t.mayVote(now) {
		return distantPast
	}
	p, ok := t.peers[vm]
	if !ok || p.supportUntil <= now {
		return now.Add(t.cfg.Fence)
	}
	at := p.lastUnsupported
	if exempt != 0 && p.supportedBoot == exempt {
		at = now
	}
	if exempt != 0 && p.formerSupportedBoot == exempt {
		at = max(at, p.formerSupportedUntil)
	}
	return at.Add(t.cfg.Fence)
}
