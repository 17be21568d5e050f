package batch

import (
	"time"

	"azurelane/core/pace"
	"azurelane/core/wire"
)

// configurePace forgets what engines stated of their speeds if the pool does not use that.
func (b *Batch) configurePace() {
	if b.pool.LiveSpeeds() {
		return
	}
	b.pace = pace.Pace{}
	for _, e := range b.engines {
		e.stats.pace = nil
	}
}

// RecordSpeeds records how long work currently takes on engines, as they stated it. It ignores engines that have not
// announced themselves; their next figures follow within a second.
func (b *Batch) RecordSpeeds(now time.Time, list []*wire.Speed) {
	if !b.pool.LiveSpeeds() {
		return
	}
	for _, s := range list {
		if e := b.engines[s.GetUpstream()]; e != nil {
			e.stats.pace = b.pace.Observe(now.Add(-max(micros(s.GetAgeUs()), 0)), s.GetUpstream(), s.GetPercent())
		}
	}
}

// SpeedStatus returns the number of engines whose figures are known, the median age of the newest figures, and the
// share of them above a figure.
func (b *Batch) SpeedStatus(now time.Time, above float64) (known int, age time.Duration, share float64) {
	return b.pace.Status(now, above)
}

// setPace sets the fields that depend on how long work currently takes on the engine.
func (o *offer) setPace(now time.Time, usualAnswer float64) {
	o.averageToken = o.stats.onAverage(o.perToken)
	if o.stats.pace != nil {
		o.forecast = o.stats.pace.Forecast(now.Add(o.prefillWait))
	}
	o.baseFirstToken = o.takes(0)
	o.answerTime = o.forecast.Takes(time.Duration(usualAnswer * float64(o.perToken)))
}

// takes returns the time from now to the end of work that follows what comes before the prefill and usually takes
// a time.
func (o *offer) takes(work time.Duration) time.Duration {
	return o.prefillWait + o.forecast.Takes(o.workBefore+work)
}
