package admission_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/admission"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	self     = model.VM("vm-a")
	selfBoot = model.Boot(7)
	epoch    = uint64(3)
	zoneA    = model.AvailabilityZone("a")
	zoneB    = model.AvailabilityZone("b")
)

var limits = model.Limits{Slots: 3, Connections: 30, ColdSlots: 1}

func keyOf(i int) model.ShardKey {
	return model.ShardKey{
		Route:   model.Route{Customer: "haugland", Route: "portal-search"},
		Version: "v1",
		Shard:   model.ShardID(fmt.Sprintf("s%04d", i)),
	}
}

func serverOf(shard, replica int) model.BackendServerID {
	return model.BackendServerID(fmt.Sprintf("s%04d-%d", shard, replica))
}

// warmLease returns a released lease of the key with number i whose servers are warm.
func warmLease(i int, term uint64) model.Lease {
	return model.Lease{Until: model.Never, Term: term, Clean: true, Servers: []model.ServerState{
		{Server: serverOf(i, 0), Limit: limits.Slots},
		{Server: serverOf(i, 1), Limit: limits.Slots},
	}}
}

// newView returns a view in which this VM holds clean leases for all keys.
func newView(keys int) *model.View {
	v := &model.View{
		Self:   self,
		Boot:   selfBoot,
		Owners: map[model.ShardKey]model.Owner{},
		Leases: map[model.ShardKey]model.Lease{},
	}
	version := model.VersionConfig{ID: "v1", Epoch: epoch, Limits: limits}
	for i := range keys {
		version.Shards = append(version.Shards, model.ShardConfig{
			ID: keyOf(i).Shard,
			Replicas: []model.BackendServer{
				{ID: serverOf(i, 0), Zone: zoneA, Address: "127.0.0.1:1"},
				{ID: serverOf(i, 1), Zone: zoneB, Address: "127.0.0.1:2"},
			},
		})
		v.Owners[keyOf(i)] = model.Owner{VM: self, Boot: selfBoot}
		v.Leases[keyOf(i)] = warmLease(i, 1)
	}
	v.Config = &model.ConfigView{
		ZonesOut: map[model.AvailabilityZone]bool{},
		Templates: map[model.CustomerID]*model.Template{"haugland": {
			Customer: "haugland",
			Routes: []model.RouteConfig{{
				ID:             "portal-search",
				AttemptTimeout: 400 * time.Millisecond,
				Versions:       []model.VersionConfig{version},
			}},
		}},
	}
	return v
}

// changeView returns a copy of v, with its own configuration, changed by f.
func changeView(v *model.View, f func(v *model.View, version *model.VersionConfig)) *model.View {
	n := *v
	n.Leases = map[model.ShardKey]model.Lease{}
	for k, l := range v.Leases {
		n.Leases[k] = l
	}
	c := *v.Config
	c.ZonesOut = map[model.AvailabilityZone]bool{}
	for z, out := range v.Config.ZonesOut {
		c.ZonesOut[z] = out
	}
	t := *v.Config.Templates["haugland"]
	t.Routes = slices.Clone(t.Routes)
	t.Routes[0].Versions = slices.Clone(t.Routes[0].Versions)
	c.Templates = map[model.CustomerID]*model.Template{"haugland": &t}
	n.Config = &c
	f(&n, &t.Routes[0].Versions[0])
	return &n
}

// faults counts broken invariants by name and keeps the first of each.
type faults struct {
	count map[string]int
	first map[string]string
}

func (f *faults) add(name, format string, args ...any) {
	if f.count == nil {
		f.count, f.first = map[string]int{}, map[string]string{}
	}
	if f.count[name]++; f.count[name] == 1 {
		f.first[name] = fmt.Sprintf(format, args...)
	}
}

func (f *faults) String() string { return fmt.Sprint(f.count, " first: ", f.first) }

// tracked is what the harness knows of one sub-request.
type tracked struct {
	sub       model.SubRequest
	mayRun    int // attempts without proof that they did not run
	replies   []model.SubReply
	withdrawn bool
}

// ownerTerm is one owner of the keys. Its attempts have the numbers above base.
type ownerTerm struct {
	owner *admission.Owner
	base  model.AttemptID
}

