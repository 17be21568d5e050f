// Package stats holds the metrics of one process.
package stats

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"runtime"
	rtm "runtime/metrics"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	sampleSize  = 1028
	sampleAlpha = 0.015 // Weighs the last five minutes, as in the library's examples.
)

// Stats is a registry of counters, gauges and histograms by kebab-case names.
// Nil and the zero value drop what they are given.
type Stats struct {
	reg metrics.Registry
}

// New returns an empty registry.
func New() *Stats { return &Stats{reg: metrics.NewRegistry()} }

func (s *Stats) off() bool { return s == nil || s.reg == nil }

// Count adds to a counter.
func (s *Stats) Count(name string, n int64) {
	if s.off() {
		return
	}
	metrics.GetOrRegisterCounter(name, s.reg).Inc(n)
}

// Gauge sets a gauge.
func (s *Stats) Gauge(name string, n int64) {
	if s.off() {
		return
	}
	metrics.GetOrRegisterGauge(name, s.reg).Update(n)
}

// Pull sets up a gauge that is read when the metrics are.
func (s *Stats) Pull(name string, read func() int64) {
	if s.off() {
		return
	}
	_ = s.reg.Register(name, metrics.NewFunctionalGauge(read)) // Fails only for a name already there.
}

// Runtime sets up the gauges of the process itself.
func (s *Stats) Runtime() {
	s.Pull("goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	s.Pull("memory-heap-bytes", func() int64 { return sample("/memory/classes/heap/objects:bytes") })
	s.Pull("memory-total-bytes", func() int64 { return sample("/memory/classes/total:bytes") })
	s.Pull("gc-cycles", func() int64 { return sample("/gc/cycles/total:gc-cycles") })
}

// sample reads one figure of the runtime.
func sample(name string) int64 {
	list := []rtm.Sample{{Name: name}}
	rtm.Read(list)
	if list[0].Value.Kind() != rtm.KindUint64 {
		return 0
	}
	return int64(min(list[0].Value.Uint64(), math.MaxInt64)) //nolint:gosec // Bounded.
}

// Time adds a duration, in microseconds, to a histogram.
func (s *Stats) Time(name string, d time.Duration) {
	if s.off() {
		return
	}
	h := s.reg.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	if h, ok := h.(metrics.Histogram); ok {
		h.Update(d.Microseconds())
	}
}

// Text writes all metrics as lines of a name and a number, which the usual
// scrapers read. Histograms are in seconds.
func (s *Stats) Text(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if s.off() {
		return
	}
	var lines []string
	s.reg.Each(func(name string, m any) {
		name = "azurelane_" + strings.NewReplacer("-", "_", ".", "_").Replace(name)
		switch m := m.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s_total %d\n", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d\n", name, m.Value()))
		case metrics.Histogram:
			h := m.Snapshot()
			for _, q := range quantiles {
				lines = append(lines, fmt.Sprintf("%s_seconds{quantile=\"%g\"} %g\n", name, q, h.Percentile(q)/microseconds))
			}
			lines = append(lines, fmt.Sprintf("%s_seconds_count %d\n", name, h.Count()))
		}
	})
	slices.Sort(lines)
	for _, l := range lines {
		_, _ = io.WriteString(w, l)
	}
}

var quantiles = []float64{0.5, 0.9, 0.99}

const microseconds = 1e6 // In a second.

// ServeHTTP writes all metrics as JSON.
func (s *Stats) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if s.off() {
		_, _ = w.Write([]byte("{}\n"))
		return
	}
	metrics.WriteJSONOnce(s.reg, w)
}
