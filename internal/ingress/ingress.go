// Package ingress serves the HTTP/1.1 connections of callers within limits on time, connections and
// memory. Package net/http does not bound the memory of all requests together, its bound on heads
// is a constant, and it has no timeout for a body that can change while the server runs. What is given
// up when a limit is reached is decided by package core/intake.
package ingress

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/intake"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// ConnBytes is the approximate memory of a connection without a request: buffers and a goroutine.
	ConnBytes = 20 << 10
	// SmallRequestBytes is the memory for the request and answer of a connection that no other one can use. An
	// ordinary header takes about 5 KiB.
	SmallRequestBytes = 8 << 10
	// defaultMaxHeaderBytes applies until a limit is known.
	defaultMaxHeaderBytes = 64 << 10
	// defaultHeaderTimeout and defaultIdleTimeout apply until these timeouts are known.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 5 * time.Minute
	// DefaultBodyTimeout is the time to receive the body of a request that states no deadline.
	DefaultBodyTimeout = 30 * time.Second
	// DefaultWriteTimeout is the time in which a caller must take writeBytes of its answer.
	DefaultWriteTimeout = 30 * time.Second
)

// Limits are limits that may change while the server runs. Zero values stand for the defaults.
type Limits struct {
	MaxHeaderBytes int           // request line and header lines of one request
	HeaderTimeout  time.Duration // from the first byte of a request to the end of its head
	IdleTimeout    time.Duration // before the first byte of a request
}

func (l Limits) withDefaults() Limits {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// Config holds the limits of a Guard.
type Config struct {
	Intake       intake.Config
	BodyTimeout  time.Duration // for a body whose handler sets no timeout of its own
	WriteTimeout time.Duration // to write writeBytes of an answer
	// Limits returns the limits in force.
	Limits func() Limits
	// Observe is called for each refusal, if it is set. It must not block.
	Observe func(Refusal)
}

// Refusal is a connection or request that was given up because of a limit.
type Refusal struct {
	Cause  Cause
	Remote string // address of the caller
}

// Cause is the limit that led to a Refusal.
type Cause int

const (
	// NoConnection means that a new connection was closed, since all others run requests.
	NoConnection Cause = iota
	// Replaced means that an unused connection was closed for a new one.
	Replaced
	// MemoryFull means that a request was refused, or an unread answer cut off, for its memory.
	MemoryFull
	// HeadTooLarge means that a head exceeded its limit.
	HeadTooLarge
	// BodyTooLarge means that a body exceeded its limit.
	BodyTooLarge
	// TimedOut means that a head or body was not complete in time.
	TimedOut
	causes
)

var causeNames = [causes]string{"no_connection", "replaced", "memory_full", "head_too_large", "body_too_large", "timed_out"}

// String returns the name of the cause in logs and metrics.
func (c Cause) String() string { return causeNames[c] }

// Causes returns all causes.
func Causes() []Cause {
	all := make([]Cause, causes)
	for i := range all {
		all[i] = Cause(i)
	}
	return all
}

// Validate returns an error for the first setting that is out of range.
func (c Config) Validate() error {
	if c.BodyTimeout <= 0 || c.WriteTimeout <= 0 {
		return errors.New("ingress: timeouts must be positive")
	}
	if c.Limits == nil {
		return errors.New("ingress: Limits is not set")
	}
	return c.Intake.Validate()
}

// Guard keeps the connections of one HTTP server within limits.
type Guard struct {
	cfg   Config
	table *intake.Table
	start time.Time
}

// New returns a guard.
func New(cfg Config) (*Guard, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Guard{cfg: cfg, table: intake.New(cfg.Intake), start: time.Now()}, nil
}

// Usage returns what the connections hold now.
func (g *Guard) Usage() intake.Usage { return g.table.Usage() }

func (g *Guard) observe(cause Cause, nc net.Conn) {
	if g.cfg.Observe != nil {
		g.cfg.Observe(Refusal{Cause: cause, Remote: nc.RemoteAddr().String()})
	}
}

func (g *Guard) now() model.Time { return model.Time(time.Since(g.start)) }

func (g *Guard) limits() Limits { return g.cfg.Limits().withDefaults() }

// Serve serves srv on lis within the limits. It replaces the timeouts of srv and its hooks for connections.
func (g *Guard) Serve(srv *http.Server, lis net.Listener) error {
	srv.ReadTimeout, srv.ReadHeaderTimeout, srv.WriteTimeout, srv.IdleTimeout = 0, 0, 0, 0
	srv.MaxHeaderBytes = math.MaxInt32 // conn applies the limit in force
	srv.ConnState = stateChanged
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	srv.Handler = guardedHandler{srv.Handler}
	boundReceiveBuffers(lis)
	return srv.Serve(listener{Listener: lis, guard: g})
}

// guardedHandler calls a handler for the requests that have not been refused.
type guardedHandler struct{ inner http.Handler }

// ServeHTTP implements http.Handler.
func (h guardedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r)
	if c == nil {
		h.inner.ServeHTTP(w, r)
		return
	}
	if c.headReceived(r.ContentLength != 0) != nil {
		Overloaded(w)
	} else {
		h.inner.ServeHTTP(w, r)
	}
	if c.refusal() != nil {
		// net/http keeps the request while it waits for the caller to read the refusal.
		r.Header = nil
	}
}

// receiveBufferBytes bounds what the kernel holds of one connection's unread input.
const receiveBufferBytes = 32 << 10

// boundReceiveBuffers sets the size of the receive buffers of the connections that lis accepts. Where that is
// not possible, the kernel's own bound stays in force.
func boundReceiveBuffers(lis net.Listener) {
	socket, ok := lis.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connOf returns the connection of a request, or nil if no guard serves it.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

func stateChanged(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*conn); ok && state == http.StateIdle {
		c.answered()
	}
}

// listener accepts connections for which there is room.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, err := newConn(l.guard, nc)
		if err != nil {
			l.guard.observe(NoConnection, nc)
			_ = nc.Close() // the caller may come again; nothing has been read from it
			continue
		}
		return c, nil
	}
}
