package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/gooseberrylock/gooseberrylock/platform/platformtest"
	"github.com/gooseberrylock/gooseberrylock/platform/wire"
)

// Outcomes of a request, as named in the report and the plot.
const (
	outcomeServed  = "served"
	outcomePartial = "thin"
	outcomeRefused = "refused"
	outcomeFailed  = "failed"
	outcomeCut     = "cut"
)

const (
	callersPerDaemon = 3
	maxRequestPause  = 20 * time.Millisecond
	// lateSlack is how long after the route's timeout an answer may still arrive.
	lateSlack = 500 * time.Millisecond
	// cutWindow is the time after a SIGTERM in which a new request must still be answered: the
	// route's timeout then passes before the process is killed.
	cutWindow = 1500 * time.Millisecond
)

// caller sends requests to one daemon, one at a time over persistent connections.
type caller struct {
	deployment  *deployment
	daemon      *daemon
	number      int
	rng         *rand.Rand
	http        *http.Transport
	lastRequest int
}

func (dep *deployment) newCaller(d *daemon, n int, seed uint64) *caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &caller{
		deployment: dep, daemon: d, number: n, rng: rand.New(rand.NewPCG(seed, uint64(n))),
		http: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true},
	}
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.sendRandom(ctx)
		time.Sleep(rand.N(maxRequestPause))
	}
}

// requestKinds are the kinds of requests and their shares in twentieths. The first letter of a
// request's ID is the letter of its kind.
var requestKinds = []struct {
	letter, method, path string
	share                int
}{
	{"s", http.MethodGet, "/s/q", 9},
	{"t", http.MethodGet, "/t/q", 1},
	{"r", http.MethodGet, "/r/q", 4},
	{"w", http.MethodPost, "/w/q", 4},
	{"p", http.MethodGet, "/p/q", 2},
}

func (c *caller) sendRandom(ctx context.Context) {
	pick := c.rng.IntN(20)
	for _, k := range requestKinds {
		if pick < k.share {
			c.send(ctx, k.letter, k.method, k.path)
			return
		}
		pick -= k.share
	}
}

func (c *caller) send(ctx context.Context, letter, method, path string) {
	c.lastRequest++
	id := fmt.Sprintf("%s-%s-%d-%d", letter, c.daemon.name, c.number, c.lastRequest)
	c.deployment.observations.recordRequest(id, c.daemon, setsFor(letter))
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.daemon.callerAddress()+path, http.NoBody)
	if err != nil {
		panic(err) // only an invalid method or path constant can cause this
	}
	if method == http.MethodPost {
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader("x")), 1
	}
	req.Host = platformtest.Host
	req.Header.Set(wire.RequestID, id)
	req.Header.Set(wire.Deadline, strconv.FormatInt(routeTimeout.Milliseconds(), 10))
	incarnation := c.daemon.currentIncarnation()
	sent := time.Now()
	resp, err := c.http.RoundTrip(req)
	if err != nil {
		c.handleCut(ctx, id, incarnation, sent, err)
		return
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		c.handleCut(ctx, id, incarnation, sent, err)
		return
	}
	if took := time.Since(sent); took > routeTimeout+lateSlack && c.daemon.undisturbed(time.Now()) {
		c.addViolation("LATE", "request %s was answered after %s", id, took)
	}
	c.checkAnswer(id, resp, string(body), incarnation, sent)
}

func setsFor(letter string) []string {
	switch letter {
	case "s":
		return setNames("part", shards)
	case "t":
		return setNames("turn", turnShards)
	case "p":
		return []string{"probe"}
	}
	return []string{"files"}
}

func (c *caller) addViolation(tag, format string, args ...any) {
	c.deployment.observations.mu.Lock()
	defer c.deployment.observations.mu.Unlock()
	c.deployment.observations.addViolation(tag, format, args...)
}

// handleCut records a request whose connection ended before the complete answer arrived. A process
// that is stopped gracefully must not do that to a request whose connection it has accepted.
func (c *caller) handleCut(ctx context.Context, id string, incarnation int, sent time.Time, err error) {
	if ctx.Err() != nil {
		return // the run has ended
	}
	c.deployment.observations.countOutcome(outcomeCut)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	c.daemon.mu.Lock()
	sigterm, stopping := c.daemon.sigterms[incarnation]
	noLaterFault := !c.daemon.lastDisturbed.After(sigterm)
	c.daemon.mu.Unlock()
	if stopping && noLaterFault && sent.After(sigterm) && sent.Sub(sigterm) < cutWindow {
		c.addViolation("LOST", "request %s, sent %s after SIGTERM, was cut: %v", id, sent.Sub(sigterm), err)
	}
}

