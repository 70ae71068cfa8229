package query

import (
	"fmt"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// maxSubmitResends limits how often a submit is sent to another owner before it is refused.
const maxSubmitResends = 3

// A submit has one shard. It is sent again only to another owner, and only on proof that the
// previous owner did not run it. Each sending has its own run number, so that a late reply to one
// sending is not taken as a reply to the next.

// advanceSubmit sends a submit if it has an owner, or refuses it if it is too late to send it.
// Otherwise it sets the submit's timer.
func (t *Table) advanceSubmit(q *query, now model.Time, out *effect.List) {
	s := &q.shards[0]
	if s.state == shardSent {
		t.timers.set(q, q.answerDeadline)
		return
	}
	if now >= q.halfTime || now >= q.sendDeadline {
		t.refuseUnsentSubmit(q, now, out)
		return
	}
	if s.state == shardUnassigned {
		t.assignSubmitOwner(q)
	}
	if s.state != shardReady {
		t.timers.set(q, min(q.halfTime, q.sendDeadline))
		return
	}
	t.sendReady(q, now, out)
	t.timers.set(q, q.answerDeadline)
}

// assignSubmitOwner assigns the owner named by the view to a submit, unless it is the owner that
// the submit was last sent to.
func (t *Table) assignSubmitOwner(q *query) {
	s := &q.shards[0]
	if owner, ok := t.ownerInView(q.keys[0]); ok && owner != s.owner {
		t.markSubmitReady(q, owner)
	}
}

// markSubmitReady makes a submit ready to be sent to an owner. A resend gets a new run number.
func (t *Table) markSubmitReady(q *query, owner model.Owner) {
	s := &q.shards[0]
	if s.resends > 0 {
		q.run = t.newRun()
	}
	q.markReady(s, owner)
}

// handleSubmitReply handles the owner's reply: it answers or refuses the submit, or sends it to
// another owner if the replying VM is not the owner.
func (t *Table) handleSubmitReply(q *query, r *model.SubReply, now model.Time, out *effect.List) {
	s := &q.shards[0]
	q.attempts += max(r.Attempts, 0)
	s.server = r.Server
	switch {
	case r.Outcome == model.OutcomeOK:
		q.acceptHits(s, r)
		t.answerOrRefuse(q, now, out)
	case r.Outcome == model.OutcomeNotOwner:
		t.resendSubmit(q, r.Owner, now, out)
	case r.Outcome == model.OutcomeDuplicate:
		t.refuseSubmit(q, model.RefusedDuplicate, stepSubmit, outcomeText(r), now, out)
	case r.Outcome.NotRun():
		refusal := notRun(stepSubmit, outcomeText(r), RetryAfterShed)
		refusal.Peer = s.lastPeer()
		t.refuse(q, refusal, now, out)
	default:
		t.refuseSubmit(q, model.RefusedOutcomeUnknown, stepSubmit, outcomeText(r), now, out)
	}
}

// resendSubmit prepares a submit to be sent to another owner, after proof that the last owner did
// not run it. The following call of advance sends it, or refuses it when its time is over.
func (t *Table) resendSubmit(q *query, hint model.Owner, now model.Time, out *effect.List) {
	s := &q.shards[0]
	if s.resends >= maxSubmitResends {
		refusal := notRun(stepOwner, "no daemon accepted the submit", RetryAfterShed)
		refusal.Peer = string(s.owner.VM)
		t.refuse(q, refusal, now, out)
		return
	}
	s.resends++
	s.state = shardUnassigned
	count(out, CountRetries, 1)
	if hint != s.owner && t.aliveInView(hint.VM) {
		t.markSubmitReady(q, hint)
	}
}

// handleSubmitSendFailure handles a submit whose sending failed. sent reports whether the owner may
// have received it.
func (t *Table) handleSubmitSendFailure(q *query, sent bool, now model.Time, out *effect.List) {
	if !sent {
		t.resendSubmit(q, model.Owner{}, now, out)
		return
	}
	t.refuseSubmit(q, model.RefusedOutcomeUnknown, stepSend, "the owner may have received the submit", now, out)
}

// handleSubmitPeerLost refuses a submit if the lost VM is the owner whose reply it waits for.
func (t *Table) handleSubmitPeerLost(q *query, vm model.VM, now model.Time, out *effect.List) {
	if !q.shards[0].awaitsReplyFrom(vm) {
		return
	}
	t.refuseSubmit(q, model.RefusedOutcomeUnknown, stepSubmit, "the connection to the owner broke", now, out)
}

// wakeSubmit handles an expired timer of a submit: the time to find an owner, or to get a reply, is
// over.
func (t *Table) wakeSubmit(q *query, now model.Time, out *effect.List) {
	if q.shards[0].state != shardSent || now < q.answerDeadline {
		t.advanceSubmit(q, now, out)
		return
	}
	t.cancelOutstanding(q, out)
	t.refuseSubmit(q, model.RefusedOutcomeUnknown, stepSubmit, "no reply before the deadline", now, out)
}

// refuseUnsentSubmit refuses a submit for which no owner was found in time.
func (t *Table) refuseUnsentSubmit(q *query, now model.Time, out *effect.List) {
	refusal := notRun(stepOwner, fmt.Sprintf("no owner of %s was found in time", q.keys[0]), RetryAfterShed)
	refusal.Peer = string(q.shards[0].owner.VM)
	t.refuse(q, refusal, now, out)
}

// handleSubmitCallerGone ends a submit whose caller has disconnected, unless it has been sent.
func (t *Table) handleSubmitCallerGone(q *query, now model.Time, out *effect.List) {
	if q.shards[0].state == shardSent {
		return
	}
	t.refuse(q, notRun(stepOwner, "the caller disconnected", 0), now, out)
}

// refuseSubmit ends a submit with a refusal that names the last peer.
func (t *Table) refuseSubmit(q *query, code model.RefusalCode, step, reason string, now model.Time, out *effect.List) {
	t.refuse(q, &model.Refusal{
		Code:   code,
		Step:   step,
		Peer:   q.shards[0].lastPeer(),
		Reason: reason,
	}, now, out)
}

// outcomeText returns the outcome of a reply with its reason, if any.
func outcomeText(r *model.SubReply) string {
	if r.Reason == "" {
		return r.Outcome.String()
	}
	return r.Outcome.String() + ": " + r.Reason
}
