package ownership

import (
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// maxCandidates is the number of bits of a candidate set. Rosters hold at most 9 VMs, and a
// transition adds one.
const maxCandidates = 64

func (s candidateSet) has(i int) bool { return s&(1<<i) != 0 }

// moved returns the set with the indexes that its VMs have in another list.
func (s candidateSet) moved(from, to []model.VM) candidateSet {
	var set candidateSet
	for i, vm := range from {
		if j := slices.Index(to, vm); j >= 0 && s.has(i) {
			set |= 1 << j
		}
	}
	return set
}

// state is the state of one key on this VM.
type state uint8

const (
	idle     state = iota // not owned
	waiting               // the conditions hold, attempts of the previous owner may run
	held                  // leased
	draining              // leased, not renewed; traffic was asked to stop
)

// entry is one key with its lease.
type entry struct {
	Key     Key
	ranking ranking
	// Others that are known to have used the present zones, and others that may rank
	// themselves above this VM by other zones.
	confirmed, conflicts candidateSet
	cleared              model.Time // when a conflict last ended

	state state
	until model.Time
	ready model.Time // end of waiting
	term  uint64

	clean   bool
	running []model.RunningAttempt
	submits []model.SeenSubmit
	servers []model.ServerState

	// A release that arrived before the conditions held.
	released   *event.ReleasedKey
	releasedAt model.Time
	exempt     map[model.VM]*exemption // better-ranked VMs that have released the key
}

// exemption names a boot that has released the key. It is final once that boot is known to
// be leaving, since it then will not claim the key again.
type exemption struct {
	boot  model.Boot
	at    model.Time
	final bool
}

func newEntry(k Key) *entry { return &entry{Key: k} }

// replace adopts the present definition of the key. Its revision stays the one at which the
// zones last changed.
func (e *entry) replace(k Key) {
	if slices.Equal(k.Zones, e.Key.Zones) {
		k.Revision = e.Key.Revision
		e.Key = k
		return
	}
	e.confirmed = 0
	e.Key = k
}

// confirm notes whether a candidate is known to have used the present zones, or zones that
// it adopted after them.
func (e *entry) confirm(i int, applied, own uint64) {
	if applied < e.Key.Revision {
		e.confirmed &^= 1 << i
	} else if applied <= own {
		e.confirmed |= 1 << i
	}
}

// drop ends the lease.
func (e *entry) drop() {
	e.state = idle
	e.clean = false
	e.running = nil
	e.submits = nil
	e.servers = nil
	e.exempt = nil
}

func (e *entry) leased(now model.Time) bool {
	return (e.state == held || e.state == draining) && now < e.until
}

func (e *entry) lease() model.Lease {
	return model.Lease{
		Until:   e.until,
		Term:    e.term,
		Clean:   e.clean,
		Running: e.running,
		Submits: e.submits,
		Servers: e.servers,
	}
}

func (e *entry) exempts(vm model.VM, boot model.Boot, now model.Time) {
	if e.exempt == nil {
		e.exempt = make(map[model.VM]*exemption)
	}
	e.exempt[vm] = &exemption{boot: boot, at: now}
}

// received notes a release. It ends the wait after a takeover; a key that is leased already
// is not changed by it.
func (e *entry) received(k *event.ReleasedKey, now model.Time, grace time.Duration) {
	if e.state == held || e.state == draining {
		return
	}
	e.released = k
	e.releasedAt = now
	if e.state == waiting && e.handedOver(now, grace) {
		e.ready = now
	}
}

// handedOver uses up a release and reports whether there was a recent one. An old one says
// nothing of owners since then.
func (e *entry) handedOver(now model.Time, grace time.Duration) bool {
	k := e.released
	e.released = nil
	if k == nil || now.Sub(e.releasedAt) > grace {
		return false
	}
	e.clean = true
	e.servers = k.Servers
	for _, r := range k.Running {
		left := r.Left - now.Sub(e.releasedAt)
		if left > 0 {
			e.running = append(e.running, model.RunningAttempt{Server: r.Server, Until: now.Add(left)})
		}
	}
	for _, s := range k.Submits {
		e.submits = append(e.submits, model.SeenSubmit{
			Dedupe: s.Dedupe,
			Seen:   e.releasedAt.Add(-s.Age),
			NotRun: s.NotRun,
		})
	}
	return true
}
