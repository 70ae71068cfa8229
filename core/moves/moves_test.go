package moves

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// TestGoodVersionsFinish guards against moves to good versions that are rolled back by
// chance or miss the deadline.
func TestGoodVersionsFinish(t *testing.T) {
	is := is.New(t)
	moves := seedCount(1000)
	sims := runSeeds(moves, func(seed uint64) *sim {
		s := newSim(simConfig{seed: seed, step: 2 * time.Second})
		s.runUntil(simLength, s.ended)
		return s
	})
	rolledBack := countPhase(sims, model.MoveTakenBack)
	inTime := 0
	for _, s := range sims[:moves/10] {
		if m := s.move(simMove); m.Phase == model.MoveFinished && m.Ended.Before(m.Deadline) {
			inTime++
		}
	}
	t.Logf("taken back: %d of %d; finished by the deadline: %d of the first %d", rolledBack, moves, inTime, moves/10)
	is.True(rolledBack <= moves/100) // at most 1% false rollbacks
	is.True(100*inTime >= 99*moves/10)
}

// TestBadVersionsAreRolledBack guards against bad versions that are not rolled back or that
// receive too much traffic, and against VMs that still send queries to a version after
// another VM has withheld it.
func TestBadVersionsAreRolledBack(t *testing.T) {
	seeds := seedCount(100)
	midStage3 := model.Time(142 * time.Second) // stage 3 of 5 runs from 114 s to 171 s
	tests := []struct {
		name      string
		routes    int
		worse     func(q simQuery) degradation
		maxShare  float64       // maximum share of queries to the bad version after onset
		maxToZero time.Duration // maximum time from onset to share 0 on all VMs
	}{
		{"fails at once", 1, func(simQuery) degradation { return degradation{failures: 0.19} }, 0.02, 90 * time.Second},
		{"p50 doubled", 1, func(simQuery) degradation { return degradation{factor: 2} }, 0.02, 60 * time.Second},
		{"slow tail", 1, func(simQuery) degradation { return degradation{tail: 0.05} }, 0.15, 200 * time.Second},
		{"late", 1, func(q simQuery) degradation {
			if q.at < midStage3 {
				return degradation{}
			}
			return degradation{failures: 0.1, factor: 1.5}
		}, 0.05, 20 * time.Second},
		{"under load", 1, func(q simQuery) degradation {
			if q.share < 0.25 {
				return degradation{}
			}
			return degradation{factor: 2}
		}, 0.05, 20 * time.Second},
		{"one route of two", 2, func(q simQuery) degradation {
			if q.route == 0 {
				return degradation{}
			}
			return degradation{failures: 0.19}
		}, 0.02, 90 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sims := runSeeds(seeds, func(seed uint64) *sim {
				s := newSim(simConfig{seed: seed, routes: tt.routes, degrade: tt.worse})
				s.runUntil(simLength, s.ended)
				return s
			})
			rolledBack := countPhase(sims, model.MoveTakenBack)
			t.Logf("taken back: %d of %d", rolledBack, seeds)
			logMedianAndMax(t, "share of queries before onset", sims, func(s *sim) float64 { return float64(s.newQueriesBefore) / float64(s.totalQueries) })
			_, after := logMedianAndMax(t, "share of queries after onset", sims, func(s *sim) float64 { return float64(s.newQueries-s.newQueriesBefore) / float64(s.totalQueries) })
			_, zero := logMedianAndMax(t, "seconds from onset to share 0 everywhere", sims, func(s *sim) float64 { return min(s.allZero, model.Time(simLength)).Sub(s.onset).Seconds() })
			_, lag := logMedianAndMax(t, "seconds from the first withhold to the last query", sims, func(s *sim) float64 {
				if s.firstZero == never {
					return simLength.Seconds()
				}
				return max(0, s.lastNewQuery.Sub(s.firstZero).Seconds())
			})
			is.True(100*rolledBack >= 99*seeds)
			is.True(after <= tt.maxShare)
			is.True(zero <= tt.maxToZero.Seconds())
			is.True(lag <= 1)
		})
	}
}

