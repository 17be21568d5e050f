package sched

import (
	"sync"
	"time"

	"azurelane/core/digest"
	"azurelane/core/poison"
	"azurelane/core/wire"
)

// bans keeps requests from upstreams that crash under them. The zero value is ready.
type bans struct {
	mu       sync.Mutex
	poison   poison.Poison
	upstream map[string]string // Incarnation by name.
}

// runs notes which process of an upstream is there.
func (b *bans) runs(a *wire.Announce) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.upstream == nil {
		b.upstream = map[string]string{}
	}
	if a.GetLeaving() {
		delete(b.upstream, a.GetUpstream())
		return
	}
	b.upstream[a.GetUpstream()] = a.GetIncarnation()
}

// ended learns from a run, and reports whether its request is banned from now on.
func (b *bans) ended(now time.Time, r *wire.Release) bool {
	d, ok := digest.From(r.GetDigest())
	if !ok || !r.GetDispatched() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case r.GetCrashed():
		return b.poison.Crash(now, d, r.GetUpstream()+"@"+b.upstream[r.GetUpstream()], false)
	case !r.GetFailed():
		b.poison.Clear(d)
	}
	return false
}

// refuses reports whether a request must not be sent. One that is banned may be once, to
// see whether it is innocent.
func (b *bans) refuses(now time.Time, t *wire.Ticket) bool {
	d, ok := digest.From(t.GetDigest())
	if !ok {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.poison.Banned(d) && !b.poison.Try(now, d)
}
