package moves

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// stage is one step of a move.
type stage struct {
	share    float64 // share of the queries that go to the new version, 0 to 1
	minPairs uint64  // minimum number of pairs on each route before the next stage
}

var stages = [...]stage{
	{0.01, 30},
	{0.05, 100},
	{0.25, 200},
	{0.50, 300},
	{0.90, 300},
}

const (
	// The reserve is the last part of the time between start and deadline. It leaves time to
	// write the final phase before the deadline if the store is slow or the owner changes.
	reserveShare = 0.05
	minReserve   = 10 * time.Second
	maxReserve   = 5 * time.Minute

	// MinDuration is the minimum time from start to deadline: the minimum reserve and 10 s
	// for each stage, enough to exchange evidence in several heartbeats.
	MinDuration = time.Minute
)

// stageShare returns the share of queries that go to the new version in a move's stage.
func stageShare(m *model.Move) float64 { return stages[stageIndex(m)].share }

// stageIndex returns the stage of a move as a valid index of stages. An object written by a
// later release may have a higher stage.
func stageIndex(m *model.Move) int { return min(max(m.Stage, 0), len(stages)-1) }

func inLastStage(m *model.Move) bool { return stageIndex(m) == len(stages)-1 }

// reserveTime returns the reserve of a move of the given length.
func reserveTime(length time.Duration) time.Duration {
	r := time.Duration(reserveShare * float64(length))
	return min(max(r, minReserve), maxReserve)
}

// lastStageEnd returns the time at which the last stage ends and the reserve begins.
func lastStageEnd(m *model.Move) time.Time {
	return m.Deadline.Add(-reserveTime(m.Deadline.Sub(m.Start)))
}

// stageEnd returns the time at which the current stage of a move ends if it began at from.
// The time up to lastStageEnd is divided equally among the current and the later stages. A
// move without delay completes stage i of n after i/n of the time from start to
// lastStageEnd; a move that is late or was paused does not skip through several stages.
func stageEnd(m *model.Move, from time.Time) time.Time {
	remaining := len(stages) - stageIndex(m)
	return from.Add(lastStageEnd(m).Sub(from) / time.Duration(remaining))
}

// effectiveStageStart returns the time from which the duration of the current stage is
// measured: the start of the stage or the end of a later pause.
func (c *Controller) effectiveStageStart(m *model.Move) time.Time {
	from := m.StageStarted
	for _, t := range []time.Time{c.resumedAt, c.storedResumeTime()} {
		if t.After(from) && !t.After(c.wall) {
			from = t
		}
	}
	return from
}

// storedResumeTime returns the end of the last pause according to the stored automation
// state, or the zero time if there is none. A controller that started after the pause has
// not observed its end.
func (c *Controller) storedResumeTime() time.Time {
	o, ok := c.objects.Get(model.ObjectKey{Kind: model.ObjectAutomation, Name: "global"})
	if !ok || o.Automation == nil {
		return time.Time{}
	}
	if o.Automation.Paused {
		return o.Automation.Until
	}
	return o.Automation.At
}

// missingPairs returns the first route with fewer pairs in the current stage than the stage
// requires, and its number of pairs.
func (c *Controller) missingPairs(m *model.Move) (route model.RouteID, have uint64, missing bool) {
	for i, id := range m.Routes {
		have := c.stagePairs(m, i, id)
		if stageIndex(m) == 0 {
			have = max(have, c.coldStartPairs(m, id))
		}
		if have < stages[stageIndex(m)].minPairs {
			return id, have, true
		}
	}
	return "", 0, false
}

// stagePairs returns the number of pairs of a route since the stage began. It is 0 while
// this VM has received fewer pairs than the stored object records for the start of the
// stage, so an isolated VM does not advance a move.
func (c *Controller) stagePairs(m *model.Move, i int, id model.RouteID) uint64 {
	total := c.totalPairs(m.Name, id)
	if i >= len(m.StagePairs) {
		return total
	}
	return increase(m.StagePairs[i], total)
}

// coldStartPairs returns the number of pairs of a route that count in the first stage while
// the servers of the new version may be in cold start, and 0 afterwards. Without them, the
// servers would have to warm up with 1% of the queries, which takes most of a short move.
// The second stage requires pairs of warm servers.
func (c *Controller) coldStartPairs(m *model.Move, id model.RouteID) uint64 {
	st, ok := c.moves[m.Name]
	if !ok {
		return 0
	}
	r, ok := st.routes[id]
	if !ok || !c.inColdStart(m, r) {
		return 0
	}
	return r.total.Failures.Pairs
}

func (c *Controller) totalPairs(name string, id model.RouteID) uint64 {
	st, ok := c.moves[name]
	if !ok {
		return 0
	}
	r, ok := st.routes[id]
	if !ok {
		return 0
	}
	return r.comparedPairs()
}
