package gooseberrylock

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/internal/mailbox"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/store"
)

const (
	// longPollTimeout is the maximum time for which the store holds a read open while there are no
	// changes.
	longPollTimeout = 30 * time.Second
	// minWatchBackoff is the delay after the first failed read of a watch. Each further failure
	// doubles the delay, up to maxWatchBackoff.
	minWatchBackoff = 100 * time.Millisecond
	maxWatchBackoff = 2 * time.Second
	// commandTimeout is the maximum time to wait for the result of an operator's command.
	commandTimeout = 15 * time.Second
)

// controlLoop runs the control role of the reducer. One goroutine applies all events to the state
// and executes the effects that result.
type controlLoop struct {
	d     *Daemon
	state *core.State
	inbox *mailbox.Mailbox[any] // items are event.Event or inspection

	watchCancel     context.CancelFunc // ends the current watch; nil if there is none
	publishedConfig *model.ConfigView  // configuration of the last published view

	mu              sync.Mutex
	pendingCommands map[uint64]chan effect.CommandResult
	lastCommand     uint64
}

// inspection is a request to call read with the control state on the control goroutine.
type inspection struct {
	read func(*core.Control)
	done chan struct{} // closed after the call
}

func newControlLoop(d *Daemon, state *core.State) *controlLoop {
	return &controlLoop{
		d:               d,
		state:           state,
		inbox:           mailbox.New[any](),
		pendingCommands: make(map[uint64]chan effect.CommandResult),
	}
}

func (c *controlLoop) enqueue(ev event.Event) { c.inbox.Put(ev) }

// inspect calls read on the control goroutine and waits for its return. read must not change the
// state. The error is that of ctx if ctx ends first; read may still be called then.
func (c *controlLoop) inspect(ctx context.Context, read func(*core.Control)) error {
	in := inspection{read: read, done: make(chan struct{})}
	c.inbox.Put(in)
	select {
	case <-in.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runCommand runs an operator's command and waits for its result. After commandTimeout, or when ctx
// ends, the result has the code effect.CommandUnknown.
func (c *controlLoop) runCommand(ctx context.Context, by string, body event.Command) (effect.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	ch := make(chan effect.CommandResult, 1)
	c.mu.Lock()
	c.lastCommand++
	id := c.lastCommand
	c.pendingCommands[id] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pendingCommands, id)
		c.mu.Unlock()
	}()
	c.enqueue(event.OperatorCommand{Command: id, By: by, Body: body})
	select {
	case res := <-ch:
		return res, nil
	case <-ctx.Done():
		return effect.CommandResult{
			Code:    effect.CommandUnknown,
			Message: "no result in time; read the object to see whether the command took effect",
		}, nil
	}
}

func (c *controlLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(core.DefaultTickInterval)
	defer ticker.Stop()
	defer c.stopWatch()
	var spare []any
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			// Round(0) removes the monotonic clock reading. Recorded events do not contain it, so
			// durations between two ticks would differ in a replay.
			c.handleEvent(ctx, event.Tick{Wall: time.Now().Round(0)})
		case <-c.inbox.Ready():
			items := c.inbox.Take(spare)
			for i, item := range items {
				c.handleItem(ctx, item)
				items[i] = nil
			}
			spare = items
		}
	}
}

func (c *controlLoop) handleItem(ctx context.Context, item any) {
	switch v := item.(type) {
	case event.Event:
		c.handleEvent(ctx, v)
	case inspection:
		v.read(c.state.Control)
		close(v.done)
	}
}

func (c *controlLoop) handleEvent(ctx context.Context, ev event.Event) {
	startTime := time.Now()
	effects := core.Reduce(c.state, ev, c.d.now())
	c.d.metrics.controlReduce.Update(time.Since(startTime))
	for _, e := range effects {
		c.executeEffect(ctx, e)
	}
}

func (c *controlLoop) executeEffect(ctx context.Context, e effect.Effect) {
	switch v := e.(type) {
	case effect.SendHeartbeat:
		c.d.network.SendHeartbeat(v.To, v.Address, v.Heartbeat)
	case effect.SendRelease:
		c.d.network.SendRelease(v.Address, v.Release)
	case effect.PullObjects:
		c.pullObjects(v)
	case effect.WatchStore:
		c.startWatch(ctx, v.Since)
	case effect.StopWatch:
		c.stopWatch()
	case effect.WriteObject:
		go c.writeObject(ctx, v)
	case effect.ReadObject:
		go c.readObject(ctx, v.Key)
	case effect.ReplyOperator:
		c.replyOperator(v)
	case effect.PublishView:
		c.publishView(v.View)
	case effect.DrainKey:
		c.d.workerOfKey(v.Key).enqueue(event.DrainKey{Key: v.Key, Term: v.Term})
	case effect.Left:
		c.d.leftGroupOnce.Do(func() { close(c.d.leftGroup) })
	case effect.Log:
		c.d.log.logEffect(v)
	case effect.Count:
		c.d.metrics.addCount(v)
	}
}

