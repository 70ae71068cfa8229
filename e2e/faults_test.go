package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/api/caller"
	"github.com/gooseberrylock/gooseberrylock/standin"
)

const (
	faultDaemons = 5
	searchRoute  = "portal-search"
	submitRoute  = "case-desk"
	ownedKeys    = shards + 1 // of both routes

	requestInterval = 20 * time.Millisecond
	submitEvery     = 5 // of so many requests one is a submit
	callerTimeout   = 10 * time.Second
	readyInterval   = 50 * time.Millisecond
	readyTimeout    = 500 * time.Millisecond

	// faultsLimit bounds TestFaults.
	faultsLimit = 90 * time.Second
)

// phase is the part of the test in which a request was sent.
type phase string

const (
	phaseStart       phase = "start" // until each shard has an owner
	phaseCalm        phase = "calm"
	phaseKill        phase = "daemon killed"
	phaseStop        phase = "daemon stopped"
	phaseTaken       phase = "daemon stopped, shards taken over"
	phaseSearchers   phase = "searchers killed"
	phaseStore       phase = "store stopped"
	phaseReplacement phase = "daemons replaced"
)

// Outcomes of requests beside the refusal codes.
const (
	answered  = "answered"
	transport = "transport"
	notRun    = string(caller.RefusalCodeNotRun)
)

// tally counts the outcomes of one phase.
type tally struct {
	searches, submits map[string]int // by outcome
	incomplete        int
	slow              *hdrhistogram.Histogram // of searches, in microseconds
}

// callers sends searches and submits to the daemons that are ready.
type callers struct {
	clients []*caller.Client
	urls    []string
	ready   []atomic.Bool
	stopped atomic.Int64 // index of the daemon that a fault concerns, or -1

	mu      sync.Mutex
	phase   phase
	tallies map[phase]*tally
	results map[string]string // outcome by submit
	mixed   []string          // answers with hits of another snapshot or version
	low     []string          // searches refused for low coverage
	cut     []string          // requests with any other forbidden outcome
}

func newCallers(t *testing.T, addrs []addresses) *callers {
	c := &callers{
		ready:   make([]atomic.Bool, len(addrs)),
		tallies: make(map[phase]*tally),
		results: make(map[string]string),
	}
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for _, a := range addrs {
		url := "http://" + a.caller
		cl, err := caller.NewClient(url, caller.WithClient(client))
		if err != nil {
			t.Fatal(err)
		}
		c.clients = append(c.clients, cl)
		c.urls = append(c.urls, url)
	}
	c.enter(phaseStart)
	return c
}

// enter starts a phase.
func (c *callers) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
	if c.tallies[p] == nil {
		c.tallies[p] = &tally{
			searches: make(map[string]int),
			submits:  make(map[string]int),
			slow:     hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		}
	}
}

func (c *callers) current() (phase, *tally) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.tallies[c.phase]
}

// watch asks a daemon for its readiness, as a balancer does.
func (c *callers) watch(ctx context.Context, i int) {
	client := &http.Client{Timeout: readyTimeout}
	for ctx.Err() == nil {
		res, err := client.Get(c.urls[i] + "/readyz")
		if err == nil {
			_ = res.Body.Close()
		}
		c.ready[i].Store(err == nil && res.StatusCode == http.StatusOK)
		time.Sleep(readyInterval)
	}
}

// run sends requests until ctx ends and waits for their outcomes.
func (c *callers) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range c.clients {
		wg.Go(func() { c.watch(ctx, i) })
	}
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for n := range c.clients {
			daemon := (i + n) % len(c.clients)
			if !c.ready[daemon].Load() {
				continue
			}
			if i%submitEvery == 0 {
				wg.Go(func() { c.submit(daemon, fmt.Sprintf("submit-%d", i)) })
			} else {
				wg.Go(func() { c.search(daemon, fmt.Sprintf("query-%d", i)) })
			}
			break
		}
	}
}

func outcome(err error) string {
	var refused *caller.RefusedStatusCode
	switch {
	case err == nil:
		return answered
	case errors.As(err, &refused):
		return string(refused.Response.Code)
	}
	return transport
}