// TestBadVersionStopsWhileStoreIsDown guards against traffic to a bad version that continues
// until the store answers again.
func TestBadVersionStopsWhileStoreIsDown(t *testing.T) {
	is := is.New(t)
	s := newSim(simConfig{seed: 1, degrade: func(simQuery) degradation { return degradation{failures: 0.5} }})
	s.at(model.Time(time.Second), func() { s.store.down = true })
	s.runUntil(2*time.Minute, nil)
	is.Equal(s.move(simMove).Phase, model.MoveRunning) // nothing can be stored
	is.True(s.allZero < model.Time(2*time.Minute))     // but all VMs have stopped sending queries
	is.True(s.lastNewQuery.Sub(s.firstZero) <= time.Second)
	for _, v := range s.vms {
		is.True(v.cache.writes <= 121) // no write at every tick
	}
	s.store.down = false
	s.runUntil(2*time.Minute+3*time.Second, nil)
	is.Equal(s.move(simMove).Phase, model.MoveTakenBack)
	is.Equal(len(s.store.phases(simMove)), 1)
	is.True(strings.Contains(s.move(simMove).Reason, "failed")) // the reason names the measure
}

// TestFinishReplyLost guards against a finished move that is written twice or gets another
// final phase after the store's reply to the write was lost.
func TestFinishReplyLost(t *testing.T) {
	is := is.New(t)
	s := newSim(simConfig{seed: 3, step: time.Second})
	s.at(model.Time(280*time.Second), func() { s.store.lostReplies = 2 })
	s.runUntil(simLength+time.Minute, nil)
	is.Equal(s.store.lostReplies, 1)
	is.Equal(s.store.phases(simMove), []model.MovePhase{model.MoveFinished})
	is.Equal(s.vms[3].shares[model.Route{Customer: simCustomer, Route: simRoute(0)}].Share, 1.0)
}

// TestPause guards against moves that advance during a pause or through several stages right
// after it, against a bad version that gets traffic during a pause, and against overdue
// moves that are not rolled back.
func TestPause(t *testing.T) {
	t.Run("no backlog", func(t *testing.T) {
		is := is.New(t)
		s := newSim(simConfig{seed: 4})
		s.at(model.Time(80*time.Second), func() { s.paused = true })
		s.at(model.Time(200*time.Second), func() { s.paused = false })
		s.runUntil(200*time.Second, nil)
		is.Equal(s.move(simMove).Stage, 1) // the stage at the start of the pause
		s.runUntil(simLength, s.ended)
		is.Equal(s.move(simMove).Phase, model.MoveFinished)
		stages, at := s.store.stages(simMove)
		is.Equal(stages, []int{0, 1, 2, 3, 4})
		for i := 2; i < len(at); i++ { // four stages share the remaining 85 s
			is.True(at[i]-max(at[i-1], 200*time.Second) >= 20*time.Second)
		}
	})
	t.Run("resume seen only in the store", func(t *testing.T) {
		is := is.New(t)
		s := newSim(simConfig{seed: 4})
		s.at(model.Time(80*time.Second), func() { s.paused = true })
		s.at(model.Time(200*time.Second), func() {
			s.paused = false
			s.store.put(model.Object{
				Key:        model.ObjectKey{Kind: model.ObjectAutomation, Name: "global"},
				Automation: &model.AutomationState{At: s.wall()},
			})
			for i := range s.vms {
				s.restart(i)
			}
		})
		s.runUntil(219*time.Second, nil)
		is.Equal(s.move(simMove).Stage, 1)
	})
	t.Run("bad version", func(t *testing.T) {
		is := is.New(t)
		s := newSim(simConfig{seed: 5, degrade: func(simQuery) degradation { return degradation{failures: 0.5} }})
		s.at(model.Time(2*time.Second), func() { s.paused = true })
		s.runUntil(2*time.Minute, nil)
		m := s.move(simMove)
		is.Equal(m.Phase, model.MoveRunning)
		is.True(m.Withheld)
		is.True(strings.Contains(m.Reason, "failed"))
		is.True(s.allZero != never)
		is.True(s.logged("withheld"))
		is.True(s.vms[2].ctl.Reports()[0].Withheld)
		for i := range s.vms {
			s.restart(i) // the stored mark is kept when every VM restarts
		}
		s.newQueries = 0
		s.runUntil(3*time.Minute, nil)
		is.Equal(s.newQueries, 0)
		s.paused = false
		s.runUntil(3*time.Minute+2*time.Second, nil)
		is.Equal(s.move(simMove).Phase, model.MoveTakenBack)
	})
	t.Run("deadline passes", func(t *testing.T) {
		is := is.New(t)
		s := newSim(simConfig{seed: 6})
		s.at(model.Time(150*time.Second), func() { s.paused = true })
		s.runUntil(simLength+time.Minute, nil)
		is.Equal(s.move(simMove).Phase, model.MoveRunning)
		is.Equal(s.vms[0].shares[model.Route{Customer: simCustomer, Route: simRoute(0)}].Share, 0.25)
		is.True(s.vms[0].ctl.Reports()[0].Overdue)
		is.True(s.logged("overdue"))
		s.paused = false
		s.runUntil(simLength+time.Minute+2*time.Second, nil)
		is.Equal(s.move(simMove).Phase, model.MoveTakenBack)
		is.True(strings.Contains(s.move(simMove).Reason, "deadline"))
	})
	t.Run("operator takes back", func(t *testing.T) {
		is := is.New(t)
		s := newSim(simConfig{seed: 7})
		s.paused = true
		s.runUntil(10*time.Second, nil)
		s.takeBack(5, simMove)
		s.runUntil(11*time.Second, nil)
		is.Equal(s.move(simMove).Phase, model.MoveTakenBack)
		is.Equal(s.takeBack(5, simMove), effect.CommandConflict)
		is.Equal(s.takeBack(5, "other"), effect.CommandInvalid)
	})
}

