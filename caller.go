package gooseberrylock

import (
	"context"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/trace"

	api "github.com/gooseberrylock/gooseberrylock/api/caller"
	"github.com/gooseberrylock/gooseberrylock/internal/ingress"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// busyRetryAfter is the retry-after time in a refusal because the daemon already runs the
	// maximum number of requests.
	busyRetryAfter = 100 * time.Millisecond
	// headerTimeout is the time within which a client must send the headers of a request, from their first byte.
	headerTimeout = 10 * time.Second
)

// callerServer returns the HTTP server for requests of callers, /healthz and /readyz.
func (d *Daemon) callerServer() *http.Server {
	h, err := api.NewServer(&callerHandler{d: d}, api.WithTracerProvider(d.tracing.provider))
	if err != nil {
		panic(err) // possible only if the generated code is wrong
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", d.tracing.extractTraceContext(h))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return &http.Server{Handler: ingress.LimitBodies(d.cfg.Settings.Limits.MaxBody, mux)}
}

// Ready reports whether the daemon has at least one template and has not started to leave. A daemon
// that is not ready may still accept requests, until the load balancer has had time to notice.
func (d *Daemon) Ready() bool { return !d.leaving.Load() && d.metrics.ready.Load() }

// callerHandler implements the generated caller API.
type callerHandler struct{ d *Daemon }

// Search implements api.Handler.
func (h *callerHandler) Search(ctx context.Context, req *api.SearchRequest, p api.SearchParams) (*api.Answer, error) {
	r := searchRequest(req, p.Customer, p.Route)
	return h.execute(ctx, r)
}

// Read implements api.Handler.
func (h *callerHandler) Read(ctx context.Context, req *api.SearchRequest, p api.ReadParams) (*api.Answer, error) {
	r := searchRequest(req, p.Customer, p.Route)
	r.Kind = model.KindRead
	r.Shard = model.ShardID(p.Shard)
	return h.execute(ctx, r)
}

// Submit implements api.Handler.
func (h *callerHandler) Submit(ctx context.Context, req *api.SubmitRequest, p api.SubmitParams) (*api.Answer, error) {
	return h.execute(ctx, model.Request{
		Route:       model.Route{Customer: model.CustomerID(p.Customer), Route: model.RouteID(p.Route)},
		Kind:        model.KindSubmit,
		Shard:       model.ShardID(p.Shard),
		ClassName:   req.Class.Or(""),
		Budget:      time.Duration(req.DeadlineMs.Or(0)) * time.Millisecond,
		MinCoverage: -1,
		Key:         req.Key.Or(""),
		Repeat:      req.Repeat.Or(false),
		Payload:     []byte(req.Query),
	})
}

func searchRequest(req *api.SearchRequest, customer, route string) model.Request {
	return model.Request{
		Route:       model.Route{Customer: model.CustomerID(customer), Route: model.RouteID(route)},
		Kind:        model.KindSearch,
		ClassName:   req.Class.Or(""),
		Budget:      time.Duration(req.DeadlineMs.Or(0)) * time.Millisecond,
		MinCoverage: req.MinCoverage.Or(-1),
		Snapshot:    model.Snapshot(req.Snapshot.Or(0)),
		Limit:       req.Limit.Or(0),
		Payload:     []byte(req.Query),
	}
}

func (h *callerHandler) execute(ctx context.Context, r model.Request) (*api.Answer, error) {
	a, err := h.d.Do(ctx, r)
	if err != nil {
		return nil, err
	}
	out := &api.Answer{
		Complete: a.Coverage.Complete(),
		Coverage: coverageToAPI(&a.Coverage),
		Version:  string(a.Version),
		Snapshot: int64(a.Snapshot),
		Attempts: a.Attempts,
		Needed:   a.Needed,
		Hits:     make([]api.Hit, 0, len(a.Hits)),
	}
	for _, hit := range a.Hits {
		o := api.Hit{Document: hit.Document, Score: hit.Score}
		if len(hit.Body) > 0 {
			o.Body = api.NewOptString(string(hit.Body))
		}
		out.Hits = append(out.Hits, o)
	}
	if sc := trace.SpanContextFromContext(ctx); sc.IsSampled() {
		id := sc.TraceID()
		out.TraceId = api.NewOptString(hex.EncodeToString(id[:]))
	}
	return out, nil
}

func coverageToAPI(c *model.Coverage) api.Coverage {
	out := api.Coverage{Wanted: c.Wanted, Answered: c.Answered, Missing: make([]api.MissingShard, 0, len(c.Missing))}
	for _, m := range c.Missing {
		o := api.MissingShard{Shard: string(m.Shard), Reason: string(m.Reason)}
		if m.Peer != "" {
			o.Peer = api.NewOptString(m.Peer)
		}
		out.Missing = append(out.Missing, o)
	}
	return out
}

// NewError implements api.Handler.
func (h *callerHandler) NewError(_ context.Context, err error) *api.RefusedStatusCode {
	var r *model.Refusal
	if !errors.As(err, &r) {
		// The generated code rejected the request before the handler was called.
		r = &model.Refusal{Code: model.RefusedInvalid, Step: "decode request", Reason: err.Error()}
	}
	out := api.Refusal{Code: api.RefusalCode(r.Code), Step: r.Step, Reason: r.Reason}
	if r.Peer != "" {
		out.Peer = api.NewOptString(r.Peer)
	}
	if r.RetryAfter > 0 {
		out.RetryAfterMs = api.NewOptInt64(r.RetryAfter.Milliseconds())
	}
	if r.Coverage != nil {
		out.Coverage = api.NewOptCoverage(coverageToAPI(r.Coverage))
	}
	return &api.RefusedStatusCode{StatusCode: refusalStatus(r.Code), Response: out}
}

func refusalStatus(c model.RefusalCode) int {
	switch c {
	case model.RefusedInvalid:
		return http.StatusBadRequest
	case model.RefusedDuplicate:
		return http.StatusConflict
	case model.RefusedNotRun:
		return http.StatusServiceUnavailable
	case model.RefusedLowCoverage:
		return http.StatusBadGateway
	}
	return http.StatusGatewayTimeout
}
