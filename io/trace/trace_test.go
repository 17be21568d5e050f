package trace

import (
	"context"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
	"go.opentelemetry.io/otel"
)

// A ticket carries trace context only when its trace is sampled, and takes it
// to another process unchanged.
func TestParent(t *testing.T) {
	must.Eq(t, "", Parent(t.Context()))
	must.Eq(t, t.Context(), With(t.Context(), ""))
	const parent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	must.Eq(t, parent, Parent(With(t.Context(), parent)))
	must.Eq(t, "", Parent(With(t.Context(), parent[:len(parent)-1]+"0")))
	must.Eq(t, "", Parent(With(t.Context(), "nonsense")))
}

func BenchmarkSpan(b *testing.B) {
	for _, tc := range []struct {
		name  string
		ratio float64
	}{{"not-sampled", 0}, {"sampled-to-file", 1}} {
		b.Run(tc.name, func(b *testing.B) {
			stop, err := Trace{File: filepath.Join(b.TempDir(), "spans"), Ratio: tc.ratio}.Start(context.Background(), "n")
			must.NoError(b, err)
			tracer := otel.GetTracerProvider().Tracer("bench")
			for b.Loop() {
				_, span := tracer.Start(context.Background(), "queue")
				span.End()
			}
			must.NoError(b, stop(context.Background()))
		})
	}
}