// TestSeveralOwners guards against two final phases of a move when every VM considers itself
// the owner and replies of the store are lost. In a third of the runs, one half of the VMs
// does not receive the heartbeats of the other half.
func TestSeveralOwners(t *testing.T) {
	is := is.New(t)
	ends := make(map[model.MovePhase]int)
	sims := runSeeds(60, func(seed uint64) *sim {
		s := newSim(simConfig{seed: seed, length: time.Minute, rate: 800, degrade: func(q simQuery) degradation {
			return degradation{failures: 0.01 * float64(seed%7)}
		}})
		s.liveVMs = func(vm int) []model.VM { return []model.VM{s.vms[vm].id} }
		s.at(model.Time(45*time.Second), func() { s.store.lostReplies = int(seed % 8) })
		for i, v := range s.vms {
			v.partitionedFrom = func(to int) bool { return seed%3 == 0 && s.now > model.Time(20*time.Second) && (i < 4) != (to < 4) }
		}
		if seed%2 == 0 { // the operator's write is concurrent with the finish
			s.at(model.Time(49900*time.Millisecond).Add(time.Duration(s.rng.IntN(300))*time.Millisecond), func() { s.takeBack(3, simMove) })
		}
		s.runUntil(2*time.Minute, nil)
		return s
	})
	for _, s := range sims {
		phases := slices.Compact(s.store.phases(simMove))
		is.Equal(len(phases), 1) // one final phase, even if the object is written again later
		ends[phases[0]]++
		last := 0
		for _, o := range s.store.history {
			if o.Key == moveKey(simMove) {
				is.True(o.Move.Stage >= last && o.Move.Stage <= last+1)
				last = o.Move.Stage
			}
		}
	}
	t.Logf("ends: %v", ends)
	is.True(ends[model.MoveFinished] > 0 && ends[model.MoveTakenBack] > 0)
}

// TestTooLittleTraffic guards against a move that finishes without enough evidence, or that
// never ends.
func TestTooLittleTraffic(t *testing.T) {
	is := is.New(t)
	s := newSim(simConfig{seed: 8, rate: 4})
	s.runUntil(simLength, s.ended)
	m := s.move(simMove)
	is.Equal(m.Phase, model.MoveTakenBack)
	is.Equal(m.Ended.Sub(m.Start).Round(time.Second), 285*time.Second) // the reserve begins
	is.True(strings.Contains(m.Reason, "of 30 pairs"))
}

// TestRestarts guards against evidence that is lost when VMs restart one after the other, and
// against moves that do not finish because of it.
func TestRestarts(t *testing.T) {
	is := is.New(t)
	s := newSim(simConfig{seed: 9})
	for i := range 24 {
		s.at(model.Time(time.Duration(10+11*i)*time.Second), func() { s.restart(i % simVMs) })
	}
	s.runUntil(simLength, s.ended)
	m := s.move(simMove)
	is.Equal(m.Phase, model.MoveFinished)
	pairs := func(v *simVM) uint64 { return v.ctl.Reports()[0].Routes[0].Failures.Pairs }
	low, high := pairs(s.vms[0]), pairs(s.vms[0])
	for _, v := range s.vms {
		low, high = min(low, pairs(v)), max(high, pairs(v))
	}
	t.Logf("pairs known to each VM: %d to %d", low, high)
	is.True(high > 6000)
	is.True(float64(low) >= 0.98*float64(high))
}

