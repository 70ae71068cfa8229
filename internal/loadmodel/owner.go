package loadmodel

import (
	"fmt"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/admission"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Policy is a way to limit the load on backend servers.
type Policy uint8

// The policies that are compared.
const (
	IndependentLimits Policy = iota // each VM applies the whole limit on its own
	DividedLimits                   // each VM applies its part of the limit, at least one
	LearntLimits                    // each VM learns its limit from shed replies (AIMD)
	OwnerPerServer
	OwnerPerKeyNoHedges
	OwnerPerKeyFromEnqueue
	OwnerPerKeyFromDispatch
	OwnerPerKey // as in production: hedges from dispatch, at a percentile that the budget allows
)

var policyNames = [...]string{
	"(a) independent limits", "(b) divided limits", "(c) learnt limits", "(d) owner per server",
	"(e) owner per key, no hedges", "(e) hedges from enqueue", "(e) hedges from dispatch", "(e) hedges within budget",
}

// String returns the name of the policy in the table.
func (p Policy) String() string { return policyNames[p] }

// Policies returns all policies in the order of the table.
func Policies() []Policy {
	return []Policy{IndependentLimits, DividedLimits, LearntLimits, OwnerPerServer,
		OwnerPerKeyNoHedges, OwnerPerKeyFromEnqueue, OwnerPerKeyFromDispatch, OwnerPerKey}
}

// Run simulates a deployment with one policy and returns the measurements.
func Run(s Setup, p Policy) Result {
	m := newSim(s, p == LearntLimits)
	switch p {
	case IndependentLimits:
		return m.run(newPerVM(m, s.Slots, false))
	case DividedLimits:
		return m.run(newPerVM(m, max(1, s.Slots/s.EntryVMs), false))
	case LearntLimits:
		return m.run(newPerVM(m, s.Slots, true))
	case OwnerPerServer:
		return m.run(newPerServer(m))
	case OwnerPerKeyNoHedges:
		return m.run(newPerKey(m, admission.HedgeWithinBudget, 0))
	case OwnerPerKeyFromEnqueue:
		return m.run(newPerKey(m, admission.HedgeFromEnqueue, admission.DefaultHedgeBudget))
	case OwnerPerKeyFromDispatch:
		return m.run(newPerKey(m, admission.HedgeFromDispatch, admission.DefaultHedgeBudget))
	}
	return m.run(newPerKey(m, admission.HedgeWithinBudget, admission.DefaultHedgeBudget))
}

// queryTimeout is longer than any latency in the model, so that no query times out.
const queryTimeout = 20 * time.Second

var modelRoute = model.Route{Customer: "customer", Route: "route"}

func keyOf(shard int) model.ShardKey {
	return model.ShardKey{Route: modelRoute, Version: "v1", Shard: model.ShardID(fmt.Sprintf("%03d", shard))}
}

// perKey runs one admission.Owner, the real implementation, on each VM.
type perKey struct {
	sim       *simulation
	owners    []*ownerVM
	backends  map[model.BackendServerID]*backend
	shards    map[model.ShardID]int
	callbacks []func(int, bool)
	sent      int
}

type ownerVM struct {
	perKey *perKey
	index  int
	owner  *admission.Owner
	jobs   map[model.AttemptID]*job
	wakeAt model.Time
}

func newPerKey(m *simulation, hedging admission.Hedging, budget float64) *perKey {
	d := &perKey{sim: m, backends: map[model.BackendServerID]*backend{}, shards: map[model.ShardID]int{}}
	limits := model.Limits{Slots: m.setup.Slots, Connections: m.setup.Slots, ColdSlots: 1}
	version := model.VersionConfig{ID: "v1", Epoch: 1, Limits: limits}
	for i, backends := range m.servers {
		shard := model.ShardConfig{ID: keyOf(i).Shard}
		d.shards[shard.ID] = i
		for j, b := range backends {
			id := model.BackendServerID(fmt.Sprintf("%03d-%d", i, j))
			d.backends[id] = b
			shard.Replicas = append(shard.Replicas, model.BackendServer{ID: id, Zone: "a"})
		}
		version.Shards = append(version.Shards, shard)
	}
	route := model.RouteConfig{
		ID:              modelRoute.Route,
		HedgePercentile: admission.DefaultHedgePercentile,
		HedgeBudget:     budget,
		Versions:        []model.VersionConfig{version},
	}
	template := &model.Template{Customer: modelRoute.Customer, Routes: []model.RouteConfig{route}}
	config := &model.ConfigView{Templates: map[model.CustomerID]*model.Template{modelRoute.Customer: template}}
	for i := range m.setup.EntryVMs {
		vm := &ownerVM{
			perKey: d,
			index:  i,
			owner:  admission.NewWithHedging(hedging),
			jobs:   map[model.AttemptID]*job{},
			wakeAt: model.Never,
		}
		d.owners = append(d.owners, vm)
		leases := map[model.ShardKey]model.Lease{}
		for s := i; s < m.setup.Shards; s += m.setup.EntryVMs {
			leases[keyOf(s)] = warmLease(&version.Shards[s], m.setup.Slots)
		}
		view := &model.View{Self: vm.name(), Boot: 1, Config: config, Leases: leases}
		vm.handle(func(out *effect.List) { vm.owner.View(view, m.now, out) })
	}
	return d
}

// warmLease returns a lease from a previous owner that had already warmed up all servers to their
// full slots.
func warmLease(shard *model.ShardConfig, slots int) model.Lease {
	lease := model.Lease{Until: model.Never, Term: 1, Clean: true}
	for _, b := range shard.Replicas {
		lease.Servers = append(lease.Servers, model.ServerState{Server: b.ID, Boot: 1, Limit: slots})
	}
	return lease
}

func (d *perKey) attempts() int { return d.sent }

func (d *perKey) query(entry int, done func(int, bool)) {
	d.callbacks = append(d.callbacks, done)
	for _, vm := range d.owners {
		var subs []model.SubRequest
		for s := vm.index; s < d.sim.setup.Shards; s += len(d.owners) {
			subs = append(subs, model.SubRequest{
				Query:  model.QueryID(len(d.callbacks) - 1),
				Entry:  d.owners[entry].name(),
				Key:    keyOf(s),
				Epoch:  1,
				Owner:  model.Owner{VM: vm.name(), Boot: 1},
				Budget: queryTimeout,
			})
		}
		d.sim.after(d.sim.hopDelay(entry, vm.index), func() {
			vm.handle(func(out *effect.List) {
				vm.owner.Requests(event.SubRequestsReceived{Requests: subs}, d.sim.now, out)
			})
		})
	}
}

func (vm *ownerVM) name() model.VM { return model.VM(fmt.Sprint(vm.index)) }

// handle passes one event to the owner, performs the effects and schedules the next wake-up.
func (vm *ownerVM) handle(f func(out *effect.List)) {
	var out effect.List
	f(&out)
	for _, e := range out.Take() {
		vm.perform(e)
	}
	m := vm.perKey.sim
	next := vm.owner.NextWake()
	if next == vm.wakeAt {
		return
	}
	vm.wakeAt = next
	if next == model.Never {
		return
	}
	m.at(next, func() {
		if vm.wakeAt != next {
			return
		}
		vm.wakeAt = model.Never
		vm.handle(func(out *effect.List) { vm.owner.Wake(m.now, out) })
	})
}

func (vm *ownerVM) perform(e effect.Effect) {
	d := vm.perKey
	switch e := e.(type) {
	case effect.StartAttempt:
		d.sent++
		id := e.Attempt
		vm.jobs[id] = d.backends[e.Server.ID].submit(func(bool) { vm.attemptDone(id, model.OutcomeOK) })
	case effect.CancelAttempt:
		if vm.jobs[e.Attempt].cancel() {
			d.sim.after(0, func() { vm.attemptDone(e.Attempt, model.OutcomeCancelled) })
		}
	case effect.SendSubReplies:
		var entry int
		fmt.Sscan(string(e.To), &entry)
		d.sim.after(d.sim.hopDelay(vm.index, entry), func() {
			for _, r := range e.Replies {
				d.callbacks[r.Query](d.shards[r.Key.Shard], r.Outcome == model.OutcomeOK)
			}
		})
	}
}

func (vm *ownerVM) attemptDone(id model.AttemptID, outcome model.OutcomeCode) {
	delete(vm.jobs, id)
	res := model.AttemptResult{Outcome: outcome, Boot: 1}
	vm.handle(func(out *effect.List) {
		vm.owner.AttemptDone(event.AttemptDone{Attempt: id, Result: res}, vm.perKey.sim.now, out)
	})
}
