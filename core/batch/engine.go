package batch

import (
	"maps"
	"time"

	"azurelane/core/upstr"
)

type (
	// engine is an upstream with what was learnt of it.
	engine struct {
		*upstr.Upstream
		pace *pace
	}

	// offer is an engine with room, as it stands in the decision that is being made.
	// What each of several tickets would cost there is compared, so that what does
	// not depend on the ticket is worked out once.
	offer struct {
		*engine
		beyond   bool          // All places of its batch are taken.
		first    time.Duration // Until the first piece of an empty prompt.
		unread   time.Duration // Until all prompts given to it will have been read.
		perToken time.Duration
		failing  time.Duration // What its failures of late count for.
	}
)

func (b *Batch) engine(u *upstr.Upstream) *engine {
	e := b.engines[u.GetUpstream()]
	if e == nil || e.Upstream != u {
		e = &engine{u, b.unknown()}
		b.engines[u.GetUpstream()] = e
	}
	return e
}

// Speeds returns the time of one answer token that is reckoned with, by upstream.
func (b *Batch) Speeds() map[string]time.Duration {
	list := b.table.All()
	speeds := make(map[string]time.Duration, len(list))
	for _, u := range list {
		speeds[u.GetUpstream()] = b.engine(u).pace.perToken()
	}
	return speeds
}

// unknown is the pace of an engine of which nothing is known yet.
func (b *Batch) unknown() *pace { return &pace{whole: 1, shape: &b.shape} }

// known lists the engines in the order of the table. Each decision goes through
// them, so that they are looked up by name only when the table has changed.
func (b *Batch) known() []*engine {
	list := b.table.All()
	b.all = b.all[:min(len(b.all), len(list))]
	for n, u := range list {
		switch {
		case n == len(b.all):
			b.all = append(b.all, b.engine(u))
		case b.all[n].Upstream != u:
			b.all[n] = b.engine(u)
		}
	}
	return b.all
}

// forget drops what was learnt of upstreams that are no longer known: each
// incarnation has a name of its own.
func (b *Batch) forget() {
	if len(b.engines) <= 2*len(b.table.All()) {
		return
	}
	known := make(map[string]bool, len(b.table.All()))
	for _, u := range b.table.All() {
		known[u.GetUpstream()] = true
	}
	maps.DeleteFunc(b.engines, func(id string, _ *engine) bool { return !known[id] })
}

// learnMean works out the pace between the slowest and the fastest engine, for
// what has to be compared before an engine is chosen.
func (b *Batch) learnMean() {
	sum, n := time.Duration(0), time.Duration(0)
	for _, e := range b.engines {
		sum += e.pace.perToken()
		n++
	}
	b.mean = pace{shape: &b.shape}
	if n > 0 {
		b.mean.token = sum / n
	}
}

// learnGap notes the shortest pause that the kinds of requests of late allow.
func (b *Batch) learnGap() {
	b.gap = 0
	for _, k := range b.kinds {
		if k.gap > 0 && (b.gap == 0 || k.gap < b.gap) {
			b.gap = k.gap
		}
	}
}

// look lists the engines with room, and reports whether that is only beyond
// their batches.
func (b *Batch) look(now time.Time) (beyond bool) {
	b.open, b.ideal, beyond = b.open[:0], ideal{}, true
	for _, e := range b.known() {
		p := e.pace
		if !e.Live(now) || now.Before(p.out) || (e.GetUnreached() && now.Sub(b.tried) < tryEvery) || !e.Meter.Room(now) {
			continue
		}
		b.ideal.add(p)
		if e.Running >= e.Limit()+extraPlaces || !b.fits(e.Upstream, 0) {
			continue
		}
		o := offer{engine: e, beyond: e.Running >= e.Limit(), first: p.expect(now, e.Upstream, 0), perToken: p.perToken()}
		o.unread = p.wait(now)
		o.failing = time.Duration((1 - p.whole) * float64(time.Second))
		b.open = append(b.open, o)
		beyond = beyond && o.beyond
	}
	return beyond
}
