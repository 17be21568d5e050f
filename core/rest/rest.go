// Package rest tells when a sender may send to upstreams that have refused its requests. An upstream
// may ask for rest: for a while it wants no request at all from this sender.
package rest

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRest bounds a rest, so that a mistaken one ends.
	maxRest = time.Hour
	// A sender adds up to 1/spreadDivisor to a rest, and at most maxSpread. An upstream that has asked
	// all senders at once would otherwise hear from all of them at once.
	spreadDivisor = 8
	maxSpread     = 500 * time.Millisecond
	// After a rest, one request may be unanswered at first, and one more for each that the upstream
	// has taken, up to fullWindow. A request counts as taken if it was not refused within takeTime:
	// refusals come at once, and answers may take long.
	fullWindow = 8
	takeTime   = 150 * time.Millisecond
	// An upstream that refuses without a time is offered to one request each takeTime until it takes
	// one, and from its second refusal in a row on to none at first: for minBackoff, then for twice as
	// long each time, up to maxBackoff.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
	// forgetAfter is how long a rest or a refusal is remembered.
	forgetAfter = time.Minute
)

// Rests holds what a sender knows of upstreams that refuse its requests. The zero value is empty and
// ready to use.
type Rests struct {
	Self       string // Name of the sender.
	byUpstream map[string]*upstream
}

type upstream struct {
	pool       string
	born       int64       // Start of its process; 0 if unknown.
	until      time.Time   // End of its rest.
	window     int         // Most requests that may be unanswered.
	unanswered []time.Time // When they were sent.
	refusals   int         // In a row, without a time.
	refused    time.Time   // Send time of the last request that was refused so.
	backoff    time.Time   // Until then it is used only if there is no other.
	offered    time.Time   // When it was last offered to a request after a refusal.
}

// Ask records that an upstream, of a process that started at born, asks for rest. It reports whether
// the upstream was not resting before. A rest is never shortened.
func (r *Rests) Ask(now time.Time, pool, id string, born int64, d time.Duration) bool {
	u := r.getOrCreate(now, pool, id, born)
	begins := !now.Before(u.until)
	d = min(d, maxRest)
	if end := now.Add(d + r.spread(id, d)); end.After(u.until) {
		u.until = end
	}
	u.window, u.unanswered = 1, nil
	return begins
}

// Refuse records that an upstream has refused a request without a time. Refusals of requests that were
// on their way together count once.
func (r *Rests) Refuse(now time.Time, pool, id string, born int64, sent time.Time) {
	u := r.getOrCreate(now, pool, id, born)
	if u.window < fullWindow {
		u.until, u.window, u.unanswered = now.Add(takeTime), 1, nil
	}
	if sent.Before(u.backoff) {
		return
	}
	u.refusals++
	u.refused, u.backoff = sent, now
	if u.refusals > 1 {
		u.backoff = now.Add(min(minBackoff<<min(u.refusals-2, 10), maxBackoff))
	}
}

// Accept records that an upstream has taken a request.
func (r *Rests) Accept(id string, sent time.Time) {
	u := r.byUpstream[id]
	if u == nil {
		return
	}
	if !sent.After(u.refused) || sent.Before(u.until) {
		return
	}
	u.refusals = 0
	u.window++
	if len(u.unanswered) > 0 {
		u.unanswered = u.unanswered[1:]
	}
	if u.window >= fullWindow {
		delete(r.byUpstream, id)
	}
}

// Wait returns the time until an upstream may be sent a request, or zero if it may be now.
func (r *Rests) Wait(now time.Time, id string, born int64) time.Duration {
	u := r.find(id, born)
	if u == nil {
		return 0
	}
	return u.wait(now)
}

// Take reports whether an upstream may be sent a request now, and counts it as sent if so.
func (r *Rests) Take(now time.Time, id string, born int64) bool {
	u := r.find(id, born)
	if u == nil {
		return true
	}
	if u.wait(now) > 0 {
		return false
	}
	if u.window < fullWindow {
		u.unanswered = append(u.unanswered, now)
	}
	return true
}

// Avoid lists the upstreams of a pool that may not be sent a request now, and those that should get
// one only if there is no other. Born returns when an upstream's process started.
func (r *Rests) Avoid(now time.Time, pool string, born func(id string) int64) (never, rather []string) {
	for id, u := range r.byUpstream {
		switch {
		case u.pool != pool || u.replaced(born(id)):
		case u.wait(now) > 0:
			never = append(never, id)
		case u.refusals == 0:
		case now.Before(u.backoff) || now.Sub(u.offered) < takeTime:
			rather = append(rather, id)
		default:
			u.offered = now
		}
	}
	return never, rather
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

// Empty reports whether nothing is known of any upstream.
func (r *Rests) Empty() bool { return len(r.byUpstream) == 0 }

// wait returns the time until the upstream may be sent a request.
func (u *upstream) wait(now time.Time) time.Duration {
	if now.Before(u.until) {
		return u.until.Sub(now)
	}
	taken := 0
	for taken < len(u.unanswered) && now.Sub(u.unanswered[taken]) >= takeTime {
		taken++
	}
	u.unanswered = u.unanswered[taken:]
	u.window += taken
	if u.window >= fullWindow || len(u.unanswered) < u.window {
		return 0
	}
	return u.unanswered[0].Add(takeTime).Sub(now)
}

// replaced reports whether an upstream whose process started at born is not the one that refused.
func (u *upstream) replaced(born int64) bool { return u.born > 0 && born > u.born }

func (r *Rests) find(id string, born int64) *upstream {
	u := r.byUpstream[id]
	if u == nil || u.replaced(born) {
		return nil
	}
	return u
}

func (r *Rests) getOrCreate(now time.Time, pool, id string, born int64) *upstream {
	r.sweep(now)
	u := r.find(id, born)
	if u == nil {
		u = &upstream{pool: pool, born: born, window: fullWindow}
		if r.byUpstream == nil {
			r.byUpstream = map[string]*upstream{}
		}
		r.byUpstream[id] = u
	}
	return u
}

// spread returns what this sender adds to a rest.
func (r *Rests) spread(id string, d time.Duration) time.Duration {
	const parts = 64
	return min(d/spreadDivisor, maxSpread) * time.Duration(xxhash.Sum64String(r.Self+"/"+id)%parts) / parts
}

func (r *Rests) sweep(now time.Time) {
	for id, u := range r.byUpstream {
		if now.Sub(u.until) > forgetAfter && now.Sub(u.backoff) > forgetAfter {
			delete(r.byUpstream, id)
		}
	}
}
