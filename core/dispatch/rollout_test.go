package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/model"
)

const oldVersion, newVersion = model.VersionID("v1"), model.VersionID("v2")

// newRolloutHarness returns a harness with two servers of each version of the replica set "files"
// and a rollout whose target is newVersion.
func newRolloutHarness(t *testing.T, state model.RolloutState) *harness {
	h := newHarness(t, singleRoute(true))
	h.state.cfg.Canary = model.RolloutLimit{Share: 0.1, Slack: 50}
	h.addServers("files", 4)
	for i := range h.view.Replicas["files"] {
		h.view.Replicas["files"][i].Version = []model.VersionID{oldVersion, newVersion}[i%2]
	}
	h.setRollout(state, false)
	return h
}

func (h *harness) setRollout(state model.RolloutState, withheld bool) {
	h.view.Rollouts = map[model.ReplicaSet]model.Rollout{"files": {
		Name: "files", Set: "files", Target: newVersion, Duration: 12 * time.Second, State: state, Withheld: withheld, SeenFromOrder: true,
	}}
}

// playRequests plays n requests, each answered after 5 ms, and returns the attempts by version.
func (h *harness) playRequests(n int) map[model.VersionID]int {
	from := len(h.sends)
	for range n {
		h.request("/r/q")
		h.now = h.now.Add(5 * time.Millisecond)
		h.reply(h.sends[len(h.sends)-1], "x")
	}
	sent := make(map[model.VersionID]int)
	for _, s := range h.sends[from:] {
		sent[s.Server.Version]++
	}
	return sent
}

// Guards against a target version that gets more than its share of the requests, or far fewer.
func TestCanaryShare(t *testing.T) {
	for _, n := range []int{20, 200, 2000} {
		is := is.New(t)
		h := newRolloutHarness(t, model.RolloutRunning)
		limit := 0.1*float64(n) + 50/float64(h.view.ServingVMs)
		got := h.playRequests(n)[newVersion]
		is.True(float64(got) <= limit)
		is.True(float64(got) >= 0.05*float64(n))
	}
}

// Guards against a restarted VM that uses the slack that its previous process has already used.
func TestCanarySlackAfterRestart(t *testing.T) {
	is := is.New(t)
	h := newRolloutHarness(t, model.RolloutRunning)
	r := h.view.Rollouts["files"]
	r.SeenFromOrder = false
	h.view.Rollouts["files"] = r
	is.Equal(h.playRequests(101)[newVersion], 6) // of the 100 that were answered before the last one
}

// Guards against counts that start anew because the order was missing in one view.
func TestCountsSurviveAMissingOrder(t *testing.T) {
	is := is.New(t)
	h := newRolloutHarness(t, model.RolloutRunning)
	sent := h.playRequests(200)[newVersion]
	order := h.view.Rollouts
	h.view.Rollouts = nil
	h.apply(ViewPublished{View: h.view})
	h.view.Rollouts = order
	sent += h.playRequests(200)[newVersion]
	is.True(float64(sent) <= canaryShare*0.1*400+canarySlackShare*50/float64(h.view.ServingVMs))
}

// Guards against requests to a version that was withheld or rolled back, and to servers of the old
// version after the rollout is completed.
func TestVersionsAfterDecision(t *testing.T) {
	tests := []struct {
		state    model.RolloutState
		withheld bool
		want     model.VersionID
	}{
		{model.RolloutRunning, true, oldVersion},
		{model.RolloutRolledBack, false, oldVersion},
		{model.RolloutCompleted, false, newVersion},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%s, withheld %t", tt.state, tt.withheld), func(t *testing.T) {
			is := is.New(t)
			h := newRolloutHarness(t, model.RolloutRunning)
			h.playRequests(10)
			h.setRollout(tt.state, tt.withheld)
			is.Equal(h.playRequests(100), map[model.VersionID]int{tt.want: 100})
		})
	}
}

