package main

import (
	"encoding/json"
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
	heartbeat    = 1200 * time.Millisecond
	metricsPort  = "9464"
	reservedPort = "9465"
	startTimeout = 10 * time.Second
)

// daemon is one entry VM of the system: a process started by the command of the deploy file.
type daemon struct {
	name, zone, ip string
	front, ready   string
	dir            string
	cmd            *exec.Cmd
	rec            *recorder
}

// freeIP returns a loopback address at which the metrics port is free. It keeps a port next to that one open, so
// that another run of the stand-ins takes another address.
func freeIP() string {
	for range 500 {
		nextIP++
		ip := fmt.Sprintf("127.%d.%d.%d", 30+os.Getpid()%200, nextIP/200, 1+nextIP%200)
		reserved, err := net.Listen("tcp", net.JoinHostPort(ip, reservedPort))
		if err != nil {
			continue
		}
		if lis, err := net.Listen("tcp", net.JoinHostPort(ip, metricsPort)); err == nil {
			_ = lis.Close()
			cleanup = append(cleanup, func() { _ = reserved.Close() })
			return ip
		}
		_ = reserved.Close()
	}
	fail("no loopback address has a free metrics port")
	return ""
}

var nextIP int

// freePort returns a port that is free at an address.
func freePort(ip string) int {
	lis := must(net.Listen("tcp", net.JoinHostPort(ip, "0")))
	defer func() { _ = lis.Close() }()
	return lis.Addr().(*net.TCPAddr).Port
}

func newDaemon(rec *recorder, dir, name, zone string, zones []string, st *store) *daemon {
	d := &daemon{name: name, zone: zone, ip: freeIP(), dir: dir, rec: rec}
	d.front = fmt.Sprintf("%s:%d", d.ip, freePort(d.ip))
	d.ready = fmt.Sprintf("%s:%d", d.ip, freePort(d.ip))
	peer := freePort(d.ip)
	regions := make(map[string]string)
	for _, z := range zones {
		regions[z] = "region"
	}
	settings := map[string]any{
		"node": name, "role": "entry", "machine_class": "front", "serves": []string{"front"}, "ip": d.ip, "zone": zone,
		"region": "region", "zones": regions, "listen_addrs": map[string]string{"front": d.front, "ready": d.ready},
		"internal_port_range": []int{peer, peer}, "seeds": []string{}, "bootstrap": true, "fault_counted": false,
		"limits":    map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "rollout", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]float64{
			"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000,
			"grace_s": 6, "loss_slack_ms": 200, "config_ms": 3000, "rollback_slack_ms": 250, "skew_max_ms": 12000,
			"retry_ratio": 0.2, "retry_window_s": 10, "retry_burst": 52, "canary_share": 0.1, "canary_slack": 50,
			"rollback_ms": 5000, "warmup_factor": 1.5, "warmup_slack": 5, "evacuate_ms": 5000, "recovery_s": 12,
		},
		"platform": map[string]any{"address": st.address, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000,
			"retention_s": 20, "value_bytes": 1 << 20, "ttl_min_ms": 1000},
	}
	check(os.WriteFile(d.settingsPath(), must(json.Marshal(settings)), 0o600))
	return d
}

func (d *daemon) settingsPath() string { return filepath.Join(d.dir, d.name+".json") }

// start starts the process with the command of the deploy file, in the root of the repository.
func (d *daemon) start() {
	log := must(os.OpenFile(filepath.Join(d.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600))
	d.cmd = exec.Command("target/gooseberrylockd", "platform")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOOSEBERRYLOCK_CONFIG=" + d.settingsPath()}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(d.cmd.Start())
	d.rec.line("%s starts at %s", d.name, d.front)
}

// isReady asks the daemon as the platform does.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *daemon) waitReady() {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.isReady() {
			d.rec.line("%s is ready", d.name)
			return
		}
	}
	fail(d.name + " does not become ready")
}

func (d *daemon) kill() {
	if d.cmd != nil && d.cmd.Process != nil {
		_ = d.cmd.Process.Kill()
		_ = d.cmd.Wait()
		d.cmd = nil
	}
}
