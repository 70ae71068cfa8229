package query

import (
	"fmt"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// maxSubmitResends bounds the owners that refuse a submit before the caller hears of it.
const maxSubmitResends = 3

// A submit has one shard. It is sent once; it is sent again only to another owner, and only
// on proof that the first one did not run it. Each sending has its own run number, so that a
// late reply to one sending proves nothing about the next.

// submitAdvance sends a submit that waits for an owner, or sets its timer.
func (t *Table) submitAdvance(q *query, now model.Time, out *effect.List) {
	s := &q.shards[0]
	if s.state == shardSent {
		t.timers.set(q, q.deadline)
		return
	}
	if now >= q.halfTime || now >= q.sendUntil {
		t.submitNotSent(q, now, out)
		return
	}
	if s.state == shardWaiting {
		t.submitPlace(q)
	}
	if s.state != shardReady {
		t.timers.set(q, min(q.halfTime, q.sendUntil))
		return
	}
	t.sendReady(q, now, out)
	t.timers.set(q, q.deadline)
}

// submitPlace takes the owner of the view, unless it is the one that has already refused.
func (t *Table) submitPlace(q *query) {
	s := &q.shards[0]
	if owner, ok := t.owner(q.keys[0]); ok && owner != s.peer {
		t.submitReady(q, owner)
	}
}

func (t *Table) submitReady(q *query, owner model.Owner) {
	s := &q.shards[0]
	if s.resends > 0 {
		q.run = t.newRun()
	}
	q.ready(s, owner)
}

// submitReply ends a submit by the owner's reply.
func (t *Table) submitReply(q *query, r *model.SubReply, now model.Time, out *effect.List) {
	s := &q.shards[0]
	q.attempts += max(r.Attempts, 0)
	s.server = r.Server
	switch {
	case r.Outcome == model.OutcomeOK:
		q.gatherHits(s, r)
		t.conclude(q, now, out)
	case r.Outcome == model.OutcomeNotOwner:
		t.submitElsewhere(q, r.Owner, now, out)
	case r.Outcome == model.OutcomeDuplicate:
		t.submitRefuse(q, model.RefusedDuplicate, stepSubmit, describe(r), now, out)
	case r.Outcome.NotRun():
		refusal := notRun(stepSubmit, describe(r), RetryAfterShed)
		refusal.Peer = s.blamed()
		t.refuse(q, refusal, now, out)
	default:
		t.submitRefuse(q, model.RefusedOutcomeUnknown, stepSubmit, describe(r), now, out)
	}
}

// submitElsewhere looks for another owner after proof that the last one did not run the
// submit. advance sends it or gives up.
func (t *Table) submitElsewhere(q *query, hint model.Owner, now model.Time, out *effect.List) {
	s := &q.shards[0]
	if s.resends >= maxSubmitResends {
		refusal := notRun(stepOwner, "no daemon accepted the submit", RetryAfterShed)
		refusal.Peer = string(s.peer.VM)
		t.refuse(q, refusal, now, out)
		return
	}
	s.resends++
	s.state = shardWaiting
	count(out, CountRetries, 1)
	if hint != s.peer && t.alive(hint.VM) {
		t.submitReady(q, hint)
	}
}

// submitSendFailed handles a submit that could not be delivered.
func (t *Table) submitSendFailed(q *query, sent bool, now model.Time, out *effect.List) {
	if !sent {
		t.submitElsewhere(q, model.Owner{}, now, out)
		return
	}
	t.submitRefuse(q, model.RefusedOutcomeUnknown, stepSend, "the owner may have received the submit", now, out)
}

// submitPeerLost ends a submit whose owner can no longer reply.
func (t *Table) submitPeerLost(q *query, vm model.VM, now model.Time, out *effect.List) {
	if !q.shards[0].outstandingAt(vm) {
		return
	}
	t.submitRefuse(q, model.RefusedOutcomeUnknown, stepSubmit, "the connection to the owner broke", now, out)
}

// submitWake handles the end of the wait for an owner, or for a reply.
func (t *Table) submitWake(q *query, now model.Time, out *effect.List) {
	if q.shards[0].state != shardSent || now < q.deadline {
		t.submitAdvance(q, now, out)
		return
	}
	t.cancelOutstanding(q, out)
	t.submitRefuse(q, model.RefusedOutcomeUnknown, stepSubmit, "no reply before the deadline", now, out)
}

// submitNotSent refuses a submit for which no owner was found in time.
func (t *Table) submitNotSent(q *query, now model.Time, out *effect.List) {
	refusal := notRun(stepOwner, fmt.Sprintf("no owner of %s was found in time", q.keys[0]), RetryAfterShed)
	refusal.Peer = string(q.shards[0].peer.VM)
	t.refuse(q, refusal, now, out)
}

// submitCallerGone drops a submit that has not been sent.
func (t *Table) submitCallerGone(q *query, now model.Time, out *effect.List) {
	if q.shards[0].state == shardSent {
		return
	}
	t.refuse(q, notRun(stepOwner, "the caller disconnected", 0), now, out)
}

func (t *Table) submitRefuse(q *query, code model.RefusalCode, step, reason string, now model.Time, out *effect.List) {
	t.refuse(q, &model.Refusal{
		Code:   code,
		Step:   step,
		Peer:   q.shards[0].blamed(),
		Reason: reason,
	}, now, out)
}

// describe returns the text for the outcome of a reply.
func describe(r *model.SubReply) string {
	if r.Reason == "" {
		return r.Outcome.String()
	}
	return r.Outcome.String() + ": " + r.Reason
}
