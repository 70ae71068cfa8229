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

// randomEvent delivers one event of the kind that op selects.
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
		h.endAttempt(model.AttemptID(rng.IntN(50)+1_000_000), model.AttemptResult{})
	case 11:
		if rng.IntN(8) == 0 {
			h.now = h.now.Add(350 * time.Millisecond) // pause
		}
	case 12:
		if rng.IntN(8) == 0 {
			losePeer(h, "vm-c")
		}
	default:
		f.run(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

func randomRequests(h *harness, rng *rand.Rand, i int) {
	var subs []model.SubRequest
	for range 1 + rng.IntN(12) {
		s := h.newSearch(i)
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

// randomLease removes a lease, sets its end, or starts a new term. Real leases start a new term
// without a clean release only when no attempt of the old term can still run; here it may start
// earlier.
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

// randomStates returns server states, some of them missing or out of range.
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

// losePeer reports the connection to an entry daemon as lost.
func losePeer(h *harness, vm model.VM) {
	for _, t := range h.subs {
		t.withdrawn = t.withdrawn || t.sub.Entry == vm
	}
	h.run(func(out *effect.List) { h.owner.PeerLost(event.PeerLost{VM: vm}, h.now, out) })
}

// finish runs until all attempts have ended and checks that no request is left.
func finish(f *fleet) {
	f.run(10 * time.Second)
	f.h.checkReplied()
	if !f.h.owner.Idle() || len(f.h.running) > 0 {
		f.h.violations.add("not idle", "%d attempts", len(f.h.running))
	}
}

// TestRandomOrders guards against violated invariants in random event orders: too many attempts on
// a server, two runs of a submit, two replies, or a refusal of a request that may have run.
func TestRandomOrders(t *testing.T) {
	is := is.New(t)
	var all violations
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
		for name, n := range h.violations.count {
			all.add(name, "seed %d: %s", seed, h.violations.first[name])
			all.count[name] += n - 1
		}
	}
	t.Logf("%d attempts", starts)
	is.True(starts > 10_000)
	if len(all.count) > 0 {
		t.Fatal(all.String())
	}
}

// TestSameEventsSameEffects guards against effects that depend on map order, which would break
// the replay of recorded traces.
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

// FuzzEvents searches for event sequences that violate an invariant or cause a panic.
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
		if len(fl.h.violations.count) > 0 {
			t.Fatal(fl.h.violations.String())
		}
	})
}
