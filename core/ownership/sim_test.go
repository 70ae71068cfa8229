package ownership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/core/membership"
	"github.com/gooseberrylock/gooseberrylock/core/ownership"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// trueTime is the time of the simulation. The simulated VMs see only their own clocks, which drift.
type trueTime = time.Duration

const (
	simVMs            = 7
	simKeys           = 16
	simTick           = 50 * time.Millisecond
	simAttemptTimeout = 400 * time.Millisecond // AttemptTimeout of every key
	maxDrainTime      = 10 * time.Millisecond
	maxNormalDelay    = 2 * time.Millisecond // longest message delay without faults
)

type task struct {
	at  trueTime
	seq int
	run func()
}

type taskHeap []task

func (h taskHeap) Len() int { return len(h) }
func (h taskHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h taskHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *taskHeap) Push(x any)   { *h = append(*h, x.(task)) }
func (h *taskHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}

// leasePeriod is a period in which one process held the lease of one key, in true time.
type leasePeriod struct {
	vm         model.VM
	term       uint64
	start, end trueTime
	clean      bool
}

// process is one run of the daemon on a VM.
type process struct {
	sim           *sim
	vm            model.VM
	startedAt     trueTime
	clockRate     float64 // seconds of the VM's clock per true second
	boot          model.Boot
	tracker       *membership.Tracker
	holder        *ownership.Holder
	applied       uint64 // revision of the keys in use
	stopped       bool
	leaving       bool
	zoneOut       bool // an operator took its zone out
	writingRoster bool
	frozenUntil   trueTime // the process handles no events before this time
	queuedEvents  []func()
}

// sim runs the membership and ownership code of several VMs against a fake store, a delayed list
// of VMs and a network with faults.
type sim struct {
	rng           *rand.Rand
	now           trueTime
	seq           int
	tasks         taskHeap
	keys          []ownership.Key
	keysRevision  uint64 // revision of keys
	processes     map[model.VM]*process
	clockRates    map[model.VM]float64
	roster        *model.Roster
	storeUp       bool
	cutLinks      map[[2]model.VM]bool
	faultRate     float64 // probability that a message arrives 0 to 2 times, and that a copy is late
	current       map[model.ShardKey]map[model.VM]*leasePeriod
	history       map[model.ShardKey][]*leasePeriod
	overlaps      []string // one entry per pair of overlapping periods
	reportedPairs map[[2]*leasePeriod]bool
	rosterWrites  int
}

func vmName(i int) model.VM { return model.VM(fmt.Sprintf("vm%d", i)) }

func zoneOf(vm model.VM) model.AvailabilityZone {
	return model.AvailabilityZone("z" + string(vm[2:]))[:2]
}

func newSim(seed uint64) *sim {
	s := &sim{
		rng:           rand.New(rand.NewPCG(seed, 1)),
		processes:     make(map[model.VM]*process),
		clockRates:    make(map[model.VM]float64),
		storeUp:       true,
		cutLinks:      make(map[[2]model.VM]bool),
		current:       make(map[model.ShardKey]map[model.VM]*leasePeriod),
		history:       make(map[model.ShardKey][]*leasePeriod),
		reportedPairs: make(map[[2]*leasePeriod]bool),
	}
	for i := range simKeys {
		k := model.ShardKey{
			Route:   model.Route{Customer: "c", Route: "r"},
			Version: "v1",
			Shard:   model.ShardID(fmt.Sprint(i)),
		}
		zones := []model.AvailabilityZone{zoneOf(vmName(i % 4)), zoneOf(vmName((i + 1) % 4))}
		s.keys = append(s.keys, ownership.Key{Key: k, Zones: zones, AttemptTimeout: simAttemptTimeout})
		s.current[k] = make(map[model.VM]*leasePeriod)
	}
	for i := range simVMs {
		s.clockRates[vmName(i)] = 0.99 + 0.02*s.rng.Float64()
		s.startProcess(vmName(i))
	}
	s.deliverVMList()
	return s
}

func (s *sim) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.tasks, task{s.now + d, s.seq, run})
}

func (s *sim) runUntil(end trueTime) {
	for len(s.tasks) > 0 && s.tasks[0].at <= end {
		t := heap.Pop(&s.tasks).(task)
		s.now = t.at
		t.run()
	}
	s.now = end
}

func (s *sim) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rng.Int64N(int64(hi-lo)+1))
}

