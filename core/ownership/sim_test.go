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

// trueTime is the time of the simulation, which no simulated VM can see.
type trueTime = time.Duration

const (
	simVMs     = 7
	simKeys    = 16
	simTick    = 50 * time.Millisecond
	simTimeout = 400 * time.Millisecond // attempt timeout of every key
	maxDrain   = 10 * time.Millisecond
	calmDelay  = 2 * time.Millisecond // longest message delay without faults
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

// tenure is one stretch of leases of one process for one key, in true time.
type tenure struct {
	vm         model.VM
	term       uint64
	start, end trueTime
	clean      bool
}

// process is one start of a daemon on a VM.
type process struct {
	sim     *sim
	vm      model.VM
	started trueTime
	rate    float64 // seconds of the VM's clock per true second
	boot    model.Boot
	tracker *membership.Tracker
	holder  *ownership.Holder
	applied uint64 // revision of the keys in use
	dead    bool
	leaving bool
	away    bool // its zone is out
	writing bool
	frozen  trueTime // events are held back until then
	backlog []func()
}

// sim runs trackers and holders against a fake store, a lagging list and a faulty network.
type sim struct {
	rng     *rand.Rand
	now     trueTime
	seq     int
	tasks   taskHeap
	keys    []ownership.Key
	version uint64 // revision of keys
	procs   map[model.VM]*process
	rates   map[model.VM]float64
	roster  *model.Roster
	storeUp bool
	cut     map[[2]model.VM]bool
	loss    float64 // also the share of duplicated and of very late messages
	current map[model.ShardKey]map[model.VM]*tenure
	history map[model.ShardKey][]*tenure
	overlap []string // one entry per pair of tenures
	pairs   map[[2]*tenure]bool
	revised int
}

func vmName(i int) model.VM { return model.VM(fmt.Sprintf("vm%d", i)) }

func zoneOf(vm model.VM) model.AvailabilityZone {
	return model.AvailabilityZone("z" + string(vm[2:]))[:2]
}

func newSim(seed uint64) *sim {
	s := &sim{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		procs:   make(map[model.VM]*process),
		rates:   make(map[model.VM]float64),
		storeUp: true,
		cut:     make(map[[2]model.VM]bool),
		current: make(map[model.ShardKey]map[model.VM]*tenure),
		history: make(map[model.ShardKey][]*tenure),
		pairs:   make(map[[2]*tenure]bool),
	}
	for i := range simKeys {
		k := model.ShardKey{
			Route:   model.Route{Customer: "c", Route: "r"},
			Version: "v1",
			Shard:   model.ShardID(fmt.Sprint(i)),
		}
		zones := []model.AvailabilityZone{zoneOf(vmName(i % 4)), zoneOf(vmName((i + 1) % 4))}
		s.keys = append(s.keys, ownership.Key{Key: k, Zones: zones, AttemptTimeout: simTimeout})
		s.current[k] = make(map[model.VM]*tenure)
	}
	for i := range simVMs {
		s.rates[vmName(i)] = 0.99 + 0.02*s.rng.Float64()
		s.start(vmName(i))
	}
	s.list()
	return s
}

func (s *sim) after(d time.Duration, run func()) {
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

func (s *sim) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rng.Int64N(int64(hi-lo)+1))
}

func (s *sim) start(vm model.VM) {
	p := &process{sim: s, vm: vm, started: s.now, rate: s.rates[vm], boot: model.Boot(s.rng.Uint64() | 1)}
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
	p.setKeys(s.version, s.keys, 0)
	s.procs[vm] = p
	s.after(s.between(0, simTick), func() { p.tick() })
	p.readStore()
}

