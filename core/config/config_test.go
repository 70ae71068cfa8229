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
	spreadLimit = 2 * time.Second // time for an accepted write to be in force on all daemons
	faultSeeds  = 100
	settleAfter = 20 * time.Second // time for overrides, late writes and read-backs to end
)

// recordReply records the reply to a command and runs the checks for its result code.
func (d *daemon) recordReply(e effect.ReplyOperator) {
	s := d.sim
	if _, ok := s.replies[e.Command]; ok {
		s.violated("command %d was answered twice", e.Command)
	}
	r := reply{CommandResult: e.Result}
	switch r.Code {
	case effect.CommandOK:
		d.checkAccepted(e.Command)
	case effect.CommandOverride:
		for _, o := range d.cache.Overrides() {
			if overrideMark(o) == commandMark(e.Command) {
				r.override = o
			}
		}
		if r.override.Clock == 0 {
			s.violated("override of command %d is not in force at its answer", e.Command)
		}
	}
	s.replies[e.Command] = r
}

func overrideMark(o event.Override) string {
	return contentMark(&model.Object{Zone: o.Zone, Automation: o.Pause})
}

// checkAccepted checks that an accepted write is in the store now and, after spreadLimit, is
// in force on every daemon that was reachable all that time.
func (d *daemon) checkAccepted(id uint64) {
	s := d.sim
	at, boot := s.now, d.boot
	version, ok := s.writtenVersions[commandMark(id)]
	if !ok {
		s.violated("command %d was answered ok but is not in the store", id)
		return
	}
	key := s.keyOfVersion[version]
	s.after(spreadLimit, func() {
		if d.boot != boot || !d.running || d.partitionedUntil > at {
			return
		}
		for _, o := range s.daemons {
			reachable := o.running && o.started <= at && o.partitionedUntil <= at
			if reachable && o.versions[key] < version {
				s.violated("%s of command %d: %s has version %d, not %d", key, id, o.vm, o.versions[key], version)
			}
		}
	})
}

// checkSettled checks the final state: no override is left, all caches equal the store, and
// every reply is correct.
func (s *simulation) checkSettled() {
	for _, d := range s.daemons {
		if n := len(d.cache.Overrides()); n > 0 {
			s.violated("%s still has %d overrides", d.vm, n)
		}
		for key, o := range s.store.objects {
			if got, _ := d.cache.Get(key); got.Version != o.Version {
				s.violated("%s has version %d of %s, the store %d", d.vm, got.Version, key, o.Version)
			}
		}
	}
	for i, from := range s.commands {
		s.checkReply(uint64(i+1), from)
	}
}

func (s *simulation) checkReply(id uint64, from issuedCommand) {
	r, answered := s.replies[id]
	_, written := s.writtenVersions[commandMark(id)]
	switch {
	case !answered:
		if from.daemon.boot == from.boot {
			s.violated("command %d was not answered", id)
		}
	case r.Code == effect.CommandConflict || r.Code == effect.CommandUnavailable || r.Code == effect.CommandInvalid:
		if written {
			s.violated("command %d was answered %q but was written", id, r.Code)
		}
	case r.Code == effect.CommandOverride:
		kept := s.store.objects[r.override.Key].Version > r.override.Base
		if !kept && from.daemon.boot == from.boot {
			s.violated("override of command %d was neither written to the store nor superseded by a newer version", id)
		}
	}
}

// randomAction issues a command or two racing ones, or injects a fault.
func (s *simulation) randomAction() {
	d := s.daemons[s.rng.IntN(len(s.daemons))]
	other := s.daemons[s.rng.IntN(len(s.daemons))]
	zone := model.AvailabilityZone(fmt.Sprintf("z%d", s.rng.IntN(3)))
	customer := model.CustomerID(fmt.Sprintf("customer%d", s.rng.IntN(3)))
	switch n := s.rng.IntN(20); {
	case !d.running || !other.running:
	case n < 5:
		d.setZone(zone, s.withProbability(0.6))
	case n < 8:
		d.setZone(zone, true)
		other.setZone(zone, s.withProbability(0.5))
	case n < 11:
		d.setPause(s.withProbability(0.6), time.Time{})
	case n < 14:
		d.apply(customer)
	case n < 16:
		d.apply(customer)
		other.apply(customer)
	case n < 18:
		s.store.mode = storeMode(s.rng.IntN(3))
	case n < 19:
		d.partitionedUntil = s.now.Add(s.randomDuration(500*time.Millisecond, 4*time.Second))
	default:
		d.stop()
		s.after(s.randomDuration(100*time.Millisecond, 2*time.Second), d.start)
	}
}

