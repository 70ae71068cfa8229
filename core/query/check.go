package query

import "fmt"

// Check returns an error that describes the first violated invariant, in the order of the timer
// heap, or nil. Its cost is linear in the number of shards of the running queries.
func (t *Table) Check() error {
	for i, q := range t.timers.queries {
		if q.heapIndex != i {
			return fmt.Errorf("query %d has its timer at heap index %d, but records index %d", q.req.Query, i, q.heapIndex)
		}
		if q.ended {
			return fmt.Errorf("query %d has ended, but its timer is still set", q.req.Query)
		}
		if t.queries[q.req.Query] != q {
			return fmt.Errorf("query %d has a timer, but is not in the table", q.req.Query)
		}
		if err := q.check(); err != nil {
			return fmt.Errorf("query %d: %w", q.req.Query, err)
		}
	}
	if len(t.queries) != len(t.timers.queries) {
		return fmt.Errorf("%d queries are running, but %d timers are set", len(t.queries), len(t.timers.queries))
	}
	return nil
}

// check returns an error that describes the first violated invariant of one query, or nil.
func (q *query) check() error {
	pending := 0
	for i := range q.shards {
		s := &q.shards[i]
		switch s.state {
		case shardAnswered:
			if q.pin != 0 && s.snapshot != q.pin {
				return fmt.Errorf("shard %s answered from snapshot %d instead of the pinned snapshot %d", q.keys[i].Shard, s.snapshot, q.pin)
			}
		case shardMissing:
		default:
			pending++
		}
	}
	if pending != q.pending {
		return fmt.Errorf("%d shards are pending, but the counter is %d", pending, q.pending)
	}
	if pending == 0 {
		return fmt.Errorf("no shard is pending, but the query has not been answered")
	}
	return nil
}
