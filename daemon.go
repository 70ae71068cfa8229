// Package gooseberrylock provides the daemon of a query tier between callers and sharded backend
// servers. A Daemon runs on every entry VM, and all daemons have the same role. The reducer in
// package core makes the decisions; this package passes events to it and executes the effects that
// it returns.
package gooseberrylock

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"

	"github.com/gooseberrylock/gooseberrylock/backend"
	"github.com/gooseberrylock/gooseberrylock/core"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer"
	"github.com/gooseberrylock/gooseberrylock/settings"
	"github.com/gooseberrylock/gooseberrylock/store"
)

// Config holds the settings of a daemon and, optionally, replacements for its adapters.
type Config struct {
	Settings settings.Settings
	Store    store.Store          // nil for the HTTP adapter with the URL in Settings.Store
	Backend  backend.Client       // nil for the HTTP adapter
	Log      *log.Logger          // nil for JSON lines on standard error
	Tracer   trace.TracerProvider // nil for an exporter as configured in Settings.Traces
}

// Daemon is one member of the query tier. Create it with New, start it with Run and stop it with
// Shutdown.
type Daemon struct {
	cfg       Config
	startedAt time.Time
	log       *logger
	metrics   *meters
	tracing   *tracing
	store     store.Store
	backend   backend.Client
	network   *peer.Network
	tls       *tls.Config

	control *controlLoop
	workers []*worker
	queries *queryTable

	listeners     listeners
	leaving       atomic.Bool   // set when a shutdown starts
	leftGroup     chan struct{} // closed when all shard keys are handed over
	leftGroupOnce sync.Once
	cancelRun     context.CancelFunc // cancels the context of Run
	runDone       chan struct{}      // closed when Run returns
	shutdownOnce  sync.Once
	stopServing   chan struct{} // closed when Run is to shut the servers down
}

// listeners holds the listeners of a daemon, one for each of its addresses.
type listeners struct {
	caller, peer, operator net.Listener
}

