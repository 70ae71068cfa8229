package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/internal/testaddr"
)

// waitTimeout bounds every wait for a condition. The tests assert no durations.
const waitTimeout = 60 * time.Second

// maxOutputShown is the number of bytes at the end of the output of a process that are logged when
// a test fails.
const maxOutputShown = 4 << 10

const (
	daemons  = 3
	shards   = 4
	replicas = 2
)

// deployment is a set of running processes: the store, the daemons and the searchers.
type deployment struct {
	t   *testing.T
	bin string
	dir string

	drainDelay    string
	floor         float64 // coverage floor of all routes
	searcherFlags []string
	searchers     []*searcher

	deadline time.Time // of every wait; if zero, each wait ends after waitTimeout
}

// build compiles the command line and the daemon into d.bin.
func (d *deployment) build() {
	d.t.Helper()
	cmd := exec.Command("go", "build", "-o", d.bin+string(filepath.Separator),
		"github.com/gooseberrylock/gooseberrylock/cmd/gooseberrylock",
		"github.com/gooseberrylock/gooseberrylock/cmd/gooseberrylockd")
	if out, err := cmd.CombinedOutput(); err != nil {
		d.t.Fatalf("build: %v\n%s", err, out)
	}
}

// process is a running program and its output so far.
type process struct {
	name string
	cmd  *exec.Cmd
	mu   sync.Mutex
	out  bytes.Buffer
	done chan struct{} // closed when the process has exited
	err  error         // exit error of the process; valid when done is closed
}

// Write implements io.Writer. It appends to the recorded output.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.Write(b)
}

// output returns what the process has written to stdout and stderr so far.
func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.String()
}

// start starts a program from d.bin. The process is killed at the end of the test.
func (d *deployment) start(name, program string, args ...string) *process {
	d.t.Helper()
	p := &process{name: name, cmd: exec.Command(filepath.Join(d.bin, program), args...), done: make(chan struct{})}
	p.cmd.Stdout = p
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		d.t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	d.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if d.t.Failed() {
			out := p.output()
			d.t.Logf("%s printed at the end:\n%s", name, out[max(len(out)-maxOutputShown, 0):])
		}
	})
	return p
}

