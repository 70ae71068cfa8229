package entry

import (
	"context"
	"errors"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/directory"
	"github.com/gooseberrylock/gooseberrylock/core/dispatch"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// runControl passes events to the control reducer and performs its effects until ctx ends.
func (t *Tier) runControl(ctx context.Context) {
	state := directory.New(t.cfg.directoryConfig())
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	reads := newReadGroup(ctx)
	reduce := func(ev directory.Event, now model.Time) {
		for _, e := range state.Reduce(ev, now) {
			t.performControl(ctx, e, reads, timer)
		}
	}
	next := directory.Event(directory.Started{})
	for {
		now := model.Time(t.clock.Sync())
		if t.wasPaused(now) {
			reduce(directory.Resumed{}, now)
		}
		reduce(next, now)
		for _, k := range directory.Kinds() {
			t.setKnownPosition(k, state.KnownPosition(k))
		}
		t.meters.recordEra(state.Era())
		t.viewConfirmedAt.Store(int64(t.now().Add(-state.ViewAge(t.now()))))
		if state.Ready() {
			t.markReady()
		}
		select {
		case next = <-t.controlEvents:
		case <-timer.C:
			next = directory.Woken{}
		case <-ctx.Done():
			return
		}
	}
}

// setKnownPosition publishes the position up to which the objects of a kind are known.
func (t *Tier) setKnownPosition(k directory.Kind, p model.Position) {
	if known := t.knownPositions[k].Load(); known == nil || *known != p {
		changed := p
		t.knownPositions[k].Store(&changed)
	}
}

// markReady makes the VM ready on its first call. It does nothing after Stop.
func (t *Tier) markReady() {
	if t.readyOnce.CompareAndSwap(false, true) {
		t.ready.Store(true)
		t.log.Info().Dur("after", t.clock.Now()).Msg("ready for callers")
	}
}

// readGroup is the context of the running reads of the store, which can be ended together.
type readGroup struct {
	parent context.Context
	ctx    context.Context
	cancel context.CancelFunc
}

func newReadGroup(parent context.Context) *readGroup {
	g := &readGroup{parent: parent}
	g.restart()
	return g
}

// restart ends the running reads. Later reads use a new context.
func (g *readGroup) restart() {
	if g.cancel != nil {
		g.cancel()
	}
	g.ctx, g.cancel = context.WithCancel(g.parent)
}

func (t *Tier) performControl(ctx context.Context, e directory.Effect, reads *readGroup, timer *time.Timer) {
	switch e := e.(type) {
	case directory.List:
		go t.list(ctx, reads.ctx, e)
	case directory.Watch:
		go t.watch(ctx, reads.ctx, e)
	case directory.RestartReads:
		reads.restart()
		t.catalog.CloseIdle()
	case directory.Register:
		go t.register(ctx)
	case directory.CheckVM:
		go t.checkVM(ctx, e)
	case directory.RemoveVM:
		go t.removeRegistration(ctx, e)
	case directory.SendHeartbeat:
		t.relay.SendHeartbeat()
	case directory.Follow:
		t.relay.StartFollowing(ctx, e.VM, e.Address)
	case directory.Unfollow:
		t.relay.StopFollowing(e.VM)
	case directory.SendUpdate:
		if err := t.relay.SendUpdate(e); err != nil {
			t.log.Warn().Err(err).Msg("update could not be sent to followers")
		}
	case directory.SendEvidence:
		t.relay.SendEvidence(e)
	case directory.SendLoads:
		t.relay.SendLoads(e)
	case directory.PublishLoads:
		select {
		case t.trafficEvents <- dispatch.LoadsReceived(e):
		case <-ctx.Done():
		}
	case directory.WriteRolloutState:
		go t.writeRolloutState(ctx, e)
	case directory.PublishView:
		t.view.Store(e.View)
		t.meters.recordView(e.View)
		t.meters.discarded.Update(t.log.Discarded())
		select {
		case t.trafficEvents <- dispatch.ViewPublished{View: e.View}:
		case <-ctx.Done():
		}
	case directory.Wake:
		t.controlDue.Store(int64(e.At))
		timer.Reset(max(e.At.Sub(t.now()), 0))
	case directory.Log:
		t.log.WriteLine(e.Line)
	}
}

func (t *Tier) sendControlEvent(ctx context.Context, ev directory.Event) {
	select {
	case t.controlEvents <- ev:
	case <-ctx.Done():
	}
}

// list runs a read that ends with readsCtx, and reports its result until ctx ends.
func (t *Tier) list(ctx, readsCtx context.Context, e directory.List) {
	readCtx, cancel := context.WithTimeout(readsCtx, listTimeout)
	defer cancel()
	t.meters.storeCalls.Inc(1)
	ev, err := t.catalog.List(readCtx, e.Kind)
	t.sendControlEvent(ctx, readResult(readsCtx, e.Kind, ev.Position.Era, ev, err))
}

// watch runs a read that ends with readsCtx, and reports its result until ctx ends.
func (t *Tier) watch(ctx, readsCtx context.Context, e directory.Watch) {
	readCtx, cancel := context.WithTimeout(readsCtx, e.MaxWait+t.cfg.ReadSlack)
	defer cancel()
	t.meters.storeCalls.Inc(1)
	ev, err := t.catalog.Watch(readCtx, e.Kind, e.Since, e.MaxWait)
	t.sendControlEvent(ctx, readResult(readsCtx, e.Kind, ev.Position.Era, ev, err))
}

// readResult returns the event that reports the end of a read in an era of the store: ev if the read
// succeeded. A read whose readsCtx has ended counts as cancelled whatever its result.
func readResult(readsCtx context.Context, kind directory.Kind, era uint64, ev directory.Event, err error) directory.Event {
	switch {
	case readsCtx.Err() != nil:
		return directory.ReadCancelled{Kind: kind}
	case errors.Is(err, ErrHistoryGone):
		return directory.HistoryGone{Kind: kind, Era: era}
	case err != nil:
		return directory.ReadFailed{Kind: kind, Cause: err.Error(), Era: era}
	}
	return ev
}

func (t *Tier) register(ctx context.Context) {
	cause := t.write(ctx, registerTimeout, func(ctx context.Context) error { return t.catalog.Register(ctx, t.cfg.VM) })
	t.sendControlEvent(ctx, directory.RegistrationEnded{Cause: cause})
}

func (t *Tier) removeRegistration(ctx context.Context, e directory.RemoveVM) {
	cause := t.write(ctx, registerTimeout, func(ctx context.Context) error {
		return t.catalog.RemoveRegistration(ctx, e.VM, e.Position)
	})
	t.sendControlEvent(ctx, directory.RemovalEnded{VM: e.VM, Cause: cause})
}

func (t *Tier) writeRolloutState(ctx context.Context, e directory.WriteRolloutState) {
	cause := t.write(ctx, rolloutWriteTimeout, func(ctx context.Context) error {
		return t.catalog.WriteRolloutState(ctx, e.Rollout, e.State)
	})
	t.sendControlEvent(ctx, directory.RolloutWriteEnded{Name: e.Rollout.Name, Cause: cause})
}

func (t *Tier) checkVM(ctx context.Context, e directory.CheckVM) {
	cause := callWithin(ctx, checkTimeout, func(ctx context.Context) error { return t.relay.Check(ctx, e.VM, e.Address) })
	t.sendControlEvent(ctx, directory.VMChecked{VM: e.VM, Cause: cause})
}

// write makes a call that writes to the store, and returns the text of its error, or "".
func (t *Tier) write(ctx context.Context, timeout time.Duration, call func(context.Context) error) string {
	t.meters.storeCalls.Inc(1)
	return callWithin(ctx, timeout, call)
}

// callWithin makes a call with a timeout, and returns the text of its error, or "".
func callWithin(ctx context.Context, timeout time.Duration, call func(context.Context) error) string {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := call(ctx); err != nil {
		return err.Error()
	}
	return ""
}