// harness feeds an owner with events and checks the invariants after each.
type harness struct {
	owner   *admission.Owner
	owners  []ownerTerm // the present one last
	view    *model.View
	now     model.Time
	query   model.QueryID
	subs    map[model.QueryID]*tracked
	running map[model.AttemptID]effect.StartAttempt
	started []effect.StartAttempt // all, in order
	cancels []model.AttemptID
	load    map[model.BackendServerID]int // attempts in flight
	peak    int                           // most attempts in flight on one server
	counts  map[string]int64
	drained []event.KeyDrained
	faults  faults
	onStart func(effect.StartAttempt)
}

func newHarness(v *model.View) *harness {
	h := &harness{
		owner:   admission.New(),
		subs:    map[model.QueryID]*tracked{},
		running: map[model.AttemptID]effect.StartAttempt{},
		load:    map[model.BackendServerID]int{},
		counts:  map[string]int64{},
	}
	h.owners = []ownerTerm{{owner: h.owner}}
	h.now = model.Time(time.Second)
	h.setView(v)
	return h
}

func (h *harness) do(f func(out *effect.List)) { h.doAs(h.owners[len(h.owners)-1], f) }

func (h *harness) doAs(term ownerTerm, f func(out *effect.List)) {
	var out effect.List
	f(&out)
	startedOn := map[model.BackendServerID]bool{}
	for _, e := range out.Take() {
		h.apply(term, e, startedOn)
	}
	if err := term.owner.Check(); err != nil {
		h.faults.add("check", "at %v: %v", h.now, err)
	}
	for _, l := range h.owner.Load(h.now) {
		if startedOn[l.Server] && l.InFlight > l.Limit {
			h.faults.add("over limit", "%s at %v: %d on %d", l.Server, h.now, l.InFlight, l.Limit)
		}
	}
}

func (h *harness) apply(term ownerTerm, e effect.Effect, startedOn map[model.BackendServerID]bool) {
	switch e := e.(type) {
	case effect.StartAttempt:
		startedOn[e.Server.ID] = true
		e.Attempt += term.base
		h.start(e)
	case effect.CancelAttempt:
		h.cancels = append(h.cancels, e.Attempt+term.base)
	case effect.SendSubReplies:
		for _, r := range e.Replies {
			h.reply(r)
		}
	case effect.Count:
		h.counts[e.Name] += e.Add
	case effect.ReportDrained:
		h.drained = append(h.drained, e.Drained)
	}
}

func (h *harness) start(e effect.StartAttempt) {
	t := h.subs[e.Query]
	h.running[e.Attempt] = e
	h.started = append(h.started, e)
	h.load[e.Server.ID]++
	h.peak = max(h.peak, h.load[e.Server.ID])
	if h.load[e.Server.ID] > limits.Slots {
		h.faults.add("over slots", "%s at %v: %d", e.Server.ID, h.now, h.load[e.Server.ID])
	}
	if !h.view.Config.Usable("haugland", &e.Server) {
		h.faults.add("unusable server", "%s at %v", e.Server.ID, h.now)
	}
	if lease, ok := h.view.Leases[e.Key]; !ok || h.now >= lease.Until {
		h.faults.add("no lease", "%s at %v", e.Key, h.now)
	}
	if t.mayRun++; t.mayRun > 1 && e.Kind == model.KindSubmit {
		h.faults.add("submit twice", "query %d at %v", e.Query, h.now)
	}
	if h.onStart != nil {
		h.onStart(e)
	}
}

func (h *harness) reply(r model.SubReply) {
	t := h.subs[r.Query]
	t.replies = append(t.replies, r)
	if len(t.replies) > 1 {
		h.faults.add("two replies", "query %d: %v and %v", r.Query, t.replies[0].Outcome, r.Outcome)
	}
	if r.Outcome.NotRun() && t.mayRun > 0 {
		h.faults.add("untrue not run", "query %d: %v", r.Query, r.Outcome)
	}
}

func (h *harness) setView(v *model.View) {
	h.view = v
	h.do(func(out *effect.List) { h.owner.View(v, h.now, out) })
}

// sub returns a search for the key with number i.
func (h *harness) sub(i int) model.SubRequest {
	h.query++
	return model.SubRequest{
		Query:  h.query,
		Entry:  "vm-b",
		Key:    keyOf(i),
		Epoch:  epoch,
		Owner:  model.Owner{VM: self, Boot: selfBoot},
		Budget: time.Second,
	}
}

