package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const propertyKeys = 3

// randomEvent feeds one event chosen by op.
func randomEvent(f *fleet, op int) {
	h, rng := f.h, f.rng
	i := rng.IntN(propertyKeys)
	switch op % 16 {
	case 0, 1, 2, 3, 4:
		randomRequests(h, rng, i)
	case 5:
		if h.query > 0 {
			h.cancel(model.QueryID(1 + rng.IntN(int(h.query))))
		}
	case 6:
		f.restart(serverOf(i, rng.IntN(2)))
	case 7:
		h.setView(changeView(h.view, func(v *model.View, _ *model.VersionConfig) {
			zone := []model.AvailabilityZone{zoneA, zoneB}[rng.IntN(2)]
			v.Config.ZonesOut[zone] = !v.Config.ZonesOut[zone]
		}))
	case 8:
		h.setView(changeView(h.view, func(v *model.View, _ *model.VersionConfig) { randomLease(h, v, rng, i) }))
	case 9:
		if rng.IntN(4) == 0 {
			h.drain(i)
		}
	case 10:
		h.done(model.AttemptID(rng.IntN(50)+1_000_000), model.AttemptResult{})
	case 11:
		if rng.IntN(8) == 0 {
			h.now = h.now.Add(350 * time.Millisecond) // pause
		}
	case 12:
		if rng.IntN(8) == 0 {
			lost(h, "vm-c")
		}
	default:
		f.run(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

func randomRequests(h *harness, rng *rand.Rand, i int) {
	var subs []model.SubRequest
	for range 1 + rng.IntN(12) {
		s := h.sub(i)
		s.Entry = []model.VM{"vm-b", "vm-c"}[rng.IntN(2)]
		s.Class = model.Class(rng.IntN(3))
		s.Budget = time.Duration(1+rng.IntN(200)) * time.Millisecond
		if rng.IntN(4) == 0 {
			s.Kind = model.KindSubmit
			s.Dedupe = fmt.Sprint("d", rng.IntN(2000))
			s.Repeat = rng.IntN(4) == 0
		}
		if rng.IntN(40) == 0 {
			s.Epoch++
		}
		if rng.IntN(40) == 0 {
			s.Owner.Boot++
		}
		subs = append(subs, s)
	}
	h.send(subs...)
}

// randomLease ends a lease, limits it, or starts a new term. As for the real leases, a new
// term without release starts only when no attempt of the old one can still run.
func randomLease(h *harness, v *model.View, rng *rand.Rand, i int) {
	l := v.Leases[keyOf(i)]
	switch rng.IntN(4) {
	case 0:
		delete(v.Leases, keyOf(i))
		return
	case 1:
		l.Until = h.now.Add(50 * time.Millisecond)
	default:
		l = model.Lease{Until: model.Never, Term: uint64(h.now), Clean: rng.IntN(2) == 0}
		l.Servers = randomStates(rng, i)
	}
	v.Leases[keyOf(i)] = l
}

// randomStates returns states of which some are missing or out of range.
func randomStates(rng *rand.Rand, i int) []model.ServerState {
	var states []model.ServerState
	for replica := range 2 {
		if rng.IntN(4) == 0 {
			continue
		}
		states = append(states, model.ServerState{
			Server:    serverOf(i, replica),
			Boot:      model.Boot(rng.IntN(3)),
			Limit:     rng.IntN(limits.Slots+3) - 1,
			Successes: rng.IntN(10) - 1,
		})
	}
	return states
}

func lost(h *harness, vm model.VM) {
	for _, t := range h.subs {
		t.withdrawn = t.withdrawn || t.sub.Entry == vm
	}
	h.do(func(out *effect.List) { h.owner.PeerLost(event.PeerLost{VM: vm}, h.now, out) })
}

// finish lets everything end and checks that nothing is left over.
func finish(f *fleet) {
	f.run(10 * time.Second)
	f.h.checkReplied()
	if !f.h.owner.Idle() || len(f.h.running) > 0 {
		f.h.faults.add("not idle", "%d attempts", len(f.h.running))
	}
}

// TestRandomOrders guards slots, at-most-once, single replies and the truth of refusals
// over random event orders.
func TestRandomOrders(t *testing.T) {
	is := is.New(t)
	var all faults
	starts := 0
	for seed := range uint64(100) {
		h := newHarness(newView(propertyKeys))
		f := newFleet(h, rand.New(rand.NewPCG(seed, 1)))
		f.faulty = true
		for range 300 {
			randomEvent(f, f.rng.IntN(16))
		}
		finish(f)
		starts += len(h.started)
		for name, n := range h.faults.count {
			all.add(name, "seed %d: %s", seed, h.faults.first[name])
			all.count[name] += n - 1
		}
	}
	t.Logf("%d attempts", starts)
	is.True(starts > 10_000)
	if len(all.count) > 0 {
		t.Fatal(all.String())
	}
}

// TestSameEventsSameEffects guards the replay of recorded runs: no effect may depend on
// map order.
func TestSameEventsSameEffects(t *testing.T) {
	run := func() string {
		f := newFleet(newHarness(newView(propertyKeys)), rand.New(rand.NewPCG(5, 5)))
		f.faulty = true
		for range 400 {
			randomEvent(f, f.rng.IntN(16))
		}
		finish(f)
		return fmt.Sprint(f.h.started, f.h.counts, f.h.drained)
	}
	is.New(t).Equal(run(), run())
}

// FuzzEvents looks for event sequences that break an invariant or panic.
func FuzzEvents(f *testing.F) {
	f.Add(uint64(1), []byte{0, 13, 6, 0, 7, 14, 8, 15})
	f.Add(uint64(2), []byte{0, 0, 0, 9, 13, 8, 0, 11, 0, 13})
	f.Fuzz(func(t *testing.T, seed uint64, ops []byte) {
		fl := newFleet(newHarness(newView(propertyKeys)), rand.New(rand.NewPCG(seed, 2)))
		fl.faulty = true
		for _, op := range ops[:min(len(ops), 500)] {
			randomEvent(fl, int(op))
		}
		finish(fl)
		if len(fl.h.faults.count) > 0 {
			t.Fatal(fl.h.faults.String())
		}
	})
}
