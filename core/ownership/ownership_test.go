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
	settleTime  = 6 * time.Second // time for the first roster, start delays and extra wait
	maxTakeover = 2 * time.Second
	faultsEnd   = 60 * time.Second // no further fault is injected after this time
)

var (
	seeds   = flag.Int("seeds", 24, "number of seeds of each simulation")
	workers = flag.Int("workers", 4, "number of simulations that run at once")
)

// eachSeed runs one simulation per seed, several in parallel.
func eachSeed(run func(seed uint64)) {
	var wg sync.WaitGroup
	next := make(chan uint64)
	for range *workers {
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

// TestNoTwoOwners guards against two owners of one key at the same true time, and against keys that
// stay without an owner after the faults have ended.
func TestNoTwoOwners(t *testing.T) {
	var mu sync.Mutex
	var overlaps, periods, revisions, withOverlaps, withoutOwner int
	eachSeed(func(seed uint64) {
		s := newSim(seed)
		s.runUntil(settleTime)
		for s.now < faultsEnd {
			s.injectFault()
			s.runUntil(s.now + s.randomDuration(0, 1500*time.Millisecond))
		}
		s.endFaults()
		s.runUntil(s.now + 25*time.Second) // ends the longest faults and scheduled restarts
		s.endFaults()
		s.runUntil(s.now + settleTime)
		mu.Lock()
		defer mu.Unlock()
		for _, h := range s.history {
			periods += len(h)
		}
		revisions += s.rosterWrites
		overlaps += len(s.overlaps)
		if n := len(s.keysWithoutOwner()); n > 0 {
			withoutOwner++
			t.Errorf("seed %d: %d keys without an owner after the faults", seed, n)
		}
		if len(s.overlaps) > 0 {
			withOverlaps++
			t.Errorf("seed %d: %d overlaps, first: %s", seed, len(s.overlaps), s.overlaps[0])
		}
	})
	t.Logf("%d seeds: %d with overlaps, %d overlaps, %d with keys without an owner, %d lease periods, %d roster revisions",
		*seeds, withOverlaps, overlaps, withoutOwner, periods, revisions)
}

// TestCrashTakeover guards against takeovers after a crash that take longer than maxTakeover while
// there are no other faults. It logs how long they take.
func TestCrashTakeover(t *testing.T) {
	is := is.New(t)
	var gaps []time.Duration
	for seed := range uint64(*seeds) {
		s := newSim(seed)
		s.runUntil(settleTime + s.randomDuration(0, time.Second))
		is.Equal(len(s.keysWithoutOwner()), 0) // every key has an owner before the crash
		victim := s.processes[vmName(s.rng.IntN(simVMs))]
		lost := s.keysOwnedBy(victim)
		crash := s.now
		victim.stop()
		s.runUntil(crash + maxTakeover)
		is.Equal(len(s.keysWithoutOwner()), 0) // takeover within 2 s
		for _, k := range lost {
			gap, next := s.gapAfter(k, crash)
			is.True(!next.clean) // nobody released the key
			gaps = append(gaps, gap)
		}
		is.Equal(s.overlaps, nil)
	}
	logDurations(t, "takeover after a crash", gaps)
}

// TestGracefulLeave guards against a graceful leave after which a key has no owner for longer than
// the delay of the release message, and against a next owner that gains the key without a release.
func TestGracefulLeave(t *testing.T) {
	is := is.New(t)
	var gaps []time.Duration
	for seed := range uint64(*seeds) {
		s := newSim(seed)
		s.runUntil(settleTime + s.randomDuration(0, time.Second))
		leaver := s.processes[vmName(s.rng.IntN(simVMs))]
		keys := s.keysOwnedBy(leaver)
		leaver.leave()
		s.runUntil(s.now + maxTakeover)
		is.True(leaver.stopped) // it has abstained
		for _, k := range keys {
			own := slices.IndexFunc(s.history[k], func(x *leasePeriod) bool { return x.vm == leaver.vm })
			gap, next := s.gapAfter(k, s.history[k][own].end)
			is.True(next != nil && next.clean)
			is.True(gap <= maxNormalDelay) // the lease period ended when the drain was done
			gaps = append(gaps, gap)
		}
		is.Equal(len(s.keysWithoutOwner()), 0)
		is.Equal(s.overlaps, nil)
	}
	logDurations(t, "gap of a graceful leave", gaps)
}

// TestReturnOfBetterVM guards against a long gap without an owner when a better-ranked VM returns
// and gets its keys back.
func TestReturnOfBetterVM(t *testing.T) {
	is := is.New(t)
	var gaps []time.Duration
	clean := 0
	for seed := range uint64(*seeds) {
		s := newSim(seed)
		s.runUntil(settleTime)
		vm := vmName(s.rng.IntN(simVMs))
		keys := s.keysOwnedBy(s.processes[vm])
		s.processes[vm].stop()
		s.runUntil(s.now + 3*time.Second)
		s.startProcess(vm)
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
		is.Equal(s.overlaps, nil)
	}
	is.True(slices.Max(gaps) < 500*time.Millisecond)
	is.Equal(clean, len(gaps)) // every handover came with a release
	logDurations(t, "gap when a better VM returns", gaps)
}

// TestFrozenOwner guards against a lease that outlives its majority: a frozen VM must not extend
// its own leases.
func TestFrozenOwner(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(*seeds) {
		s := newSim(seed)
		s.runUntil(settleTime)
		p := s.processes[vmName(s.rng.IntN(simVMs))]
		keys := s.keysOwnedBy(p)
		s.runUntil(s.now + s.randomDuration(0, simTick))
		freeze := s.now
		p.freeze(s.randomDuration(600*time.Millisecond, 15*time.Second))
		s.runUntil(freeze + maxTakeover)
		for _, k := range keys {
			own := slices.IndexFunc(s.history[k], func(x *leasePeriod) bool { return x.vm == p.vm })
			is.True(s.history[k][own].end <= freeze+510*time.Millisecond)
		}
		s.runUntil(s.now + 25*time.Second)
		is.Equal(s.overlaps, nil)
		is.Equal(len(s.keysWithoutOwner()), 0)
	}
}

func (s *sim) keysOwnedBy(p *process) []model.ShardKey {
	var keys []model.ShardKey
	for _, k := range s.keys {
		if o := s.currentPeriod(k.Key); o != nil && o.vm == p.vm {
			keys = append(keys, k.Key)
		}
	}
	return keys
}

func logDurations(t *testing.T, what string, d []time.Duration) {
	t.Helper()
	if len(d) == 0 {
		t.Fatalf("%s: no durations were recorded", what)
	}
	slices.Sort(d)
	t.Logf("%s: n %d, median %v, max %v", what, len(d), d[len(d)/2], d[len(d)-1])
}

// BenchmarkHeartbeatAndUpdate measures the cost of one heartbeat with 9 VMs and 50 keys per VM.
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