func (h *harness) send(subs ...model.SubRequest) {
	for _, s := range subs {
		if h.subs[s.Query] == nil {
			h.subs[s.Query] = &tracked{sub: s}
		}
	}
	h.do(func(out *effect.List) {
		h.owner.Requests(event.SubRequestsReceived{Requests: subs}, h.now, out)
	})
}

func (h *harness) done(id model.AttemptID, res model.AttemptResult) {
	if e, ok := h.running[id]; ok {
		delete(h.running, id)
		h.load[e.Server.ID]--
		if res.Outcome.NotRun() {
			h.subs[e.Query].mayRun--
		}
	}
	term := h.owners[len(h.owners)-1]
	for _, t := range h.owners {
		if id > t.base {
			term = t
		}
	}
	h.doAs(term, func(out *effect.List) {
		term.owner.AttemptDone(event.AttemptDone{Attempt: id - term.base, Result: res}, h.now, out)
	})
}

// handOver drains key 0 and serves it from a new owner with what the release carries.
func (h *harness) handOver() {
	h.drain(0)
	drained := h.drained[len(h.drained)-1]
	lease := model.Lease{
		Until:   model.Never,
		Term:    h.view.Leases[keyOf(0)].Term + 1,
		Clean:   true,
		Servers: drained.Servers,
	}
	for _, r := range drained.Running {
		lease.Running = append(lease.Running, model.RunningAttempt{Server: r.Server, Until: h.now.Add(r.Left)})
	}
	h.owner = admission.New()
	h.owners = append(h.owners, ownerTerm{h.owner, model.AttemptID(len(h.started))})
	h.setLease(lease)
}

func (h *harness) cancel(q model.QueryID) {
	t := h.subs[q]
	t.withdrawn = true
	c := event.Cancel{Query: q, Run: t.sub.Run, Key: t.sub.Key}
	h.do(func(out *effect.List) {
		h.owner.Cancels(event.CancelsReceived{Entry: t.sub.Entry, Cancels: []event.Cancel{c}}, h.now, out)
	})
}

func (h *harness) drain(i int) {
	h.do(func(out *effect.List) {
		ev := event.DrainKey{Key: keyOf(i), Term: h.view.Leases[keyOf(i)].Term}
		h.owner.Drain(ev, h.now, out)
	})
}

// advance moves the clock, with a wake-up at each time that the owner asks for.
func (h *harness) advance(d time.Duration) {
	end := h.now.Add(d)
	for at := h.owner.NextWake(); at <= end; at = h.owner.NextWake() {
		h.now = max(h.now, at)
		h.do(func(out *effect.List) { h.owner.Wake(h.now, out) })
		if h.owner.NextWake() <= at {
			h.faults.add("wake loop", "at %v", at)
			break
		}
	}
	h.now = end
}

func (h *harness) outcome(q model.QueryID) string {
	t := h.subs[q]
	if len(t.replies) != 1 {
		return fmt.Sprintf("%d replies", len(t.replies))
	}
	return t.replies[0].Outcome.String()
}

// checkReplied requires one reply to each sub-request that was not withdrawn.
func (h *harness) checkReplied() {
	for q, t := range h.subs {
		if len(t.replies) == 0 && !t.withdrawn {
			h.faults.add("no reply", "query %d", q)
		}
	}
}

// fleet simulates backend servers: a warm one sheds above its slots, a cold one falls over
// above what it can bear.
type fleet struct {
	h       *harness
	rng     *rand.Rand
	servers map[model.BackendServerID]*fakeServer
	ends    endHeap
	falls   int
	faulty  bool // random failures, sheds and missing snapshots
	median  time.Duration
	// warmAfter is the number of completions that a cold server needs for its second slot.
	warmAfter int
}

type fakeServer struct {
	boot      model.Boot
	proven    int // completions since start
	downUntil model.Time
	running   []model.AttemptID
}

type attemptEnd struct {
	at      model.Time
	attempt model.AttemptID
	result  model.AttemptResult
}

type endHeap []attemptEnd

func (e endHeap) Len() int { return len(e) }

func (e endHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].attempt < e[j].attempt
}

func (e endHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *endHeap) Push(x any) { *e = append(*e, x.(attemptEnd)) }

