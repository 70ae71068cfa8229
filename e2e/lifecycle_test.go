package e2e

import (
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newDeployment builds the programs and returns a deployment without processes.
func newDeployment(t *testing.T) *deployment {
	if testing.Short() {
		t.Skip("builds and starts processes")
	}
	d := &deployment{t: t, bin: t.TempDir(), dir: t.TempDir(), drainDelay: "200ms", floor: 0.5}
	d.build()
	return d
}

// waitExit waits until a process has exited and returns its exit error.
func (d *deployment) waitExit(p *process) error {
	d.t.Helper()
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		d.t.Fatalf("%s did not end", p.name)
	}
	return p.err
}

// TestRefusesToStart guards against a daemon that starts with unusable settings, or whose error
// message does not name the invalid field, file or address.
func TestRefusesToStart(t *testing.T) {
	d := newDeployment(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	caller, peer, operator := freeAddress(t), freeAddress(t), freeAddress(t)
	text := func(vm, caller, peer, operator, rest string) string {
		return fmt.Sprintf(`{
  "vm": %q, "group": "vestland", "zone": "vestland-a",
  "addresses": {"caller": %q, "peer": %q, "operator": %q},
  "store": {"url": "http://127.0.0.1:1"},
  %s
}`, vm, caller, peer, operator, rest)
	}
	absent := filepath.Join(d.dir, "absent")
	noPEM := d.writeFile("text.pem", "no certificate")
	tests := []struct {
		name, text, wantOutput string
	}{
		{"caller port taken", text("entry-0", taken.Addr().String(), peer, operator, ""), "callers at " + taken.Addr().String()},
		{"peer port taken", text("entry-0", caller, taken.Addr().String(), operator, ""), "peers at " + taken.Addr().String()},
		{"operator port taken", text("entry-0", caller, peer, taken.Addr().String(), ""), "operators at " + taken.Addr().String()},
		{"file missing", "", absent},
		{"file cut off", `{"vm": `, "settings.jsonc:1"},
		{"field wrong", text("Entry 0", caller, peer, operator, ""), `field "vm"`},
		{"field unknown", text("entry-0", caller, peer, operator, `"vms": 3`), `field "vms"`},
		{"certificate missing", text("entry-0", caller, peer, operator, fmt.Sprintf(`"tls": {"cert": %q, "key": %q}`, absent, absent)), "tls.cert " + absent},
		{"certificate wrong", text("entry-0", caller, peer, operator, fmt.Sprintf(`"tls": {"cert": %q, "key": %q}`, noPEM, noPEM)), "tls.cert " + noPEM},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			file := absent
			if tt.text != "" {
				file = d.writeFile("settings.jsonc", tt.text)
			}
			p := d.start("entry-0", "gooseberrylockd", "--settings", file)
			is.True(d.waitExit(p) != nil)                                   // the exit code is not 0
			is.Equal(p.cmd.ProcessState.ExitCode(), 1)                      // no crash
			is.Equal(strings.Count(strings.TrimSpace(p.output()), "\n"), 0) // one line
			if !strings.Contains(p.output(), tt.wantOutput) {
				t.Errorf("%q does not name %q", p.output(), tt.wantOutput)
			}
		})
	}
}

// TestStopsAlone guards against a daemon that does not shut down while the store is unreachable and
// no other daemon can take over its shards.
func TestStopsAlone(t *testing.T) {
	d := newDeployment(t)
	t.Run("store and peers never seen", func(t *testing.T) {
		is := is.New(t)
		a := addresses{freeAddress(t), freeAddress(t), freeAddress(t)}
		p := d.startDaemon(0, a, freeAddress(t))
		d.waitFor("health", func() error {
			res, err := http.Get("http://" + a.caller + "/healthz")
			if err != nil {
				return err
			}
			return res.Body.Close()
		})
		is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
		is.NoErr(d.waitExit(p))
	})
	for _, sig := range []syscall.Signal{syscall.SIGKILL, syscall.SIGSTOP} {
		t.Run("store and peers after "+sig.String(), func(t *testing.T) {
			is := is.New(t)
			store, address, addrs := d.startStore(daemons)
			var procs []*process
			for i, a := range addrs {
				procs = append(procs, d.startDaemon(i, a, address))
			}
			d.apply(d.writeFile("haugland.jsonc", customerTemplate(d.startRoute("portal-search", shards))), addrs[0])
			d.waitFor("every shard has one owner", func() error { return d.checkOwners(addrs, shards) })
			is.NoErr(store.cmd.Process.Signal(sig))
			for _, p := range procs[1:] {
				is.NoErr(p.cmd.Process.Signal(sig))
			}
			is.NoErr(procs[0].cmd.Process.Signal(syscall.SIGTERM))
			is.NoErr(d.waitExit(procs[0]))
		})
	}
}
