package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	callerPort = 18104
	readyPort  = 18108
	peerPort   = 17380
	// stopGrace is the platform's time between SIGTERM and SIGKILL, as given in the settings file.
	stopGrace = 4 * time.Second
	// stableWindow is how long a VM must be free of faults before time bounds are checked on it.
	stableWindow = 4 * time.Second
	restartDelay = 300 * time.Millisecond
	// smallCores is the part of a core that the settings give to a small VM.
	smallCores = 0.25
)

// daemon is one entry VM: a process with its own loopback address and its own proxy to the store.
type daemon struct {
	name    string
	ip      string
	dir     string
	binary  string
	small   bool // has too few cores to send gathered queries, and forwards them
	store   *proxy
	log     *os.File
	stopped bool // the run has ended; the process is not restarted

	mu            sync.Mutex
	cmd           *exec.Cmd
	incarnation   int
	lastDisturbed time.Time         // last time at which a fault was active
	lastSignal    time.Time         // last signal to the process, or its start
	sigterms      map[int]time.Time // first SIGTERM of each incarnation
	exits         []processExit
}

// processExit records that a process has ended.
type processExit struct {
	at       time.Time
	expected bool // a fault or signal of the soak shortly before can explain it
}

func (d *daemon) callerAddress() string { return net.JoinHostPort(d.ip, fmt.Sprint(callerPort)) }

// writeSettings writes the daemon's platform settings file and returns its path.
func (d *daemon) writeSettings() (string, error) {
	address := func(port int) string { return net.JoinHostPort(d.ip, fmt.Sprint(port)) }
	cores := 1.0
	if d.small {
		cores = smallCores
	}
	settings := map[string]any{
		"node": d.name, "zone": "a", "ip": d.ip,
		"listen_addrs":        map[string]string{"front": address(callerPort), "ready": address(readyPort)},
		"internal_port_range": []int{peerPort, peerPort + 10},
		"limits":              map[string]any{"memory_mb": 284, "link_mbps": 100, "cpu_share": cores, "cores": 1},
		"bounds": map[string]any{
			"grace_s": stopGrace.Seconds(), "retry_ratio": retryRatio, "retry_window_s": retryWindow.Seconds(), "retry_burst": retryBurst,
			"canary_share": canaryShare, "canary_slack": canarySlack,
		},
		"platform": map[string]string{"address": d.store.address()},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return "", err
	}
	path := filepath.Join(d.dir, d.name+".json")
	return path, os.WriteFile(path, data, 0o600)
}

// start starts the process and restarts it whenever it ends, until stop.
func (d *daemon) start() error {
	path, err := d.writeSettings()
	if err != nil {
		return err
	}
	if d.log, err = os.Create(filepath.Join(d.dir, d.name+".log")); err != nil {
		return err
	}
	if err := d.spawn(path); err != nil {
		return err
	}
	go d.supervise(path)
	return nil
}

func (d *daemon) spawn(path string) error {
	cmd := exec.Command(d.binary, "platform", "--settings", path)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return errors.New("daemon not started: the run has ended")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd = cmd
	d.incarnation++
	d.lastDisturbed = time.Now()
	d.lastSignal = d.lastDisturbed
	return nil
}

func (d *daemon) supervise(path string) {
	for {
		_ = d.cmd.Wait() // the exit status is not needed: lastDisturbed tells whether the soak caused the exit
		d.mu.Lock()
		expected := time.Since(d.lastDisturbed) < stopGrace+time.Second
		d.exits = append(d.exits, processExit{at: time.Now(), expected: expected})
		over := d.stopped
		d.mu.Unlock()
		if over {
			return
		}
		time.Sleep(restartDelay)
		if err := d.spawn(path); err != nil {
			return // the run has ended, or the checks report a daemon that does not answer
		}
	}
}

// signal sends a signal to the current process.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastDisturbed = time.Now()
	d.lastSignal = d.lastDisturbed
	if _, ok := d.sigterms[d.incarnation]; !ok && sig == syscall.SIGTERM {
		d.sigterms[d.incarnation] = time.Now()
	}
	_ = d.cmd.Process.Signal(sig) // fails only if the process has ended; supervise restarts it
}

// markDisturbed records that a fault is active now.
func (d *daemon) markDisturbed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastDisturbed = time.Now()
}

// undisturbed reports whether no fault was active in the stableWindow before at.
func (d *daemon) undisturbed(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return at.Sub(d.lastDisturbed) >= stableWindow
}

// unsignalled reports whether the process has not been started, paused, woken or stopped in the
// stableWindow before at. Unlike undisturbed it does not excuse what a fault of the store explains.
func (d *daemon) unsignalled(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return at.Sub(d.lastSignal) >= stableWindow
}

func (d *daemon) currentIncarnation() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.incarnation
}

// stop kills the process without a restart.
func (d *daemon) stop() {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	d.store.close()
}
