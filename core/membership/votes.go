package membership

import (
	"slices"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// StartDelay is the time for which a majority must have supported a VM under the current
// roster before it may gain a key: Fence plus the drift between two clocks over it.
func (t *Tracker) StartDelay() model.Time {
	return model.Time(t.cfg.Fence + t.cfg.Fence/driftShare)
}

// Candidates returns the VMs that may own keys: those of the roster, and during the
// transition from a roster also those that it alone lists. The slice must not be changed.
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

// Generation rises whenever Candidates or the known zone of a VM changes.
func (t *Tracker) Generation() uint64 { return t.generated }

// Support is the support of this VM by a majority of the roster.
type Support struct {
	Until model.Time // when the majority stops counting
	Since model.Time // start of the continuous support under the current roster
}

// Support returns the state of the support for this VM. It must be called after every
// event, because it also notes when support has lapsed.
func (t *Tracker) Support(now model.Time) Support {
	t.observe(now)
	t.endTransition(now)
	if t.roster == nil || !t.roster.Has(t.cfg.Self) {
		return Support{Until: longAgo, Since: model.Never}
	}
	if now >= t.supportUntil {
		t.supportSince = now
	}
	t.supportUntil = max(t.supportUntil, t.majorityEnd(t.roster, now, currentSupportVote))
	if t.supportUntil <= now {
		t.supportSince = model.Never
	}
	until := t.majorityEnd(t.roster, now, supportVote)
	if t.previous != nil {
		until = min(until, t.majorityEnd(t.previous, now, supportVote))
	}
	return Support{Until: until, Since: t.supportSince}
}

// Against returns until when a majority states that it does not support vm, where support
// for the boot exempt counts as none. During a transition both rosters must agree.
func (t *Tracker) Against(vm model.VM, exempt model.Boot, now model.Time) model.Time {
	vote := func(t *Tracker, voter model.VM, now model.Time) model.Time {
		return t.against(voter, vm, exempt, now)
	}
	until := model.Never
	if t.roster.Has(vm) {
		until = t.majorityEnd(t.roster, now, vote)
	}
	if t.previous != nil && t.previous.Has(vm) {
		until = min(until, t.majorityEnd(t.previous, now, vote))
	}
	return until
}

// Backed reports whether the last statements of a majority support vm.
func (t *Tracker) Backed(vm model.VM, now model.Time) bool {
	if t.roster == nil {
		return false
	}
	backed := func(t *Tracker, voter model.VM, now model.Time) model.Time {
		if voter == t.cfg.Self {
			if p, ok := t.peers[vm]; ok && p.supportUntil > now {
				return now.Add(t.cfg.Fence)
			}
			return longAgo
		}
		p, ok := t.peers[voter]
		if !ok {
			return longAgo
		}
		s, ok := p.states[vm]
		if !ok || s.at <= s.against {
			return longAgo
		}
		return s.at.Add(t.cfg.Fence)
	}
	return t.majorityEnd(t.roster, now, backed) > now
}

// majorityEnd returns until when the votes of a majority of the roster count.
func (t *Tracker) majorityEnd(r *model.Roster, now model.Time, vote func(t *Tracker, voter model.VM, now model.Time) model.Time) model.Time {
	t.ends = t.ends[:0]
	for _, vm := range r.VMs {
		t.ends = append(t.ends, vote(t, vm, now))
	}
	slices.Sort(t.ends)
	return t.ends[len(t.ends)-r.Majority()]
}

// supportVote returns until when the support of voter for this VM counts.
func supportVote(t *Tracker, voter model.VM, now model.Time) model.Time {
	if voter == t.cfg.Self {
		if t.voting(now) {
			return now.Add(t.cfg.Fence)
		}
		return longAgo
	}
	if p, ok := t.peers[voter]; ok {
		return p.echo.Add(t.cfg.Fence)
	}
	return longAgo
}

// currentSupportVote is supportVote without the statements that a roster change has carried
// over. They prolong leases but do not count for the start delay, which has to prove that a
// majority had left the former roster.
func currentSupportVote(t *Tracker, voter model.VM, now model.Time) model.Time {
	if p, ok := t.peers[voter]; ok && voter != t.cfg.Self {
		return p.echoCurrent.Add(t.cfg.Fence)
	}
	return supportVote(t, voter, now)
}

// against returns until when the vote of voter against vm counts.
func (t *Tracker) against(voter, vm model.VM, exempt model.Boot, now model.Time) model.Time {
	if voter == t.cfg.Self {
		return t.ownAgainst(vm, exempt, now)
	}
	p, ok := t.peers[voter]
	if !ok {
		return longAgo
	}
	s, ok := p.states[vm]
	if !ok {
		return longAgo
	}
	return s.lastAgainst(exempt).Add(t.cfg.Fence)
}

// ownAgainst is against for this VM's own vote. A statement that a heartbeat of vm has ended
// still counts for Fence, as those of others do.
func (t *Tracker) ownAgainst(vm model.VM, exempt model.Boot, now model.Time) model.Time {
	if !t.voting(now) {
		return longAgo
	}
	p, ok := t.peers[vm]
	if !ok || p.supportUntil <= now {
		return now.Add(t.cfg.Fence)
	}
	at := p.notSince
	if exempt != 0 && p.supported == exempt {
		at = now
	}
	if exempt != 0 && p.former == exempt {
		at = max(at, p.formerUntil)
	}
	return at.Add(t.cfg.Fence)
}