// list delivers the platform's list, which lags by up to a second.
func (s *sim) list() {
	var vms []event.ListedVM
	for i := range simVMs {
		p, ok := s.procs[vmName(i)]
		if ok && !(p.dead && p.leaving) {
			vms = append(vms, event.ListedVM{VM: p.vm, Zone: zoneOf(p.vm), Address: string(p.vm), Leaving: p.leaving})
		}
	}
	for i := range simVMs {
		p := s.procs[vmName(i)]
		s.after(s.between(0, time.Second), func() {
			p.handle(func(now model.Time, _ *effect.List) { p.tracker.Listed(vms, now) })
		})
	}
	s.after(500*time.Millisecond, s.list)
}

// local converts true time to the clock of the process, and toTrue back.
func (p *process) local() model.Time {
	return model.Time(float64(p.sim.now-p.started) * p.rate)
}

func (p *process) toTrue(t model.Time) trueTime {
	return p.started + trueTime(float64(t)/p.rate)
}

// handle applies one event as core does, or holds it back while the VM is frozen.
func (p *process) handle(apply func(now model.Time, out *effect.List)) {
	if p.dead {
		return
	}
	if p.sim.now < p.frozen {
		p.backlog = append(p.backlog, func() { p.handle(apply) })
		return
	}
	var out effect.List
	now := p.local()
	apply(now, &out)
	p.holder.Update(now, &out)
	for _, e := range out.Take() {
		p.execute(e)
	}
	p.sim.record(p, now)
	if p.leaving && p.holder.Abstained() {
		p.sim.after(300*time.Millisecond, p.kill)
	}
}

func (p *process) tick() {
	if p.dead {
		return
	}
	p.handle(func(now model.Time, out *effect.List) {
		p.propose(now)
		if !p.tracker.Due(now) {
			return
		}
		hb := p.tracker.Compose(now)
		hb.Revision = p.applied
		p.holder.Fill(&hb)
		for _, to := range p.tracker.Targets(now) {
			out.Add(effect.SendHeartbeat{To: to.VM, Heartbeat: hb})
		}
	})
	p.sim.after(time.Duration(float64(simTick)/p.rate), p.tick)
}

func (p *process) execute(e effect.Effect) {
	s := p.sim
	switch e := e.(type) {
	case effect.SendHeartbeat:
		s.send(p.vm, e.To, func(q *process) {
			q.handle(func(now model.Time, _ *effect.List) { q.tracker.Heartbeat(&e.Heartbeat, now) })
			if r := q.tracker.Roster(); r == nil || r.Revision < e.Heartbeat.Roster {
				q.pull(p)
			}
		})
	case effect.SendRelease:
		s.send(p.vm, e.To, func(q *process) {
			q.handle(func(now model.Time, out *effect.List) { q.holder.Released(&e.Release, now, out) })
		})
	case effect.DrainKey:
		s.after(s.between(time.Millisecond, maxDrain), func() {
			p.handle(func(now model.Time, out *effect.List) {
				s.close(e.Key, p, e.Term)
				p.holder.Drained(event.KeyDrained{Key: e.Key, Term: e.Term}, now, out)
			})
		})
	}
}

// send delivers a message with the faults of the moment.
func (s *sim) send(from, to model.VM, deliver func(q *process)) {
	n := 1
	if s.rng.Float64() < s.loss {
		n = s.rng.IntN(3)
	}
	for range n {
		d := s.between(300*time.Microsecond, calmDelay)
		if s.rng.Float64() < s.loss {
			d = s.between(0, 2*time.Second)
		}
		s.after(d, func() {
			if q, ok := s.procs[to]; ok && !s.cut[[2]model.VM{from, to}] {
				deliver(q)
			}
		})
	}
}

// pull copies the roster of a peer that is ahead. A process reads its first roster from the
// store.
func (p *process) pull(from *process) {
	r := from.tracker.Roster()
	if p.tracker.Roster() == nil || from.dead {
		return
	}
	p.sim.after(calmDelay, func() {
		p.handle(func(now model.Time, _ *effect.List) { p.tracker.SetRoster(r, now) })
	})
}

