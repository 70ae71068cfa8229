package config_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/automation"
	"github.com/gooseberrylock/gooseberrylock/core/config"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/core/zones"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	tickInterval      = 50 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	livePeriod        = 1200 * time.Millisecond
	writeTimeout      = 2 * time.Second
)

var wallStart = time.Date(2026, 5, 13, 6, 0, 0, 0, time.UTC)

// timer is a scheduled call; seq orders calls that are due at the same time.
type timer struct {
	at  model.Time
	seq int
	run func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// faults holds the probability of each fault.
type faults struct {
	heartbeatLost float64
	pullLost      float64
	replyLost     float64 // a write takes effect but the reply is lost
	lateEffect    float64 // the reply is lost and the write takes effect up to 3 s later
	slow          float64 // a read or write takes up to 3 s
}

var allFaults = faults{heartbeatLost: 0.2, pullLost: 0.1, replyLost: 0.15, lateEffect: 0.05, slow: 0.05}

// storeMode selects how the fake store handles calls.
type storeMode int

const (
	storeUp storeMode = iota
	storeRefuses
	storeHangs // reads are never answered, writes are not or have an unknown outcome
)

// simulation runs a group of caches with a fake store and lossy links in virtual time.
type simulation struct {
	rng             *rand.Rand
	now             model.Time
	seq             int
	queue           timers
	faults          faults
	daemons         []*daemon
	store           fakeStore
	replies         map[uint64]reply
	writtenVersions map[string]uint64 // versions of the writes that took effect, by content mark
	keyOfVersion    map[uint64]model.ObjectKey
	commands        []issuedCommand // in the order of their numbers, which start at 1
	violations      []string        // the first violated invariants
}

// issuedCommand identifies the process that received an operator's command.
type issuedCommand struct {
	daemon *daemon
	boot   model.Boot
}

type reply struct {
	effect.CommandResult
	override event.Override // set if the code is CommandOverride
}

type fakeStore struct {
	mode       storeMode
	revision   uint64
	objects    map[model.ObjectKey]model.Object
	calls      int
	maxWatches int // highest number of watches open at the same time
}

type daemon struct {
	sim              *simulation
	vm               model.VM
	boot             model.Boot
	running          bool
	started          model.Time
	cache            *config.Cache
	lastHeartbeat    map[model.VM]model.Time
	versions         map[model.ObjectKey]uint64
	watching         bool
	watchNumber      int // number of the open watch; results of earlier ones are dropped
	since            uint64
	partitionedUntil model.Time // no contact with peers before this time
	digest           uint64
}

func newSimulation(seed uint64, n int, f faults) *simulation {
	s := &simulation{
		rng:             rand.New(rand.NewPCG(seed, 7)),
		faults:          f,
		replies:         make(map[uint64]reply),
		writtenVersions: make(map[string]uint64),
		keyOfVersion:    make(map[uint64]model.ObjectKey),
		store:           fakeStore{objects: make(map[model.ObjectKey]model.Object)},
	}
	for i := range n {
		d := &daemon{sim: s, vm: model.VM(fmt.Sprintf("vm%02d", i))}
		s.daemons = append(s.daemons, d)
		d.start()
	}
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, timer{at: s.now.Add(d), seq: s.seq, run: run})
}

func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && s.queue[0].at <= end {
		t := heap.Pop(&s.queue).(timer)
		s.now = t.at
		t.run()
	}
	s.now = end
}

func (s *simulation) withProbability(p float64) bool { return s.rng.Float64() < p }

func (s *simulation) randomDuration(a, b time.Duration) time.Duration {
	return a + time.Duration(s.rng.Int64N(int64(b-a)+1))
}

func (s *simulation) wallTime() time.Time { return wallStart.Add(time.Duration(s.now)) }

func (s *simulation) violated(format string, args ...any) {
	if len(s.violations) < 5 {
		s.violations = append(s.violations, fmt.Sprintf("%v: ", time.Duration(s.now))+fmt.Sprintf(format, args...))
	}
}

