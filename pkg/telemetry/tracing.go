package telemetry

import (
	"context"
	"fmt"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"quaydock/pkg/ids"
	"quaydock/pkg/settings"
)

// tracerName is the name of the tracer and of the service in the exported spans.
const tracerName = "quaydock"

// traceParentKey is the key of the W3C trace context in a propagation carrier.
const traceParentKey = "traceparent"

// Tracing creates spans and exports them as the settings determine.
type Tracing struct {
	Tracer   trace.Tracer             // without an exporter, one that discards all spans
	provider *sdktrace.TracerProvider // nil without an exporter
	file     *os.File                 // nil unless spans go to a file
}

// NewTracing opens the configured exporter. Without one, spans are discarded.
func NewTracing(ctx context.Context, s settings.Trace, process ids.Process) (*Tracing, error) {
	t := &Tracing{}
	exporter, err := t.open(ctx, s)
	if err != nil {
		return nil, fmt.Errorf("creating the trace exporter: %w", err)
	}
	if exporter == nil {
		t.Tracer = noop.NewTracerProvider().Tracer(tracerName)
		return t, nil
	}
	t.provider = sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.Ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", tracerName),
			attribute.String("service.instance.id", string(process)),
		)),
	)
	t.Tracer = t.provider.Tracer(tracerName)
	return t, nil
}

// open returns the configured exporter, or nil if there is none. It sets t.file for the exporter "file".
func (t *Tracing) open(ctx context.Context, s settings.Trace) (sdktrace.SpanExporter, error) {
	switch s.Exporter {
	case "file":
		file, err := os.OpenFile(s.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, fmt.Errorf("opening the trace file: %w", err)
		}
		t.file = file
		return stdouttrace.New(stdouttrace.WithWriter(file))
	case "otlp":
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.Endpoint))
	default:
		return nil, nil
	}
}

// Shutdown exports the remaining spans and closes the trace file.
func (t *Tracing) Shutdown(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	if err := t.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("exporting the remaining spans: %w", err)
	}
	if t.file == nil {
		return nil
	}
	return t.file.Close()
}

// TraceParent returns the W3C trace context of ctx, empty if its span is not
// sampled.
func TraceParent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceParentKey]
}

// WithTraceParent returns ctx with the W3C trace context parent, or ctx if parent
// is empty.
func WithTraceParent(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceParentKey: parent})
}
