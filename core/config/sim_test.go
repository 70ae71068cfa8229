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

// timer is one entry of the scheduler; seq keeps entries of one instant in order.
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

// faults sets how often things go wrong, each as a probability.
type faults struct {
	heartbeatLost float64
	pullLost      float64
	answerLost    float64 // a write takes effect but the answer is lost
	lateEffect    float64 // the answer is lost and the write takes effect seconds later
	slow          float64 // a write or read takes up to 3 s
}

var rough = faults{heartbeatLost: 0.2, pullLost: 0.1, answerLost: 0.15, lateEffect: 0.05, slow: 0.05}

// storeMode says how the fake store answers.
type storeMode int

const (
	storeUp storeMode = iota
	storeRefuses
	storeHangs // takes calls and never answers
)

// world is a group of caches with a fake store and lossy links in virtual time.
type world struct {
	rng     *rand.Rand
	now     model.Time
	seq     int
	queue   timers
	faults  faults
	daemons []*daemon
	store   fakeStore
	replies map[uint64]reply
	written map[string]uint64 // content mark of each write that took effect, with its version
	keys    map[uint64]model.ObjectKey
	issued  []issue  // by command number, from 1
	broken  []string // violated invariants
}

// issue is one command of an operator, with the process that took it.
type issue struct {
	by   *daemon
	boot model.Boot
}

type reply struct {
	effect.CommandResult
	override event.Override // for CommandOverride
}

type fakeStore struct {
	mode     storeMode
	revision uint64
	objects  map[model.ObjectKey]model.Object
	calls    int
	watches  int // most watches that were open at once since the last reset
}

type daemon struct {
	w        *world
	vm       model.VM
	boot     model.Boot
	alive    bool
	started  model.Time
	cache    *config.Cache
	heard    map[model.VM]model.Time
	seen     map[model.ObjectKey]uint64
	watching bool
	watch    int // number of the open watch; answers to older ones are dropped
	since    uint64
	cutUntil model.Time // no contact with peers before
	digest   uint64
}

func newWorld(seed uint64, n int, f faults) *world {
	w := &world{
		rng:     rand.New(rand.NewPCG(seed, 7)),
		faults:  f,
		replies: make(map[uint64]reply),
		written: make(map[string]uint64),
		keys:    make(map[uint64]model.ObjectKey),
		store:   fakeStore{objects: make(map[model.ObjectKey]model.Object)},
	}
	for i := range n {
		d := &daemon{w: w, vm: model.VM(fmt.Sprintf("vm%02d", i))}
		w.daemons = append(w.daemons, d)
		d.start()
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, timer{at: w.now.Add(d), seq: w.seq, run: run})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && w.queue[0].at <= end {
		t := heap.Pop(&w.queue).(timer)
		w.now = t.at
		t.run()
	}
	w.now = end
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rng.Int64N(int64(b-a)+1))
}

func (w *world) wall() time.Time { return wallStart.Add(time.Duration(w.now)) }

func (w *world) breaks(format string, args ...any) {
	if len(w.broken) < 5 {
		w.broken = append(w.broken, fmt.Sprintf("%v: ", time.Duration(w.now))+fmt.Sprintf(format, args...))
	}
}

// start begins a new process of the daemon, with an empty cache.
func (d *daemon) start() {
	d.boot++
	d.alive = true
	d.started = d.w.now
	d.cache = config.New(config.Config{Self: d.vm, Boot: d.boot, WriteTimeout: writeTimeout})
	d.heard = make(map[model.VM]model.Time)
	d.seen = make(map[model.ObjectKey]uint64)
	d.watching = false
	d.watch++
	d.every(tickInterval, d.tick)
	d.every(heartbeatInterval, d.heartbeat)
}

func (d *daemon) stop() {
	d.alive = false
	d.watching = false
	d.watch++
}

// every runs f periodically until this process ends.
func (d *daemon) every(period time.Duration, f func()) {
	boot := d.boot
	var step func()
	step = func() {
		if d.alive && d.boot == boot {
			f()
			d.w.after(period, step)
		}
	}
	d.w.after(d.w.between(0, period), step)
}

// deliver runs f on the daemon after a delay unless the process has ended by then.
func (d *daemon) deliver(delay time.Duration, f func(out *effect.List)) {
	boot := d.boot
	d.w.after(delay, func() {
		if d.alive && d.boot == boot {
			d.step(f)
		}
	})
}

