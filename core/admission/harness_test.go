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

// warmLease returns a lease after a clean release of key i whose servers are warm.
func warmLease(i int, term uint64) model.Lease {
	return model.Lease{Until: model.Never, Term: term, Clean: true, Servers: []model.ServerState{
		{Server: serverOf(i, 0), Limit: limits.Slots},
		{Server: serverOf(i, 1), Limit: limits.Slots},
	}}
}

// newView returns a view in which this VM holds warm leases of all keys.
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

// changeView returns a copy of v and its configuration to which f was applied.
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

// violations counts violated invariants by name and keeps the message of the first of each.
type violations struct {
	count map[string]int
	first map[string]string
}

func (v *violations) add(name, format string, args ...any) {
	if v.count == nil {
		v.count, v.first = map[string]int{}, map[string]string{}
	}
	if v.count[name]++; v.count[name] == 1 {
		v.first[name] = fmt.Sprintf(format, args...)
	}
}

func (v *violations) String() string { return fmt.Sprint(v.count, " first: ", v.first) }

// trackedRequest records one sub-request with its attempts and replies.
type trackedRequest struct {
	sub       model.SubRequest
	mayRun    int // attempts without proof that they did not run
	replies   []model.SubReply
	withdrawn bool
}

// ownerTerm is one owner of the keys. The harness adds base to the IDs of its attempts, so that
// they are unique over all owners.
type ownerTerm struct {
	owner *admission.Owner
	base  model.AttemptID
}

// harness delivers events to an owner and checks the invariants after each.
type harness struct {
	owner      *admission.Owner
	owners     []ownerTerm // the current one last
	view       *model.View
	now        model.Time
	query      model.QueryID
	subs       map[model.QueryID]*trackedRequest
	running    map[model.AttemptID]effect.StartAttempt
	started    []effect.StartAttempt // all attempts, in order of their start
	cancels    []model.AttemptID
	load       map[model.BackendServerID]int // attempts in flight
	peak       int                           // maximum of attempts in flight on one server
	counts     map[string]int64
	drained    []event.KeyDrained
	violations violations
	onStart    func(effect.StartAttempt)
}

func newHarness(v *model.View) *harness {
	h := &harness{
		owner:   admission.New(),
		subs:    map[model.QueryID]*trackedRequest{},
		running: map[model.AttemptID]effect.StartAttempt{},
		load:    map[model.BackendServerID]int{},
		counts:  map[string]int64{},
	}
	h.owners = []ownerTerm{{owner: h.owner}}
	h.now = model.Time(time.Second)
	h.setView(v)
	return h
}

func (h *harness) run(f func(out *effect.List)) { h.runAs(h.owners[len(h.owners)-1], f) }

func (h *harness) runAs(term ownerTerm, f func(out *effect.List)) {
	var out effect.List
	f(&out)
	startedOn := map[model.BackendServerID]bool{}
	for _, e := range out.Take() {
		h.apply(term, e, startedOn)
	}
	if err := term.owner.Check(); err != nil {
		h.violations.add("check", "at %v: %v", h.now, err)
	}
	for _, l := range h.owner.Load(h.now) {
		if startedOn[l.Server] && l.InFlight > l.Limit {
			h.violations.add("over limit", "%s at %v: %d on %d", l.Server, h.now, l.InFlight, l.Limit)
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
		h.violations.add("over slots", "%s at %v: %d", e.Server.ID, h.now, h.load[e.Server.ID])
	}
	if !h.view.Config.Usable("haugland", &e.Server) {
		h.violations.add("unusable server", "%s at %v", e.Server.ID, h.now)
	}
	if lease, ok := h.view.Leases[e.Key]; !ok || h.now >= lease.Until {
		h.violations.add("no lease", "%s at %v", e.Key, h.now)
	}
	if t.mayRun++; t.mayRun > 1 && e.Kind == model.KindSubmit {
		h.violations.add("two attempts of a submit", "query %d at %v", e.Query, h.now)
	}
	if h.onStart != nil {
		h.onStart(e)
	}
}

func (h *harness) reply(r model.SubReply) {
	t := h.subs[r.Query]
	t.replies = append(t.replies, r)
	if len(t.replies) > 1 {
		h.violations.add("two replies", "query %d: %v and %v", r.Query, t.replies[0].Outcome, r.Outcome)
	}
	if r.Outcome.NotRun() && t.mayRun > 0 {
		h.violations.add("reported as not run although it may have run", "query %d: %v", r.Query, r.Outcome)
	}
}

func (h *harness) setView(v *model.View) {
	h.view = v
	h.run(func(out *effect.List) { h.owner.View(v, h.now, out) })
}

// newSearch returns a search for key i.
func (h *harness) newSearch(i int) model.SubRequest {
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
			h.subs[s.Query] = &trackedRequest{sub: s}
		}
	}
	h.run(func(out *effect.List) {
		h.owner.Requests(event.SubRequestsReceived{Requests: subs}, h.now, out)
	})
}

func (h *harness) endAttempt(id model.AttemptID, res model.AttemptResult) {
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
	h.runAs(term, func(out *effect.List) {
		term.owner.AttemptDone(event.AttemptDone{Attempt: id - term.base, Result: res}, h.now, out)
	})
}

