package query

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// RetryPercent bounds the sub-requests that are sent again although they may have run,
	// in percent of those sent first.
	RetryPercent = 10
	// RetryBurst is the most retries saved up. One worker at target load (150 queries a
	// second over 60 shards at 10 ms) has about 90 sub-requests in flight, so this covers
	// the loss of every owner once.
	RetryBurst = 100
	// RetryBackoff is the wait before a sub-request goes to the same owner again; it doubles
	// with each resend up to MaxRetryBackoff.
	RetryBackoff    = 20 * time.Millisecond
	MaxRetryBackoff = 160 * time.Millisecond

	// maxShardRetries bounds the retries of one shard without proof that it had not run.
	maxShardRetries = 2
	// maxResends bounds the resends of one shard with that proof. With the backoff they span
	// about 0.9 s, most of a takeover.
	maxResends = 8
	// fastResends is the number of resends that go to another owner at once. Two VMs that
	// each name the other as owner are then asked only after a backoff.
	fastResends = 2

	initialRetries = RetryBurst / 10
	retryCost      = 100 / RetryPercent // sub-requests that earn one retry
)

// retryBudget is a token bucket, counted in sub-requests.
type retryBudget struct{ earned int }

func newRetryBudget() retryBudget { return retryBudget{earned: initialRetries * retryCost} }

// earn adds sub-requests that are sent for the first time.
func (b *retryBudget) earn(subRequests int) {
	b.earned = min(b.earned+subRequests, RetryBurst*retryCost)
}

// spend takes one retry, if there is one.
func (b *retryBudget) spend() bool {
	if b.earned < retryCost {
		return false
	}
	b.earned -= retryCost
	return true
}

// owner returns the owner of a shard key if it is known and alive.
func (t *Table) owner(key model.ShardKey) (model.Owner, bool) {
	owner, ok := t.view.Owners[key]
	return owner, ok && t.alive(owner.VM)
}

func (t *Table) alive(vm model.VM) bool {
	return vm != "" && (vm == t.view.Self || t.view.Peers[vm].Alive)
}

// lostWith reports whether the process that a sub-request was sent to has ended.
func (t *Table) lostWith(owner model.Owner) bool {
	if owner.VM == t.view.Self {
		return false
	}
	peer := t.view.Peers[owner.VM]
	return !peer.Alive || peer.Boot != 0 && owner.Boot != 0 && peer.Boot != owner.Boot
}

// retryLost sends an idempotent sub-request again that may have run, within the bounds.
func (t *Table) retryLost(q *query, i int, now model.Time, out *effect.List) {
	s := &q.shards[i]
	s.server = ""
	q.mayHaveRun = true
	bound := max(maxShardRetries, len(q.shards)/2)
	if s.retries >= maxShardRetries || q.retries >= bound || !t.budget.spend() {
		count(out, CountRetriesDenied, 1)
		q.miss(s, model.MissingNoOwner)
		return
	}
	s.retries++
	q.retries++
	s.reason = model.MissingNoOwner
	t.resend(q, i, model.Owner{}, now, out)
}

// resendNotRun sends a sub-request again that is known not to have run. The hint is the owner
// that the receiver named, if any.
func (t *Table) resendNotRun(q *query, i int, hint model.Owner, now model.Time, out *effect.List) {
	s := &q.shards[i]
	s.reason = model.MissingNoOwner
	if s.resends >= maxResends {
		q.miss(s, model.MissingNoOwner)
		return
	}
	s.resends++
	t.resend(q, i, hint, now, out)
}

// resendEpoch waits until entry and owner have the same partition map: either the owner learns
// of the planned one, or a new view starts the second run.
func (t *Table) resendEpoch(q *query, i int, now model.Time, out *effect.List) {
	s := &q.shards[i]
	part := t.routes.partition(q.req.Route, q.version)
	stale := part == nil || part.epoch != q.part.epoch
	if stale || s.resends >= maxResends {
		q.miss(s, model.MissingRepartition)
		return
	}
	s.resends++
	s.reason = model.MissingRepartition
	q.backOff(s, now)
	count(out, CountRetries, 1)
}

func (t *Table) resend(q *query, i int, hint model.Owner, now model.Time, out *effect.List) {
	s := &q.shards[i]
	count(out, CountRetries, 1)
	owner, ok := t.owner(q.keys[i])
	if hint != s.peer && t.alive(hint.VM) {
		owner, ok = hint, true
	}
	switch {
	case !ok:
		s.state = shardWaiting
	case owner != s.peer && s.resends <= fastResends:
		q.ready(s, owner)
	default:
		q.backOff(s, now)
	}
}

func (q *query) backOff(s *shard, now model.Time) {
	doublings := max(s.resends+s.retries-1, 0)
	wait := min(RetryBackoff<<doublings, MaxRetryBackoff)
	s.state = shardBackoff
	s.retryAt = now.Add(wait)
	q.hasBackoff = true
}

// retryDue makes the sub-requests ready whose backoff is over.
func (t *Table) retryDue(q *query, now model.Time) {
	for i := range q.shards {
		s := &q.shards[i]
		if s.state != shardBackoff || s.retryAt > now {
			continue
		}
		if now >= q.sendUntil {
			s.retryAt = model.Never
			continue
		}
		s.state = shardWaiting
	}
	t.place(q)
}

// applyView reacts to a new view: shards with a new owner are sent, and what was sent to a
// process that has ended is sent again.
func (t *Table) applyView(q *query, now model.Time, out *effect.List) {
	if q.req.Kind == model.KindSubmit {
		t.submitAdvance(q, now, out)
		return
	}
	for i := range q.shards {
		s := &q.shards[i]
		switch {
		case s.state == shardSent && t.lostWith(s.peer):
			t.retryLost(q, i, now, out)
		case s.state == shardBackoff && s.reason == model.MissingNoOwner:
			t.redirect(q, i)
		}
	}
	t.place(q)
	t.advance(q, now, out)
}

// redirect ends the backoff of a shard whose owner has changed.
func (t *Table) redirect(q *query, i int) {
	s := &q.shards[i]
	if owner, ok := t.owner(q.keys[i]); ok && owner != s.peer {
		q.ready(s, owner)
	}
}
