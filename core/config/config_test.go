package config_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/automation"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/core/zones"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	groupSize   = 8
	inForce     = 2 * time.Second // an accepted write is in force everywhere after this time
	chaosSeeds  = 100
	settleAfter = 20 * time.Second // for overrides, late writes and read-backs to end
)

// replied records the answer to a command and checks what can be checked at once.
func (d *daemon) replied(e effect.ReplyOperator) {
	w := d.w
	if _, ok := w.replies[e.Command]; ok {
		w.breaks("command %d was answered twice", e.Command)
	}
	r := reply{CommandResult: e.Result}
	switch r.Code {
	case effect.CommandOK:
		d.checkAccepted(e.Command)
	case effect.CommandOverride:
		for _, o := range d.cache.Overrides() {
			if overrideMark(o) == markOf(e.Command) {
				r.override = o
			}
		}
		if r.override.Clock == 0 {
			w.breaks("override of command %d is not in force at its answer", e.Command)
		}
	}
	w.replies[e.Command] = r
}

func overrideMark(o event.Override) string {
	return mark(&model.Object{Zone: o.Zone, Automation: o.Pause})
}

// checkAccepted checks that an accepted write is in the store now and in force on every
// daemon that was reachable throughout the time allowed.
func (d *daemon) checkAccepted(id uint64) {
	w := d.w
	at, boot := w.now, d.boot
	version, ok := w.written[markOf(id)]
	if !ok {
		w.breaks("command %d was answered ok but is not in the store", id)
		return
	}
	key := w.keys[version]
	w.after(inForce, func() {
		if d.boot != boot || !d.alive || d.cutUntil > at {
			return
		}
		for _, o := range w.daemons {
			reachable := o.alive && o.started <= at && o.cutUntil <= at
			if reachable && o.seen[key] < version {
				w.breaks("%s of command %d: %s has version %d, not %d", key, id, o.vm, o.seen[key], version)
			}
		}
	})
}

// checkSettled checks the final state: no overrides, all caches equal to the store, and
// every answer true.
func (w *world) checkSettled() {
	for _, d := range w.daemons {
		if n := len(d.cache.Overrides()); n > 0 {
			w.breaks("%s still has %d overrides", d.vm, n)
		}
		for key, o := range w.store.objects {
			if got, _ := d.cache.Get(key); got.Version != o.Version {
				w.breaks("%s has version %d of %s, the store %d", d.vm, got.Version, key, o.Version)
			}
		}
	}
	for i, from := range w.issued {
		w.checkAnswer(uint64(i+1), from)
	}
}

func (w *world) checkAnswer(id uint64, from issue) {
	r, answered := w.replies[id]
	_, written := w.written[markOf(id)]
	switch {
	case !answered:
		if from.by.boot == from.boot {
			w.breaks("command %d was not answered", id)
		}
	case r.Code == effect.CommandConflict || r.Code == effect.CommandUnavailable || r.Code == effect.CommandInvalid:
		if written {
			w.breaks("command %d was answered %q but was written", id, r.Code)
		}
	case r.Code == effect.CommandOverride:
		kept := w.store.objects[r.override.Key].Version > r.override.Base
		if !kept && from.by.boot == from.boot {
			w.breaks("override of command %d was neither kept nor beaten by a newer version", id)
		}
	}
}

// act does one random thing: a command, a race, or a fault.
func (w *world) act() {
	d := w.daemons[w.rng.IntN(len(w.daemons))]
	other := w.daemons[w.rng.IntN(len(w.daemons))]
	zone := model.AvailabilityZone(fmt.Sprintf("z%d", w.rng.IntN(3)))
	customer := model.CustomerID(fmt.Sprintf("customer%d", w.rng.IntN(3)))
	switch n := w.rng.IntN(20); {
	case !d.alive || !other.alive:
	case n < 5:
		d.setZone(zone, w.chance(0.6))
	case n < 8:
		d.setZone(zone, true)
		other.setZone(zone, w.chance(0.5))
	case n < 11:
		d.setPause(w.chance(0.6), time.Time{})
	case n < 14:
		d.apply(customer)
	case n < 16:
		d.apply(customer)
		other.apply(customer)
	case n < 18:
		w.store.mode = storeMode(w.rng.IntN(3))
	case n < 19:
		d.cutUntil = w.now.Add(w.between(500*time.Millisecond, 4*time.Second))
	default:
		d.stop()
		w.after(w.between(100*time.Millisecond, 2*time.Second), d.start)
	}
}