// start starts a new process of the daemon, with an empty cache.
func (d *daemon) start() {
	d.boot++
	d.running = true
	d.started = d.sim.now
	d.cache = config.New(config.Config{Self: d.vm, Boot: d.boot, WriteTimeout: writeTimeout})
	d.lastHeartbeat = make(map[model.VM]model.Time)
	d.versions = make(map[model.ObjectKey]uint64)
	d.watching = false
	d.watchNumber++
	d.every(tickInterval, d.tick)
	d.every(heartbeatInterval, d.heartbeat)
}

func (d *daemon) stop() {
	d.running = false
	d.watching = false
	d.watchNumber++
}

// every runs f periodically until this process ends.
func (d *daemon) every(period time.Duration, f func()) {
	boot := d.boot
	var step func()
	step = func() {
		if d.running && d.boot == boot {
			f()
			d.sim.after(period, step)
		}
	}
	d.sim.after(d.sim.randomDuration(0, period), step)
}

// deliver runs f on the daemon after a delay, unless the process has ended by then.
func (d *daemon) deliver(delay time.Duration, f func(out *effect.List)) {
	boot := d.boot
	d.sim.after(delay, func() {
		if d.running && d.boot == boot {
			d.step(f)
		}
	})
}

// step passes one event to the cache, executes the effects, and checks that no object went
// back to a lower version.
func (d *daemon) step(f func(out *effect.List)) {
	var out effect.List
	f(&out)
	for _, e := range out.Take() {
		d.execute(e)
	}
	digest := d.cache.Digest()
	if digest == d.digest {
		return
	}
	d.digest = digest
	for _, kind := range []model.ObjectKind{model.ObjectZone, model.ObjectAutomation, model.ObjectTemplate} {
		for _, o := range d.cache.All(kind) {
			if o.Version < d.versions[o.Key] {
				d.sim.violated("%s went back from version %d to %d of %s", d.vm, d.versions[o.Key], o.Version, o.Key)
			}
			d.versions[o.Key] = o.Version
		}
	}
}

func (d *daemon) execute(e effect.Effect) {
	switch e := e.(type) {
	case effect.WatchStore:
		d.watching = true
		d.watchNumber++
		d.since = e.Since
		d.sim.store.maxWatches = max(d.sim.store.maxWatches, d.sim.openWatches())
		d.readWatch(d.watchNumber)
	case effect.StopWatch:
		d.watching = false
		d.watchNumber++
	case effect.ReadObject:
		d.readObject(e)
	case effect.WriteObject:
		d.writeObject(e)
	case effect.PullObjects:
		d.pull(e)
	case effect.ReplyOperator:
		d.recordReply(e)
	}
}

func (s *simulation) openWatches() int {
	n := 0
	for _, d := range s.daemons {
		if d.watching {
			n++
		}
	}
	return n
}

func (d *daemon) tick() {
	d.step(func(out *effect.List) { d.cache.Tick(d.liveVMs(), d.sim.now, out) })
}

func (d *daemon) liveVMs() []model.VM {
	live := []model.VM{d.vm}
	for vm, at := range d.lastHeartbeat {
		if d.sim.now.Sub(at) <= livePeriod {
			live = append(live, vm)
		}
	}
	slices.Sort(live)
	return live
}

func (d *daemon) partitioned() bool { return d.sim.now < d.partitionedUntil }

func (d *daemon) heartbeat() {
	hb := event.Heartbeat{From: d.vm, Boot: d.boot, Address: string(d.vm)}
	d.cache.Fill(&hb)
	for _, to := range d.sim.daemons {
		if to == d || !to.running || d.partitioned() || to.partitioned() || d.sim.withProbability(d.sim.faults.heartbeatLost) {
			continue
		}
		to.deliver(d.sim.randomDuration(time.Millisecond, 5*time.Millisecond), func(out *effect.List) {
			to.lastHeartbeat[hb.From] = d.sim.now
			to.cache.Heartbeat(&hb, d.sim.now, out)
		})
	}
}

