package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Each VM writes its registration to the store once, and again if it finds it missing. A registration
// counts until it is removed: all VMs that have read the same list divide the limits for all VMs by the
// same number, however long nothing changes.
//
// Each VM gives a sign of life to those that it follows at each HeartbeatInterval. The first VMs of the
// ranked ones, which all others follow, check a VM that is silent, and remove the registration of one that
// does not answer several checks in a row. What a VM that runs costs does not depend on the number of VMs,
// and is no call to the store.

const (
	// checksBeforeRemoval is the number of failed checks in a row after which a registration is removed.
	checksBeforeRemoval = 4
	// checkRound is the time between two looks for VMs that are due for a check.
	checkRound = 5 * time.Second
	// removalInterval is the time between two removals by one VM, so that a VM which is cut off from the
	// others but not from the store cannot remove many at once. They register again.
	removalInterval = 5 * time.Second
)

// Events and effects of registrations and of the checks whether VMs still run.
type (
	// FollowerHeard reports a message of a follower that only shows that it runs.
	FollowerHeard struct{ VM model.VM }
	// VMChecked reports the result of a CheckVM. Cause is the reason why the VM has not answered, or "" if
	// it has.
	VMChecked struct {
		VM    model.VM
		Cause string
	}
	// RemovalEnded reports that an attempt to remove a registration ended. Cause is the error, or "" after
	// success.
	RemovalEnded struct {
		VM    model.VM
		Cause string
	}
	// Register writes the registration of this VM to the store.
	Register struct{}
	// SendHeartbeat tells all upstreams that this VM runs.
	SendHeartbeat struct{}
	// CheckVM asks a VM whether it runs.
	CheckVM struct {
		VM      model.VM
		Address string
	}
	// RemoveVM removes the registration of a VM from the store, unless it has changed since Position.
	RemoveVM struct {
		VM       model.VM
		Position model.Position
	}
)

func (FollowerHeard) event()  {}
func (VMChecked) event()      {}
func (RemovalEnded) event()   {}
func (Register) effect()      {}
func (SendHeartbeat) effect() {}
func (CheckVM) effect()       {}
func (RemoveVM) effect()      {}

// knownVM is the cached registration of a VM, and what this VM knows of its being alive.
type knownVM struct {
	value        model.EntryVM
	position     model.Position
	heardAt      model.Time // last sign of life, or arrival of the registration
	failedChecks int        // in a row
	checking     bool       // a check or a removal is running
	checkAt      model.Time // earliest time of the next check or removal
}

// heard records a sign of life.
func (vm *knownVM) heard(now model.Time) { vm.heardAt, vm.failedChecks = now, 0 }

func (s *State) applyVM(c Change, now model.Time) {
	vm, ok := c.Value.(*model.EntryVM)
	if c.Removed || !ok {
		if _, known := s.vms[c.Name]; known {
			delete(s.vms, c.Name)
			s.vmOrder = nil
			s.viewChanged = true
			s.log(logline.Info, "registration of a VM is gone", logline.F("peer", c.Name), logline.F("revision", c.Position))
		}
		return
	}
	if old, known := s.vms[c.Name]; known && old.position == c.Position {
		return
	}
	s.vms[c.Name] = &knownVM{value: *vm, position: c.Position, heardAt: now}
	s.vmOrder = nil
	s.viewChanged = true
}

// register writes the registration of this VM at its start, and when the store lacks it.
func (s *State) register(now model.Time) {
	if now < s.nextRegistrationDue() {
		return
	}
	if s.registered {
		s.log(logline.Warn, "registration of this VM is missing, registering again")
	}
	s.nextRegistrationAt = now.Add(s.cfg.RegisterInterval)
	s.emit(Register{})
}

// registrationMissing reports whether the VMs have been read and this one is not among them, or only with
// the registration of an earlier process.
func (s *State) registrationMissing() bool {
	if !s.reads[KindVMs].known() {
		return false
	}
	vm, ok := s.vms[string(s.cfg.Self)]
	return !ok || s.held[KindVMs].names[string(s.cfg.Self)] || vm.value.Boot != s.cfg.Boot
}

func (s *State) registrationEnded(ev RegistrationEnded, now model.Time) {
	if ev.Cause == "" {
		s.registered = true
		return
	}
	s.nextRegistrationAt = now.Add(s.cfg.RetryMax)
	s.log(logline.Warn, "registration of this VM failed", logline.F("cause", ev.Cause))
}