// TestEvidenceCountsOnce guards against evidence that is counted twice when heartbeats are
// duplicated or reordered, and against evidence that is lost when its VM restarts.
func TestEvidenceCountsOnce(t *testing.T) {
	report := func(boot model.Boot, pairs uint64) event.Heartbeat {
		return event.Heartbeat{From: "vm-1", Boot: boot, Evidence: []model.MoveEvidence{{
			Move: simMove, Route: simRoute(0), VM: "vm-1", Boot: boot,
			Failures: model.PairCounts{Pairs: pairs, NewWorse: pairs / 10}, New: pairs, Old: 2 * pairs,
		}}}
	}
	tests := []struct {
		name     string
		received []event.Heartbeat
		pairs    uint64
	}{
		{"rising", []event.Heartbeat{report(1, 10), report(1, 30)}, 30},
		{"duplicated", []event.Heartbeat{report(1, 10), report(1, 10), report(1, 10)}, 10},
		{"reordered", []event.Heartbeat{report(1, 30), report(1, 10), report(1, 20)}, 30},
		{"new boot", []event.Heartbeat{report(1, 30), report(2, 10), report(2, 20)}, 50},
		{"old boot after new", []event.Heartbeat{report(1, 20), report(2, 10), report(1, 30), report(1, 30)}, 40},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(simConfig{rate: 1e-9})
			s.runUntil(500*time.Millisecond, nil)
			c := s.vms[0].ctl
			for _, hb := range tt.received {
				var out effect.List
				c.Heartbeat(&hb, s.now, &out)
			}
			got := c.Reports()[0].Routes[0]
			is.Equal(got.Failures, model.PairCounts{Pairs: tt.pairs, NewWorse: tt.pairs / 10})
			is.Equal(got.New, tt.pairs)
			is.Equal(got.Old, 2*tt.pairs)
		})
	}
}

// TestLateWithhold guards against a finished move whose traffic changes because of evidence
// that arrives later.
func TestLateWithhold(t *testing.T) {
	is := is.New(t)
	s := newSim(simConfig{seed: 10, step: time.Second})
	s.runUntil(simLength, s.ended)
	is.Equal(s.move(simMove).Phase, model.MoveFinished)
	var out effect.List
	hb := event.Heartbeat{From: "vm-1", Boot: 1, Evidence: []model.MoveEvidence{{
		Move: simMove, Route: simRoute(0), VM: "vm-1", Boot: 1, Withheld: true,
	}}}
	s.vms[0].ctl.Heartbeat(&hb, s.now, &out)
	s.runUntil(simLength+10*time.Second, nil)
	is.True(s.logged("after the move was finished"))
	is.Equal(s.vms[0].ctl.Shares()[model.Route{Customer: simCustomer, Route: simRoute(0)}].Share, 1.0)
	is.Equal(slices.Compact(s.store.phases(simMove)), []model.MovePhase{model.MoveFinished})
}

