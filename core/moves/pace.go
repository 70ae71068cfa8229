package moves

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// stage is one step of a move.
type stage struct {
	share float64 // of the queries to the new version
	pairs uint64  // least number of pairs per route before the stage is passed
}

var stages = [...]stage{
	{0.01, 30},
	{0.05, 100},
	{0.25, 200},
	{0.50, 300},
	{0.90, 300},
}

const (
	// The reserve is the last part of a move's time. It leaves room to write the verdict
	// before the deadline while the store is slow or the owner changes.
	reserveShare = 0.05
	minReserve   = 10 * time.Second
	maxReserve   = 5 * time.Minute

	// MinLength is the least time from start to deadline: the least reserve and 10 s per
	// stage, in which evidence crosses several heartbeats.
	MinLength = time.Minute
)

// share returns the share of queries in the stage of a move.
func share(m *model.Move) float64 { return stages[stageOf(m)].share }

// stageOf returns the stage as a valid index. An object written by a later release could
// have more stages.
func stageOf(m *model.Move) int { return min(max(m.Stage, 0), len(stages)-1) }

func lastStage(m *model.Move) bool { return stageOf(m) == len(stages)-1 }

// reserve returns the reserve of a move of the given length.
func reserve(length time.Duration) time.Duration {
	r := time.Duration(reserveShare * float64(length))
	return min(max(r, minReserve), maxReserve)
}

// end returns the time at which the last stage is due.
func end(m *model.Move) time.Time {
	return m.Deadline.Add(-reserve(m.Deadline.Sub(m.Start)))
}

// due returns the time at which the stage of a move is over if it began at from: the
// stages that are left share the time that is left. A move that is on time passes stage i
// of n at start + i/n of the time up to end; one that is late or was paused does not run
// through several stages at once.
func due(m *model.Move, from time.Time) time.Time {
	left := len(stages) - stageOf(m)
	return from.Add(end(m).Sub(from) / time.Duration(left))
}

// stageBegan returns the time from which the stage of a move is paced: its start or the
// end of a later pause.
func (c *Controller) stageBegan(m *model.Move) time.Time {
	from := m.StageStarted
	for _, t := range []time.Time{c.resumed, c.storedResume()} {
		if t.After(from) && !t.After(c.wall) {
			from = t
		}
	}
	return from
}

// storedResume returns the end of the last pause by the stored automation state, which a
// controller that started after the pause needs. It is zero if unknown.
func (c *Controller) storedResume() time.Time {
	o, ok := c.objects.Get(model.ObjectKey{Kind: model.ObjectAutomation, Name: "global"})
	if !ok || o.Automation == nil {
		return time.Time{}
	}
	if o.Automation.Paused {
		return o.Automation.Until
	}
	return o.Automation.At
}

// missingPairs returns the first route whose evidence in this stage is below the least
// number of pairs.
func (c *Controller) missingPairs(m *model.Move) (route model.RouteID, have uint64, missing bool) {
	for i, id := range m.Routes {
		have := c.stagePairs(m, i, id)
		if stageOf(m) == 0 {
			have = max(have, c.warmingPairs(m, id))
		}
		if have < stages[stageOf(m)].pairs {
			return id, have, true
		}
	}
	return "", 0, false
}

// stagePairs returns the pairs of a route since the stage began. It is 0 while this VM
// has heard less than was known then, so an isolated VM passes no stage.
func (c *Controller) stagePairs(m *model.Move, i int, id model.RouteID) uint64 {
	total := c.totalPairs(m.Name, id)
	if i >= len(m.StagePairs) {
		return total
	}
	return rise(m.StagePairs[i], total)
}

// warmingPairs returns the pairs of a route that count in the first stage while the servers
// of the new version warm up. Without them a version would have to warm up at 1% of the
// queries, which takes most of a short move. The second stage needs pairs of warm servers.
func (c *Controller) warmingPairs(m *model.Move, id model.RouteID) uint64 {
	st, ok := c.moves[m.Name]
	if !ok {
		return 0
	}
	r, ok := st.routes[id]
	if !ok || !c.warming(m, r) {
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
	return r.pairs()
}