// nextRegistrationDue returns the time of the next Register, or model.Never.
func (s *State) nextRegistrationDue() model.Time {
	if s.registered && !s.registrationMissing() {
		return model.Never
	}
	return s.nextRegistrationAt
}

// servingVMs returns the number of VMs that may serve callers now. It counts this VM even if its
// registration is missing.
func (s *State) servingVMs() int {
	if _, known := s.vms[string(s.cfg.Self)]; known {
		return len(s.vms)
	}
	return len(s.vms) + 1
}

// heard records a sign of life of a VM.
func (s *State) heard(name model.VM, now model.Time) {
	if vm, ok := s.vms[string(name)]; ok {
		vm.heard(now)
	}
}

// sendHeartbeat tells the upstreams at each HeartbeatInterval that this VM runs.
func (s *State) sendHeartbeat(now model.Time) {
	if now < s.nextHeartbeatAt || len(s.upstreams) == 0 {
		return
	}
	s.nextHeartbeatAt = now.Add(s.cfg.HeartbeatInterval)
	s.emit(SendHeartbeat{})
}

// checkVMs checks VMs that are silent, and removes the registrations of those that have not answered
// checksBeforeRemoval checks. It is called with each event; reads of the store end more often than checkRound.
func (s *State) checkVMs(now model.Time) {
	if now < s.nextVMRoundAt {
		return
	}
	s.nextVMRoundAt = now.Add(checkRound)
	if !s.isChecker(now) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.vms)) {
		s.checkVM(s.vms[name], now)
	}
}

// isChecker reports whether this VM checks the others: it is among the first cfg.Readers of the ranked VMs,
// not counting those that are silent.
func (s *State) isChecker(now model.Time) bool {
	before := 0
	for _, vm := range s.rankedVMs() {
		if vm.Name == s.cfg.Self {
			return before < s.cfg.Readers
		}
		if !s.silent(s.vms[string(vm.Name)], now) {
			before++
		}
	}
	return false
}

func (s *State) silent(vm *knownVM, now model.Time) bool {
	return now.Sub(vm.heardAt) >= s.cfg.SilenceTimeout
}

func (s *State) checkVM(vm *knownVM, now model.Time) {
	if vm.value.Name == s.cfg.Self || !s.silent(vm, now) || vm.checking || now < vm.checkAt {
		return
	}
	if vm.position.Era < s.era {
		return // the store does not list it in this era, and the condition of the removal would be void
	}
	if vm.failedChecks < checksBeforeRemoval {
		vm.checking = true
		s.emit(CheckVM{VM: vm.value.Name, Address: vm.value.Address})
		return
	}
	if now < s.nextRemovalAt {
		return
	}
	vm.checking = true
	s.nextRemovalAt = now.Add(removalInterval)
	s.log(logline.Warn, "removing the registration of a VM that does not answer", logline.F("peer", vm.value.Name),
		logline.F("silent", now.Sub(vm.heardAt)), logline.F("checks", vm.failedChecks), logline.F("revision", vm.position))
	s.emit(RemoveVM{VM: vm.value.Name, Position: vm.position})
}

func (s *State) vmChecked(ev VMChecked, now model.Time) {
	vm, ok := s.checkEnded(ev.VM, now)
	switch {
	case !ok:
	case ev.Cause == "":
		vm.heard(now)
	default:
		vm.failedChecks++
		s.log(logline.Info, "VM does not answer a check", logline.F("peer", ev.VM), logline.F("cause", ev.Cause), logline.F("checks", vm.failedChecks))
	}
}

// removalEnded handles the end of a removal. After a success the change arrives like any other.
func (s *State) removalEnded(ev RemovalEnded, now model.Time) {
	if _, ok := s.checkEnded(ev.VM, now); ok && ev.Cause != "" {
		s.log(logline.Warn, "registration of a VM could not be removed", logline.F("peer", ev.VM), logline.F("cause", ev.Cause))
	}
}

// checkEnded allows the next check or removal of a VM, if the VM is still known.
func (s *State) checkEnded(name model.VM, now model.Time) (*knownVM, bool) {
	vm, ok := s.vms[string(name)]
	if ok {
		vm.checking = false
		vm.checkAt = now.Add(s.cfg.CheckInterval)
	}
	return vm, ok
}

// forgetSilence makes the silence of the other VMs count from now on: this VM was paused and has not read
// what they have sent.
func (s *State) forgetSilence(now model.Time) {
	for _, vm := range s.vms {
		vm.heard(now)
	}
}
