// Package admission implements the owner side of the traffic role. It queues the sub-requests
// for the shard keys that this VM owns, dispatches them to backend servers and keeps the
// attempts in flight on each server within its limit.
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

// PauseThreshold is the gap between two events above which the worker is considered to have
// been paused. Submits that were in the queue during the gap are refused.
const PauseThreshold = 300 * time.Millisecond

// keepaliveInterval is the longest time between wake-ups while a submit is queued. It is
// shorter than PauseThreshold, so that a worker without traffic is not considered paused.
const keepaliveInterval = PauseThreshold / 3

// Owner holds the state of the shard keys that one traffic worker owns.
type Owner struct {
	view     *model.View
	hedging  Hedging
	keys     map[model.ShardKey]*shardKey
	order    []*shardKey // all keys, sorted
	due      dueHeap     // keys that need a wake-up
	attempts map[model.AttemptID]*attempt

	lastAttempt   model.AttemptID
	lastSequence  uint64
	queued        int
	queuedSubmits int
	lastEvent     model.Time
	keepaliveAt   model.Time

	// Set for the duration of one event.
	now     model.Time
	out     *effect.List
	replies replyBatch
}

// New returns an owner without keys that times hedges by HedgeWithinBudget.
func New() *Owner { return NewWithHedging(HedgeWithinBudget) }

// NewWithHedging returns an owner without keys that times hedges by h.
func NewWithHedging(h Hedging) *Owner {
	return &Owner{
		hedging:     h,
		keys:        make(map[model.ShardKey]*shardKey),
		attempts:    make(map[model.AttemptID]*attempt),
		keepaliveAt: model.Never,
	}
}

// View applies a new view, which holds the leases, limits, zones and backend servers.
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

// Requests queues or rejects the sub-requests of entry daemons, and dispatches the keys
// that they belong to.
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
		k.hasNewRequests = true
		o.process(k)
	}
}

// Cancels withdraws sub-requests. Queued ones are dropped and running idempotent ones are
// cancelled, without a reply. A running submit continues and gets a reply.
func (o *Owner) Cancels(ev event.CancelsReceived, now model.Time, out *effect.List) {
	o.begin(now, out)
	defer o.end()
	for _, c := range ev.Cancels {
		k, ok := o.keys[c.Key]
		if !ok {
			continue
		}
		r, ok := k.pending[requestID{ev.Entry, c.Query, c.Run}]
		if !ok {
			continue
		}
		o.withdraw(r)
		o.process(k)
	}
}

// AttemptDone records the result of an attempt, frees its slot, and then retries the request
// or replies to it. Results of unknown attempts are ignored.
func (o *Owner) AttemptDone(ev event.AttemptDone, now model.Time, out *effect.List) {
	o.begin(now, out)
	defer o.end()
	a, ok := o.attempts[ev.Attempt]
	if !ok {
		return
	}
	delete(o.attempts, ev.Attempt)
	o.releaseSlot(a, &ev.Result)
	if !a.request.done {
		o.handleResult(a, &ev.Result)
	}
	o.process(a.request.key)
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
		o.process(k)
	}
}

// Wake processes the keys whose wake-up time has passed: for deadlines, hedges and slots
// that have become free without an event.
func (o *Owner) Wake(now model.Time, out *effect.List) {
	o.begin(now, out)
	defer o.end()
	for len(o.due) > 0 && o.due[0].dueAt <= now {
		k := o.due[0]
		o.process(k)
	}
}

// NextWake returns the time at which Wake must be called next, or model.Never.
func (o *Owner) NextWake() model.Time {
	if len(o.due) == 0 {
		return o.keepaliveAt
	}
	return min(o.due[0].dueAt, o.keepaliveAt)
}

// Idle reports whether no attempt is in flight and no request is queued.
func (o *Owner) Idle() bool { return len(o.attempts) == 0 && o.queued == 0 }

func (o *Owner) begin(now model.Time, out *effect.List) {
	o.now = now
	o.out = out
	if o.queuedSubmits > 0 && now.Sub(o.lastEvent) > PauseThreshold {
		o.refuseSubmitsAfterPause()
	}
	o.lastEvent = now
}

func (o *Owner) end() {
	switch {
	case o.queuedSubmits == 0:
		o.keepaliveAt = model.Never
	case o.keepaliveAt == model.Never || o.keepaliveAt <= o.now:
		o.keepaliveAt = o.now.Add(keepaliveInterval)
	}
	o.replies.flush(o.out)
	o.out = nil
}

// process refuses the queued requests of a key that cannot be served, dispatches the others,
// starts hedges and schedules the next wake-up.
func (o *Owner) process(k *shardKey) {
	if k.serving(o.now) {
		o.expire(k)
		o.refuseUnservable(k)
		o.dispatch(k)
		o.shed(k)
		o.startHedges(k)
	} else {
		o.refuseQueued(k, model.OutcomeNotOwner, "key not owned")
	}
	o.schedule(k)
}

func (o *Owner) count(name string) { o.out.Add(effect.Count{Name: name, Add: 1}) }

// addLeasedKeys creates the state of the keys that have a lease and no state yet.
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

// removeIdleKeys removes the keys that have no lease, requests, attempts or recorded submits.
func (o *Owner) removeIdleKeys() {
	o.order = slices.DeleteFunc(o.order, func(k *shardKey) bool {
		if k.leased || len(k.pending) > 0 || k.inFlight() > 0 || !k.submits.empty(o.now) {
			return false
		}
		o.unschedule(k)
		delete(o.keys, k.id)
		return true
	})
}

// schedule sets the time of the next wake-up of a key.
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

// Push implements [heap.Interface].
func (h *dueHeap) Push(x any) {
	k := x.(*shardKey)
	k.dueIndex = len(*h)
	*h = append(*h, k)
}

// Pop implements [heap.Interface].
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	k := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	k.dueIndex = -1
	return k
}