func (d *daemon) pull(e effect.PullObjects) {
	i := slices.IndexFunc(d.sim.daemons, func(o *daemon) bool { return o.vm == e.Peer })
	from := d.sim.daemons[i]
	if !from.running || from.partitioned() || d.partitioned() || d.sim.withProbability(d.sim.faults.pullLost) {
		if d.sim.withProbability(0.5) { // otherwise the pull is never answered
			d.deliver(time.Millisecond, func(out *effect.List) {
				d.cache.PullFailed(event.PullFailed{Peer: e.Peer}, d.sim.now, out)
			})
		}
		return
	}
	from.deliver(d.sim.randomDuration(time.Millisecond, 5*time.Millisecond), func(*effect.List) {
		objects, revision := from.cache.ObjectsSince(e.Since)
		d.deliver(d.sim.randomDuration(time.Millisecond, 5*time.Millisecond), func(out *effect.List) {
			d.receive(event.ObjectsReceived{Peer: e.Peer, Revision: revision, Objects: objects}, out)
		})
	})
}

func (d *daemon) receive(ev event.ObjectsReceived, out *effect.List) {
	d.cache.Received(ev, d.sim.now, out)
}

func (d *daemon) storeFailed(op string) {
	d.deliver(2*time.Millisecond, func(out *effect.List) {
		d.cache.StoreFailed(event.StoreFailed{Op: op}, d.sim.now, out)
	})
}

// readWatch simulates the watch loop of the runtime: a read that waits for a change, repeated
// after each change and each failure.
func (d *daemon) readWatch(number int) {
	d.sim.store.calls++
	d.pollWatch(number)
}

func (d *daemon) pollWatch(number int) {
	s := d.sim
	if !d.running || number != d.watchNumber {
		return
	}
	again := func(delay time.Duration, f func(int)) { s.after(delay, func() { f(number) }) }
	switch {
	case s.store.mode == storeRefuses:
		d.storeFailed("watch")
		again(500*time.Millisecond, d.readWatch)
	case s.store.mode == storeUp && s.store.revision > d.since:
		ev := event.ObjectsReceived{FromStore: true, Revision: s.store.revision, Objects: s.store.newer(d.since)}
		d.since = ev.Revision
		d.deliver(s.randomDuration(time.Millisecond, 4*time.Millisecond), func(out *effect.List) { d.receive(ev, out) })
		again(5*time.Millisecond, d.readWatch)
	default:
		again(20*time.Millisecond, d.pollWatch)
	}
}

func (s *fakeStore) newer(since uint64) []model.Object {
	var list []model.Object
	for _, o := range s.objects {
		if o.Version > since {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b model.Object) int { return int(a.Version) - int(b.Version) })
	return list
}

// latency returns the duration of a store call.
func (s *simulation) latency() time.Duration {
	if s.withProbability(s.faults.slow) {
		return s.randomDuration(100*time.Millisecond, 3*time.Second)
	}
	return s.randomDuration(time.Millisecond, 5*time.Millisecond)
}

func (d *daemon) readObject(e effect.ReadObject) {
	s := d.sim
	s.store.calls++
	switch s.store.mode {
	case storeRefuses:
		d.storeFailed("read")
	case storeUp:
		s.after(s.latency(), func() {
			o, ok := s.store.objects[e.Key]
			if !ok {
				o = model.Object{Key: e.Key, Deleted: true}
			}
			d.deliver(time.Millisecond, func(out *effect.List) {
				d.receive(event.ObjectsReceived{FromStore: true, Objects: []model.Object{o}}, out)
			})
		})
	}
}

