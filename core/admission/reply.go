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
	CountResends      = "admission.resends" // retries after attempts that are proven not to have run
	CountColdStarts   = "admission.cold_starts"
	CountLatencySteps = "admission.latency_steps"
	CountDrained      = "admission.drained"
)

// replyBatch collects the replies of one event, so that each entry daemon gets one message.
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

// reject replies to a sub-request that was not queued.
func (o *Owner) reject(sub *model.SubRequest, outcome model.OutcomeCode, reason string) {
	o.replies.add(sub.Entry, model.SubReply{
		Query:   sub.Query,
		Run:     sub.Run,
		Key:     sub.Key,
		Outcome: outcome,
		Reason:  reason,
		Owner:   o.cachedOwner(sub.Key, outcome),
	})
}

// refuse removes a request from the queue and replies with the outcome. If an earlier attempt
// may have run, the outcome of that attempt is reported instead, since a refusal would state
// that the request has not run. The outcome of the earlier attempt is also reported if a retry
// finds no usable server.
func (o *Owner) refuse(r *request, outcome model.OutcomeCode, reason string) {
	o.dequeue(r)
	if !r.mayHaveRun && (r.startedAttempts == 0 || outcome != model.OutcomeNoServer) {
		r.outcome = outcome
		r.reason = reason
	}
	o.replyFailure(r)
}

// replyFailure replies to a request with its recorded failure.
func (o *Owner) replyFailure(r *request) {
	r.key.submits.recordOutcome(r, provesNotRun(r.outcome))
	o.replies.add(r.sub.Entry, model.SubReply{
		Query:    r.sub.Query,
		Run:      r.sub.Run,
		Key:      r.sub.Key,
		Outcome:  r.outcome,
		Oldest:   r.oldest,
		Newest:   r.newest,
		Server:   r.server,
		Attempts: r.startedAttempts,
		Reason:   r.reason,
		Owner:    o.cachedOwner(r.sub.Key, r.outcome),
	})
	o.finish(r)
}

// replySuccess replies to a request with the result of a successful attempt.
func (o *Owner) replySuccess(a *attempt, res *model.AttemptResult) {
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
		Attempts: r.startedAttempts,
		Hits:     res.Hits,
		Reason:   res.Reason,
	})
	o.finish(r)
}

// finish removes a request from the pending ones and cancels its remaining attempts.
func (o *Owner) finish(r *request) {
	r.done = true
	delete(r.key.pending, r.id())
	o.cancelAttempts(r)
}

// cachedOwner returns the owner of a key in the current view if the outcome is OutcomeNotOwner,
// and the zero value for other outcomes.
func (o *Owner) cachedOwner(key model.ShardKey, outcome model.OutcomeCode) model.Owner {
	if outcome != model.OutcomeNotOwner || o.view == nil {
		return model.Owner{}
	}
	return o.view.Owners[key]
}

// provesNotRun reports whether an outcome proves that a submit has never run. A duplicate
// outcome does not, since the backend server has run an earlier attempt of the submit.
func provesNotRun(outcome model.OutcomeCode) bool {
	return outcome.NotRun() && outcome != model.OutcomeDuplicate
}
