package query

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// RetryPercent limits the sub-requests that are sent again although they may have run, as a
	// percentage of the sub-requests sent for the first time.
	RetryPercent = 10
	// RetryBurst is the greatest number of unused retries that can accumulate. One worker at
	// target load (150 queries a second over 60 shards at 10 ms) has about 90 sub-requests in
	// flight, so this covers the loss of every owner once.
	RetryBurst = 100
	// RetryBackoff is the delay before a sub-request is sent to the same owner again, or to another
	// owner after maxImmediateResends. It doubles each time the sub-request is sent again, up to
	// MaxRetryBackoff.
	RetryBackoff    = 20 * time.Millisecond
	MaxRetryBackoff = 160 * time.Millisecond

	// maxShardRetries limits how often the sub-request for one shard is sent again without proof
	// that it had not run.
	maxShardRetries = 2
	// maxShardResends limits how often the sub-request for one shard is sent again with that
	// proof. With the backoff the resends span about 0.9 s, most of the time that another VM needs
	// to take over a shard key.
	maxShardResends = 8
	// maxImmediateResends is the number of resends that go to another owner without a backoff.
	// It prevents a fast loop between two VMs that each name the other as owner.
	maxImmediateResends = 2

	initialRetries = RetryBurst / 10
	tokensPerRetry = 100 / RetryPercent // tokens that one retry costs
)

// retryBudget is a token bucket: each sub-request sent for the first time adds one token, and a
// retry without proof that the sub-request had not run takes tokensPerRetry tokens.
type retryBudget struct{ tokens int }

func newRetryBudget() retryBudget { return retryBudget{tokens: initialRetries * tokensPerRetry} }

// addTokens adds one token for each sub-request that is sent for the first time.
func (b *retryBudget) addTokens(subRequests int) {
	b.tokens = min(b.tokens+subRequests, RetryBurst*tokensPerRetry)
}

// takeTokens removes the tokens of one retry and reports whether there were enough.
func (b *retryBudget) takeTokens() bool {
	if b.tokens < tokensPerRetry {
		return false
	}
	b.tokens -= tokensPerRetry
	return true
}

// ownerInView returns the owner of a shard key according to the view, and reports whether there is
// one that is alive.
func (t *Table) ownerInView(key model.ShardKey) (model.Owner, bool) {
	owner, ok := t.view.Owners[key]
	return owner, ok && t.aliveInView(owner.VM)
}

// aliveInView reports whether a VM is this one or a peer that is alive according to the view.
func (t *Table) aliveInView(vm model.VM) bool {
	return vm != "" && (vm == t.view.Self || t.view.Peers[vm].Alive)
}

// processEnded reports whether the owner's process has ended according to the view: its VM is no
// longer alive or has another boot.
func (t *Table) processEnded(owner model.Owner) bool {
	if owner.VM == t.view.Self {
		return false
	}
	peer := t.view.Peers[owner.VM]
	return !peer.Alive || peer.Boot != 0 && owner.Boot != 0 && peer.Boot != owner.Boot
}

// retryUnanswered handles an idempotent sub-request that may have run and will not be answered. It
// schedules the sub-request to be sent again or, if a limit of retries is reached, marks the shard
// as missing.
func (t *Table) retryUnanswered(q *query, i int, now model.Time, out *effect.List) {
	s := &q.shards[i]
	s.server = ""
	q.mayHaveRun = true
	bound := max(maxShardRetries, len(q.shards)/2)
	if s.retries >= maxShardRetries || q.retries >= bound || !t.retryBudget.takeTokens() {
		count(out, CountRetriesDenied, 1)
		q.markMissing(s, model.MissingNoOwner)
		return
	}
	s.retries++
	q.retries++
	s.reason = model.MissingNoOwner
	t.resend(q, i, model.Owner{}, now, out)
}

