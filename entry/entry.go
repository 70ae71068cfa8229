// Package entry runs an entry VM. One goroutine runs the control reducer (core/directory), a
// second one the traffic reducer (core/dispatch); the package performs the I/O that their effects
// request. All decisions are made by the reducers.
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
	"github.com/gooseberrylock/gooseberrylock/internal/clock"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer/forward"
	"github.com/gooseberrylock/gooseberrylock/peer/relay"
)

// Catalog reads and writes the objects of the store that an entry VM needs.
type Catalog interface {
	// List reads all objects of a kind. With an error, the result still has the era of the store if that is
	// known, and so has that of Watch.
	List(ctx context.Context, kind directory.Kind) (directory.Listed, error)
	// Watch waits until objects of a kind have changed since a position, or until the duration wait
	// has passed, and returns the changes. The error is ErrHistoryGone if the store has discarded the changes since that revision.
	// The store knows positions only by their revision: whether the answer is of the same era is for the caller to check.
	Watch(ctx context.Context, kind directory.Kind, since model.Position, wait time.Duration) (directory.Changed, error)
	// Register writes the registration of this VM and replaces an existing one.
	Register(ctx context.Context, vm model.EntryVM) error
	// RemoveRegistration removes the registration of a VM. It fails if that has changed since position.
	RemoveRegistration(ctx context.Context, vm model.VM, position model.Position) error
	// WriteRolloutState writes the state of a rollout. It fails if the rollout's object has
	// changed since rollout.Position.
	WriteRolloutState(ctx context.Context, rollout model.Rollout, state model.RolloutState) error
	// CloseIdle closes the connections that no call uses, so that the next calls open new ones.
	CloseIdle()
	// Decode decodes an object in the store's encoding.
	Decode(kind directory.Kind, data []byte) directory.Change
}

// ErrHistoryGone means that the store has discarded changes that a watch asked for. The kind must
// be listed again.
var ErrHistoryGone = errors.New("the store has discarded this history")

// Request is a caller's request in the form in which it is sent to backend servers.
type Request struct {
	CallerID string // request ID chosen by the caller
	Method   string
	Target   string // path and query as the caller sent them
	Host     string // as the caller sent it
	Header   map[string][]string
	Body     []byte

	RouteHost     string        // host without port, for the route lookup
	RoutePath     string        // path without query, for the route lookup
	CallerTimeout time.Duration // time until the caller's deadline; 0 if the caller set none
}

// Backend sends requests to backend servers.
type Backend interface {
	// Send runs one attempt and returns how it ended, without the attempt's ID. The outcome is NotSent
	// only if no byte of the request can have reached the server. The reply is nil unless the outcome is
	// Answered; the cause is set otherwise.
	Send(ctx context.Context, a Attempt) dispatch.AttemptEnded
}

// Attempt is a request to one backend server.
type Attempt struct {
	Server        model.Replica
	Request       *Request
	Left          time.Duration // time until the deadline
	MaxReplyBytes int64         // size limit of the reply's body
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
	Canary    model.RolloutLimit
	Directory directory.Config
	// ReadSlack is added to the wait time of a store watch to get its timeout.
	ReadSlack time.Duration
	// DrainDelay is the time after the start of a stop for which new requests are still accepted.
	// AnswerDelay is the time by which all requests have been answered.
	DrainDelay, AnswerDelay time.Duration
}

const (
	defaultReadSlack    = 700 * time.Millisecond
	listTimeout         = 2 * time.Second
	registerTimeout     = 2 * time.Second
	checkTimeout        = 2 * time.Second
	rolloutWriteTimeout = time.Second
	// eventQueueSize bounds the events that wait for each reducer.
	eventQueueSize = 4096
)

// Validate returns an error for the first setting that is out of range.
func (c Config) Validate() error {
	if c.VM.Name == "" {
		return errors.New("entry: VM name is empty")
	}
	if c.ReadSlack <= 0 || c.DrainDelay <= 0 {
		return errors.New("entry: timeout ReadSlack or DrainDelay is not positive")
	}
	if c.AnswerDelay < c.DrainDelay {
		return errors.New("entry: AnswerDelay is shorter than DrainDelay")
	}
	if err := c.directoryConfig().Validate(); err != nil {
		return err
	}
	return c.dispatchConfig().Validate()
}

func (c Config) directoryConfig() directory.Config {
	d := c.Directory
	d.Canary = c.Canary
	return d
}

func (c Config) dispatchConfig() dispatch.Config {
	return dispatch.Config{Self: c.VM.Name, Zone: c.VM.Zone, Seed: c.Seed, Budget: c.Budget, Cold: c.Cold, Canary: c.Canary}
}

// DefaultConfig returns default settings for a VM. It leaves DrainDelay, AnswerDelay, Budget, Cold and
// Canary zero.
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
	clock   *clock.Clock
	// controlDue is the model.Time at which the control goroutine has asked to be woken, 0 at first.
	controlDue atomic.Int64

	trafficEvents chan dispatch.Event
	controlEvents chan directory.Event
	view          atomic.Pointer[model.EntryView]
	ready         atomic.Bool
	readyOnce     atomic.Bool   // set when the VM first becomes ready or begins to stop
	lastID        atomic.Uint64 // the query ID assigned last
	running       atomic.Int64

	mu        sync.Mutex
	pending   map[model.QueryID]*pendingRequest
	forwarded map[forwardedQuery]model.QueryID

	forward         *forward.Network
	viewConfirmedAt atomic.Int64 // model.Time from which viewAge counts
	relay           *relay.Network
	knownPositions  [directory.KindCount]atomic.Pointer[model.Position] // by kind
	done            chan struct{}                                       // closed when Run returns
	wg              sync.WaitGroup
}

