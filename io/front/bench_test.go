package front_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"

	"azurelane/core/acct"
	"azurelane/core/wire"
)

// one asks once and reads the answer to its end.
func one(c *http.Client, url string, a ask) error {
	resp, err := c.Do(a.request(context.Background(), url))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// BenchmarkAdded measures what an entry adds to calling the stand-in directly,
// at 1,000 requests a second in all: open loop, each second request goes
// directly, so that both see the same machine at the same time. The granter and
// control are in the process; a queue elsewhere adds a round trip of its own.
func BenchmarkAdded(b *testing.B) {
	for _, tc := range []struct {
		name string
		ask  ask
	}{{"whole", ask{}}, {"streamed", ask{stream: true}}, {"keyed", ask{key: "k"}}} {
		b.Run(tc.name, func(b *testing.B) {
			s := newSite(b, 1)
			c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
			defer c.CloseIdleConnections()
			var mu sync.Mutex
			hist := [2]*hdrhistogram.Histogram{hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)}
			urls := [2]string{s.up.URL, s.entries[0].URL}
			for _, u := range urls {
				must.NoError(b, one(c, u, ask{}))
			}
			var wg sync.WaitGroup
			var failed atomic.Int64
			start := time.Now()
			for i := 0; b.Loop(); i++ {
				due := start.Add(time.Duration(i) * time.Millisecond)
				time.Sleep(time.Until(due))
				wg.Go(func() {
					a := tc.ask
					if a.key != "" {
						a.key = fmt.Sprintf("k%d", i)
					}
					if one(c, urls[i%2], a) != nil {
						failed.Add(1)
					}
					took := time.Since(due)
					mu.Lock()
					defer mu.Unlock()
					_ = hist[i%2].RecordValue(took.Microseconds())
				})
			}
			wg.Wait()
			must.Eq(b, 0, failed.Load())
			for _, q := range []float64{50, 99} {
				direct, through := hist[0].ValueAtQuantile(q), hist[1].ValueAtQuantile(q)
				b.ReportMetric(float64(direct), fmt.Sprintf("direct-p%.0f-us", q))
				b.ReportMetric(float64(through-direct), fmt.Sprintf("added-p%.0f-us", q))
			}
		})
	}
}

// BenchmarkEntry measures the requests a second of one entry, with callers and
// upstream on the same machine, closed loop.
func BenchmarkEntry(b *testing.B) {
	for _, tc := range []struct {
		name string
		ask  ask
	}{{"whole", ask{}}, {"streamed", ask{stream: true}}} {
		b.Run(tc.name, func(b *testing.B) {
			s := newSite(b, 1)
			c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
			defer c.CloseIdleConnections()
			b.SetParallelism(4)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := one(c, s.entries[0].URL, tc.ask); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}

// BenchmarkWaiting measures the memory of a waiting request besides its body:
// the growth of heap and stacks at the entry, the caller's connection at the
// server's side included. Each caller here sends its request on a plain
// connection and waits, so that callers add little of their own.
func BenchmarkWaiting(b *testing.B) {
	for _, n := range []int{250, 500, 1000, 2000} {
		for _, key := range []string{"", "k"} {
			b.Run(fmt.Sprintf("waiting=%d/keyed=%v", n, key != ""), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(waiting(b, n, key), "bytes/waiting")
				}
			})
		}
	}
}

func waiting(b *testing.B, n int, key string) float64 {
	s := newSite(b, 1)
	s.account(func(a *acct.Account) { a.MaxConnections = n + 1 })
	gate := make(chan struct{})
	var held atomic.Int64
	s.granter.before = func(context.Context, *wire.Ticket) error {
		held.Add(1)
		<-gate
		return nil
	}
	before := used()
	conns := dialAll(b, s, n, key)
	s.eventually("all wait", func() bool { return held.Load() == int64(n) })
	grown := float64(used() - before)
	close(gate)
	for _, c := range conns {
		_, _ = c.Read(make([]byte, 1))
		_ = c.Close()
	}
	s.free()
	return grown / float64(n)
}

func used() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

func dialAll(b *testing.B, s *site, n int, key string) []net.Conn {
	conns := make([]net.Conn, n)
	const body = `{"model":"m","max_tokens":1,"messages":[]}`
	for i := range conns {
		line := ""
		if key != "" {
			line = fmt.Sprintf("Idempotency-Key: %s%d\r\n", key, i)
		}
		conns[i] = s.entries[0].dial(b, line, len(body), body)
	}
	return conns
}
