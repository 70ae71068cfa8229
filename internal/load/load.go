// Package load is an open-loop load generator for entry daemons. It sends requests at a given
// rate regardless of outstanding responses, and measures latency from the intended send time.
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gooseberrylock/gooseberrylock/api/caller"
)

// Config is the configuration of a load test.
type Config struct {
	Callers  []string // caller URLs of the daemons, used round-robin
	Customer string
	Route    string
	Shard    string        // shard to read from; "" to search all shards
	Class    string        // priority class; "" for the default of the route
	Rate     float64       // requests per second
	Duration time.Duration // how long to send requests
	Deadline time.Duration // timeout of each request; 0 for the default of the route
	Client   *http.Client  // nil for a client with a large pool of idle connections
}

// Validate returns an error for the first invalid value.
func (c *Config) Validate() error {
	switch {
	case len(c.Callers) == 0:
		return errors.New("at least one caller URL is needed")
	case c.Rate <= 0 || c.Rate > maxRate:
		return fmt.Errorf("rate %g is not above 0 and at most %d requests a second", c.Rate, maxRate)
	case c.Duration <= 0 || c.Duration > maxDuration:
		return fmt.Errorf("duration %v is not above 0 and at most %v", c.Duration, maxDuration)
	case c.Customer == "" || c.Route == "":
		return errors.New("customer and route are needed")
	}
	return nil
}

const (
	maxRate     = 100000
	maxDuration = time.Hour
	// The histogram records latencies from 1 microsecond to 1 minute with 3 significant digits.
	minLatency        = 1
	maxLatency        = int64(time.Minute / time.Microsecond)
	significantDigits = 3
	// answerTimeout is how long to wait for outstanding responses after the last request was sent.
	answerTimeout = 30 * time.Second
)

// Report is the result of a load test.
type Report struct {
	Sent           int            `json:"sent"`
	Answered       int            `json:"answered"`
	Complete       int            `json:"complete"`
	Refused        map[string]int `json:"refused"` // by refusal code; "transport" for requests without a response
	P50Ms          float64        `json:"p50Ms"`   // latency of all responses, refusals included, from the intended send time
	P99Ms          float64        `json:"p99Ms"`
	P999Ms         float64        `json:"p999Ms"`
	MaxMs          float64        `json:"maxMs"`
	Coverage       float64        `json:"coverage"`  // shards answered / shards wanted, summed over all answers; 0 to 1
	ExtraLoad      float64        `json:"extraLoad"` // attempts / needed attempts - 1
	Needed         int            `json:"neededAttempts"`
	Attempts       int            `json:"attempts"`
	wantedShards   int
	answeredShards int
}

// Text writes the report in a human-readable form.
func (r *Report) Text(w io.Writer) {
	fmt.Fprintf(w, "sent %d, answered %d, complete %d\n", r.Sent, r.Answered, r.Complete)
	fmt.Fprintf(w, "latency p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms, max %.1f ms\n", r.P50Ms, r.P99Ms, r.P999Ms, r.MaxMs)
	fmt.Fprintf(w, "coverage %.4f, extra load %.4f (%d attempts for %d needed)\n", r.Coverage, r.ExtraLoad, r.Attempts, r.Needed)
	codes := make([]string, 0, len(r.Refused))
	for code := range r.Refused {
		codes = append(codes, code)
	}
	sort.Strings(codes)
	for _, code := range codes {
		fmt.Fprintf(w, "refused %q: %d\n", code, r.Refused[code])
	}
}

// generator sends the requests and collects their results.
type generator struct {
	cfg     Config
	clients []*caller.Client

	mu     sync.Mutex
	report Report
	hist   *hdrhistogram.Histogram
}

// Run sends requests as configured and returns the report. Cancelling ctx stops the sending early.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	g := &generator{cfg: cfg, hist: hdrhistogram.New(minLatency, maxLatency, significantDigits)}
	g.report.Refused = make(map[string]int)
	if err := g.createClients(); err != nil {
		return nil, err
	}
	g.send(ctx)
	return g.finish(), nil
}

func (g *generator) createClients() error {
	client := g.cfg.Client
	if client == nil {
		client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	}
	for _, u := range g.cfg.Callers {
		c, err := caller.NewClient(u, caller.WithClient(client))
		if err != nil {
			return fmt.Errorf("caller URL %q: %w", u, err)
		}
		g.clients = append(g.clients, c)
	}
	return nil
}

// send starts each request at its intended time, with exponentially distributed intervals
// (Poisson arrivals), and waits for the responses.
func (g *generator) send(ctx context.Context) {
	reqCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg sync.WaitGroup
	start := time.Now()
	next := time.Duration(0)
	for i := 0; ; i++ {
		next += time.Duration(rand.ExpFloat64() / g.cfg.Rate * float64(time.Second))
		if next > g.cfg.Duration || !sleepUntil(ctx, start.Add(next)) {
			break
		}
		intended := start.Add(next)
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.request(reqCtx, i, intended)
		}()
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(answerTimeout):
		cancel()
		<-done
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (g *generator) request(ctx context.Context, i int, intended time.Time) {
	req := &caller.SearchRequest{Query: fmt.Sprintf("query %d", i), Limit: caller.NewOptInt(10)}
	if g.cfg.Deadline > 0 {
		req.DeadlineMs = caller.NewOptInt64(max(g.cfg.Deadline.Milliseconds(), 1))
	}
	if g.cfg.Class != "" {
		req.Class = caller.NewOptString(g.cfg.Class)
	}
	c := g.clients[i%len(g.clients)]
	var ans *caller.Answer
	var err error
	if g.cfg.Shard == "" {
		ans, err = c.Search(ctx, req, caller.SearchParams{Customer: g.cfg.Customer, Route: g.cfg.Route})
	} else {
		ans, err = c.Read(ctx, req, caller.ReadParams{Customer: g.cfg.Customer, Route: g.cfg.Route, Shard: g.cfg.Shard})
	}
	g.record(ans, err, time.Since(intended))
}

func (g *generator) record(ans *caller.Answer, err error, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.report
	r.Sent++
	var refused *caller.RefusedStatusCode
	switch {
	case errors.As(err, &refused):
		r.Refused[string(refused.Response.Code)]++
	case err != nil:
		r.Refused["transport"]++
		return
	default:
		r.Answered++
		if ans.Complete {
			r.Complete++
		}
		r.wantedShards += ans.Coverage.Wanted
		r.answeredShards += ans.Coverage.Answered
		r.Attempts += ans.Attempts
		r.Needed += ans.Needed
	}
	_ = g.hist.RecordValue(min(took.Microseconds(), maxLatency))
}

func (g *generator) finish() *Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.report
	ms := func(q float64) float64 { return float64(g.hist.ValueAtQuantile(q)) / 1000 }
	r.P50Ms, r.P99Ms, r.P999Ms = ms(50), ms(99), ms(99.9)
	r.MaxMs = float64(g.hist.Max()) / 1000
	if r.wantedShards > 0 {
		r.Coverage = float64(r.answeredShards) / float64(r.wantedShards)
	}
	if r.Needed > 0 {
		r.ExtraLoad = float64(r.Attempts)/float64(r.Needed) - 1
	}
	return r
}
