package hostile

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gooseberrylock/gooseberrylock/internal/testaddr"
	"github.com/gooseberrylock/gooseberrylock/platform/platformtest"
	"github.com/gooseberrylock/gooseberrylock/platform/wire"
)

const (
	// waitTimeout bounds every wait for a condition. The tests assert no durations.
	waitTimeout = 60 * time.Second
	// sampleInterval is the time between two samples of what the daemon holds.
	sampleInterval = 20 * time.Millisecond
	// Limits on callers in the configuration, in bytes, as on the users' deployments.
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 256 << 10
	// unsafePath and safePath belong to a route with requests that are not idempotent, and to one with
	// idempotent requests.
	unsafePath = "/w/q"
	safePath   = "/r/q"
	// silentPath is a path of the route with requests that are not idempotent at which the backend server does
	// not answer.
	silentPath = "/w/silent"
	// longPath is a path of the route with idempotent requests at which the backend server sends an answer of
	// longAnswerBytes.
	longPath        = "/r/long"
	longAnswerBytes = 2 << 20
)

// limits are what a VM grants to its daemon.
type limits struct {
	memoryMB    int
	descriptors int
}

// reservedDescriptors is the number of a VM's descriptors that are not for sockets and pipes.
const reservedDescriptors = 200

// vm is a daemon process on loopback with its stand-ins.
type vm struct {
	t       *testing.T
	limits  limits
	server  *platformtest.Server
	caller  string // address for callers
	pid     int
	exited  chan struct{}
	stopped chan struct{} // closed to end the sampling
	wg      sync.WaitGroup

	mu   sync.Mutex
	peak usage
}

// usage is what a process holds.
type usage struct {
	resident    int64 // bytes
	unread      int64 // bytes that its connections with callers have received and it has not read
	memory      int64 // resident and unread bytes at the same moment
	descriptors int
}

// buildDaemon compiles the daemon and returns its path.
func buildDaemon(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		"github.com/gooseberrylock/gooseberrylock/cmd/gooseberrylockd")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return filepath.Join(dir, "gooseberrylockd")
}

func address(t *testing.T) string {
	t.Helper()
	a, err := testaddr.Free()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// startVM starts the daemon with one backend server and waits until it serves.
func startVM(t *testing.T, daemon string, l limits) *vm {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	server, err := platformtest.NewServer("i-0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	server.Script(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case silentPath:
			<-r.Context().Done()
		case longPath:
			platformtest.Answer(w, r, "stamp-i-0", strings.Repeat("x", longAnswerBytes))
		default:
			platformtest.Answer(w, r, "stamp-i-0", platformtest.Record)
		}
	})
	store.Put(wire.KindReplicas, "i-0", platformtest.ServerSpec("files", server.Address(), wire.StateReady))
	spec := platformtest.ConfigSpec(1,
		platformtest.RouteSpec("read", "/r/", "safe", "files"),
		platformtest.RouteSpec("write", "/w/", "unsafe", "files"))
	spec["limits"] = map[string]any{
		"max_header_bytes": maxHeaderBytes, "max_body_bytes": maxBodyBytes,
		"header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}
	store.Put(wire.KindConfig, wire.MainConfig, spec)

	v := &vm{t: t, limits: l, server: server, caller: address(t), exited: make(chan struct{}), stopped: make(chan struct{})}
	v.start(daemon, v.writeSettings(store.Address()))
	v.waitFor("the daemon serves", func() bool { return v.ordinaryRequest(http.MethodGet, safePath, "start", nil) == http.StatusOK })
	v.wg.Go(v.sample)
	t.Cleanup(v.endSampling)
	return v
}

func (v *vm) writeSettings(store string) string {
	v.t.Helper()
	host, peerPort, err := net.SplitHostPort(address(v.t))
	if err != nil {
		v.t.Fatal(err)
	}
	port, err := strconv.Atoi(peerPort)
	if err != nil {
		v.t.Fatal(err)
	}
	data, err := json.Marshal(map[string]any{
		"node": "vm1", "zone": "a", "ip": host,
		"listen_addrs":        map[string]any{"front": v.caller, "ready": address(v.t)},
		"internal_port_range": []int{port, port},
		"limits": map[string]any{
			"memory_mb": v.limits.memoryMB, "max_fds": v.limits.descriptors, "link_mbps": 1000, "cpu_share": 0.4, "cores": 1,
		},
		"bounds":   map[string]any{"grace_s": 6, "retry_ratio": 0.2, "retry_window_s": 10, "retry_burst": 52},
		"platform": map[string]any{"address": store},
	})
	if err != nil {
		v.t.Fatal(err)
	}
	path := filepath.Join(v.t.TempDir(), "node.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		v.t.Fatal(err)
	}
	return path
}