// TestStart guards against a start command that accepts a move which can never finish or
// which overlaps with another one.
func TestStart(t *testing.T) {
	tests := []struct {
		name   string
		change func(m *model.Move)
		code   effect.CommandCode
	}{
		{"no name", func(m *model.Move) { m.Name = "" }, effect.CommandInvalid},
		{"same version", func(m *model.Move) { m.To = m.From }, effect.CommandInvalid},
		{"no route", func(m *model.Move) { m.Routes = nil }, effect.CommandInvalid},
		{"route twice", func(m *model.Move) { m.Routes = append(m.Routes, m.Routes[0]) }, effect.CommandInvalid},
		{"unknown customer", func(m *model.Move) { m.Customer = "other" }, effect.CommandInvalid},
		{"unknown route", func(m *model.Move) { m.Routes = []model.RouteID{"other"} }, effect.CommandInvalid},
		{"unknown version", func(m *model.Move) { m.To = "v9" }, effect.CommandInvalid},
		{"old version has no traffic", func(m *model.Move) { m.From = "v3"; m.Routes = []model.RouteID{simRoute(1)} }, effect.CommandInvalid},
		{"deadline passed", func(m *model.Move) { m.Deadline = simEpoch }, effect.CommandInvalid},
		{"deadline too near", func(m *model.Move) { m.Deadline = simEpoch.Add(MinDuration) }, effect.CommandInvalid},
		{"overlap", func(m *model.Move) {}, effect.CommandConflict},
		{"name in use", func(m *model.Move) { m.Name = simMove; m.Routes = []model.RouteID{simRoute(1)} }, effect.CommandConflict},
		{"other route", func(m *model.Move) { m.Routes = []model.RouteID{simRoute(1)} }, ""}, // answered by the write
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(simConfig{noMove: true})
			s.runUntil(time.Second, nil)
			s.cfg.routes = 1
			is.Equal(s.start(0, simMove), effect.CommandCode("")) // the write is pending, and m2 must already conflict
			s.store.put(model.Object{Key: model.ObjectKey{Kind: model.ObjectTemplate, Name: string(simCustomer)}, Template: simTemplate(2, "v1")})
			m := model.Move{Name: "m2", Customer: simCustomer, Routes: []model.RouteID{simRoute(0)}, From: "v1", To: "v2", Deadline: simEpoch.Add(time.Hour)}
			tt.change(&m)
			for range 2 { // while the write of m1 is pending, and after it is stored
				var out effect.List
				s.runUntil(time.Duration(s.now)+20*time.Millisecond, nil)
				s.vms[0].cache.put(s.store.objects[model.ObjectKey{Kind: model.ObjectTemplate, Name: string(simCustomer)}])
				s.vms[0].ctl.Start(9, "operator", event.StartMove{Move: m}, s.input(0), s.now, &out)
				is.Equal(s.vms[0].applyEffects(&out), tt.code)
				if tt.code == "" {
					break
				}
				s.runUntil(2*time.Second, nil)
			}
		})
	}
}

// TestConcurrentStarts guards against two moves that both run on one route after operators
// started them on different VMs at the same time.
func TestConcurrentStarts(t *testing.T) {
	is := is.New(t)
	s := newSim(simConfig{seed: 11, noMove: true})
	s.runUntil(time.Second, nil)
	is.Equal(s.start(0, simMove), effect.CommandCode(""))
	is.Equal(s.start(1, "m2"), effect.CommandCode(""))
	s.runUntil(simLength+2*time.Second, nil)
	is.Equal(s.move(simMove).Phase, model.MoveFinished)
	is.Equal(s.move("m2").Phase, model.MoveTakenBack)
	is.True(s.move("m2").Ended.Sub(s.move("m2").Start) < 2*time.Second)
	is.Equal(s.vms[0].shares[model.Route{Customer: simCustomer, Route: simRoute(0)}], model.VersionShare{Move: simMove, From: "v1", To: "v2", Share: 1})
}