func (d *daemon) writeObject(e effect.WriteObject) {
	s := d.sim
	s.store.calls++
	done := func(delay time.Duration, ev event.WriteDone) {
		ev.Write = e.Write
		d.deliver(delay, func(out *effect.List) { d.cache.WriteDone(ev, s.now, out) })
	}
	lost := event.WriteDone{Outcome: event.WriteUnknown}
	switch {
	case s.store.mode == storeRefuses:
		done(time.Millisecond, event.WriteDone{Outcome: event.WriteFailed})
	case s.store.mode == storeHangs:
		if s.withProbability(0.5) { // otherwise the write is never answered
			done(s.randomDuration(100*time.Millisecond, 3*time.Second), lost)
		}
	case s.withProbability(s.faults.lateEffect):
		done(s.randomDuration(time.Millisecond, 100*time.Millisecond), lost)
		s.after(s.randomDuration(time.Millisecond, 3*time.Second), func() { s.put(e) })
	case s.withProbability(s.faults.replyLost):
		s.after(time.Millisecond, func() { s.put(e) })
		done(s.randomDuration(2*time.Millisecond, time.Second), lost)
	default:
		s.after(s.latency(), func() {
			ev := event.WriteDone{Outcome: event.WriteConflict}
			if s.put(e) {
				ev.Outcome = event.WriteOK
			}
			ev.Object = s.store.objects[e.Object.Key]
			done(time.Millisecond, ev)
		})
	}
}

// put applies a conditional write and reports whether it took effect.
func (s *simulation) put(e effect.WriteObject) bool {
	key := e.Object.Key
	if s.store.objects[key].Version != e.IfVersion {
		return false
	}
	o := e.Object
	s.store.revision += 1 + s.rng.Uint64N(2) // other users of the store write as well
	o.Version = s.store.revision
	s.store.objects[key] = o
	s.writtenVersions[contentMark(&o)] = o.Version
	s.keyOfVersion[o.Version] = key
	return true
}

// contentMark returns the text in the object's content that identifies the command which
// wrote it.
func contentMark(o *model.Object) string {
	switch {
	case o.Zone != nil:
		return o.Zone.Reason
	case o.Automation != nil:
		return o.Automation.Reason
	case o.Template != nil:
		return o.Template.Text
	}
	return ""
}

// nextCommand returns the number of a new command and the content mark for its object.
func (d *daemon) nextCommand() (uint64, string) {
	d.sim.commands = append(d.sim.commands, issuedCommand{daemon: d, boot: d.boot})
	id := uint64(len(d.sim.commands))
	return id, commandMark(id)
}

func commandMark(id uint64) string { return fmt.Sprintf("c%d", id) }

func (d *daemon) setZone(zone model.AvailabilityZone, out bool) uint64 {
	id, text := d.nextCommand()
	d.step(func(l *effect.List) {
		zones.Command(d.cache, id, string(d.vm), event.SetZone{Zone: zone, Out: out, Reason: text}, d.sim.wallTime(), d.sim.now, l)
	})
	return id
}

func (d *daemon) setPause(paused bool, until time.Time) uint64 {
	id, text := d.nextCommand()
	d.step(func(l *effect.List) {
		cmd := event.SetPause{Paused: paused, Until: until, Reason: text}
		automation.Command(d.cache, id, string(d.vm), cmd, d.sim.wallTime(), d.sim.now, l)
	})
	return id
}

func (d *daemon) apply(customer model.CustomerID) uint64 {
	id, text := d.nextCommand()
	key := model.ObjectKey{Kind: model.ObjectTemplate, Name: string(customer)}
	d.step(func(l *effect.List) {
		current, _ := d.cache.Get(key)
		obj := model.Object{Key: key, Template: &model.Template{Customer: customer, Text: text}}
		d.cache.Write(id, obj, current.Version, d.sim.now, l)
	})
	return id
}

// template returns the template of the i-th customer.
func template(i int) model.Object {
	customer := model.CustomerID(fmt.Sprintf("customer%04d", i))
	return model.Object{
		Key:      model.ObjectKey{Kind: model.ObjectTemplate, Name: string(customer)},
		Template: &model.Template{Customer: customer, Text: fmt.Sprintf("t%d", i)},
	}
}
