package gooseberrylock

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// flushTimeout is the maximum time for the export of the last spans at shutdown.
const flushTimeout = 2 * time.Second

// tracing creates one span for each hop: the request of the caller, the query at the entry
// daemon, the sub-request at the owner, and each attempt or hedge.
type tracing struct {
	provider   trace.TracerProvider
	tracer     trace.Tracer
	propagator propagation.TraceContext
	sdk        *sdktrace.TracerProvider // nil unless newTracing created the provider

	mu          sync.Mutex
	subRequests map[subRequestID]trace.Span // spans of sampled sub-requests at this owner that have not ended
}

type subRequestID struct {
	entry model.VM
	query model.QueryID
	run   uint32
	key   model.ShardKey
}

func newTracing(cfg Config) (*tracing, error) {
	t := &tracing{provider: cfg.Tracer, subRequests: make(map[subRequestID]trace.Span)}
	s := cfg.Settings
	if t.provider == nil && s.Traces.Endpoint == "" {
		t.provider = noop.NewTracerProvider()
	}
	if t.provider == nil {
		exporter, err := otlptracehttp.New(context.Background(),
			otlptracehttp.WithEndpoint(s.Traces.Endpoint), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, eris.Wrapf(err, "export traces to %s", s.Traces.Endpoint)
		}
		t.sdk = sdktrace.NewTracerProvider(
			sdktrace.WithBatcher(exporter),
			sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.Traces.Ratio))),
			sdktrace.WithResource(resource.NewSchemaless(
				attribute.String("service.name", "gooseberrylockd"),
				attribute.String("service.instance.id", string(s.VM)),
			)),
		)
		t.provider = t.sdk
	}
	t.tracer = t.provider.Tracer("github.com/gooseberrylock/gooseberrylock")
	return t, nil
}

func (t *tracing) shutdown() {
	if t.sdk == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	_ = t.sdk.Shutdown(ctx)
}

// extractTraceContext passes requests to next with the caller's trace context, taken from the HTTP
// headers.
func (t *tracing) extractTraceContext(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := t.propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// startQuery starts the span of a query and stores the span's context in the request.
func (t *tracing) startQuery(ctx context.Context, r *model.Request) (context.Context, trace.Span) {
	ctx, span := t.tracer.Start(ctx, "entry "+r.Kind.String(), trace.WithAttributes(
		attribute.String("customer", string(r.Route.Customer)),
		attribute.String("route", string(r.Route.Route)),
	))
	r.Trace = traceContext(span.SpanContext())
	return ctx, span
}

// traceContext converts the context of a span. It returns the zero value if the span is not sampled.
func traceContext(sc trace.SpanContext) model.TraceContext {
	if !sc.IsSampled() {
		return model.TraceContext{}
	}
	return model.TraceContext{TraceID: sc.TraceID(), SpanID: sc.SpanID()}
}

func remoteContext(ctx context.Context, t model.TraceContext) context.Context {
	return trace.ContextWithRemoteSpanContext(ctx, trace.NewSpanContext(trace.SpanContextConfig{
		TraceID:    t.TraceID,
		SpanID:     t.SpanID,
		TraceFlags: trace.FlagsSampled,
		Remote:     true,
	}))
}

// startSubRequests starts a span for each sampled sub-request at its owner. The span becomes the
// parent of the spans of the sub-request's attempts.
func (t *tracing) startSubRequests(list []model.SubRequest) {
	for i := range list {
		r := &list[i]
		if r.Trace == (model.TraceContext{}) {
			continue
		}
		_, span := t.tracer.Start(remoteContext(context.Background(), r.Trace), "owner", trace.WithAttributes(
			attribute.String("shard", r.Key.String()),
			attribute.String("entry", string(r.Entry)),
		))
		r.Trace = traceContext(span.SpanContext())
		id := subRequestID{r.Entry, r.Query, r.Run, r.Key}
		t.mu.Lock()
		earlier := t.subRequests[id]
		t.subRequests[id] = span
		t.mu.Unlock()
		if earlier != nil {
			earlier.End()
		}
	}
}

// cancelSubRequests ends the spans of sub-requests that were cancelled and therefore get no reply.
func (t *tracing) cancelSubRequests(entry model.VM, list []event.Cancel) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range list {
		t.endCancelled(subRequestID{entry, c.Query, c.Run, c.Key})
	}
}

// endSubRequestsFrom ends the spans of the sub-requests of an entry daemon whose connection was lost.
func (t *tracing) endSubRequestsFrom(entry model.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.subRequests {
		if id.entry == entry {
			t.endCancelled(id)
		}
	}
}

// endCancelled ends the span of a sub-request that gets no reply. The caller must hold t.mu.
func (t *tracing) endCancelled(id subRequestID) {
	if span, ok := t.subRequests[id]; ok {
		delete(t.subRequests, id)
		span.SetAttributes(attribute.String("outcome", model.OutcomeCancelled.String()))
		span.End()
	}
}

// endSubRequests ends the spans of sub-requests that were answered.
func (t *tracing) endSubRequests(entry model.VM, list []model.SubReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.subRequests) == 0 {
		return
	}
	for i := range list {
		r := &list[i]
		id := subRequestID{entry, r.Query, r.Run, r.Key}
		span, ok := t.subRequests[id]
		if !ok {
			continue
		}
		delete(t.subRequests, id)
		span.SetAttributes(attribute.String("outcome", r.Outcome.String()), attribute.Int("attempts", r.Attempts))
		span.End()
	}
}

// startAttempt starts the span of an attempt and stores the span's context in the attempt, which
// carries it to the backend server.
func (t *tracing) startAttempt(ctx context.Context, a *effect.StartAttempt) (context.Context, trace.Span) {
	if a.Trace == (model.TraceContext{}) {
		return ctx, noop.Span{}
	}
	name := "attempt"
	if a.Hedge {
		name = "hedge"
	}
	ctx, span := t.tracer.Start(remoteContext(ctx, a.Trace), name, trace.WithAttributes(
		attribute.String("shard", a.Key.String()),
		attribute.String("backend.server", string(a.Server.ID)),
	))
	a.Trace = traceContext(span.SpanContext())
	return ctx, span
}

func endAttempt(span trace.Span, res *model.AttemptResult) {
	if !span.IsRecording() {
		span.End()
		return
	}
	span.SetAttributes(attribute.String("outcome", res.Outcome.String()))
	if res.Outcome != model.OutcomeOK {
		span.SetStatus(codes.Error, res.Reason)
	}
	span.End()
}

func recordAnswer(span trace.Span, a *model.Answer) {
	span.SetAttributes(
		attribute.Int("shards.wanted", a.Coverage.Wanted),
		attribute.Int("shards.answered", a.Coverage.Answered),
		attribute.Int64("snapshot", int64(a.Snapshot)),
	)
}

func recordRefusal(span trace.Span, r *model.Refusal) {
	span.SetAttributes(attribute.String("refusal", string(r.Code)))
	span.SetStatus(codes.Error, r.Reason)
}