// resendNotRun handles a sub-request that is known not to have run. It schedules the sub-request to
// be sent again or, after maxShardResends, marks the shard as missing. The hint is the owner that
// the receiver named, if any.
func (t *Table) resendNotRun(q *query, i int, hint model.Owner, now model.Time, out *effect.List) {
	s := &q.shards[i]
	s.reason = model.MissingNoOwner
	if s.resends >= maxShardResends {
		q.markMissing(s, model.MissingNoOwner)
		return
	}
	s.resends++
	t.resend(q, i, hint, now, out)
}

// resendAfterEpochChange handles an owner that has another partition map than the query. If the
// view still has the query's map, the owner may receive it soon, so the sub-request is sent again
// after a backoff. Otherwise the shard is missing until the query restarts with the view's map.
func (t *Table) resendAfterEpochChange(q *query, i int, now model.Time, out *effect.List) {
	s := &q.shards[i]
	partition := t.routes.partition(q.req.Route, q.version)
	stale := partition == nil || partition.epoch != q.partition.epoch
	if stale || s.resends >= maxShardResends {
		q.markMissing(s, model.MissingRepartition)
		return
	}
	s.resends++
	s.reason = model.MissingRepartition
	q.backOff(s, now)
	count(out, CountRetries, 1)
}

// resend prepares a sub-request to be sent again. If no owner is known, the shard waits for one. If
// the owner has changed and maxImmediateResends is not exceeded, the sub-request is ready to be
// sent. Otherwise it is sent after a backoff. The hint takes precedence over the view's owner.
func (t *Table) resend(q *query, i int, hint model.Owner, now model.Time, out *effect.List) {
	s := &q.shards[i]
	count(out, CountRetries, 1)
	owner, ok := t.ownerInView(q.keys[i])
	if hint != s.owner && t.aliveInView(hint.VM) {
		owner, ok = hint, true
	}
	switch {
	case !ok:
		s.state = shardUnassigned
	case owner != s.owner && s.resends <= maxImmediateResends:
		q.markReady(s, owner)
	default:
		q.backOff(s, now)
	}
}

// backOff makes a shard wait before its sub-request is sent again.
func (q *query) backOff(s *shardProgress, now model.Time) {
	doublings := max(s.resends+s.retries-1, 0)
	wait := min(RetryBackoff<<doublings, MaxRetryBackoff)
	s.state = shardBackoff
	s.retryAt = now.Add(wait)
	q.hasBackoff = true
}

// endExpiredBackoffs assigns owners to the shards whose backoff has ended. A shard that can no
// longer be sent in time stays in its backoff.
func (t *Table) endExpiredBackoffs(q *query, now model.Time) {
	for i := range q.shards {
		s := &q.shards[i]
		if s.state != shardBackoff || s.retryAt > now {
			continue
		}
		if now >= q.sendDeadline {
			s.retryAt = model.Never
			continue
		}
		s.state = shardUnassigned
	}
	t.assignOwners(q)
}

// applyViewToQuery updates a query after a change of the view. Sub-requests to a process that has
// ended are sent again, and shards that have a new owner are sent to it.
func (t *Table) applyViewToQuery(q *query, now model.Time, out *effect.List) {
	if q.req.Kind == model.KindSubmit {
		t.advanceSubmit(q, now, out)
		return
	}
	for i := range q.shards {
		s := &q.shards[i]
		switch {
		case s.state == shardSent && t.processEnded(s.owner):
			t.retryUnanswered(q, i, now, out)
		case s.state == shardBackoff && s.reason == model.MissingNoOwner:
			t.redirect(q, i)
		}
	}
	t.assignOwners(q)
	t.advance(q, now, out)
}

// redirect ends the backoff of a shard if its owner has changed.
func (t *Table) redirect(q *query, i int) {
	s := &q.shards[i]
	if owner, ok := t.ownerInView(q.keys[i]); ok && owner != s.owner {
		q.markReady(s, owner)
	}
}
