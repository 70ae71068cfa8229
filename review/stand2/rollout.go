package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Cases 6 and 9: a rollout to a bad version.

const (
	rolloutService    = "find"
	oldVersion        = "v1"
	newVersion        = "v2"
	versionServers    = 3
	rolloutSeconds    = 12
	rolloutTimeout    = 30 * time.Second
	badAnswersAllowed = 50
	rollbackBound     = 5000 * time.Millisecond
	observeAfterBound = 4 * time.Second
	rolloutLimit      = 112 * time.Second // of the whole case
	newServersDrain   = 3 * time.Second   // after rolled_back
	observeResult     = 15 * time.Second  // if there are too few bad answers
)

// rolloutPlan describes a deployment, its traffic and the target version of a rollout.
type rolloutPlan struct {
	vms          int
	routes       []rolloutRoute
	work         time.Duration // of the old version
	targetWork   time.Duration
	targetFailed string // path prefix of the requests that the target version fails; "" if it fails none
	describes    string // the target version, for the record
}

type rolloutRoute struct {
	prefix    string
	perSecond float64
}

func (p *rolloutPlan) slow() bool { return p.targetWork > p.work }

// oneRouteFails is case 6: the target version fails all requests of a route that has few requests.
func oneRouteFails(r *record, trouble bool) (bool, error) {
	p := &rolloutPlan{
		vms: 6, routes: []rolloutRoute{{drainPrefix, 30}, {"/export/", 0.8}}, work: searcherWork, targetWork: searcherWork,
		describes: "as good as " + oldVersion,
	}
	if trouble {
		p.targetFailed, p.describes = "/export/", "fails all requests for /export/"
	}
	return playRollout(r, p)
}

// slowVersion is case 9: the target version takes five times as long for each request. Rate, work and number
// of VMs are those of file-pull on the sheet of taproom-search.
func slowVersion(r *record, trouble bool) (bool, error) {
	const slowdown = 5
	p := &rolloutPlan{
		vms: 9, routes: []rolloutRoute{{drainPrefix, 22.5}}, work: 60 * time.Millisecond, targetWork: 60 * time.Millisecond,
		describes: "as good as " + oldVersion,
	}
	if trouble {
		p.targetWork, p.describes = slowdown*p.work, fmt.Sprintf("takes %d times as long for each request", slowdown)
	}
	return playRollout(r, p)
}

// versionStart starts the searchers of a version and registers them.
func (p *rolloutPlan) versionStart(s *store, version string) ([]*searcher, error) {
	var started []*searcher
	for i := range versionServers {
		server := &searcher{
			id: fmt.Sprintf("i-%s-%d", version, i+1), service: rolloutService, version: version, zone: zoneOf(i), slots: searcherSlots, work: p.work,
		}
		if version == newVersion {
			server.work = p.targetWork
			server.fails = func(path string) bool { return p.targetFailed != "" && strings.HasPrefix(path, p.targetFailed) }
		}
		if _, err := startSearcher(server); err != nil {
			return started, err
		}
		started = append(started, server)
		s.put("servers", server.id, server.entry("ready"))
	}
	return started, nil
}

