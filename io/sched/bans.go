package sched

import (
	"sync"
	"time"

	"azurelane/core/digest"
	"azurelane/core/poison"
	"azurelane/core/wire"
)

// bans detects requests that crash upstreams and blocks further sends of them. The zero value is
// ready to use.
type bans struct {
	mu           sync.Mutex
	poison       poison.Poison
	incarnations map[string]string // Current incarnation of each upstream, by name.
}

// setIncarnation records the current incarnation of an upstream, or removes an upstream that is
// leaving.
func (b *bans) setIncarnation(a *wire.Announce) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.incarnations == nil {
		b.incarnations = map[string]string{}
	}
	if a.GetLeaving() {
		delete(b.incarnations, a.GetUpstream())
		return
	}
	b.incarnations[a.GetUpstream()] = a.GetIncarnation()
}

// recordRun evaluates the outcome of a run and reports whether its request has just been banned. A
// crash counts against the request; a run that did not fail clears its earlier crashes.
func (b *bans) recordRun(now time.Time, r *wire.Release) bool {
	d, ok := digest.From(r.GetDigest())
	if !ok || !r.GetDispatched() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case r.GetCrashed():
		return b.poison.RecordCrash(now, d, r.GetUpstream()+"@"+b.incarnations[r.GetUpstream()], false)
	case !r.GetFailed():
		b.poison.Clear(d)
	}
	return false
}

// refuses reports whether a request must not be sent. A banned request is still allowed a trial
// send, which is counted here, to detect bans made by mistake.
func (b *bans) refuses(now time.Time, t *wire.Ticket) bool {
	d, ok := digest.From(t.GetDigest())
	if !ok {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.poison.Banned(d) && !b.poison.Try(now, d)
}
