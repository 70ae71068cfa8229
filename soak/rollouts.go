package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gooseberrylock/gooseberrylock/platform/platformtest"
	"github.com/gooseberrylock/gooseberrylock/platform/wire"
)

const (
	rolloutDuration = 8 * time.Second
	rolloutServers  = 2
	canaryShare     = 0.1
	canarySlack     = 50
	// badFailShare is the share of a bad version's answers that are failures.
	badFailShare = 0.6
	// rollbackBound is how long after its rollback a version may still get requests.
	rollbackBound = 5 * time.Second
	// resultSlack is how long after its duration a rollout may have no result yet, since faults
	// separate VMs from the store.
	resultSlack = 15 * time.Second
)

// rollout is a change of the replica set "files" to another version, the target version.
type rollout struct {
	version        string
	bad            bool
	badFrom        time.Duration // age from which a bad version fails
	startedAt      time.Time
	resultAt       time.Time // zero until the result is seen
	state          string
	requests       int // requests to the set while bounded
	targetRequests int // arrivals at the target version while bounded
	targetFailures int // failures that the target version answered
}

// bounded reports whether the target version's share of the requests is bounded: until the deadline,
// whatever the result.
func (r *rollout) bounded(now time.Time) bool { return now.Sub(r.startedAt) < rolloutDuration }

// injectRollouts starts rollouts one after the other until ctx ends. It has random numbers of its own, so
// that the other faults of a seed stay as they are.
func (dep *deployment) injectRollouts(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, rolloutStream))
	for ctx.Err() == nil {
		sleep(ctx, maxFaultPause+time.Duration(rng.Int64N(int64(maxFaultPause))))
		start := time.Now()
		what, _ := dep.startRollout(rng)
		dep.observations.recordFault("rollout "+what, start, time.Now())
		sleep(ctx, rolloutDuration)
	}
}

// rolloutStream is the stream of random numbers of injectRollouts.
const rolloutStream = 10

// startRollout starts servers of the next version and writes the rollout to it. It does nothing while
// another rollout is in progress.
func (dep *deployment) startRollout(rng *rand.Rand) (string, func()) {
	r := &rollout{bad: rng.IntN(2) == 0, startedAt: time.Now()}
	if rng.IntN(2) == 0 {
		r.badFrom = time.Duration(rng.Float64() * float64(rolloutDuration))
	}
	if !dep.observations.recordRolloutStart(r) {
		return "none, another rollout is in progress", func() {}
	}
	for i := range rolloutServers {
		s, err := dep.addServer("files", fmt.Sprintf("f-%s-%d", r.version, i), r.version)
		if err != nil {
			dep.observations.clearRollout(r)
			return err.Error(), func() {}
		}
		if r.bad {
			time.AfterFunc(r.badFrom, func() {
				s.mu.Lock()
				s.failShare = badFailShare
				s.mu.Unlock()
			})
		}
	}
	dep.put(wire.KindRollouts, "files", map[string]any{
		"service": "files", "target_version": r.version, "duration_s": rolloutDuration.Seconds(),
	})
	go dep.watchRollout(r)
	return fmt.Sprintf("%s, bad: %t, from %s", r.version, r.bad, r.badFrom.Round(time.Millisecond)), func() {}
}

// watchRollout waits for the result and then removes the servers of the version that is no longer
// used. At the deadline it repairs the target version: one that turned bad too late to be found is in
// use by then, and its failures end like every other fault.
func (dep *deployment) watchRollout(r *rollout) {
	const poll = 20 * time.Millisecond
	for time.Since(r.startedAt) < rolloutDuration+resultSlack {
		time.Sleep(poll)
		status, ok := dep.store.Status(wire.KindRollouts, "files").(map[string]any)
		if !ok || status["target_version"] != r.version || status["state"] == "running" {
			continue
		}
		dep.observations.recordRolloutResult(r, fmt.Sprint(status["state"]))
		if r.state == "rolled_back" {
			time.Sleep(rollbackBound) // requests may still reach the version until then
		}
		dep.removeServers(func(s *server) bool { return (s.version == r.version) == (r.state == "rolled_back") })
		time.Sleep(time.Until(r.startedAt.Add(rolloutDuration)))
		dep.observations.checkExposure(r)
		dep.repairServers(r.version)
		dep.observations.clearRollout(r)
		return
	}
	dep.observations.mu.Lock()
	defer dep.observations.mu.Unlock()
	dep.observations.addViolation("DUTY", "the rollout to %s has no result after %s", r.version, rolloutDuration+resultSlack)
}

