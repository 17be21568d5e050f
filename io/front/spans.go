package front

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/trace"

	"azurelane/core/wire"
)

// answerSpans writes down, once an answer has ended, how long its first byte
// took and how long the rest. Spans of the past need no place in the copying.
func answerSpans(ctx context.Context, sent time.Time, rel *wire.Release) {
	if rel.GetFirstTokenUs() == 0 || !trace.SpanContextFromContext(ctx).IsSampled() {
		return
	}
	first := sent.Add(time.Duration(rel.GetFirstTokenUs()) * time.Microsecond)
	_, span := tracer.Start(ctx, "first-byte", trace.WithTimestamp(sent))
	span.End(trace.WithTimestamp(first))
	_, span = tracer.Start(ctx, "answer", trace.WithTimestamp(first))
	span.End()
}
