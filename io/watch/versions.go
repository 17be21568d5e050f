package watch

import "time"

// rosterTrust is how long this entry relies on its roster without word from the leader. Meanwhile
// upstreams of another version may have started elsewhere.
const rosterTrust = 3 * time.Second

// countVersions updates the census with the roster of a view. w.mu must be held.
func (w *Watcher) countVersions(now time.Time, v *View) {
	w.census.Retain(now, func(id string) bool { return v.roster[id] != nil })
	for id, u := range v.roster {
		w.census.Add(now, id, u.GetPool(), u.GetVersion())
	}
	if w.rosterSince.IsZero() && v.Revision > 0 {
		w.rosterSince = now
	}
}

// OnlyVersion returns the version of a pool's upstreams if, as far as this entry can be sure, they
// have had one version only for the given time.
func (w *Watcher) OnlyVersion(pool string, within time.Duration) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, v := time.Now(), w.View()
	if w.rosterSince.IsZero() || now.Sub(w.rosterSince) < within || now.Sub(v.LastHeard) > rosterTrust || v.Isolated {
		return "", false
	}
	return w.census.Only(now, pool, within)
}