// pendingRequest is a request that has not been answered yet.
type pendingRequest struct {
	req       *Request
	span      trace.Span
	answer    chan Answer    // nil for a query that another VM has forwarded
	forwarded forwardedQuery // zero for a request of a local caller
}

// New returns an entry VM. Run starts it.
func New(cfg Config, catalog Catalog, backend Backend, log *Log, meters *Meters, tracer trace.Tracer) (*Tier, error) {
	if err := cfg.Validate(); err != nil {
		return nil, eris.Wrap(err, "settings of the entry VM")
	}
	t := &Tier{
		cfg:           cfg,
		catalog:       catalog,
		backend:       backend,
		log:           log,
		tracer:        tracer,
		meters:        meters,
		clock:         clock.New(),
		trafficEvents: make(chan dispatch.Event, eventQueueSize),
		controlEvents: make(chan directory.Event, eventQueueSize),
		pending:       make(map[model.QueryID]*pendingRequest),
		forwarded:     make(map[forwardedQuery]model.QueryID),
		done:          make(chan struct{}),
	}
	t.forward = forward.New(forwardHandler{t: t})
	t.relay = relay.New(cfg.VM.Name, relayHandler{t: t}, catalog.Decode)
	t.view.Store(&model.EntryView{ServingVMs: 1})
	return t, nil
}

func (t *Tier) now() model.Time { return model.Time(t.clock.Now()) }

// pauseThreshold is how late the control goroutine may run. If it is later, this VM was paused or
// suspended, and what it knows may have been withdrawn meanwhile.
const pauseThreshold = time.Second

// wasPaused reports whether the control goroutine is overdue by pauseThreshold.
func (t *Tier) wasPaused(now model.Time) bool {
	due := model.Time(t.controlDue.Load())
	return due != 0 && now.Sub(due) >= pauseThreshold
}

// Run runs both reducers and returns when ctx ends.
func (t *Tier) Run(ctx context.Context) {
	t.wg.Go(func() { t.runControl(ctx) })
	t.wg.Go(func() { t.runTraffic(ctx) })
	t.wg.Wait()
	close(t.done)
}

// Ready reports whether the view has become complete enough to serve callers and no stop has begun.
func (t *Tier) Ready() bool { return t.ready.Load() }

// Running returns the number of requests in progress, forwarded ones included.
func (t *Tier) Running() int { return int(t.running.Load()) }

// Limits returns the limits on callers' requests. The second result is false until a configuration
// has been read.
func (t *Tier) Limits() (model.EntryLimits, bool) {
	cfg := t.view.Load().Config
	if cfg == nil {
		return model.EntryLimits{}, false
	}
	return cfg.Limits, true
}

// RouteTimeout returns the timeout of the route that serves a host and path, or 0 if there is none.
func (t *Tier) RouteTimeout(host, path string) time.Duration {
	cfg := t.view.Load().Config
	if cfg == nil {
		return 0
	}
	if r := cfg.FindRoute(host, path); r != nil {
		return r.Timeout
	}
	return 0
}

// Version returns the version of the configuration in force, or 0 if none has been read.
func (t *Tier) Version() uint64 {
	if cfg := t.view.Load().Config; cfg != nil {
		return cfg.Version
	}
	return 0
}

// Stop makes the VM unready. Requests that arrive more than Config.DrainDelay later are refused, and all
// requests are answered before Config.AnswerDelay has passed.
func (t *Tier) Stop() {
	t.readyOnce.Store(true)
	t.ready.Store(false)
	t.relay.AnnounceLeave()
	now := t.now()
	t.trafficEvents <- dispatch.StopStarted{End: now.Add(t.cfg.DrainDelay), AnswerBy: now.Add(t.cfg.AnswerDelay)}
}

// Handle answers one request. The second result is false if ctx ended before the answer.
func (t *Tier) Handle(ctx context.Context, r *Request) (Answer, bool) {
	t.running.Add(1)
	defer t.running.Add(-1)
	id := model.QueryID(t.lastID.Add(1))
	span := t.startRequest(ctx, r)
	defer span.End()
	p := &pendingRequest{req: r, span: span, answer: make(chan Answer, 1)}
	t.mu.Lock()
	t.pending[id] = p
	t.mu.Unlock()
	defer t.removePending(id)
	t.trafficEvents <- dispatch.RequestReceived{
		Query: id, CallerID: r.CallerID, Host: r.RouteHost, Path: r.RoutePath, CallerTimeout: r.CallerTimeout,
		ViewAge: t.viewAge(),
	}
	select {
	case a := <-p.answer:
		return a, true
	case <-ctx.Done():
		t.trafficEvents <- dispatch.CallerGone{Query: id}
		return Answer{}, false
	}
}

// viewAge returns the time since the store last confirmed all parts of the view that decide where a
// request may go.
func (t *Tier) viewAge() time.Duration { return t.now().Sub(model.Time(t.viewConfirmedAt.Load())) }

func (t *Tier) removePending(id model.QueryID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, id)
}

func (t *Tier) lookupPending(id model.QueryID) (*pendingRequest, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pending[id]
	return p, ok
}
