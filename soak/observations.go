package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// observations records what callers and servers saw during a run, and the invariant violations found
// in it.
type observations struct {
	mu              sync.Mutex
	startedAt       time.Time
	runs            map[string]int            // number of runs by request
	reportedNotRun  map[string]bool           // requests refused with a status that means they have not run
	arrivals        map[string]map[string]int // number of arrivals by set and request
	extraAttempts   map[string][]time.Time    // arrivals after a request's first, by set
	requestTimes    map[string][]time.Time    // times at which callers sent requests, by set
	configAcks      map[int]time.Time         // time at which the store acknowledged each version
	newestConfigs   map[string]seenVersion    // newest version seen, by daemon and incarnation
	daemonByRequest map[string]*daemon        // daemon that the request was sent to
	outcomeCounts   map[string][]int          // number of requests by outcome and second
	notices         noticeRecord
	rollout         *rollout // current rollout, kept until the servers of the losing version are removed
	rolloutsStarted int
	rolloutResults  []string // one line for each finished rollout
	violations      []string
	faults          []faultInterval
}

// faultInterval is a fault with its start and end, relative to the start of the run.
type faultInterval struct {
	name     string
	from, to time.Duration
}

func newObservations() *observations {
	return &observations{
		startedAt: time.Now(), runs: make(map[string]int), reportedNotRun: make(map[string]bool),
		arrivals: make(map[string]map[string]int), extraAttempts: make(map[string][]time.Time),
		requestTimes: make(map[string][]time.Time), configAcks: make(map[int]time.Time), newestConfigs: make(map[string]seenVersion),
		notices: newNoticeRecord(), daemonByRequest: make(map[string]*daemon), outcomeCounts: make(map[string][]int),
	}
}

// addViolation records the violation of the invariant with the given tag. The caller holds the lock.
func (obs *observations) addViolation(tag, format string, args ...any) {
	at := time.Since(obs.startedAt).Round(time.Millisecond)
	obs.violations = append(obs.violations, fmt.Sprintf("%s at %s: %s", tag, at, fmt.Sprintf(format, args...)))
}

func (obs *observations) recordConfig(version int) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	obs.configAcks[version] = time.Now()
}

// recordRequest records that a caller sends a request, which needs answers of the given sets.
func (obs *observations) recordRequest(id string, d *daemon, sets []string) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	obs.daemonByRequest[id] = d
	for _, set := range sets {
		obs.requestTimes[set] = append(obs.requestTimes[set], time.Now())
		if set == "files" && obs.rollout != nil && obs.rollout.bounded(time.Now()) {
			obs.rollout.requests++
		}
	}
}

// drainBound is how long after the store acknowledged its draining a server may get requests.
const drainBound = 3 * time.Second

// recordArrival records that a request has reached a server. The parameter draining is the time at
// which the server's draining was acknowledged, zero if it is not draining.
func (obs *observations) recordArrival(s *server, id string, draining time.Time) {
	set, server := s.set, s.ID
	obs.mu.Lock()
	defer obs.mu.Unlock()
	if obs.arrivals[set] == nil {
		obs.arrivals[set] = make(map[string]int)
	}
	obs.arrivals[set][id]++
	if obs.arrivals[set][id] > 1 {
		obs.extraAttempts[set] = append(obs.extraAttempts[set], time.Now())
	}
	d, known := obs.daemonByRequest[id]
	if !known {
		obs.addViolation("UNASKED", "server %s got request %q that no caller sent", server, id)
		return
	}
	obs.recordTargetArrival(s.version, id, d)
	if !draining.IsZero() && time.Since(draining) > drainBound && d.undisturbed(time.Now()) {
		obs.addViolation("DRAIN", "server %s got request %s %s after its draining was acknowledged", server, id, time.Since(draining))
	}
}

func (obs *observations) recordRun(id string) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	obs.runs[id]++
	if id[0] == 'w' && obs.runs[id] > 1 {
		obs.addViolation("TWICE", "request %s ran %d times", id, obs.runs[id])
	}
	if id[0] == 'w' && obs.reportedNotRun[id] {
		obs.addViolation("REFUSED", "request %s ran after it was reported as not run", id)
	}
}

// recordNotRun records a refusal whose status means that the request has not run.
func (obs *observations) recordNotRun(id string) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	obs.reportedNotRun[id] = true
	if id[0] == 'w' && obs.runs[id] > 0 {
		obs.addViolation("REFUSED", "request %s was reported as not run but had run", id)
	}
}

const (
	// configBound is the time after its acknowledgement by which a version must be in force.
	configBound = 3 * time.Second
	// rollbackSlack is how long after a version was first seen an older one may still be seen.
	rollbackSlack = 250 * time.Millisecond
)

// recordProbe checks the configuration version under which a daemon answered a probe.
func (obs *observations) recordProbe(d *daemon, incarnation int, sent time.Time, version int) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	for v, at := range obs.configAcks {
		if v > version && sent.Sub(at) > configBound && d.undisturbed(time.Now()) {
			obs.addViolation("CONFIG", "%s answered by version %d %s after version %d was acknowledged", d.name, version, sent.Sub(at), v)
			break
		}
	}
	key := fmt.Sprintf("%s/%d", d.name, incarnation)
	newest := obs.newestConfigs[key]
	if version < newest.version && sent.Sub(newest.at) > rollbackSlack {
		obs.addViolation("CONFIG", "%s went back from version %d to %d", d.name, newest.version, version)
	}
	if version > newest.version {
		obs.newestConfigs[key] = seenVersion{version: version, at: time.Now()}
	}
}

// seenVersion is a version with the time at which it was first seen.
type seenVersion struct {
	version int
	at      time.Time
}

// countOutcome counts a request under its outcome.
func (obs *observations) countOutcome(kind string) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	second := int(time.Since(obs.startedAt) / time.Second)
	for len(obs.outcomeCounts[kind]) <= second {
		obs.outcomeCounts[kind] = append(obs.outcomeCounts[kind], 0)
	}
	obs.outcomeCounts[kind][second]++
}

func (obs *observations) recordFault(name string, from time.Time, to time.Time) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	obs.faults = append(obs.faults, faultInterval{name: name, from: from.Sub(obs.startedAt), to: to.Sub(obs.startedAt)})
}

// checkRetryBudget checks the retry budget of each set in every window that ends with an extra
// attempt.
func (obs *observations) checkRetryBudget() {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	for set, attempts := range obs.extraAttempts {
		for i, last := range attempts {
			from := last.Add(-retryWindow)
			first, _ := slices.BinarySearchFunc(attempts[:i+1], from, time.Time.Compare)
			requests := 0
			for _, at := range obs.requestTimes[set] {
				if at.After(from) && !at.After(last) {
					requests++
				}
			}
			if n := i + 1 - first; float64(n) > retryRatio*float64(requests)+retryBurst {
				obs.addViolation("BUDGET", "%d extra attempts at %s in a window of %d requests", n, set, requests)
				break
			}
		}
	}
}

func (obs *observations) servedSince(from time.Time) (good, all int) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	second := int(from.Sub(obs.startedAt) / time.Second)
	for kind, counts := range obs.outcomeCounts {
		for _, n := range counts[min(second+1, len(counts)):] {
			all += n
			if kind == outcomeServed || kind == outcomePartial {
				good += n
			}
		}
	}
	return good, all
}