// Guards against objects that revert to an older version, accepted writes that do not reach
// every daemon, wrong replies to operators, and overrides that diverge, while operators race
// and all faults occur.
func TestGuaranteesUnderFaults(t *testing.T) {
	codes := make(map[effect.CommandCode]int)
	failed := 0
	for seed := range uint64(faultSeeds) {
		s := newSimulation(seed, groupSize, allFaults)
		s.run(2 * time.Second)
		for range 60 {
			s.randomAction()
			s.run(s.randomDuration(0, 600*time.Millisecond))
		}
		s.store.mode = storeUp
		s.faults = faults{heartbeatLost: allFaults.heartbeatLost, pullLost: allFaults.pullLost}
		s.run(settleAfter)
		s.checkSettled()
		for _, r := range s.replies {
			codes[r.Code]++
		}
		if len(s.violations) > 0 {
			failed++
			t.Errorf("seed %d: %s", seed, s.violations[0])
		}
	}
	t.Logf("answers: %v; seeds failed: %d of %d", codes, failed, faultSeeds)
}

// Guards against accepting two writes that replace the same version, and against reporting
// success to the losing operator after a lost reply.
func TestExactlyOneRacerWins(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(100) {
		s := newSimulation(seed, groupSize, faults{heartbeatLost: 0.2, replyLost: 0.4})
		s.run(2 * time.Second)
		a, b := s.daemons[0].setZone("z0", true), s.daemons[7].setZone("z0", false)
		s.run(6 * time.Second)
		got := map[effect.CommandCode]int{}
		got[s.replies[a].Code]++
		got[s.replies[b].Code]++
		is.Equal(got, map[effect.CommandCode]int{effect.CommandOK: 1, effect.CommandConflict: 1})
		winner, out := b, false
		if s.replies[a].Code == effect.CommandOK {
			winner, out = a, true
		}
		is.Equal(contentMark(ptr(s.store.objects[zones.Key("z0")])), commandMark(winner))
		for _, d := range s.daemons {
			is.Equal(zones.Out(d.cache)["z0"], out) // every daemon has the winner's state
		}
	}
}

func ptr[T any](v T) *T { return &v }

// Guards against daemons that disagree after two operators created overrides, and against an
// override that is applied again after a newer version has superseded it.
func TestOverridesConverge(t *testing.T) {
	for _, mode := range []storeMode{storeRefuses, storeHangs} {
		for seed := range uint64(30) {
			is := is.New(t)
			s := newSimulation(seed, groupSize, allFaults)
			s.run(2 * time.Second)
			s.store.mode = mode
			s.run(time.Second)
			a, b := s.daemons[1].setZone("z0", true), s.daemons[6].setZone("z0", true)
			s.run(writeTimeout + spreadLimit)
			is.Equal(s.replies[a].Code, effect.CommandOverride)
			is.Equal(s.replies[b].Code, effect.CommandOverride)
			for _, d := range s.daemons {
				is.True(zones.Out(d.cache)["z0"])
				is.Equal(d.cache.Overrides(), s.daemons[0].cache.Overrides())
			}
			s.store.mode, s.faults = storeUp, faults{heartbeatLost: 0.2}
			s.run(5 * time.Second)
			is.True(s.store.objects[zones.Key("z0")].Zone.Out) // written back
			stale := event.Heartbeat{From: "vm03", Overrides: []event.Override{s.replies[a].override, s.replies[b].override}}
			in := s.daemons[4].setZone("z0", false)
			s.run(spreadLimit)
			is.Equal(s.replies[in].Code, effect.CommandOK)
			for _, d := range s.daemons {
				d.step(func(out *effect.List) { d.cache.Heartbeat(&stale, s.now, out) })
				is.Equal(len(d.cache.Overrides()), 0) // a late heartbeat does not restore the overrides
				is.True(!zones.Out(d.cache)["z0"])
			}
			is.Equal(s.violations, nil)
		}
	}
}

