package ownership

import (
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// maxCandidates is the number of bits of a candidateSet. It is never reached: a roster has at
// most 9 VMs, and a transition between two rosters adds one.
const maxCandidates = 64

func (s candidateSet) has(i int) bool { return s&(1<<i) != 0 }

// reindexed converts a set of indexes in the list from to the indexes that the same VMs have in the
// list to. VMs that are not in to are dropped.
func (s candidateSet) reindexed(from, to []model.VM) candidateSet {
	var set candidateSet
	for i, vm := range from {
		if j := slices.Index(to, vm); j >= 0 && s.has(i) {
			set |= 1 << j
		}
	}
	return set
}

// state is the lease state of one key on this VM.
type state uint8

const (
	idle     state = iota // no lease
	waiting               // lease gained, but attempts of the previous owner may still run
	held                  // leased: this VM dispatches for the key
	draining              // leased but not renewed; traffic was told to stop dispatching
)

// entry is the state of one key and of its lease.
type entry struct {
	Key     Key
	ranking ranking
	// confirmed holds the candidates that are known to have applied the current zones, or newer
	// ones. conflicts holds those that may use other zones and so may rank themselves above this VM.
	confirmed, conflicts candidateSet
	conflictEndedAt      model.Time // when the last conflict with a candidate ended

	state      state
	leaseUntil model.Time
	waitUntil  model.Time // end of waiting
	term       uint64

	// Data of the previous owner, if it released the key; see model.Lease.
	clean   bool
	running []model.RunningAttempt
	submits []model.SeenSubmit
	servers []model.ServerState

	// release is the last release received, until the key is gained; nil if there is none.
	release           *event.ReleasedKey
	releaseReceivedAt model.Time
	exemptions        map[model.VM]*exemption // by better-ranked VM that has released the key
}

// exemption records that a boot of a better-ranked VM has released the key. It is final once that
// boot is known to be leaving, because a leaving boot does not claim the key again.
type exemption struct {
	boot       model.Boot
	receivedAt model.Time
	final      bool
}

func newEntry(k Key) *entry { return &entry{Key: k} }

// setKey replaces the definition of the key. If the zones are the same, the old revision is kept,
// so that Revision is always the version that last changed the zones.
func (e *entry) setKey(k Key) {
	if slices.Equal(k.Zones, e.Key.Zones) {
		k.Revision = e.Key.Revision
		e.Key = k
		return
	}
	e.confirmed = 0
	e.Key = k
}

// updateConfirmed updates whether candidate i is known to have applied the current zones or newer
// ones. applied is the object version that the candidate has applied; announced is the version that
// this VM has announced. If the candidate is ahead of this VM, its earlier confirmation stays as it
// is.
func (e *entry) updateConfirmed(i int, applied, announced uint64) {
	if applied < e.Key.Revision {
		e.confirmed &^= 1 << i
	} else if applied <= announced {
		e.confirmed |= 1 << i
	}
}

// endLease makes the key idle and forgets what is known about the previous owner.
func (e *entry) endLease() {
	e.state = idle
	e.clean = false
	e.running = nil
	e.submits = nil
	e.servers = nil
	e.exemptions = nil
}

func (e *entry) leased(now model.Time) bool {
	return (e.state == held || e.state == draining) && now < e.leaseUntil
}

func (e *entry) lease() model.Lease {
	return model.Lease{
		Until:   e.leaseUntil,
		Term:    e.term,
		Clean:   e.clean,
		Running: e.running,
		Submits: e.submits,
		Servers: e.servers,
	}
}

func (e *entry) addExemption(vm model.VM, boot model.Boot, now model.Time) {
	if e.exemptions == nil {
		e.exemptions = make(map[model.VM]*exemption)
	}
	e.exemptions[vm] = &exemption{boot: boot, receivedAt: now}
}

// storeRelease stores a release that arrived for the key. If the key is waiting, the release ends
// the wait. If the key is leased already, the release is ignored.
func (e *entry) storeRelease(k *event.ReleasedKey, now model.Time, grace time.Duration) {
	if e.state == held || e.state == draining {
		return
	}
	e.release = k
	e.releaseReceivedAt = now
	if e.state == waiting && e.consumeRelease(now, grace) {
		e.waitUntil = now
	}
}

// consumeRelease applies the stored release to the new lease, removes it and reports whether there
// was one that is not older than grace. An older one is discarded, because other VMs may have owned
// the key since.
func (e *entry) consumeRelease(now model.Time, grace time.Duration) bool {
	k := e.release
	e.release = nil
	if k == nil || now.Sub(e.releaseReceivedAt) > grace {
		return false
	}
	e.clean = true
	e.servers = k.Servers
	for _, r := range k.Running {
		left := r.Left - now.Sub(e.releaseReceivedAt)
		if left > 0 {
			e.running = append(e.running, model.RunningAttempt{Server: r.Server, Until: now.Add(left)})
		}
	}
	for _, s := range k.Submits {
		e.submits = append(e.submits, model.SeenSubmit{
			Dedupe: s.Dedupe,
			Seen:   e.releaseReceivedAt.Add(-s.Age),
			NotRun: s.NotRun,
		})
	}
	return true
}
