package moves

import (
	"cmp"
	"slices"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// EvidenceAggregate sums the evidence for and against the new version of one move, by route,
// from the counters of many VMs. It is not safe for concurrent use.
type EvidenceAggregate struct {
	state *moveState
	self  source
}

// NewEvidenceAggregate returns an empty aggregate for a move, kept by one boot of a VM.
func NewEvidenceAggregate(move string, self model.VM, boot model.Boot) *EvidenceAggregate {
	return &EvidenceAggregate{state: newMoveState(move), self: source{self, boot}}
}

// AddLocal adds increments measured by this VM to its counters.
func (t *EvidenceAggregate) AddLocal(inc model.MoveEvidence) {
	inc.Move = t.state.name
	t.state.route(inc.Route).add(t.self, inc)
}

// MergeRemote merges the counters of another VM. Duplicate and late reports have no effect.
func (t *EvidenceAggregate) MergeRemote(ev model.MoveEvidence) {
	if (source{ev.VM, ev.Boot}) != t.self {
		t.state.route(ev.Route).merge(ev)
	}
}

// Local returns the counters of this VM, in the order of the routes' names.
func (t *EvidenceAggregate) Local() []model.MoveEvidence {
	var own []model.MoveEvidence
	for _, r := range t.state.routes {
		if e, ok := r.sources[t.self]; ok {
			own = append(own, *e)
		}
	}
	slices.SortFunc(own, func(a, b model.MoveEvidence) int { return cmp.Compare(a.Route, b.Route) })
	return own
}

// Pairs returns the number of pairs of answers of the two versions, over all routes.
func (t *EvidenceAggregate) Pairs() uint64 {
	n := uint64(0)
	for _, r := range t.state.routes {
		n += r.total.Failures.Pairs
	}
	return n
}

// RollbackReason returns the evidence, with its figures, for which the new version has to be
// rolled back, and false while there is not enough.
func (t *EvidenceAggregate) RollbackReason() (string, bool) {
	limit := threshold(max(len(t.state.routes), 1))
	var worst finding
	for _, r := range t.state.routes {
		if !r.mayExceed(limit) {
			continue
		}
		if f := r.worst(); f.ratio >= limit && (worst.route == "" || f.route < worst.route) {
			worst = f
		}
	}
	if worst.route == "" {
		return "", false
	}
	return worst.String(), true
}
