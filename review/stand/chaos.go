package main

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["chaos"] = runChaos }

const (
	chaosTime    = 60 * time.Second // unless CHAOS_SECONDS says otherwise
	chaosClients = 30
	chaosSettle  = 4 * time.Second // after the last fault; longer than a deadline
	bodyRepeats  = 3000
)

// chaosRequest is a request of a client and its answer.
type chaosRequest struct {
	method, uri, body string
	answer            Answer
}

func (r *chaosRequest) once() bool { return r.method != "GET" }

// chaos is a deployment of machines of two sizes under random faults.
type chaos struct {
	d         *Deployment
	machines  []Machine
	proxies   []*Proxy
	searchers []*RawSearcher
	services  []any
	version   int

	mu   sync.Mutex // guards d.Daemons and sent
	sent map[string]*chaosRequest
}

// runChaos stops, kills, freezes and cuts daemons, crashes and spoils searchers and changes the configuration,
// at random. No request may be answered wrongly, run changed or unasked, run twice if it may not, or run though
// its answer promises that it has not.
func runChaos(d *Deployment, _ bool) (bool, error) {
	c := &chaos{d: d, version: 3, sent: make(map[string]*chaosRequest)}
	if err := c.start(); err != nil {
		return false, err
	}
	time.Sleep(listTime)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range chaosClients {
		clients.Go(func() { c.runClient(i, stop) })
	}
	length := chaosTime
	if s, err := strconv.Atoi(os.Getenv("CHAOS_SECONDS")); err == nil {
		length = time.Duration(s) * time.Second
	}
	err := c.injectFaults(length)
	close(stop)
	clients.Wait()
	time.Sleep(chaosSettle)
	broken, ran := c.check()
	fmt.Printf("%d requests, %d arrivals, %d broken\n", len(c.sent), ran, broken)
	return broken == 0, err
}

func (c *chaos) start() error {
	names := []string{soloService, "write", fileService}
	for _, index := range []string{"old", "new"} {
		names = append(names, indexShards(index)...)
	}
	for _, name := range names {
		c.services = append(c.services, Service(name, 0))
	}
	c.configure()
	for _, name := range names {
		for i := range 2 {
			s, err := NewRawSearcher(c.d.Store, c.d.IP(), fmt.Sprintf("i-%s-%d", name, i), name)
			if err != nil {
				return err
			}
			c.searchers = append(c.searchers, s)
		}
	}
	for i, share := range []float64{0.8, 0.8, 0.3, 0.8, 0.3} {
		p, err := c.d.AddProxy()
		if err != nil {
			return err
		}
		c.proxies = append(c.proxies, p)
		c.machines = append(c.machines, Machine{Name: fmt.Sprintf("front-%c-1", 'a'+i), IP: c.d.IP(), Zone: "zone-a", CPUShare: share, StoreAddr: p.Addr()})
	}
	return c.d.StartDaemons(c.machines...)
}

func indexShards(index string) []string {
	shards := make([]string, findShards)
	for i := range shards {
		shards[i] = fmt.Sprintf("%s-%d", index, i)
	}
	return shards
}

// configure writes another configuration: the route of the index may be there, with one of two sets of shards.
func (c *chaos) configure() {
	c.version += 1 + rand.IntN(3)
	rest := Route("rest", "/", "safe")
	rest["service"] = soloService
	write := Route("write", "/w/", "unsafe")
	write["traffic_split"] = []any{map[string]any{"service": "write", "weight": 3}, map[string]any{"service": fileService, "weight": 1}}
	write["max_attempts"] = 1 + rand.IntN(3)
	write["timeout_ms"] = 1000 + rand.IntN(2000)
	routes := []any{rest, write}
	if rand.IntN(4) > 0 {
		find := Route("find", findPath, "safe")
		find["gather"], find["top_k"], find["min_coverage"] = indexShards([]string{"old", "new"}[rand.IntN(2)]), findTop, 0.5
		routes = append(routes, find)
	}
	c.d.Configure(c.version, c.services, routes...)
}

func (c *chaos) runClient(number int, stop <-chan struct{}) {
	client := &Client{}
	defer client.Close()
	for n := 0; pause(stop, time.Duration(rand.IntN(40))*time.Millisecond); n++ {
		id := fmt.Sprintf("c%d-%d", number, n)
		r := &chaosRequest{method: "GET", uri: findPath + "q?n=" + id}
		switch rand.IntN(12) {
		case 0, 1, 2:
			r.method, r.uri, r.body = "POST", "/w/"+id, "body "+id
		case 3, 4, 5:
			r.method, r.uri = "POST", "/w/"+id
		case 6:
			r.method, r.uri, r.body = "PUT", "/w/"+id, strings.Repeat(id, bodyRepeats)
		}
		c.mu.Lock()
		c.sent[id] = r
		addr := c.d.Daemons[number%len(c.machines)].Front
		c.mu.Unlock()
		if addr != client.Addr {
			client.Close()
			client.Addr = addr
		}
		deadline := findDeadline
		if rand.IntN(10) == 0 {
			deadline = time.Duration(30+rand.IntN(300)) * time.Millisecond // the client leaves early
		}
		a := client.Do(r.method, r.uri, id, r.body, deadline)
		c.mu.Lock()
		r.answer = a
		c.mu.Unlock()
	}
}

