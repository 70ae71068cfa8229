package ownership_test

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/core/membership"
	"github.com/gooseberrylock/gooseberrylock/core/ownership"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	settle       = 6 * time.Second // first roster, start delays and extra wait
	maxTakeover  = 2 * time.Second
	chaosLasting = 60 * time.Second
)

// More seeds than by default are for measurements.
var (
	seeds  = flag.Int("seeds", 24, "number of seeds of each simulation")
	worker = flag.Int("workers", 4, "number of simulations that run at once")
)

// eachSeed runs a simulation per seed, several at once.
func eachSeed(run func(seed uint64)) {
	var wg sync.WaitGroup
	next := make(chan uint64)
	for range *worker {
		wg.Go(func() {
			for seed := range next {
				run(seed)
			}
		})
	}
	for seed := range uint64(*seeds) {
		next <- seed
	}
	close(next)
	wg.Wait()
}

// Guards against two owners of one key at the same true time, and against keys that stay
// without an owner after the faults are over.
func TestNoTwoOwners(t *testing.T) {
	var mu sync.Mutex
	var overlaps, tenures, revisions, bad, stuck int
	eachSeed(func(seed uint64) {
		s := newSim(seed)
		s.runUntil(settle)
		for s.now < chaosLasting {
			s.chaos()
			s.runUntil(s.now + s.between(0, 1500*time.Millisecond))
		}
		s.heal()
		s.runUntil(s.now + 25*time.Second) // ends the longest faults and brings back the last VMs
		s.heal()
		s.runUntil(s.now + settle)
		mu.Lock()
		defer mu.Unlock()
		for _, h := range s.history {
			tenures += len(h)
		}
		revisions += s.revised
		overlaps += len(s.overlap)
		if n := len(s.unowned()); n > 0 {
			stuck++
			t.Errorf("seed %d: %d keys without an owner after the faults", seed, n)
		}
		if len(s.overlap) > 0 {
			bad++
			t.Errorf("seed %d: %d overlaps, first: %s", seed, len(s.overlap), s.overlap[0])
		}
	})
	t.Logf("%d seeds: %d with overlaps, %d overlaps, %d stuck, %d tenures, %d roster revisions",
		*seeds, bad, overlaps, stuck, tenures, revisions)
}

// Guards against takeovers that are slow in calm periods, and measures them.
func TestCrashTakeover(t *testing.T) {
	is := is.New(t)
	var gaps []time.Duration
	for seed := range uint64(*seeds) {
		s := newSim(seed)
		s.runUntil(settle + s.between(0, time.Second))
		is.Equal(len(s.unowned()), 0) // every key has an owner before the crash
		victim := s.procs[vmName(s.rng.IntN(simVMs))]
		lost := s.ownedBy(victim)
		crash := s.now
		victim.kill()
		s.runUntil(crash + maxTakeover)
		is.Equal(len(s.unowned()), 0) // takeover within 2 s
		for _, k := range lost {
			gap, next := s.gapAfter(k, crash)
			is.True(!next.clean) // nobody released the key
			gaps = append(gaps, gap)
		}
		is.Equal(s.overlap, nil)
	}
	report(t, "takeover after a crash", gaps)
}

// Guards against a graceful leave that leaves keys without an owner for longer than the
// drain and the message take, and against lost Release contents.
func TestGracefulLeave(t *testing.T) {
	is := is.New(t)
	var gaps []time.Duration
	for seed := range uint64(*seeds) {
		s := newSim(seed)
		s.runUntil(settle + s.between(0, time.Second))
		leaver := s.procs[vmName(s.rng.IntN(simVMs))]
		keys := s.ownedBy(leaver)
		leaver.leave()
		s.runUntil(s.now + maxTakeover)
		is.True(leaver.dead) // it abstained
		for _, k := range keys {
			mine := slices.IndexFunc(s.history[k], func(x *tenure) bool { return x.vm == leaver.vm })
			gap, next := s.gapAfter(k, s.history[k][mine].end)
			is.True(next != nil && next.clean)
			is.True(gap <= calmDelay) // the tenure ended with the drain
			gaps = append(gaps, gap)
		}
		is.Equal(len(s.unowned()), 0)
		is.Equal(s.overlap, nil)
	}
	report(t, "gap of a graceful leave", gaps)
}

