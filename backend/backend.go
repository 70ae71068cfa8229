// Package backend sends attempts to backend servers. Client is the interface that the daemon uses;
// HTTP implements it for servers that implement api/backend.yaml.
package backend

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	api "github.com/gooseberrylock/gooseberrylock/api/backend"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/quota"
	"github.com/gooseberrylock/gooseberrylock/internal/answers"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Client sends attempts to backend servers.
type Client interface {
	// Execute sends one attempt and waits until it ends, its timeout passes or ctx is cancelled.
	// It never sends the attempt more than once. If Outcome.NotRun reports true for the result, it
	// is certain that the server did not run the attempt.
	Execute(ctx context.Context, a *effect.StartAttempt) model.AttemptResult
	// RetainServers discards the connection pools of all backend servers that are not in servers. It does
	// not interrupt running attempts.
	RetainServers(servers []model.BackendServer)
	// Close closes the idle connections to all backend servers.
	Close()
}

// idleTimeout is how long an idle connection stays open. Connections to the servers of a
// shard key that this daemon no longer owns are closed after this time, so that they do not use up
// the servers' connection limits, which the next owner needs.
const idleTimeout = 30 * time.Second

// replyLimits bound the bodies of unfinished replies of all servers together, and of one reply.
var replyLimits = quota.Config{Total: 16 << 20, PerReply: 8 << 20}

// Config is the identity of the daemon that sends the attempts, and the TLS configuration.
type Config struct {
	Self model.VM
	Boot model.Boot
	TLS  *tls.Config // nil for plain HTTP
}

// HTTP implements Client with the HTTP API of api/backend.yaml. It keeps one connection pool for
// each backend server and may be used concurrently.
type HTTP struct {
	cfg          Config
	replies      *quota.Pool   // unfinished replies of all servers
	attemptCount atomic.Uint64 // attempts sent so far, for attempt IDs

	mu      sync.Mutex
	servers map[serverKey]*server
}

type serverKey struct {
	id      model.BackendServerID
	address string
}

type server struct {
	limits    model.Limits
	client    *api.Client
	transport *http.Transport
}

// NewHTTP returns a client that opens its connections when they are needed.
func NewHTTP(cfg Config) *HTTP {
	return &HTTP{cfg: cfg, replies: quota.New(replyLimits), servers: make(map[serverKey]*server)}
}

// serverClient returns the client of a backend server. Each client has its own connection pool, which
// stays within the server's connection limit. When the limits change, a new client replaces the old
// one, whose pool closes each connection as soon as the attempt that uses it has ended.
func (h *HTTP) serverClient(b *model.BackendServer, limits model.Limits) (*server, error) {
	key := serverKey{id: b.ID, address: b.Address}
	h.mu.Lock()
	defer h.mu.Unlock()
	old, ok := h.servers[key]
	if ok && old.limits.Connections == limits.Connections && old.limits.Slots == limits.Slots {
		return old, nil
	}
	transport := &http.Transport{
		MaxConnsPerHost:        limits.Connections,
		MaxIdleConnsPerHost:    limits.Slots + 1,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: answers.MaxHeaderBytes,
		TLSClientConfig:        h.cfg.TLS,
		DisableCompression:     true,
	}
	bounded := &answers.Transport{Next: transport, Pool: h.replies, PerBody: replyLimits.PerReply}
	scheme := "http"
	if h.cfg.TLS != nil {
		scheme = "https"
	}
	client, err := api.NewClient(scheme+"://"+b.Address, api.WithClient(&http.Client{Transport: bounded}))
	if err != nil {
		return nil, eris.Wrapf(err, "backend server %s", b.ID)
	}
	if old != nil {
		old.transport.CloseIdleConnections()
	}
	s := &server{limits: limits, client: client, transport: transport}
	h.servers[key] = s
	return s, nil
}

// minErrorStatus and maxErrorStatus bound the statuses with which a server refuses an attempt or reports an error.
// A response with another status says nothing about the attempt.
const (
	minErrorStatus = 400
	maxErrorStatus = 599
)

