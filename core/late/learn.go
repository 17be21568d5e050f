package late

import (
	"slices"
	"time"

	"azurelane/core/limit"
	"azurelane/core/slot"
	"azurelane/core/wire"
)

const (
	// A run is overdue after overdueFactor times its expected time and
	// overdueGrace more.
	overdueFactor = 4
	overdueGrace  = time.Second
	// wrongCache is the part of an uncached prompt's expected time that a run
	// with a cached prefix must stay under.
	wrongCache = 0.5
)

// Release frees a slot, learns from the run and grants what now fits. What is
// no slot of this owner any more teaches nothing, as its run was counted or
// given up before.
func (l *Late) Release(now time.Time, r *wire.Release) []*wire.Decision {
	s := l.slots.Free(now, r)
	if s == nil {
		return nil
	}
	l.learn(now, s, r)
	if !slices.Contains(l.open, s.Upstream) {
		l.open = append(l.open, s.Upstream)
	}
	return l.assign(now)
}

func (l *Late) learn(now time.Time, s *slot.Slot, r *wire.Release) {
	t, u := s.Ticket, s.Upstream
	switch {
	case !r.GetDispatched():
		l.queue.Correct(t.GetAccount(), -s.Work)
		if r.GetFailed() {
			u.Observed.RecordFailure(now, "")
		}
		return
	case r.GetFailed():
		l.failed(now, s, r)
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
		l.queue.Correct(t.GetAccount(), limit.Cost(prompt, answer)-s.Work)
	}
	l.blame.Done(t.GetAccount())
	first, total := micros(r.GetFirstTokenUs()), micros(r.GetTotalUs())
	if s.PrefixCached && l.uncached(s, prompt, first) {
		u.Cache.Wrong(t.GetPrefixHash())
		s.PrefixCached = false
	}
	u.Observed.RecordSuccess(now, prompt, answer, s.PrefixCached, first, total, u.Running+1, u.AnnouncedLimit())
}

// failed blames the account or the upstream. An account whose requests fail
// where the others' succeed is confined; its failures then say nothing of the
// upstream.
func (l *Late) failed(now time.Time, s *slot.Slot, r *wire.Release) {
	account := s.Ticket.GetAccount()
	if d := s.Ticket.GetDeadlineUs(); d > 0 && micros(r.GetTotalUs()) >= micros(d)*9/10 {
		return // Given up at its own deadline. Whether the upstream hangs, overdue tells.
	}
	if _, confined := l.blame.Confined(now, account); confined {
		l.blame.Fail(now, account, s.Upstream.GetUpstream())
		return
	}
	s.Upstream.Observed.RecordFailure(now, account)
	if s.Upstream.Observed.AccountAtFault(now) {
		l.blame.Fail(now, account, s.Upstream.GetUpstream())
	}
}

// uncached reports whether a run shows that the prefix was not cached.
func (l *Late) uncached(s *slot.Slot, prompt int64, first time.Duration) bool {
	full := s.Upstream.Observed.RunTime(prompt, 0, false) - s.Upstream.Observed.RunTime(0, 0, false)
	saved := full - (s.Upstream.Observed.RunTime(prompt, 0, true) - s.Upstream.Observed.RunTime(0, 0, true))
	return first > 0 && saved > 0 && first > s.Upstream.Observed.RunTime(0, 0, true)+time.Duration(wrongCache*float64(full))
}

// overdue takes an upstream out of service that holds a run for much longer
// than expected and has finished nothing else meanwhile. A frozen engine keeps
// its connections open and may go on announcing itself, so neither a failed run
// nor a lost lease would tell before the callers' deadlines.
func (l *Late) overdue(now time.Time) func(*slot.Slot) {
	return func(s *slot.Slot) {
		limit := overdueFactor*s.ExpectedRun + overdueGrace
		if s.ExpectedRun > 0 && now.Sub(s.GrantedAt) > limit && now.Sub(s.Upstream.Observed.LastSuccess()) > limit {
			s.Upstream.Observed.StartOutage(now)
		}
	}
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
