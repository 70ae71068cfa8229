// Package gooseberrylock is a query tier between callers and many sharded backend
// servers. A Daemon runs on every entry VM; all daemons are equal. The decisions are made by
// the reducer in package core; this package feeds it events and carries out its effects.
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

// Config holds the settings of a daemon and, optionally, other adapters than the HTTP ones.
type Config struct {
	Settings settings.Settings
	Store    store.Store          // nil for the HTTP adapter of Settings.Store
	Backend  backend.Client       // nil for the HTTP adapter
	Log      *log.Logger          // nil for JSON lines on standard error
	Tracer   trace.TracerProvider // nil for Settings.Traces
}

// Daemon is one member of the query tier. Create it with New and start it with Run.
type Daemon struct {
	cfg     Config
	start   time.Time
	log     *logger
	metrics *meters
	tracing *tracing
	store   store.Store
	backend backend.Client
	network *peer.Network
	tls     *tls.Config

	control *controlLoop
	workers []*worker
	queries *queryTable

	listeners listeners
	draining  atomic.Bool
	left      chan struct{}
	leftOnce  sync.Once
	stop      context.CancelFunc
	stopped   chan struct{}
	stopOnce  sync.Once
	stopping  chan struct{}
}

// listeners are the bound addresses of a daemon.
type listeners struct {
	caller, peer, operator net.Listener
}

// New binds the addresses of a daemon. Nothing runs until Run.
func New(cfg Config) (*Daemon, error) {
	d := &Daemon{
		cfg:      cfg,
		start:    time.Now(),
		metrics:  newMeters(),
		left:     make(chan struct{}),
		stopped:  make(chan struct{}),
		stopping: make(chan struct{}),
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
	d.network = peer.New(peer.Config{Self: cfg.Settings.VM, TLS: d.tls, Unreadable: d.unreadable}, (*peerHandler)(d))
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
	s, err := store.NewHTTP(d.cfg.Settings.Store.URL, &http.Client{Transport: transport}, d.unreadable)
	d.store = s
	return err
}

// unreadable reports an object of the store or of a peer that this version cannot read.
func (d *Daemon) unreadable(key model.ObjectKey, version uint64, err error) {
	d.metrics.unreadable.Inc(1)
	d.log.Warn().Str("step", "read object").Str("object", key.String()).Uint64("version", version).
		Err(err).Msg("object left out")
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

// now returns the monotonic time since New.
func (d *Daemon) now() model.Time { return model.Time(time.Since(d.start)) }

// CallerAddress returns the bound address for callers.
func (d *Daemon) CallerAddress() string { return d.listeners.caller.Addr().String() }

// OperatorAddress returns the bound address for operators.
func (d *Daemon) OperatorAddress() string { return d.listeners.operator.Addr().String() }

// PeerAddress returns the bound address for other daemons.
func (d *Daemon) PeerAddress() string { return d.listeners.peer.Addr().String() }

// Run serves until Shutdown has finished or ctx is cancelled, which stops the daemon at
// once.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, d.stop = context.WithCancel(ctx)
	defer close(d.stopped)
	defer d.stop()
	g, ctx := errgroup.WithContext(ctx)
	callers := d.callerServer()
	operators := d.operatorServer()
	g.Go(func() error { return d.control.run(ctx) })
	for _, w := range d.workers {
		g.Go(func() error { return w.run(ctx) })
	}
	g.Go(func() error { return d.listVMs(ctx) })
	g.Go(func() error { return d.network.Serve(d.listeners.peer) })
	g.Go(func() error { return serveHTTP(callers, d.listeners.caller, d.tls) })
	g.Go(func() error { return serveHTTP(operators, d.listeners.operator, d.tls) })
	g.Go(func() error {
		select {
		case <-d.stopping:
			d.shutdownHTTP(callers, operators)
			d.stop()
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

// httpShutdownTimeout bounds the time for responses that are being written.
const httpShutdownTimeout = 5 * time.Second

func (d *Daemon) shutdownHTTP(servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			d.log.Warn().Err(err).Str("step", "shut down HTTP server").Msg("responses were cut")
		}
	}
}

// leaveLinger is the least time for which heartbeats go on after the hand-over is complete, so
// that the others hear that this VM claims nothing any more.
const leaveLinger = 300 * time.Millisecond

// drainPoll is the interval at which Shutdown looks for running requests.
const drainPoll = 20 * time.Millisecond

// Shutdown leaves gracefully: it hands the owned shard keys over, reports not ready, takes
// requests until the balancer has had time to notice, lets running requests finish and
// then stops. It returns early with an error when ctx ends; the daemon stops then too.
func (d *Daemon) Shutdown(ctx context.Context) error {
	d.stopOnce.Do(func() { go d.leave(ctx) })
	<-d.stopped
	return eris.Wrap(ctx.Err(), "graceful shutdown")
}

func (d *Daemon) leave(ctx context.Context) {
	defer close(d.stopping)
	d.draining.Store(true)
	d.control.put(event.LeaveRequested{})
	select {
	case <-d.left:
	case <-ctx.Done():
		return
	}
	delay := time.NewTimer(max(time.Duration(d.cfg.Settings.Traffic.DrainDelay), leaveLinger))
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-ctx.Done():
		return
	}
	for !d.idle() {
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
			return
		}
	}
}

// idle reports whether no request of a caller runs and no attempt is under way.
func (d *Daemon) idle() bool {
	if d.queries.running() > 0 {
		return false
	}
	for _, w := range d.workers {
		if w.attempts.Load() > 0 {
			return false
		}
	}
	return true
}

// listInterval is the time between two readings of the platform's list of VMs. The list
// lags by seconds, so reading it more often gains nothing.
const listInterval = 5 * time.Second

// listVMs reads the platform's list of VMs until ctx ends.
func (d *Daemon) listVMs(ctx context.Context) error {
	if peers := d.cfg.Settings.Peers; len(peers) > 0 {
		var vms []event.ListedVM
		for _, p := range peers {
			vms = append(vms, event.ListedVM{VM: p.VM, Zone: p.Zone, Address: p.Address})
		}
		d.control.put(event.VMsListed{VMs: vms})
	}
	for {
		callCtx, cancel := context.WithTimeout(ctx, time.Duration(d.cfg.Settings.Store.Timeout))
		vms, err := d.store.VMs(callCtx)
		cancel()
		if err == nil {
			d.control.put(event.VMsListed{VMs: vms})
		}
		wait := listInterval
		if err != nil {
			wait = listInterval / 5
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

func serveHTTP(s *http.Server, lis net.Listener, tlsConfig *tls.Config) error {
	if tlsConfig != nil {
		lis = tls.NewListener(lis, tlsConfig)
	}
	if err := s.Serve(lis); err != nil && !eris.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serve HTTP at %s", lis.Addr())
	}
	return nil
}
