package query

import (
	"cmp"
	"slices"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// merge returns the hits from one snapshot, sorted by descending score. Each document occurs once,
// and there are at most Limit hits, or all if Limit is 0.
func (q *query) merge(snapshot model.Snapshot) []model.Hit {
	total := 0
	lists := make(hitLists, 0, len(q.shards))
	for i := range q.shards {
		s := &q.shards[i]
		if s.answeredFrom(snapshot) && len(s.hits) > 0 {
			total += len(s.hits)
			lists = append(lists, sortedHits(s.hits))
		}
	}
	if total == 0 {
		return nil
	}
	limit := q.req.Limit
	if limit == 0 || limit > total {
		limit = total
	}
	return lists.mergeBest(limit)
}

// sortedHits returns hits in the order of compareHits. Backend servers usually send them in this
// order already; otherwise a sorted copy is returned.
func sortedHits(hits []model.Hit) []model.Hit {
	if slices.IsSortedFunc(hits, compareHits) {
		return hits
	}
	hits = slices.Clone(hits)
	slices.SortStableFunc(hits, compareHits)
	return hits
}

// compareHits orders hits by descending score, then by document.
func compareHits(a, b model.Hit) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.Document, b.Document)
}

// hitLists is a binary heap of non-empty sorted lists, ordered by the first hits of the lists.
// Merging stops at the limit, because sorting all hits is expensive: 56% of a query's time with
// 60 lists of 10 hits and a limit of 20.
type hitLists [][]model.Hit

// mergeBest returns the best hits, at most limit, each document once. It consumes the heap.
func (l hitLists) mergeBest(limit int) []model.Hit {
	for i := len(l)/2 - 1; i >= 0; i-- {
		l.siftDown(i)
	}
	seen := make(map[string]struct{}, limit)
	hits := make([]model.Hit, 0, limit)
	for len(l) > 0 && len(hits) < limit {
		best := l[0][0]
		if _, ok := seen[best.Document]; !ok {
			seen[best.Document] = struct{}{}
			hits = append(hits, best)
		}
		l = l.dropFirst()
	}
	return hits
}

// dropFirst removes the first hit of the top list and returns the restored heap.
func (l hitLists) dropFirst() hitLists {
	l[0] = l[0][1:]
	if len(l[0]) == 0 {
		last := len(l) - 1
		l[0] = l[last]
		l = l[:last]
	}
	l.siftDown(0)
	return l
}

// siftDown restores the heap property below index i.
func (l hitLists) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(l) {
			return
		}
		if right := child + 1; right < len(l) && l.less(right, child) {
			child = right
		}
		if !l.less(child, i) {
			return
		}
		l[i], l[child] = l[child], l[i]
		i = child
	}
}

func (l hitLists) less(i, j int) bool { return compareHits(l[i][0], l[j][0]) < 0 }
