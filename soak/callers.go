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

// Outcomes on the plot.
const (
	outcomeServed  = "served"
	outcomeThin    = "thin"
	outcomeRefused = "refused"
	outcomeFailed  = "failed"
	outcomeCut     = "cut"
)

const (
	callersADaemon = 3
	callerPause    = 20 * time.Millisecond
	// lateSlack is how long after the route's timeout an answer may come.
	lateSlack = 500 * time.Millisecond
	// cutWindow is how long after a SIGTERM requests that are sent must not be cut: those have
	// their whole timeout before the process ends.
	cutWindow = 1500 * time.Millisecond
)

// caller sends requests to one daemon over kept connections until ctx ends.
type caller struct {
	w    *world
	d    *daemon
	n    int
	rng  *rand.Rand
	http *http.Transport
	next int
}

func (w *world) newCaller(d *daemon, n int, seed uint64) *caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &caller{
		w: w, d: d, n: n, rng: rand.New(rand.NewPCG(seed, uint64(n))),
		http: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true},
	}
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.one(ctx)
		time.Sleep(rand.N(callerPause))
	}
}

// kinds of requests; the first letter of an ID tells its kind.
var kinds = []struct {
	letter, method, path string
	share                int
}{
	{"s", http.MethodGet, "/s/q", 5},
	{"r", http.MethodGet, "/r/q", 2},
	{"w", http.MethodPost, "/w/q", 2},
	{"p", http.MethodGet, "/p/q", 1},
}

func (c *caller) one(ctx context.Context) {
	pick := c.rng.IntN(10)
	for _, k := range kinds {
		if pick < k.share {
			c.send(ctx, k.letter, k.method, k.path)
			return
		}
		pick -= k.share
	}
}

func (c *caller) send(ctx context.Context, letter, method, path string) {
	c.next++
	id := fmt.Sprintf("%s-%s-%d-%d", letter, c.d.name, c.n, c.next)
	c.w.history.sent(id, c.d, setsOf(letter))
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.d.callerAddress()+path, http.NoBody)
	if err != nil {
		panic(err) // only a wrong constant can cause this
	}
	if method == http.MethodPost {
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader("x")), 1
	}
	req.Host = platformtest.Host
	req.Header.Set(wire.RequestID, id)
	req.Header.Set(wire.Deadline, strconv.FormatInt(routeTimeout.Milliseconds(), 10))
	incarnation := c.d.life()
	sent := time.Now()
	resp, err := c.http.RoundTrip(req)
	if err != nil {
		c.cut(ctx, id, incarnation, sent, err)
		return
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		c.cut(ctx, id, incarnation, sent, err)
		return
	}
	if took := time.Since(sent); took > routeTimeout+lateSlack && c.d.calm(time.Now()) {
		c.note("LATE", "request %s was answered after %s", id, took)
	}
	c.check(id, resp, string(body), incarnation, sent)
}

func setsOf(letter string) []string {
	switch letter {
	case "s":
		var sets []string
		for i := range shards {
			sets = append(sets, fmt.Sprintf("part%d", i))
		}
		return sets
	case "p":
		return []string{"probe"}
	}
	return []string{"files"}
}

func (c *caller) note(promise, format string, args ...any) {
	c.w.history.mu.Lock()
	defer c.w.history.mu.Unlock()
	c.w.history.breakPromise(promise, format, args...)
}

// cut handles a request without a whole answer. A process that is stopped gracefully must not
// cut those that it has accepted a connection for.
func (c *caller) cut(ctx context.Context, id string, incarnation int, sent time.Time, err error) {
	if ctx.Err() != nil {
		return // the soak is over
	}
	c.w.history.outcome(outcomeCut)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	c.d.mu.Lock()
	term, stopping := c.d.terms[incarnation]
	only := !c.d.disturbed.After(term)
	c.d.mu.Unlock()
	if stopping && only && sent.After(term) && sent.Sub(term) < cutWindow {
		c.note("LOST", "request %s, sent %s after SIGTERM, was cut: %v", id, sent.Sub(term), err)
	}
}

