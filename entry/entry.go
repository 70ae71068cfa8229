// Package entry runs an entry VM: one goroutine for the control state, one for the traffic
// state, and the I/O that their effects ask for. It decides nothing itself.
package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace"

	"github.com/gooseberrylock/gooseberrylock/core/directory"
	"github.com/gooseberrylock/gooseberrylock/core/dispatch"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer/forward"
	"github.com/gooseberrylock/gooseberrylock/peer/relay"
)

// Catalog reads and writes the objects of the store that an entry VM needs.
type Catalog interface {
	// List reads all objects of a kind.
	List(ctx context.Context, kind directory.Kind) (directory.Listed, error)
	// Watch waits for changes of a kind since a revision. The error is ErrHistoryGone if the
	// store no longer knows them.
	Watch(ctx context.Context, kind directory.Kind, since uint64, wait time.Duration) (directory.Changed, error)
	// Register writes the entry of this VM. Again tells that it has been written before.
	Register(ctx context.Context, vm model.EntryVM, again bool) error
	// Conclude writes the state of a rollout. It fails if the object has changed since the
	// revision of the rollout.
	Conclude(ctx context.Context, rollout model.Rollout, state model.RolloutState) error
	// Decode reads an object as the store sent it.
	Decode(kind directory.Kind, data []byte) directory.Change
}

// ErrHistoryGone means that the store has discarded the history that a watch asked for.
var ErrHistoryGone = errors.New("the store has discarded this history")

// Request is a caller's request, as it goes to backend servers.
type Request struct {
	CallerID string // ID that the caller gave it
	Method   string
	Target   string // path and query as the caller sent them
	Host     string // as the caller sent it
	Header   map[string][]string
	Body     []byte

	RouteHost string // host without port, to find the route
	RoutePath string
	Patience  time.Duration // what is left of the caller's deadline; 0 if it stated none
}

// Backend sends requests to backend servers.
type Backend interface {
	// Send runs one attempt. The outcome is NotSent only if no byte of the request can have
	// reached the server. The string tells the cause of an outcome without a reply.
	Send(ctx context.Context, server model.Replica, r *Request, left time.Duration) (dispatch.Outcome, *dispatch.Reply, string)
}

// Answer is the final answer to a request: exactly one field is set.
type Answer struct {
	Reply    *dispatch.Reply
	Gathered *dispatch.GatheredReply
	Refusal  *dispatch.Refuse
}

// Config are the settings of an entry VM.
type Config struct {
	VM        model.EntryVM
	Seed      uint64
	Budget    dispatch.BudgetConfig
	Cold      dispatch.ColdConfig
	Canary    dispatch.CanaryConfig
	Directory directory.Config
	// ReadSlack is how long a read of the store may take beyond the time that it waits.
	ReadSlack time.Duration
	// StopWork is how long after the start of a stop requests are still taken.
	StopWork time.Duration
}

const (
	defaultReadSlack = 700 * time.Millisecond
	listTimeout      = 2 * time.Second
	registerTimeout  = 2 * time.Second
	concludeTimeout  = time.Second
	// inboxSize bounds the events that wait for the reducer of the traffic.
	inboxSize = 4096
)

// Validate reports the first setting that is out of its range.
func (c Config) Validate() error {
	if c.VM.Name == "" {
		return errors.New("entry: the name of the VM is empty")
	}
	if c.ReadSlack <= 0 || c.StopWork <= 0 {
		return errors.New("entry: a timeout is not positive")
	}
	if err := c.Directory.Validate(); err != nil {
		return err
	}
	return c.dispatchConfig().Validate()
}

func (c Config) dispatchConfig() dispatch.Config {
	return dispatch.Config{Self: c.VM.Name, Zone: c.VM.Zone, Seed: c.Seed, Budget: c.Budget, Cold: c.Cold, Canary: c.Canary}
}

// DefaultConfig returns the settings for a VM.
func DefaultConfig(vm model.EntryVM) Config {
	return Config{
		VM:        vm,
		Seed:      uint64(vm.Boot),
		Directory: directory.DefaultConfig(vm.Name, vm.Boot),
		ReadSlack: defaultReadSlack,
	}
}

