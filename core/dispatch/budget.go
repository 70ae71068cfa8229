package dispatch

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// budgetSlot is the grain of the sliding window of a retry budget.
	budgetSlot = 500 * time.Millisecond
	// ratioShare and burstShare keep a margin below the bounds of the configuration, since
	// the VMs count the same requests with clocks and windows of their own.
	ratioShare = 0.9
	burstShare = 0.85
	// hedgeShare is the part of a budget that hedges may use; the rest is kept for failures.
	hedgeShare = 0.8
)

// BudgetConfig bounds the repeats to a replica set over all VMs: in each Window, Ratio times
// the requests plus Burst.
type BudgetConfig struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// budget holds one VM's part of the bound for one replica set. The part is the ratio of the
// VM's own requests and an equal share of the burst, so that the parts of all VMs never add
// up to more than the bound, whatever each of them sees of the others.
type budget struct {
	slots []budgetCount
	head  int64 // number of the newest slot since the start
	total budgetCount
}

type budgetCount struct{ requests, repeats int32 }

func newBudget(cfg BudgetConfig) *budget {
	return &budget{slots: make([]budgetCount, int(cfg.Window/budgetSlot)+1)}
}

// advance moves the window to now.
func (b *budget) advance(now model.Time) {
	head := int64(now) / int64(budgetSlot)
	steps := min(head-b.head, int64(len(b.slots)))
	for i := range steps {
		slot := &b.slots[(head-i)%int64(len(b.slots))]
		b.total.requests -= slot.requests
		b.total.repeats -= slot.repeats
		*slot = budgetCount{}
	}
	b.head = max(b.head, head)
}

func (b *budget) current() *budgetCount { return &b.slots[b.head%int64(len(b.slots))] }

func (b *budget) request(now model.Time) {
	b.advance(now)
	b.current().requests++
	b.total.requests++
}

// room returns how many repeats the window has left. A VM that has run for less than a window
// gets no share of the burst: an earlier process of the same VM may have used it.
func (b *budget) room(cfg BudgetConfig, now model.Time, burst float64) float64 {
	b.advance(now)
	bound := cfg.Ratio * ratioShare * float64(b.total.requests)
	if time.Duration(now) >= cfg.Window {
		bound += burst * burstShare
	}
	return bound - float64(b.total.repeats)
}

// take uses one repeat if there is room for it. Burst is this VM's part of the burst.
func (b *budget) take(cfg BudgetConfig, now model.Time, burst float64, hedge bool) bool {
	room := b.room(cfg, now, burst)
	reserve := 0.0
	if hedge {
		reserve = (1 - hedgeShare) * (room + float64(b.total.repeats))
	}
	if room-reserve < 1 {
		return false
	}
	b.current().repeats++
	b.total.repeats++
	return true
}
