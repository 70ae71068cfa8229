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
	// watchWait is the longest time that a waiting read of the store is held open.
	watchWait = 30 * time.Second
	// watchBackoff is the first wait after a failed watch; it doubles up to watchBackoffMax.
	watchBackoff    = 100 * time.Millisecond
	watchBackoffMax = 2 * time.Second
	// commandTimeout bounds the time for which an operator's command waits for its result.
	commandTimeout = 15 * time.Second
)

// controlLoop runs the control role of the reducer on one goroutine.
type controlLoop struct {
	d     *Daemon
	state *core.State
	box   *mailbox.Mailbox[any] // event.Event or inspection

	watchCancel context.CancelFunc // ends the current watch; nil without one
	config      *model.ConfigView  // of the last view

	mu       sync.Mutex
	commands map[uint64]chan effect.CommandResult
	lastID   uint64
}

// inspection reads the control state on its goroutine.
type inspection struct {
	read func(*core.Control)
	done chan struct{}
}

func newControlLoop(d *Daemon, state *core.State) *controlLoop {
	return &controlLoop{
		d:        d,
		state:    state,
		box:      mailbox.New[any](),
		commands: make(map[uint64]chan effect.CommandResult),
	}
}

func (c *controlLoop) put(ev event.Event) { c.box.Put(ev) }

// inspect calls read on the control goroutine. read must not change the state.
func (c *controlLoop) inspect(ctx context.Context, read func(*core.Control)) error {
	in := inspection{read: read, done: make(chan struct{})}
	c.box.Put(in)
	select {
	case <-in.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// command runs an operator's command and waits for its result.
func (c *controlLoop) command(ctx context.Context, by string, body event.Command) (effect.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	ch := make(chan effect.CommandResult, 1)
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	c.commands[id] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.commands, id)
		c.mu.Unlock()
	}()
	c.put(event.OperatorCommand{Command: id, By: by, Body: body})
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
			// Round drops the monotonic reading, which a recorded event does not keep: durations
			// between two ticks would differ in a replay.
			c.apply(ctx, event.Tick{Wall: time.Now().Round(0)})
		case <-c.box.Ready():
			items := c.box.Take(spare)
			for i, item := range items {
				c.receive(ctx, item)
				items[i] = nil
			}
			spare = items
		}
	}
}

func (c *controlLoop) receive(ctx context.Context, item any) {
	switch v := item.(type) {
	case event.Event:
		c.apply(ctx, v)
	case inspection:
		v.read(c.state.Control)
		close(v.done)
	}
}

func (c *controlLoop) apply(ctx context.Context, ev event.Event) {
	began := time.Now()
	effects := core.Reduce(c.state, ev, c.d.now())
	c.d.metrics.controlReduce.Update(time.Since(began))
	for _, e := range effects {
		c.perform(ctx, e)
	}
}

func (c *controlLoop) perform(ctx context.Context, e effect.Effect) {
	switch v := e.(type) {
	case effect.SendHeartbeat:
		c.d.network.Beat(v.To, v.Address, v.Heartbeat)
	case effect.SendRelease:
		c.d.network.Hand(v.Address, v.Release)
	case effect.PullObjects:
		c.pull(v)
	case effect.WatchStore:
		c.startWatch(ctx, v.Since)
	case effect.StopWatch:
		c.stopWatch()
	case effect.WriteObject:
		go c.write(ctx, v)
	case effect.ReadObject:
		go c.read(ctx, v.Key)
	case effect.ReplyOperator:
		c.reply(v)
	case effect.PublishView:
		c.publish(v.View)
	case effect.DrainKey:
		c.d.workerOf(v.Key).put(event.DrainKey{Key: v.Key, Term: v.Term})
	case effect.Left:
		c.d.leftOnce.Do(func() { close(c.d.left) })
	case effect.Log:
		c.d.log.effect(v)
	case effect.Count:
		c.d.metrics.count(v)
	}
}

func (c *controlLoop) publish(v *model.View) {
	c.d.metrics.view(v)
	c.d.network.Forget(v.Peers)
	if v.Config != c.config {
		c.config = v.Config
		c.d.backend.Keep(backendServers(v.Config))
	}
	for i, part := range c.d.viewsByWorker(v) {
		c.d.workers[i].put(event.ViewPublished{View: part})
	}
}

// viewsByWorker returns a copy of a view for each worker that holds only the leases of its
// own shard keys, so that no worker keeps state for the keys of another one.
func (d *Daemon) viewsByWorker(v *model.View) []*model.View {
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
		parts[d.workerOf(key).index].Leases[key] = lease
	}
	return parts
}

// backendServers lists the backend servers of a configuration.
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

func (c *controlLoop) reply(v effect.ReplyOperator) {
	c.mu.Lock()
	ch := c.commands[v.Command]
	c.mu.Unlock()
	if ch != nil {
		ch <- v.Result
	}
}

func (c *controlLoop) pull(v effect.PullObjects) {
	c.d.network.Pull(v.Address, v.Since, func(objects []model.Object, revision uint64, err error) {
		if err != nil {
			c.d.log.Warn().Str("step", "pull objects").Str("peer", string(v.Peer)).Err(err).Msg("pull failed")
			c.put(event.PullFailed{Peer: v.Peer})
			return
		}
		c.put(event.ObjectsReceived{Peer: v.Peer, Revision: revision, Objects: objects})
	})
}

func (c *controlLoop) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(c.d.cfg.Settings.Store.Timeout))
}

func (c *controlLoop) write(ctx context.Context, v effect.WriteObject) {
	ctx, cancel := c.callContext(ctx)
	defer cancel()
	res := c.d.store.Put(ctx, v.Object, v.IfVersion)
	c.d.metrics.storeCalls.Inc(1)
	done := event.WriteDone{Write: v.Write, Outcome: res.Outcome, Object: res.Object}
	if res.Err != nil {
		done.Reason = res.Err.Error()
	}
	c.put(done)
}

func (c *controlLoop) read(ctx context.Context, key model.ObjectKey) {
	ctx, cancel := c.callContext(ctx)
	defer cancel()
	obj, ok, err := c.d.store.Get(ctx, key)
	c.d.metrics.storeCalls.Inc(1)
	if errors.Is(err, store.ErrUnreadable) {
		c.put(event.ObjectsReceived{FromStore: true}) // the store is up
		return
	}
	if err != nil {
		c.put(event.StoreFailed{Op: "read " + key.String(), Reason: err.Error()})
		return
	}
	if !ok {
		obj = model.Object{Key: key, Deleted: true}
	}
	c.put(event.ObjectsReceived{FromStore: true, Objects: []model.Object{obj}})
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

// watch reads changes until ctx ends, with a growing and jittered wait after a failure, so
// that the watchers of a large fleet do not return to a recovering store at once.
func (c *controlLoop) watch(ctx context.Context, since uint64) {
	backoff := watchBackoff
	// The first read does not wait, so that it proves at once that the store can be reached.
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
			c.put(event.StoreFailed{Op: "watch", Reason: err.Error()})
			wait = 0
			sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, watchBackoffMax)
			continue
		}
		backoff = watchBackoff
		wait = watchWait
		since = max(since, revision)
		c.put(event.ObjectsReceived{FromStore: true, Revision: revision, Objects: objects})
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
