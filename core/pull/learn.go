package pull

import (
	"math"
	"slices"
	"time"

	"azurelane/core/limit"
	"azurelane/core/slot"
	"azurelane/core/wire"
)

const (
	// A run is overdue after overdueFactor times its expected time plus overdueGrace.
	overdueFactor = 4
	overdueGrace  = time.Second
	// maxCachedFraction is the fraction of the expected prefill time without a cache below
	// which a run with a cached prefix must stay. A slower prefill shows that the prefix
	// was not cached.
	maxCachedFraction = 0.5
	// A trial that takes less than this fraction of the expected time is followed by another one, until the
	// estimate has met what the upstream does.
	trialFraction = 0.75
)

// Release frees a slot, learns from the run and grants free slots. A release of a slot that
// this owner does not hold any more is ignored, because the run was already counted or
// given up.
func (p *Policy) Release(now time.Time, r *wire.Release) []*wire.Decision {
	s := p.slots.Free(now, r)
	if s == nil {
		return nil
	}
	p.learnPlain(now, s, r)
	p.learn(now, s, r)
	if !slices.Contains(p.available, s.Upstream) {
		p.available = append(p.available, s.Upstream)
	}
	return p.assign(now)
}

func (p *Policy) learn(now time.Time, s *slot.Slot, r *wire.Release) {
	t, u := s.Ticket, s.Upstream
	switch {
	case !r.GetDispatched():
		p.queue.AdjustCharge(t.GetAccount(), -s.Work)
		if r.GetFailed() {
			u.Observed.RecordFailure(now, "")
		}
		return
	case r.GetBusy(): // Nothing ran there, so its time says nothing.
		p.queue.AdjustCharge(t.GetAccount(), -s.Work)
		return
	case r.GetFailed():
		p.recordFailure(now, s, r)
		return
	}
	prompt, answer := t.GetPromptTokens(), t.GetAnswerTokens()
	if n := r.GetPromptTokens(); n > 0 {
		prompt = n
	}
	if n := r.GetAnswerTokens(); n > 0 {
		answer = n
	}
	if s.Work > 0 {
		p.queue.AdjustCharge(t.GetAccount(), limit.Cost(prompt, answer)-s.Work)
	}
	p.abuse.RecordSuccess(t.GetAccount())
	first, total := micros(r.GetFirstTokenUs()), micros(r.GetTotalUs())
	if s.PrefixCached && p.cacheMissed(s, prompt, first) {
		u.Cache.Forget(t.GetPrefixHash())
		s.PrefixCached = false
	}
	if s.Trial && float64(total) < trialFraction*float64(s.ExpectedRun) {
		u.PassedOver = math.MaxInt32
	}
	u.Observed.RecordSuccess(now, prompt, answer, s.PrefixCached, first, total, u.Running+1, u.AnnouncedLimit())
}

// recordFailure attributes a failed run to the account or to the upstream. An account whose
// requests fail where those of others succeed is confined; while it is, its failures don't
// count against upstreams.
func (p *Policy) recordFailure(now time.Time, s *slot.Slot, r *wire.Release) {
	account := s.Ticket.GetAccount()
	if d := s.Ticket.GetDeadlineUs(); d > 0 && micros(r.GetTotalUs()) >= micros(d)*9/10 {
		return // The caller's own deadline ended the run; checkOverdue detects upstreams that hang.
	}
	if _, confined := p.abuse.Confined(now, account); confined {
		p.abuse.RecordFailure(now, account, s.Upstream.GetUpstream())
		return
	}
	s.Upstream.Observed.RecordFailure(now, account)
	if s.Upstream.Observed.AccountAtFault(now) {
		p.abuse.RecordFailure(now, account, s.Upstream.GetUpstream())
	}
}

// cacheMissed reports whether the time to the first token shows that the prefix was not
// cached.
func (p *Policy) cacheMissed(s *slot.Slot, prompt int64, first time.Duration) bool {
	full := s.Upstream.Observed.RunTime(prompt, 0, false) - s.Upstream.Observed.RunTime(0, 0, false)
	saved := full - (s.Upstream.Observed.RunTime(prompt, 0, true) - s.Upstream.Observed.RunTime(0, 0, true))
	return first > 0 && saved > 0 && first > s.Upstream.Observed.RunTime(0, 0, true)+time.Duration(maxCachedFraction*float64(full))
}

// checkOverdue returns a function for the sweep that takes an upstream out of service if
// one of its runs takes much longer than expected and no other run there has succeeded
// meanwhile. A frozen engine keeps its connections open and may go on announcing itself, so
// neither a failed run nor an expired lease reveals it before the callers' deadlines.
func (p *Policy) checkOverdue(now time.Time) func(*slot.Slot) {
	return func(s *slot.Slot) {
		limit := overdueFactor*s.ExpectedRun + overdueGrace
		if s.ExpectedRun > 0 && now.Sub(s.GrantedAt) > limit && now.Sub(s.Upstream.Observed.LastSuccess()) > limit {
			s.Upstream.Observed.StartOutage(now)
		}
	}
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
