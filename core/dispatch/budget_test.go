package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// budgetVM is one VM in a simulation of VMs that share a retry budget.
type budgetVM struct {
	budget  *budget
	started model.Time
}

// Guards against VMs that together send more extra attempts in a sliding window than the limit
// allows, under uneven load and with restarts, after which a VM has an empty budget history.
func TestBudgetsOfAllVMsStayWithinLimit(t *testing.T) {
	cfg := BudgetConfig{Ratio: 0.2, Burst: 52, Window: testWindow}
	const steps = 40_000 // 1 ms each
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		vms := make([]budgetVM, 3+rng.IntN(6))
		for i := range vms {
			vms[i] = budgetVM{budget: newBudget(cfg)}
		}
		var requests, extra [steps]int
		for step := range steps {
			now := model.Time(step) * model.Time(time.Millisecond)
			vm := &vms[min(rng.IntN(len(vms)), rng.IntN(len(vms)))] // uneven load
			uptime := now - vm.started
			if rng.IntN(10) == 0 {
				vm.budget.countRequest(uptime)
				requests[step]++
			}
			// Every VM sends as many extra attempts as its budget allows.
			if vm.budget.tryTake(cfg, uptime, cfg.Burst/float64(len(vms)), rng.IntN(2) == 0) {
				extra[step]++
			}
			if rng.IntN(3000) == 0 {
				*vm = budgetVM{budget: newBudget(cfg), started: now}
			}
		}
		checkWindows(t, seed, cfg, requests[:], extra[:])
	}
}

func checkWindows(t *testing.T, seed uint64, cfg BudgetConfig, requests, extra []int) {
	t.Helper()
	window := int(cfg.Window / time.Millisecond)
	sumRequests, sumExtra := 0, 0
	for i := range requests {
		sumRequests += requests[i]
		sumExtra += extra[i]
		if i >= window {
			sumRequests -= requests[i-window]
			sumExtra -= extra[i-window]
		}
		if limit := cfg.Ratio*float64(sumRequests) + cfg.Burst; float64(sumExtra) > limit {
			t.Fatalf("seed %d: %d extra attempts in the window that ends at %d ms, limit %.1f", seed, sumExtra, i, limit)
		}
	}
}

// Guards against a VM that uses its share of the burst again after a restart.
func TestBudgetAfterRestart(t *testing.T) {
	is := is.New(t)
	cfg := BudgetConfig{Ratio: 0.2, Burst: 52, Window: testWindow}
	b := newBudget(cfg)
	is.True(!b.tryTake(cfg, model.Time(time.Second), cfg.Burst/6, false))
	is.True(b.tryTake(cfg, model.Time(11*time.Second), cfg.Burst/6, false))
}

// Guards against hedges that use up the budget, so that none is left for retries.
func TestHedgesLeaveRoomForRetries(t *testing.T) {
	is := is.New(t)
	cfg := BudgetConfig{Ratio: 0, Burst: 100, Window: testWindow}
	b := newBudget(cfg)
	now := model.Time(20 * time.Second)
	hedges, retries := 0, 0
	for b.tryTake(cfg, now, cfg.Burst, true) {
		hedges++
	}
	for b.tryTake(cfg, now, cfg.Burst, false) {
		retries++
	}
	is.Equal(hedges+retries, 85)
	is.True(retries >= 15)
}