// Guards against configuration that reverts, accepted writes that do not spread, answers
// that are untrue, and overrides that diverge, under racing operators and every fault.
func TestGuaranteesUnderFaults(t *testing.T) {
	codes := make(map[effect.CommandCode]int)
	failed := 0
	for seed := range uint64(chaosSeeds) {
		w := newWorld(seed, groupSize, rough)
		w.run(2 * time.Second)
		for range 60 {
			w.act()
			w.run(w.between(0, 600*time.Millisecond))
		}
		w.store.mode = storeUp
		w.faults = faults{heartbeatLost: rough.heartbeatLost, pullLost: rough.pullLost}
		w.run(settleAfter)
		w.checkSettled()
		for _, r := range w.replies {
			codes[r.Code]++
		}
		if len(w.broken) > 0 {
			failed++
			t.Errorf("seed %d: %s", seed, w.broken[0])
		}
	}
	t.Logf("answers: %v; seeds failed: %d of %d", codes, failed, chaosSeeds)
}

// Guards against two accepted writes from the same version, and against a loser that
// believes it has won because an answer was lost.
func TestExactlyOneRacerWins(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(100) {
		w := newWorld(seed, groupSize, faults{heartbeatLost: 0.2, answerLost: 0.4})
		w.run(2 * time.Second)
		a, b := w.daemons[0].setZone("z0", true), w.daemons[7].setZone("z0", false)
		w.run(6 * time.Second)
		got := map[effect.CommandCode]int{}
		got[w.replies[a].Code]++
		got[w.replies[b].Code]++
		is.Equal(got, map[effect.CommandCode]int{effect.CommandOK: 1, effect.CommandConflict: 1})
		winner, out := b, false
		if w.replies[a].Code == effect.CommandOK {
			winner, out = a, true
		}
		is.Equal(mark(ptr(w.store.objects[zones.Key("z0")])), markOf(winner))
		for _, d := range w.daemons {
			is.Equal(zones.Out(d.cache)["z0"], out) // every daemon follows the winner
		}
	}
}

func ptr[T any](v T) *T { return &v }

// Guards against overrides of two operators that leave daemons disagreeing, and against an
// override that comes back after a newer version has replaced it.
func TestOverridesConverge(t *testing.T) {
	for _, mode := range []storeMode{storeRefuses, storeHangs} {
		for seed := range uint64(30) {
			is := is.New(t)
			w := newWorld(seed, groupSize, rough)
			w.run(2 * time.Second)
			w.store.mode = mode
			w.run(time.Second)
			a, b := w.daemons[1].setZone("z0", true), w.daemons[6].setZone("z0", true)
			w.run(writeTimeout + inForce)
			is.Equal(w.replies[a].Code, effect.CommandOverride)
			is.Equal(w.replies[b].Code, effect.CommandOverride)
			for _, d := range w.daemons {
				is.True(zones.Out(d.cache)["z0"])
				is.Equal(d.cache.Overrides(), w.daemons[0].cache.Overrides())
			}
			w.store.mode, w.faults = storeUp, faults{heartbeatLost: 0.2}
			w.run(5 * time.Second)
			is.True(w.store.objects[zones.Key("z0")].Zone.Out) // written back
			stale := event.Heartbeat{From: "vm03", Overrides: []event.Override{w.replies[a].override, w.replies[b].override}}
			in := w.daemons[4].setZone("z0", false)
			w.run(inForce)
			is.Equal(w.replies[in].Code, effect.CommandOK)
			for _, d := range w.daemons {
				d.step(func(out *effect.List) { d.cache.Heartbeat(&stale, w.now, out) })
				is.Equal(len(d.cache.Overrides()), 0) // a late heartbeat revives nothing
				is.True(!zones.Out(d.cache)["z0"])
			}
			is.Equal(w.broken, nil)
		}
	}
}

