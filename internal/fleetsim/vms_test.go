package fleetsim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/directory"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// knownAfter is how long after its start a VM must be counted by all others, and must itself count them.
	knownAfter = 10 * time.Second
	// goneAfter is how long after its end a VM may still be counted.
	goneAfter = 6 * time.Minute
	forGood   = 1000 * time.Hour
)

// Guards against VMs that count others as gone while these run, so that each takes more than its part of
// the limits for all VMs, and against VMs that count others that have ended for good. Hours pass without a
// change of the registrations.
func TestVMsCountEachOtherForHours(t *testing.T) {
	tests := []struct {
		vms  int
		time time.Duration
	}{{3, 2 * time.Hour}, {12, time.Hour}, {60, 20 * time.Minute}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.vms), func(t *testing.T) {
			f := newFleet(uint64(tt.vms), tt.vms, 0.05)
			ended := make(map[model.VM]model.Time)
			f.every(10*time.Second, func() { f.checkCounts(t, ended) })
			f.every(4*time.Minute, func() { f.vms[f.rng.IntN(tt.vms)].restartIfRunning(300 * time.Millisecond) })
			f.every(9*time.Minute, func() { // cut from the store for longer than a silent VM is kept
				v := f.vms[f.rng.IntN(tt.vms)]
				v.blockAll(true)
				f.after(7*time.Minute, func() { v.blockAll(false) })
			})
			f.after(5*time.Minute, func() {
				v := f.vms[0]
				ended[v.name] = f.now()
				v.restartIfRunning(forGood)
			})
			f.runUntil(model.Time(tt.time))
		})
	}
}

// Guards against a cost of the membership that grows with the number of VMs, or that is a call to the store.
func TestCostOfMembershipIsFlat(t *testing.T) {
	const minutes = 10
	for _, vms := range []int{3, 12, 60} {
		f := newFleet(1, vms, 0.05)
		f.runUntil(model.Time(time.Minute))
		calls, messages := f.store.calls, f.messages
		f.runUntil(model.Time((1 + minutes) * time.Minute))
		perMinute := func(n int) float64 { return float64(n) / minutes / float64(vms) }
		t.Logf("%d VMs: %.2f heartbeats and checks, %.2f calls to the store a VM a minute", vms, perMinute(f.messages-messages), perMinute(f.store.calls-calls))
		if n := perMinute(f.messages - messages); n > 4.1 { // 2 a minute to each of 2 upstreams
			t.Errorf("%d VMs: %.2f heartbeats and checks a VM a minute", vms, n)
		}
		if removed := len(f.store.removals[directory.KindVMs]); removed > 0 {
			t.Errorf("%d VMs: %d registrations were removed", vms, removed)
		}
	}
}

// every calls run at each interval.
func (f *fleet) every(interval time.Duration, run func()) {
	f.after(interval, func() {
		run()
		f.every(interval, run)
	})
}

// checkCounts checks which VMs each running VM counts.
func (f *fleet) checkCounts(t *testing.T, ended map[model.VM]model.Time) {
	for _, v := range f.vms {
		if !v.up() || v.view == nil || len(v.blocked) > 0 {
			continue
		}
		for _, other := range f.vms {
			counted := slices.ContainsFunc(v.view.Senders, func(vm model.EntryVM) bool { return vm.Name == other.name })
			if other.up() && len(other.blocked) == 0 && !counted {
				t.Fatalf("at %s %s does not count %s, which runs", time.Duration(f.now()), v.name, other.name)
			}
			if at, ok := ended[other.name]; ok && counted && f.now().Sub(at) > goneAfter {
				t.Fatalf("at %s %s counts %s, which has ended %s ago", time.Duration(f.now()), v.name, other.name, f.now().Sub(at))
			}
		}
	}
}

// up reports whether the process has run for knownAfter.
func (v *vm) up() bool { return v.running && v.fleet.now().Sub(v.startedAt) > knownAfter }

func (v *vm) restartIfRunning(down time.Duration) {
	if v.running {
		v.restart(down)
	}
}

// blockAll cuts the VM from the store, or ends the cut.
func (v *vm) blockAll(blocked bool) {
	v.blocked = nil
	if !blocked {
		return
	}
	v.blocked = make(map[directory.Kind]bool)
	for _, k := range directory.Kinds() {
		v.blocked[k] = true
	}
}
