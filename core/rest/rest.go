// Package rest records which upstreams have asked a sender to send them nothing for a while.
package rest

import "time"

const (
	// maxRest bounds a rest, so that a mistaken one ends.
	maxRest = time.Hour
	// forgetAfter is how long a rest is kept after its end.
	forgetAfter = time.Minute
)

// Rests holds the rests that upstreams have asked for. The zero value is empty and ready to use.
type Rests struct {
	byUpstream map[string]*upstream
}

type upstream struct {
	pool  string
	born  int64     // Start of its process; 0 if unknown.
	until time.Time // End of the rest.
}

// Ask records that an upstream, of a process that started at born, asks for rest. It reports whether
// the upstream was not resting before. A rest is never shortened.
func (r *Rests) Ask(now time.Time, pool, id string, born int64, d time.Duration) bool {
	r.sweep(now)
	u := r.find(id, born)
	if u == nil {
		u = &upstream{pool: pool, born: born}
		if r.byUpstream == nil {
			r.byUpstream = map[string]*upstream{}
		}
		r.byUpstream[id] = u
	}
	begins := !now.Before(u.until)
	if end := now.Add(min(d, maxRest)); end.After(u.until) {
		u.until = end
	}
	return begins
}

// Count returns the number of upstreams that rest.
func (r *Rests) Count(now time.Time) int64 {
	n := int64(0)
	for _, u := range r.byUpstream {
		if now.Before(u.until) {
			n++
		}
	}
	return n
}

// find returns what is known of an upstream, or nil. A process that started later than the one that
// asked is not bound by it.
func (r *Rests) find(id string, born int64) *upstream {
	u := r.byUpstream[id]
	if u == nil || (u.born > 0 && born > u.born) {
		return nil
	}
	return u
}

func (r *Rests) sweep(now time.Time) {
	for id, u := range r.byUpstream {
		if now.Sub(u.until) > forgetAfter {
			delete(r.byUpstream, id)
		}
	}
}