// handover drains key 0 and replaces the owner by a new one, whose lease has the drained state.
func (h *harness) handover() {
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
	h.run(func(out *effect.List) {
		h.owner.Cancels(event.CancelsReceived{Entry: t.sub.Entry, Cancels: []event.Cancel{c}}, h.now, out)
	})
}

func (h *harness) drain(i int) {
	h.run(func(out *effect.List) {
		ev := event.DrainKey{Key: keyOf(i), Term: h.view.Leases[keyOf(i)].Term}
		h.owner.Drain(ev, h.now, out)
	})
}

// advance moves the clock by d and wakes the owner at each time that it asks for.
func (h *harness) advance(d time.Duration) {
	end := h.now.Add(d)
	for at := h.owner.NextWake(); at <= end; at = h.owner.NextWake() {
		h.now = max(h.now, at)
		h.run(func(out *effect.List) { h.owner.Wake(h.now, out) })
		if h.owner.NextWake() <= at {
			h.violations.add("wake-up time not advanced", "at %v", at)
			break
		}
	}
	h.now = end
}

// outcome returns the outcome of a query, or the number of its replies if there is not exactly one.
func (h *harness) outcome(q model.QueryID) string {
	t := h.subs[q]
	if len(t.replies) != 1 {
		return fmt.Sprintf("%d replies", len(t.replies))
	}
	return t.replies[0].Outcome.String()
}

// checkReplied requires a reply to each sub-request that was not withdrawn.
func (h *harness) checkReplied() {
	for q, t := range h.subs {
		if len(t.replies) == 0 && !t.withdrawn {
			h.violations.add("no reply", "query %d", q)
		}
	}
}

// fleet simulates backend servers. A warm server sheds attempts above its slots, and a cold one
// crashes when it gets more attempts than its capacity.
type fleet struct {
	h       *harness
	rng     *rand.Rand
	servers map[model.BackendServerID]*fakeServer
	ends    endHeap
	crashes int
	faulty  bool // some attempts fail, are shed, time out or miss their snapshot
	median  time.Duration
	// warmAfter is the number of completions that a cold server needs for its second slot.
	warmAfter int
}

type fakeServer struct {
	boot        model.Boot
	completions int // since its start
	downUntil   model.Time
	running     []model.AttemptID
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

// serviceTime returns a random service time: lognormal, and 1% ten times slower.
func (f *fleet) serviceTime() time.Duration {
	d := float64(f.median) * math.Exp(0.5*f.rng.NormFloat64())
	if f.rng.IntN(100) == 0 {
		d *= 10
	}
	return time.Duration(d)
}

// capacity returns the number of concurrent attempts that a server can run. It grows by one
// after warmAfter completions and after each further RampCompletions.
func (f *fleet) capacity(s *fakeServer) int {
	if s.completions < f.warmAfter {
		return limits.ColdSlots
	}
	return min(limits.Slots, limits.ColdSlots+1+(s.completions-f.warmAfter)/admission.RampCompletions)
}

func (f *fleet) start(e effect.StartAttempt) {
	s := f.server(e.Server.ID)
	if f.h.now < s.downUntil {
		f.end(200*time.Microsecond, e.Attempt, model.AttemptResult{Outcome: model.OutcomeRefusedConnection})
		return
	}
	capacity := f.capacity(s)
	if len(s.running) >= capacity && capacity < limits.Slots {
		f.crashes++
		f.restart(e.Server.ID)
		f.end(200*time.Microsecond, e.Attempt, model.AttemptResult{Outcome: model.OutcomeLost})
		return
	}
	res := model.AttemptResult{Outcome: model.OutcomeOK, Boot: s.boot}
	if f.faulty && f.rng.IntN(20) == 0 {
		failures := []model.OutcomeCode{model.OutcomeFailed, model.OutcomeShed, model.OutcomeSnapshotGone, model.OutcomeTimeout}
		res.Outcome = failures[f.rng.IntN(len(failures))]
	}
	if len(s.running) >= capacity {
		res.Outcome = model.OutcomeShed
	}
	d := f.serviceTime()
	switch {
	case res.Outcome == model.OutcomeShed || res.Outcome == model.OutcomeSnapshotGone:
		d = 300 * time.Microsecond
	case res.Outcome == model.OutcomeTimeout || d >= e.Timeout:
		res.Outcome, d = model.OutcomeTimeout, e.Timeout
	}
	s.running = append(s.running, e.Attempt)
	f.end(d, e.Attempt, res)
}

// restart gives a server a new boot and ends its running attempts as lost.
func (f *fleet) restart(id model.BackendServerID) {
	s := f.server(id)
	for _, a := range s.running {
		f.end(100*time.Microsecond, a, model.AttemptResult{Outcome: model.OutcomeLost})
	}
	*s = fakeServer{boot: s.boot + 1, downUntil: f.h.now.Add(20 * time.Millisecond)}
}

// step delivers the next end of an attempt or the next wake-up. It returns false if there is
// none before end.
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
		f.h.endAttempt(e.attempt, e.result) // already ended: the owner must ignore the result
		return true
	}
	s := f.server(started.Server.ID)
	if i := slices.Index(s.running, e.attempt); i >= 0 {
		s.running = slices.Delete(s.running, i, i+1)
		if e.result.Outcome == model.OutcomeOK {
			s.completions++
		}
	}
	f.h.endAttempt(e.attempt, e.result)
	return true
}

func (f *fleet) run(d time.Duration) {
	end := f.h.now.Add(d)
	for f.step(end) {
	}
}
