package query

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Values of model.Refusal.Step: the step of processing at which a request was refused.
const (
	stepDrain    = "drain"
	stepConfig   = "config"
	stepValidate = "validate"
	stepPlan     = "plan"
	stepOwner    = "owner"
	stepSend     = "send"
	stepSnapshot = "snapshot"
	stepGather   = "gather"
	stepSubmit   = "submit"
)

const (
	// AnswerReserve is the time before the caller's deadline at which the entry daemon answers
	// at the latest, so that the answer arrives in time.
	AnswerReserve = 2 * time.Millisecond
	// HopReserve is the difference between the time that the entry daemon waits for replies and
	// the budget of a sub-request, so that a reply sent at the end of the budget still arrives
	// in time.
	HopReserve = time.Millisecond
	// DefaultTimeout is the timeout of a request when neither it nor its route sets one.
	DefaultTimeout = time.Second
	// MaxTimeout is the upper limit of a request's timeout. It bounds the time for which a query
	// holds memory.
	MaxTimeout = 10 * time.Minute
	// RetryAfterDrain is the retry delay suggested to a caller that reached a draining daemon.
	RetryAfterDrain = 50 * time.Millisecond
	// RetryAfterConfig is the retry delay suggested to a caller that reached a daemon without
	// the configuration it needs. A new daemon receives it within a few heartbeats.
	RetryAfterConfig = 500 * time.Millisecond
	// RetryAfterShed is the retry delay suggested to the caller of a submit that was not run.
	RetryAfterShed = 200 * time.Millisecond

	// restartCheckPercent is the percentage of a query's time after which it may restart without
	// waiting for all replies. It is below 50, since a restart must begin in the first half.
	restartCheckPercent = 40
)

// plan validates a request and returns a query for it, or a refusal. The first run of the query
// is set up, but no sub-request has been sent.
func (t *Table) plan(req model.Request, now model.Time) (*query, *model.Refusal) {
	entry, refusal := t.lookUpRoute(&req)
	if refusal != nil {
		return nil, refusal
	}
	class, refusal := validate(&req, entry.config)
	if refusal != nil {
		return nil, refusal
	}
	q := &query{req: req, class: class, coverageFloor: coverageFloor(&req, entry.config), received: now, heapIndex: -1}
	if !q.setDeadlines(entry.config.Timeout) {
		return nil, notRun(stepPlan, "no time is left before the deadline", 0)
	}
	t.chooseVersion(q, entry)
	partition := entry.versions[q.version]
	if partition == nil || len(partition.keys) == 0 {
		reason := fmt.Sprintf("version %q of route %s has no shards", q.version, req.Route)
		return nil, notRun(stepPlan, reason, RetryAfterConfig)
	}
	if refusal := t.planFirstRun(q, partition); refusal != nil {
		return nil, refusal
	}
	return q, nil
}

// lookUpRoute returns the route of a request, or a refusal if it does not exist or if this daemon
// accepts no requests now.
func (t *Table) lookUpRoute(req *model.Request) (*cachedRoute, *model.Refusal) {
	if t.view == nil || t.view.Config == nil || len(t.view.Config.Templates) == 0 {
		return nil, notRun(stepConfig, "no template is known yet", RetryAfterConfig)
	}
	if t.view.Draining {
		return nil, notRun(stepDrain, "this daemon takes no new requests", RetryAfterDrain)
	}
	if t.routes.template(req.Route.Customer) == nil {
		return nil, invalid(stepValidate, "customer %q does not exist", req.Route.Customer)
	}
	entry := t.routes.route(req.Route)
	if entry == nil {
		return nil, invalid(stepValidate, "route %q does not exist", req.Route)
	}
	return entry, nil
}

// validate checks the fields of a request that do not depend on the version, and returns the
// request's class.
func validate(req *model.Request, route *model.RouteConfig) (model.Class, *model.Refusal) {
	if req.Kind > model.KindSubmit {
		return 0, invalid(stepValidate, "kind %d does not exist", req.Kind)
	}
	class, ok := route.ClassOf(req.ClassName)
	if !ok {
		return 0, invalid(stepValidate, "class %q does not exist on route %q", req.ClassName, req.Route)
	}
	if req.Limit < 0 {
		return 0, invalid(stepValidate, "limit %d is negative", req.Limit)
	}
	if req.MinCoverage > 1 {
		return 0, invalid(stepValidate, "least coverage %g is above 1", req.MinCoverage)
	}
	if req.Kind == model.KindSubmit && req.Snapshot != 0 {
		return 0, invalid(stepValidate, "a submit cannot name a snapshot")
	}
	return class, nil
}

// planFirstRun selects the shards and the snapshot of a query and sets up its first run.
func (t *Table) planFirstRun(q *query, partition *partitionMap) *model.Refusal {
	keys, ranges := q.selectShards(partition)
	if len(keys) == 0 {
		return invalid(stepValidate, "shard %q does not exist in version %q of route %q",
			q.req.Shard, q.version, q.req.Route)
	}
	pin := q.req.Snapshot
	if pin != 0 && droppedByAll(ranges, pin) {
		return invalid(stepSnapshot, "no shard serves snapshot %d any more", pin)
	}
	if pin == 0 {
		pin = choosePin(ranges)
	}
	q.startRun(partition, t.newRun(), pin)
	return nil
}

