// Package delay measures how long work that comes at this process waits for a processor.
package delay

import (
	"runtime/metrics"
	"sync/atomic"
	"time"
)

const (
	// latencies is the runtime's histogram, in seconds, of how long goroutines that could run waited
	// until they ran. The runtime counts one wait in eight.
	latencies = "/sched/latencies:seconds"
	// minCounted is the number of counted waits below which their median says little.
	minCounted = 8
)

// Delay combines two waits. A process that stands still, as one does whose quota of processor time is
// used, has its timers fire late. A process that has more work than it can do keeps what could run waiting.
//
// The zero value is ready to use. Only Mean is safe for concurrent use.
type Delay struct {
	mean    atomic.Int64
	stood   float64 // Sum of the squares of the times that it stood still, in seconds squared.
	sample  [1]metrics.Sample
	counted []uint64 // By bucket of the histogram, at the last End.
}

// Late records that a timer fired late.
func (d *Delay) Late(by time.Duration) { d.stood += by.Seconds() * by.Seconds() }

// End ends a span of time in which all timers were recorded, and returns its mean.
func (d *Delay) End(span time.Duration) time.Duration {
	// Work that comes while the process stands still for a time t waits for t/2 on average.
	stood := d.stood / (2 * max(span.Seconds(), time.Microsecond.Seconds()))
	d.stood = 0
	mean := time.Duration(stood*float64(time.Second)) + d.queued()
	d.mean.Store(int64(mean))
	return mean
}

// Mean returns the mean wait in the last span.
func (d *Delay) Mean() time.Duration { return time.Duration(d.mean.Load()) }

// queued returns the median wait of goroutines that could run, as the lower bound of its bucket, since the
// last call.
func (d *Delay) queued() time.Duration {
	d.sample[0].Name = latencies
	metrics.Read(d.sample[:])
	if d.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := d.sample[0].Value.Float64Histogram()
	if len(d.counted) != len(h.Counts) {
		d.counted = make([]uint64, len(h.Counts))
	}
	total := uint64(0)
	for n, c := range h.Counts {
		c, d.counted[n] = c-d.counted[n], c
		h.Counts[n] = c
		total += c
	}
	if total < minCounted {
		return 0
	}
	median, below := 0, h.Counts[0]
	for 2*below <= total {
		median++
		below += h.Counts[median]
	}
	return time.Duration(max(h.Buckets[median], 0) * float64(time.Second))
}
