// Package stats holds the metrics of one process.
package stats

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	sampleSize  = 1028
	sampleAlpha = 0.015 // Weighs the last five minutes, as in the library's examples.
)

// Stats is a registry of counters, gauges and histograms by kebab-case names.
// The zero value drops what it is given.
type Stats struct {
	reg metrics.Registry
}

// New returns an empty registry.
func New() *Stats { return &Stats{reg: metrics.NewRegistry()} }

// Count adds to a counter.
func (s *Stats) Count(name string, n int64) {
	if s == nil || s.reg == nil {
		return
	}
	metrics.GetOrRegisterCounter(name, s.reg).Inc(n)
}

// Gauge sets a gauge.
func (s *Stats) Gauge(name string, n int64) {
	if s == nil || s.reg == nil {
		return
	}
	metrics.GetOrRegisterGauge(name, s.reg).Update(n)
}

// Time adds a duration, in microseconds, to a histogram.
func (s *Stats) Time(name string, d time.Duration) {
	if s == nil || s.reg == nil {
		return
	}
	h := s.reg.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	if h, ok := h.(metrics.Histogram); ok {
		h.Update(d.Microseconds())
	}
}

// ServeHTTP writes all metrics as JSON.
func (s *Stats) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.reg, w)
}
