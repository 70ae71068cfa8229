package dispatch

import (
	"fmt"
	"time"

	"container/heap"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// tryAnswer answers a query if its result is complete or its time is up; otherwise it schedules
// the next wakeQuery call.
func (s *State) tryAnswer(q *query, now model.Time) {
	if q.ended {
		return
	}
	if q.route.Gathers() {
		s.tryAnswerGathered(q, now)
	} else {
		s.tryAnswerSingle(q, now)
	}
	if q.ended {
		return
	}
	at := q.deadline
	if q.partialAt > now {
		at = min(at, q.partialAt)
	}
	for i := range q.shards {
		if sh := &q.shards[i]; !sh.done {
			at = min(at, sh.nextAttemptAt)
		}
	}
	s.scheduleWake(q, at)
}

// meetsMinCoverage reports whether results of that many shards meet the route's minimum coverage.
func (q *query) meetsMinCoverage(shards int) bool {
	return shards > 0 && float64(shards) >= q.route.MinCoverage*float64(len(q.shards))
}

func (s *State) tryAnswerGathered(q *query, now model.Time) {
	switch {
	case q.pendingShards == 0 && q.meetsMinCoverage(q.answeredShards), now >= q.partialAt && q.meetsMinCoverage(q.answeredShards):
		s.answerGathered(q, now)
	case !q.meetsMinCoverage(q.answeredShards + q.pendingShards):
		s.refuse(q, q.failureCode(CodeFailed), q.coverageReason(), now)
	case now >= q.deadline:
		s.refuse(q, q.failureCode(CodeTimeout), q.coverageReason(), now)
	}
}

// failureCode returns the code for refusing a query: code if a server may have run the request,
// else CodeNotRun.
func (q *query) failureCode(code Code) Code {
	if q.mayHaveRun {
		return code
	}
	for i := range q.shards {
		if len(q.shards[i].running) > 0 {
			return code
		}
	}
	return CodeNotRun
}

func (q *query) coverageReason() string {
	return fmt.Sprintf("%d of %d shards answered, %d still open", q.answeredShards, len(q.shards), q.pendingShards)
}

func (s *State) answerGathered(q *query, now model.Time) {
	g := GatheredReply{Query: q.id, Version: q.config, Signatures: make([]string, 0, q.answeredShards), Missing: len(q.shards) - q.answeredShards}
	bodies := make([][]byte, 0, q.answeredShards)
	for i := range q.shards {
		if result := q.shards[i].result; result != nil {
			g.Signatures = append(g.Signatures, result.Signature)
			bodies = append(bodies, result.Body)
		}
	}
	g.Body = mergeTop(bodies, q.route.TopK)
	if g.Missing > 0 {
		s.countMissing(q)
		s.logPartial(q, g.Missing, now)
	}
	s.endGathered(q, g, now)
}

// endGathered answers a query with a gathered reply that this VM or a sender has merged.
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

// countMissing counts the shards without a result by cause.
func (s *State) countMissing(q *query) {
	for i := range q.shards {
		if q.shards[i].result == nil {
			s.count(q.shards[i].missingCause())
		}
	}
}

func (sh *shard) missingCause() Counter {
	switch {
	case sh.noBudget:
		return CountMissingNoBudget
	case len(sh.running) > 1:
		return CountMissingHedged
	case len(sh.running) == 1:
		return CountMissingWaiting
	}
	return CountMissingFailed
}

// maxNamedShards limits the missing shards that are named in one log line.
const maxNamedShards = 4

func (s *State) logPartial(q *query, missing int, now model.Time) {
	fields := []logline.Field{
		logline.F("route", q.route.Name), logline.F("missing", missing), logline.F("shards", len(q.shards)),
		logline.F("after", now.Sub(q.received)), logline.F("config", q.config),
	}
	s.log(logline.Info, "partial answer", q, append(fields, q.missingShardFields(now)...)...)
}

func (q *query) missingShardFields(now model.Time) []logline.Field {
	var fields []logline.Field
	for i := range q.shards {
		sh := &q.shards[i]
		if sh.result != nil {
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

func (s *State) tryAnswerSingle(q *query, now model.Time) {
	sh := &q.shards[0]
	switch {
	case sh.result != nil:
		s.passReply(q, sh.result, now)
	case sh.done && sh.lastFailure != nil && q.route.mayPassOn(sh.lastFailure):
		s.passReply(q, sh.lastFailure, now)
	case sh.done:
		s.refuse(q, q.failureCode(CodeFailed), sh.cause, now)
	case now >= q.deadline:
		s.refuse(q, q.failureCode(CodeTimeout), "no server answered in time", now)
	}
}

// mayPassOn reports whether a server's failure reply may be passed to the caller unchanged. A
// status by which the caller may conclude that the request has not run must not be passed on,
// since the request may have run.
func (r *route) mayPassOn(reply *Reply) bool {
	switch reply.Status {
	case statusRequestTimeout, statusMisdirected, statusTooMany, statusUnavailable:
		return false
	}
	return reply.Signature != "" && (reply.Status < 200 || reply.Status >= 300)
}

// HTTP statuses by which a caller may conclude that its request has not run.
const (
	statusRequestTimeout = 408
	statusMisdirected    = 421
	statusTooMany        = 429
	statusUnavailable    = 503
)

func (s *State) passReply(q *query, reply *Reply, now model.Time) {
	s.emit(PassReply{Query: q.id, Reply: reply})
	s.emit(RecordDuration{Route: q.route.Name, Duration: now.Sub(q.received)})
	s.count(CountPassed)
	if !reply.success() {
		s.log(logline.Info, "server failure passed to the caller", q, logline.F("route", q.route.Name), logline.F("status", reply.Status),
			logline.F("servers", q.shards[0].reached))
	}
	s.endQuery(q, now)
}

var codeCounters = [...]Counter{CountNotRun, CountFailed, CountTimeout, CountNoRoute}

func (s *State) refuse(q *query, code Code, reason string, now model.Time) {
	ref := Refuse{Query: q.id, Code: code, Reason: reason}
	if code == CodeNotRun {
		ref.RetryAfter = max(retryAfter, q.retryAfter)
	}
	s.emit(ref)
	s.count(codeCounters[code])
	fields := []logline.Field{logline.F("code", code), logline.F("reason", reason), logline.F("after", now.Sub(q.received))}
	if q.route != nil {
		fields = append(fields, logline.F("route", q.route.Name), logline.F("deadline", q.deadline.Sub(q.received)))
	}
	if s.view.Config != nil {
		fields = append(fields, logline.F("config", s.view.Config.Version), logline.F("config_age", elapsed(now, s.view.ConfirmedAt)))
	}
	s.log(logline.Warn, "request refused", q, append(fields, q.missingShardFields(now)...)...)
	s.endQuery(q, now)
}

// endQuery marks a query as ended. Attempts that still run may do so for lateReplyTimeout.
func (s *State) endQuery(q *query, now model.Time) {
	q.ended = true
	if _, ok := s.queries[q.id]; !ok {
		return
	}
	for i := range q.shards {
		if len(q.shards[i].running) > 0 {
			s.scheduleWake(q, now.Add(lateReplyTimeout))
			return
		}
	}
	s.removeQuery(q)
}

// lateAttemptEnded handles the end of an attempt whose query has already ended.
func (s *State) lateAttemptEnded(q *query, ev AttemptEnded) {
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
	s.removeQuery(q)
}

func (s *State) removeQuery(q *query) {
	if _, ok := s.queries[q.id]; !ok {
		return
	}
	delete(s.queries, q.id)
	q.wakeAt = model.Never
	heap.Remove(&s.timers, q.heapIndex)
}
