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
	benchCallers  = 8 // callers that search at the same time
)

// emptyStore is a store without objects; the benchmarks publish their own views.
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

// memoryBackend answers every attempt at once, or when the gate opens.
type memoryBackend struct {
	hits     []model.Hit
	attempts *atomic.Int64
	gate     *atomic.Pointer[chan struct{}] // nil for none
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
	if m.gate != nil {
		if closed := m.gate.Load(); closed != nil {
			select {
			case <-*closed:
			case <-ctx.Done():
			}
		}
	}
	return model.AttemptResult{Outcome: model.OutcomeOK, Boot: 1, Snapshot: 1, Oldest: 1, Newest: 1, Hits: m.hits}
}

func (m *memoryBackend) Keep([]model.BackendServer) {}
func (m *memoryBackend) Close()                     {}

// countedBackend counts the attempts of another client.
type countedBackend struct {
	backend.Client
	attempts *atomic.Int64
}

// Execute implements backend.Client.
func (c countedBackend) Execute(ctx context.Context, a *effect.StartAttempt) model.AttemptResult {
	c.attempts.Add(1)
	return c.Client.Execute(ctx, a)
}

// deployment is a set of daemons in this process whose views the benchmark decides on.
type deployment struct {
	daemons  []*Daemon
	attempts atomic.Int64
	wire     traffic
}

// traffic counts the bytes at the owners' ends of the connections between daemons, with the
// framing of drpc.
type traffic struct {
	requests atomic.Int64 // read by owners
	replies  atomic.Int64 // written by owners
}

type countedListener struct {
	net.Listener
	wire *traffic
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.wire}, nil
}

type countedConn struct {
	net.Conn
	wire *traffic
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.requests.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.replies.Add(int64(n))
	return n, err
}

// benchTemplate returns a template of a route with the given number of shards. address gives the
// address of each backend server.
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

// unusedAddresses returns a different address at each call, for backend servers that are never
// dialled.
func unusedAddresses() func() string {
	port := 0
	return func() string {
		port++
		return fmt.Sprintf("127.0.0.1:%d", port)
	}
}

// newDeployment runs the daemons. ownerOf gives the daemon that owns a shard.
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
		d.listeners.peer = countedListener{d.listeners.peer, &dep.wire}
		dep.serve(b, d)
		dep.daemons = append(dep.daemons, d)
	}
	dep.publish(tmpl, ownerOf)
	return dep
}

// serve runs the traffic side of a daemon until the end of the benchmark. Without its control
// side there are no heartbeats in the figures.
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
			w.put(event.ViewPublished{View: v})
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

// search runs n searches at daemon 0 from several callers.
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

// processorTime returns the user and system time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// warmSearches brings every backend server out of its cold start.
const warmSearches = 3000

// measure reports the cost of b.N searches, by processor time rather than wall time, which
// depends on what else the machine does.
func (dep *deployment) measure(b *testing.B, shards int) {
	dep.search(b, warmSearches)
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

// placements are the owners of the shards as seen from the entry daemon, which is daemon 0.
var placements = []struct {
	name    string
	ownerOf func(shard int) int
}{
	{"local", func(int) int { return 0 }},
	{"remote", func(shard int) int { return 1 + shard%(benchDaemons-1) }},
}

// BenchmarkSearch measures a query in the daemons alone. The difference between remote and
// local is the price of the hop between daemons, at both ends.
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

// BenchmarkSearchHTTP measures a query with the HTTP adapter and searcher stand-ins in this
// process. The difference from BenchmarkSearch is the price of the HTTP exchange, at both ends.
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
				return countedBackend{backend.NewHTTP(backend.Config{Self: "bench", Boot: 1}), &dep.attempts}
			})
			dep.measure(b, shards)
		})
	}
}

// heapInUse returns the bytes of live objects and of stacks.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC() // the second run frees what sync.Pool kept over the first
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkQueryMemory measures the memory of a query that waits for its backend servers, over
// entry daemon and owners, with the stack of the waiting attempt.
func BenchmarkQueryMemory(b *testing.B) {
	const (
		shards  = 60
		queries = 50 // below the slots, so that every sub-request has an attempt under way
	)
	for _, p := range placements {
		b.Run(fmt.Sprintf("shards=%d/owners=%s", shards, p.name), func(b *testing.B) {
			tmpl := benchTemplate(b, shards, unusedAddresses())
			var gate atomic.Pointer[chan struct{}]
			dep := newDeployment(b, tmpl, p.ownerOf, func(dep *deployment) backend.Client {
				m := newMemoryBackend(&dep.attempts)
				m.gate = &gate
				return m
			})
			dep.search(b, warmSearches)
			for b.Loop() {
				idle := heapInUse()
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
				running := heapInUse()
				gate.Store(nil)
				close(release)
				wg.Wait()
				b.ReportMetric((running-idle)/queries, "B/query")
				b.ReportMetric((running-idle)/queries/shards, "B/sub")
			}
		})
	}
}

// BenchmarkKeyMemory measures the memory of a shard key at its owner once both its replicas have
// served, without the template and the view. There are many, so that the fixed memory of a
// daemon does not count.
func BenchmarkKeyMemory(b *testing.B) {
	const (
		shards   = 1000
		searches = 200
	)
	tmpl := benchTemplate(b, shards, unusedAddresses())
	dep := newDeployment(b, tmpl, placements[0].ownerOf, func(dep *deployment) backend.Client { return newMemoryBackend(&dep.attempts) })
	idle := heapInUse()
	dep.search(b, searches)
	for b.Loop() {
		b.ReportMetric((heapInUse()-idle)/shards, "B/key")
	}
}
