package pull

import "time"

// throughput measures how fast waiting work is granted.
type throughput struct {
	rate       float64 // Work units a second: measured while work waits, else estimated; zero while unknown.
	granted    float64 // Work units granted since the last update.
	backlogged int     // Consecutive intervals at whose end work waited.
	lastUpdate time.Time
}

const (
	// throughputGain is the EWMA weight of one interval. Intervals are as long as sweeps, so
	// the time constant is two seconds.
	throughputGain = 0.1
	// minBacklogged is how many consecutive intervals work must have waited before the
	// granted work shows the pool's capacity.
	minBacklogged = 5
)

// updateThroughput closes one interval of measuring the work that arrives and the work that
// is granted.
func (p *Policy) updateThroughput(now time.Time) {
	t := &p.throughput
	span := now.Sub(t.lastUpdate)
	first := t.lastUpdate.IsZero()
	t.lastUpdate = now
	if !first && span > 0 {
		p.queue.UpdateRates(span, throughputGain)
		if t.backlogged >= minBacklogged {
			t.rate += throughputGain * (t.granted/span.Seconds() - t.rate)
		}
	}
	t.granted = 0
	t.backlogged++
	if p.queue.Len() == 0 {
		t.backlogged = 0
	}
}

// capacity returns the pool's rate in work units a second: the measured rate if work has
// waited long enough, and otherwise the estimate from the learned speeds of the upstreams.
func (t *throughput) capacity(estimate float64) float64 {
	if t.backlogged <= minBacklogged || t.rate == 0 {
		t.rate = estimate
	}
	return t.rate
}
