// Package place chooses the upstream for a ticket: the one that is expected to finish it
// first, with a preference for an upstream that has probably cached its prefix.
package place

import (
	"time"

	"azurelane/core/elig"
	"azurelane/core/item"
	"azurelane/core/slot"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

// Picker chooses upstreams by the weights of one preset. The zero value does not prefer
// cached prefixes.
type Picker struct {
	// MaxDetour is the fraction by which the expected finish on the upstream preferred for
	// its cache may be later than on the best upstream. It bounds the cost of a wrong
	// assumption about a cache.
	MaxDetour float64
	// DeadlineMargin is the margin added to a run's expected time before it is compared
	// with a deadline, in mean errors of the estimate. A larger margin refuses more
	// requests and wastes fewer prompts on answers that come too late.
	DeadlineMargin float64
	// TypicalRun is the run time of a typical request, assumed for upstreams of unknown
	// speed.
	TypicalRun time.Duration
	// AllOnTrial is set if no upstream of the pool is in full service, so that an urgent
	// ticket may go to an upstream on trial.
	AllOnTrial bool
}

const (
	// reserveDivisor determines how many slots of an upstream long work leaves free: one in
	// reserveDivisor, and at least one.
	reserveDivisor = 8
	// maxHomeFill is how many times fuller than the mean the upstream preferred for its
	// cache may be.
	maxHomeFill = 1.25
	// minAffinityPrompt is the number of prompt tokens below which a cached prefix saves
	// less than the detour costs.
	minAffinityPrompt = 64
	// An upstream that gets less than 1/trialShare of an even share of the requests gets the next one. Only
	// its runs can show that it is no longer slow.
	trialShare = 16
	// urgentTrialShare is the same for urgent requests, which try an upstream only where there are few others.
	urgentTrialShare = 8 * trialShare
	// fullBatchCost is the assumed slowdown of a run in a full batch, as a fraction of its
	// run time.
	fullBatchCost = 0.5
)

// Available returns the upstreams in all that have room for one more request and that e allows. It
// reuses the memory of into.
func Available(now time.Time, e *elig.Elig, all, into []*upstr.Upstream) []*upstr.Upstream {
	into = into[:0]
	for _, u := range all {
		if u.HasRoom(now) && e.Allows(now, u) {
			into = append(into, u)
		}
	}
	return into
}

// Pick returns the slot to grant for the item on the best of the available upstreams. It
// returns nil and full if none of them has room for an item of the same model, version and
// length, and nil without full if only this item can't be placed. With expectShort, long work
// leaves slots free for short work. If only is not empty, it names the one upstream that is
// allowed.
func (p Picker) Pick(now time.Time, available []*upstr.Upstream, i *item.Item, expectShort bool, only string) (s *slot.Slot, full bool) {
	var best, preferred, passedOver candidate
	var fill float64
	full = true
	candidates := 0
	for _, u := range available {
		if !hasRoom(now, u, i, expectShort) {
			continue
		}
		full = false
		if !p.mayRun(u, i, only) {
			continue
		}
		c := p.evaluate(now, u, i)
		if c.late {
			continue
		}
		candidates++
		u.PassedOver++
		if passedOver.up == nil || u.PassedOver > passedOver.up.PassedOver {
			passedOver = c
		}
		fill += fillRatio(now, u)
		if best.up == nil || c.finish < best.finish {
			best = c
		}
		if preferred.up == nil || c.betterAffinity(preferred) {
			preferred = c
		}
	}
	if best.up == nil {
		return nil, full
	}
	meanFill := fill / float64(len(available))
	if p.worthDetour(now, i, preferred, best, meanFill) {
		best = preferred
	}
	trial := p.isTrial(i, passedOver, candidates)
	if trial {
		best = passedOver
	}
	best.up.PassedOver = 0
	return &slot.Slot{
		Upstream: best.up, Ticket: i.Ticket, Work: i.Work, Long: i.Long && i.Level() > 0, PrefixCached: best.cached, ExpectedRun: best.runTime, Trial: trial,
	}, false
}

// isTrial reports whether the upstream that was passed over most often, out of a number of candidates, gets the
// request for a trial.
func (p Picker) isTrial(i *item.Item, passedOver candidate, candidates int) bool {
	share := trialShare
	if i.Level() == 0 {
		share = urgentTrialShare
	}
	return passedOver.up.PassedOver > share*candidates
}

// candidate is the evaluation of one upstream for one item.
type candidate struct {
	up         *upstr.Upstream
	runTime    time.Duration // Expected; zero while unknown.
	finish     time.Duration // Expected finish from now, slowed down by the current batch.
	cached     bool
	late       bool // The run would miss the deadline.
	hashWeight uint64
}

// betterAffinity reports whether c is preferred to d for its cache. Upstreams that have the
// prefix come first, ordered by their expected finish. Then comes the prefix's home by
// rendezvous hash, to which later requests with the same prefix will go.
func (c candidate) betterAffinity(d candidate) bool {
	switch {
	case c.cached != d.cached:
		return c.cached
	case c.cached:
		return c.finish < d.finish
	}
	return c.hashWeight > d.hashWeight
}

func (p Picker) evaluate(now time.Time, u *upstr.Upstream, i *item.Item) candidate {
	c := candidate{up: u, hashWeight: u.RendezvousWeight(i.GetPrefixHash())}
	c.cached = i.GetPrefixHash() != 0 && u.Cache.Has(i.GetPrefixHash())
	c.runTime = u.Observed.RunTime(i.GetPromptTokens(), i.GetAnswerTokens(), c.cached)
	run := c.runTime
	if !u.Observed.Known() {
		run = p.TypicalRun
	}
	c.finish = run + time.Duration(float64(run)*fullBatchCost*fillRatio(now, u))
	if i.Deadline.IsZero() || !u.Observed.Known() {
		return c
	}
	c.late = now.Add(p.SafeRunTime(u, i.Ticket)).After(i.Deadline)
	return c
}

// SafeRunTime returns a conservative estimate of the ticket's run time on the upstream, for
// comparison with deadlines. It includes the preset's margin and does not count on a cached
// prefix, which may be gone. It is zero while the speed is unknown.
func (p Picker) SafeRunTime(u *upstr.Upstream, t *wire.Ticket) time.Duration {
	run := u.Observed.RunTime(t.GetPromptTokens(), t.GetAnswerTokens(), false)
	return time.Duration(float64(run) * (1 + p.DeadlineMargin*u.Observed.MeanError()))
}

// worthDetour bounds the cost of cache affinity: preferred must not finish much later than
// best, nor be much fuller than the mean.
func (p Picker) worthDetour(now time.Time, i *item.Item, preferred, best candidate, meanFill float64) bool {
	return i.GetPrefixHash() != 0 && i.GetPromptTokens() >= minAffinityPrompt &&
		preferred.finish <= best.finish+time.Duration(p.MaxDetour*float64(best.finish)) &&
		fillRatio(now, preferred.up) <= maxHomeFill*meanFill+1/float64(max(preferred.up.EffectiveLimit(now), 1))
}

// hasRoom reports whether an available upstream has room for an item of this model, version and
// length. If short work is expected, long work leaves some slots of each upstream free:
// with all slots taken by long requests, an urgent one would wait until one of them ends.
func hasRoom(now time.Time, u *upstr.Upstream, i *item.Item, expectShort bool) bool {
	if !u.HasModel(i.GetModel()) || !u.HasVersion(i.Ticket, i.RunsAt) {
		return false
	}
	if limit := u.EffectiveLimit(now); i.Long && i.Level() > 0 && expectShort && limit > 1 {
		return u.LongRunning < limit-max(limit/reserveDivisor, 1)
	}
	return true
}

// mayRun reports whether the upstream may run this particular item.
func (p Picker) mayRun(u *upstr.Upstream, i *item.Item, only string) bool {
	if (only != "" && u.GetUpstream() != only) || !u.Eligible(i.Ticket, i.RunsAt) {
		return false
	}
	if n := u.GetMaxTokens(); n > 0 && u.Running > 0 && u.ReservedTokens+i.GetPromptTokens()+i.GetAnswerTokens() > n {
		return false
	}
	// An urgent ticket is not used to try a recovering upstream while another one is in
	// service.
	return !u.Observed.OnTrial() || i.Level() > 0 || p.AllOnTrial
}

func fillRatio(now time.Time, u *upstr.Upstream) float64 {
	return float64(u.Running) / float64(max(u.EffectiveLimit(now), 1))
}