// Tier is a running entry VM.
type Tier struct {
	cfg     Config
	catalog Catalog
	backend Backend
	log     *Log
	tracer  trace.Tracer
	meters  *Meters
	start   time.Time

	inbox     chan dispatch.Event
	reads     chan directory.Event
	view      atomic.Pointer[model.EntryView]
	ready     atomic.Bool
	readyOnce atomic.Bool // set when the VM has first become ready, or stops
	nextID    atomic.Uint64
	running   atomic.Int64

	mu      sync.Mutex
	pending map[model.QueryID]*pending
	handed  map[handedQuery]model.QueryID

	forward *forward.Network
	okAt    atomic.Int64 // model.Time at which the oldest of the beliefs was confirmed
	relay   *relay.Network
	known   [directory.KindCount]atomic.Uint64 // revisions, by kind
	done    chan struct{}                      // closed when Run ends
	wg      sync.WaitGroup
}

// pending is a request whose caller waits.
type pending struct {
	req    *Request
	span   trace.Span
	answer chan Answer // nil for a query that another VM has handed over
	handed handedQuery
}

// New returns an entry VM that is not running yet.
func New(cfg Config, catalog Catalog, backend Backend, log *Log, meters *Meters, tracer trace.Tracer) (*Tier, error) {
	if err := cfg.Validate(); err != nil {
		return nil, eris.Wrap(err, "settings of the entry VM")
	}
	t := &Tier{
		cfg:     cfg,
		catalog: catalog,
		backend: backend,
		log:     log,
		tracer:  tracer,
		meters:  meters,
		start:   time.Now(),
		inbox:   make(chan dispatch.Event, inboxSize),
		reads:   make(chan directory.Event, inboxSize),
		pending: make(map[model.QueryID]*pending),
		handed:  make(map[handedQuery]model.QueryID),
		done:    make(chan struct{}),
	}
	t.forward = forward.New(forwardHandler{t: t})
	t.relay = relay.New(cfg.VM.Name, relayHandler{t: t}, catalog.Decode)
	t.view.Store(&model.EntryView{ServingVMs: 1})
	return t, nil
}

func (t *Tier) now() model.Time { return model.Time(time.Since(t.start)) }

// Run works until ctx ends.
func (t *Tier) Run(ctx context.Context) {
	t.wg.Go(func() { t.runControl(ctx) })
	t.wg.Go(func() { t.runTraffic(ctx) })
	t.wg.Wait()
	close(t.done)
}

// Ready reports whether enough is known to serve callers and no stop has begun.
func (t *Tier) Ready() bool { return t.ready.Load() }

// Running returns the number of requests that are being handled.
func (t *Tier) Running() int { return int(t.running.Load()) }

// Limits returns what callers may send; the second result is false until it is known.
func (t *Tier) Limits() (model.EntryLimits, bool) {
	cfg := t.view.Load().Config
	if cfg == nil {
		return model.EntryLimits{}, false
	}
	return cfg.Limits, true
}

// Version returns the version of the configuration in force, 0 if none is.
func (t *Tier) Version() uint64 {
	if cfg := t.view.Load().Config; cfg != nil {
		return cfg.Version
	}
	return 0
}

// Stop makes the VM unready. Requests that arrive more than StopWork later are refused.
func (t *Tier) Stop() {
	t.readyOnce.Store(true)
	t.ready.Store(false)
	t.relay.Leave()
	t.inbox <- dispatch.StopStarted{End: t.now().Add(t.cfg.StopWork)}
}

// Handle answers one request. The second result is false if the caller left.
func (t *Tier) Handle(ctx context.Context, r *Request) (Answer, bool) {
	t.running.Add(1)
	defer t.running.Add(-1)
	id := model.QueryID(t.nextID.Add(1))
	span := t.startRequest(ctx, r)
	defer span.End()
	p := &pending{req: r, span: span, answer: make(chan Answer, 1)}
	t.mu.Lock()
	t.pending[id] = p
	t.mu.Unlock()
	defer t.forget(id)
	t.inbox <- dispatch.RequestReceived{
		Query: id, CallerID: r.CallerID, Host: r.RouteHost, Path: r.RoutePath, CallerTimeout: r.Patience,
		ViewAge: t.age(),
	}
	select {
	case a := <-p.answer:
		return a, true
	case <-ctx.Done():
		t.inbox <- dispatch.CallerGone{Query: id}
		return Answer{}, false
	}
}

// age returns how old the oldest of the beliefs is that decide where a request may go.
func (t *Tier) age() time.Duration { return t.now().Sub(model.Time(t.okAt.Load())) }

func (t *Tier) forget(id model.QueryID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, id)
}

func (t *Tier) lookup(id model.QueryID) (*pending, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pending[id]
	return p, ok
}
