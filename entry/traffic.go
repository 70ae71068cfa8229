package entry

import (
	"context"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/directory"
	"github.com/gooseberrylock/gooseberrylock/core/dispatch"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer/forward/forwardpb"
)

// traffic runs the traffic reducer and performs its effects. It is used by one goroutine only.
type traffic struct {
	t       *Tier
	ctx     context.Context
	state   *dispatch.State
	cancels map[model.AttemptID]context.CancelFunc // of running attempts
	timer   *time.Timer
}

// runTraffic passes events to the traffic reducer and performs its effects until ctx ends.
func (t *Tier) runTraffic(ctx context.Context) {
	tr := &traffic{
		t:       t,
		ctx:     ctx,
		state:   dispatch.New(t.cfg.dispatchConfig()),
		cancels: make(map[model.AttemptID]context.CancelFunc),
		timer:   time.NewTimer(time.Hour),
	}
	defer tr.timer.Stop()
	for {
		select {
		case ev := <-t.trafficEvents:
			tr.reduce(ev)
		case <-tr.timer.C:
			tr.reduce(dispatch.Woken{})
		case <-ctx.Done():
			return
		}
	}
}

func (tr *traffic) reduce(ev dispatch.Event) {
	if end, ok := ev.(dispatch.AttemptEnded); ok {
		if cancel, ok := tr.cancels[end.Attempt]; ok {
			cancel()
			delete(tr.cancels, end.Attempt)
		}
	}
	now := tr.t.now()
	if _, ok := ev.(dispatch.RequestReceived); ok {
		now = model.Time(tr.t.clock.Sync())
	}
	if tr.t.wasPaused(now) {
		tr.performAll(tr.state.Reduce(dispatch.Resumed{}, now))
	}
	tr.performAll(tr.state.Reduce(ev, now))
}

func (tr *traffic) performAll(effects []dispatch.Effect) {
	for _, e := range effects {
		tr.perform(e)
	}
}

func (tr *traffic) perform(e dispatch.Effect) {
	switch e := e.(type) {
	case dispatch.Send:
		tr.send(e)
	case dispatch.Abort:
		if cancel, ok := tr.cancels[e.Attempt]; ok {
			cancel()
		}
	case dispatch.PassReply:
		tr.answer(e.Query, e)
	case dispatch.GatheredReply:
		tr.answer(e.Query, e)
	case dispatch.Refuse:
		tr.answer(e.Query, e)
	case dispatch.Forward:
		tr.forward(e)
	case dispatch.CancelForward:
		tr.t.forward.Send(tr.ctx, e.VM, "", &forwardpb.Query{Id: uint64(e.Query), Cancel: true})
	case dispatch.CloseSilentSender:
		tr.t.forward.CloseSender(e.VM)
	case dispatch.AcceptForward:
		tr.answer(e.Query, e)
	case dispatch.DeclineForward:
		tr.answer(e.Query, e)
	case dispatch.Wake:
		tr.timer.Reset(max(e.At.Sub(tr.t.now()), 0))
	case dispatch.Log:
		tr.t.log.WriteLine(e.Line)
	case dispatch.Count:
		tr.t.meters.increment(e.Counter)
	case dispatch.RecordDuration:
		tr.t.meters.recordDuration(e)
	case dispatch.FetchConfig:
		if !tr.report(directory.NewerConfigSeen(e)) {
			tr.t.log.Warn().Uint64("version", e.Version).Msg("newer configuration is not fetched, control is behind")
		}
	case dispatch.ReportEvidence:
		if !tr.report(directory.LocalEvidenceReceived{Evidence: e.Evidence, Usage: e.Usage}) {
			tr.t.log.Warn().Int("routes", len(e.Evidence)).Msg("evidence on a rollout is lost, control is behind")
		}
	case dispatch.ReportLoads:
		if !tr.report(directory.LocalLoadsReported(e)) {
			tr.t.log.Warn().Int("routes", len(e.Loads)).Msg("loads are not reported, control is behind")
		}
	}
}

// report sends an event to the control goroutine, and reports whether it did. It drops the event instead
// of blocking, since the control goroutine may itself be blocked on the traffic goroutine.
func (tr *traffic) report(ev directory.Event) bool {
	select {
	case tr.t.controlEvents <- ev:
		return true
	default:
		return false
	}
}

// answer passes an effect that answers a query to the local caller, or to the VM that forwarded the query.
func (tr *traffic) answer(id model.QueryID, e dispatch.Effect) {
	p, ok := tr.t.lookupPending(id)
	switch {
	case !ok: // the request was removed because its caller has left
	case p.answer == nil:
		tr.t.answerForwarded(id, p, e)
	default:
		p.answer <- answerOf(e)
	}
}

// answerOf returns the answer to a local caller. AcceptForward and DeclineForward only answer other VMs.
func answerOf(e dispatch.Effect) Answer {
	switch e := e.(type) {
	case dispatch.PassReply:
		return Answer{Reply: e.Reply}
	case dispatch.GatheredReply:
		return Answer{Gathered: &e}
	case dispatch.Refuse:
		return Answer{Refusal: &e}
	}
	return Answer{}
}

// send starts an attempt in a new goroutine.
func (tr *traffic) send(e dispatch.Send) {
	p, ok := tr.t.lookupPending(e.Query)
	if !ok {
		// The caller has left; its CallerGone event is still queued.
		go tr.t.reportAttemptEnd(tr.ctx, dispatch.AttemptEnded{Attempt: e.Attempt, Outcome: dispatch.NotSent, Cause: "the caller left"})
		return
	}
	ctx, cancel := context.WithCancel(tr.ctx)
	tr.cancels[e.Attempt] = cancel
	go tr.t.runAttempt(ctx, tr.ctx, e, p)
}

// runAttempt runs one attempt and reports its outcome. ctx ends when the attempt is cancelled,
// runCtx when the VM ends.
func (t *Tier) runAttempt(ctx, runCtx context.Context, e dispatch.Send, p *pendingRequest) {
	span := t.startAttempt(ctx, e, p.span)
	defer span.End()
	left := e.Deadline.Sub(t.now())
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	ended := t.backend.Send(ctx, Attempt{Server: e.Server, Request: p.req, Left: left, MaxReplyBytes: e.MaxReplyBytes})
	if context.Cause(ctx) == context.Canceled && ended.Outcome != dispatch.Answered {
		ended.Outcome = dispatch.Aborted
	}
	ended.Attempt = e.Attempt
	t.reportAttemptEnd(runCtx, ended)
}

func (t *Tier) reportAttemptEnd(ctx context.Context, ev dispatch.AttemptEnded) {
	select {
	case t.trafficEvents <- ev:
	case <-ctx.Done():
	}
}
