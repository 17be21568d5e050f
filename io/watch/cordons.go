package watch

import (
	"time"

	"azurelane/core/wire"
)

// cordons holds the cordons that an entry knows, with their expiry by its own steady clock. It is replaced
// and never modified. The zero value is empty.
type cordons struct {
	revision uint64
	until    map[string]time.Time
	list     []*wire.Cordon
}

// newCordons returns the cordons of a list that arrived at the given time.
func newCordons(now time.Time, l *wire.Cordons) cordons {
	c := cordons{revision: l.GetRevision(), list: l.GetCordons(), until: make(map[string]time.Time, len(l.GetCordons()))}
	for _, n := range l.GetCordons() {
		c.until[n.GetUpstream()] = now.Add(time.Duration(n.GetLeftUs()) * time.Microsecond)
	}
	return c
}

// inForce reports whether an upstream has a cordon.
func (c *cordons) inForce(now time.Time, id string) bool { return now.Before(c.until[id]) }

// next returns the time until the next cordon expires, or zero if none is in force.
func (c *cordons) next(now time.Time) time.Duration {
	least := time.Duration(0)
	for _, until := range c.until {
		if left := until.Sub(now); left > 0 && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}

// report returns the cordons in force, for a scheduler that may not know them.
func (c *cordons) report(now time.Time) *wire.Cordons {
	out := &wire.Cordons{Revision: c.revision}
	for _, n := range c.list {
		if left := c.until[n.GetUpstream()].Sub(now); left > 0 {
			out.Cordons = append(out.Cordons, &wire.Cordon{
				Upstream: n.GetUpstream(), Pool: n.GetPool(), Author: n.GetAuthor(), Reason: n.GetReason(), AtMs: n.GetAtMs(),
				LeftUs: left.Microseconds(), Order: n.GetOrder(),
			})
		}
	}
	return out
}

// applyCordons takes the cordons in news. A scheduler of this data centre alone may lack the last changes, so
// its list counts only if it is not older; a leader's list always counts.
func (w *Watcher) applyCordons(v *View, from target, l *wire.Cordons) {
	if l == nil || (from.local && l.GetRevision() < v.cordons.revision) {
		return
	}
	now := time.Now()
	v.cordons = newCordons(now, l)
	v.rebuildUpstreams(w.replaced)
	w.scheduleExpiry(now, v.cordons)
}

// stopExpiry stops the timer of the next expiry.
func (w *Watcher) stopExpiry() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.scheduleExpiry(time.Now(), cordons{})
}

// scheduleExpiry has the view rebuilt when the next cordon expires. w.mu must be held.
func (w *Watcher) scheduleExpiry(now time.Time, c cordons) {
	if w.expiry != nil {
		w.expiry.Stop()
		w.expiry = nil
	}
	if left := c.next(now); left > 0 {
		w.expiry = time.AfterFunc(left, w.expireCordons)
	}
}

// expireCordons rebuilds the view without the cordons that have expired.
func (w *Watcher) expireCordons() {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := *w.View()
	v.rebuildUpstreams(w.replaced)
	w.scheduleExpiry(time.Now(), v.cordons)
	w.view.Store(&v)
}
