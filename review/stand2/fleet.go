package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment: daemons as processes, one on each loopback address, and the stand-ins of the
// store and the searchers. Each daemon reaches the store through a proxy of its own.
type fleet struct {
	record *record
	folder string
	store  *store
	ports  ports
	vms    []*vm
}

// vm is an entry VM and its daemon.
type vm struct {
	name, ip string
	proxy    *proxy
	process  *exec.Cmd
	settings string
}

const (
	heartbeatMS = 1200
	zones       = 3
)

// ports are the ports of all VMs, each on an address of its own.
type ports struct{ front, ready, control, peer int }

// at returns the address of a port of the VM.
func (v *vm) at(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

// freePorts returns ports that are free at an address.
func freePorts(ip string) (ports, error) {
	var free [4]int
	for i := range free {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return ports{}, err
		}
		defer func() { _ = listener.Close() }()
		free[i] = listener.Addr().(*net.TCPAddr).Port
	}
	return ports{free[0], free[1], free[2], free[3]}, nil
}

func zoneOf(i int) string { return "zone-" + string(rune('a'+i%zones)) }

// equalCores are the processor shares of n VMs of one size.
func equalCores(n int) []float64 {
	cores := make([]float64, n)
	for i := range cores {
		cores[i] = 0.4
	}
	return cores
}

// startFleet starts a store and a daemon for each entry of cores, the processor shares of the VMs, and waits
// until all are ready.
func startFleet(r *record, cores []float64, config map[string]any, prepare func(*store) error) (*fleet, error) {
	f := &fleet{record: r}
	var err error
	if f.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if f.store, err = newStore(); err != nil {
		return f, err
	}
	f.store.put("config", "main", config)
	if err := prepare(f.store); err != nil {
		return f, err
	}
	// An address block of its own keeps runs on the same machine apart.
	block := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
	if f.ports, err = freePorts(block + "10"); err != nil {
		return f, err
	}
	for i, share := range cores {
		v := &vm{name: fmt.Sprintf("front-%s-%d", zoneOf(i), i/zones+1), ip: fmt.Sprintf("%s%d", block, 10+i)}
		if v.proxy, err = newProxy(f.store.address()); err != nil {
			return f, err
		}
		if err := f.writeSettings(v, zoneOf(i), share); err != nil {
			return f, err
		}
		f.vms = append(f.vms, v)
		if err := f.startVM(v); err != nil {
			return f, err
		}
	}
	return f, f.waitReady()
}