// step lets the cache handle one event, carries out the effects, and checks that no object
// went back to a lower version.
func (d *daemon) step(f func(out *effect.List)) {
	var out effect.List
	f(&out)
	for _, e := range out.Take() {
		d.carryOut(e)
	}
	digest := d.cache.Digest()
	if digest == d.digest {
		return
	}
	d.digest = digest
	for _, kind := range []model.ObjectKind{model.ObjectZone, model.ObjectAutomation, model.ObjectTemplate} {
		for _, o := range d.cache.All(kind) {
			if o.Version < d.seen[o.Key] {
				d.w.breaks("%s went back from version %d to %d of %s", d.vm, d.seen[o.Key], o.Version, o.Key)
			}
			d.seen[o.Key] = o.Version
		}
	}
}

func (d *daemon) carryOut(e effect.Effect) {
	switch e := e.(type) {
	case effect.WatchStore:
		d.watching = true
		d.watch++
		d.since = e.Since
		d.w.store.watches = max(d.w.store.watches, d.w.openWatches())
		d.readWatch(d.watch)
	case effect.StopWatch:
		d.watching = false
		d.watch++
	case effect.ReadObject:
		d.readObject(e)
	case effect.WriteObject:
		d.writeObject(e)
	case effect.PullObjects:
		d.pull(e)
	case effect.ReplyOperator:
		d.replied(e)
	}
}

func (w *world) openWatches() int {
	n := 0
	for _, d := range w.daemons {
		if d.watching {
			n++
		}
	}
	return n
}

func (d *daemon) tick() {
	d.step(func(out *effect.List) { d.cache.Tick(d.live(), d.w.now, out) })
}

func (d *daemon) live() []model.VM {
	live := []model.VM{d.vm}
	for vm, at := range d.heard {
		if d.w.now.Sub(at) <= livePeriod {
			live = append(live, vm)
		}
	}
	slices.Sort(live)
	return live
}

func (d *daemon) cut() bool { return d.w.now < d.cutUntil }

func (d *daemon) heartbeat() {
	hb := event.Heartbeat{From: d.vm, Boot: d.boot, Address: string(d.vm)}
	d.cache.Fill(&hb)
	for _, to := range d.w.daemons {
		if to == d || !to.alive || d.cut() || to.cut() || d.w.chance(d.w.faults.heartbeatLost) {
			continue
		}
		to.deliver(d.w.between(time.Millisecond, 5*time.Millisecond), func(out *effect.List) {
			to.heard[hb.From] = d.w.now
			to.cache.Heartbeat(&hb, d.w.now, out)
		})
	}
}

func (d *daemon) pull(e effect.PullObjects) {
	i := slices.IndexFunc(d.w.daemons, func(o *daemon) bool { return o.vm == e.Peer })
	from := d.w.daemons[i]
	if !from.alive || from.cut() || d.cut() || d.w.chance(d.w.faults.pullLost) {
		if d.w.chance(0.5) { // else silence
			d.deliver(time.Millisecond, func(out *effect.List) {
				d.cache.PullFailed(event.PullFailed{Peer: e.Peer}, d.w.now, out)
			})
		}
		return
	}
	from.deliver(d.w.between(time.Millisecond, 5*time.Millisecond), func(*effect.List) {
		objects, revision := from.cache.Newer(e.Since)
		d.deliver(d.w.between(time.Millisecond, 5*time.Millisecond), func(out *effect.List) {
			d.receive(event.ObjectsReceived{Peer: e.Peer, Revision: revision, Objects: objects}, out)
		})
	})
}

func (d *daemon) receive(ev event.ObjectsReceived, out *effect.List) {
	d.cache.Received(ev, d.w.now, out)
}

func (d *daemon) storeFailed(op string) {
	d.deliver(2*time.Millisecond, func(out *effect.List) {
		d.cache.StoreFailed(event.StoreFailed{Op: op}, d.w.now, out)
	})
}

// readWatch is one waiting read as the runtime does it, with a retry after a failure.
func (d *daemon) readWatch(number int) {
	d.w.store.calls++
	d.pollWatch(number)
}

