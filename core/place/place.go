// Package place chooses the upstream for a ticket: the one that is expected to
// finish it first, with a preference for the upstream that has probably cached
// its prefix.
package place

import (
	"time"

	"azurelane/core/item"
	"azurelane/core/slot"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

// Place holds the weights of one preset. The zero value prefers no cache.
type Place struct {
	// Detour is the part by which the expected finish at a prefix's home may be
	// later than at the best upstream. It bounds what a wrong guess about a
	// cache costs.
	Detour float64
	// Margin scales the distance that the expected finish keeps from a
	// deadline, in mean misses of the expectation. A larger one refuses more
	// and wastes fewer prompts on answers that come too late.
	Margin float64
	// Usual is the time of a usual run, taken for upstreams that are unknown.
	Usual time.Duration
	// Alone says that no upstream of the pool is in full service, so that an
	// alert may go to one that is being tried.
	Alone bool
}

const (
	// reserve is the part of an upstream's limit that long work leaves free.
	reserve = 8
	// bound is how much fuller than the mean a prefix's home may be.
	bound = 1.25
	// shortPrompt is the number of tokens under which a cached prefix saves
	// less than the detour costs.
	shortPrompt = 64
	// batchCost is the part of a run by which a full batch is taken to slow it.
	batchCost = 0.5
)

// Open returns the upstreams with room for one more request.
func Open(now time.Time, all, into []*upstr.Upstream) []*upstr.Upstream {
	into = into[:0]
	for _, u := range all {
		if u.HasRoom(now) {
			into = append(into, u)
		}
	}
	return into
}

// Pick returns the slot to grant for the item on the best of the open
// upstreams. It returns nil with full set when no open upstream has room for an
// item like it, and nil without full when only this item can't go there. Short
// says that short work is about; only, unless empty, names the one upstream
// allowed.
func (p Place) Pick(now time.Time, open []*upstr.Upstream, i *item.Item, short bool, only string) (s *slot.Slot, full bool) {
	var best, near choice
	var fill float64
	full = true
	for _, u := range open {
		if !room(now, u, i, short) {
			continue
		}
		full = false
		if !p.takes(u, i, only) {
			continue
		}
		c := p.weigh(now, u, i)
		if c.late {
			continue
		}
		fill += filled(now, u)
		if best.up == nil || c.at < best.at {
			best = c
		}
		if near.up == nil || c.nearer(near) {
			near = c
		}
	}
	if best.up == nil {
		return nil, full
	}
	mean := fill / float64(len(open))
	if p.worthwhile(now, i, near, best, mean) {
		best = near
	}
	return &slot.Slot{
		Upstream: best.up, Ticket: i.Ticket, Work: i.Work, Long: i.Long && i.Level() > 0, PrefixCached: best.cached, ExpectedRun: best.expect,
	}, false
}

// choice is one upstream weighed for one item.
type choice struct {
	up     *upstr.Upstream
	expect time.Duration // Of the run; zero when not known.
	at     time.Duration // Expected finish from now, with the batch filling up.
	cached bool
	late   bool // It would miss the deadline.
	weight uint64
}

// nearer orders choices by the cache: one that has the prefix, then the
// prefix's home by rendezvous hash, where it will be when it is asked again.
func (c choice) nearer(d choice) bool {
	switch {
	case c.cached != d.cached:
		return c.cached
	case c.cached:
		return c.at < d.at
	}
	return c.weight > d.weight
}

func (p Place) weigh(now time.Time, u *upstr.Upstream, i *item.Item) choice {
	c := choice{up: u, weight: u.RendezvousWeight(i.GetPrefixHash())}
	c.cached = i.GetPrefixHash() != 0 && u.Cache.Has(i.GetPrefixHash())
	c.expect = u.Observed.RunTime(i.GetPromptTokens(), i.GetAnswerTokens(), c.cached)
	run := c.expect
	if !u.Observed.Known() {
		run = p.Usual
	}
	c.at = run + time.Duration(float64(run)*batchCost*filled(now, u))
	if i.Deadline.IsZero() || !u.Observed.Known() {
		return c
	}
	c.late = now.Add(p.Safe(u, i.Ticket)).After(i.Deadline)
	return c
}

// Safe is the time that the ticket's run surely takes on the upstream, for the
// judgement of deadlines: without the belief in a cache, which may be wrong,
// and with the preset's margin. It is zero while nothing is known.
func (p Place) Safe(u *upstr.Upstream, t *wire.Ticket) time.Duration {
	run := u.Observed.RunTime(t.GetPromptTokens(), t.GetAnswerTokens(), false)
	return time.Duration(float64(run) * (1 + p.Margin*u.Observed.MeanError()))
}

// worthwhile bounds what the cache may cost: near must not be much later than
// best, nor much fuller than the mean.
func (p Place) worthwhile(now time.Time, i *item.Item, near, best choice, mean float64) bool {
	return i.GetPrefixHash() != 0 && i.GetPromptTokens() >= shortPrompt &&
		near.at <= best.at+time.Duration(p.Detour*float64(best.at)) &&
		filled(now, near.up) <= bound*mean+1/float64(max(near.up.EffectiveLimit(now), 1))
}

// room reports whether an open upstream has room for items like this one.
// Where short work is about, long work leaves a part of each upstream free:
// with all places taken by long requests, an alert would wait for the end of
// one of them.
func room(now time.Time, u *upstr.Upstream, i *item.Item, short bool) bool {
	if !u.HasModel(i.GetModel()) {
		return false
	}
	if most := u.EffectiveLimit(now); i.Long && i.Level() > 0 && short && most > 1 {
		return u.LongRunning < most-max(most/reserve, 1)
	}
	return true
}

// takes reports whether the upstream may run this very item.
func (p Place) takes(u *upstr.Upstream, i *item.Item, only string) bool {
	if (only != "" && u.GetUpstream() != only) || !u.Eligible(i.Ticket) {
		return false
	}
	if n := u.GetMaxTokens(); n > 0 && u.Running > 0 && u.ReservedTokens+i.GetPromptTokens()+i.GetAnswerTokens() > n {
		return false
	}
	// An upstream that comes back isn't tried with an alert while there is another.
	return !u.Observed.OnTrial() || i.Level() > 0 || p.Alone
}

func filled(now time.Time, u *upstr.Upstream) float64 {
	return float64(u.Running) / float64(max(u.EffectiveLimit(now), 1))
}
