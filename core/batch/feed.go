package batch

import "time"

// feedForecast tells the forecast what the engines can do. Engines that are faster than the mean do more than a
// second of slot time per second in each slot.
func (b *Batch) feedForecast(now time.Time) {
	capacity := 0.0
	for _, e := range b.knownEngines() {
		if e.Live(now) {
			capacity += float64(e.AnnouncedLimit()) * float64(b.meanEngine.perToken()) / float64(e.stats.perToken())
		}
	}
	at := now.Sub(b.started)
	b.forecast.Set(at, capacity, b.waitingWork(at))
}