// Guards against a restriction that waits for an unreachable store, and against a command that
// lifts a restriction without confirmation by the store.
func TestOutageAllowsOnlyRestrictions(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, groupSize, faults{})
	s.run(2 * time.Second)
	s.store.mode = storeRefuses
	s.run(100 * time.Millisecond)
	d := s.daemons[3]
	until := s.wallTime().Add(10 * time.Minute)
	want := map[uint64]effect.CommandCode{
		d.setZone("z0", true):                                     effect.CommandOverride,
		d.setZone("z1", false):                                    effect.CommandUnavailable,
		d.apply("haugland"):                                       effect.CommandUnavailable,
		s.daemons[5].setPause(false, time.Time{}):                 effect.CommandUnavailable,
		d.setPause(true, until):                                   effect.CommandOverride,
		d.setPause(true, s.wallTime()):                            effect.CommandInvalid,
		d.setZone("", true):                                       effect.CommandInvalid,
		s.daemons[4].setPause(true, s.wallTime().Add(-time.Hour)): effect.CommandInvalid,
	}
	s.run(time.Second)
	for id, code := range want {
		is.Equal(s.replies[id].Code, code)
	}
	check := func() {
		for _, d := range s.daemons {
			is.True(zones.Out(d.cache)["z0"])
			is.True(automation.State(d.cache, s.wallTime()).Paused)
			is.True(!automation.State(d.cache, until).Paused) // the pause ends at its end time
		}
	}
	check()
	s.store.mode = storeUp
	s.run(4 * time.Second)
	check()
	s.checkSettled()
	is.Equal(s.violations, nil)
}

// Guards against a VM that has no configuration because it started during a store outage.
func TestStartDuringOutage(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		s := newSimulation(seed, groupSize, allFaults)
		for i := range 200 {
			o := template(i)
			o.Version = uint64(i + 1)
			s.store.objects[o.Key] = o
		}
		s.store.revision = 200
		restarted := s.daemons[s.rng.IntN(groupSize)]
		restarted.stop()
		s.run(4 * time.Second)
		s.store.mode = storeRefuses
		s.run(5 * time.Second)
		restarted.start()
		s.run(time.Second)
		is.Equal(len(restarted.cache.All(model.ObjectTemplate)), 200)
		for _, d := range s.daemons {
			is.Equal(d.cache.Digest(), restarted.cache.Digest())
		}
	}
}

// Guards against a load on the store that grows with the group, through polling, a third
// watch, or overrides that every daemon writes back.
func TestStoreCallsDoNotGrowWithGroup(t *testing.T) {
	const seconds = 6
	phases := []string{"quiet", "a write each second", "outage", "write-back"}
	calls := make(map[int][]float64)
	for _, n := range []int{8, 64} {
		s := newSimulation(1, n, faults{heartbeatLost: 0.05})
		s.run(3 * time.Second)
		for phase := range phases {
			s.store.calls = 0
			s.store.mode = storeUp
			if phase == 2 {
				s.store.mode = storeRefuses
			}
			for i := range seconds {
				if phase == 1 {
					s.daemons[s.rng.IntN(8)].apply("haugland")
				}
				if phase == 2 && i == 3 {
					s.daemons[5].setZone("z0", true)
				}
				s.run(time.Second)
			}
			calls[n] = append(calls[n], float64(s.store.calls)/seconds)
		}
		t.Logf("N=%d: calls/s %v in %q, maximum of open watches %d", n, calls[n], phases, s.store.maxWatches)
		if s.store.maxWatches > 2 {
			t.Errorf("N=%d: %d watches open at the same time", n, s.store.maxWatches)
		}
	}
	for i, phase := range phases {
		if calls[64][i] > calls[8][i]+0.5 {
			t.Errorf("%s: %v calls/s with 8 daemons, %v with 64", phase, calls[8][i], calls[64][i])
		}
	}
}