func (p *process) readStore() {
	p.sim.after(p.sim.between(time.Millisecond, 20*time.Millisecond), func() {
		if p.sim.storeUp {
			r := p.sim.roster
			p.handle(func(now model.Time, _ *effect.List) { p.tracker.SetRoster(r, now) })
		}
		if p.tracker.Roster() == nil && !p.dead {
			p.sim.after(200*time.Millisecond, p.readStore)
		}
	})
}

// propose writes the next roster by conditional update; the answer may be lost.
func (p *process) propose(now model.Time) {
	s := p.sim
	next, ok := p.tracker.NextRoster(now)
	if !ok || p.writing || !s.storeUp {
		return
	}
	p.writing = true
	s.after(s.between(time.Millisecond, 20*time.Millisecond), func() {
		if s.storeUp && (s.roster == nil && next.Revision == 1 || s.roster != nil && next.Revision == s.roster.Revision+1) {
			s.roster = next
			s.revised++
		}
		if s.rng.Float64() < s.loss {
			s.after(2*time.Second, func() { p.writing = false })
			return
		}
		p.writing = false
		p.readStore()
	})
}

func (p *process) kill() {
	if p.dead {
		return
	}
	p.dead = true
	for _, k := range p.sim.keys {
		p.sim.close(k.Key, p, 0)
	}
}

func (p *process) freeze(d time.Duration) {
	if p.dead || p.sim.now < p.frozen {
		return
	}
	p.frozen = p.sim.now + d
	p.sim.after(d, func() {
		held := p.backlog
		p.backlog = nil
		for _, run := range held {
			run()
		}
	})
}

func (p *process) setKeys(version uint64, keys []ownership.Key, now model.Time) {
	if version >= p.applied {
		p.applied = version
		p.holder.SetKeys(keys, now)
	}
}

// rezone moves the replicas of a key; in half of the cases the operator soon takes the
// change back.
func (s *sim) rezone() {
	i := s.rng.IntN(simKeys)
	former := s.keys[i].Zones
	s.setZones(i, []model.AvailabilityZone{zoneOf(vmName(s.rng.IntN(simVMs)))})
	if s.rng.IntN(2) == 0 {
		s.after(s.between(0, time.Second), func() { s.setZones(i, former) })
	}
}

// setZones changes the zones of a key; each process hears of it at another time.
func (s *sim) setZones(i int, zones []model.AvailabilityZone) {
	s.keys = slices.Clone(s.keys)
	s.version++
	s.keys[i].Zones = zones
	s.keys[i].Revision = s.version
	version, keys := s.version, s.keys
	for _, p := range s.live() {
		s.after(s.between(0, 3*time.Second), func() {
			p.handle(func(now model.Time, _ *effect.List) { p.setKeys(version, keys, now) })
		})
	}
}

