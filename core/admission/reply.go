package admission

import (
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Names of the counters that this package adds to.
const (
	CountShed         = "admission.shed"
	CountExpired      = "admission.expired"
	CountNotOwner     = "admission.not_owner"
	CountDuplicates   = "admission.duplicates"
	CountRepeats      = "admission.repeats_refused"
	CountPauses       = "admission.pauses"
	CountCancelled    = "admission.cancelled"
	CountHedges       = "admission.hedges"
	CountHedgeWins    = "admission.hedge_wins"
	CountRetries      = "admission.retries"
	CountResends      = "admission.resends" // on another replica after proof of not run
	CountColdStarts   = "admission.cold_starts"
	CountLatencySteps = "admission.latency_steps"
	CountDrained      = "admission.drained"
)

// replyBatch collects the replies of one event by entry daemon.
type replyBatch struct{ batches []effect.SendSubReplies }

func (b *replyBatch) add(to model.VM, reply model.SubReply) {
	for i := range b.batches {
		if b.batches[i].To == to {
			b.batches[i].Replies = append(b.batches[i].Replies, reply)
			return
		}
	}
	b.batches = append(b.batches, effect.SendSubReplies{To: to, Replies: []model.SubReply{reply}})
}

func (b *replyBatch) flush(out *effect.List) {
	for _, batch := range b.batches {
		out.Add(batch)
	}
	b.batches = b.batches[:0]
}

// reject answers a sub-request that was not taken in.
func (o *Owner) reject(sub *model.SubRequest, outcome model.OutcomeCode, reason string) {
	o.replies.add(sub.Entry, model.SubReply{
		Query:   sub.Query,
		Run:     sub.Run,
		Key:     sub.Key,
		Outcome: outcome,
		Reason:  reason,
		Owner:   o.believedOwner(sub.Key, outcome),
	})
}

// refuse answers a queued request. If an earlier attempt may have run, its outcome is
// reported instead, since a refusal would claim the opposite.
func (o *Owner) refuse(r *request, outcome model.OutcomeCode, reason string) {
	o.dequeue(r)
	if !r.ran && (r.started == 0 || outcome != model.OutcomeNoServer) {
		r.outcome = outcome
		r.reason = reason
	}
	o.fail(r)
}

// fail answers a request by its noted outcome.
func (o *Owner) fail(r *request) {
	r.key.submits.settle(r, provesNotRun(r.outcome))
	o.replies.add(r.sub.Entry, model.SubReply{
		Query:    r.sub.Query,
		Run:      r.sub.Run,
		Key:      r.sub.Key,
		Outcome:  r.outcome,
		Oldest:   r.oldest,
		Newest:   r.newest,
		Server:   r.server,
		Attempts: r.started,
		Reason:   r.reason,
		Owner:    o.believedOwner(r.sub.Key, r.outcome),
	})
	o.retire(r)
}

// answer replies with the result of a successful attempt.
func (o *Owner) answer(a *attempt, res *model.AttemptResult) {
	r := a.request
	o.replies.add(r.sub.Entry, model.SubReply{
		Query:    r.sub.Query,
		Run:      r.sub.Run,
		Key:      r.sub.Key,
		Outcome:  res.Outcome,
		Snapshot: res.Snapshot,
		Oldest:   res.Oldest,
		Newest:   res.Newest,
		Server:   a.server.config.ID,
		Attempts: r.started,
		Hits:     res.Hits,
		Reason:   res.Reason,
	})
	o.retire(r)
}

// retire ends a request and cancels what still runs for it.
func (o *Owner) retire(r *request) {
	r.done = true
	delete(r.key.live, r.id())
	o.cancelAttempts(r)
}

func (o *Owner) believedOwner(key model.ShardKey, outcome model.OutcomeCode) model.Owner {
	if outcome != model.OutcomeNotOwner || o.view == nil {
		return model.Owner{}
	}
	return o.view.Owners[key]
}

// provesNotRun reports whether an outcome proves that a submit has never run. A backend
// server that calls it a duplicate has run it before.
func provesNotRun(outcome model.OutcomeCode) bool {
	return outcome.NotRun() && outcome != model.OutcomeDuplicate
}
