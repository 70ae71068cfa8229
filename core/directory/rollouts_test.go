package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/model"
)

const rolloutTime = 12 * time.Second

func rolloutOrder(state model.RolloutState, revision uint64) Change {
	return Change{Name: "set", Revision: revision, Value: &model.Rollout{
		Name: "set", Set: "set", Target: "v2", Duration: rolloutTime, State: state, Revision: revision, Created: 6,
	}}
}

// ordered brings a VM to a running rollout with a server of the target version.
func ordered(self model.VM) *world {
	w := started(self)
	w.do(Changed{Kind: KindReplicas, Revision: 6, Changes: []Change{{Name: "s2", Revision: 6, Value: &model.Replica{
		ID: "s2", Set: "set", Version: "v2", Slots: 1, StartedAt: time.UnixMilli(1),
	}}}})
	w.do(Changed{Kind: KindRollouts, Revision: 6, Changes: []Change{rolloutOrder(model.RolloutOrdered, 6)}})
	return w
}

func (w *world) running() *world {
	w.do(RolloutWriteEnded{Name: "set"})
	w.do(Changed{Kind: KindRollouts, Revision: 7, Changes: []Change{rolloutOrder(model.RolloutRunning, 7)}})
	return w
}

// pairs is evidence of pairs of answers, of which the new version alone failed in some.
func pairs(n, newWorse uint64) []model.MoveEvidence {
	order := rolloutOrder(model.RolloutOrdered, 6).Value.(*model.Rollout).Order()
	return []model.MoveEvidence{{Move: order, Route: "read", Failures: model.PairCounts{Pairs: n, NewWorse: newWorse}}}
}

func pairsOf(vm model.VM, n, newWorse uint64) FollowerEvidenceReceived {
	evidence := pairs(n, newWorse)
	evidence[0].VM, evidence[0].Boot = vm, 3
	return FollowerEvidenceReceived{Evidence: evidence}
}

// concludes returns the verdict among effects.
func concludes(effects []Effect) string {
	if c, ok := find[WriteRolloutState](effects); ok {
		return fmt.Sprintf("%s at %d", c.State, c.Rollout.Revision)
	}
	return ""
}

// until waits in steps until a verdict is due, for a time at most.
func (w *world) until(d time.Duration) string {
	for end := w.now.Add(d); w.now < end; {
		if v := concludes(w.wait(100 * time.Millisecond)); v != "" {
			return v
		}
	}
	return ""
}

// Guards against an order that nobody answers, and against writing the same state twice.
func TestRolloutIsTakenUp(t *testing.T) {
	is := is.New(t)
	w := started("vm1")
	effects := w.do(Changed{Kind: KindRollouts, Revision: 6, Changes: []Change{rolloutOrder(model.RolloutOrdered, 6)}})
	is.Equal(concludes(effects), "running at 6")
	is.Equal(w.view.Rollouts["set"].Target, model.VersionID("v2"))
	is.Equal(w.until(2*time.Second), "") // the write is under way
	w.do(RolloutWriteEnded{Name: "set", Cause: "no answer"})
	is.Equal(w.until(2*time.Second), "running at 6")
	w.do(RolloutWriteEnded{Name: "set"})
	w.running()
	is.Equal(w.until(2*time.Second), "")
}

// Guards against a good version that misses its deadline, and one that is completed before
// faults that show late had their time.
func TestGoodVersionIsCompletedInTime(t *testing.T) {
	is := is.New(t)
	w := ordered("vm1").running()
	w.do(LocalEvidenceReceived{Evidence: pairs(100, 0)})
	is.Equal(w.until(10*time.Second), "")
	is.Equal(w.until(2*time.Second), "completed at 7")
}

// Guards against a short rollout that is taken back because its verdict would come too late.
func TestShortRolloutIsCompleted(t *testing.T) {
	is := is.New(t)
	w := started("vm1")
	w.do(Changed{Kind: KindReplicas, Revision: 6, Changes: []Change{{Name: "s2", Revision: 6, Value: &model.Replica{
		ID: "s2", Set: "set", Version: "v2", Slots: 1, StartedAt: time.UnixMilli(1),
	}}}})
	c := rolloutOrder(model.RolloutRunning, 6)
	c.Value.(*model.Rollout).Duration = 3 * time.Second
	w.do(Changed{Kind: KindRollouts, Revision: 6, Changes: []Change{c}})
	w.do(LocalEvidenceReceived{Evidence: pairs(100, 0)})
	is.Equal(w.until(3*time.Second), "completed at 6")
}

