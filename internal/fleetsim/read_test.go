package fleetsim

import (
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/directory"
)

// read is a call of a VM to the store that has not ended.
type read struct {
	vm       *vm
	kind     directory.Kind
	since    uint64
	dead     bool // the answer does not arrive
	answered bool // the answer is on its way
	done     bool
}

// startRead begins a read. It fails at once if the store refuses calls, and otherwise after a timeout unless
// it is answered before.
func (v *vm) startRead(kind directory.Kind, timeout time.Duration) *read {
	v.fleet.store.calls++
	r := &read{vm: v, kind: kind, dead: v.deadIdle}
	v.reads = append(v.reads, r)
	if v.fleet.store.refusing {
		timeout = storeTime / 2
	}
	v.later(timeout, func() { r.fail("timeout") })
	return r
}

func (r *read) answer(ev directory.Event) {
	if !r.dead && !r.vm.blocked[r.kind] && r.end() {
		r.vm.reduceControl(ev)
	}
}

// fail ends a read without an answer. The VM's other connections are closed unless they are in use.
func (r *read) fail(cause string) {
	if r.end() {
		r.vm.deadIdle = false
		r.vm.reduceControl(directory.ReadFailed{Kind: r.kind, Cause: cause})
	}
}

// end reports whether the read had not ended before.
func (r *read) end() bool {
	if r.done {
		return false
	}
	r.done = true
	r.vm.reads = slices.DeleteFunc(r.vm.reads, func(other *read) bool { return other == r })
	return true
}

// restartReads ends the reads of the VM, and lets it use new connections.
func (v *vm) restartReads() {
	v.deadIdle = false
	for _, r := range slices.Clone(v.reads) {
		r.end()
		v.later(0, func() { v.reduceControl(directory.ReadCancelled{Kind: r.kind}) })
	}
}

// silenceConns makes the open connections to the store go silent, also those that no read uses.
func (v *vm) silenceConns() {
	v.deadIdle = true
	for _, r := range v.reads {
		r.dead = true
	}
}

// silenceOneConn makes the connection of one read go silent.
func (v *vm) silenceOneConn() {
	if len(v.reads) > 0 {
		v.reads[v.fleet.rng.IntN(len(v.reads))].dead = true
	}
}

// resetConns resets the open connections to the store.
func (v *vm) resetConns() {
	for _, r := range slices.Clone(v.reads) {
		r.fail("reset")
	}
}