// check checks a whole answer.
func (c *caller) check(id string, resp *http.Response, body string, incarnation int, sent time.Time) {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.w.history.refusedNotRun(id)
		c.w.history.outcome(outcomeRefused)
		return
	default:
		if resp.StatusCode == http.StatusNotFound {
			c.note("DENIED", "request %s on a known route got 404", id)
		}
		c.w.history.outcome(outcomeFailed)
		return
	}
	switch id[0] {
	case 's':
		c.checkGathered(id, resp, body)
		return
	case 'p':
		c.checkProbe(id, resp, incarnation, sent)
	default:
		if !wholeAnswer(id, "files", resp.Header.Get(wire.Signature), body) {
			c.note("MIXED", "request %s got another answer: %s %q", id, resp.Header.Get(wire.Signature), body)
		}
	}
	c.w.history.outcome(outcomeServed)
}

// wholeAnswer reports whether an answer is a server's whole answer to a request.
func wholeAnswer(id, set, sig, body string) bool {
	fields := strings.Split(sig, ".")
	return len(fields) == 4 && sig == signature(id, set, fields[2]) && body == part(id, set)
}

func (c *caller) checkProbe(id string, resp *http.Response, incarnation int, sent time.Time) {
	fields := strings.Split(resp.Header.Get(wire.Signature), ".")
	if len(fields) != 4 || fields[0] != id {
		c.note("MIXED", "probe %s got the answer %v", id, fields)
		return
	}
	version, err := strconv.Atoi(strings.TrimPrefix(fields[1], "probe-"))
	if err != nil {
		c.note("ROUTE", "probe %s was answered by %s", id, fields[1])
		return
	}
	c.w.history.probed(c.d, incarnation, sent, version)
}

func (c *caller) checkGathered(id string, resp *http.Response, body string) {
	missing, err := strconv.Atoi(resp.Header.Get(wire.Missing))
	problem := gatheredProblem(id, strings.Join(resp.Header.Values(wire.Parts), ","), missing, body)
	if err != nil {
		problem = "the number of missing parts cannot be read"
	}
	if problem != "" {
		c.note("MIXED", "request %s: %s", id, problem)
	}
	if missing > 0 {
		c.w.history.outcome(outcomeThin)
		return
	}
	c.w.history.outcome(outcomeServed)
}

// gatheredProblem returns what is wrong with a gathered answer, or "".
func gatheredProblem(id, stamps string, missing int, body string) string {
	seen := make(map[string]bool)
	var sets []string
	for stamp := range strings.SplitSeq(stamps, ",") {
		stamp = strings.TrimSpace(stamp)
		fields := strings.Split(stamp, ".")
		if len(fields) != 4 || stamp != signature(id, fields[1], fields[2]) {
			return fmt.Sprintf("%q is no signature of a part", stamp)
		}
		if seen[fields[1]] {
			return "two parts of " + fields[1]
		}
		seen[fields[1]] = true
		sets = append(sets, fields[1])
	}
	if len(seen)+missing != shards {
		return fmt.Sprintf("%d parts and %d missing are not %d shards", len(seen), missing, shards)
	}
	if float64(len(seen)) < leastCoverage*shards {
		return fmt.Sprintf("%d parts are too few", len(seen))
	}
	if body != greatest(id, sets) {
		return "the body is not the greatest records of the parts"
	}
	return ""
}

// greatest returns the greatest records of the parts of some sets, greatest first.
func greatest(id string, sets []string) string {
	const recordBytes = 16
	var records []string
	for _, set := range sets {
		for all := part(id, set); all != ""; all = all[recordBytes:] {
			records = append(records, all[:recordBytes])
		}
	}
	slices.Sort(records)
	slices.Reverse(records)
	return strings.Join(records[:min(topK, len(records))], "")
}
