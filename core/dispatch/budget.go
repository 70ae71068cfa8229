package dispatch

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// budgetSlot is the resolution of the sliding window of a retry budget.
	budgetSlot = 500 * time.Millisecond
	// ratioShare and burstShare are the fractions of the configured limits that the VMs use. The
	// margin is needed because each VM counts with its own clock and windows.
	ratioShare = 0.9
	burstShare = 0.85
	// hedgeShare is the fraction of a budget that hedges may use; the rest is reserved for retries.
	hedgeShare = 0.8
)

// BudgetConfig limits the extra attempts (retries and hedges) that all VMs together send to a
// replica set in each Window: Ratio times the number of requests, plus Burst.
type BudgetConfig struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// budget is one VM's share of the retry budget of one replica set. The share is Ratio times the
// VM's own requests plus an equal share of the burst. The shares thus add up to at most the limit
// if no VM counts fewer sending VMs than there are.
type budget struct {
	slots []budgetCount
	head  int64 // number of the newest slot, counted from time 0
	total budgetCount
}

type budgetCount struct{ requests, extraAttempts int32 }

func newBudget(cfg BudgetConfig) *budget {
	return &budget{slots: make([]budgetCount, int(cfg.Window/budgetSlot)+1)}
}

// advance moves the window so that it ends now.
func (b *budget) advance(now model.Time) {
	head := int64(now) / int64(budgetSlot)
	steps := min(head-b.head, int64(len(b.slots)))
	for i := range steps {
		slot := &b.slots[(head-i)%int64(len(b.slots))]
		b.total.requests -= slot.requests
		b.total.extraAttempts -= slot.extraAttempts
		*slot = budgetCount{}
	}
	b.head = max(b.head, head)
}

func (b *budget) current() *budgetCount { return &b.slots[b.head%int64(len(b.slots))] }

func (b *budget) countRequest(now model.Time) {
	b.advance(now)
	b.current().requests++
	b.total.requests++
}

// available returns how many extra attempts the window has left. A VM that has run for less than a
// window has no share of the burst, since an earlier process of the same VM may have used it.
func (b *budget) available(cfg BudgetConfig, now model.Time, burst float64) float64 {
	b.advance(now)
	limit := cfg.Ratio * ratioShare * float64(b.total.requests)
	if time.Duration(now) >= cfg.Window {
		limit += burst * burstShare
	}
	return limit - float64(b.total.extraAttempts)
}

// tryTake takes one extra attempt from the budget if one is available, and reports whether it did.
// The parameter burst is this VM's share of the configured burst.
func (b *budget) tryTake(cfg BudgetConfig, now model.Time, burst float64, hedge bool) bool {
	available := b.available(cfg, now, burst)
	reserve := 0.0
	if hedge {
		reserve = (1 - hedgeShare) * (available + float64(b.total.extraAttempts))
	}
	if available-reserve < 1 {
		return false
	}
	b.current().extraAttempts++
	b.total.extraAttempts++
	return true
}
