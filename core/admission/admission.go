// Package admission is the owner side of the traffic role: it queues sub-requests for the
// shard keys that this VM owns and keeps every backend server within its limits.
package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// PauseBound is the gap between events above which the worker counts as paused. Submits
// that were queued during the gap are refused.
const PauseBound = 300 * time.Millisecond

// pulseInterval keeps events coming while a submit is queued, so that a quiet worker is
// not taken for a paused one.
const pulseInterval = PauseBound / 3

// Owner holds the owned shard keys of one traffic worker.
type Owner struct {
	view     *model.View
	hedging  Hedging
	keys     map[model.ShardKey]*shardKey
	order    []*shardKey // all keys, sorted
	due      dueHeap
	attempts map[model.AttemptID]*attempt

	lastAttempt   model.AttemptID
	lastSequence  uint64
	queued        int
	queuedSubmits int
	lastEvent     model.Time
	pulse         model.Time

	// Set for the duration of one event.
	now     model.Time
	out     *effect.List
	replies replyBatch
}

// New returns an owner without keys.
func New() *Owner { return NewWithHedging(HedgeWithinBudget) }

// NewWithHedging returns an owner without keys that times hedges as given.
func NewWithHedging(h Hedging) *Owner {
	return &Owner{
		hedging:  h,
		keys:     make(map[model.ShardKey]*shardKey),
		attempts: make(map[model.AttemptID]*attempt),
		pulse:    model.Never,
	}
}

// View replaces the view: leases, limits, zones and backend servers.
func (o *Owner) View(v *model.View, now model.Time, out *effect.List) {
	o.begin(now, out)
	defer o.end()
	old := o.view
	o.view = v
	o.addLeasedKeys()
	reconfigured := old == nil || !sameConfig(old.Config, v.Config)
	for _, k := range o.order {
		o.refresh(k, reconfigured)
	}
	o.removeIdleKeys()
}

// Requests takes in sub-requests of entry daemons.
func (o *Owner) Requests(ev event.SubRequestsReceived, now model.Time, out *effect.List) {
	o.begin(now, out)
	defer o.end()
	var touched []*shardKey
	for i := range ev.Requests {
		k := o.admit(&ev.Requests[i])
		if k != nil && !slices.Contains(touched, k) {
			touched = append(touched, k)
		}
	}
	for _, k := range touched {
		k.recheck = true
		o.settle(k)
	}
}

// Cancels withdraws sub-requests. Queued ones are dropped and running idempotent ones
// cancelled, without a reply. A running submit goes on and is answered.
func (o *Owner) Cancels(ev event.CancelsReceived, now model.Time, out *effect.List) {
	o.begin(now, out)
	defer o.end()
	for _, c := range ev.Cancels {
		k, ok := o.keys[c.Key]
		if !ok {
			continue
		}
		r, ok := k.live[requestID{ev.Entry, c.Query, c.Run}]
		if !ok {
			continue
		}
		o.withdraw(r)
		o.settle(k)
	}
}

// AttemptDone ends an attempt and frees its slot. Unknown attempts are ignored.
func (o *Owner) AttemptDone(ev event.AttemptDone, now model.Time, out *effect.List) {
	o.begin(now, out)
	defer o.end()
	a, ok := o.attempts[ev.Attempt]
	if !ok {
		return
	}
	delete(o.attempts, ev.Attempt)
	o.release(a, &ev.Result)
	if !a.request.done {
		o.conclude(a, &ev.Result)
	}
	o.settle(a.request.key)
}

// PeerLost drops the queued sub-requests of an entry daemon whose connection broke and
// cancels its running idempotent ones, since their replies cannot arrive.
func (o *Owner) PeerLost(ev event.PeerLost, now model.Time, out *effect.List) {
	o.begin(now, out)
	defer o.end()
	for _, k := range o.order {
		lost := k.requestsOf(ev.VM)
		if len(lost) == 0 {
			continue
		}
		for _, r := range lost {
			o.withdraw(r)
		}
		o.settle(k)
	}
}

