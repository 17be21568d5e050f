package pull

import (
	"time"

	"azurelane/core/item"
	"azurelane/core/limit"
	"azurelane/core/refuse"
	"azurelane/core/wire"
)

const (
	maxLateRefusals    = 8   // Tickets of one account and tier that one call of refuseLate refuses.
	lateSlack          = 0.2 // Fraction of the time left by which a ticket must be late.
	sweepsPerLateCheck = 5   // Sweeps between two calls of refuseLate.
)

// sweep examines all slots and upstreams, which is too expensive for every call.
func (p *Policy) sweep(now time.Time) []*wire.Decision {
	p.lastSweep, p.availableStale = now, true
	p.table.Expire(now, upstreamRetention)
	p.slots.Sweep(now, p.pool.MaxRun+runGrace, p.checkOverdue(now))
	p.updateThroughput(now)
	before := p.liveUpstreams
	p.updateCapacity(now)
	var out []*wire.Decision
	if p.sweeps++; p.sweeps%sweepsPerLateCheck == 0 {
		out = p.refuseLate(now)
	}
	if (p.liveUpstreams < before || p.liveUpstreams == 0) && now.Sub(p.ownerSince) >= startGrace {
		out = append(out, p.refuseUnserved(now)...)
	}
	return out
}

// updateCapacity updates the number of live upstreams, their total rate, and the fastest
// one for a typical request.
func (p *Policy) updateCapacity(now time.Time) {
	p.liveUpstreams, p.rate, p.fastest = 0, 0, nil
	p.picker.AllOnTrial, p.picker.TypicalRun = true, 0
	var quickest time.Duration
	prompt, answer := int64(p.workload.meanPrompt), int64(p.workload.meanAnswer)
	for _, u := range p.table.All() {
		if !u.Live(now) {
			continue
		}
		p.liveUpstreams++
		p.picker.AllOnTrial = p.picker.AllOnTrial && u.Observed.OnTrial()
		e := u.Observed.RunTime(prompt, answer, false)
		if e <= 0 {
			continue
		}
		p.rate += float64(u.EffectiveLimit(now)) * limit.Cost(prompt, answer) / e.Seconds()
		p.picker.TypicalRun = max(p.picker.TypicalRun, e)
		if p.fastest == nil || e < quickest {
			p.fastest, quickest = u, e
		}
	}
	p.updatePlain(now)
	p.rate = p.throughput.capacity(p.rate)
	p.queue.Burst = p.rate * burstTime.Seconds()
}

// refuseUnserved refuses waiting tickets that no live upstream serves any more, instead of
// letting them wait until their deadline.
func (p *Policy) refuseUnserved(now time.Time) []*wire.Decision {
	var out []*wire.Decision
	for _, i := range p.removeFunc(func(i *item.Item) bool { return !p.hasUpstream(now, i.Ticket) }) {
		out = append(out, p.refuseUnservedTicket(now, i.Ticket))
	}
	return out
}

// refuseLate refuses waiting tickets that are predicted to be late by now, the newest
// first. They were accepted before more urgent work arrived or before an upstream became
// slow, and their callers should not learn of it only at the deadline. It tolerates more
// lateness than checkDeadline, so that a short disturbance causes no refusals.
func (p *Policy) refuseLate(now time.Time) []*wire.Decision {
	if p.rate == 0 {
		return nil
	}
	var out []*wire.Decision
	for _, i := range p.queue.Newest() {
		for n := 0; i != nil && n < maxLateRefusals && !i.LatestDispatch.IsZero() && !p.queue.HasLower(i.GetAccount(), i.Level()); n++ {
			late := p.lateness(now, i)
			if late <= time.Duration(lateSlack*float64(i.LatestDispatch.Sub(now))) {
				break
			}
			p.queue.Remove(i.GetIncarnation(), i.GetId())
			out = append(out, refuse.Ticket(i.Ticket, refuse.Deadline, spreadRetry(i.Ticket, late)))
			i = p.queue.NewestOf(i.GetAccount(), i.Level())
		}
	}
	return out
}
