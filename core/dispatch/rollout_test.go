package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/model"
)

const oldVersion, newVersion = model.VersionID("v1"), model.VersionID("v2")

// rolloutWorld has two servers of each version of the set "files" and an order for the newer.
func rolloutWorld(t *testing.T, state model.RolloutState) *world {
	w := newWorld(t, single(true))
	w.state.cfg.Canary = CanaryConfig{Share: 0.1, Slack: 50}
	w.servers("files", 4)
	for i := range w.view.Replicas["files"] {
		w.view.Replicas["files"][i].Version = []model.VersionID{oldVersion, newVersion}[i%2]
	}
	w.order(state, false)
	return w
}

func (w *world) order(state model.RolloutState, withheld bool) {
	w.view.Rollouts = map[model.ReplicaSet]model.Rollout{"files": {
		Name: "files", Set: "files", Target: newVersion, Duration: 12 * time.Second, State: state, Withheld: withheld,
	}}
}

// versions plays n requests, each answered after 5 ms, and counts the attempts by version.
func (w *world) versions(n int) map[model.VersionID]int {
	from := len(w.sends)
	for range n {
		w.request("/r/q")
		w.now = w.now.Add(5 * time.Millisecond)
		w.reply(w.sends[len(w.sends)-1], "x")
	}
	sent := make(map[model.VersionID]int)
	for _, s := range w.sends[from:] {
		sent[s.Server.Version]++
	}
	return sent
}

// Guards against a version on trial that gets more than its share of the requests, or none.
func TestCanaryShare(t *testing.T) {
	for _, n := range []int{20, 200, 2000} {
		is := is.New(t)
		w := rolloutWorld(t, model.RolloutRunning)
		bound := 0.1*float64(n) + 50/float64(w.view.ServingVMs)
		got := w.versions(n)[newVersion]
		is.True(float64(got) <= bound)
		is.True(float64(got) >= 0.07*float64(n))
	}
}

// Guards against a process that uses the slack which its former start has used already.
func TestCanarySlackAfterRestart(t *testing.T) {
	is := is.New(t)
	w := rolloutWorld(t, model.RolloutRunning)
	w.now = model.Time(time.Second)
	is.Equal(w.versions(100)[newVersion], 8)
}

// Guards against requests to a version that was taken back, and to the old servers once the
// new ones have taken over.
func TestVersionsAfterTheVerdict(t *testing.T) {
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
			w := rolloutWorld(t, model.RolloutRunning)
			w.versions(10)
			w.order(tt.state, tt.withheld)
			is.Equal(w.versions(100), map[model.VersionID]int{tt.want: 100})
		})
	}
}

// Guards against a set without service when the old servers go before the new ones are known,
// and against waiting for servers that may not be used.
func TestVersionsWithoutServers(t *testing.T) {
	is := is.New(t)
	w := rolloutWorld(t, model.RolloutCompleted)
	for i := range w.view.Replicas["files"] {
		w.view.Replicas["files"][i].Version = oldVersion
	}
	is.Equal(w.versions(5), map[model.VersionID]int{oldVersion: 5})
	for i := range w.view.Replicas["files"] {
		w.view.Replicas["files"][i].Version = newVersion
	}
	w.order(model.RolloutRolledBack, false)
	is.Equal(only[Refuse](t, w.request("/r/q")).Code, CodeNotRun)
}

// Guards against a completed rollout that keeps requests from the servers of every later version.
func TestLaterVersionIsUsed(t *testing.T) {
	is := is.New(t)
	w := rolloutWorld(t, model.RolloutCompleted)
	is.Equal(w.versions(20)[oldVersion], 0)
	w.now = w.now.Add(oldVersionGone)
	for i := range w.view.Replicas["files"] {
		if r := &w.view.Replicas["files"][i]; r.Version == oldVersion {
			r.ID, r.Version = r.ID+"-later", "v3"
		}
	}
	is.True(w.versions(20)["v3"] > 0)
}

// Guards against judging a version by servers that have only just started.
func TestColdCanaryGetsNothingFirst(t *testing.T) {
	is := is.New(t)
	w := rolloutWorld(t, model.RolloutRunning)
	for i := range w.view.Replicas["files"] {
		if r := &w.view.Replicas["files"][i]; r.Version == newVersion {
			r.WarmupLeft, r.Sequence = time.Second, 1
		}
	}
	is.Equal(w.versions(100)[newVersion], 0)
	w.now = w.now.Add(time.Second)
	is.True(w.versions(100)[newVersion] > 0)
}

// Guards against a version several times as slow that nobody notices, and against one that is
// taken for slow because its few requests open connections.
func TestEvidenceOfSlowness(t *testing.T) {
	tests := []struct {
		name   string
		took   time.Duration
		worsen bool
	}{
		{"opens connections", 26 * time.Millisecond, false},
		{"four times as slow", 80 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := rolloutWorld(t, model.RolloutRunning)
			for i := range 400 {
				w.request("/r/q")
				took := time.Duration(15+i%10) * time.Millisecond
				if w.sends[len(w.sends)-1].Server.Version == newVersion {
					took = tt.took
				}
				w.now = w.now.Add(took)
				w.reply(w.sends[len(w.sends)-1], "x")
			}
			w.wait(evidenceInterval)
			slow := w.evidence().Slow
			is.True(slow.Pairs >= 20)
			is.Equal(slow.NewWorse >= 20, tt.worsen)
			is.True(tt.worsen || slow.NewWorse <= slow.OldWorse)
		})
	}
}

// evidence sums what has been reported of the versions.
func (w *world) evidence() model.MoveEvidence {
	var sum model.MoveEvidence
	for _, e := range w.seen {
		if o, ok := e.(ReportEvidence); ok {
			for _, ev := range o.Evidence {
				sum.Failures = sum.Failures.Add(ev.Failures)
				sum.Slow = sum.Slow.Add(ev.Slow)
			}
		}
	}
	return sum
}

// Guards against failures of a new version that nobody counts.
func TestEvidenceOfFailures(t *testing.T) {
	is := is.New(t)
	w := rolloutWorld(t, model.RolloutRunning)
	for range 300 {
		w.request("/r/q")
		w.now = w.now.Add(5 * time.Millisecond)
		if s := w.sends[len(w.sends)-1]; s.Server.Version == newVersion {
			w.fail(s, Unclear)
		} else {
			w.reply(s, "x")
		}
		// A failed attempt is repeated with the old version.
		if s := w.sends[len(w.sends)-1]; s.Server.Version == oldVersion {
			w.reply(s, "x")
		}
	}
	w.wait(evidenceInterval)
	is.True(w.evidence().Failures.NewWorse >= 20)
	is.Equal(w.evidence().Failures.OldWorse, uint64(0))
}
