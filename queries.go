package gooseberrylock

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// queryTable holds the callers' requests that have not been answered yet.
type queryTable struct {
	workers int
	limit   int

	mu      sync.Mutex
	lastID  uint64 // ID of the last query; starts at a random value, so that late replies to queries of an earlier process match none
	waiting map[model.QueryID]chan effect.ReplyCaller
}

func newQueryTable(workers, limit int) *queryTable {
	return &queryTable{
		workers: workers,
		limit:   limit,
		lastID:  rand.Uint64() >> 1,
		waiting: make(map[model.QueryID]chan effect.ReplyCaller),
	}
}

// add registers a request and returns its ID and the channel on which its reply arrives. The channel
// is nil if the maximum number of requests is already running.
func (t *queryTable) add() (model.QueryID, chan effect.ReplyCaller) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) >= t.limit {
		return 0, nil
	}
	t.lastID++
	id := model.QueryID(t.lastID)
	ch := make(chan effect.ReplyCaller, 1)
	t.waiting[id] = ch
	return id, ch
}

func (t *queryTable) remove(id model.QueryID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, id)
}

// deliverReply passes a reply to the request that waits for it. A reply to a request that is no
// longer registered is dropped.
func (t *queryTable) deliverReply(r effect.ReplyCaller) {
	t.mu.Lock()
	ch := t.waiting[r.Query]
	delete(t.waiting, r.Query)
	t.mu.Unlock()
	if ch != nil {
		ch <- r
	}
}

func (t *queryTable) running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting)
}

// Do runs one request of a caller and returns its answer. The error is always a *model.Refusal: from
// the query tier if the request was refused, or with the code model.RefusedOutcomeUnknown if ctx
// ended before there was an answer.
func (d *Daemon) Do(ctx context.Context, r model.Request) (*model.Answer, error) {
	id, ch := d.queries.add()
	if ch == nil {
		d.metrics.recordRefusal(model.RefusedNotRun)
		return nil, &model.Refusal{
			Code:       model.RefusedNotRun,
			Step:       "accept",
			Peer:       string(d.cfg.Settings.VM),
			Reason:     "too many requests run on this daemon",
			RetryAfter: busyRetryAfter,
		}
	}
	defer d.queries.remove(id)
	r.Query = id
	ctx, span := d.tracing.startQuery(ctx, &r)
	defer span.End()
	w := d.workerOfQuery(id)
	w.enqueue(event.RequestReceived{Request: r})
	select {
	case reply := <-ch:
		if reply.Refusal != nil {
			d.metrics.recordRefusal(reply.Refusal.Code)
			recordRefusal(span, reply.Refusal)
			return nil, reply.Refusal
		}
		d.metrics.recordAnswer(reply.Answer)
		recordAnswer(span, reply.Answer)
		return reply.Answer, nil
	case <-ctx.Done():
		w.enqueue(event.CallerGone{Query: id})
		return nil, &model.Refusal{
			Code:   model.RefusedOutcomeUnknown,
			Step:   "wait for answer",
			Peer:   string(d.cfg.Settings.VM),
			Reason: "the caller has gone",
		}
	}
}
