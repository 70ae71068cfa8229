package admission

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// MaxQueue is the maximum number of queued requests of one shard key. 6 slots at 8 ms serve
// 750 requests per second, so requests in a longer queue would miss the usual deadlines.
const MaxQueue = 1024

// requestID identifies a sub-request within a shard key.
type requestID struct {
	entry model.VM
	query model.QueryID
	run   uint32
}

// request is the state of one sub-request from receipt to reply.
type request struct {
	sub      model.SubRequest
	key      *shardKey
	sequence uint64
	received model.Time
	deadline model.Time
	queued   bool
	done     bool // answered or withdrawn

	attempts        []*attempt              // attempts in flight
	startedAttempts int                     // number of attempts started so far
	tried           []model.BackendServerID // servers of all started attempts
	retries         int
	hedged          bool

	mayHaveRun bool // a completed attempt may have run
	// Failure to report if no attempt succeeds.
	outcome model.OutcomeCode
	reason  string
	server  model.BackendServerID
	oldest  model.Snapshot
	newest  model.Snapshot
}

func (r *request) id() requestID { return requestID{r.sub.Entry, r.sub.Query, r.sub.Run} }

func (r *request) triedOn(s *server) bool { return slices.Contains(r.tried, s.config.ID) }

// compareRequests orders requests by class, then deadline, then arrival.
func compareRequests(a, b *request) int {
	if c := cmp.Compare(a.sub.Class, b.sub.Class); c != 0 {
		return c
	}
	if c := cmp.Compare(a.deadline, b.deadline); c != 0 {
		return c
	}
	return cmp.Compare(a.sequence, b.sequence)
}

// queue holds requests in the order of compareRequests. It is a slice, since an insertion moves
// at most 8 KB with MaxQueue entries.
type queue struct{ items []*request }

func (q *queue) len() int { return len(q.items) }

func (q *queue) insert(r *request) {
	i, _ := slices.BinarySearchFunc(q.items, r, compareRequests)
	q.items = slices.Insert(q.items, i, r)
}

func (q *queue) remove(r *request) {
	if i, ok := slices.BinarySearchFunc(q.items, r, compareRequests); ok {
		q.items = slices.Delete(q.items, i, i+1)
	}
}

// earliest returns the request with the earliest deadline, or nil. Within a class the first
// request has the earliest deadline, so only the first requests of the classes are compared.
func (q *queue) earliest() *request {
	var first *request
	for i := 0; i < len(q.items); {
		head := q.items[i]
		if first == nil || head.deadline < first.deadline {
			first = head
		}
		rest := q.items[i:]
		i += sort.Search(len(rest), func(j int) bool { return rest[j].sub.Class > head.sub.Class })
	}
	return first
}

func (o *Owner) enqueue(r *request) {
	r.queued = true
	r.key.queue.insert(r)
	o.queued++
	if !r.sub.Kind.Idempotent() {
		o.queuedSubmits++
	}
}

func (o *Owner) dequeue(r *request) {
	r.queued = false
	r.key.queue.remove(r)
	o.queued--
	if !r.sub.Kind.Idempotent() {
		o.queuedSubmits--
	}
}

// admit queues one sub-request and returns its key. It returns nil if the sub-request was
// rejected or is a duplicate.
func (o *Owner) admit(sub *model.SubRequest) *shardKey {
	k := o.keys[sub.Key]
	if !o.isOwnerOf(sub) || k == nil || !k.serving(o.now) {
		o.count(CountNotOwner)
		o.reject(sub, model.OutcomeNotOwner, "key not owned")
		return nil
	}
	if k.shard == nil || k.version.Epoch != sub.Epoch {
		o.reject(sub, model.OutcomeEpochChanged, "partition map changed")
		return nil
	}
	if _, duplicated := k.pending[requestID{sub.Entry, sub.Query, sub.Run}]; duplicated {
		return nil
	}
	if sub.Budget <= 0 {
		o.count(CountExpired)
		o.reject(sub, model.OutcomeExpired, "deadline passed on receipt")
		return nil
	}
	if !sub.Kind.Idempotent() && !o.admitSubmit(k, sub) {
		return nil
	}
	o.lastSequence++
	r := &request{
		sub:      *sub,
		key:      k,
		sequence: o.lastSequence,
		received: o.now,
		deadline: o.now.Add(sub.Budget),
	}
	k.pending[r.id()] = r
	o.enqueue(r)
	return k
}

