package moves

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	simVMs      = 8
	simRate     = 200.0 // queries per second on each route, summed over all VMs
	simLength   = 5 * time.Minute
	simMove     = "m1"
	simCustomer = model.CustomerID("haugland")
	never       = model.Never
)

var simEpoch = time.Date(2027, 3, 1, 8, 0, 0, 0, time.UTC)

// simConfig configures one run. The zero value is a move of one route to a good version.
type simConfig struct {
	seed    uint64
	routes  int           // default 1
	step    time.Duration // interval of ticks, heartbeats and queries; default 250 ms
	rate    float64       // default simRate
	length  time.Duration // default simLength
	noMove  bool          // the test starts moves itself
	degrade func(q simQuery) degradation
}

// simQuery holds the properties of a query that its degradation can depend on.
type simQuery struct {
	at    model.Time
	route int
	share float64
}

// degradation is the difference of the new version from the old one. The zero value is no
// difference.
type degradation struct {
	failures float64 // added failure probability
	factor   float64 // factor of the latency; 0 means 1
	tail     float64 // share of queries that are ten times slower
}

// simEvent is one scheduled function call. Events run in order of time, then of creation.
type simEvent struct {
	at  model.Time
	seq uint64
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// sim runs the controllers and pairers of several VMs in virtual time with one fake store.
type sim struct {
	cfg     simConfig
	rng     *rand.Rand
	now     model.Time
	queue   simQueue
	seq     uint64
	store   *simStore
	vms     []*simVM
	paused  bool
	liveVMs func(vm int) []model.VM // members that a VM sees; by default all running VMs

	totalQueries, newQueries, newQueriesBefore int        // all queries, those to the new version, those to it before onset
	onset                                      model.Time // time of the first query to the new version while it was bad
	firstZero, lastNewQuery                    model.Time // first time a VM reached share 0; last query to the new version
	allZero                                    model.Time // first time all VMs had share 0
}

func newSim(cfg simConfig) *sim {
	cfg.routes = max(cfg.routes, 1)
	if cfg.step == 0 {
		cfg.step = 250 * time.Millisecond
	}
	if cfg.rate == 0 {
		cfg.rate = simRate
	}
	if cfg.length == 0 {
		cfg.length = simLength
	}
	s := &sim{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.seed, 7)), onset: never, firstZero: never, allZero: never}
	s.store = &simStore{sim: s, objects: make(map[model.ObjectKey]model.Object)}
	s.liveVMs = func(int) []model.VM { return s.running() }
	for i := range simVMs {
		s.vms = append(s.vms, newSimVM(s, i, 1))
	}
	s.store.put(model.Object{Key: model.ObjectKey{Kind: model.ObjectTemplate, Name: string(simCustomer)}, Template: simTemplate(cfg.routes, "v1")})
	s.runUntil(50*time.Millisecond, nil) // the template reaches all VMs
	for i, v := range s.vms {
		s.at(s.now+model.Time(i)*model.Time(cfg.step)/simVMs, v.step)
	}
	if !cfg.noMove {
		s.start(0, simMove)
	}
	return s
}

func simTemplate(routes int, stable model.VersionID) *model.Template {
	t := &model.Template{Customer: simCustomer}
	for i := range routes {
		t.Routes = append(t.Routes, model.RouteConfig{
			ID:            simRoute(i),
			StableVersion: stable,
			Versions:      []model.VersionConfig{{ID: "v1"}, {ID: "v2"}, {ID: "v3"}},
		})
	}
	return t
}

func simRoute(i int) model.RouteID { return model.RouteID(fmt.Sprintf("route-%d", i)) }

func (s *sim) wall() time.Time { return simEpoch.Add(time.Duration(s.now)) }

func (s *sim) at(t model.Time, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{max(t, s.now), s.seq, run})
}

func (s *sim) after(d time.Duration, run func()) { s.at(s.now.Add(d), run) }

// delay returns a random delivery time of one message.
func (s *sim) delay() time.Duration { return time.Duration(1+s.rng.IntN(30)) * time.Millisecond }

// runUntil runs events up to time t, or until done returns true if it is not nil.
func (s *sim) runUntil(t time.Duration, done func() bool) {
	for len(s.queue) > 0 && s.queue[0].at <= model.Time(t) && (done == nil || !done()) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	if done == nil {
		s.now = max(s.now, model.Time(t))
	}
}

