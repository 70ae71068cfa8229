package dispatch

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// A stopping VM takes a request only if the time left before the end of the process is this many times
// the 95th percentile of the route's latency, or exceeds the request's own deadline. A request that must
// not be repeated needs more, since its caller can do nothing after an unknown outcome.
const (
	stopMargin        = 2
	stopMarginOneTime = 10
)

// startStop makes sure that all running queries are answered before the process ends.
func (s *State) startStop(ev StopStarted) {
	s.stopEnd, s.answerBy = ev.End, ev.AnswerBy
	for _, q := range s.sortedQueries() {
		if q.ended {
			continue
		}
		q.endBy(ev.AnswerBy)
		s.scheduleWake(q, min(q.wakeAt, q.deadline))
	}
}

// canFinish reports whether a query that has just arrived is likely to be answered before the VM stops.
func (s *State) canFinish(q *query, now model.Time) bool {
	if q.deadline <= s.answerBy {
		return true
	}
	margin := stopMargin
	if !q.route.Idempotent {
		margin = stopMarginOneTime
	}
	return s.answerBy.Sub(now) >= time.Duration(margin)*q.latency.p95
}
