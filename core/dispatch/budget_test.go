package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// budgetVM is one VM in the model of a shared bound; a restart forgets its budget.
type budgetVM struct {
	budget  *budget
	started model.Time
}

// Guards against VMs that together repeat more than the bound allows, with uneven load and
// restarts that forget what was used, in every sliding window.
func TestBudgetsOfAllVMsKeepTheBound(t *testing.T) {
	cfg := BudgetConfig{Ratio: 0.2, Burst: 52, Window: testWindow}
	const steps = 40_000 // of 1 ms
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		vms := make([]budgetVM, 3+rng.IntN(6))
		for i := range vms {
			vms[i] = budgetVM{budget: newBudget(cfg)}
		}
		var requests, repeats [steps]int
		for step := range steps {
			now := model.Time(step) * model.Time(time.Millisecond)
			vm := &vms[min(rng.IntN(len(vms)), rng.IntN(len(vms)))] // uneven
			since := now - vm.started
			if rng.IntN(10) == 0 {
				vm.budget.request(since)
				requests[step]++
			}
			// Every VM repeats as much as it may.
			if vm.budget.take(cfg, since, cfg.Burst/float64(len(vms)), rng.IntN(2) == 0) {
				repeats[step]++
			}
			if rng.IntN(3000) == 0 {
				*vm = budgetVM{budget: newBudget(cfg), started: now}
			}
		}
		checkWindows(t, seed, cfg, requests[:], repeats[:])
	}
}

func checkWindows(t *testing.T, seed uint64, cfg BudgetConfig, requests, repeats []int) {
	t.Helper()
	window := int(cfg.Window / time.Millisecond)
	sumRequests, sumRepeats := 0, 0
	for i := range requests {
		sumRequests += requests[i]
		sumRepeats += repeats[i]
		if i >= window {
			sumRequests -= requests[i-window]
			sumRepeats -= repeats[i-window]
		}
		if bound := cfg.Ratio*float64(sumRequests) + cfg.Burst; float64(sumRepeats) > bound {
			t.Fatalf("seed %d: %d repeats in the window that ends at %d ms, bound %.1f", seed, sumRepeats, i, bound)
		}
	}
}

// Guards against a VM that uses its share of the burst again after a restart.
func TestBudgetAfterRestart(t *testing.T) {
	is := is.New(t)
	cfg := BudgetConfig{Ratio: 0.2, Burst: 52, Window: testWindow}
	b := newBudget(cfg)
	is.True(!b.take(cfg, model.Time(time.Second), cfg.Burst/6, false))
	is.True(b.take(cfg, model.Time(11*time.Second), cfg.Burst/6, false))
}

// Guards against hedges that leave nothing for failures.
func TestHedgesLeaveRoomForRetries(t *testing.T) {
	is := is.New(t)
	cfg := BudgetConfig{Ratio: 0, Burst: 100, Window: testWindow}
	b := newBudget(cfg)
	now := model.Time(20 * time.Second)
	hedges, retries := 0, 0
	for b.take(cfg, now, cfg.Burst, true) {
		hedges++
	}
	for b.take(cfg, now, cfg.Burst, false) {
		retries++
	}
	is.Equal(hedges+retries, 85)
	is.True(retries >= 15)
}