func (s *sim) startProcess(vm model.VM) {
	p := &process{sim: s, vm: vm, startedAt: s.now, clockRate: s.clockRates[vm], boot: model.Boot(s.rng.Uint64() | 1)}
	p.tracker = membership.New(membership.Config{
		Self:              vm,
		Boot:              p.boot,
		Group:             "g",
		Zone:              zoneOf(vm),
		Address:           string(vm),
		HeartbeatInterval: 100 * time.Millisecond,
		Fence:             500 * time.Millisecond,
		Grace:             1200 * time.Millisecond,
	}, 0)
	p.holder = ownership.New(p.tracker)
	p.setKeys(s.keysRevision, s.keys, 0)
	s.processes[vm] = p
	s.schedule(s.randomDuration(0, simTick), func() { p.tick() })
	p.readRoster()
}

// deliverVMList delivers the platform's list of VMs to each process with a delay of up to 1 s.
func (s *sim) deliverVMList() {
	var vms []event.ListedVM
	for i := range simVMs {
		p, ok := s.processes[vmName(i)]
		if ok && !(p.stopped && p.leaving) {
			vms = append(vms, event.ListedVM{VM: p.vm, Zone: zoneOf(p.vm), Address: string(p.vm), Leaving: p.leaving})
		}
	}
	for i := range simVMs {
		p := s.processes[vmName(i)]
		s.schedule(s.randomDuration(0, time.Second), func() {
			p.handle(func(now model.Time, _ *effect.List) { p.tracker.Listed(vms, now) })
		})
	}
	s.schedule(500*time.Millisecond, s.deliverVMList)
}

// localTime returns the current time by the clock of the process.
func (p *process) localTime() model.Time {
	return model.Time(float64(p.sim.now-p.startedAt) * p.clockRate)
}

// toTrue converts a time of the clock of the process to true time.
func (p *process) toTrue(t model.Time) trueTime {
	return p.startedAt + trueTime(float64(t)/p.clockRate)
}

// handle applies one event and runs the effects as package core does. While the process is frozen,
// the event is queued.
func (p *process) handle(apply func(now model.Time, out *effect.List)) {
	if p.stopped {
		return
	}
	if p.sim.now < p.frozenUntil {
		p.queuedEvents = append(p.queuedEvents, func() { p.handle(apply) })
		return
	}
	var out effect.List
	now := p.localTime()
	apply(now, &out)
	p.holder.Update(now, &out)
	for _, e := range out.Take() {
		p.execute(e)
	}
	p.sim.recordLeases(p, now)
	if p.leaving && p.holder.Abstained() {
		p.sim.schedule(300*time.Millisecond, p.stop)
	}
}

func (p *process) tick() {
	if p.stopped {
		return
	}
	p.handle(func(now model.Time, out *effect.List) {
		p.proposeRoster(now)
		if !p.tracker.HeartbeatDue(now) {
			return
		}
		hb := p.tracker.ComposeHeartbeat(now)
		hb.Revision = p.applied
		p.holder.FillHeartbeat(&hb)
		for _, to := range p.tracker.Targets(now) {
			out.Add(effect.SendHeartbeat{To: to.VM, Heartbeat: hb})
		}
	})
	p.sim.schedule(time.Duration(float64(simTick)/p.clockRate), p.tick)
}

func (p *process) execute(e effect.Effect) {
	s := p.sim
	switch e := e.(type) {
	case effect.SendHeartbeat:
		s.sendMessage(p.vm, e.To, func(q *process) {
			q.handle(func(now model.Time, _ *effect.List) { q.tracker.Heartbeat(&e.Heartbeat, now) })
			if r := q.tracker.Roster(); r == nil || r.Revision < e.Heartbeat.Roster {
				q.pullRoster(p)
			}
		})
	case effect.SendRelease:
		s.sendMessage(p.vm, e.To, func(q *process) {
			q.handle(func(now model.Time, out *effect.List) { q.holder.HandleRelease(&e.Release, now, out) })
		})
	case effect.DrainKey:
		s.schedule(s.randomDuration(time.Millisecond, maxDrainTime), func() {
			p.handle(func(now model.Time, out *effect.List) {
				s.endPeriod(e.Key, p, e.Term)
				p.holder.HandleDrained(event.KeyDrained{Key: e.Key, Term: e.Term}, now, out)
			})
		})
	}
}

// sendMessage delivers a message subject to the current faults: it may be lost, duplicated or late.
func (s *sim) sendMessage(from, to model.VM, deliver func(q *process)) {
	n := 1
	if s.rng.Float64() < s.faultRate {
		n = s.rng.IntN(3)
	}
	for range n {
		d := s.randomDuration(300*time.Microsecond, maxNormalDelay)
		if s.rng.Float64() < s.faultRate {
			d = s.randomDuration(0, 2*time.Second)
		}
		s.schedule(d, func() {
			if q, ok := s.processes[to]; ok && !s.cutLinks[[2]model.VM{from, to}] {
				deliver(q)
			}
		})
	}
}

