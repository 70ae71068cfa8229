package gooseberrylock

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/gooseberrylock/gooseberrylock/backend"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/settings"
	"github.com/gooseberrylock/gooseberrylock/standin"
	"github.com/gooseberrylock/gooseberrylock/store"
	"github.com/gooseberrylock/gooseberrylock/template"
)

const (
	benchDaemons  = 3
	benchReplicas = 2
	benchHits     = 5
	benchCallers  = 8 // number of concurrent callers
)

// emptyStore is a store without objects. The benchmarks set the views of the daemons themselves.
type emptyStore struct{}

func (emptyStore) Get(context.Context, model.ObjectKey) (model.Object, bool, error) {
	return model.Object{}, false, nil
}

func (emptyStore) Put(context.Context, model.Object, uint64) store.PutResult {
	return store.PutResult{Outcome: event.WriteFailed}
}

func (emptyStore) List(context.Context, uint64, time.Duration) ([]model.Object, uint64, error) {
	return nil, 0, nil
}

func (emptyStore) VMs(context.Context) ([]event.ListedVM, error) { return nil, nil }

// memoryBackend answers attempts without a network. It answers at once, unless blockUntil is set.
type memoryBackend struct {
	hits       []model.Hit
	attempts   *atomic.Int64
	blockUntil *atomic.Pointer[chan struct{}] // if set, attempts wait until this channel is closed
}

func newMemoryBackend(attempts *atomic.Int64) *memoryBackend {
	b := &memoryBackend{attempts: attempts}
	for i := range benchHits {
		b.hits = append(b.hits, model.Hit{Document: fmt.Sprintf("document-%d", i), Score: float64(i), Body: []byte(`{"title":"logo"}`)})
	}
	return b
}

// Execute implements backend.Client.
func (m *memoryBackend) Execute(ctx context.Context, _ *effect.StartAttempt) model.AttemptResult {
	m.attempts.Add(1)
	if m.blockUntil != nil {
		if closed := m.blockUntil.Load(); closed != nil {
			select {
			case <-*closed:
			case <-ctx.Done():
			}
		}
	}
	return model.AttemptResult{Outcome: model.OutcomeOK, Boot: 1, Snapshot: 1, Oldest: 1, Newest: 1, Hits: m.hits}
}

func (m *memoryBackend) RetainServers([]model.BackendServer) {}
func (m *memoryBackend) Close()                              {}

// countingBackend counts the attempts of another backend client.
type countingBackend struct {
	backend.Client
	attempts *atomic.Int64
}

// Execute implements backend.Client.
func (c countingBackend) Execute(ctx context.Context, a *effect.StartAttempt) model.AttemptResult {
	c.attempts.Add(1)
	return c.Client.Execute(ctx, a)
}

// deployment is a set of daemons in this process. The benchmark sets their views.
type deployment struct {
	daemons  []*Daemon
	attempts atomic.Int64
	wire     byteCounts
}

// byteCounts counts the bytes on the connections between daemons at the owners' ends. They include
// the framing of drpc.
type byteCounts struct {
	requests atomic.Int64 // read by owners
	replies  atomic.Int64 // written by owners
}

type countingListener struct {
	net.Listener
	wire *byteCounts
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.wire}, nil
}

type countingConn struct {
	net.Conn
	wire *byteCounts
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.requests.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.replies.Add(int64(n))
	return n, err
}

// benchTemplate returns a template with one route that has the given number of shards. It calls
// address for the address of each backend server.
func benchTemplate(b *testing.B, shards int, address func() string) *model.Template {
	b.Helper()
	var list []string
	for i := range shards {
		var servers []string
		for r := range benchReplicas {
			servers = append(servers, fmt.Sprintf(`{"id": "searcher-%d-%d", "zone": "a", "address": %q}`, i, r, address()))
		}
		list = append(list, fmt.Sprintf(`{"shard": "shard-%02d", "backendServers": [%s]}`, i, strings.Join(servers, ", ")))
	}
	t, err := template.Parse("t", fmt.Appendf(nil, `{"customer": "haugland", "zones": ["a"], "routes": [{
  "route": "portal-search", "timeout": "20s", "attemptTimeout": "20s", "stableVersion": "v1",
  "versions": [{"version": "v1", "epoch": 1, "limits": {"slots": 64, "connections": 128}, "shards": [%s]}],
}]}`, strings.Join(list, ", ")))
	if err != nil {
		b.Fatal(err)
	}
	return t
}

// unusedAddresses returns a function that returns a different address at each call, for backend
// servers to which no connection is opened.
func unusedAddresses() func() string {
	port := 0
	return func() string {
		port++
		return fmt.Sprintf("127.0.0.1:%d", port)
	}
}

