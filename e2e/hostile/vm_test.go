package hostile

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/gooseberrylock/gooseberrylock/platform"
	"github.com/gooseberrylock/gooseberrylock/platform/platformtest"
	"github.com/gooseberrylock/gooseberrylock/platform/wire"
)

const (
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

// vm is a daemon of the users' platform with its stand-ins.
type vm struct {
	*process
	server *platformtest.Server
	// Addresses for callers, readiness checks and metrics.
	caller, ready, metrics string
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

	v := &vm{server: server, caller: address(t), ready: address(t)}
	v.process = startProcess(t, l, v.caller, daemon, "platform", "--settings", v.writeSettings(t, l, store.Address()))
	v.waitFor("the daemon serves", func() bool { return v.ordinaryRequest(http.MethodGet, safePath, "start", nil) == http.StatusOK })
	return v
}

func (v *vm) writeSettings(t *testing.T, l limits, store string) string {
	t.Helper()
	host, peerPort, err := net.SplitHostPort(address(t))
	if err != nil {
		t.Fatal(err)
	}
	v.metrics = net.JoinHostPort(host, platform.MetricsPort)
	port, err := strconv.Atoi(peerPort)
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(map[string]any{
		"node": "vm1", "zone": "a", "ip": host,
		"listen_addrs":        map[string]any{"front": v.caller, "ready": v.ready},
		"internal_port_range": []int{port, port},
		"limits": map[string]any{
			"memory_mb": l.memoryMB, "max_fds": l.descriptors, "link_mbps": 1000, "cpu_share": 0.4, "cores": 1,
		},
		"bounds":   map[string]any{"grace_s": 6, "retry_ratio": 0.2, "retry_window_s": 10, "retry_burst": 52},
		"platform": map[string]any{"address": store},
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "node.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
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