// judge records a fault if a request that should have been answered was not. A request to a
// daemon that was only replaced gracefully may be refused as not run, and no daemon may fail
// because another process stops.
func (c *callers) judge(p phase, kind string, daemon int, result string, err error) {
	mayFail := result == answered || result == notRun
	switch p {
	case phaseStart:
		mayFail = true
	case phaseKill, phaseStop, phaseTaken:
		mayFail = mayFail || kind == "submit" || int64(daemon) == c.stopped.Load()
	case phaseSearchers:
		mayFail = mayFail || kind == "submit"
	}
	if mayFail {
		return
	}
	list := &c.cut
	if result == string(caller.RefusalCodeCoverageBelowFloor) {
		list = &c.low
	}
	*list = append(*list, fmt.Sprintf("%s: %s through daemon %d: %v", p, kind, daemon, err))
}

func (c *callers) search(daemon int, query string) {
	p, t := c.current()
	began := time.Now()
	ans, err := c.clients[daemon].Search(context.Background(),
		&caller.SearchRequest{Query: query, Limit: caller.NewOptInt(10)},
		caller.SearchParams{Customer: "haugland", Route: searchRoute})
	took := time.Since(began)
	c.mu.Lock()
	defer c.mu.Unlock()
	t.searches[outcome(err)]++
	c.judge(p, "search", daemon, outcome(err), err)
	if int64(daemon) != c.stopped.Load() {
		_ = t.slow.RecordValue(took.Microseconds())
	}
	if err != nil {
		return
	}
	if !ans.Complete {
		t.incomplete++
	}
	want := fmt.Sprintf("version %s snapshot %d", ans.Version, ans.Snapshot)
	for _, h := range ans.Hits {
		if h.Body.Or("") != want {
			c.mixed = append(c.mixed, fmt.Sprintf("%s: an answer of %s has a hit of %s", p, want, h.Body.Or("")))
		}
	}
}

func (c *callers) submit(daemon int, key string) {
	p, t := c.current()
	_, err := c.clients[daemon].Submit(context.Background(),
		&caller.SubmitRequest{Query: key, Key: caller.NewOptString(key)},
		caller.SubmitParams{Customer: "haugland", Route: submitRoute, Shard: "s0"})
	c.mu.Lock()
	defer c.mu.Unlock()
	t.submits[outcome(err)]++
	c.results[key] = outcome(err)
	c.judge(p, "submit", daemon, outcome(err), err)
}

func (c *callers) allReady(except ...int) error {
	for i := range c.ready {
		if !slices.Contains(except, i) && !c.ready[i].Load() {
			return fmt.Errorf("daemon %d is not ready", i)
		}
	}
	return nil
}

// complete returns an error unless searches through the ready daemons are complete.
func (c *callers) complete() error {
	for i := range 2 * len(c.clients) {
		if !c.ready[i%len(c.clients)].Load() {
			continue
		}
		ans, err := c.clients[i%len(c.clients)].Search(context.Background(), &caller.SearchRequest{Query: "probe"},
			caller.SearchParams{Customer: "haugland", Route: searchRoute})
		if err != nil {
			return err
		}
		if !ans.Complete {
			return fmt.Errorf("%d of %d shards: %v", ans.Coverage.Answered, ans.Coverage.Wanted, ans.Coverage.Missing)
		}
	}
	return nil
}

// answers returns an error until a phase has so many answers to searches.
func (c *callers) answers(p phase, n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if got := c.tallies[p].searches[answered]; got < n {
		return fmt.Errorf("%d of %d searches answered", got, n)
	}
	return nil
}

// fleet is the deployment of TestFaults.
type fleet struct {
	*deployment
	c         *callers
	storeProc *process
	store     string
	addrs     []addresses
	daemons   []*process
}

// healed waits until the whole deployment serves again.
func (f *fleet) healed(what string) {
	f.t.Helper()
	began := time.Now()
	f.wait(what+": every daemon is ready", func() error { return f.c.allReady() })
	f.wait(what+": every shard has one owner", func() error { return f.owned(f.addrs, ownedKeys) })
	f.wait(what+": searches are complete", f.c.complete)
	f.t.Logf("%s: healed after %.1f s", what, time.Since(began).Seconds())
}

func (f *fleet) signal(p *process, s syscall.Signal) {
	f.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		f.t.Fatalf("send %v to %s: %v", s, p.name, err)
	}
}

// end waits until a process has ended.
func (f *fleet) end(p *process) {
	f.t.Helper()
	select {
	case <-p.done:
	case <-time.After(time.Until(f.until)):
		f.t.Fatalf("%s did not end", p.name)
	}
}

func (f *fleet) kill(p *process) {
	f.t.Helper()
	f.signal(p, syscall.SIGKILL)
	f.end(p)
}

