package batch

import (
	"time"

	"azurelane/core/conf"
	"azurelane/core/later"
)

const (
	// shortage is the time for which overload usually lasts, by which a request that can wait that long
	// outlasts it.
	shortage = 5 * time.Second
	// lastChance is the time before its latest start from which a deferred request may stall other answers.
	lastChance = time.Second
	// firstEventMargin is how long before its caller would leave a request is refused: a run that begins later
	// may show its first event too late.
	firstEventMargin = 500 * time.Millisecond
)

// lateService serves requests that can't be in time any more in the slots that requests in time leave, as
// long as they can end before their deadlines. The zero value is off.
//
// A request is deferred when it could hardly be in time any more. Deferred requests get slots after all others,
// those with the earliest latest start first. Those for which no room is expected before their latest starts
// are refused at once.
type lateService struct {
	on       bool
	worth    map[string]float64       // Share of its worth that a late answer keeps, by route.
	patience map[string]time.Duration // Time without an event after which callers leave, by route.
	plan     later.Plan
	counts   lateCounts
	turns    turns
}

// lateCounts counts what became of requests that could not be in time.
type lateCounts struct{ deferred, granted, refused int64 }

// configure installs the routes' worth of late answers.
func (l *lateService) configure(on bool, cfg *conf.Config) {
	l.on, l.worth, l.patience = on, map[string]float64{}, map[string]time.Duration{}
	for n := range cfg.Routes {
		r := &cfg.Routes[n]
		l.worth[r.Name], l.patience[r.Name] = r.Late(), r.Patience
	}
}

// worthOf returns the share of its worth that a late answer of a route keeps.
func (l *lateService) worthOf(route string) float64 {
	if w, ok := l.worth[route]; ok {
		return w
	}
	return lateValue
}

// admit prepares a ticket that has arrived: it may be deferred if its route wants late answers and its run
// can begin after its objective and still end in time for its deadline.
func (l *lateService) admit(now time.Duration, i *item, mean *engineStats) {
	if !l.on {
		return
	}
	i.slack = i.routeStats.answers.slack()
	beforeDeadline := i.deadline - mean.slotTime(i.prompt, i.answer+int64(answerSlack*float64(i.answer)))
	latest := beforeDeadline
	if p := l.patience[i.GetRoute()]; p > 0 {
		latest = min(latest, now+p-firstEventMargin)
	}
	if i.goesOn || i.objective == never || i.lateWorth == 0 {
		return
	}
	if i.arrivedLate {
		// Its caller came back as it was told, and does not come back again: it competes with those in time.
		i.refuseAt = max(latest, now)
		return
	}
	if latest <= i.refuseAt {
		return
	}
	i.deferrable, i.deferAt, i.refuseAt = true, i.refuseAt, latest
	// A slot given now saves only what the answer would lose by being late, as far as its caller, who may
	// return, can outlast a shortage.
	outlasts := min((beforeDeadline-i.deferAt).Seconds()/shortage.Seconds(), 1)
	i.valueRate *= 1 - i.lateWorth*outlasts
}

// waitsUntil returns the time until which the ticket waits among those that can be in time.
func (i *item) waitsUntil() time.Duration {
	if i.deferrable {
		return i.deferAt
	}
	return i.refuseAt
}

// planLate defers the tickets that can't be in time any more and refuses those for which no room is expected
// before their latest starts. It plans unreachable tickets with them: no slot is expected to reach these
// while they can be in time.
func (b *Batch) planLate(now time.Duration) {
	l := &b.late
	l.plan.Reset()
	for n, i := range b.waiting {
		if i.deferrable && !i.deferred && now >= i.deferAt {
			i.deferred = true
			l.counts.deferred++
		}
		if !i.deferred && !i.unreachable {
			continue
		}
		l.plan.Add(n, i.refuseAt, i.work, i.valueRate*i.routeStats.weights[i.class], i.planned)
		i.planned = true
	}
	b.updateOutlook(now)
	room := func(until time.Duration) time.Duration {
		return b.outlook.Room(now, until) - b.returns.Booked(now, until)
	}
	for _, n := range l.plan.Drop(room) {
		b.waiting[n].refuseAt = now
		l.counts.refused++
	}
}

// LateCounts returns how many tickets were deferred, how many of them got a slot, and how many were refused
// because no room was expected for them.
func (b *Batch) LateCounts() (deferred, granted, refused int64) {
	c := b.late.counts
	return c.deferred, c.granted, c.refused
}

// LateOutlook returns the slots that the pool is worth by its throughput, the slot time committed to tickets that
// are not deferred, and the slot time that is expected to be free within a time from now.
func (b *Batch) LateOutlook(now time.Time, within time.Duration) (capacity float64, committed, free time.Duration) {
	at := now.Sub(b.started)
	if !b.late.on {
		return 0, 0, 0
	}
	o := &b.outlook
	return o.capacity(b.slotCount), o.waiting, o.Room(at, at+within)
}