// Guards against excluding the old servers of a completed rollout while no new ones are known, and
// against waiting when all servers are excluded.
func TestVersionsWithoutServers(t *testing.T) {
	is := is.New(t)
	h := newRolloutHarness(t, model.RolloutCompleted)
	for i := range h.view.Replicas["files"] {
		h.view.Replicas["files"][i].Version = oldVersion
	}
	is.Equal(h.playRequests(5), map[model.VersionID]int{oldVersion: 5})
	for i := range h.view.Replicas["files"] {
		h.view.Replicas["files"][i].Version = newVersion
	}
	h.setRollout(model.RolloutRolledBack, false)
	is.Equal(onlyEffect[Refuse](t, h.request("/r/q")).Code, CodeNotRun)
}

// Guards against a completed rollout that excludes servers of later versions.
func TestLaterVersionIsUsed(t *testing.T) {
	is := is.New(t)
	h := newRolloutHarness(t, model.RolloutCompleted)
	is.Equal(h.playRequests(20)[oldVersion], 0)
	h.now = h.now.Add(oldVersionExclusion)
	for i := range h.view.Replicas["files"] {
		if r := &h.view.Replicas["files"][i]; r.Version == oldVersion {
			r.ID, r.Version = r.ID+"-later", "v3"
		}
	}
	is.True(h.playRequests(20)["v3"] > 0)
}

// Guards against judging the target version by servers that are still cold.
func TestColdCanaryGetsNoFirstAttempts(t *testing.T) {
	is := is.New(t)
	h := newRolloutHarness(t, model.RolloutRunning)
	for i := range h.view.Replicas["files"] {
		if r := &h.view.Replicas["files"][i]; r.Version == newVersion {
			r.WarmupLeft, r.Sequence = time.Second, 1
		}
	}
	is.Equal(h.playRequests(100)[newVersion], 0)
	h.now = h.now.Add(time.Second)
	is.True(h.playRequests(100)[newVersion] > 0)
}

// Guards against missing a target version that is several times slower, and against rating one as
// slower because its few requests have to open connections.
func TestEvidenceOfSlowness(t *testing.T) {
	tests := []struct {
		name    string
		latency time.Duration
		slower  bool
	}{
		{"opens connections", 26 * time.Millisecond, false},
		{"four times as slow", 80 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newRolloutHarness(t, model.RolloutRunning)
			for i := range 600 {
				h.request("/r/q")
				latency := time.Duration(15+i%10) * time.Millisecond
				if h.sends[len(h.sends)-1].Server.Version == newVersion {
					latency = tt.latency
				}
				h.now = h.now.Add(latency)
				h.reply(h.sends[len(h.sends)-1], "x")
			}
			h.advance(evidenceInterval)
			slow := h.evidence().Slow
			is.True(slow.Pairs >= 20)
			is.Equal(slow.NewWorse >= 20, tt.slower)
			is.True(tt.slower || slow.NewWorse <= slow.OldWorse)
		})
	}
}

// evidence returns the sum of all reported evidence.
func (h *harness) evidence() model.MoveEvidence {
	var sum model.MoveEvidence
	for _, e := range h.effects {
		if o, ok := e.(ReportEvidence); ok {
			for _, ev := range o.Evidence {
				sum.Failures = sum.Failures.Add(ev.Failures)
				sum.Slow = sum.Slow.Add(ev.Slow)
			}
		}
	}
	return sum
}

// Guards against failures of the target version that are not reported as evidence.
func TestEvidenceOfFailures(t *testing.T) {
	is := is.New(t)
	h := newRolloutHarness(t, model.RolloutRunning)
	h.view.ServingVMs = 1 // so that all of model.MaxTargetFailures are its own
	for range 420 {
		h.request("/r/q")
		h.now = h.now.Add(5 * time.Millisecond)
		if s := h.sends[len(h.sends)-1]; s.Server.Version == newVersion {
			h.fail(s, Unclear)
		} else {
			h.reply(s, "x")
		}
		// A failed attempt is retried with the old version.
		if s := h.sends[len(h.sends)-1]; s.Server.Version == oldVersion {
			h.reply(s, "x")
		}
	}
	h.advance(evidenceInterval)
	is.True(h.evidence().Failures.NewWorse >= 20)
	is.Equal(h.evidence().Failures.OldWorse, uint64(0))
}
