package link

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"azurelane/core/wire"
)

func report(b *testing.B, took []time.Duration) {
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
}

// BenchmarkSmallBesideBulk measures a small call alone, beside 8 MB frames on streams of their
// own, and beside the same traffic in frames that are just small enough for the common stream.
func BenchmarkSmallBesideBulk(b *testing.B) {
	for _, size := range []int{0, 8 << 20, BulkSize - 64} {
		b.Run(fmt.Sprintf("beside=%d", size), func(b *testing.B) {
			l := dial(b, serve(b, ack), ack)
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			for range 4 {
				wg.Go(func() {
					f := &wire.Frame{Body: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: make([]byte, size)}}}
					for size > 0 && ctx.Err() == nil {
						if size > BulkSize {
							_, _ = l.Call(ctx, f)
						} else {
							_ = l.Send(ctx, f)
						}
					}
				})
			}
			took := make([]time.Duration, 0, 1<<16)
			for b.Loop() {
				start := time.Now()
				if _, err := l.Call(ctx, query(1)); err != nil {
					b.Fatal(err)
				}
				took = append(took, time.Since(start))
			}
			report(b, took)
			cancel()
			wg.Wait()
		})
	}
}

// BenchmarkCall measures the latency and the rate of calls on one link.
func BenchmarkCall(b *testing.B) {
	for _, p := range []int{1, 2, 5, 20} {
		b.Run(fmt.Sprintf("callers=%d", p*runtime.GOMAXPROCS(0)), func(b *testing.B) {
			l := dial(b, serve(b, ack), ack)
			var mu sync.Mutex
			var all []time.Duration
			start := time.Now()
			b.SetParallelism(p)
			b.RunParallel(func(pb *testing.PB) {
				var took []time.Duration
				for pb.Next() {
					at := time.Now()
					if _, err := l.Call(context.Background(), query(1)); err != nil {
						b.Error(err)
						return
					}
					took = append(took, time.Since(at))
				}
				mu.Lock()
				all = append(all, took...)
				mu.Unlock()
			})
			b.ReportMetric(float64(len(all))/time.Since(start).Seconds(), "calls/s")
			report(b, all)
		})
	}
}