// Guards against a long gap when a better-ranked VM returns and gets its keys back.
func TestReturnOfBetterVM(t *testing.T) {
	is := is.New(t)
	var gaps []time.Duration
	clean := 0
	for seed := range uint64(*seeds) {
		s := newSim(seed)
		s.runUntil(settle)
		vm := vmName(s.rng.IntN(simVMs))
		keys := s.ownedBy(s.procs[vm])
		s.procs[vm].kill()
		s.runUntil(s.now + 3*time.Second)
		s.start(vm)
		s.runUntil(s.now + 4*time.Second)
		for _, k := range keys {
			h := s.history[k]
			last := h[len(h)-1]
			is.Equal(last.vm, vm)
			gaps = append(gaps, last.start-h[len(h)-2].end)
			if last.clean {
				clean++
			}
		}
		is.Equal(s.overlap, nil)
	}
	is.True(slices.Max(gaps) < 500*time.Millisecond)
	is.Equal(clean, len(gaps)) // every hand-over came by Release
	report(t, "gap when a better VM returns", gaps)
}

// Guards against leases that outlive a lost majority: a frozen VM must not extend its own.
func TestFrozenOwner(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(*seeds) {
		s := newSim(seed)
		s.runUntil(settle)
		p := s.procs[vmName(s.rng.IntN(simVMs))]
		keys := s.ownedBy(p)
		s.runUntil(s.now + s.between(0, simTick))
		freeze := s.now
		p.freeze(s.between(600*time.Millisecond, 15*time.Second))
		s.runUntil(freeze + maxTakeover)
		for _, k := range keys {
			mine := slices.IndexFunc(s.history[k], func(x *tenure) bool { return x.vm == p.vm })
			is.True(s.history[k][mine].end <= freeze+510*time.Millisecond)
		}
		s.runUntil(s.now + 25*time.Second)
		is.Equal(s.overlap, nil)
		is.Equal(len(s.unowned()), 0)
	}
}

func (s *sim) ownedBy(p *process) []model.ShardKey {
	var keys []model.ShardKey
	for _, k := range s.keys {
		if o := s.owner(k.Key); o != nil && o.vm == p.vm {
			keys = append(keys, k.Key)
		}
	}
	return keys
}

func report(t *testing.T, what string, d []time.Duration) {
	t.Helper()
	if len(d) == 0 {
		t.Fatalf("%s: nothing measured", what)
	}
	slices.Sort(d)
	t.Logf("%s: n %d, median %v, max %v", what, len(d), d[len(d)/2], d[len(d)-1])
}

// BenchmarkHeartbeatAndUpdate is the cost of one heartbeat at 9 VMs and 50 keys per VM.
func BenchmarkHeartbeatAndUpdate(b *testing.B) {
	const vms, keysPerVM = 9, 50
	cfg := membership.Config{
		Self: vmName(0), Boot: 1, Zone: "z0",
		HeartbeatInterval: 100 * time.Millisecond, Fence: 500 * time.Millisecond, Grace: 1200 * time.Millisecond,
	}
	tr := membership.New(cfg, 0)
	h := ownership.New(tr)
	roster := &model.Roster{Revision: 1}
	for i := range vms {
		roster.VMs = append(roster.VMs, vmName(i))
	}
	tr.SetRoster(roster, 0)
	var keys []ownership.Key
	for i := range vms * keysPerVM {
		k := model.ShardKey{Route: model.Route{Customer: "c", Route: "r"}, Version: "v", Shard: model.ShardID(fmt.Sprint(i))}
		keys = append(keys, ownership.Key{Key: k, Zones: []model.AvailabilityZone{"z1", "z2"}})
	}
	h.SetKeys(keys, 0)
	var out effect.List
	now := model.Time(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Millisecond / (vms - 1))
		hb := event.Heartbeat{From: vmName(1 + i%(vms-1)), Boot: 2, Zone: "z1", Sequence: uint64(i + 1), SentAt: now, Roster: 1}
		for j := range vms {
			hb.Supports = append(hb.Supports, event.Support{VM: vmName(j), Boot: model.Boot(min(2, j+1)), SentAt: now})
		}
		tr.Heartbeat(&hb, now)
		h.Update(now, &out)
		out.Take()
	}
	if n := len(h.Leases(now)); n == 0 && b.N > 1000 {
		b.Fatal("no lease was gained")
	}
}
