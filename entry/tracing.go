package entry

import (
	"context"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/gooseberrylock/gooseberrylock/core/dispatch"
)

// traceRatio is the fraction of requests that are traced.
const traceRatio = 0.01

// NewTracer returns a tracer that exports a sample of the requests over OTLP to endpoint
// (host:port), and a function that exports the remaining spans and shuts the tracer down. With an
// empty endpoint nothing is traced.
func NewTracer(ctx context.Context, endpoint string) (trace.Tracer, func(context.Context) error, error) {
	const name = "gooseberrylock/entry"
	if endpoint == "" {
		return noop.NewTracerProvider().Tracer(name), func(context.Context) error { return nil }, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(endpoint), otlptracehttp.WithInsecure())
	if err != nil {
		return nil, nil, eris.Wrapf(err, "export traces to %s", endpoint)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(traceRatio))),
	)
	return provider.Tracer(name), provider.Shutdown, nil
}

// startRequest starts the span of a request.
func (t *Tier) startRequest(ctx context.Context, r *Request) trace.Span {
	_, span := t.tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
	if span.IsRecording() {
		span.SetAttributes(attribute.String("request.id", r.CallerID), attribute.String("path", r.RoutePath))
	}
	return span
}

// startAttempt starts the span of an attempt as a child of its request's span.
func (t *Tier) startAttempt(ctx context.Context, e dispatch.Send, parent trace.Span) trace.Span {
	_, span := t.tracer.Start(trace.ContextWithSpan(ctx, parent), "attempt", trace.WithSpanKind(trace.SpanKindClient))
	if span.IsRecording() {
		span.SetAttributes(attribute.String("server", string(e.Server.ID)), attribute.String("set", string(e.Server.Set)))
	}
	return span
}

// traceparentKey is the key under which propagation.TraceContext stores a span context.
const traceparentKey = "traceparent"

// traceparentOf returns the traceparent value that identifies a span to another VM, or "" if the
// span has no valid span context.
func traceparentOf(span trace.Span) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(trace.ContextWithSpan(context.Background(), span), carrier)
	return carrier[traceparentKey]
}

// withRemoteParent returns a context whose spans are children of another VM's span.
func withRemoteParent(ctx context.Context, parent string) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceparentKey: parent})
}
