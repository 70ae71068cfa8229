package directory

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// usageReserve is the fraction of a rollout's limit that is left for requests of which the VMs
	// have not told yet.
	usageReserve = 0.2
	// loadGrowth is the factor by which the load may grow between the completion of a rollout and its
	// deadline. A failed request may also be sent to a second server of the target version.
	loadGrowth = 2
	// sampleInterval is the time between two samples of the demand so far.
	sampleInterval = 500 * time.Millisecond
	// A version is not completed if more of its attempts have failed than maxFailures and
	// maxFailureRatio times as many as the failures of the other versions let expect.
	maxFailures     = 2
	maxFailureRatio = 3
	// reportTimeout is the time after which a VM that has told nothing counts as unknown.
	reportTimeout = 1500 * time.Millisecond
	// completionCheckInterval is the time between two checks whether a rollout can be completed.
	completionCheckInterval = 50 * time.Millisecond
)

// usageTotal sums what all processes have used of the limit of a rollout.
type usageTotal struct {
	bySource     map[model.Process]model.RolloutUsage
	reportedAt   map[model.VM]model.Time // time of the last report of each VM
	samples      [2]usageSample          // the newest first
	nextSampleAt model.Time
}

type usageSample struct {
	at     model.Time
	demand uint64
}

// merge applies the counts of one process. Counts of an older report have no effect.
func (t *usageTotal) merge(u model.RolloutUsage, now model.Time) {
	if t.bySource == nil {
		t.bySource = make(map[model.Process]model.RolloutUsage)
		t.reportedAt = make(map[model.VM]model.Time)
	}
	t.reportedAt[u.VM] = now
	source := model.Process{VM: u.VM, Boot: u.Boot}
	t.bySource[source] = u.Merge(t.bySource[source])
}

// sum returns the counts of all processes together.
func (t *usageTotal) sum() model.RolloutUsage {
	var sum model.RolloutUsage
	for _, u := range t.bySource {
		sum.Demand += u.Demand
		sum.Requests += u.Requests
		sum.Sent += u.Sent
		sum.Failed += u.Failed
		sum.OldSent += u.OldSent
		sum.OldFailed += u.OldFailed
	}
	return sum
}

// sample records the demand so far at each sampleInterval.
func (t *usageTotal) sample(now model.Time) {
	if now < t.nextSampleAt {
		return
	}
	t.nextSampleAt = now.Add(sampleInterval)
	t.samples[1] = t.samples[0]
	t.samples[0] = usageSample{at: now, demand: t.sum().Demand}
}

// perSecond returns the demand a second since the older sample, or false if there are no two samples.
func (t *usageTotal) perSecond(now model.Time) (float64, bool) {
	from := t.samples[1]
	if from.at == 0 || now <= from.at {
		return 0, false
	}
	return float64(t.sum().Demand-from.demand) / now.Sub(from.at).Seconds(), true
}

// failsTooOften reports whether the target version has failed more often than the other versions do, or
// so often that it gets no more requests.
func (t *usageTotal) failsTooOften() bool {
	u := t.sum()
	expected := float64(u.Sent) * float64(u.OldFailed) / float64(max(u.OldSent, 1))
	return u.Failed >= model.MaxTargetFailures || float64(u.Failed) > maxFailures+maxFailureRatio*expected
}

// completionFits reports whether a rollout may be completed now: its target version, which then gets
// all requests, stays within the limit until the deadline even if it turns out to be bad.
func (s *State) completionFits(r *rollout, now model.Time) bool {
	remaining := r.order.Duration - now.Sub(r.orderedAt)
	if remaining <= 0 {
		return true
	}
	rate, ok := r.usage.perSecond(now)
	if !ok {
		return false
	}
	unknown := s.unknownFactor(r, now)
	used := r.usage.sum()
	limit := s.cfg.Canary.Share * float64(used.Requests)
	if r.seenFromOrder {
		limit += s.cfg.Canary.Slack // otherwise VMs may have used it before this process counted
	}
	return unknown*(float64(used.Sent)+loadGrowth*rate*remaining.Seconds()) <= (1-usageReserve)*limit
}

// unknownFactor returns by how much the counts of a rollout may have to be multiplied, since not all
// serving VMs have reported lately.
func (s *State) unknownFactor(r *rollout, now model.Time) float64 {
	reporting := 0
	for _, at := range r.usage.reportedAt {
		if now.Sub(at) < reportTimeout {
			reporting++
		}
	}
	return max(float64(s.servingVMs())/float64(max(reporting, 1)), 1)
}