// publishView gives a new view to the metrics, the network, the backend client and the workers.
func (c *controlLoop) publishView(v *model.View) {
	c.d.metrics.recordView(v)
	c.d.network.CloseExcept(v.Peers)
	if v.Config != c.publishedConfig {
		c.publishedConfig = v.Config
		c.d.backend.RetainServers(backendServers(v.Config))
	}
	for i, part := range c.d.splitView(v) {
		c.d.workers[i].enqueue(event.ViewPublished{View: part})
	}
}

// splitView returns a copy of a view for each worker. Each copy contains only the leases of the
// worker's own shard keys, so that no worker keeps state for the keys of another worker.
func (d *Daemon) splitView(v *model.View) []*model.View {
	if len(d.workers) == 1 {
		return []*model.View{v}
	}
	parts := make([]*model.View, len(d.workers))
	for i := range parts {
		part := *v
		part.Leases = make(map[model.ShardKey]model.Lease, len(v.Leases)/len(parts))
		parts[i] = &part
	}
	for key, lease := range v.Leases {
		parts[d.workerOfKey(key).index].Leases[key] = lease
	}
	return parts
}

// backendServers returns all backend servers of a configuration.
func backendServers(cfg *model.ConfigView) []model.BackendServer {
	var list []model.BackendServer
	for _, t := range cfg.Templates {
		for i := range t.Routes {
			for _, v := range t.Routes[i].Versions {
				for _, s := range v.Shards {
					list = append(list, s.Replicas...)
				}
			}
		}
	}
	return list
}

func (c *controlLoop) replyOperator(v effect.ReplyOperator) {
	c.mu.Lock()
	ch := c.pendingCommands[v.Command]
	c.mu.Unlock()
	if ch != nil {
		ch <- v.Result
	}
}

// pullObjects asks a peer for the objects that changed after a revision.
func (c *controlLoop) pullObjects(v effect.PullObjects) {
	c.d.network.Pull(v.Address, v.Since, func(objects []model.Object, revision uint64, err error) {
		if err != nil {
			c.d.log.Warn().Str("step", "pull objects").Str("peer", string(v.Peer)).Err(err).Msg("pulling objects from peer failed")
			c.enqueue(event.PullFailed{Peer: v.Peer})
			return
		}
		c.enqueue(event.ObjectsReceived{Peer: v.Peer, Revision: revision, Objects: objects})
	})
}

// storeContext returns a context that ends after the timeout for one call of the store.
func (c *controlLoop) storeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(c.d.cfg.Settings.Store.Timeout))
}

func (c *controlLoop) writeObject(ctx context.Context, v effect.WriteObject) {
	ctx, cancel := c.storeContext(ctx)
	defer cancel()
	res := c.d.store.Put(ctx, v.Object, v.IfVersion)
	c.d.metrics.storeCalls.Inc(1)
	done := event.WriteDone{Write: v.Write, Outcome: res.Outcome, Object: res.Object}
	if res.Err != nil {
		done.Reason = res.Err.Error()
	}
	c.enqueue(done)
}

func (c *controlLoop) readObject(ctx context.Context, key model.ObjectKey) {
	ctx, cancel := c.storeContext(ctx)
	defer cancel()
	obj, ok, err := c.d.store.Get(ctx, key)
	c.d.metrics.storeCalls.Inc(1)
	if errors.Is(err, store.ErrUnreadable) {
		c.enqueue(event.ObjectsReceived{FromStore: true}) // the store answered, so it is reachable
		return
	}
	if err != nil {
		c.enqueue(event.StoreFailed{Op: "read " + key.String(), Reason: err.Error()})
		return
	}
	if !ok {
		obj = model.Object{Key: key, Deleted: true}
	}
	c.enqueue(event.ObjectsReceived{FromStore: true, Objects: []model.Object{obj}})
}

func (c *controlLoop) startWatch(ctx context.Context, since uint64) {
	c.stopWatch()
	ctx, c.watchCancel = context.WithCancel(ctx)
	go c.watch(ctx, since)
}

func (c *controlLoop) stopWatch() {
	if c.watchCancel != nil {
		c.watchCancel()
		c.watchCancel = nil
	}
}

// watch reads changes of the store until ctx ends. After a failure it waits for an increasing
// backoff with jitter, so that the daemons of a large deployment do not all reconnect to a
// recovering store at the same time.
func (c *controlLoop) watch(ctx context.Context, since uint64) {
	backoff := minWatchBackoff
	// The first read returns at once instead of waiting for a change, and so shows without delay
	// whether the store can be reached.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, wait+time.Duration(c.d.cfg.Settings.Store.Timeout))
		objects, revision, err := c.d.store.List(callCtx, since, wait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		c.d.metrics.storeCalls.Inc(1)
		if err != nil {
			c.enqueue(event.StoreFailed{Op: "watch", Reason: err.Error()})
			wait = 0
			sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxWatchBackoff)
			continue
		}
		backoff = minWatchBackoff
		wait = longPollTimeout
		since = max(since, revision)
		c.enqueue(event.ObjectsReceived{FromStore: true, Revision: revision, Objects: objects})
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
