package gooseberrylock

import (
	"context"
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/internal/mailbox"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// worker runs the traffic role of the reducer. One goroutine applies all events to the state and
// executes the effects that result. Each query belongs to one worker by its ID, and each shard key
// by its hash.
type worker struct {
	d               *Daemon
	index           int
	state           *core.State
	inbox           *mailbox.Mailbox[event.Event]
	view            *model.View
	wakeTimer       *time.Timer
	cancels         map[model.AttemptID]context.CancelFunc
	runningAttempts atomic.Int64 // number of attempts that have not ended
	pendingLosses   connectionLosses
}

// connectionLosses counts, for each peer, the queued PeerLost events that concern connections on
// which the worker sends sub-requests. While there is such an event, the worker must not send
// sub-requests on a new connection to the peer, because applying the event would mark them as lost
// too.
type connectionLosses struct {
	mu    sync.Mutex
	count map[model.VM]int
}

func (l *connectionLosses) add(vm model.VM, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count[vm] += n; l.count[vm] == 0 {
		delete(l.count, vm)
	}
}

func (l *connectionLosses) pending(vm model.VM) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count[vm] > 0
}

func newWorker(d *Daemon, index int, state *core.State) *worker {
	w := &worker{
		d:             d,
		index:         index,
		state:         state,
		inbox:         mailbox.New[event.Event](),
		wakeTimer:     time.NewTimer(time.Hour),
		cancels:       make(map[model.AttemptID]context.CancelFunc),
		pendingLosses: connectionLosses{count: make(map[model.VM]int)},
	}
	w.wakeTimer.Stop()
	return w
}

func (w *worker) enqueue(ev event.Event) { w.inbox.Put(ev) }

var hashSeed = maphash.MakeSeed()

// workerOfKey returns the worker of a shard key.
func (d *Daemon) workerOfKey(k model.ShardKey) *worker {
	return d.workers[maphash.Comparable(hashSeed, k)%uint64(len(d.workers))]
}

func (w *worker) run(ctx context.Context) error {
	var spare []event.Event
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.wakeTimer.C:
			w.handleEvent(ctx, event.Wake{})
		case <-w.inbox.Ready():
			items := w.inbox.Take(spare)
			for i, ev := range items {
				w.handleEvent(ctx, ev)
				items[i] = nil
			}
			spare = items
		}
	}
}

func (w *worker) handleEvent(ctx context.Context, ev event.Event) {
	switch v := ev.(type) {
	case event.ViewPublished:
		w.view = v.View
	case event.AttemptDone:
		delete(w.cancels, v.Attempt)
	case event.PeerLost:
		if v.Connection != event.ConnectionIn {
			w.pendingLosses.add(v.VM, -1)
		}
	}
	startTime := time.Now()
	effects := core.Reduce(w.state, ev, w.d.now())
	w.d.metrics.trafficReduce.Update(time.Since(startTime))
	for _, e := range effects {
		w.executeEffect(ctx, e)
	}
}

func (w *worker) executeEffect(ctx context.Context, e effect.Effect) {
	switch v := e.(type) {
	case effect.SendSubRequests:
		w.sendSubRequests(v)
	case effect.SendSubReplies:
		w.sendSubReplies(v)
	case effect.SendCancels:
		w.sendCancels(v)
	case effect.StartAttempt:
		w.startAttempt(ctx, v)
	case effect.CancelAttempt:
		if cancel := w.cancels[v.Attempt]; cancel != nil {
			cancel()
		}
	case effect.ReplyCaller:
		w.d.queries.deliverReply(v)
	case effect.ReportOutcomes:
		w.d.control.enqueue(event.MoveOutcomes{Evidence: v.Evidence})
	case effect.ReportDrained:
		w.d.control.enqueue(v.Drained)
	case effect.WakeAt:
		w.setWakeTimer(v.At)
	case effect.Log:
		w.d.log.logEffect(v)
	case effect.Count:
		w.d.metrics.addCount(v)
	}
}

func (w *worker) setWakeTimer(at model.Time) {
	if at == model.Never {
		w.wakeTimer.Stop()
		return
	}
	w.wakeTimer.Reset(max(at.Sub(w.d.now()), 0))
}

