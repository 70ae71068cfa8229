package entry

import (
	"context"
	"testing"

	"github.com/matryer/is"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace/noop"
)

// Guards against a forwarded query that starts a new trace on the other VM.
func TestTraceContinuesOnOtherVM(t *testing.T) {
	is := is.New(t)
	spans := tracetest.NewSpanRecorder()
	tracer := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)).Tracer("test")
	vm1, vm2 := &Tier{tracer: tracer}, &Tier{tracer: tracer}
	r := &Request{CallerID: "r1"}
	first := vm1.startRequest(context.Background(), r)
	second := vm2.startRequest(withRemoteParent(context.Background(), traceparentOf(first)), r)
	second.End()
	first.End()
	ended := spans.Ended()
	is.Equal(len(ended), 2)
	is.Equal(ended[0].Parent().SpanID(), ended[1].SpanContext().SpanID())
	is.Equal(ended[0].SpanContext().TraceID(), ended[1].SpanContext().TraceID())
}

// Guards against a traceparent that is sent to another VM although the request is not traced.
func TestNoTraceparentWithoutTrace(t *testing.T) {
	is := is.New(t)
	_, span := noop.NewTracerProvider().Tracer("test").Start(context.Background(), "request")
	is.Equal(traceparentOf(span), "")
}