// checkAnswer checks a complete answer and counts its outcome.
func (c *caller) checkAnswer(id string, resp *http.Response, body string, incarnation int, sent time.Time) {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.deployment.observations.recordNotRun(id)
		c.deployment.observations.countOutcome(outcomeRefused)
		return
	default:
		if resp.StatusCode == http.StatusNotFound {
			c.addViolation("DENIED", "request %s on a known route got 404", id)
		}
		c.deployment.observations.countOutcome(outcomeFailed)
		return
	}
	switch id[0] {
	case 's':
		c.checkGathered(id, shards, resp, body)
		return
	case 't':
		c.checkTurn(id, resp, body)
		return
	case 'p':
		c.checkProbe(id, resp, incarnation, sent)
	default:
		if !answerMatches(id, "files", resp.Header.Get(wire.Signature), body) {
			c.addViolation("MIXED", "request %s got an answer that does not belong to it: %s %q", id, resp.Header.Get(wire.Signature), body)
		}
	}
	c.deployment.observations.countOutcome(outcomeServed)
}

// answerMatches reports whether sig and body are the complete answer of a server of the replica set
// to the request.
func answerMatches(id, set, sig, body string) bool {
	fields := strings.Split(sig, ".")
	return len(fields) == 4 && sig == signature(id, set, fields[2]) && body == partBody(id, set)
}

func (c *caller) checkProbe(id string, resp *http.Response, incarnation int, sent time.Time) {
	fields := strings.Split(resp.Header.Get(wire.Signature), ".")
	if len(fields) != 4 || fields[0] != id {
		c.addViolation("MIXED", "probe %s got an answer that does not belong to it: %v", id, fields)
		return
	}
	version, err := strconv.Atoi(strings.TrimPrefix(fields[1], "probe-"))
	if err != nil {
		c.addViolation("ROUTE", "probe %s was answered by %s", id, fields[1])
		return
	}
	c.deployment.observations.recordProbe(c.daemon, incarnation, sent, version)
}

// checkTurn checks the answer of a route that is gathered or not, depending on the configuration.
func (c *caller) checkTurn(id string, resp *http.Response, body string) {
	sig := resp.Header.Get(wire.Signature)
	if sig == "" {
		c.checkGathered(id, turnShards, resp, body)
		return
	}
	if !answerMatches(id, "turn0", sig, body) {
		c.addViolation("MIXED", "request %s got an answer that does not belong to it: %s %q", id, sig, body)
	}
	c.deployment.observations.countOutcome(outcomeServed)
}

func (c *caller) checkGathered(id string, shards int, resp *http.Response, body string) {
	missing, err := strconv.Atoi(resp.Header.Get(wire.MissingShards))
	problem := gatheredProblem(id, shards, strings.Join(resp.Header.Values(wire.ShardSignatures), ","), missing, body)
	if err != nil {
		problem = "the number of missing parts cannot be read"
	}
	if problem != "" {
		c.addViolation("MIXED", "request %s: %s", id, problem)
	}
	if missing > 0 {
		c.deployment.observations.countOutcome(outcomePartial)
		return
	}
	c.deployment.observations.countOutcome(outcomeServed)
}

// gatheredProblem returns what is wrong with a gathered answer, or "". The parameter stamps is the
// comma-separated list of the parts' signatures, shards the number of shards of the route, and missing the
// reported number of missing parts.
func gatheredProblem(id string, shards int, stamps string, missing int, body string) string {
	seen := make(map[string]bool)
	var sets []string
	for stamp := range strings.SplitSeq(stamps, ",") {
		stamp = strings.TrimSpace(stamp)
		fields := strings.Split(stamp, ".")
		if len(fields) != 4 || stamp != signature(id, fields[1], fields[2]) {
			return fmt.Sprintf("%q is not a valid signature of a part", stamp)
		}
		if seen[fields[1]] {
			return "two parts of " + fields[1]
		}
		seen[fields[1]] = true
		sets = append(sets, fields[1])
	}
	if len(seen)+missing != shards {
		return fmt.Sprintf("%d parts and %d missing parts do not add up to %d shards", len(seen), missing, shards)
	}
	if float64(len(seen)) < minCoverage*float64(shards) {
		return fmt.Sprintf("%d parts are below the minimum coverage", len(seen))
	}
	if body != topRecords(id, sets) {
		return "the body does not hold the greatest records of the parts"
	}
	return ""
}

// topRecords returns the topK greatest records of the given sets' parts, in descending order.
func topRecords(id string, sets []string) string {
	const recordBytes = 16
	var records []string
	for _, set := range sets {
		for all := partBody(id, set); all != ""; all = all[recordBytes:] {
			records = append(records, all[:recordBytes])
		}
	}
	slices.Sort(records)
	slices.Reverse(records)
	return strings.Join(records[:min(topK, len(records))], "")
}
