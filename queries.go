package gooseberrylock

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// queryTable holds the callers that wait for an answer.
type queryTable struct {
	workers int
	limit   int

	mu      sync.Mutex
	last    uint64 // starts at random, so that replies to an earlier process match no query of this one
	waiting map[model.QueryID]chan effect.ReplyCaller
}

func newQueryTable(workers, limit int) *queryTable {
	return &queryTable{
		workers: workers,
		limit:   limit,
		last:    rand.Uint64() >> 1,
		waiting: make(map[model.QueryID]chan effect.ReplyCaller),
	}
}

// add registers a caller. The second result is nil when too many requests run already.
func (t *queryTable) add() (model.QueryID, chan effect.ReplyCaller) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) >= t.limit {
		return 0, nil
	}
	t.last++
	id := model.QueryID(t.last)
	ch := make(chan effect.ReplyCaller, 1)
	t.waiting[id] = ch
	return id, ch
}

func (t *queryTable) remove(id model.QueryID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, id)
}

func (t *queryTable) finish(r effect.ReplyCaller) {
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

// Do answers one request of a caller. The error is a *model.Refusal if the request was
// refused.
func (d *Daemon) Do(ctx context.Context, r model.Request) (*model.Answer, error) {
	id, ch := d.queries.add()
	if ch == nil {
		d.metrics.refused(model.RefusedNotRun)
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
	ctx, span := d.tracing.query(ctx, &r)
	defer span.End()
	w := d.workerOfQuery(id)
	w.put(event.RequestReceived{Request: r})
	select {
	case reply := <-ch:
		if reply.Refusal != nil {
			d.metrics.refused(reply.Refusal.Code)
			recordRefusal(span, reply.Refusal)
			return nil, reply.Refusal
		}
		d.metrics.answered(reply.Answer)
		recordAnswer(span, reply.Answer)
		return reply.Answer, nil
	case <-ctx.Done():
		w.put(event.CallerGone{Query: id})
		return nil, &model.Refusal{
			Code:   model.RefusedOutcomeUnknown,
			Step:   "wait for answer",
			Peer:   string(d.cfg.Settings.VM),
			Reason: "the caller has gone",
		}
	}
}
