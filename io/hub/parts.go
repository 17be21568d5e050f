package hub

import (
	"maps"
	"math"
	"time"
)

// partsEvery is the least time between two lines of parts of rates: behind a cut they
// change with each entry that comes.
const partsEvery = time.Second

// tellParts writes down which part of each account's rate passes here, where it is not all
// of it, when that has changed. An account that is refused below its rate, or gets more
// than that from two schedulers together, is explained by these lines.
func (r *reign) tellParts(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.toldAt) < partsEvery {
		return
	}
	parts := map[string]float64{}
	for name := range r.rates.accounts {
		if p := math.Round(100*r.part(name)) / 100; p < 1 {
			parts[name] = p
		}
	}
	if maps.Equal(parts, r.toldParts) {
		return
	}
	r.toldAt, r.toldParts = now, parts
	r.log.Info("Parts of rates changed.", "parts", parts, "entries-here", r.here, "entries", r.all, "scheduler", r.id)
}