// start starts the process with the VM's limit on descriptors.
func (v *vm) start(daemon, settings string) {
	v.t.Helper()
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" platform --settings "$1"`, v.limits.descriptors)
	cmd := exec.Command("sh", "-c", script, daemon, settings)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		v.t.Fatal(err)
	}
	v.pid = cmd.Process.Pid
	go func() {
		_ = cmd.Wait() // the tests check that the process lives; it is killed at the end
		close(v.exited)
	}()
	v.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-v.exited
		if v.t.Failed() {
			const shown = 4 << 10
			v.t.Logf("the daemon printed at the end:\n%s", out.Bytes()[max(out.Len()-shown, 0):])
		}
	})
}

func (v *vm) waitFor(what string, done func() bool) {
	v.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !done() {
		if time.Now().After(deadline) {
			v.t.Fatalf("not reached in %v: %s", waitTimeout, what)
		}
		time.Sleep(sampleInterval)
	}
}

func (v *vm) lives() bool {
	select {
	case <-v.exited:
		return false
	default:
		return true
	}
}

// ordinaryRequest sends a request on a new connection and returns its status, or 0 if it got no answer.
func (v *vm) ordinaryRequest(method, path, id string, body []byte) int {
	req, err := http.NewRequest(method, "http://"+v.caller+path, bytes.NewReader(body))
	if err != nil {
		v.t.Error(err)
		return 0
	}
	req.Host = platformtest.Host
	req.Close = true
	req.Header.Set(wire.RequestID, id)
	req.Header.Set(wire.Deadline, "2000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// sample records the peak of what the process holds until endSampling is called.
func (v *vm) sample() {
	for {
		resident, unread := v.statusBytes("VmRSS"), unreadBytes(v.t, v.caller)
		descriptors := v.openDescriptors()
		v.mu.Lock()
		v.peak.unread = max(v.peak.unread, unread)
		v.peak.memory = max(v.peak.memory, resident+unread)
		v.peak.descriptors = max(v.peak.descriptors, descriptors)
		v.mu.Unlock()
		select {
		case <-v.stopped:
			return
		case <-time.After(sampleInterval):
		}
	}
}

func (v *vm) endSampling() {
	select {
	case <-v.stopped:
	default:
		close(v.stopped)
	}
	v.wg.Wait()
}

// peakUsage returns the peak since the start. It includes peaks of the process's own memory between samples.
func (v *vm) peakUsage() usage {
	v.mu.Lock()
	defer v.mu.Unlock()
	peak := v.peak
	peak.resident = v.statusBytes("VmHWM")
	peak.memory = max(peak.memory, peak.resident)
	return peak
}

// statusBytes returns a field of the kernel's status of the process, or 0 if the process has ended.
func (v *vm) statusBytes(field string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			if err != nil {
				v.t.Error(err)
			}
			return kb << 10
		}
	}
	return 0
}

func (v *vm) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", v.pid))
	if err != nil {
		return 0 // the process has ended
	}
	return len(entries)
}

// unreadBytes returns the bytes that the kernel holds in the receive queues of connections to a
// local IPv4 address. The VM's limit counts them.
func unreadBytes(t *testing.T, address string) int64 {
	const (
		localColumn  = 1
		stateColumn  = 3
		queuesColumn = 4
		listen       = "0A"
	)
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		t.Error(err)
		return 0
	}
	defer func() { _ = f.Close() }()
	local := kernelAddress(t, address)
	sum := int64(0)
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		columns := strings.Fields(lines.Text())
		if len(columns) <= queuesColumn || columns[localColumn] != local || columns[stateColumn] == listen {
			continue
		}
		_, queue, _ := strings.Cut(columns[queuesColumn], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			t.Error(err)
		}
		sum += n
	}
	return sum
}

// kernelAddress returns an address in the form of /proc/net/tcp: the IP address in the byte order of a
// little-endian machine, and the port, both in hexadecimal.
func kernelAddress(t *testing.T, address string) string {
	addr, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		t.Error(err)
		return ""
	}
	ip := addr.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], addr.Port)
}
