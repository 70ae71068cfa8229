package query

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Steps at which a refusal arises.
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
	// AnswerReserve is how long before the caller's deadline the entry daemon answers, so
	// that the answer arrives in time.
	AnswerReserve = 2 * time.Millisecond
	// HopReserve is what the budget of a sub-request is shorter than the time that the entry
	// daemon waits, so that the last reply of an owner still counts.
	HopReserve = time.Millisecond
	// DefaultTimeout is the deadline of a request when neither it nor its route has one.
	DefaultTimeout = time.Second
	// MaxTimeout bounds the time for which a query holds memory.
	MaxTimeout = 10 * time.Minute
	// RetryAfterDrain is advice to a caller that reached a daemon which is leaving.
	RetryAfterDrain = 50 * time.Millisecond
	// RetryAfterConfig is advice to a caller that reached a daemon without configuration; a
	// new daemon has it within a few heartbeats.
	RetryAfterConfig = 500 * time.Millisecond
	// RetryAfterShed is advice to the caller of a submit that was not run.
	RetryAfterShed = 200 * time.Millisecond

	// restartCheck is the share of a query's time after which it restarts without waiting
	// for all replies. It lies below one half, since a restart needs half of the time.
	restartCheckPercent = 40
)

// plan validates a request and returns the query for it, or a refusal.
func (t *Table) plan(req model.Request, now model.Time) (*query, *model.Refusal) {
	entry, refusal := t.lookUp(&req)
	if refusal != nil {
		return nil, refusal
	}
	class, refusal := validate(&req, entry.config)
	if refusal != nil {
		return nil, refusal
	}
	q := &query{req: req, class: class, floor: floorOf(&req, entry.config), received: now, heapIndex: -1}
	if !q.setDeadline(entry.config.Timeout) {
		return nil, notRun(stepPlan, "no time is left before the deadline", 0)
	}
	t.chooseVersion(q, entry)
	part := entry.versions[q.version]
	if part == nil || len(part.keys) == 0 {
		reason := fmt.Sprintf("version %q of route %s has no shards", q.version, req.Route)
		return nil, notRun(stepPlan, reason, RetryAfterConfig)
	}
	if refusal := t.planRun(q, part); refusal != nil {
		return nil, refusal
	}
	return q, nil
}

// lookUp finds the route of a request.
func (t *Table) lookUp(req *model.Request) (*routeEntry, *model.Refusal) {
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

// validate checks the parts of a request that do not depend on the version.
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

// planRun sets up the first run of a query.
func (t *Table) planRun(q *query, part *partition) *model.Refusal {
	keys, ranges := q.selectShards(part)
	if len(keys) == 0 {
		return invalid(stepValidate, "shard %q does not exist in version %q of route %q",
			q.req.Shard, q.version, q.req.Route)
	}
	pin := q.req.Snapshot
	if pin != 0 && tooOld(ranges, pin) {
		return invalid(stepSnapshot, "no shard serves snapshot %d any more", pin)
	}
	if pin == 0 {
		pin = pinned(ranges)
	}
	q.start(part, t.newRun(), pin)
	return nil
}

// setDeadline derives the times of a query from its budget. It reports whether any time is
// left for sub-requests.
func (q *query) setDeadline(routeTimeout time.Duration) bool {
	budget := cmp.Or(q.req.Budget, routeTimeout, DefaultTimeout)
	budget = min(budget, MaxTimeout)
	if budget <= AnswerReserve+HopReserve {
		return false
	}
	total := budget - AnswerReserve
	q.deadline = q.received.Add(total)
	q.sendUntil = q.deadline.Add(-HopReserve)
	q.halfTime = q.received.Add(total / 2)
	q.checkTime = q.received.Add(total / 100 * restartCheckPercent)
	return true
}

// chooseVersion picks one version for the whole query.
func (t *Table) chooseVersion(q *query, entry *routeEntry) {
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
		q.moved = true
	}
}

// selectShards returns the keys that a request needs: all shards for a search, else the named
// one if it exists.
func (q *query) selectShards(part *partition) ([]model.ShardKey, []*snapshotRange) {
	if q.req.Kind == model.KindSearch {
		return part.keys, part.ranges
	}
	i, ok := part.index[q.req.Shard]
	if !ok {
		return nil, nil
	}
	return part.keys[i : i+1], part.ranges[i : i+1]
}

// place names the owner of every shard that has none yet.
func (t *Table) place(q *query) {
	for i := range q.shards {
		s := &q.shards[i]
		if s.state != shardWaiting {
			continue
		}
		if owner, ok := t.owner(q.keys[i]); ok {
			q.ready(s, owner)
		}
	}
}

// sendReady sends the sub-requests that are ready, in one message per owner.
func (t *Table) sendReady(q *query, now model.Time, out *effect.List) {
	if !q.hasReady || now >= q.sendUntil {
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
		m := slices.IndexFunc(messages, func(m effect.SendSubRequests) bool { return m.To == s.peer.VM })
		messages[m].Requests = append(messages[m].Requests, t.subRequest(q, i, now))
	}
	for _, m := range messages {
		out.Add(m)
	}
}

// readyMessages returns one message per owner of a ready shard, sorted by owner, with room for
// its sub-requests.
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
		g := slices.IndexFunc(groups, func(g group) bool { return g.to == s.peer.VM })
		if g < 0 {
			g = len(groups)
			groups = append(groups, group{to: s.peer.VM})
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
		Epoch:    q.part.epoch,
		Owner:    q.shards[shard].peer,
		Budget:   q.sendUntil.Sub(now),
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