// newDeployment starts the daemons and publishes their views. ownerOf returns the index of the daemon
// that owns a shard.
func newDeployment(b *testing.B, tmpl *model.Template, ownerOf func(shard int) int, client func(*deployment) backend.Client) *deployment {
	b.Helper()
	dep := &deployment{}
	for i := range benchDaemons {
		vm := fmt.Sprintf("entry-%d", i)
		s, err := settings.Parse(vm, fmt.Appendf(nil, `{
  "vm": %q, "group": "g", "zone": "a", "store": {"url": "http://127.0.0.1:1"}, "traffic": {"workers": 2, "drainDelay": "0s"},
  "addresses": {"caller": "127.0.0.1:0", "peer": "127.0.0.1:0", "operator": "127.0.0.1:0"},
}`, vm))
		if err != nil {
			b.Fatal(err)
		}
		d, err := New(Config{Settings: *s, Store: emptyStore{}, Backend: client(dep), Log: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}})
		if err != nil {
			b.Fatal(err)
		}
		d.listeners.peer = countingListener{d.listeners.peer, &dep.wire}
		dep.serve(b, d)
		dep.daemons = append(dep.daemons, d)
	}
	dep.publish(tmpl, ownerOf)
	return dep
}

// serve runs the workers and the peer network of a daemon until the end of the benchmark. The control
// loop does not run, so that heartbeats do not add to the measured cost.
func (dep *deployment) serve(b *testing.B, d *Daemon) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, w := range d.workers {
		wg.Go(func() { _ = w.run(ctx) })
	}
	wg.Go(func() { _ = d.network.Serve(d.listeners.peer) })
	b.Cleanup(func() {
		cancel()
		d.network.Close()
		d.closeListeners()
		wg.Wait()
		d.backend.Close()
	})
}

func (dep *deployment) publish(tmpl *model.Template, ownerOf func(int) int) {
	route := model.Route{Customer: tmpl.Customer, Route: tmpl.Routes[0].ID}
	version := &tmpl.Routes[0].Versions[0]
	peers := make(map[model.VM]model.Peer)
	for i, d := range dep.daemons {
		vm := d.cfg.Settings.VM
		peers[vm] = model.Peer{VM: vm, Boot: model.Boot(i + 1), Zone: "a", Address: d.PeerAddress(), Alive: true}
	}
	owners := make(map[model.ShardKey]model.Owner)
	leases := make([]map[model.ShardKey]model.Lease, len(dep.daemons))
	for i := range leases {
		leases[i] = make(map[model.ShardKey]model.Lease)
	}
	for i := range version.Shards {
		k := model.ShardKey{Route: route, Version: version.ID, Shard: version.Shards[i].ID}
		o := ownerOf(i)
		owners[k] = model.Owner{VM: dep.daemons[o].cfg.Settings.VM, Boot: model.Boot(o + 1)}
		leases[o][k] = model.Lease{Until: model.Never, Term: 1, Clean: true}
	}
	for i, d := range dep.daemons {
		v := &model.View{
			Self: d.cfg.Settings.VM, Boot: model.Boot(i + 1), Peers: peers, Owners: owners, Leases: leases[i],
			Config: &model.ConfigView{Templates: map[model.CustomerID]*model.Template{tmpl.Customer: tmpl}},
		}
		for _, w := range d.workers {
			w.enqueue(event.ViewPublished{View: v})
		}
	}
}

func benchRequest() model.Request {
	return model.Request{
		Route:       model.Route{Customer: "haugland", Route: "portal-search"},
		MinCoverage: -1,
		Payload:     []byte("logo with seagull, landscape"),
	}
}

