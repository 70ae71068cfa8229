package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// patience bounds every wait for a condition; no duration is asserted.
const patience = 60 * time.Second

const (
	daemons  = 3
	shards   = 4
	replicas = 2
)

// deployment is a set of running processes.
type deployment struct {
	t   *testing.T
	bin string
	dir string
}

func (d *deployment) build() {
	d.t.Helper()
	cmd := exec.Command("go", "build", "-o", d.bin+string(filepath.Separator),
		"github.com/gooseberrylock/gooseberrylock/cmd/gooseberrylock",
		"github.com/gooseberrylock/gooseberrylock/cmd/gooseberrylockd")
	if out, err := cmd.CombinedOutput(); err != nil {
		d.t.Fatalf("build: %v\n%s", err, out)
	}
}

// process is one running program with what it has printed.
type process struct {
	name string
	cmd  *exec.Cmd
	mu   sync.Mutex
	out  bytes.Buffer
	done chan error
}

// Write implements io.Writer.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.Write(b)
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.String()
}

func (d *deployment) start(name, program string, args ...string) *process {
	d.t.Helper()
	p := &process{name: name, cmd: exec.Command(filepath.Join(d.bin, program), args...), done: make(chan error, 1)}
	p.cmd.Stdout = p
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		d.t.Fatalf("start %s: %v", name, err)
	}
	go func() { p.done <- p.cmd.Wait() }()
	d.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		if d.t.Failed() {
			d.t.Logf("%s printed:\n%s", name, p.output())
		}
	})
	return p
}

// command runs the command line and returns what it printed.
func (d *deployment) command(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(d.bin, "gooseberrylock"), args...)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// wait repeats check until it succeeds.
func (d *deployment) wait(what string, check func() error) {
	d.t.Helper()
	deadline := time.Now().Add(patience)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			d.t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	return lis.Addr().String()
}

func (d *deployment) file(name, text string) string {
	d.t.Helper()
	path := filepath.Join(d.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}

var zones = []string{"vestland-a", "vestland-b", "vestland-c", "vestland-d"}

// template starts the searchers and returns a template that names them.
func (d *deployment) template() string {
	var list []string
	for s := range shards {
		var servers []string
		for r := range replicas {
			id := fmt.Sprintf("searcher-%d-%d", s, r)
			address := freeAddress(d.t)
			d.start(id, "gooseberrylock", "standin", "searcher", "--listen", address, "--median", "2ms")
			servers = append(servers, fmt.Sprintf(`{"id": %q, "zone": %q, "address": %q}`, id, zones[(s+r)%len(zones)], address))
		}
		list = append(list, fmt.Sprintf(`{"shard": "s%d", "backendServers": [%s]}`, s, strings.Join(servers, ", ")))
	}
	return fmt.Sprintf(`{
  "customer": "haugland",
  "zones": ["vestland-a", "vestland-b", "vestland-c", "vestland-d"],
  "routes": [{
    "route": "portal-search", "timeout": "2s", "attemptTimeout": "1s", "coverageFloor": 0.5,
    "classes": ["suggest", "portal", "archive"], "defaultClass": "portal",
    "stableVersion": "v1",
    "versions": [{
      "version": "v1", "epoch": 1,
      "limits": {"slots": 3, "connections": 30, "connectCost": "6ms", "coldSlots": 1},
      "shards": [%s],
    }],
  }],
}`, strings.Join(list, ",\n"))
}

type addresses struct{ caller, peer, operator string }

func (d *deployment) daemon(i int, a addresses, store string) *process {
	name := fmt.Sprintf("entry-%d", i)
	file := d.file(name+".jsonc", fmt.Sprintf(`{
  "vm": %q, "group": "vestland", "zone": %q,
  "addresses": {"caller": %q, "peer": %q, "operator": %q},
  "store": {"url": "http://%s"},
  "traffic": {"drainDelay": "200ms"},
}`, name, zones[i%len(zones)], a.caller, a.peer, a.operator, store))
	return d.start(name, "gooseberrylockd", "--settings", file)
}

type status struct {
	OwnedShards  int `json:"ownedShards"`
	WantedShards int `json:"wantedShards"`
}

// TestSeparateProcesses guards against a break anywhere on the path of a request through
// real processes: settings, store, peers, owners, backend servers, command line, shutdown.
func TestSeparateProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and starts a dozen processes")
	}
	is := is.New(t)
	d := &deployment{t: t, bin: t.TempDir(), dir: t.TempDir()}
	d.build()

	store := freeAddress(t)
	storeArgs := []string{"standin", "store", "--listen", store}
	var addrs []addresses
	for i := range daemons {
		a := addresses{freeAddress(t), freeAddress(t), freeAddress(t)}
		addrs = append(addrs, a)
		storeArgs = append(storeArgs, "--vm", fmt.Sprintf("entry-%d,%s,%s", i, zones[i], a.peer))
	}
	d.start("store", "gooseberrylock", storeArgs...)
	var procs []*process
	for i, a := range addrs {
		procs = append(procs, d.daemon(i, a, store))
	}

	file := d.file("haugland.jsonc", d.template())
	d.wait("apply", func() error {
		out, err := d.command("apply", file, "--daemon", "http://"+addrs[0].operator)
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		return nil
	})
	d.wait("every shard has one owner", func() error {
		owned := 0
		for _, a := range addrs {
			out, err := d.command("status", "--output", "json", "--daemon", "http://"+a.operator)
			if err != nil {
				return fmt.Errorf("%w: %s", err, out)
			}
			var s status
			if err := json.Unmarshal([]byte(out), &s); err != nil {
				return err
			}
			if s.WantedShards != shards {
				return fmt.Errorf("a daemon wants %d shards", s.WantedShards)
			}
			owned += s.OwnedShards
		}
		if owned != shards {
			return fmt.Errorf("%d of %d shards have an owner", owned, shards)
		}
		return nil
	})
	for _, a := range addrs {
		d.wait("complete answer", func() error {
			out, err := d.command("search", "logo", "--customer", "haugland", "--route", "portal-search", "--caller", "http://"+a.caller)
			if err != nil {
				return fmt.Errorf("%w: %s", err, out)
			}
			if !strings.HasPrefix(out, "complete: 4 of 4 shards") {
				return fmt.Errorf("unexpected answer: %s", out)
			}
			return nil
		})
	}
	for _, p := range procs {
		is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
	}
	for _, p := range procs {
		select {
		case err := <-p.done:
			is.NoErr(err) // a graceful shutdown exits with 0
		case <-time.After(patience):
			t.Fatalf("%s did not stop", p.name)
		}
	}
}
