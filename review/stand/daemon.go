package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	daemonProgram = "target/gooseberrylockd" // the run line of the deploy file, with the argument platform
	readyPath     = "/api/readyz"
	startTimeout  = 20 * time.Second
	stopGrace     = 6 * time.Second
)

// Machine describes an entry VM.
type Machine struct {
	Name      string
	IP        string
	Zone      string
	CPUShare  float64
	StoreAddr string // of the store, or of a proxy before it
}

// Daemon is a running daemon on a machine.
type Daemon struct {
	Machine
	Front string // address for clients
	Ready string

	dir string
	cmd *exec.Cmd
	out *os.File
}

// freeAddress returns a free address of ip.
func freeAddress(ip string) (string, error) {
	lis, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String(), nil
}

// StartDaemon starts a daemon with its settings and output in dir. machines are all of the deployment.
func StartDaemon(m Machine, dir string) (*Daemon, error) {
	d := &Daemon{Machine: m, dir: dir}
	var err error
	if d.Front, err = freeAddress(m.IP); err != nil {
		return nil, err
	}
	if d.Ready, err = freeAddress(m.IP); err != nil {
		return nil, err
	}
	peer, err := freeAddress(m.IP)
	if err != nil {
		return nil, err
	}
	_, peerPort, _ := net.SplitHostPort(peer) // it comes from a listener
	port := 0
	if _, err := fmt.Sscan(peerPort, &port); err != nil {
		return nil, err
	}
	settings := map[string]any{
		"node": m.Name, "role": "entry", "machine_class": "front", "serves": []string{"front"}, "ip": m.IP,
		"zone": m.Zone, "region": "region-a", "zones": map[string]string{"zone-a": "region-a", "zone-b": "region-a"},
		"listen_addrs":        map[string]string{"front": d.Front, "ready": d.Ready},
		"internal_port_range": []int{port, port + 15}, "seeds": []string{}, "bootstrap": true,
		"limits": map[string]any{
			"cpu_share": m.CPUShare, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0,
		},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "rollout", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 4000, "ack_ms": 5000, "catch_up_s": 4,
			"drain_ms": 3000, "grace_s": stopGrace.Seconds(), "loss_slack_ms": 200, "config_ms": 3000, "rollback_slack_ms": 250,
			"skew_max_ms": 12000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_burst": 52, "canary_share": 0.1,
			"canary_slack": 50, "rollback_ms": 5000, "warmup_factor": warmupFactor, "warmup_slack": warmupSlack,
			"evacuate_ms": 5000, "recovery_s": 12,
		},
		"platform": map[string]any{
			"address": m.StoreAddr, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "retention_s": 20,
			"value_bytes": 1 << 20, "ttl_min_ms": 1000,
		},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, m.Name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	if d.out, err = os.Create(filepath.Join(dir, m.Name+".log")); err != nil {
		return nil, err
	}
	d.cmd = exec.Command(daemonProgram, "platform")
	d.cmd.Env = append(os.Environ(), "GOOSEBERRYLOCK_CONFIG="+file)
	d.cmd.Stdout, d.cmd.Stderr = d.out, d.out
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return d, d.cmd.Start()
}

// Signal sends a signal to the daemon.
func (d *Daemon) Signal(sig syscall.Signal) { _ = d.cmd.Process.Signal(sig) } // an error means that it has ended

// Kill ends the daemon and waits for its end.
func (d *Daemon) Kill() {
	_ = d.cmd.Process.Kill() // an error means that it has ended
	_ = d.cmd.Wait()         // returns an error for a killed process
	_ = d.out.Close()
}

// WaitReady waits until the daemon says that it is ready.
func (d *Daemon) WaitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + d.Ready + readyPath)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("daemon " + d.Name + " is not ready in time")
}