// ended reports whether the move has a final phase in the store and on every VM, and, if it
// was rolled back, whether all VMs have reached share 0.
func (s *sim) ended() bool {
	m := s.move(simMove)
	if m == nil || !m.Phase.Final() {
		return false
	}
	for _, v := range s.vms {
		if o, _ := v.cache.Get(moveKey(simMove)); v.up && (o.Move == nil || !o.Move.Phase.Final()) {
			return false
		}
	}
	return m.Phase == model.MoveFinished || s.allZero != never
}

func (s *sim) move(name string) *model.Move { return s.store.objects[moveKey(name)].Move }

func (s *sim) running() []model.VM {
	var list []model.VM
	for _, v := range s.vms {
		if v.up {
			list = append(list, v.id)
		}
	}
	return list
}

// start passes an operator's StartMove for all routes to a VM.
func (s *sim) start(vm int, name string) effect.CommandCode {
	m := model.Move{Name: name, Customer: simCustomer, From: "v1", To: "v2", Deadline: s.wall().Add(s.cfg.length)}
	for i := range s.cfg.routes {
		m.Routes = append(m.Routes, simRoute(i))
	}
	var out effect.List
	s.vms[vm].ctl.Start(1, "operator", event.StartMove{Move: m}, s.input(vm), s.now, &out)
	return s.vms[vm].applyEffects(&out)
}

func (s *sim) takeBack(vm int, name string) effect.CommandCode {
	var out effect.List
	s.vms[vm].ctl.TakeBack(2, "operator", event.TakeBackMove{Name: name, Reason: "test"}, s.input(vm), s.now, &out)
	return s.vms[vm].applyEffects(&out)
}

func (s *sim) input(vm int) Input {
	return Input{Wall: s.wall(), Paused: s.paused, Live: s.liveVMs(vm)}
}

// recordZeroShare records when the first VM and all VMs reached share 0.
func (s *sim) recordZeroShare() {
	zero, n := 0, 0
	for _, v := range s.vms {
		if v.up {
			n++
		}
		if v.up && v.stopped {
			zero++
		}
	}
	if zero > 0 && s.firstZero == never {
		s.firstZero = s.now
	}
	if zero == n && s.allZero == never {
		s.allZero = s.now
	}
}

// simVM is one VM with a controller and one traffic worker.
type simVM struct {
	sim             *sim
	n               int
	id              model.VM
	boot            model.Boot
	up              bool
	ctl             *Controller
	pairer          *Pairer
	cache           *simCache
	shares          map[model.Route]model.VersionShare
	stopped         bool // had a share above 0 and now has 0
	receivedShare   bool
	ticks           int
	outcomesByStep  [32][]Outcome     // outcomes by the step in which their queries end, as a ring buffer
	partitionedFrom func(to int) bool // if not nil, selects VMs that its heartbeats do not reach
	logs            []effect.Log
}

func newSimVM(s *sim, n int, boot model.Boot) *simVM {
	v := &simVM{sim: s, n: n, id: model.VM(fmt.Sprintf("vm-%d", n)), boot: boot, up: true, pairer: NewPairer()}
	v.cache = &simCache{vm: v, objects: make(map[model.ObjectKey]model.Object), pending: make(map[model.ObjectKey]bool)}
	v.ctl = New(v.id, boot, v.cache)
	return v
}

// restart replaces a VM by one with the next boot number and without evidence.
func (s *sim) restart(n int) {
	s.vms[n].up = false
	v := newSimVM(s, n, s.vms[n].boot+1)
	s.vms[n] = v
	for _, o := range s.store.objects {
		v.cache.put(o)
	}
	s.after(0, v.step)
}

// step sends the queries of one step, records those that end in it, runs a tick and sends
// heartbeats.
func (v *simVM) step() {
	s := v.sim
	if !v.up {
		return
	}
	for i := range s.cfg.routes {
		v.queries(i)
	}
	var out effect.List
	slot := &v.outcomesByStep[v.ticks%len(v.outcomesByStep)]
	for _, o := range *slot {
		v.pairer.Record(o, s.now)
	}
	*slot = (*slot)[:0]
	v.ticks++
	v.pairer.Flush(s.now, &out)
	changed := v.ctl.Tick(s.input(v.n), s.now, &out)
	v.applyEffects(&out)
	if changed || v.cache.changed {
		v.refresh()
	}
	v.heartbeat()
	s.after(s.cfg.step, v.step)
}