func (e *endHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newFleet(h *harness, rng *rand.Rand) *fleet {
	f := &fleet{h: h, rng: rng, servers: map[model.BackendServerID]*fakeServer{}, median: 8 * time.Millisecond}
	f.warmAfter = admission.RampCompletions
	h.onStart = f.start
	return f
}

func (f *fleet) server(id model.BackendServerID) *fakeServer {
	if f.servers[id] == nil {
		f.servers[id] = &fakeServer{boot: 1}
	}
	return f.servers[id]
}

func (f *fleet) end(d time.Duration, id model.AttemptID, res model.AttemptResult) {
	heap.Push(&f.ends, attemptEnd{f.h.now.Add(d), id, res})
}

// service draws a service time: lognormal, 1% ten times slower.
func (f *fleet) service() time.Duration {
	d := float64(f.median) * math.Exp(0.5*f.rng.NormFloat64())
	if f.rng.IntN(100) == 0 {
		d *= 10
	}
	return time.Duration(d)
}

// bound returns the attempts that a server can bear: one more slot after warmAfter
// completions and after each further RampCompletions.
func (f *fleet) bound(s *fakeServer) int {
	if s.proven < f.warmAfter {
		return limits.ColdSlots
	}
	return min(limits.Slots, limits.ColdSlots+1+(s.proven-f.warmAfter)/admission.RampCompletions)
}

func (f *fleet) start(e effect.StartAttempt) {
	s := f.server(e.Server.ID)
	if f.h.now < s.downUntil {
		f.end(200*time.Microsecond, e.Attempt, model.AttemptResult{Outcome: model.OutcomeRefusedConnection})
		return
	}
	bound := f.bound(s)
	if len(s.running) >= bound && bound < limits.Slots {
		f.falls++
		f.restart(e.Server.ID)
		f.end(200*time.Microsecond, e.Attempt, model.AttemptResult{Outcome: model.OutcomeLost})
		return
	}
	res := model.AttemptResult{Outcome: model.OutcomeOK, Boot: s.boot}
	if f.faulty && f.rng.IntN(20) == 0 {
		bad := []model.OutcomeCode{model.OutcomeFailed, model.OutcomeShed, model.OutcomeSnapshotGone, model.OutcomeTimeout}
		res.Outcome = bad[f.rng.IntN(len(bad))]
	}
	if len(s.running) >= bound {
		res.Outcome = model.OutcomeShed
	}
	d := f.service()
	switch {
	case res.Outcome == model.OutcomeShed || res.Outcome == model.OutcomeSnapshotGone:
		d = 300 * time.Microsecond
	case res.Outcome == model.OutcomeTimeout || d >= e.Timeout:
		res.Outcome, d = model.OutcomeTimeout, e.Timeout
	}
	s.running = append(s.running, e.Attempt)
	f.end(d, e.Attempt, res)
}

// restart gives a server a new boot; its running attempts are lost.
func (f *fleet) restart(id model.BackendServerID) {
	s := f.server(id)
	for _, a := range s.running {
		f.end(100*time.Microsecond, a, model.AttemptResult{Outcome: model.OutcomeLost})
	}
	*s = fakeServer{boot: s.boot + 1, downUntil: f.h.now.Add(20 * time.Millisecond)}
}

// step delivers the next end of an attempt or wake-up; false when there is none until end.
func (f *fleet) step(end model.Time) bool {
	for _, id := range f.h.cancels {
		f.end(500*time.Microsecond, id, model.AttemptResult{Outcome: model.OutcomeCancelled})
	}
	f.h.cancels = nil
	at := model.Never
	if len(f.ends) > 0 {
		at = f.ends[0].at
	}
	wake := f.h.owner.NextWake()
	if min(at, wake) > end {
		f.h.now = max(f.h.now, end)
		return false
	}
	if wake < at {
		f.h.advance(wake.Sub(f.h.now))
		return true
	}
	e := heap.Pop(&f.ends).(attemptEnd)
	f.h.now = max(f.h.now, e.at)
	started, ok := f.h.running[e.attempt]
	if !ok {
		f.h.done(e.attempt, e.result) // late: must be ignored
		return true
	}
	s := f.server(started.Server.ID)
	if i := slices.Index(s.running, e.attempt); i >= 0 {
		s.running = slices.Delete(s.running, i, i+1)
		if e.result.Outcome == model.OutcomeOK {
			s.proven++
		}
	}
	f.h.done(e.attempt, e.result)
	return true
}

func (f *fleet) run(d time.Duration) {
	end := f.h.now.Add(d)
	for f.step(end) {
	}
}