// injectFaults injects faults for a time and waits until all have ended.
func (c *chaos) injectFaults(length time.Duration) error {
	var running sync.WaitGroup
	defer running.Wait()
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(100+rand.IntN(900)) * time.Millisecond)
		hold := time.Duration(100+rand.IntN(2500)) * time.Millisecond
		i := rand.IntN(len(c.machines))
		daemon := c.d.Daemons[i] // only this goroutine replaces them
		s := c.searchers[rand.IntN(len(c.searchers))]
		switch rand.IntN(12) {
		case 0, 1:
			c.d.Record.Add("%s stands still for %s", daemon.Name, hold)
			daemon.Signal(syscall.SIGSTOP)
			running.Go(func() { time.Sleep(hold); daemon.Signal(syscall.SIGCONT) })
		case 2:
			if err := c.restart(i, syscall.SIGTERM); err != nil {
				return err
			}
		case 3:
			if err := c.restart(i, syscall.SIGKILL); err != nil {
				return err
			}
		case 4:
			c.d.Record.Add("%s is cut off from the store for %s", daemon.Name, hold)
			c.proxies[i].SetCut(true)
			running.Go(func() { time.Sleep(hold); c.proxies[i].SetCut(false) })
		case 5, 6, 7:
			c.configure()
		case 8:
			c.d.Record.Add("%s crashes for %s", s.ID, hold)
			s.Crash()
			running.Go(func() { time.Sleep(hold); s.Restart() })
		default:
			c.d.Record.Add("%s is faulty for %s", s.ID, hold)
			s.SetFaults(0.5, time.Duration(3+rand.IntN(60))*time.Millisecond)
			running.Go(func() { time.Sleep(hold); s.SetFaults(0, rawWork) })
		}
	}
	return nil
}

// restart ends a daemon with a signal and starts it again.
func (c *chaos) restart(i int, sig syscall.Signal) error {
	old := c.d.Daemons[i]
	c.d.Record.Add("%s gets %s", old.Name, sig)
	old.Signal(sig)
	_ = old.cmd.Wait() // a daemon that was killed returns an error
	daemon, err := StartDaemon(c.machines[i], c.d.dir)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.d.Daemons[i] = daemon
	return nil
}

// check returns the number of broken promises and of the requests that ran.
func (c *chaos) check() (broken, ran int) {
	problem := func(format string, args ...any) {
		broken++
		c.d.Record.Add("BROKEN "+format, args...)
	}
	runs := make(map[string]int)
	for _, s := range c.searchers {
		for _, a := range s.Close() {
			ran++
			runs[a.ID]++
			if r := c.sent[a.ID]; r == nil || r.method != a.Method || r.uri != a.URI || r.body != a.Body {
				problem("request %s ran at %s and was not sent like that", a.ID, s.ID)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.sent)) {
		r := c.sent[id]
		status := r.answer.Status
		if r.once() && runs[id] > 1 {
			problem("request %s ran %d times", id, runs[id])
		}
		if r.once() && runs[id] > 0 && slices.Contains([]int{408, 421, 429, 503}, status) {
			problem("request %s ran and was answered with %d", id, status)
		}
		if status >= 400 && status < 500 {
			problem("request %s was answered with %d", id, status)
		}
		if p := checkChaosAnswer(r.answer); p != "" {
			problem("request %s at %s:%s", id, r.answer.Sent.Sub(c.d.Record.start), p)
		}
	}
	return broken, ran
}

// checkChaosAnswer returns what is wrong with a success.
func checkChaosAnswer(a Answer) string {
	if a.Status < 200 || a.Status > 299 {
		return ""
	}
	if stamp := a.Header.Get("X-Server-Stamp"); stamp != "" {
		service, _, _ := strings.Cut(stamp, ".")
		if !bytes.Equal(a.Body, Part(service, a.ID)) {
			return " not the searcher's answer"
		}
		return ""
	}
	index := "old"
	if strings.Contains(strings.Join(a.Header.Values("X-Part-Stamps"), ","), "new-") {
		index = "new"
	}
	return checkFind(a, indexShards(index))
}