func (w *worker) sendSubRequests(v effect.SendSubRequests) {
	if v.To == w.d.cfg.Settings.VM {
		w.d.routeSubRequests(v.Requests)
		return
	}
	p, ok := w.view.Peers[v.To]
	if !ok || w.pendingLosses.pending(v.To) {
		w.enqueue(event.SendFailed{To: v.To, Requests: v.Requests})
		return
	}
	w.d.network.SendRequests(v.To, p.Address, v.Requests)
}

func (w *worker) sendSubReplies(v effect.SendSubReplies) {
	w.d.tracing.endSubRequests(v.To, v.Replies)
	if v.To == w.d.cfg.Settings.VM {
		w.d.routeSubReplies(v.To, v.Replies)
		return
	}
	w.d.network.SendReplies(v.To, v.Replies)
}

func (w *worker) sendCancels(v effect.SendCancels) {
	if v.To == w.d.cfg.Settings.VM {
		w.d.routeCancels(v.To, v.Cancels)
		return
	}
	w.d.network.SendCancels(v.To, v.Cancels)
}

// startAttempt runs an attempt on a new goroutine, which reports the result to the worker.
func (w *worker) startAttempt(ctx context.Context, v effect.StartAttempt) {
	ctx, cancel := context.WithCancel(ctx)
	w.cancels[v.Attempt] = cancel
	w.runningAttempts.Add(1)
	go func() {
		defer cancel()
		defer w.runningAttempts.Add(-1)
		ctx, span := w.d.tracing.startAttempt(ctx, &v)
		startTime := time.Now()
		res := w.d.backend.Execute(ctx, &v)
		w.d.metrics.recordAttempt(res.Outcome, v.Hedge, time.Since(startTime))
		endAttempt(span, &res)
		w.enqueue(event.AttemptDone{Attempt: v.Attempt, Result: res})
	}()
}

// routeSubRequests passes sub-requests to the workers of their shard keys.
func (d *Daemon) routeSubRequests(list []model.SubRequest) {
	d.tracing.startSubRequests(list)
	splitByWorker(list, func(r *model.SubRequest) *worker { return d.workerOfKey(r.Key) },
		func(w *worker, part []model.SubRequest) { w.enqueue(event.SubRequestsReceived{Requests: part}) })
}

// routeSubReplies passes replies to the workers of their queries.
func (d *Daemon) routeSubReplies(from model.VM, list []model.SubReply) {
	splitByWorker(list, func(r *model.SubReply) *worker { return d.workerOfQuery(r.Query) },
		func(w *worker, part []model.SubReply) { w.enqueue(event.SubRepliesReceived{From: from, Replies: part}) })
}

// routeCancels passes cancels to the workers of their shard keys.
func (d *Daemon) routeCancels(entry model.VM, list []event.Cancel) {
	d.tracing.cancelSubRequests(entry, list)
	splitByWorker(list, func(c *event.Cancel) *worker { return d.workerOfKey(c.Key) },
		func(w *worker, part []event.Cancel) { w.enqueue(event.CancelsReceived{Entry: entry, Cancels: part}) })
}

// workerOfQuery returns the worker of a query.
func (d *Daemon) workerOfQuery(q model.QueryID) *worker {
	return d.workers[uint64(q)%uint64(len(d.workers))]
}

// splitByWorker groups a list by worker, in the order in which the workers first occur, and calls put
// with each part. It counts the items of each part first, so that each part is allocated once.
func splitByWorker[T any](list []T, workerOf func(*T) *worker, put func(*worker, []T)) {
	if len(list) == 1 {
		put(workerOf(&list[0]), slices.Clone(list))
		return
	}
	type part struct {
		w     *worker
		count int
		items []T
	}
	var parts []part
	partOf := make([]int, len(list)) // for each item of list, the index of its part
	for i := range list {
		w := workerOf(&list[i])
		n := slices.IndexFunc(parts, func(p part) bool { return p.w == w })
		if n < 0 {
			n = len(parts)
			parts = append(parts, part{w: w})
		}
		parts[n].count++
		partOf[i] = n
	}
	for i := range parts {
		parts[i].items = make([]T, 0, parts[i].count)
	}
	for i, n := range partOf {
		parts[n].items = append(parts[n].items, list[i])
	}
	for i := range parts {
		put(parts[i].w, parts[i].items)
	}
}
