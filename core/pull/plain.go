package pull

import (
	"time"

	"azurelane/core/acct"
	"azurelane/core/depth"
	"azurelane/core/item"
	"azurelane/core/limit"
	"azurelane/core/refuse"
	"azurelane/core/slot"
	"azurelane/core/upstr"
	"azurelane/core/wait"
	"azurelane/core/wire"
)

// plain is what the policy keeps for a pool that defers plain requests. Its tickets wait in list instead of the
// queue, which knows neither the priority of their route nor their objective.
type plain struct {
	list   wait.List
	depths map[string]*depth.Depth // By upstream.
}

// setPlain turns the order of plain requests on or off. Waiting tickets move.
func (p *Policy) setPlain(now time.Time, on bool) {
	if on == (p.plain != nil) {
		return
	}
	moved := p.removeFunc(func(*item.Item) bool { return true })
	if on {
		p.plain = &plain{depths: map[string]*depth.Depth{}}
		for _, i := range moved {
			p.plain.list.Push(now, i)
		}
		return
	}
	p.plain = nil
	for _, u := range p.table.All() {
		u.Extra = 0
	}
	for _, i := range moved {
		p.queue.Push(i)
	}
}

// waiting returns the number of waiting tickets.
func (p *Policy) waiting() int {
	if p.plain != nil {
		return p.plain.list.Len()
	}
	return p.queue.Len()
}

// drop removes a waiting ticket, if there is one.
func (p *Policy) drop(incarnation string, ticket uint64) {
	if p.plain != nil {
		p.plain.list.Remove(incarnation, ticket)
		return
	}
	p.queue.Remove(incarnation, ticket)
}

// removeFunc removes and returns the waiting tickets for which match returns true.
func (p *Policy) removeFunc(match func(*item.Item) bool) []*item.Item {
	if p.plain != nil {
		return p.plain.list.RemoveFunc(match)
	}
	return p.queue.RemoveFunc(match)
}

// startRound starts a round of grants.
func (p *Policy) startRound(now time.Time) {
	if p.plain == nil {
		p.queue.StartRound()
		return
	}
	p.plain.list.StartRound()
	for _, u := range p.table.All() {
		before := u.Extra
		u.Extra = p.most(now, u) - u.AnnouncedLimit()
		p.availableStale = p.availableStale || u.Extra > before
	}
}

// next offers waiting tickets in their order until one is placed.
func (p *Policy) next(now time.Time, try func(*item.Item) (placed, full bool)) {
	if p.plain != nil {
		p.plain.list.Next(now, try)
		return
	}
	p.queue.Next(try)
}

// depth returns what is known of the number of requests that an upstream may hold.
func (d *plain) depth(u *upstr.Upstream) *depth.Depth {
	e := d.depths[u.GetUpstream()]
	if e == nil {
		e = &depth.Depth{}
		d.depths[u.GetUpstream()] = e
	}
	return e
}

// most returns how many requests an upstream may hold at once.
func (p *Policy) most(now time.Time, u *upstr.Upstream) int {
	return p.plain.depth(u).Most(now, int(u.GetMaxRunning()), upstr.DefaultMaxRunning)
}

// submitPlain queues a plain request, grants it a place, or refuses it. The tier of its ticket is set to the
// usual one: routes name none, and as an urgent one it would never try an upstream again that has failed.
func (p *Policy) submitPlain(now time.Time, t *wire.Ticket) []*wire.Decision {
	t.Tier = wire.Tier_TIER_NORMAL
	l := &p.plain.list
	i := &item.Item{Ticket: t, RunsAt: t.GetVersion(), Work: limit.Cost(t.GetPromptTokens(), t.GetAnswerTokens())}
	p.workload.observe(now, t)
	if t.GetDeadlineUs() > 0 {
		i.Deadline = now.Add(micros(t.GetDeadlineUs()))
	}
	l.Arrive(now, i)
	l.Push(now, i)
	out := p.assign(now)
	for v := l.Shed(t.GetAccount(), p.accountLimit(t.GetAccount())); v != nil; v = l.Shed(t.GetAccount(), p.accountLimit(t.GetAccount())) {
		out = append(out, refuse.Ticket(v.Ticket, refuse.AccountLimit, l.ReturnAfter(now, v)))
	}
	for l.Len() > p.pool.MaxWaiting {
		account, n := l.Busiest()
		v := l.Shed(account, n-1)
		out = append(out, refuse.Ticket(v.Ticket, refuse.Overloaded, l.ReturnAfter(now, v)))
	}
	return append(out, p.reviewPlain(now)...)
}

func (p *Policy) accountLimit(name string) int {
	var a acct.Account
	if p.queue.Accounts != nil {
		a = p.queue.Accounts[name]
	}
	return a.WithDefaults().MaxWaiting
}

// reviewPlain refuses the plain requests that will get no place in time.
func (p *Policy) reviewPlain(now time.Time) []*wire.Decision {
	if p.plain == nil {
		return nil
	}
	var out []*wire.Decision
	p.plain.list.Review(now, p.slots.Len(), func(i *item.Item, after time.Duration) {
		out = append(out, refuse.Ticket(i.Ticket, refuse.Overloaded, after))
	})
	return out
}

// learnPlain learns from the end of a plain request how many its upstream may hold.
func (p *Policy) learnPlain(now time.Time, s *slot.Slot, r *wire.Release) {
	if p.plain == nil || !r.GetDispatched() {
		return
	}
	d := p.plain.depth(s.Upstream)
	switch {
	case r.GetBusy():
		d.Refused(now, s.Upstream.Running)
	case !r.GetFailed() && s.Owner == "":
		d.Done(now.Sub(s.GrantedAt), micros(r.GetTotalUs()), micros(r.GetFirstTokenUs()), s.ExpectedWait == 0)
	}
}

// updatePlain tells the list how fast the servers work.
func (p *Policy) updatePlain(now time.Time) {
	if p.plain == nil {
		return
	}
	rate, span, known, serving := 0.0, 0.0, 0, 0
	for _, u := range p.table.All() {
		if !u.Live(now) || u.Observed.OnTrial() || p.most(now, u) == 0 {
			continue
		}
		serving++
		d := p.plain.depth(u)
		if r := d.Rate(u.AnnouncedLimit(), u.AnnouncedLimit()+u.Extra); r > 0 {
			known++
			rate += r
			span += r * d.Span().Seconds()
		}
	}
	if known > 0 {
		// A server of unknown speed counts as an average one, because a new scheduler learns the speeds one by one.
		p.plain.list.Set(rate/float64(known)*float64(serving), seconds(span/rate))
	}
	p.dropDepths()
}

// dropDepths forgets the upstreams that are gone.
func (p *Policy) dropDepths() {
	if len(p.plain.depths) <= len(p.table.All()) {
		return
	}
	known := map[string]bool{}
	for _, u := range p.table.All() {
		known[u.GetUpstream()] = true
	}
	for id := range p.plain.depths {
		if !known[id] {
			delete(p.plain.depths, id)
		}
	}
}