// Guards against completing a version that hardly anybody has used or that has no server.
func TestUntriedVersionIsTakenBack(t *testing.T) {
	is := is.New(t)
	w := ordered("vm1").running()
	w.do(LocalEvidenceReceived{Evidence: pairs(minPairs-1, 0)})
	is.Equal(w.until(rolloutTime), "rolled back at 7")

	w = ordered("vm1").running()
	w.do(LocalEvidenceReceived{Evidence: pairs(100, 0)})
	w.do(Changed{Kind: KindReplicas, Revision: 8, Changes: []Change{removed("s2", 8)}})
	is.Equal(w.until(rolloutTime), "rolled back at 7")
}

// Guards against a bad version whose failures are spread over many VMs, so that none of them
// sees enough, and against counting the same report twice.
func TestBadVersionIsTakenBack(t *testing.T) {
	is := is.New(t)
	w := ordered("vm1").running()
	w.do(LocalEvidenceReceived{Evidence: pairs(5, 5)})
	for range 5 {
		w.do(pairsOf("vm2", 5, 5))
	}
	is.True(!w.view.Rollouts["set"].Withheld)
	effects := w.do(pairsOf("vm3", 5, 5))
	is.True(w.view.Rollouts["set"].Withheld)
	is.Equal(concludes(effects), "rolled back at 7")
	spread, ok := find[SendUpdate](w.do(FollowerJoined{Follower: 1}))
	is.True(ok)
	is.True(spread.Rollouts[0].Withheld)
}

// Guards against a VM that goes on using a version that another one has withheld, while the
// store cannot be reached.
func TestWithheldIsHeard(t *testing.T) {
	is := is.New(t)
	w := ordered("vm9").running()
	order := rolloutOrder(model.RolloutOrdered, 6).Value.(*model.Rollout).Order()
	w.do(Listed{Kind: KindVMs, Revision: 8, Changes: []Change{vmEntry("vm1"), vmEntry("vm9")}})
	w.do(UpstreamStatusReceived{From: "vm1", Rollouts: []RolloutStatus{{Order: order, Age: 5 * time.Second, Withheld: true}}})
	is.True(w.view.Rollouts["set"].Withheld)
	report, ok := find[SendEvidence](w.do(LocalEvidenceReceived{Evidence: pairs(1, 0)}))
	if !ok {
		report, _ = find[SendEvidence](w.wait(time.Second))
	}
	is.True(report.Evidence[0].Withheld)
}

// Guards against a VM that started late and takes the deadline for later than it is.
func TestAgeOfAnOrderIsHeard(t *testing.T) {
	is := is.New(t)
	w := ordered("vm1").running()
	order := rolloutOrder(model.RolloutOrdered, 6).Value.(*model.Rollout).Order()
	w.do(Listed{Kind: KindVMs, Revision: 8, Changes: []Change{vmEntry("vm1"), vmEntry("vm2")}})
	w.do(LocalEvidenceReceived{Evidence: pairs(100, 0)})
	w.do(UpstreamStatusReceived{From: "vm2", Rollouts: []RolloutStatus{{Order: order, Age: 10 * time.Second}}})
	is.Equal(w.until(2*time.Second), "completed at 7")
}

// Guards against evidence on an earlier order that decides a new one.
func TestNewOrderStartsAnew(t *testing.T) {
	is := is.New(t)
	w := ordered("vm1").running()
	w.do(LocalEvidenceReceived{Evidence: pairs(40, 40)})
	is.True(w.view.Rollouts["set"].Withheld)
	next := rolloutOrder(model.RolloutOrdered, 9)
	next.Value.(*model.Rollout).Target = "v3"
	effects := w.do(Changed{Kind: KindRollouts, Revision: 9, Changes: []Change{next}})
	is.True(!w.view.Rollouts["set"].Withheld)
	is.Equal(concludes(effects), "running at 9")
}