// isOwnerOf reports whether a sub-request is addressed to this VM and its current boot.
func (o *Owner) isOwnerOf(sub *model.SubRequest) bool {
	return o.view != nil && sub.Owner.VM == o.view.Self && sub.Owner.Boot == o.view.Boot
}

// withdraw drops a request whose reply is no longer needed and cancels its attempts. A
// running submit continues.
func (o *Owner) withdraw(r *request) {
	if len(r.attempts) > 0 && !r.sub.Kind.Idempotent() {
		return
	}
	if r.queued {
		o.dequeue(r)
		r.key.submits.recordOutcome(r, true)
	}
	o.count(CountCancelled)
	o.finish(r)
}

// expire refuses queued requests whose deadline has passed.
func (o *Owner) expire(k *shardKey) {
	for k.queue.len() > 0 {
		r := k.queue.earliest()
		if r.deadline > o.now {
			return
		}
		o.count(CountExpired)
		o.refuse(r, model.OutcomeExpired, "deadline passed in queue")
	}
}

// refuseUnservable refuses all queued requests of a key if no replica is usable.
func (o *Owner) refuseUnservable(k *shardKey) {
	if !slices.ContainsFunc(k.servers, func(s *server) bool { return s.usable }) {
		o.refuseQueued(k, model.OutcomeNoServer, "no usable replica")
	}
}

// refuseRetriesWithoutServer refuses the queued retries for which no untried replica is usable
// after a configuration change.
func (o *Owner) refuseRetriesWithoutServer(k *shardKey) {
	for _, r := range slices.Clone(k.queue.items) {
		if r.startedAttempts > 0 && !k.hasUntriedReplica(r) {
			o.refuse(r, model.OutcomeNoServer, "no other usable replica")
		}
	}
}

// refuseQueued refuses all queued requests of a key.
func (o *Owner) refuseQueued(k *shardKey, outcome model.OutcomeCode, reason string) {
	for k.queue.len() > 0 {
		o.refuse(k.queue.items[0], outcome, reason)
	}
}

// refuseSubmitsAfterPause refuses the queued submits of all keys as not run, since a submit
// must not run after its caller may have given up.
func (o *Owner) refuseSubmitsAfterPause() {
	o.count(CountPauses)
	for _, k := range o.order {
		for _, r := range slices.Clone(k.queue.items) {
			if !r.sub.Kind.Idempotent() {
				o.refuse(r, model.OutcomeExpired, "owner was paused")
			}
		}
		o.schedule(k)
	}
}

// shed refuses queued requests above MaxQueue and those whose estimated wait exceeds the time
// until their deadline. The queue is ordered by class, so the lowest class waits longest and is
// refused first. It does nothing if no new requests were queued and the total limit did not fall
// since the last call.
func (o *Owner) shed(k *shardKey) {
	capacity := k.totalLimit(o.now)
	unchanged := !k.hasNewRequests && capacity >= k.capacity
	k.capacity = capacity
	k.hasNewRequests = false
	if k.queue.len() == 0 || unchanged {
		return
	}
	for k.queue.len() > MaxQueue {
		o.count(CountShed)
		o.refuse(k.queue.items[k.queue.len()-1], model.OutcomeShed, "queue full")
	}
	if capacity == 0 || k.serviceTime.empty() {
		return
	}
	perRequest := k.serviceTime.value / float64(capacity)
	position := 0
	for _, r := range slices.Clone(k.queue.items) {
		wait := time.Duration(float64(position+1) * perRequest)
		if wait <= r.deadline.Sub(o.now) {
			position++
			continue
		}
		o.count(CountShed)
		o.refuse(r, model.OutcomeShed, "estimated wait exceeds the remaining time")
	}
}

// nextQueueChange returns the next time at which the queue must be processed even if no event
// arrives, or model.Never.
func (o *Owner) nextQueueChange(k *shardKey) model.Time {
	if k.queue.len() == 0 {
		return model.Never
	}
	at := min(k.queue.earliest().deadline, k.lease.Until)
	for _, s := range k.servers {
		at = min(at, s.nextChange(o.now))
	}
	return at
}