func (f *fleet) writeSettings(v *vm, zone string, cores float64) error {
	regions := make(map[string]string)
	for i := range zones {
		regions[zoneOf(i)] = "region"
	}
	data, err := json.Marshal(map[string]any{
		"node": v.name, "role": "entry", "machine_class": "front", "serves": []string{"front"}, "ip": v.ip, "zone": zone,
		"region": "region", "zones": regions,
		"listen_addrs": map[string]string{
			"front": v.at(f.ports.front), "ready": v.at(f.ports.ready), "control": v.at(f.ports.control),
		},
		"internal_port_range": []int{f.ports.peer, f.ports.peer}, "seeds": []string{}, "bootstrap": true, "fault_counted": false,
		"limits":   map[string]any{"cpu_share": cores, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeatMS,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "rollout", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds":          bounds,
		"platform": map[string]any{
			"address": v.proxy.address(), "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "retention_s": 20,
			"value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	})
	if err != nil {
		return err
	}
	v.settings = filepath.Join(f.folder, v.name+".json")
	return os.WriteFile(v.settings, data, 0o600)
}

// bounds are those of the small deployments.
var bounds = map[string]any{
	"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6,
	"loss_slack_ms": 200, "config_ms": 3000, "rollback_slack_ms": 250, "skew_max_ms": 12000, "retry_ratio": 0.2, "retry_window_s": 10,
	"retry_burst": 52, "canary_share": 0.1, "canary_slack": 50, "rollback_ms": 5000, "warmup_factor": 1.5, "warmup_slack": 5,
	"evacuate_ms": 5000, "recovery_s": 12,
}

// startVM starts the daemon of a VM with the command of the deploy file.
func (f *fleet) startVM(v *vm) error {
	log, err := os.Create(filepath.Join(f.folder, v.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	v.process = exec.Command(daemonPath, "platform")
	v.process.Env = append(os.Environ(), "GOOSEBERRYLOCK_CONFIG="+v.settings)
	v.process.Stdout, v.process.Stderr = log, log
	v.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return v.process.Start()
}

const readyTimeout = 15 * time.Second

func (f *fleet) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(readyTimeout)
	for _, v := range f.vms {
		for {
			resp, err := client.Get("http://" + v.at(f.ports.ready) + "/api/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return errors.New(v.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record.write("%d VMs are ready", len(f.vms))
	return nil
}

// kill ends the daemon of a VM for good, as if the machine were lost. Clients no longer reach it.
func (f *fleet) kill(v *vm) error {
	if err := v.process.Process.Kill(); err != nil {
		return err
	}
	_ = v.process.Wait() // it says that the process was killed
	v.process = nil
	return nil
}

// stop ends all processes and removes their files.
func (f *fleet) stop() {
	for _, v := range f.vms {
		if v.process != nil && v.process.Process != nil {
			_ = v.process.Process.Kill()
			_ = v.process.Wait()
		}
	}
	if dir := os.Getenv("KEEP_LOGS"); dir == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs are in", f.folder)
	}
}

// caller sends requests to the VMs in turn, each over kept connections.
type caller struct {
	fleet   *fleet
	host    string
	clients []*http.Client // by VM

	mu       sync.Mutex
	last     int
	requests map[string]*request
	lost     map[*vm]bool // VMs to which no client is sent any more
	waiting  sync.WaitGroup
}

// request is one attempt of a client.
type request struct {
	id, path string
	vm       *vm
	sent     time.Time
	ended    time.Time
	status   int // 0 if the connection ended without an answer
}

// callers are all callers.
var callers []*caller

func newCaller(f *fleet, host string) *caller {
	c := &caller{fleet: f, host: host, requests: make(map[string]*request), lost: make(map[*vm]bool)}
	for range f.vms {
		c.clients = append(c.clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}})
	}
	callers = append(callers, c)
	return c
}

// start sends requests for a path at a rate until stop is closed.
func (c *caller) start(path string, perSecond float64, deadlineMS int, stop <-chan struct{}) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	go func() {
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				c.waiting.Add(1)
				go c.send(path, deadlineMS)
			case <-stop:
				return
			}
		}
	}()
}

func (c *caller) send(path string, deadlineMS int) {
	defer c.waiting.Done()
	c.mu.Lock()
	c.last++
	n := c.last
	i := rand.IntN(len(c.fleet.vms))
	for c.lost[c.fleet.vms[i]] {
		i = rand.IntN(len(c.fleet.vms))
	}
	q := &request{id: fmt.Sprintf("%016x", n), path: path, vm: c.fleet.vms[i], sent: time.Now()}
	c.requests[q.id] = q
	c.mu.Unlock()
	r, err := http.NewRequest(http.MethodGet, "http://"+q.vm.at(c.fleet.ports.front)+path, nil)
	if err != nil {
		return
	}
	r.Host = c.host
	r.Header.Set("X-Request-Id", q.id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadlineMS))
	status := 0
	if resp, err := c.clients[i].Do(r); err == nil {
		if _, err := io.Copy(io.Discard, resp.Body); err == nil {
			status = resp.StatusCode
		}
		_ = resp.Body.Close()
	}
	c.mu.Lock()
	q.status, q.ended = status, time.Now()
	c.mu.Unlock()
}

// avoid sends no more requests to a VM.
func (c *caller) avoid(v *vm) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost[v] = true
}

// requestOf returns a copy of the request with an ID.
func (c *caller) requestOf(id string) (request, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.requests[id]
	if !ok {
		return request{}, false
	}
	return *q, true
}

// statuses counts the requests for a path, sent since a time, by the status of the answer.
func (c *caller) statuses(path string, since time.Time) map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[int]int)
	for _, q := range c.requests {
		if q.path == path && !q.ended.IsZero() && !q.sent.Before(since) {
			counts[q.status]++
		}
	}
	return counts
}