// Wake handles deadlines, hedges and recoveries that are due.
func (o *Owner) Wake(now model.Time, out *effect.List) {
	o.begin(now, out)
	defer o.end()
	for len(o.due) > 0 && o.due[0].dueAt <= now {
		k := o.due[0]
		o.settle(k)
	}
}

// NextWake returns the earliest time at which Wake has work to do.
func (o *Owner) NextWake() model.Time {
	if len(o.due) == 0 {
		return o.pulse
	}
	return min(o.due[0].dueAt, o.pulse)
}

// Idle reports whether no attempt runs and nothing is queued.
func (o *Owner) Idle() bool { return len(o.attempts) == 0 && o.queued == 0 }

func (o *Owner) begin(now model.Time, out *effect.List) {
	o.now = now
	o.out = out
	if o.queuedSubmits > 0 && now.Sub(o.lastEvent) > PauseBound {
		o.refuseSubmitsAfterPause()
	}
	o.lastEvent = now
}

func (o *Owner) end() {
	switch {
	case o.queuedSubmits == 0:
		o.pulse = model.Never
	case o.pulse == model.Never || o.pulse <= o.now:
		o.pulse = o.now.Add(pulseInterval)
	}
	o.replies.flush(o.out)
	o.out = nil
}

// settle brings a key up to date: it refuses what cannot be served, dispatches what can,
// and asks for the next wake-up.
func (o *Owner) settle(k *shardKey) {
	if k.serving(o.now) {
		o.expire(k)
		o.refuseUnservable(k)
		o.dispatch(k)
		o.shed(k)
		o.hedge(k)
	} else {
		o.refuseQueued(k, model.OutcomeNotOwner, "key not owned")
	}
	o.schedule(k)
}

func (o *Owner) count(name string) { o.out.Add(effect.Count{Name: name, Add: 1}) }

// addLeasedKeys creates the state of keys with a lease that are not known yet.
func (o *Owner) addLeasedKeys() {
	known := len(o.order)
	for key := range o.view.Leases {
		if _, ok := o.keys[key]; ok {
			continue
		}
		k := newShardKey(key)
		o.keys[key] = k
		o.order = append(o.order, k)
	}
	if len(o.order) != known {
		slices.SortFunc(o.order, func(a, b *shardKey) int { return a.id.Compare(b.id) })
	}
}

// removeIdleKeys forgets keys without lease, requests, attempts and remembered submits.
func (o *Owner) removeIdleKeys() {
	o.order = slices.DeleteFunc(o.order, func(k *shardKey) bool {
		if k.leased || len(k.live) > 0 || k.inFlight() > 0 || !k.submits.empty(o.now) {
			return false
		}
		o.unschedule(k)
		delete(o.keys, k.id)
		return true
	})
}

// schedule sets the time at which the key needs the next wake-up.
func (o *Owner) schedule(k *shardKey) {
	at := min(o.nextQueueChange(k), o.nextHedge(k))
	switch {
	case at == model.Never:
		o.unschedule(k)
	case k.dueIndex < 0:
		k.dueAt = at
		heap.Push(&o.due, k)
	case k.dueAt != at:
		k.dueAt = at
		heap.Fix(&o.due, k.dueIndex)
	}
}

func (o *Owner) unschedule(k *shardKey) {
	if k.dueIndex >= 0 {
		heap.Remove(&o.due, k.dueIndex)
	}
}

// dueHeap orders keys by the time of their next wake-up.
type dueHeap []*shardKey

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(i, j int) bool {
	if c := cmp.Compare(h[i].dueAt, h[j].dueAt); c != 0 {
		return c < 0
	}
	return h[i].id.Less(h[j].id)
}

func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].dueIndex = i
	h[j].dueIndex = j
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	k := x.(*shardKey)
	k.dueIndex = len(*h)
	*h = append(*h, k)
}

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	k := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	k.dueIndex = -1
	return k
}