// killDaemon replaces a daemon without notice.
func (f *fleet) killDaemon(i int) {
	f.c.stopped.Store(int64(i))
	f.c.enter(phaseKill)
	f.kill(f.daemons[i])
	f.daemons[i] = f.daemon(i, f.addrs[i], f.store)
	f.wait("the killed daemon is seen as not ready or is back", func() error { return f.c.answers(phaseKill, 50) })
	f.healed("daemon killed")
}

// stopDaemon pauses a daemon for 3 s, in which the others take its shards over.
func (f *fleet) stopDaemon(i int) {
	f.c.stopped.Store(int64(i))
	f.c.enter(phaseStop)
	began := time.Now()
	f.signal(f.daemons[i], syscall.SIGSTOP)
	others := slices.Concat(f.addrs[:i], f.addrs[i+1:])
	f.wait("the other daemons own every shard", func() error { return f.owned(others, ownedKeys) })
	f.c.enter(phaseTaken)
	time.Sleep(time.Until(began.Add(3 * time.Second)))
	f.signal(f.daemons[i], syscall.SIGCONT)
	f.healed("daemon stopped")
}

// killSearchers replaces a searcher of each route without notice.
func (f *fleet) killSearchers() {
	f.c.stopped.Store(-1)
	f.c.enter(phaseSearchers)
	for _, s := range f.searchers {
		if s.id == searchRoute+"-2-0" || s.id == submitRoute+"-0-0" {
			f.kill(s.procs[len(s.procs)-1])
			f.restartSearcher(s)
		}
	}
	f.wait("searches are answered", func() error { return f.c.answers(phaseSearchers, 50) })
	f.healed("searchers killed")
}

// zoneChange changes a zone by command and checks the result code.
func (f *fleet) zoneChange(daemon int, use, zone, want string) error {
	out, err := f.command("zone", use, zone, "--output", "json", "--daemon", "http://"+f.addrs[daemon].operator)
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	var res struct{ Code string }
	if err := json.Unmarshal([]byte(out), &res); err != nil {
		return err
	}
	if res.Code != want {
		return fmt.Errorf("zone %s is answered as %q, not %q: %s", use, res.Code, want, out)
	}
	return nil
}

// executed counts the attempts at the searchers of a zone.
func (f *fleet) executed(zone string) (int, error) {
	n := 0
	for _, s := range f.searchers {
		if s.zone != zone {
			continue
		}
		st, err := stats(s)
		if err != nil {
			return 0, err
		}
		n += st.Executed
	}
	return n, nil
}

func stats(s *searcher) (*standin.SearcherStats, error) {
	res, err := http.Get("http://" + s.address + "/stats")
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	var st standin.SearcherStats
	return &st, json.NewDecoder(res.Body).Decode(&st)
}

// each returns an error unless check holds for the status of every daemon.
func (f *fleet) each(check func(*status) bool) error {
	for i, a := range f.addrs {
		s, err := f.status(a)
		if err != nil {
			return err
		}
		if !check(&s) {
			return fmt.Errorf("daemon %d: %+v", i, s)
		}
	}
	return nil
}

// stopStore pauses the store and takes a zone out meanwhile.
func (f *fleet) stopStore() {
	zone := zones[1]
	f.c.stopped.Store(-1)
	f.c.enter(phaseStore)
	f.signal(f.storeProc, syscall.SIGSTOP)
	if err := f.zoneChange(2, "out", zone, "override"); err != nil {
		f.t.Fatal(err)
	}
	f.wait("the override is in force everywhere", func() error {
		return f.each(func(s *status) bool { return slices.Contains(s.ZonesOut, zone) && len(s.Overrides) == 1 })
	})
	f.wait("the zone gets no new attempts", func() error {
		before, err := f.executed(zone)
		if err != nil {
			return err
		}
		time.Sleep(time.Second)
		after, err := f.executed(zone)
		if err == nil && after != before {
			err = fmt.Errorf("%d attempts in a second", after-before)
		}
		return err
	})
	f.wait("the daemon of the zone is not ready", func() error {
		if f.c.ready[1].Load() {
			return errors.New("ready")
		}
		return f.c.allReady(1)
	})
	f.wait("searches are complete while the zone is out", f.c.complete)
	f.signal(f.storeProc, syscall.SIGCONT)
	f.wait("the store keeps the zone out", func() error {
		return f.each(func(s *status) bool {
			return s.StoreUp && slices.Contains(s.ZonesOut, zone) && len(s.Overrides) == 0
		})
	})
	if err := f.zoneChange(3, "in", zone, "ok"); err != nil {
		f.t.Fatal(err)
	}
	f.healed("store stopped")
}