// pullRoster copies the roster of a peer that has a newer one. A process without any roster does
// not copy it; it reads its first roster from the store.
func (p *process) pullRoster(from *process) {
	r := from.tracker.Roster()
	if p.tracker.Roster() == nil || from.stopped {
		return
	}
	p.sim.schedule(maxNormalDelay, func() {
		p.handle(func(now model.Time, _ *effect.List) { p.tracker.SetRoster(r, now) })
	})
}

func (p *process) readRoster() {
	p.sim.schedule(p.sim.randomDuration(time.Millisecond, 20*time.Millisecond), func() {
		if p.sim.storeUp {
			r := p.sim.roster
			p.handle(func(now model.Time, _ *effect.List) { p.tracker.SetRoster(r, now) })
		}
		if p.tracker.Roster() == nil && !p.stopped {
			p.sim.schedule(200*time.Millisecond, p.readRoster)
		}
	})
}

// proposeRoster writes the next roster by a conditional update; the reply may be lost.
func (p *process) proposeRoster(now model.Time) {
	s := p.sim
	next, ok := p.tracker.NextRoster(now)
	if !ok || p.writingRoster || !s.storeUp {
		return
	}
	p.writingRoster = true
	s.schedule(s.randomDuration(time.Millisecond, 20*time.Millisecond), func() {
		if s.storeUp && (s.roster == nil && next.Revision == 1 || s.roster != nil && next.Revision == s.roster.Revision+1) {
			s.roster = next
			s.rosterWrites++
		}
		if s.rng.Float64() < s.faultRate {
			s.schedule(2*time.Second, func() { p.writingRoster = false })
			return
		}
		p.writingRoster = false
		p.readRoster()
	})
}

func (p *process) stop() {
	if p.stopped {
		return
	}
	p.stopped = true
	for _, k := range p.sim.keys {
		p.sim.endPeriod(k.Key, p, 0)
	}
}

func (p *process) freeze(d time.Duration) {
	if p.stopped || p.sim.now < p.frozenUntil {
		return
	}
	p.frozenUntil = p.sim.now + d
	p.sim.schedule(d, func() {
		events := p.queuedEvents
		p.queuedEvents = nil
		for _, run := range events {
			run()
		}
	})
}

func (p *process) setKeys(revision uint64, keys []ownership.Key, now model.Time) {
	if revision >= p.applied {
		p.applied = revision
		p.holder.SetKeys(keys, now)
	}
}

// changeRandomZones changes the zones of a random key. In half of the cases it reverts the change
// within 1 s.
func (s *sim) changeRandomZones() {
	i := s.rng.IntN(simKeys)
	oldZones := s.keys[i].Zones
	s.setZones(i, []model.AvailabilityZone{zoneOf(vmName(s.rng.IntN(simVMs)))})
	if s.rng.IntN(2) == 0 {
		s.schedule(s.randomDuration(0, time.Second), func() { s.setZones(i, oldZones) })
	}
}

// setZones changes the zones of a key. Each process receives the change after its own random delay.
func (s *sim) setZones(i int, zones []model.AvailabilityZone) {
	s.keys = slices.Clone(s.keys)
	s.keysRevision++
	s.keys[i].Zones = zones
	s.keys[i].Revision = s.keysRevision
	revision, keys := s.keysRevision, s.keys
	for _, p := range s.runningProcesses() {
		s.schedule(s.randomDuration(0, 3*time.Second), func() {
			p.handle(func(now model.Time, _ *effect.List) { p.setKeys(revision, keys, now) })
		})
	}
}

// takeZoneOut makes a VM leave as it does when an operator takes its zone out. After d it rejoins
// with a new boot.
func (p *process) takeZoneOut(d time.Duration) {
	if p.zoneOut || p.leaving || p.stopped {
		return
	}
	p.zoneOut = true
	p.handle(func(now model.Time, out *effect.List) { p.holder.SetLeaving(true, now, out) })
	boot := model.Boot(p.sim.rng.Uint64() | 1)
	p.sim.schedule(d, func() {
		p.zoneOut = false
		p.handle(func(now model.Time, out *effect.List) {
			p.tracker.Rejoin(boot, now)
			p.holder.SetLeaving(p.leaving, now, out)
		})
	})
}

func (p *process) leave() {
	p.leaving = true
	p.handle(func(now model.Time, out *effect.List) { p.holder.SetLeaving(true, now, out) })
}

// recordLeases records the leases of a process and checks them for overlaps with those of others.
func (s *sim) recordLeases(p *process, now model.Time) {
	leases := p.holder.Leases(now)
	for _, k := range s.keys {
		l, ok := leases[k.Key]
		if !ok {
			continue
		}
		t := s.current[k.Key][p.vm]
		if t == nil || t.term != l.Term || t.end <= s.now {
			t = &leasePeriod{vm: p.vm, term: l.Term, start: s.now, clean: l.Clean}
			s.current[k.Key][p.vm] = t
			s.history[k.Key] = append(s.history[k.Key], t)
		}
		t.end = max(t.end, p.toTrue(l.Until))
		s.checkOverlaps(k.Key, t)
	}
}