// TestShares guards against traffic that returns to the old version while the template still
// names it after a move has finished, and against an ended move that overrides a later
// template.
func TestShares(t *testing.T) {
	move := func(name, from, to string, phase model.MovePhase, minute int) model.Move {
		return model.Move{
			Name: name, Customer: simCustomer, Routes: []model.RouteID{simRoute(0)}, Phase: phase, Stage: 2,
			From: model.VersionID(from), To: model.VersionID(to),
			Start: simEpoch.Add(time.Duration(minute) * time.Minute), Ended: simEpoch.Add(time.Duration(minute+1) * time.Minute),
		}
	}
	settled := func(m model.Move) model.Move { m.Settled = true; return m }
	withheld := func(m model.Move) model.Move { m.Withheld = true; return m }
	tests := []struct {
		name   string
		stable model.VersionID
		moves  []model.Move
		want   model.VersionShare // the zero value means no entry
	}{
		{"running", "v1", []model.Move{move("a", "v1", "v2", model.MoveRunning, 0)}, model.VersionShare{Move: "a", From: "v1", To: "v2", Share: 0.25}},
		{"withheld", "v1", []model.Move{withheld(move("a", "v1", "v2", model.MoveRunning, 0))}, model.VersionShare{Move: "a", From: "v1", To: "v2"}},
		{"finished", "v1", []model.Move{move("a", "v1", "v2", model.MoveFinished, 0)}, model.VersionShare{Move: "a", From: "v1", To: "v2", Share: 1}},
		{"finished, template caught up", "v2", []model.Move{move("a", "v1", "v2", model.MoveFinished, 0)}, model.VersionShare{}},
		{"finished, template went back later", "v1", []model.Move{settled(move("a", "v1", "v2", model.MoveFinished, 0))}, model.VersionShare{}},
		{"finished, version no longer in the template", "v1", []model.Move{move("a", "v1", "v9", model.MoveFinished, 0)}, model.VersionShare{}},
		{"taken back", "v1", []model.Move{move("a", "v1", "v2", model.MoveTakenBack, 0)}, model.VersionShare{}},
		{"taken back after a finish", "v1", []model.Move{move("a", "v1", "v2", model.MoveFinished, 0), move("b", "v2", "v3", model.MoveTakenBack, 9)}, model.VersionShare{Move: "b", From: "v2", To: "v3"}},
		{"running after a finish", "v1", []model.Move{move("a", "v1", "v2", model.MoveFinished, 0), move("b", "v2", "v3", model.MoveRunning, 9)}, model.VersionShare{Move: "b", From: "v2", To: "v3", Share: 0.25}},
		{"two finished, the last settled", "v3", []model.Move{move("a", "v1", "v2", model.MoveFinished, 0), settled(move("b", "v2", "v3", model.MoveFinished, 9))}, model.VersionShare{}},
		{"new version gone from the template", "v1", []model.Move{move("a", "v1", "v9", model.MoveRunning, 0)}, model.VersionShare{Move: "a", From: "v1", To: "v9"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(simConfig{noMove: true})
			cache := s.vms[0].cache
			cache.put(model.Object{Key: model.ObjectKey{Kind: model.ObjectTemplate, Name: string(simCustomer)}, Version: 100, Template: simTemplate(1, tt.stable)})
			for i, m := range tt.moves {
				cache.put(model.Object{Key: moveKey(m.Name), Version: uint64(i + 2), Move: &m})
			}
			is.Equal(s.vms[0].ctl.Shares()[model.Route{Customer: simCustomer, Route: simRoute(0)}], tt.want)
		})
	}
}

// TestSettle guards against an ended move that overrides a template which named the move's
// result and names another version later.
func TestSettle(t *testing.T) {
	is := is.New(t)
	s := newSim(simConfig{seed: 12, step: time.Second})
	s.runUntil(simLength, s.ended)
	key := model.ObjectKey{Kind: model.ObjectTemplate, Name: string(simCustomer)}
	s.store.put(model.Object{Key: key, Template: simTemplate(1, "v2")})
	s.runUntil(simLength+5*time.Second, nil)
	is.True(s.move(simMove).Settled)
	is.Equal(len(s.vms[0].shares), 0)
	s.store.put(model.Object{Key: key, Template: simTemplate(1, "v1")})
	s.runUntil(simLength+10*time.Second, nil)
	is.Equal(len(s.vms[0].shares), 0)
}

// BenchmarkTick measures one tick on one VM with new evidence for every route of the running
// moves. Each move has two routes.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("moves=%d", n), func(b *testing.B) {
			s := newSim(simConfig{noMove: true})
			v := s.vms[0]
			inc := model.MoveEvidence{Failures: model.PairCounts{Pairs: 50, NewWorse: 1, OldWorse: 1}, Slow: model.PairCounts{Pairs: 50, NewWorse: 5, OldWorse: 4}}
			var evidence []model.MoveEvidence
			for i := range n {
				m := model.Move{Name: fmt.Sprintf("m%03d", i), Customer: simCustomer, Phase: model.MoveRunning, From: "v1", To: "v2", Start: simEpoch, StageStarted: simEpoch, Deadline: simEpoch.Add(time.Hour)}
				for j := range 2 {
					m.Routes = append(m.Routes, simRoute(2*i+j))
					inc.Move, inc.Route = m.Name, simRoute(2*i+j)
					evidence = append(evidence, inc)
				}
				v.cache.put(model.Object{Key: moveKey(m.Name), Version: uint64(i + 2), Move: &m})
			}
			in := s.input(0)
			var out effect.List
			now := model.Time(time.Minute)
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				for _, ev := range evidence {
					v.ctl.Outcomes(event.MoveOutcomes{Evidence: ev}, now, &out)
				}
				v.ctl.Tick(in, now, &out)
			}
		})
	}
}