// replaceDaemons replaces each daemon gracefully.
func (f *fleet) replaceDaemons() {
	f.c.stopped.Store(-1)
	f.c.enter(phaseReplacement)
	for i, p := range f.daemons {
		f.signal(p, syscall.SIGTERM)
		f.end(p)
		if p.err != nil {
			f.t.Errorf("%s after SIGTERM: %v", p.name, p.err)
		}
		f.daemons[i] = f.daemon(i, f.addrs[i], f.store)
		f.healed(fmt.Sprintf("daemon %d replaced", i))
	}
}

// runs counts how often the searchers ran each submit, in all their processes.
func (f *fleet) runs() map[string]int {
	counts := make(map[string]int)
	for _, s := range f.searchers {
		for _, p := range s.procs {
			for line := range strings.Lines(p.output()) {
				if key, ok := strings.CutPrefix(line, "submit "); ok {
					counts[strings.TrimSpace(key)]++
				}
			}
		}
	}
	return counts
}

func (f *fleet) checkSubmits(t *testing.T) {
	counts := f.runs()
	for key, result := range f.c.results {
		n := counts[key]
		if n > 1 || n == 1 && result == notRun || n == 0 && result == answered {
			t.Errorf("%s: the caller was told %q, the searchers ran it %d times", key, result, n)
		}
	}
	if len(counts) < 50 {
		t.Errorf("only %d submits reached the searchers", len(counts))
	}
}

func (f *fleet) report() {
	f.t.Helper()
	for _, p := range []phase{phaseStart, phaseCalm, phaseKill, phaseStop, phaseTaken, phaseSearchers, phaseStore, phaseReplacement} {
		t := f.c.tallies[p]
		if t == nil {
			continue
		}
		f.t.Logf("%s: searches %v, %d incomplete, through other daemons p50 %.1f ms, p99 %.1f ms, max %.1f ms; submits %v", p, t.searches,
			t.incomplete, float64(t.slow.ValueAtQuantile(50))/1000, float64(t.slow.ValueAtQuantile(99))/1000, float64(t.slow.Max())/1000, t.submits)
	}
}

// TestFaults guards the guarantees over real processes while daemons, searchers and the store
// are killed, stopped and replaced under load: one owner per shard, whole answers of one
// snapshot, submits that run at most once, true refusals, and graceful shutdowns that cut off
// nothing.
func TestFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and starts sixteen processes for a minute")
	}
	d := &deployment{
		t: t, bin: t.TempDir(), dir: t.TempDir(), drainDelay: "1s", floor: 0.2,
		searcherFlags: []string{"--print-submits", "--snapshot-every", "2s"},
	}
	d.build()
	d.until = time.Now().Add(faultsLimit)
	f := &fleet{deployment: d}
	f.storeProc, f.store, f.addrs = d.startStore(faultDaemons)
	for i, a := range f.addrs {
		f.daemons = append(f.daemons, d.daemon(i, a, f.store))
	}
	file := d.file("haugland.jsonc", customer(d.route(searchRoute, shards), d.route(submitRoute, 1)))
	d.apply(file, f.addrs[0])
	f.c = newCallers(t, f.addrs)
	f.c.stopped.Store(-1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.c.run(ctx)
	}()
	finish := sync.OnceFunc(func() {
		cancel()
		<-done
		f.report()
	})
	defer finish()

	f.healed("start")
	f.c.enter(phaseCalm)
	f.wait("searches are answered", func() error { return f.c.answers(phaseCalm, 150) })
	f.killDaemon(0)
	f.stopDaemon(1)
	f.killSearchers()
	f.stopStore()
	f.replaceDaemons()
	finish()

	t.Run("submits run at most once", f.checkSubmits)
	t.Run("answers have one snapshot", func(t *testing.T) { none(t, f.c.mixed) })
	t.Run("no request is cut", func(t *testing.T) { none(t, f.c.cut) })
	t.Run("no search finds all shards without owner", func(t *testing.T) { none(t, f.c.low) })
	t.Run("no searcher is overrun in cold start", func(t *testing.T) {
		is := is.New(t)
		for _, s := range f.searchers {
			st, err := stats(s)
			is.NoErr(err)
			is.Equal(st.FellOver, 0)
		}
	})
}

// none fails a test with the first of the faults.
func none(t *testing.T, faults []string) {
	if n := len(faults); n > 0 {
		t.Errorf("%d faults, the first are:\n%s", n, strings.Join(faults[:min(n, 5)], "\n"))
	}
}