// search runs n searches at daemon 0 from benchCallers concurrent callers.
func (dep *deployment) search(b *testing.B, n int) {
	var next atomic.Int64
	var partial atomic.Int64
	var wg sync.WaitGroup
	for range benchCallers {
		wg.Go(func() {
			for next.Add(1) <= int64(n) {
				a, err := dep.daemons[0].Do(context.Background(), benchRequest())
				if err != nil || !a.Coverage.Complete() {
					partial.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if partial.Load() > 0 {
		b.Fatalf("%d of %d answers are missing or partial", partial.Load(), n)
	}
}

// processorTime returns the user and system CPU time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// warmupSearches is a number of searches that is enough to end the cold start of every backend
// server.
const warmupSearches = 3000

// measure reports the cost of b.N searches. It uses CPU time, because wall time depends on the other
// processes on the machine.
func (dep *deployment) measure(b *testing.B, shards int) {
	dep.search(b, warmupSearches)
	runtime.GC()
	b.ReportAllocs()
	attempts, used := dep.attempts.Load(), processorTime(b)
	requests, replies := dep.wire.requests.Load(), dep.wire.replies.Load()
	b.ResetTimer()
	dep.search(b, b.N)
	b.StopTimer()
	micros := float64(processorTime(b)-used) / float64(time.Microsecond)
	subRequests := float64(b.N) * float64(shards)
	b.ReportMetric(micros/float64(b.N), "cpu-µs/query")
	b.ReportMetric(micros/subRequests, "cpu-µs/sub")
	b.ReportMetric(float64(dep.attempts.Load()-attempts)/subRequests, "attempts/sub")
	b.ReportMetric(float64(dep.wire.requests.Load()-requests)/subRequests, "request-B/sub")
	b.ReportMetric(float64(dep.wire.replies.Load()-replies)/subRequests, "reply-B/sub")
}

// placements lists where the owners of the shards are relative to the entry daemon, daemon 0.
var placements = []struct {
	name    string
	ownerOf func(shard int) int
}{
	{"local", func(int) int { return 0 }},
	{"remote", func(shard int) int { return 1 + shard%(benchDaemons-1) }},
}

// BenchmarkSearch measures the cost of a query in the daemons without the backend servers. The
// difference between remote and local owners is the cost of the hop between daemons, at both ends.
func BenchmarkSearch(b *testing.B) {
	for _, shards := range []int{20, 60} {
		for _, p := range placements {
			b.Run(fmt.Sprintf("shards=%d/owners=%s", shards, p.name), func(b *testing.B) {
				tmpl := benchTemplate(b, shards, unusedAddresses())
				dep := newDeployment(b, tmpl, p.ownerOf, func(dep *deployment) backend.Client { return newMemoryBackend(&dep.attempts) })
				dep.measure(b, shards)
			})
		}
	}
}

// BenchmarkSearchHTTP measures the cost of a query with the HTTP adapter and searcher stand-ins in
// this process. The difference from BenchmarkSearch is the cost of the HTTP exchange, at both ends.
func BenchmarkSearchHTTP(b *testing.B) {
	const shards = 20
	for _, p := range placements {
		b.Run(fmt.Sprintf("shards=%d/owners=%s", shards, p.name), func(b *testing.B) {
			tmpl := benchTemplate(b, shards, func() string {
				srv := httptest.NewServer(standin.NewSearcher(standin.SearcherConfig{Slots: 64, ColdSlots: 64, Hits: benchHits}).Handler())
				b.Cleanup(srv.Close)
				return srv.Listener.Addr().String()
			})
			dep := newDeployment(b, tmpl, p.ownerOf, func(dep *deployment) backend.Client {
				return countingBackend{backend.NewHTTP(backend.Config{Self: "bench", Boot: 1}), &dep.attempts}
			})
			dep.measure(b, shards)
		})
	}
}

// memoryInUse returns the size in bytes of the live heap objects and the stacks.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC() // sync.Pool keeps its objects during the first collection and frees them in the second
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkQueryMemory measures the memory that a query uses in the entry daemon and the owners while
// it waits for its backend servers. It includes the stacks of the waiting attempts.
func BenchmarkQueryMemory(b *testing.B) {
	const (
		shards  = 60
		queries = 50 // fewer than the slots of a server, so that every sub-request has a running attempt
	)
	for _, p := range placements {
		b.Run(fmt.Sprintf("shards=%d/owners=%s", shards, p.name), func(b *testing.B) {
			tmpl := benchTemplate(b, shards, unusedAddresses())
			var gate atomic.Pointer[chan struct{}]
			dep := newDeployment(b, tmpl, p.ownerOf, func(dep *deployment) backend.Client {
				m := newMemoryBackend(&dep.attempts)
				m.blockUntil = &gate
				return m
			})
			dep.search(b, warmupSearches)
			for b.Loop() {
				idle := memoryInUse()
				release := make(chan struct{})
				gate.Store(&release)
				before := dep.attempts.Load()
				var wg sync.WaitGroup
				for range queries {
					wg.Go(func() { _, _ = dep.daemons[0].Do(context.Background(), benchRequest()) })
				}
				for dep.attempts.Load()-before < queries*shards {
					time.Sleep(time.Millisecond)
				}
				running := memoryInUse()
				gate.Store(nil)
				close(release)
				wg.Wait()
				b.ReportMetric((running-idle)/queries, "B/query")
				b.ReportMetric((running-idle)/queries/shards, "B/sub")
			}
		})
	}
}

// BenchmarkKeyMemory measures the memory that a shard key uses at its owner after both its replicas
// have served. It excludes the template and the view. The number of keys is large, so that the fixed
// memory of a daemon is negligible.
func BenchmarkKeyMemory(b *testing.B) {
	const (
		shards   = 1000
		searches = 200
	)
	tmpl := benchTemplate(b, shards, unusedAddresses())
	dep := newDeployment(b, tmpl, placements[0].ownerOf, func(dep *deployment) backend.Client { return newMemoryBackend(&dep.attempts) })
	idle := memoryInUse()
	dep.search(b, searches)
	for b.Loop() {
		b.ReportMetric((memoryInUse()-idle)/shards, "B/key")
	}
}