func (v *simVM) refresh() {
	v.cache.changed = false
	v.shares = v.ctl.Shares()
	o, _ := v.cache.Get(moveKey(simMove))
	if o.Move == nil {
		return
	}
	zero := v.shares[model.Route{Customer: simCustomer, Route: simRoute(0)}].Share == 0
	v.receivedShare = v.receivedShare || !zero
	if v.receivedShare && zero != v.stopped {
		v.stopped = zero
		v.sim.recordZeroShare()
	}
}

// queries sends the queries of one step on route i.
func (v *simVM) queries(i int) {
	s := v.sim
	route := model.Route{Customer: simCustomer, Route: simRoute(i)}
	share, ok := v.shares[route]
	n := int(s.cfg.rate/simVMs*s.cfg.step.Seconds() + s.rng.Float64())
	if !ok {
		return
	}
	var d degradation
	if s.cfg.degrade != nil {
		d = s.cfg.degrade(simQuery{s.now, i, share.Share})
	}
	for range n {
		o := Outcome{Route: route, Move: share.Move, New: s.rng.Float64() < share.Share}
		latency := 8 * math.Exp(0.5*s.rng.NormFloat64())
		fail := 0.01
		s.totalQueries++
		if o.New {
			s.countNewQuery(d)
			fail += d.failures
			if d.factor > 0 {
				latency *= d.factor
			}
			if d.tail > 0 && s.rng.Float64() < d.tail {
				latency *= 10
			}
		}
		o.Failed = s.rng.Float64() < fail
		o.Latency = time.Duration(latency * float64(time.Millisecond))
		end := v.ticks + min(int(o.Latency/s.cfg.step), len(v.outcomesByStep)-1)
		v.outcomesByStep[end%len(v.outcomesByStep)] = append(v.outcomesByStep[end%len(v.outcomesByStep)], o)
	}
}

// countNewQuery counts a query to the new version and records the onset of degradation.
func (s *sim) countNewQuery(d degradation) {
	s.newQueries++
	s.lastNewQuery = s.now
	if d != (degradation{}) && s.onset == never {
		s.onset = s.now
	}
	if s.onset == never {
		s.newQueriesBefore++
	}
}

// heartbeat sends a heartbeat to every other VM; 1 in 100 is lost and 1 in 100 is duplicated.
func (v *simVM) heartbeat() {
	s := v.sim
	hb := event.Heartbeat{From: v.id, Boot: v.boot}
	v.ctl.AddEvidence(&hb)
	if len(hb.Evidence) == 0 {
		return // a heartbeat without evidence has no effect here
	}
	for to := range s.vms {
		if to == v.n || (v.partitionedFrom != nil && v.partitionedFrom(to)) {
			continue
		}
		copies := 1
		switch s.rng.IntN(100) {
		case 0:
			copies = 0
		case 1:
			copies = 2
		}
		for range copies {
			s.after(s.delay(), func() { s.vms[to].receive(hb) })
		}
	}
}

func (v *simVM) receive(hb event.Heartbeat) {
	if !v.up {
		return
	}
	var out effect.List
	v.ctl.Heartbeat(&hb, v.sim.now, &out)
	v.applyEffects(&out)
}

// applyEffects applies effects and returns the code of the last reply to an operator.
func (v *simVM) applyEffects(out *effect.List) effect.CommandCode {
	var code effect.CommandCode
	for _, e := range out.Take() {
		switch e := e.(type) {
		case effect.ReportOutcomes:
			v.ctl.Outcomes(event.MoveOutcomes{Evidence: e.Evidence}, v.sim.now, out)
		case effect.Log:
			v.logs = append(v.logs, e)
		case effect.ReplyOperator:
			code = e.Result.Code
		}
	}
	return code
}

// logged reports whether any VM has logged a message that contains the text.
func (s *sim) logged(message string) bool {
	for _, v := range s.vms {
		for _, l := range v.logs {
			if strings.Contains(l.Message, message) {
				return true
			}
		}
	}
	return false
}

// simCache implements Objects for one VM.
type simCache struct {
	vm      *simVM
	objects map[model.ObjectKey]model.Object
	pending map[model.ObjectKey]bool
	lists   map[model.ObjectKind][]model.Object
	changed bool
	writes  int
}

func (c *simCache) Get(key model.ObjectKey) (model.Object, bool) {
	o, ok := c.objects[key]
	return o, ok
}

