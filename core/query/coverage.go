package query

import (
	"fmt"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// missingReason returns why a shard is missing after an outcome that ends its sub-request.
func missingReason(outcome model.OutcomeCode) model.MissingReason {
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

// coverage states which shards an answer from a snapshot covers.
func (q *query) coverage(snapshot model.Snapshot) model.Coverage {
	c := model.Coverage{Wanted: len(q.shards)}
	for i := range q.shards {
		s := &q.shards[i]
		if s.answers(snapshot) {
			c.Answered++
			continue
		}
		c.Missing = append(c.Missing, model.MissingShard{
			Shard:  q.keys[i].Shard,
			Reason: q.reasonFor(s),
			Peer:   s.blamed(),
		})
	}
	return c
}

// reasonFor returns why a shard is missing from an answer that is given now.
func (q *query) reasonFor(s *shard) model.MissingReason {
	switch s.state {
	case shardMissing:
		return s.reason
	case shardAnswered:
		return model.MissingSnapshotGone // answered from another snapshot than the chosen one
	case shardSent:
		return model.MissingTimeout
	case shardBackoff:
		return s.reason // why it was to be sent again
	}
	return model.MissingNoOwner
}

// blamed returns the backend server that replied last, else the VM that was asked last.
func (s *shard) blamed() string {
	if s.server != "" {
		return string(s.server)
	}
	return string(s.peer.VM)
}

// coverageRefusal returns a refusal if the coverage is too low. An answer of no shard at all
// would come from no snapshot, so it is refused whatever the floor.
func (q *query) coverageRefusal(c model.Coverage) *model.Refusal {
	if c.Answered > 0 && c.Ratio() >= q.floor {
		return nil
	}
	if q.req.Snapshot != 0 && !q.mayHaveRun && allGone(c) {
		return invalid(stepSnapshot, "no shard serves snapshot %d", q.req.Snapshot)
	}
	refusal := &model.Refusal{
		Code:     model.RefusedLowCoverage,
		Step:     stepGather,
		Reason:   fmt.Sprintf("%d of %d shards answered, least share is %g", c.Answered, c.Wanted, q.floor),
		Coverage: &c,
	}
	if len(c.Missing) > 0 {
		first := c.Missing[0]
		refusal.Peer = first.Peer
		refusal.Reason += fmt.Sprintf("; first missing shard is %q: %s", first.Shard, first.Reason)
	}
	return refusal
}

func allGone(c model.Coverage) bool {
	for _, m := range c.Missing {
		if m.Reason != model.MissingSnapshotGone {
			return false
		}
	}
	return len(c.Missing) == c.Wanted
}

// floorOf returns the least share of shards for an answer.
func floorOf(req *model.Request, route *model.RouteConfig) float64 {
	if req.MinCoverage >= 0 {
		return req.MinCoverage
	}
	return route.CoverageFloor
}

// countsAsFailed reports whether an answer is evidence against its version.
func countsAsFailed(c model.Coverage) bool {
	for _, m := range c.Missing {
		switch m.Reason {
		case model.MissingFailed, model.MissingTimeout, model.MissingNoServer, model.MissingShed:
			return true
		}
	}
	return false
}
