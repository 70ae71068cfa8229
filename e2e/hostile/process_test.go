package hostile

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/internal/testaddr"
)

const (
	// waitTimeout bounds every wait for a condition. The tests assert no durations.
	waitTimeout = 60 * time.Second
	// sampleInterval is the time between two samples of what the daemon holds.
	sampleInterval = 20 * time.Millisecond
)

// limits are what a VM grants to its daemon.
type limits struct {
	memoryMB    int
	descriptors int
}

// reservedDescriptors is the number of a VM's descriptors that are not for sockets and pipes.
const reservedDescriptors = 200

// process is a running daemon.
type process struct {
	t       *testing.T
	limits  limits
	callers string // address whose connections count as the daemon's memory
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

// startProcess starts a program with the limit on descriptors. It samples the peak of what the process holds,
// the connections at the address callers included.
func startProcess(t *testing.T, l limits, callers, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, limits: l, callers: callers, exited: make(chan struct{}), stopped: make(chan struct{})}
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, l.descriptors)
	cmd := exec.Command("sh", append([]string{"-c", script, program}, args...)...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.pid = cmd.Process.Pid
	go func() {
		_ = cmd.Wait() // the tests check that the process lives; it is killed at the end
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			const shown = 4 << 10
			t.Logf("the daemon printed at the end:\n%s", out.Bytes()[max(out.Len()-shown, 0):])
		}
	})
	p.wg.Go(p.sample)
	t.Cleanup(p.endSampling)
	return p
}

func (p *process) waitFor(what string, done func() bool) {
	p.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !done() {
		if time.Now().After(deadline) {
			p.t.Fatalf("not reached in %v: %s", waitTimeout, what)
		}
		time.Sleep(sampleInterval)
	}
}

func (p *process) lives() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// sample records the peak of what the process holds until endSampling is called.
func (p *process) sample() {
	for {
		resident, unread := p.statusBytes("VmRSS"), unreadBytes(p.t, p.callers)
		descriptors := p.openDescriptors()
		p.mu.Lock()
		p.peak.unread = max(p.peak.unread, unread)
		p.peak.memory = max(p.peak.memory, resident+unread)
		p.peak.descriptors = max(p.peak.descriptors, descriptors)
		p.mu.Unlock()
		select {
		case <-p.stopped:
			return
		case <-time.After(sampleInterval):
		}
	}
}

func (p *process) endSampling() {
	select {
	case <-p.stopped:
	default:
		close(p.stopped)
	}
	p.wg.Wait()
}

// peakUsage returns the peak since the start. It includes peaks of the process's own memory between samples.
func (p *process) peakUsage() usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	peak := p.peak
	peak.resident = p.statusBytes("VmHWM")
	peak.memory = max(peak.memory, peak.resident)
	return peak
}

// checkLimits checks that the process lives and has stayed within the limits of its VM.
func (p *process) checkLimits(is *is.I) {
	is.Helper()
	peak := p.peakUsage()
	is.True(p.lives())
	is.True(peak.memory <= int64(p.limits.memoryMB)<<20)
	is.True(peak.descriptors <= p.limits.descriptors-reservedDescriptors)
}

// statusBytes returns a field of the kernel's status of the process, or 0 if the process has ended.
func (p *process) statusBytes(field string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			if err != nil {
				p.t.Error(err)
			}
			return kb << 10
		}
	}
	return 0
}

func (p *process) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
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