func (c *simCache) All(kind model.ObjectKind) []model.Object {
	if list, ok := c.lists[kind]; ok {
		return list
	}
	var list []model.Object
	for k, o := range c.objects {
		if k.Kind == kind {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b model.Object) int { return strings.Compare(a.Key.Name, b.Key.Name) })
	if c.lists == nil {
		c.lists = make(map[model.ObjectKind][]model.Object)
	}
	c.lists[kind] = list
	return list
}

func (c *simCache) Pending(key model.ObjectKey) bool { return c.pending[key] }

func (c *simCache) Write(command uint64, obj model.Object, ifVersion uint64, now model.Time, out *effect.List) {
	c.pending[obj.Key] = true
	c.writes++
	s := c.vm.sim
	s.after(s.delay(), func() { s.store.write(c, obj, ifVersion) })
}

func (c *simCache) put(o model.Object) {
	if o.Version > c.objects[o.Key].Version {
		c.objects[o.Key] = o
		c.lists = nil
		c.changed = true
	}
}

// done ends a write and, unless the store is down, updates the cache from the store.
func (c *simCache) done(key model.ObjectKey) {
	delete(c.pending, key)
	if o, ok := c.vm.sim.store.objects[key]; ok && !c.vm.sim.store.down {
		c.put(o)
	}
}

// simStore is a fake store with conditional writes, outages and lost replies.
type simStore struct {
	sim         *sim
	objects     map[model.ObjectKey]model.Object
	revision    uint64
	down        bool
	lostReplies int // number of replies still to lose
	history     []model.Object
}

func (st *simStore) put(o model.Object) {
	st.revision++
	o.Version = st.revision
	st.objects[o.Key] = o
	st.history = append(st.history, o)
	for _, v := range st.sim.vms {
		st.sim.after(st.sim.delay(), func() { v.cache.put(o) })
	}
}

func (st *simStore) write(c *simCache, o model.Object, ifVersion uint64) {
	s := st.sim
	if st.down {
		s.after(500*time.Millisecond, func() { c.done(o.Key) })
		return
	}
	if st.objects[o.Key].Version == ifVersion {
		st.put(o)
	}
	wait := s.delay()
	if st.lostReplies > 0 {
		st.lostReplies--
		wait = 2 * time.Second // the reply is lost; the VM reads the object later
	}
	s.after(wait, func() { c.done(o.Key) })
}

// phases returns the final phases that were written for a move, in order.
func (st *simStore) phases(name string) []model.MovePhase {
	var list []model.MovePhase
	for _, o := range st.history {
		if o.Key == moveKey(name) && o.Move.Phase.Final() {
			list = append(list, o.Move.Phase)
		}
	}
	return list
}

// stages returns the stages that were written for a move, and the time from the move's start
// to the start of each.
func (st *simStore) stages(name string) (stages []int, at []time.Duration) {
	for _, o := range st.history {
		if o.Key == moveKey(name) && (len(stages) == 0 || stages[len(stages)-1] != o.Move.Stage) {
			stages = append(stages, o.Move.Stage)
			at = append(at, o.Move.StageStarted.Sub(o.Move.Start))
		}
	}
	return stages, at
}

// raceSeeds divides the number of seeds if the race detector is on, which makes runs about
// ten times slower. The code under test has no goroutines.
const raceSeeds = 10

func seedCount(n int) int {
	if raceEnabled {
		return n / raceSeeds
	}
	return n
}

// runSeeds runs one simulation per seed on several cores. It drops the VMs and queues of
// finished simulations to save memory.
func runSeeds(n int, run func(seed uint64) *sim) []*sim {
	sims := make([]*sim, n)
	next := make(chan int)
	var wg sync.WaitGroup
	for range min(8, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
			for i := range next {
				s := run(uint64(i + 1))
				s.vms, s.queue = nil, nil
				sims[i] = s
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wg.Wait()
	return sims
}

func countPhase(sims []*sim, p model.MovePhase) int {
	n := 0
	for _, s := range sims {
		if m := s.move(simMove); m != nil && m.Phase == p {
			n++
		}
	}
	return n
}

// logMedianAndMax logs and returns the median and the maximum of a figure over all runs.
func logMedianAndMax(t *testing.T, name string, sims []*sim, figure func(*sim) float64) (median, highest float64) {
	var list []float64
	for _, s := range sims {
		list = append(list, figure(s))
	}
	slices.Sort(list)
	median, highest = list[len(list)/2], list[len(list)-1]
	t.Logf("%s: median %.4f, highest %.4f", name, median, highest)
	return median, highest
}