// New creates a daemon and binds its addresses. The daemon does not serve until Run is called. The
// error is that of loading certificates, of creating the trace exporter or the store client, or of
// binding an address.
func New(cfg Config) (*Daemon, error) {
	d := &Daemon{
		cfg:         cfg,
		startedAt:   time.Now(),
		metrics:     newMeters(),
		leftGroup:   make(chan struct{}),
		runDone:     make(chan struct{}),
		stopServing: make(chan struct{}),
	}
	d.log = newLogger(cfg.Log, cfg.Settings)
	var err error
	if d.tls, err = cfg.Settings.TLS.Load(); err != nil {
		return nil, err
	}
	if d.tracing, err = newTracing(cfg); err != nil {
		return nil, err
	}
	if err := d.connectStore(); err != nil {
		return nil, err
	}
	boot := model.Boot(rand.Uint64() | 1)
	d.backend = cfg.Backend
	if d.backend == nil {
		d.backend = backend.NewHTTP(backend.Config{Self: cfg.Settings.VM, Boot: boot})
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.network = peer.New(peer.Config{Self: cfg.Settings.VM, TLS: d.tls, Unreadable: d.reportUnreadable}, (*peerHandler)(d))
	d.buildLoops(boot)
	return d, nil
}

func (d *Daemon) connectStore() error {
	d.store = d.cfg.Store
	if d.store != nil {
		return nil
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil // the store is reached by its IP number
	s, err := store.NewHTTP(d.cfg.Settings.Store.URL, store.NewClient(transport), d.reportUnreadable)
	d.store = s
	return err
}

// reportUnreadable counts and logs an object of the store or of a peer that this version of the
// daemon cannot decode.
func (d *Daemon) reportUnreadable(key model.ObjectKey, version uint64, err error) {
	d.metrics.unreadableObjects.Inc(1)
	d.log.Warn().Str("step", "read object").Str("object", key.String()).Uint64("version", version).
		Err(err).Msg("unreadable object ignored")
}

func (d *Daemon) listen() error {
	a := d.cfg.Settings.Addresses
	for _, l := range []struct {
		step, address string
		into          *net.Listener
	}{
		{"listen for callers", a.Caller, &d.listeners.caller},
		{"listen for peers", a.Peer, &d.listeners.peer},
		{"listen for operators", a.Operator, &d.listeners.operator},
	} {
		lis, err := net.Listen("tcp", l.address)
		if err != nil {
			d.closeListeners()
			return eris.Wrapf(err, "%s at %s", l.step, l.address)
		}
		*l.into = lis
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.listeners.caller, d.listeners.peer, d.listeners.operator} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// buildLoops creates the control loop and the traffic workers.
func (d *Daemon) buildLoops(boot model.Boot) {
	s := d.cfg.Settings
	cfg := core.Config{
		Self:              s.VM,
		Boot:              boot,
		Group:             s.Group,
		Zone:              s.Zone,
		Address:           d.listeners.peer.Addr().String(),
		Seed:              rand.Uint64(),
		HeartbeatInterval: time.Duration(s.Timing.Heartbeat),
		Fence:             time.Duration(s.Timing.Fence),
		Grace:             time.Duration(s.Timing.Grace),
		DrainDelay:        time.Duration(s.Traffic.DrainDelay),
	}
	d.queries = newQueryTable(s.Traffic.Workers, s.Traffic.MaxQueries)
	d.control = newControlLoop(d, core.NewControl(cfg, d.now()))
	for i := range s.Traffic.Workers {
		cfg.Seed = rand.Uint64()
		d.workers = append(d.workers, newWorker(d, i, core.NewTraffic(cfg)))
	}
}

// now returns the monotonic time since the call of New.
func (d *Daemon) now() model.Time { return model.Time(time.Since(d.startedAt)) }

// CallerAddress returns the bound address for callers.
func (d *Daemon) CallerAddress() string { return d.listeners.caller.Addr().String() }

// OperatorAddress returns the bound address for operators.
func (d *Daemon) OperatorAddress() string { return d.listeners.operator.Addr().String() }

// PeerAddress returns the bound address for other daemons.
func (d *Daemon) PeerAddress() string { return d.listeners.peer.Addr().String() }

// Run serves until a shutdown has finished, ctx is cancelled or a part of the daemon fails. The
// cancellation of ctx stops the daemon at once, without handover of its shard keys. Run returns nil
// after a shutdown or a cancellation, and otherwise the error of the part that failed. It must be
// called only once.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, d.cancelRun = context.WithCancel(ctx)
	defer close(d.runDone)
	defer d.cancelRun()
	g, ctx := errgroup.WithContext(ctx)
	callers := d.callerServer()
	operators := d.operatorServer()
	g.Go(func() error { return d.control.run(ctx) })
	for _, w := range d.workers {
		g.Go(func() error { return w.run(ctx) })
	}
	g.Go(func() error { return d.listVMs(ctx) })
	g.Go(func() error { return d.network.Serve(d.listeners.peer) })
	g.Go(func() error { return d.serveHTTP("callers", callers, d.listeners.caller) })
	g.Go(func() error { return d.serveHTTP("operators", operators, d.listeners.operator) })
	g.Go(func() error {
		select {
		case <-d.stopServing:
			d.shutdownHTTP(callers, operators)
			d.cancelRun()
		case <-ctx.Done():
			_ = callers.Close()
			_ = operators.Close()
		}
		d.network.Close()
		return nil
	})
	d.log.Info().Str("caller", d.CallerAddress()).Str("peer", d.PeerAddress()).
		Str("operator", d.OperatorAddress()).Msg("daemon started")
	err := g.Wait()
	d.backend.Close()
	d.tracing.shutdown()
	d.log.Info().Msg("daemon stopped")
	if ctx.Err() != nil && eris.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// httpShutdownTimeout is the maximum time for the HTTP servers to finish writing responses at
// shutdown.
const httpShutdownTimeout = 5 * time.Second

func (d *Daemon) shutdownHTTP(servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			d.log.Warn().Err(err).Str("step", "shut down HTTP server").Msg("HTTP server closed before all responses were written")
		}
	}
}

// minLeaveDelay is the minimum time for which the daemon keeps sending heartbeats after the handover
// is complete, so that the other VMs receive one which shows that this VM owns no shard keys.
const minLeaveDelay = 300 * time.Millisecond

// drainPollInterval is the interval at which Shutdown checks whether requests are still running.
const drainPollInterval = 20 * time.Millisecond

// Shutdown leaves the group gracefully and stops the daemon. The daemon reports that it is not
// ready and hands its shard keys over. It still accepts requests until the load balancer has had
// time to notice, then lets running requests finish and stops. If ctx ends first, the daemon stops
// without waiting any longer. Shutdown returns once Run has ended, with the error of ctx if ctx has
// ended by then. The ctx of the first call determines the time limit.
func (d *Daemon) Shutdown(ctx context.Context) error {
	d.shutdownOnce.Do(func() { go d.leave(ctx) })
	<-d.runDone
	return eris.Wrap(ctx.Err(), "graceful shutdown")
}

// leave performs the steps of a graceful shutdown before the servers stop, or returns when ctx ends.
func (d *Daemon) leave(ctx context.Context) {
	defer close(d.stopServing)
	d.leaving.Store(true)
	d.control.enqueue(event.LeaveRequested{})
	select {
	case <-d.leftGroup:
	case <-ctx.Done():
		return
	}
	delay := time.NewTimer(max(time.Duration(d.cfg.Settings.Traffic.DrainDelay), minLeaveDelay))
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-ctx.Done():
		return
	}
	for !d.idle() {
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// idle reports whether no request of a caller and no attempt is running.
func (d *Daemon) idle() bool {
	if d.queries.running() > 0 {
		return false
	}
	for _, w := range d.workers {
		if w.runningAttempts.Load() > 0 {
			return false
		}
	}
	return true
}

// listVMsInterval is the time between two reads of the platform's list of VMs. The list is
// updated with a delay of seconds, so more frequent reads would bring no newer data.
const listVMsInterval = 5 * time.Second

// listVMs reads the platform's list of VMs periodically until ctx ends. Until the first read
// succeeds, the peers of the settings, if there are any, serve as the list.
func (d *Daemon) listVMs(ctx context.Context) error {
	if peers := d.cfg.Settings.Peers; len(peers) > 0 {
		var vms []event.ListedVM
		for _, p := range peers {
			vms = append(vms, event.ListedVM{VM: p.VM, Zone: p.Zone, Address: p.Address})
		}
		d.control.enqueue(event.VMsListed{VMs: vms})
	}
	for {
		callCtx, cancel := context.WithTimeout(ctx, time.Duration(d.cfg.Settings.Store.Timeout))
		vms, err := d.store.VMs(callCtx)
		cancel()
		if err == nil {
			d.control.enqueue(event.VMsListed{VMs: vms})
		}
		wait := listVMsInterval
		if err != nil {
			wait = listVMsInterval / 5
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}