// goAway takes the zone of a VM out for a while, after which it rejoins with a new boot.
func (p *process) goAway(d time.Duration) {
	if p.away || p.leaving || p.dead {
		return
	}
	p.away = true
	p.handle(func(now model.Time, out *effect.List) { p.holder.SetLeaving(true, now, out) })
	boot := model.Boot(p.sim.rng.Uint64() | 1)
	p.sim.after(d, func() {
		p.away = false
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

// record notes the leases of a process and every overlap with those of others.
func (s *sim) record(p *process, now model.Time) {
	leases := p.holder.Leases(now)
	for _, k := range s.keys {
		l, ok := leases[k.Key]
		if !ok {
			continue
		}
		t := s.current[k.Key][p.vm]
		if t == nil || t.term != l.Term || t.end <= s.now {
			t = &tenure{vm: p.vm, term: l.Term, start: s.now, clean: l.Clean}
			s.current[k.Key][p.vm] = t
			s.history[k.Key] = append(s.history[k.Key], t)
		}
		t.end = max(t.end, p.toTrue(l.Until))
		s.check(k.Key, t)
	}
}

func (s *sim) check(k model.ShardKey, t *tenure) {
	for vm, o := range s.current[k] {
		if vm != t.vm && o.end > s.now && !s.pairs[[2]*tenure{o, t}] {
			s.pairs[[2]*tenure{o, t}] = true
			s.pairs[[2]*tenure{t, o}] = true
			s.overlap = append(s.overlap, fmt.Sprintf("%v: %s held by %s until %v and by %s", s.now, k, vm, o.end, t.vm))
		}
	}
}

// close ends a tenure early: traffic has stopped, or the process is dead. Term 0 stands for
// every term.
func (s *sim) close(k model.ShardKey, p *process, term uint64) {
	t := s.current[k][p.vm]
	if t != nil && (term == 0 || t.term == term) && t.start >= p.started {
		t.end = min(t.end, s.now)
	}
}

// owner returns who holds a lease of the key now.
func (s *sim) owner(k model.ShardKey) *tenure {
	for _, t := range s.current[k] {
		if t.end > s.now && !s.procs[t.vm].dead {
			return t
		}
	}
	return nil
}

func (s *sim) live() []*process {
	var live []*process
	for i := range simVMs {
		if p := s.procs[vmName(i)]; !p.dead {
			live = append(live, p)
		}
	}
	return live
}

// chaos injects one fault and ends it later.
func (s *sim) chaos() {
	vm := vmName(s.rng.IntN(simVMs))
	p := s.procs[vm]
	lasting := s.between(200*time.Millisecond, 4*time.Second)
	if s.rng.IntN(6) == 0 {
		lasting = s.between(10*time.Second, 16*time.Second)
	}
	switch s.rng.IntN(9) {
	case 0:
		p.freeze(lasting)
	case 1, 2:
		if !p.leaving {
			p.kill()
			s.after(lasting/2, func() { s.restart(vm) })
		}
	case 3:
		p.leave()
		s.after(lasting+time.Second, func() { s.restart(vm) })
	case 4:
		s.cutOff(lasting, s.rng.IntN(2) == 0)
	case 5:
		s.loss = s.rng.Float64() * 0.3
		s.after(lasting, func() { s.loss = 0 })
	case 6:
		s.storeUp = false
		s.after(lasting, func() { s.storeUp = true })
	case 7:
		s.rezone()
	case 8:
		p.goAway(lasting)
	}
}

func (s *sim) restart(vm model.VM) {
	if s.procs[vm].dead {
		s.start(vm)
	}
}

// cutOff cuts a random part of the VMs off the others, or single directed links.
func (s *sim) cutOff(lasting time.Duration, part bool) {
	side := s.rng.Uint64()
	for i := range simVMs {
		for j := range simVMs {
			link := [2]model.VM{vmName(i), vmName(j)}
			crosses := side>>i&1 != side>>j&1
			if !part {
				crosses = s.rng.IntN(3) == 0
			}
			if crosses {
				s.cut[link] = true
				s.after(lasting, func() { delete(s.cut, link) })
			}
		}
	}
}

// heal ends every fault and restarts what is down.
func (s *sim) heal() {
	clear(s.cut)
	s.loss = 0
	s.storeUp = true
	for i := range simVMs {
		s.restart(vmName(i))
	}
}

// unowned returns the keys without an owner now.
func (s *sim) unowned() []model.ShardKey {
	var keys []model.ShardKey
	for _, k := range s.keys {
		if s.owner(k.Key) == nil {
			keys = append(keys, k.Key)
		}
	}
	return keys
}

// gapAfter returns how long the key had no owner from a time at which a tenure ended.
func (s *sim) gapAfter(k model.ShardKey, end trueTime) (time.Duration, *tenure) {
	i := slices.IndexFunc(s.history[k], func(t *tenure) bool { return t.start >= end })
	if i < 0 {
		return s.now - end, nil
	}
	return s.history[k][i].start - end, s.history[k][i]
}