// repairServers ends the failures of the servers of a version.
func (dep *deployment) repairServers(version string) {
	dep.changeServers(func(s *server) bool { return s.version == version }, func(s *server) { s.failShare = 0 })
}

// removeServers removes servers of the set "files" without draining them.
func (dep *deployment) removeServers(remove func(*server) bool) {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	kept := dep.servers[:0]
	for _, s := range dep.servers {
		if s.set != "files" || !remove(s) {
			kept = append(kept, s)
			continue
		}
		dep.remove(wire.KindReplicas, s.ID)
		s.proxy.close()
		_ = s.Close() // closes its connections too
	}
	dep.servers = kept
}

// recordRolloutStart records a rollout and names its version, unless another one is in progress.
func (obs *observations) recordRolloutStart(r *rollout) bool {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	if obs.rollout != nil {
		return false
	}
	obs.rolloutsStarted++
	r.version = fmt.Sprintf("v%d", obs.rolloutsStarted+1)
	obs.rollout = r
	return true
}

func (obs *observations) clearRollout(r *rollout) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	if obs.rollout == r {
		obs.rollout = nil
	}
}

// checkExposure checks that a bad version has got at most the bounded share of the requests until the
// deadline.
func (obs *observations) checkExposure(r *rollout) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	if bound := canaryShare*float64(r.requests) + canarySlack; r.bad && float64(r.targetRequests) > bound {
		obs.addViolation("EXPOSURE", "bad version %s got %d of %d requests", r.version, r.targetRequests, r.requests)
	}
}

// recordRolloutResult checks the result of a rollout: a bad version is not completed once enough failures
// were answered.
func (obs *observations) recordRolloutResult(r *rollout, state string) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	r.state, r.resultAt = state, time.Now()
	obs.rolloutResults = append(obs.rolloutResults, fmt.Sprintf("%s bad %t: %s after %s, %d of %d requests, %d failures",
		r.version, r.bad, state, r.resultAt.Sub(r.startedAt).Round(time.Millisecond), r.targetRequests, r.requests, r.targetFailures))
	if r.bad && state == "completed" && r.targetFailures >= canarySlack {
		obs.addViolation("EXPOSURE", "bad version %s was completed after %d failures", r.version, r.targetFailures)
	}
}

// recordTargetArrival records that a request has reached a server, if the server is of the target
// version. The caller holds the lock.
func (obs *observations) recordTargetArrival(version, id string, d *daemon) {
	r := obs.rollout
	if r == nil || version != r.version {
		return
	}
	now := time.Now()
	if r.bounded(now) {
		r.targetRequests++
	}
	if r.state == "rolled_back" && now.Sub(r.resultAt) > rollbackBound && d.undisturbed(now) {
		obs.addViolation("EXPOSURE", "request %s reached version %s %s after it was rolled back", id, version, now.Sub(r.resultAt))
	}
}

// recordTargetFailure counts a failure, if the server that answered it is of the target version.
func (obs *observations) recordTargetFailure(version string) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	if obs.rollout != nil && obs.rollout.version == version {
		obs.rollout.targetFailures++
	}
}

// firstStart is the time of a server's first start in its registration, in milliseconds.
const firstStart = 1000

// serverSpec returns the registration of a server, with its version and its start.
func serverSpec(s *server, state string) map[string]any {
	spec := platformtest.ServerSpec(s.set, s.proxy.address(), state)
	spec["version"] = s.version
	s.mu.Lock()
	defer s.mu.Unlock()
	spec["born"] = firstStart + s.starts
	return spec
}
