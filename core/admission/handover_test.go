package admission_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/admission"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// TestHandoverContinuesColdStart guards against a next owner that starts servers cold again, or
// that keeps the limit of a server that has restarted.
func TestHandoverContinuesColdStart(t *testing.T) {
	// ramp serves n requests on the first replica from a cold start and then hands the key over.
	ramp := func(h *harness, n int) {
		h.setZone(zoneB, true)
		h.setLease(model.Lease{Until: model.Never, Term: 2})
		h.serve(n, 8*ms)
		h.handover()
	}
	runScenarios(t, []scenario{
		{"successes at the cold-start limit", func(h *harness) string {
			ramp(h, 5)
			before := h.loads()
			h.serve(2, 8*ms)
			seven := h.loads()
			h.serve(1, 8*ms)
			return strings.Join([]string{before, seven, h.loads()}, ", ")
		}, "0/1 0/1, 0/1 0/1, 0/2 0/1"},
		{"limit and successes in the ramp", func(h *harness) string {
			ramp(h, 11)
			before := h.loads()
			h.serve(5, 8*ms)
			return before + ", " + h.loads()
		}, "0/2 0/1, 0/3 0/1"},
		{"same boot", func(h *harness) string {
			ramp(h, 16)
			h.serve(1, 8*ms)
			return h.loads()
		}, "0/3 0/1"},
		{"restart during the handover", func(h *harness) string {
			ramp(h, 16)
			q := h.sendOne(nil)
			h.endAttempt(h.lastAttempt(q).Attempt, model.AttemptResult{Outcome: model.OutcomeOK, Boot: 2})
			return h.loads()
		}, "0/1 0/1"},
		{"cold-start limit until the first reply", func(h *harness) string {
			ramp(h, 16)
			qs := h.sendMany(4, nil)
			before := h.loads()
			h.endLastAttempt(qs[0], model.OutcomeOK)
			return before + ", " + h.loads()
		}, "1/3 0/1, 3/3 0/1"},
		{"inherited attempts do not count against the cold-start limit", func(h *harness) string {
			h.serve(1, ms)
			h.serve(1, ms)
			h.sendMany(2, nil)
			h.handover()
			h.sendMany(3, nil)
			return h.loads()
		}, "2/3 2/3"},
		{"servers without known boot", func(h *harness) string {
			h.setLease(warmLease(0, 2))
			h.sendMany(9, nil)
			return h.loads()
		}, "3/3 3/3"},
		{"zone that is enabled again after the handover", func(h *harness) string {
			h.setZone(zoneB, true)
			h.handover()
			h.setZone(zoneB, false)
			return h.loads()
		}, "0/3 0/1"},
		{"released limit above the slots", func(h *harness) string {
			lease := warmLease(0, 2)
			lease.Servers[0].Limit = limits.Slots + 1
			h.setLease(lease)
			return h.loads()
		}, "0/3 0/3"},
		{"attempts of an earlier term do not confirm the server", func(h *harness) string {
			ramp(h, 16)
			q := h.sendOne(nil)
			lease := warmLease(0, 9)
			lease.Servers[0].Boot = 1
			h.setLease(lease)
			h.endLastAttempt(q, model.OutcomeOK)
			h.sendMany(3, nil)
			return h.loads()
		}, "1/3 0/3"},
		{"attempts of an earlier term do not raise the limit", func(h *harness) string {
			ramp(h, 7)
			q := h.sendOne(nil)
			h.setLease(model.Lease{Until: model.Never, Term: 9, Clean: true, Servers: []model.ServerState{
				{Server: serverOf(0, 0), Boot: 1, Limit: 1, Successes: 7},
			}})
			h.endLastAttempt(q, model.OutcomeOK)
			return h.loads()
		}, "0/1 0/1"},
	})
}

// runHandover runs one key with warm servers at half load and hands it over once. With restart
// set, one of the servers restarts before the next owner sends an attempt to it.
func runHandover(seed uint64, restart bool) (*harness, *fleet) {
	h := newHarness(newView(1))
	f := newFleet(h, rand.New(rand.NewPCG(seed, 9)))
	for replica := range 2 {
		f.server(serverOf(0, replica)).completions = 1000
	}
	for i := range 300 {
		h.sendOne(func(s *model.SubRequest) { s.Budget = 200 * ms })
		f.run(3288 * time.Microsecond)
		if i != 150 {
			continue
		}
		h.handover()
		if restart {
			f.restart(serverOf(0, 0))
			f.server(serverOf(0, 0)).downUntil = 0
		}
	}
	finish(f)
	return h, f
}

// TestRestartAtHandover guards against overload of a server that restarts between the last reply
// to the previous owner and the first attempt of the next one.
func TestRestartAtHandover(t *testing.T) {
	for _, restart := range []bool{false, true} {
		answered, total := 0, 0
		for seed := range uint64(100) {
			h, f := runHandover(seed, restart)
			if f.crashes > 0 || len(h.violations.count) > 0 {
				t.Errorf("seed %d: %d crashes, %s", seed, f.crashes, h.violations.String())
			}
			for q := range h.subs {
				total++
				if h.outcome(q) == model.OutcomeOK.String() {
					answered++
				}
			}
		}
		t.Logf("restart %v: answered %d of %d", restart, answered, total)
		is.New(t).True(answered > total*99/100)
	}
}

// TestHandoversDoNotDelayRamp guards against servers that are overloaded, or do not become warm,
// when handovers are more frequent than the duration of a cold start.
func TestHandoversDoNotDelayRamp(t *testing.T) {
	const warmAfter = 50
	is := is.New(t)
	for seed := range uint64(20) {
		v := changeView(newView(1), func(v *model.View, c *model.VersionConfig) {
			c.Limits.WarmAfter = warmAfter
			v.Leases[keyOf(0)] = model.Lease{Until: model.Never, Term: 1}
		})
		h := newHarness(v)
		f := newFleet(h, rand.New(rand.NewPCG(seed, 9)))
		f.warmAfter = warmAfter
		for i := range 1000 {
			h.sendOne(func(s *model.SubRequest) { s.Budget = 200 * ms })
			f.run(2 * ms)
			if i%50 == 49 {
				h.handover()
			}
		}
		got := h.loads()
		finish(f)
		if f.crashes > 0 || len(h.violations.count) > 0 || h.counts[admission.CountColdStarts] != 2 {
			t.Errorf("seed %d: %d crashes, %s, counts %v", seed, f.crashes, h.violations.String(), h.counts)
		}
		is.True(strings.HasSuffix(got, fmt.Sprint("/", limits.Slots)))
		is.Equal(strings.Count(got, fmt.Sprint("/", limits.Slots)), 2)
	}
}
