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

// worker runs the traffic role of the reducer on one goroutine. It owns the queries whose
// ID it drew and the shard keys that hash to it.
type worker struct {
	d        *Daemon
	index    int
	state    *core.State
	box      *mailbox.Mailbox[event.Event]
	view     *model.View
	wake     *time.Timer
	cancels  map[model.AttemptID]context.CancelFunc
	attempts atomic.Int64 // under way
	losing   losses
}

// losses counts the losses of connections to peers that a worker has not yet applied.
// Until then it must send nothing on a new connection, because the loss would be taken to
// concern that too.
type losses struct {
	mu    sync.Mutex
	count map[model.VM]int
}

func (l *losses) add(vm model.VM, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count[vm] += n; l.count[vm] == 0 {
		delete(l.count, vm)
	}
}

func (l *losses) pending(vm model.VM) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count[vm] > 0
}

func newWorker(d *Daemon, index int, state *core.State) *worker {
	w := &worker{
		d:       d,
		index:   index,
		state:   state,
		box:     mailbox.New[event.Event](),
		wake:    time.NewTimer(time.Hour),
		cancels: make(map[model.AttemptID]context.CancelFunc),
		losing:  losses{count: make(map[model.VM]int)},
	}
	w.wake.Stop()
	return w
}

func (w *worker) put(ev event.Event) { w.box.Put(ev) }

var hashSeed = maphash.MakeSeed()

// workerOf returns the worker that owns a shard key.
func (d *Daemon) workerOf(k model.ShardKey) *worker {
	return d.workers[maphash.Comparable(hashSeed, k)%uint64(len(d.workers))]
}

func (w *worker) run(ctx context.Context) error {
	var spare []event.Event
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.wake.C:
			w.apply(ctx, event.Wake{})
		case <-w.box.Ready():
			items := w.box.Take(spare)
			for i, ev := range items {
				w.apply(ctx, ev)
				items[i] = nil
			}
			spare = items
		}
	}
}

func (w *worker) apply(ctx context.Context, ev event.Event) {
	switch v := ev.(type) {
	case event.ViewPublished:
		w.view = v.View
	case event.AttemptDone:
		delete(w.cancels, v.Attempt)
	case event.PeerLost:
		if v.Connection != event.ConnectionIn {
			w.losing.add(v.VM, -1)
		}
	}
	began := time.Now()
	effects := core.Reduce(w.state, ev, w.d.now())
	w.d.metrics.trafficReduce.Update(time.Since(began))
	for _, e := range effects {
		w.perform(ctx, e)
	}
}

func (w *worker) perform(ctx context.Context, e effect.Effect) {
	switch v := e.(type) {
	case effect.SendSubRequests:
		w.sendRequests(v)
	case effect.SendSubReplies:
		w.sendReplies(v)
	case effect.SendCancels:
		w.sendCancels(v)
	case effect.StartAttempt:
		w.startAttempt(ctx, v)
	case effect.CancelAttempt:
		if cancel := w.cancels[v.Attempt]; cancel != nil {
			cancel()
		}
	case effect.ReplyCaller:
		w.d.queries.finish(v)
	case effect.ReportOutcomes:
		w.d.control.put(event.MoveOutcomes{Evidence: v.Evidence})
	case effect.ReportDrained:
		w.d.control.put(v.Drained)
	case effect.WakeAt:
		w.wakeAt(v.At)
	case effect.Log:
		w.d.log.effect(v)
	case effect.Count:
		w.d.metrics.count(v)
	}
}

func (w *worker) wakeAt(at model.Time) {
	if at == model.Never {
		w.wake.Stop()
		return
	}
	w.wake.Reset(max(at.Sub(w.d.now()), 0))
}

func (w *worker) sendRequests(v effect.SendSubRequests) {
	if v.To == w.d.cfg.Settings.VM {
		w.d.receiveRequests(v.Requests)
		return
	}
	p, ok := w.view.Peers[v.To]
	if !ok || w.losing.pending(v.To) {
		w.put(event.SendFailed{To: v.To, Requests: v.Requests})
		return
	}
	w.d.network.Requests(v.To, p.Address, v.Requests)
}

func (w *worker) sendReplies(v effect.SendSubReplies) {
	w.d.tracing.endSubRequests(v.To, v.Replies)
	if v.To == w.d.cfg.Settings.VM {
		w.d.receiveReplies(v.To, v.Replies)
		return
	}
	w.d.network.Replies(v.To, v.Replies)
}

func (w *worker) sendCancels(v effect.SendCancels) {
	if v.To == w.d.cfg.Settings.VM {
		w.d.receiveCancels(v.To, v.Cancels)
		return
	}
	w.d.network.Cancels(v.To, v.Cancels)
}

// startAttempt runs an attempt on a goroutine of its own.
func (w *worker) startAttempt(ctx context.Context, v effect.StartAttempt) {
	ctx, cancel := context.WithCancel(ctx)
	w.cancels[v.Attempt] = cancel
	w.attempts.Add(1)
	go func() {
		defer cancel()
		defer w.attempts.Add(-1)
		ctx, span := w.d.tracing.attempt(ctx, &v)
		began := time.Now()
		res := w.d.backend.Execute(ctx, &v)
		w.d.metrics.attempt(res.Outcome, v.Hedge, time.Since(began))
		endAttempt(span, &res)
		w.put(event.AttemptDone{Attempt: v.Attempt, Result: res})
	}()
}

// receiveRequests hands sub-requests to the workers that own their shard keys.
func (d *Daemon) receiveRequests(list []model.SubRequest) {
	d.tracing.startSubRequests(list)
	split(list, func(r *model.SubRequest) *worker { return d.workerOf(r.Key) },
		func(w *worker, part []model.SubRequest) { w.put(event.SubRequestsReceived{Requests: part}) })
}

// receiveReplies hands replies to the workers that run their queries.
func (d *Daemon) receiveReplies(from model.VM, list []model.SubReply) {
	split(list, func(r *model.SubReply) *worker { return d.workerOfQuery(r.Query) },
		func(w *worker, part []model.SubReply) { w.put(event.SubRepliesReceived{From: from, Replies: part}) })
}

// receiveCancels hands cancels to the workers that own their shard keys.
func (d *Daemon) receiveCancels(entry model.VM, list []event.Cancel) {
	d.tracing.cancelSubRequests(entry, list)
	split(list, func(c *event.Cancel) *worker { return d.workerOf(c.Key) },
		func(w *worker, part []event.Cancel) { w.put(event.CancelsReceived{Entry: entry, Cancels: part}) })
}

func (d *Daemon) workerOfQuery(q model.QueryID) *worker {
	return d.workers[uint64(q)%uint64(len(d.workers))]
}

// split groups a list by worker, in the order of first use, and hands each part on. Counting
// first lets every part be allocated once.
func split[T any](list []T, workerOf func(*T) *worker, put func(*worker, []T)) {
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
	partOf := make([]int, len(list)) // index in parts by index in list
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
