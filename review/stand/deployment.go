package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

const (
	warmupFactor = 1.5
	warmupSlack  = 5
	maxBodyBytes = 262144
)

// Record is the list of what was sent, answered and run.
type Record struct {
	out   io.Writer
	start time.Time

	mu sync.Mutex
}

// Add writes a line with the time since the start.
func (r *Record) Add(format string, args ...any) { r.AddAt(time.Now(), format, args...) }

// AddAt writes a line with a given time.
func (r *Record) AddAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Deployment is a store with daemons and searchers.
type Deployment struct {
	Record    *Record
	Store     *Store
	Daemons   []*Daemon
	Searchers []*Searcher

	dir     string
	network string // first two numbers of the addresses
	nextIP  int
	proxies []*Proxy
}

// NewDeployment starts a store. Temporary files are put into dir.
func NewDeployment(dir string, record *Record) (*Deployment, error) {
	pid := os.Getpid()
	d := &Deployment{Record: record, dir: dir, network: fmt.Sprintf("127.%d.%d", 1+pid>>8&0x7f, pid&0xff)}
	var err error
	d.Store, err = NewStore(d.IP())
	return d, err
}

// IP returns a loopback address that was not used yet.
func (d *Deployment) IP() string {
	d.nextIP++
	return fmt.Sprintf("%s.%d", d.network, d.nextIP)
}

// Close ends all processes and stand-ins.
func (d *Deployment) Close() {
	for _, daemon := range d.Daemons {
		daemon.Kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, daemon := range d.Daemons {
			if data, err := os.ReadFile(daemon.out.Name()); err == nil {
				_ = os.WriteFile(keep+"/"+daemon.Name+".log", data, 0o600)
			}
		}
	}
	for _, s := range d.Searchers {
		s.Close()
	}
	for _, p := range d.proxies {
		p.Close()
	}
	d.Store.Close()
}

// AddSearchers starts n searchers of a service.
func (d *Deployment) AddSearchers(service string, n int, work time.Duration) ([]*Searcher, error) {
	var added []*Searcher
	for range n {
		s, err := NewSearcher(d.Store, d.IP(), fmt.Sprintf("i-%s-%d", service, len(d.Searchers)), service, work)
		if err != nil {
			return nil, err
		}
		d.Searchers = append(d.Searchers, s)
		added = append(added, s)
	}
	return added, nil
}

// AddProxy starts a proxy between a machine and the store.
func (d *Deployment) AddProxy() (*Proxy, error) {
	p, err := NewProxy(d.IP(), d.Store.addr)
	if err == nil {
		d.proxies = append(d.proxies, p)
	}
	return p, err
}

// StartDaemons starts a daemon on each machine and waits until all are ready.
func (d *Deployment) StartDaemons(machines ...Machine) error {
	for _, m := range machines {
		if m.IP == "" {
			m.IP = d.IP()
		}
		if m.StoreAddr == "" {
			m.StoreAddr = d.Store.addr
		}
		daemon, err := StartDaemon(m, d.dir)
		if err != nil {
			return err
		}
		d.Daemons = append(d.Daemons, daemon)
	}
	for _, daemon := range d.Daemons {
		if err := daemon.WaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// Service is the configuration of a service.
func Service(name string, coldPerSecond float64) map[string]any {
	return map[string]any{
		"name": name, "max_conns": searcherConns, "health_path": healthPath, "warmup_s": 8, "cold_per_s": coldPerSecond,
	}
}

// Route is a route of the given type. Its service or its shards are still to be set.
func Route(name, prefix, kind string) map[string]any {
	return map[string]any{
		"name": name, "hostname": clientHost, "path_prefix": prefix, "type": kind, "timeout_ms": 2000,
		"target_latency_ms": 200, "priority": 1, "max_attempts": 2,
	}
}

// Configure writes a configuration and returns the time of its acknowledgement.
func (d *Deployment) Configure(version int, services []any, routes ...any) time.Time {
	at, _ := d.Store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 5000, "idle_timeout_ms": 30000,
		},
	})
	d.Record.AddAt(at, "configuration %d is acknowledged", version)
	return at
}

// listTime is how long after their start the daemons have certainly learnt of each other.
const listTime = 2 * time.Second

// mixedMachines are three machines, the last of which is too small to send gathered requests by itself.
func mixedMachines() []Machine {
	return []Machine{
		{Name: "front-a-1", Zone: "zone-a", CPUShare: 0.8},
		{Name: "front-b-1", Zone: "zone-b", CPUShare: 0.8},
		{Name: "front-a-2", Zone: "zone-a", CPUShare: 0.3},
	}
}

// equalMachines are three machines of the same size.
func equalMachines() []Machine {
	return []Machine{
		{Name: "front-a-1", Zone: "zone-a", CPUShare: 0.4},
		{Name: "front-b-1", Zone: "zone-b", CPUShare: 0.4},
		{Name: "front-b-2", Zone: "zone-b", CPUShare: 0.4},
	}
}

// pause waits, and reports false once stop is closed.
func pause(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}
