package query

import (
	"fmt"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// missingReasonForOutcome returns the reason for which a shard is missing when its sub-request
// ended with an outcome.
func missingReasonForOutcome(outcome model.OutcomeCode) model.MissingReason {
	switch outcome {
	case model.OutcomeShed:
		return model.MissingShed
	case model.OutcomeExpired, model.OutcomeTimeout:
		return model.MissingTimeout
	case model.OutcomeNoServer:
		return model.MissingNoServer
	}
	return model.MissingFailed
}

// coverage returns the coverage of an answer from a snapshot, with the reason for each shard that
// is missing.
func (q *query) coverage(snapshot model.Snapshot) model.Coverage {
	c := model.Coverage{Wanted: len(q.shards)}
	for i := range q.shards {
		s := &q.shards[i]
		if s.answeredFrom(snapshot) {
			c.Answered++
			continue
		}
		c.Missing = append(c.Missing, model.MissingShard{
			Shard:  q.keys[i].Shard,
			Reason: q.currentMissingReason(s),
			Peer:   s.lastPeer(),
		})
	}
	return c
}

// currentMissingReason returns the reason for which a shard is missing if the query ends now.
func (q *query) currentMissingReason(s *shardProgress) model.MissingReason {
	switch s.state {
	case shardMissing:
		return s.reason
	case shardAnswered:
		return model.MissingSnapshotGone // it answered from another snapshot than the chosen one
	case shardSent:
		return model.MissingTimeout
	case shardBackoff:
		return s.reason // the reason for sending it again
	}
	return model.MissingNoOwner
}

// lastPeer returns the backend server that replied last or, if there is none, the VM that the
// sub-request was last sent to.
func (s *shardProgress) lastPeer() string {
	if s.server != "" {
		return string(s.server)
	}
	return string(s.owner.VM)
}

// coverageRefusal returns a refusal if the coverage is below the coverage floor, and nil otherwise.
// If no shard has answered, the answer would have no snapshot, so it is refused even if the floor
// is 0.
func (q *query) coverageRefusal(c model.Coverage) *model.Refusal {
	if c.Answered > 0 && c.Ratio() >= q.coverageFloor {
		return nil
	}
	if q.req.Snapshot != 0 && !q.mayHaveRun && allSnapshotGone(c) {
		return invalid(stepSnapshot, "no shard serves snapshot %d", q.req.Snapshot)
	}
	refusal := &model.Refusal{
		Code:     model.RefusedLowCoverage,
		Step:     stepGather,
		Reason:   fmt.Sprintf("%d of %d shards answered, least share is %g", c.Answered, c.Wanted, q.coverageFloor),
		Coverage: &c,
	}
	if len(c.Missing) > 0 {
		first := c.Missing[0]
		refusal.Peer = first.Peer
		refusal.Reason += fmt.Sprintf("; first missing shard is %q: %s", first.Shard, first.Reason)
	}
	return refusal
}

// allSnapshotGone reports whether all shards are missing because the snapshot is gone.
func allSnapshotGone(c model.Coverage) bool {
	for _, m := range c.Missing {
		if m.Reason != model.MissingSnapshotGone {
			return false
		}
	}
	return len(c.Missing) == c.Wanted
}

// coverageFloor returns the smallest ratio of shards that an answer must cover: the request's, or
// the route's if the request sets none.
func coverageFloor(req *model.Request, route *model.RouteConfig) float64 {
	if req.MinCoverage >= 0 {
		return req.MinCoverage
	}
	return route.CoverageFloor
}

// countsAsFailed reports whether an answer with this coverage counts as a failure of its version.
// It does if a shard is missing for a reason that the version may have caused.
func countsAsFailed(c model.Coverage) bool {
	for _, m := range c.Missing {
		switch m.Reason {
		case model.MissingFailed, model.MissingTimeout, model.MissingNoServer, model.MissingShed:
			return true
		}
	}
	return false
}
