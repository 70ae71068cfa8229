package dispatch

import (
	"fmt"
	"time"

	"container/heap"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// settle answers a query if its answer is ready or its time is up; otherwise it schedules the
// next look.
func (s *State) settle(q *query, now model.Time) {
	if q.ended {
		return
	}
	if q.route.Gathers() {
		s.settleGathered(q, now)
	} else {
		s.settleSingle(q, now)
	}
	if q.ended {
		return
	}
	at := q.deadline
	if q.stopAt > now {
		at = min(at, q.stopAt)
	}
	for i := range q.shards {
		if sh := &q.shards[i]; !sh.done {
			at = min(at, sh.hedgeAt)
		}
	}
	s.setWake(q, at)
}

// enough reports whether a number of parts reaches the route's least coverage.
func (q *query) enough(parts int) bool {
	return parts > 0 && float64(parts) >= q.route.MinCoverage*float64(len(q.shards))
}

func (s *State) settleGathered(q *query, now model.Time) {
	switch {
	case q.open == 0 && q.enough(q.answered), now >= q.stopAt && q.enough(q.answered):
		s.answerGathered(q, now)
	case !q.enough(q.answered + q.open):
		s.refuse(q, q.failure(CodeFailed), q.thinReason(), now)
	case now >= q.deadline:
		s.refuse(q, q.failure(CodeTimeout), q.thinReason(), now)
	}
}

// failure returns the code that is true for a query without an answer.
func (q *query) failure(code Code) Code {
	if q.mayRun {
		return code
	}
	for i := range q.shards {
		if len(q.shards[i].running) > 0 {
			return code
		}
	}
	return CodeNotRun
}

func (q *query) thinReason() string {
	return fmt.Sprintf("%d of %d shards answered, %d still open", q.answered, len(q.shards), q.open)
}

func (s *State) answerGathered(q *query, now model.Time) {
	g := GatheredReply{Query: q.id, Version: s.view.Config.Version, Signatures: make([]string, 0, q.answered), Missing: len(q.shards) - q.answered}
	parts := make([][]byte, 0, q.answered)
	for i := range q.shards {
		if part := q.shards[i].part; part != nil {
			g.Signatures = append(g.Signatures, part.Signature)
			parts = append(parts, part.Body)
		}
	}
	g.Body = mergeTop(parts, q.route.TopK)
	if g.Missing > 0 {
		s.notePartial(q, g.Missing, now)
	}
	s.endGathered(q, g, now)
}

// endGathered answers a query with a gathered answer of this VM or of a sender.
func (s *State) endGathered(q *query, g GatheredReply, now model.Time) {
	s.emit(g)
	s.emit(RecordDuration{Route: q.route.Name, Duration: now.Sub(q.received)})
	if g.Missing == 0 {
		s.count(CountComplete)
	} else {
		s.count(CountPartial)
	}
	s.endQuery(q, now)
}

// maxNamedShards bounds the missing shards that one log line names.
const maxNamedShards = 4

func (s *State) notePartial(q *query, missing int, now model.Time) {
	fields := []logline.Field{
		logline.F("route", q.route.Name), logline.F("missing", missing), logline.F("shards", len(q.shards)),
		logline.F("after", now.Sub(q.received)), logline.F("config", s.view.Config.Version),
	}
	s.log(logline.Info, "partial answer", q, append(fields, q.openShards(now)...)...)
}

func (q *query) openShards(now model.Time) []logline.Field {
	var fields []logline.Field
	for i := range q.shards {
		sh := &q.shards[i]
		if sh.part != nil {
			continue
		}
		if len(fields) == maxNamedShards {
			break
		}
		text := sh.cause
		for _, a := range sh.running {
			text += fmt.Sprintf(" waiting for %s since %s;", a.server.ID, now.Sub(a.sent).Round(time.Millisecond))
		}
		fields = append(fields, logline.F("missing."+string(sh.set), text))
	}
	return fields
}

func (s *State) settleSingle(q *query, now model.Time) {
	sh := &q.shards[0]
	switch {
	case sh.part != nil:
		s.pass(q, sh.part, now)
	case sh.done && sh.lastFail != nil && q.route.passes(sh.lastFail):
		s.pass(q, sh.lastFail, now)
	case sh.done:
		s.refuse(q, q.failure(CodeFailed), sh.cause, now)
	case now >= q.deadline:
		s.refuse(q, q.failure(CodeTimeout), "no server answered in time", now)
	}
}

// passes reports whether a server's failure may be handed to the caller as it is. A status
// that promises that the request has not run must not be passed on, since it may have run.
func (r *route) passes(reply *Reply) bool {
	switch reply.Status {
	case statusRequestTimeout, statusMisdirected, statusTooMany, statusUnavailable:
		return false
	}
	return reply.Signature != "" && (reply.Status < 200 || reply.Status >= 300)
}

// HTTP statuses that promise that a request has not run.
const (
	statusRequestTimeout = 408
	statusMisdirected    = 421
	statusTooMany        = 429
	statusUnavailable    = 503
)

func (s *State) pass(q *query, reply *Reply, now model.Time) {
	s.emit(PassReply{Query: q.id, Reply: reply})
	s.emit(RecordDuration{Route: q.route.Name, Duration: now.Sub(q.received)})
	s.count(CountPassed)
	if !reply.success() {
		s.log(logline.Info, "failure passed on", q, logline.F("route", q.route.Name), logline.F("status", reply.Status),
			logline.F("servers", q.shards[0].tried))
	}
	s.endQuery(q, now)
}

var codeCounters = [...]Counter{CountNotRun, CountFailed, CountTimeout, CountNoRoute}

func (s *State) refuse(q *query, code Code, reason string, now model.Time) {
	ref := Refuse{Query: q.id, Code: code, Reason: reason}
	if code == CodeNotRun {
		ref.RetryAfter = retryAfter
	}
	s.emit(ref)
	s.count(codeCounters[code])
	fields := []logline.Field{logline.F("code", code), logline.F("reason", reason), logline.F("after", now.Sub(q.received))}
	if q.route != nil {
		fields = append(fields, logline.F("route", q.route.Name), logline.F("deadline", q.deadline.Sub(q.received)))
	}
	if s.view.Config != nil {
		fields = append(fields, logline.F("config", s.view.Config.Version), logline.F("config_age", until(now, s.view.ConfirmedAt)))
	}
	s.log(logline.Warn, "request refused", q, append(fields, q.openShards(now)...)...)
	s.endQuery(q, now)
}

// endQuery lets the attempts of an answered query go on for a while.
func (s *State) endQuery(q *query, now model.Time) {
	q.ended = true
	if _, ok := s.queries[q.id]; !ok {
		return
	}
	for i := range q.shards {
		if len(q.shards[i].running) > 0 {
			s.setWake(q, now.Add(lingerFor))
			return
		}
	}
	s.drop(q)
}

// ended handles the end of an attempt whose query has been answered.
func (s *State) ended(q *query, ev AttemptEnded) {
	if ev.Outcome == Answered {
		s.count(CountLateReplies)
	}
	if _, ok := s.queries[q.id]; !ok {
		return
	}
	for i := range q.shards {
		if len(q.shards[i].running) > 0 {
			return
		}
	}
	s.drop(q)
}

func (s *State) drop(q *query) {
	if _, ok := s.queries[q.id]; !ok {
		return
	}
	delete(s.queries, q.id)
	q.wakeAt = noWake
	heap.Remove(&s.timers, q.heapIndex)
}
