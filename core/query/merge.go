package query

import (
	"cmp"
	"slices"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// merge returns the hits of one snapshot by score, each document once, at most Limit of them.
func (q *query) merge(snapshot model.Snapshot) []model.Hit {
	total := 0
	lists := make(hitLists, 0, len(q.shards))
	for i := range q.shards {
		s := &q.shards[i]
		if s.answers(snapshot) && len(s.hits) > 0 {
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
	return lists.take(limit)
}

// sortedHits returns hits in answer order. Backend servers mostly send them so.
func sortedHits(hits []model.Hit) []model.Hit {
	if slices.IsSortedFunc(hits, compareHits) {
		return hits
	}
	hits = slices.Clone(hits)
	slices.SortStableFunc(hits, compareHits)
	return hits
}

// compareHits orders by score, the highest first, then by document.
func compareHits(a, b model.Hit) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.Document, b.Document)
}

// hitLists is a binary heap of sorted lists that are not empty, the one with the best first
// hit on top. Only the hits of the answer are merged: with 60 lists of 10 hits and a
// limit of 20, sorting all hits took 56% of a query's time.
type hitLists [][]model.Hit

// take returns the best hits, each document once.
func (l hitLists) take(limit int) []model.Hit {
	for i := len(l)/2 - 1; i >= 0; i-- {
		l.down(i)
	}
	seen := make(map[string]struct{}, limit)
	hits := make([]model.Hit, 0, limit)
	for len(l) > 0 && len(hits) < limit {
		best := l[0][0]
		if _, ok := seen[best.Document]; !ok {
			seen[best.Document] = struct{}{}
			hits = append(hits, best)
		}
		l = l.next()
	}
	return hits
}

// next drops the first hit of the top list.
func (l hitLists) next() hitLists {
	l[0] = l[0][1:]
	if len(l[0]) == 0 {
		last := len(l) - 1
		l[0] = l[last]
		l = l[:last]
	}
	l.down(0)
	return l
}

// down restores the heap below index i.
func (l hitLists) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(l) {
			return
		}
		if right := child + 1; right < len(l) && l.before(right, child) {
			child = right
		}
		if !l.before(child, i) {
			return
		}
		l[i], l[child] = l[child], l[i]
		i = child
	}
}

func (l hitLists) before(i, j int) bool { return compareHits(l[i][0], l[j][0]) < 0 }