func playRollout(r *record, p *rolloutPlan) (bool, error) {
	var old []*searcher
	var routes []map[string]any
	for _, route := range p.routes {
		routes = append(routes, plainRoute(strings.Trim(route.prefix, "/"), route.prefix, rolloutService))
	}
	f, err := startFleet(r, equalCores(p.vms), configOf(rolloutService, routes...), func(s *store) (err error) {
		old, err = p.versionStart(s, oldVersion)
		return err
	})
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	stop := make(chan struct{})
	c := newCaller(f, drainHost)
	for _, route := range p.routes {
		c.start(route.prefix+"q", route.perSecond, clientDeadlineMS, stop)
	}
	time.Sleep(4 * time.Second)

	target, err := p.versionStart(f.store, newVersion)
	if err != nil {
		return false, err
	}
	orderedAt := f.store.put("rollouts", rolloutService, map[string]any{
		"service": rolloutService, "target_version": newVersion, "duration_s": rolloutSeconds,
	})
	r.write("the store has acknowledged the order of a rollout to %s within %d s; %s: %s", newVersion, rolloutSeconds, newVersion, p.describes)
	state := awaitResult(f, orderedAt)
	resultAt := time.Now()
	r.write("state of the rollout after %.1f s: %q; so far %s has run %d requests, %d of them with a bad answer", resultAt.Sub(orderedAt).Seconds(),
		state, newVersion, len(runsOf(target)), len(p.badRuns(target)))
	p.followResult(f, state, old, target)
	for time.Since(r.start) < rolloutLimit {
		time.Sleep(time.Second)
		bad := p.badRuns(target)
		if len(bad) >= badAnswersAllowed && time.Since(bad[badAnswersAllowed-1].at) > rollbackBound+observeAfterBound {
			break
		}
		if time.Since(resultAt) > observeResult && (state != "completed" || len(bad) == 0) {
			break
		}
	}
	close(stop)
	c.waiting.Wait()
	for _, route := range p.routes {
		r.write("answers for %s by status since the result: %v", route.prefix, c.statuses(route.prefix+"q", resultAt))
	}
	return p.lateRequests(r, c, target), nil
}

// followResult does what the platform does after a rollout: on completed the old searchers stop at once, on
// rolled_back the new ones drain some seconds later.
func (p *rolloutPlan) followResult(f *fleet, state string, old, target []*searcher) {
	switch state {
	case "completed":
		for _, s := range old {
			s.stop()
			f.store.remove("servers", s.id)
		}
	case "rolled_back":
		time.Sleep(newServersDrain)
		for _, s := range target {
			f.store.put("servers", s.id, s.entry("draining"))
		}
	}
}

// awaitResult waits until the store has a final state of the rollout.
func awaitResult(f *fleet, orderedAt time.Time) string {
	for time.Since(orderedAt) < rolloutTimeout {
		state, _ := f.store.status("rollouts", rolloutService)["state"].(string)
		if state == "completed" || state == "rolled_back" {
			return state
		}
		time.Sleep(10 * time.Millisecond)
	}
	return "none"
}

// runsOf returns the runs of several searchers in order of time.
func runsOf(servers []*searcher) []run {
	var runs []run
	for _, s := range servers {
		runs = append(runs, s.runsOf()...)
	}
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
	return runs
}

// badRuns returns the runs that have brought a failure, or taken several times as long.
func (p *rolloutPlan) badRuns(servers []*searcher) []run {
	return slices.DeleteFunc(runsOf(servers), func(q run) bool { return !q.failed && !p.slow() })
}

// lateRequests reports whether the version got a request that a client sent later than rollback_ms after its
// 50th bad answer.
func (p *rolloutPlan) lateRequests(r *record, c *caller, target []*searcher) bool {
	bad := p.badRuns(target)
	r.write("%s has run %d requests, %d of them with a bad answer", newVersion, len(runsOf(target)), len(bad))
	for _, q := range bad[:min(len(bad), badAnswersAllowed)] {
		r.detail("         %s: bad answer to request %s, run at %.3f", newVersion, q.request, r.at(q.at))
	}
	if len(bad) < badAnswersAllowed {
		return false
	}
	answered := bad[badAnswersAllowed-1].at.Add(p.targetWork)
	late := 0
	for _, run := range runsOf(target) {
		if q, ok := c.requestOf(run.request); ok && q.sent.After(answered.Add(rollbackBound)) {
			late++
		}
	}
	r.write("the 50th bad answer came at %.3f; %d requests that were sent over %.0f s later have reached %s", r.at(answered), late,
		rollbackBound.Seconds(), newVersion)
	return late > 0
}