func (d *daemon) pollWatch(number int) {
	w := d.w
	if !d.alive || number != d.watch {
		return
	}
	again := func(delay time.Duration, f func(int)) { w.after(delay, func() { f(number) }) }
	switch {
	case w.store.mode == storeRefuses:
		d.storeFailed("watch")
		again(500*time.Millisecond, d.readWatch)
	case w.store.mode == storeUp && w.store.revision > d.since:
		ev := event.ObjectsReceived{FromStore: true, Revision: w.store.revision, Objects: w.store.newer(d.since)}
		d.since = ev.Revision
		d.deliver(w.between(time.Millisecond, 4*time.Millisecond), func(out *effect.List) { d.receive(ev, out) })
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

// latency returns how long a call takes.
func (w *world) latency() time.Duration {
	if w.chance(w.faults.slow) {
		return w.between(100*time.Millisecond, 3*time.Second)
	}
	return w.between(time.Millisecond, 5*time.Millisecond)
}

func (d *daemon) readObject(e effect.ReadObject) {
	w := d.w
	w.store.calls++
	switch w.store.mode {
	case storeRefuses:
		d.storeFailed("read")
	case storeUp:
		w.after(w.latency(), func() {
			o, ok := w.store.objects[e.Key]
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
	w := d.w
	w.store.calls++
	done := func(delay time.Duration, ev event.WriteDone) {
		ev.Write = e.Write
		d.deliver(delay, func(out *effect.List) { d.cache.WriteDone(ev, w.now, out) })
	}
	lost := event.WriteDone{Outcome: event.WriteUnknown}
	switch {
	case w.store.mode == storeRefuses:
		done(time.Millisecond, event.WriteDone{Outcome: event.WriteFailed})
	case w.store.mode == storeHangs:
		if w.chance(0.5) { // else no answer at all
			done(w.between(100*time.Millisecond, 3*time.Second), lost)
		}
	case w.chance(w.faults.lateEffect):
		done(w.between(time.Millisecond, 100*time.Millisecond), lost)
		w.after(w.between(time.Millisecond, 3*time.Second), func() { w.put(e) })
	case w.chance(w.faults.answerLost):
		w.after(time.Millisecond, func() { w.put(e) })
		done(w.between(2*time.Millisecond, time.Second), lost)
	default:
		w.after(w.latency(), func() {
			ev := event.WriteDone{Outcome: event.WriteConflict}
			if w.put(e) {
				ev.Outcome = event.WriteOK
			}
			ev.Object = w.store.objects[e.Object.Key]
			done(time.Millisecond, ev)
		})
	}
}

// put applies a conditional write and reports whether it took effect.
func (w *world) put(e effect.WriteObject) bool {
	key := e.Object.Key
	if w.store.objects[key].Version != e.IfVersion {
		return false
	}
	o := e.Object
	w.store.revision += 1 + w.rng.Uint64N(2) // other users of the store write, too
	o.Version = w.store.revision
	w.store.objects[key] = o
	w.written[mark(&o)] = o.Version
	w.keys[o.Version] = key
	return true
}

// mark returns the text that makes each command's content unique.
func mark(o *model.Object) string {
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

// next numbers a command; its content carries the returned mark.
func (d *daemon) next() (uint64, string) {
	d.w.issued = append(d.w.issued, issue{by: d, boot: d.boot})
	id := uint64(len(d.w.issued))
	return id, markOf(id)
}

func markOf(id uint64) string { return fmt.Sprintf("c%d", id) }

func (d *daemon) setZone(zone model.AvailabilityZone, out bool) uint64 {
	id, text := d.next()
	d.step(func(l *effect.List) {
		zones.Command(d.cache, id, string(d.vm), event.SetZone{Zone: zone, Out: out, Reason: text}, d.w.wall(), d.w.now, l)
	})
	return id
}

func (d *daemon) setPause(paused bool, until time.Time) uint64 {
	id, text := d.next()
	d.step(func(l *effect.List) {
		cmd := event.SetPause{Paused: paused, Until: until, Reason: text}
		automation.Command(d.cache, id, string(d.vm), cmd, d.w.wall(), d.w.now, l)
	})
	return id
}

func (d *daemon) apply(customer model.CustomerID) uint64 {
	id, text := d.next()
	key := model.ObjectKey{Kind: model.ObjectTemplate, Name: string(customer)}
	d.step(func(l *effect.List) {
		current, _ := d.cache.Get(key)
		obj := model.Object{Key: key, Template: &model.Template{Customer: customer, Text: text}}
		d.cache.Write(id, obj, current.Version, d.w.now, l)
	})
	return id
}

// template returns a template object of realistic shape.
func template(i int) model.Object {
	customer := model.CustomerID(fmt.Sprintf("customer%04d", i))
	return model.Object{
		Key:      model.ObjectKey{Kind: model.ObjectTemplate, Name: string(customer)},
		Template: &model.Template{Customer: customer, Text: fmt.Sprintf("t%d", i)},
	}
}