// runCLI runs the command line tool and returns its output.
func (d *deployment) runCLI(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(d.bin, "gooseberrylock"), args...)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// waitFor repeats check until it succeeds and fails the test at the deadline.
func (d *deployment) waitFor(what string, check func() error) {
	d.t.Helper()
	deadline := d.deadline
	if deadline.IsZero() {
		deadline = time.Now().Add(waitTimeout)
	}
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

// freeAddress returns an address that no process listens on. Its port lies below the ephemeral port
// range of Linux, so that no outgoing connection can occupy the port of a process while the
// process is down.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := testaddr.Free()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// writeFile writes a file in d.dir and returns its path.
func (d *deployment) writeFile(name, text string) string {
	d.t.Helper()
	path := filepath.Join(d.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}

var zones = []string{"vestland-a", "vestland-b", "vestland-c", "vestland-d"}

// searcher is a backend server.
type searcher struct {
	id, zone, address string

	args  []string
	procs []*process // one for each start, the current one last
}

// startSearcher starts a new searcher and adds it to the deployment.
func (d *deployment) startSearcher(id, zone string) *searcher {
	s := &searcher{id: id, zone: zone, address: freeAddress(d.t)}
	s.args = append([]string{"standin", "searcher", "--listen", s.address, "--median", "2ms"}, d.searcherFlags...)
	d.restartSearcher(s)
	d.searchers = append(d.searchers, s)
	return s
}

// restartSearcher starts a new process for a searcher, at the same address.
func (d *deployment) restartSearcher(s *searcher) {
	s.procs = append(s.procs, d.start(s.id, "gooseberrylock", s.args...))
}

// startRoute starts the searchers of a route and returns the definition of the route for the
// template.
func (d *deployment) startRoute(name string, shards int) string {
	var list []string
	for s := range shards {
		var servers []string
		for r := range replicas {
			b := d.startSearcher(fmt.Sprintf("%s-%d-%d", name, s, r), zones[(s+r)%len(zones)])
			servers = append(servers, fmt.Sprintf(`{"id": %q, "zone": %q, "address": %q}`, b.id, b.zone, b.address))
		}
		list = append(list, fmt.Sprintf(`{"shard": "s%d", "backendServers": [%s]}`, s, strings.Join(servers, ", ")))
	}
	return fmt.Sprintf(`{
    "route": %q, "timeout": "2s", "attemptTimeout": "1s", "coverageFloor": %g,
    "classes": ["suggest", "portal", "archive"], "defaultClass": "portal",
    "stableVersion": "v1",
    "versions": [{
      "version": "v1", "epoch": 1,
      "limits": {"slots": 3, "connections": 30, "connectCost": "6ms", "coldSlots": 1},
      "shards": [%s],
    }],
  }`, name, d.floor, strings.Join(list, ",\n"))
}

// customerTemplate returns a template with the given route definitions.
func customerTemplate(routes ...string) string {
	return fmt.Sprintf(`{
  "customer": "haugland",
  "zones": ["vestland-a", "vestland-b", "vestland-c", "vestland-d"],
  "routes": [%s],
}`, strings.Join(routes, ",\n"))
}

// addresses are the addresses that a daemon listens on.
type addresses struct{ caller, peer, operator string }

// startDaemon starts daemon i with the given addresses and store address.
func (d *deployment) startDaemon(i int, a addresses, store string) *process {
	name := fmt.Sprintf("entry-%d", i)
	file := d.writeFile(name+".jsonc", fmt.Sprintf(`{
  "vm": %q, "group": "vestland", "zone": %q,
  "addresses": {"caller": %q, "peer": %q, "operator": %q},
  "store": {"url": "http://%s"},
  "traffic": {"drainDelay": %q},
}`, name, zones[i%len(zones)], a.caller, a.peer, a.operator, store, d.drainDelay))
	return d.start(name, "gooseberrylockd", "--settings", file)
}

// startStore starts a store that lists n daemons. It returns the process and the address of the
// store, and the addresses of the daemons. The daemons are not started.
func (d *deployment) startStore(n int) (p *process, store string, addrs []addresses) {
	store = freeAddress(d.t)
	args := []string{"standin", "store", "--listen", store}
	for i := range n {
		a := addresses{freeAddress(d.t), freeAddress(d.t), freeAddress(d.t)}
		addrs = append(addrs, a)
		args = append(args, "--vm", fmt.Sprintf("entry-%d,%s,%s", i, zones[i%len(zones)], a.peer))
	}
	return d.start("store", "gooseberrylock", args...), store, addrs
}

// apply applies a template through a daemon and repeats this until it succeeds.
func (d *deployment) apply(file string, a addresses) {
	d.t.Helper()
	d.waitFor("apply", func() error {
		out, err := d.runCLI("apply", file, "--daemon", "http://"+a.operator)
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		return nil
	})
}

// status is the part of the output of the status command that the tests check.
type status struct {
	OwnedShards  int `json:"ownedShards"`
	WantedShards int `json:"wantedShards"`

	ZonesOut  []string `json:"zonesOut"`
	Overrides []string `json:"overrides"`
	StoreUp   bool     `json:"storeUp"`
}

// status queries the status of a daemon with the command line tool.
func (d *deployment) status(a addresses) (s status, err error) {
	out, err := d.runCLI("status", "--output", "json", "--timeout", "2s", "--daemon", "http://"+a.operator)
	if err != nil {
		return s, fmt.Errorf("%w: %s", err, out)
	}
	return s, json.Unmarshal([]byte(out), &s)
}

// checkOwners returns an error unless every daemon knows the given number of shards and the
// daemons own as many in total.
func (d *deployment) checkOwners(addrs []addresses, wanted int) error {
	owned := 0
	for _, a := range addrs {
		s, err := d.status(a)
		if err != nil {
			return err
		}
		if s.WantedShards != wanted {
			return fmt.Errorf("a daemon wants %d of %d shards", s.WantedShards, wanted)
		}
		owned += s.OwnedShards
	}
	if owned != wanted {
		return fmt.Errorf("%d of %d shards have an owner", owned, wanted)
	}
	return nil
}

// TestSeparateProcesses guards against a failure in any part that a search through real processes
// needs: settings, store, peers, shard owners, backend servers and command line. It also guards
// against daemons that do not shut down on SIGTERM.
func TestSeparateProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and starts a dozen processes")
	}
	is := is.New(t)
	d := &deployment{t: t, bin: t.TempDir(), dir: t.TempDir(), drainDelay: "200ms", floor: 0.5}
	d.build()

	_, store, addrs := d.startStore(daemons)
	var procs []*process
	for i, a := range addrs {
		procs = append(procs, d.startDaemon(i, a, store))
	}

	file := d.writeFile("haugland.jsonc", customerTemplate(d.startRoute("portal-search", shards)))
	d.apply(file, addrs[0])
	d.waitFor("every shard has one owner", func() error { return d.checkOwners(addrs, shards) })
	for _, a := range addrs {
		d.waitFor("complete answer", func() error {
			out, err := d.runCLI("search", "logo", "--customer", "haugland", "--route", "portal-search", "--caller", "http://"+a.caller)
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
		case <-p.done:
			is.NoErr(p.err) // a graceful shutdown exits with 0
		case <-time.After(waitTimeout):
			t.Fatalf("%s did not stop", p.name)
		}
	}
}
