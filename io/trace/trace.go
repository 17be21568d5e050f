// Package trace sets up the export of spans.
package trace

import (
	"context"
	"fmt"
	"io"
	"os"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Trace says where spans go. The zero value exports none.
type Trace struct {
	OTLP  string  `json:"otlp,omitzero"`  // URL of an OTLP collector over HTTP.
	File  string  `json:"file,omitzero"`  // File to append spans to, as JSON.
	Ratio float64 `json:"ratio,omitzero"` // Part of the requests traced, 0 to 1; a caller's traceparent is always honoured.
}

// Start installs the exporter for the process and returns a function that
// flushes and closes it.
func (t Trace) Start(ctx context.Context, node string) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if t.OTLP == "" && t.File == "" {
		return func(context.Context) error { return nil }, nil
	}
	exp, file, err := t.exporter(ctx)
	if err != nil {
		return nil, err
	}
	res := resource.NewSchemaless(attribute.String("service.name", "azurelane"), attribute.String("service.instance.id", node))
	tp := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exp), sdktrace.WithResource(res),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(t.Ratio))),
	)
	otel.SetTracerProvider(tp)
	return func(ctx context.Context) error {
		err := tp.Shutdown(ctx)
		if file != nil {
			_ = file.Close()
		}
		if err != nil {
			return fmt.Errorf("trace: stop: %w", err)
		}
		return nil
	}, nil
}

const parentHeader = "traceparent"

// Parent returns the W3C trace context of ctx, or nothing when its trace is
// not sampled.
func Parent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	c := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, c)
	return c[parentHeader]
}

// With returns ctx inside the trace that Parent wrote elsewhere.
func With(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{parentHeader: parent})
}

func (t Trace) exporter(ctx context.Context) (sdktrace.SpanExporter, io.Closer, error) {
	if t.OTLP != "" {
		exp, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(t.OTLP))
		if err != nil {
			return nil, nil, fmt.Errorf("trace: otlp: %w", err)
		}
		return exp, nil, nil
	}
	f, err := os.OpenFile(t.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, fmt.Errorf("trace: open file: %w", err)
	}
	exp, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		_ = f.Close()
		return nil, nil, fmt.Errorf("trace: file: %w", err)
	}
	return exp, f, nil
}
