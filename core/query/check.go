package query

import "fmt"

// Check reports the first broken invariant, in the order of the timers. It takes time in
// proportion to the shards of the running queries.
func (t *Table) Check() error {
	for i, q := range t.timers.queries {
		if q.heapIndex != i {
			return fmt.Errorf("query %d has its timer at %d instead of %d", q.req.Query, i, q.heapIndex)
		}
		if q.ended {
			return fmt.Errorf("query %d has ended but keeps its timer", q.req.Query)
		}
		if t.queries[q.req.Query] != q {
			return fmt.Errorf("query %d has a timer but does not run", q.req.Query)
		}
		if err := q.check(); err != nil {
			return fmt.Errorf("query %d: %w", q.req.Query, err)
		}
	}
	if len(t.queries) != len(t.timers.queries) {
		return fmt.Errorf("%d queries run on %d timers", len(t.queries), len(t.timers.queries))
	}
	return nil
}

func (q *query) check() error {
	pending := 0
	for i := range q.shards {
		s := &q.shards[i]
		switch s.state {
		case shardAnswered:
			if q.pin != 0 && s.snapshot != q.pin {
				return fmt.Errorf("shard %s answered from snapshot %d instead of %d", q.keys[i].Shard, s.snapshot, q.pin)
			}
		case shardMissing:
		default:
			pending++
		}
	}
	if pending != q.pending {
		return fmt.Errorf("%d shards are pending, counted as %d", pending, q.pending)
	}
	if pending == 0 {
		return fmt.Errorf("no shard is pending, but the caller has no answer")
	}
	return nil
}