// Execute implements Client.
func (h *HTTP) Execute(ctx context.Context, a *effect.StartAttempt) model.AttemptResult {
	s, err := h.serverClient(&a.Server, a.Limits)
	if err != nil {
		return model.AttemptResult{Outcome: model.OutcomeNoServer, Reason: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	res, err := s.client.Execute(ctx, newRequest(a), api.ExecuteParams{
		XAttemptID:  h.attemptID(),
		XTimeoutMs:  max(a.Timeout.Milliseconds(), 1),
		Traceparent: traceparent(a.Trace),
	})
	if err != nil {
		return errorResult(ctx, a, connected.Load(), err)
	}
	switch r := res.(type) {
	case *api.ExecuteResponse:
		return successResult(r)
	case *api.ExecuteErrorStatusCode:
		if r.StatusCode < minErrorStatus || r.StatusCode > maxErrorStatus {
			return model.AttemptResult{Outcome: model.OutcomeLost, Reason: fmt.Sprintf("status %d is not that of an answer", r.StatusCode)}
		}
		return refusalResult(&r.Response)
	}
	return model.AttemptResult{Outcome: model.OutcomeFailed, Reason: fmt.Sprintf("unexpected response %T", res)}
}

// attemptID returns an ID that is unique among the attempts of all daemons. The attempt numbers in
// effects are not unique, because each traffic worker counts its own.
func (h *HTTP) attemptID() string {
	return fmt.Sprintf("%s-%s-%d", h.cfg.Self, h.cfg.Boot, h.attemptCount.Add(1))
}

// RetainServers implements Client.
func (h *HTTP) RetainServers(servers []model.BackendServer) {
	keep := make(map[serverKey]bool, len(servers))
	for i := range servers {
		keep[serverKey{id: servers[i].ID, address: servers[i].Address}] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, s := range h.servers {
		if !keep[key] {
			s.transport.CloseIdleConnections()
			delete(h.servers, key)
		}
	}
}

// Close implements Client.
func (h *HTTP) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.servers {
		s.transport.CloseIdleConnections()
	}
}

func newRequest(a *effect.StartAttempt) *api.ExecuteRequest {
	r := &api.ExecuteRequest{
		Kind:     api.ExecuteRequestKind(a.Kind.String()),
		Customer: string(a.Key.Customer),
		Route:    string(a.Key.Route.Route),
		Version:  string(a.Key.Version),
		Shard:    string(a.Key.Shard),
		Query:    string(a.Payload),
	}
	if a.Snapshot > 0 {
		r.Snapshot = api.NewOptInt64(int64(a.Snapshot))
	}
	if a.Limit > 0 {
		r.Limit = api.NewOptInt(a.Limit)
	}
	if a.Dedupe != "" {
		r.Key = api.NewOptString(a.Dedupe)
	}
	return r
}

func traceparent(t model.TraceContext) api.OptString {
	if t == (model.TraceContext{}) {
		return api.OptString{}
	}
	return api.NewOptString(fmt.Sprintf("00-%x-%x-01", t.TraceID, t.SpanID))
}

func successResult(r *api.ExecuteResponse) model.AttemptResult {
	res := model.AttemptResult{
		Outcome:  model.OutcomeOK,
		Boot:     model.Boot(r.State.Boot),
		Snapshot: model.Snapshot(r.Snapshot),
		Oldest:   model.Snapshot(r.State.Oldest),
		Newest:   model.Snapshot(r.State.Newest),
		Hits:     make([]model.Hit, 0, len(r.Hits)),
	}
	for _, h := range r.Hits {
		hit := model.Hit{Document: h.Document, Score: h.Score}
		if body, ok := h.Body.Get(); ok {
			hit.Body = []byte(body)
		}
		res.Hits = append(res.Hits, hit)
	}
	return res
}

func refusalResult(r *api.ExecuteError) model.AttemptResult {
	res := model.AttemptResult{Reason: string(r.Code) + ": " + r.Reason}
	switch r.Code {
	case api.ExecuteErrorCodeShed, api.ExecuteErrorCodeDraining:
		res.Outcome = model.OutcomeShed
	case api.ExecuteErrorCodeSnapshotGone:
		res.Outcome = model.OutcomeSnapshotGone
	case api.ExecuteErrorCodeExpired:
		res.Outcome = model.OutcomeExpired
	case api.ExecuteErrorCodeTimeout:
		res.Outcome = model.OutcomeTimeout
	default:
		res.Outcome = model.OutcomeFailed
	}
	if s, ok := r.State.Get(); ok {
		res.Boot = model.Boot(s.Boot)
		res.Oldest = model.Snapshot(s.Oldest)
		res.Newest = model.Snapshot(s.Newest)
	}
	return res
}

// errorResult returns the result of an attempt that ended without a valid response. Only an attempt
// that got no connection is certain not to have run.
func errorResult(ctx context.Context, a *effect.StartAttempt, connected bool, err error) model.AttemptResult {
	res := model.AttemptResult{
		Outcome: model.OutcomeLost,
		Reason:  eris.Wrapf(err, "attempt at backend server %s", a.Server.ID).Error(),
	}
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial" && ctx.Err() == nil:
		res.Outcome = model.OutcomeRefusedConnection
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && !connected:
		res.Outcome = model.OutcomeRefusedConnection
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		res.Outcome = model.OutcomeTimeout
	case errors.Is(ctx.Err(), context.Canceled):
		res.Outcome = model.OutcomeCancelled
	}
	return res
}
