package main

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["route-kind"] = routeKind }

const (
	findPath     = "/find/"
	findTop      = 5
	findShards   = 4
	findDeadline = 2 * time.Second
	findClients  = 24
	findPause    = 300 * time.Millisecond // of a client between two requests
	soloService  = "solo"
	routeRounds  = 4
	quietTime    = 60 * time.Millisecond // longer than a request takes
	freezeTime   = 700 * time.Millisecond
)

func findServices() (shards []string, services []any) {
	for i := range findShards {
		shards = append(shards, fmt.Sprintf("part-%d", i))
	}
	for _, name := range append([]string{soloService}, shards...) {
		services = append(services, Service(name, 0))
	}
	return shards, services
}

// findLoad are clients that use a route at one daemon, and what they got.
type findLoad struct {
	stop    chan struct{}
	quiet   atomic.Bool // no request is sent
	clients sync.WaitGroup

	mu                    sync.Mutex
	good, refused, broken int
}

// startFindLoad starts the clients at a daemon. Each success must be a good answer of the shards or of the
// single service.
func startFindLoad(d *Deployment, at *Daemon, shards []string) *findLoad {
	l := &findLoad{stop: make(chan struct{})}
	for i := range findClients {
		l.clients.Go(func() {
			c := &Client{Addr: at.Front}
			defer c.Close()
			for n := 0; pause(l.stop, findPause); n++ {
				if l.quiet.Load() {
					continue
				}
				id := fmt.Sprintf("c%d-%d", i, n)
				a := c.Do("GET", findPath+"q", id, "", findDeadline)
				problem := checkFind(a, shards)
				d.Record.AddAt(a.Sent, "request %s: status %d after %.3f s, signature %q, parts %q, missing %q, %d bytes %s%s", id, a.Status,
					a.Took.Seconds(), a.Header.Get("X-Server-Stamp"), strings.Join(a.Header.Values("X-Part-Stamps"), ", "),
					a.Header.Get("X-Missing-Parts"), len(a.Body), a.ErrorMsg, problem)
				l.count(a, problem)
			}
		})
	}
	return l
}

// whileQuiet changes something while the clients send nothing. Requests that were sent to a daemon that stands
// still wait there.
func (l *findLoad) whileQuiet(change func()) {
	l.quiet.Store(true)
	time.Sleep(quietTime)
	change()
	time.Sleep(quietTime)
	l.quiet.Store(false)
}

func (l *findLoad) count(a Answer, problem string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case problem != "":
		l.broken++
	case a.Status == 200:
		l.good++
	default:
		l.refused++
	}
}

// routeKind removes and adds again the route of an index while clients use it. Without it, their requests
// belong to the route of a single service. At each removal, the daemon that the clients use stands still
// for a moment.
func routeKind(d *Deployment, trouble bool) (bool, error) {
	shards, services := findServices()
	gathered := Route("find", findPath, "safe")
	gathered["gather"], gathered["top_k"], gathered["min_coverage"] = shards, findTop, 0.5
	rest := Route("rest", "/", "safe")
	rest["service"] = soloService
	version := 7
	d.Configure(version, services, gathered, rest)
	for _, name := range append([]string{soloService}, shards...) {
		if _, err := d.AddSearchers(name, 2, 2*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := d.StartDaemons(mixedMachines()...); err != nil {
		return false, err
	}
	time.Sleep(listTime)
	small := d.Daemons[2]
	load := startFindLoad(d, small, shards)
	time.Sleep(time.Second)
	for range routeRounds {
		if trouble {
			d.Record.Add("%s is stopped", small.Name)
			small.Signal(syscall.SIGSTOP)
		}
		time.Sleep(freezeTime / 2)
		version += 3
		load.whileQuiet(func() { d.Configure(version, services, rest) })
		time.Sleep(freezeTime / 2)
		if trouble {
			small.Signal(syscall.SIGCONT)
			d.Record.Add("%s goes on", small.Name)
		}
		time.Sleep(2 * time.Second)
		version += 3
		load.whileQuiet(func() { d.Configure(version, services, gathered, rest) })
		time.Sleep(2 * time.Second)
	}
	close(load.stop)
	load.clients.Wait()
	fmt.Printf("%d good answers, %d refusals, %d wrong successes\n", load.good, load.refused, load.broken)
	if load.good == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return load.broken == 0, nil
}

// checkFind returns what is wrong with a success.
func checkFind(a Answer, shards []string) string {
	if a.Status < 200 || a.Status > 299 {
		return ""
	}
	if stamp := a.Header.Get("X-Server-Stamp"); stamp != "" {
		if !strings.HasPrefix(stamp, soloService+".") || !bytes.Equal(a.Body, Part(soloService, a.ID)) {
			return " BROKEN: not the searcher's answer"
		}
		return ""
	}
	var parts [][]byte
	named := make(map[string]bool)
	for _, stamp := range strings.Split(strings.Join(a.Header.Values("X-Part-Stamps"), ","), ",") {
		service, _, _ := strings.Cut(strings.TrimSpace(stamp), ".")
		if service == "" || named[service] {
			return " BROKEN: a success without a signature, or with two of one service"
		}
		named[service] = true
		parts = append(parts, Part(service, a.ID))
	}
	missing, _ := strconv.Atoi(a.Header.Get("X-Missing-Parts"))
	if len(parts)+missing != len(shards) {
		return " BROKEN: the parts are not those of one configuration"
	}
	if !bytes.Equal(a.Body, Greatest(findTop, parts...)) {
		return " BROKEN: not the greatest records of the parts"
	}
	return ""
}