// Guards against a restriction that waits for the store, and against a command that gives
// load back without the store's word.
func TestOutageAllowsOnlyRestrictions(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, groupSize, faults{})
	w.run(2 * time.Second)
	w.store.mode = storeRefuses
	w.run(100 * time.Millisecond)
	d := w.daemons[3]
	until := w.wall().Add(10 * time.Minute)
	want := map[uint64]effect.CommandCode{
		d.setZone("z0", true):                                 effect.CommandOverride,
		d.setZone("z1", false):                                effect.CommandUnavailable,
		d.apply("haugland"):                                   effect.CommandUnavailable,
		w.daemons[5].setPause(false, time.Time{}):             effect.CommandUnavailable,
		d.setPause(true, until):                               effect.CommandOverride,
		d.setPause(true, w.wall()):                            effect.CommandInvalid,
		d.setZone("", true):                                   effect.CommandInvalid,
		w.daemons[4].setPause(true, w.wall().Add(-time.Hour)): effect.CommandInvalid,
	}
	w.run(time.Second)
	for id, code := range want {
		is.Equal(w.replies[id].Code, code)
	}
	check := func() {
		for _, d := range w.daemons {
			is.True(zones.Out(d.cache)["z0"])
			is.True(automation.State(d.cache, w.wall()).Paused)
			is.True(!automation.State(d.cache, until).Paused) // the end time ends the pause
		}
	}
	check()
	w.store.mode = storeUp
	w.run(4 * time.Second)
	check()
	w.checkSettled()
	is.Equal(w.broken, nil)
}

// Guards against a VM that serves without configuration because it started during an outage.
func TestStartDuringOutage(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		w := newWorld(seed, groupSize, rough)
		for i := range 200 {
			o := template(i)
			o.Version = uint64(i + 1)
			w.store.objects[o.Key] = o
		}
		w.store.revision = 200
		late := w.daemons[w.rng.IntN(groupSize)]
		late.stop()
		w.run(4 * time.Second)
		w.store.mode = storeRefuses
		w.run(5 * time.Second)
		late.start()
		w.run(time.Second)
		is.Equal(len(late.cache.All(model.ObjectTemplate)), 200)
		for _, d := range w.daemons {
			is.Equal(d.cache.Digest(), late.cache.Digest())
		}
	}
}

// Guards against a load on the store that grows with the group: polling, a third watch, or
// overrides that every daemon writes back.
func TestStoreCallsDoNotGrowWithGroup(t *testing.T) {
	const seconds = 6
	phases := []string{"quiet", "a write each second", "outage", "write-back"}
	calls := make(map[int][]float64)
	for _, n := range []int{8, 64} {
		w := newWorld(1, n, faults{heartbeatLost: 0.05})
		w.run(3 * time.Second)
		for phase := range phases {
			w.store.calls = 0
			w.store.mode = storeUp
			if phase == 2 {
				w.store.mode = storeRefuses
			}
			for i := range seconds {
				if phase == 1 {
					w.daemons[w.rng.IntN(8)].apply("haugland")
				}
				if phase == 2 && i == 3 {
					w.daemons[5].setZone("z0", true)
				}
				w.run(time.Second)
			}
			calls[n] = append(calls[n], float64(w.store.calls)/seconds)
		}
		t.Logf("N=%d: calls/s %v in %q, most watches %d", n, calls[n], phases, w.store.watches)
		if w.store.watches > 2 {
			t.Errorf("N=%d: %d watches at once", n, w.store.watches)
		}
	}
	for i, phase := range phases {
		if calls[64][i] > calls[8][i]+0.5 {
			t.Errorf("%s: %v calls/s with 8 daemons, %v with 64", phase, calls[8][i], calls[64][i])
		}
	}
}