// setDeadlines sets the deadlines of a query and of its steps from its budget. It reports whether
// any time is left for sub-requests.
func (q *query) setDeadlines(routeTimeout time.Duration) bool {
	budget := cmp.Or(q.req.Budget, routeTimeout, DefaultTimeout)
	budget = min(budget, MaxTimeout)
	if budget <= AnswerReserve+HopReserve {
		return false
	}
	total := budget - AnswerReserve
	q.answerDeadline = q.received.Add(total)
	q.sendDeadline = q.answerDeadline.Add(-HopReserve)
	q.halfTime = q.received.Add(total / 2)
	q.restartCheckTime = q.received.Add(total / 100 * restartCheckPercent)
	return true
}

// chooseVersion sets the version of the whole query: the route's stable version or, while a move
// is running, one of the move's two versions at random in proportion to the move's share.
func (t *Table) chooseVersion(q *query, entry *cachedRoute) {
	share, ok := t.view.Config.Shares[q.req.Route]
	if !ok {
		q.version = entry.config.StableVersion
		return
	}
	q.move = share.Move
	q.version = share.From
	if t.rng.Float64() >= share.Share {
		return
	}
	if _, ok := entry.versions[share.To]; ok {
		q.version = share.To
		q.onNewVersion = true
	}
}

// selectShards returns the shard keys that a request needs, with their snapshot ranges: all shards
// for a search, otherwise the named shard, or nothing if it does not exist.
func (q *query) selectShards(partition *partitionMap) ([]model.ShardKey, []*snapshotRange) {
	if q.req.Kind == model.KindSearch {
		return partition.keys, partition.ranges
	}
	i, ok := partition.index[q.req.Shard]
	if !ok {
		return nil, nil
	}
	return partition.keys[i : i+1], partition.ranges[i : i+1]
}

// assignOwners assigns an owner to every unassigned shard whose owner is known.
func (t *Table) assignOwners(q *query) {
	for i := range q.shards {
		s := &q.shards[i]
		if s.state != shardUnassigned {
			continue
		}
		if owner, ok := t.ownerInView(q.keys[i]); ok {
			q.markReady(s, owner)
		}
	}
}

// sendReady sends the sub-requests that are ready, in one message per owner.
func (t *Table) sendReady(q *query, now model.Time, out *effect.List) {
	if !q.hasReady || now >= q.sendDeadline {
		return
	}
	q.hasReady = false
	messages := q.readyMessages()
	for i := range q.shards {
		s := &q.shards[i]
		if s.state != shardReady {
			continue
		}
		s.state = shardSent
		m := slices.IndexFunc(messages, func(m effect.SendSubRequests) bool { return m.To == s.owner.VM })
		messages[m].Requests = append(messages[m].Requests, t.subRequest(q, i, now))
	}
	for _, m := range messages {
		out.Add(m)
	}
}

// readyMessages returns one empty message per owner of a ready shard, sorted by owner, with
// capacity for its sub-requests.
func (q *query) readyMessages() []effect.SendSubRequests {
	type group struct {
		to   model.VM
		size int
	}
	var groups []group
	for i := range q.shards {
		s := &q.shards[i]
		if s.state != shardReady {
			continue
		}
		g := slices.IndexFunc(groups, func(g group) bool { return g.to == s.owner.VM })
		if g < 0 {
			g = len(groups)
			groups = append(groups, group{to: s.owner.VM})
		}
		groups[g].size++
	}
	slices.SortFunc(groups, func(a, b group) int { return cmp.Compare(a.to, b.to) })
	messages := make([]effect.SendSubRequests, len(groups))
	for i, g := range groups {
		messages[i] = effect.SendSubRequests{To: g.to, Requests: make([]model.SubRequest, 0, g.size)}
	}
	return messages
}

func (t *Table) subRequest(q *query, shard int, now model.Time) model.SubRequest {
	r := model.SubRequest{
		Query:    q.req.Query,
		Run:      q.run,
		Entry:    t.view.Self,
		Key:      q.keys[shard],
		Kind:     q.req.Kind,
		Class:    q.class,
		Snapshot: q.pin,
		Epoch:    q.partition.epoch,
		Owner:    q.shards[shard].owner,
		Budget:   q.sendDeadline.Sub(now),
		Limit:    q.req.Limit,
		Payload:  q.req.Payload,
		Trace:    q.req.Trace,
	}
	if q.req.Kind == model.KindSubmit {
		r.Dedupe = q.req.Key
		r.Repeat = q.req.Repeat
	}
	return r
}

func notRun(step, reason string, retryAfter time.Duration) *model.Refusal {
	return &model.Refusal{Code: model.RefusedNotRun, Step: step, Reason: reason, RetryAfter: retryAfter}
}

func invalid(step, format string, args ...any) *model.Refusal {
	return &model.Refusal{Code: model.RefusedInvalid, Step: step, Reason: fmt.Sprintf(format, args...)}
}
