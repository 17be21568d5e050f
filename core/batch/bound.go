package batch

import (
	"slices"
	"time"

	"azurelane/core/upstr"
	"azurelane/core/wire"
)

// hasVersion reports whether an engine of a version is left that may be granted new requests.
func (b *Batch) hasVersion(now time.Time, version string) bool {
	return slices.ContainsFunc(b.table.All(), func(u *upstr.Upstream) bool { return u.Version == version && u.Live(now) })
}

// drainingEngine returns the engine of a version that drains and has most room, and whether there is
// any that drains.
func (b *Batch) drainingEngine(now time.Time, i *item) (best *engine, draining bool) {
	for _, e := range b.knownEngines() {
		if e.Version != i.version || !e.Draining(now) {
			continue
		}
		draining = true
		if now.Before(e.stats.excludedUntil) || !b.elig.AllowsStream(now, e.Upstream) || e.Running >= e.AnnouncedLimit()+engineQueueLimit || slices.Contains(i.GetAvoid(), e.GetUpstream()) {
			continue
		}
		if best == nil || e.Running < best.Running {
			best = e
		}
	}
	return best, draining
}

// assignDraining grants engines that drain to streams which no other engine may go on with. It refuses
// the waiting tickets that are bound to a version of which no engine is left.
func (b *Batch) assignDraining(now time.Time) []*wire.Decision {
	var out []*wire.Decision
	left := map[string]bool{}
	for n := 0; n < len(b.waiting); n++ {
		i := b.waiting[n]
		if !i.bound {
			continue
		}
		if _, known := left[i.version]; !known {
			left[i.version] = b.hasVersion(now, i.version)
		}
		if left[i.version] {
			continue
		}
		e, draining := b.drainingEngine(now, i)
		switch {
		case e != nil && i.GetGoesOn():
			out = append(out, b.grant(now, n, e))
		case !draining || !i.GetGoesOn():
			out = append(out, b.refuseGone(n))
		default:
			continue // It waits for room.
		}
		n--
	}
	return out
}
