package query

import (
	"container/heap"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// timerHeap holds one timer per running query, the earliest first.
type timerHeap struct{ queries queryHeap }

// next returns the time of the earliest timer.
func (h *timerHeap) next() model.Time {
	if len(h.queries) == 0 {
		return model.Never
	}
	return h.queries[0].wakeAt
}

// set starts or moves the timer of a query.
func (h *timerHeap) set(q *query, at model.Time) {
	if q.heapIndex >= 0 {
		if q.wakeAt == at {
			return
		}
		q.wakeAt = at
		heap.Fix(&h.queries, q.heapIndex)
		return
	}
	q.wakeAt = at
	heap.Push(&h.queries, q)
}

func (h *timerHeap) remove(q *query) {
	if q.heapIndex >= 0 {
		heap.Remove(&h.queries, q.heapIndex)
	}
}

// due removes and returns the queries whose timers have passed.
func (h *timerHeap) due(now model.Time) []*query {
	var due []*query
	for h.next() <= now && len(h.queries) > 0 {
		due = append(due, heap.Pop(&h.queries).(*query))
	}
	return due
}

// queryHeap implements heap.Interface, ordered by time and then by query ID.
type queryHeap []*query

func (h queryHeap) Len() int { return len(h) }

func (h queryHeap) Less(i, j int) bool {
	if h[i].wakeAt != h[j].wakeAt {
		return h[i].wakeAt < h[j].wakeAt
	}
	return h[i].req.Query < h[j].req.Query
}

func (h queryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

func (h *queryHeap) Push(x any) {
	q := x.(*query)
	q.heapIndex = len(*h)
	*h = append(*h, q)
}

func (h *queryHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	q.heapIndex = -1
	return q
}