func (s *sim) checkOverlaps(k model.ShardKey, t *leasePeriod) {
	for vm, o := range s.current[k] {
		if vm != t.vm && o.end > s.now && !s.reportedPairs[[2]*leasePeriod{o, t}] {
			s.reportedPairs[[2]*leasePeriod{o, t}] = true
			s.reportedPairs[[2]*leasePeriod{t, o}] = true
			s.overlaps = append(s.overlaps, fmt.Sprintf("%v: %s held by %s until %v and by %s", s.now, k, vm, o.end, t.vm))
		}
	}
}

// endPeriod ends a lease period early because traffic stopped dispatching or the process stopped.
// Term 0 matches every term.
func (s *sim) endPeriod(k model.ShardKey, p *process, term uint64) {
	t := s.current[k][p.vm]
	if t != nil && (term == 0 || t.term == term) && t.start >= p.startedAt {
		t.end = min(t.end, s.now)
	}
}

// currentPeriod returns the lease period of the current owner of the key, or nil if there is none.
func (s *sim) currentPeriod(k model.ShardKey) *leasePeriod {
	for _, t := range s.current[k] {
		if t.end > s.now && !s.processes[t.vm].stopped {
			return t
		}
	}
	return nil
}

func (s *sim) runningProcesses() []*process {
	var processes []*process
	for i := range simVMs {
		if p := s.processes[vmName(i)]; !p.stopped {
			processes = append(processes, p)
		}
	}
	return processes
}

// injectFault starts one random fault and schedules its end.
func (s *sim) injectFault() {
	vm := vmName(s.rng.IntN(simVMs))
	p := s.processes[vm]
	duration := s.randomDuration(200*time.Millisecond, 4*time.Second)
	if s.rng.IntN(6) == 0 {
		duration = s.randomDuration(10*time.Second, 16*time.Second)
	}
	switch s.rng.IntN(9) {
	case 0:
		p.freeze(duration)
	case 1, 2:
		if !p.leaving {
			p.stop()
			s.schedule(duration/2, func() { s.restart(vm) })
		}
	case 3:
		p.leave()
		s.schedule(duration+time.Second, func() { s.restart(vm) })
	case 4:
		s.cutRandomLinks(duration, s.rng.IntN(2) == 0)
	case 5:
		s.faultRate = s.rng.Float64() * 0.3
		s.schedule(duration, func() { s.faultRate = 0 })
	case 6:
		s.storeUp = false
		s.schedule(duration, func() { s.storeUp = true })
	case 7:
		s.changeRandomZones()
	case 8:
		p.takeZoneOut(duration)
	}
}

func (s *sim) restart(vm model.VM) {
	if s.processes[vm].stopped {
		s.startProcess(vm)
	}
}

// cutRandomLinks cuts the links between two random groups of VMs, or random directed links if
// partition is false.
func (s *sim) cutRandomLinks(duration time.Duration, partition bool) {
	side := s.rng.Uint64()
	for i := range simVMs {
		for j := range simVMs {
			link := [2]model.VM{vmName(i), vmName(j)}
			crosses := side>>i&1 != side>>j&1
			if !partition {
				crosses = s.rng.IntN(3) == 0
			}
			if crosses {
				s.cutLinks[link] = true
				s.schedule(duration, func() { delete(s.cutLinks, link) })
			}
		}
	}
}

// endFaults ends the network and store faults and restarts the stopped processes.
func (s *sim) endFaults() {
	clear(s.cutLinks)
	s.faultRate = 0
	s.storeUp = true
	for i := range simVMs {
		s.restart(vmName(i))
	}
}

// keysWithoutOwner returns the keys that have no owner now.
func (s *sim) keysWithoutOwner() []model.ShardKey {
	var keys []model.ShardKey
	for _, k := range s.keys {
		if s.currentPeriod(k.Key) == nil {
			keys = append(keys, k.Key)
		}
	}
	return keys
}

// gapAfter returns the time between end, when a lease period of the key ended, and the start of the
// next one, and that period. If there is none yet, the gap lasts until now and the period is nil.
func (s *sim) gapAfter(k model.ShardKey, end trueTime) (time.Duration, *leasePeriod) {
	i := slices.IndexFunc(s.history[k], func(t *leasePeriod) bool { return t.start >= end })
	if i < 0 {
		return s.now - end, nil
	}
	return s.history[k][i].start - end, s.history[k][i]
}
