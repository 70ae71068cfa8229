package hostile

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/standin"
)

// ownDaemon is a daemon with the program's own interface.
type ownDaemon struct {
	*process
	caller, operator string // addresses
}

// ownLimits are those of the VM; memory and connections are also limited by the settings.
var ownLimits = limits{memoryMB: 128, descriptors: 600}

// ownSettings has the addresses of callers, peers, operators and the store.
const ownSettings = `{
  "vm": "entry-1", "group": "g", "zone": "a",
  "addresses": {"caller": %q, "peer": %q, "operator": %q},
  "store": {"url": "http://%s"},
  "limits": {"maxConnections": 150, "maxRequestMemory": 8388608},
}`

func startOwnDaemon(t *testing.T, program string) *ownDaemon {
	t.Helper()
	store := httptest.NewServer(standin.NewStore(nil).Handler())
	t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
	})
	d := &ownDaemon{caller: address(t), operator: address(t)}
	settings := filepath.Join(t.TempDir(), "settings.jsonc")
	text := fmt.Sprintf(ownSettings, d.caller, address(t), d.operator, store.Listener.Addr())
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	d.process = startProcess(t, ownLimits, d.caller, program, "--settings", settings)
	d.waitFor("the daemon serves", d.answers)
	return d
}

// answers reports whether an ordinary caller and an ordinary operator are answered on new connections.
func (d *ownDaemon) answers() bool {
	return getOnce("http://"+d.caller+"/healthz") == http.StatusOK && getOnce("http://"+d.operator+"/metrics") == http.StatusOK
}

// getOnce returns the status of a request on a connection of its own, or 0 if there was no answer.
func getOnce(url string) int {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// Guards the program's own interface, for callers and for operators, against the same kinds of callers.
func TestCrowdsAtOwnInterface(t *testing.T) {
	const (
		search    = "POST /v1/customers/c/routes/r/search HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"
		template  = "PUT /v1/templates/c HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"
		long      = "Content-Length: 1000000000\r\n\r\n"
		inChunks  = "Transfer-Encoding: chunked\r\n\r\n"
		chunkText = "1\r\nx\r\n"
	)
	longChunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("x", 64<<10))
	silent := func(net.Conn, int) error { return nil }
	tests := []struct {
		crowd    crowd
		operator bool
	}{
		{crowd: crowd{name: "long bodies", size: 100, send: sendEndless(search+long, "x", endlessBytes)}},
		{crowd: crowd{name: "chunks without end", size: 100, send: sendEndless(search+inChunks, longChunk, endlessBytes)}},
		{crowd: crowd{name: "chunks of one byte without end", size: 300, send: sendEndless(search+inChunks, chunkText, endlessBytes)}},
		{crowd: crowd{name: "head without end", size: 200, send: sendEndless(search, "a:\r\n", endlessBytes)}},
		{crowd: crowd{name: "connections that send nothing", size: 700, send: silent}},
		{crowd: crowd{name: "long bodies to operators", size: 100, send: sendEndless(template+long, "x", endlessBytes)}, operator: true},
		{crowd: crowd{name: "head to operators without end", size: 200, send: sendEndless(template, "a:\r\n", endlessBytes)}, operator: true},
		{crowd: crowd{name: "connections to operators that send nothing", size: 700, send: silent}, operator: true},
	}
	program := buildDaemon(t)
	for _, tt := range tests {
		t.Run(tt.crowd.name, func(t *testing.T) {
			is := is.New(t)
			d := startOwnDaemon(t, program)
			target := d.caller
			if tt.operator {
				target = d.operator
			}
			callers := tt.crowd.connect(t, target)
			d.waitFor("ordinary requests are answered while the crowd stays", func() bool { return !d.lives() || d.answers() })
			callers.leave()
			d.waitFor("ordinary requests are answered after the crowd has left", func() bool { return !d.lives() || d.answers() })
			peak := d.peakUsage()
			t.Logf("peak: %d MB, %d descriptors; statuses %v", peak.memory>>20, peak.descriptors, callers.statuses())
			d.checkLimits(is)
		})
	}
}
