package query

import (
	"container/heap"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// timerHeap holds one timer per running query, ordered by time.
type timerHeap struct{ queries queryHeap }

// earliest returns the time of the earliest timer, or model.Never if there is none.
func (h *timerHeap) earliest() model.Time {
	if len(h.queries) == 0 {
		return model.Never
	}
	return h.queries[0].wakeAt
}

// set sets the timer of a query, or changes its time if it is already set.
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

// remove removes the timer of a query if it is set.
func (h *timerHeap) remove(q *query) {
	if q.heapIndex >= 0 {
		heap.Remove(&h.queries, q.heapIndex)
	}
}

// popDue removes the timers that have expired and returns their queries, ordered by time.
func (h *timerHeap) popDue(now model.Time) []*query {
	var due []*query
	for h.earliest() <= now && len(h.queries) > 0 {
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
