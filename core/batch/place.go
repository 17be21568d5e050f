package batch

import (
	"slices"
	"time"

	"azurelane/core/upstr"
)

const (
	// runPart is the part of a run's time, one in so many, that counts beside the
	// time to its first piece: enough to prefer an engine that is twice as fast,
	// and too little to wait there behind others.
	runPart = 4
	// lateCost and misfit are the costs of a late first piece and of a run that
	// would be cut off at its end: more than any time, and apart from each other.
	lateCost = time.Hour
	misfit   = 2 * time.Hour
	// passMost bounds the tickets that are passed over for one that fits. Three
	// times as many earn the same: 0.627 of worth against 0.630 over twelve heavy
	// and trouble days.
	passMost = 8
)

// next picks the ticket and the upstream for it. A ticket that would be late, or
// whose run would be cut off at its end, wherever there is room lets the next ones
// pass: another engine will have room within milliseconds, and a long run on a
// slow one takes a place for seconds and earns nothing.
func (b *Batch) next(now time.Time, open []*upstr.Upstream) (int, *upstr.Upstream) {
	var quick *upstr.Upstream
	for _, u := range open {
		if quick == nil || b.pace(u).expect(now, u, 0) < b.pace(quick).expect(now, quick, 0) {
			quick = u
		}
	}
	rest, at, least := -1, (*upstr.Upstream)(nil), time.Duration(0) // What goes wrong least, if nothing fits.
	passed := map[int]bool{}
	for range passMost {
		n := b.best(now, quick, passed)
		if n < 0 {
			break
		}
		u, cost := b.place(now, b.waiting[n], open)
		if u != nil && cost < lateCost {
			return n, u
		}
		passed[n] = true
		if u != nil && (rest < 0 || cost.Truncate(lateCost) < least) {
			rest, at, least = n, u, cost.Truncate(lateCost)
		}
	}
	return rest, at
}

// best is the waiting ticket of the highest score, but for those passed over.
func (b *Batch) best(now time.Time, quick *upstr.Upstream, passed map[int]bool) int {
	best, score := -1, 0.0
	for n, i := range b.waiting {
		if passed[n] {
			continue
		}
		if s := b.score(now, i, quick); best < 0 || s > score {
			best, score = n, s
		}
	}
	return best
}

// score is what a ticket earns a second of the place that it takes, by whether
// it is in time. Half of it is that of a usual request of its kind: small
// requests earn more for their time, and by their own worth alone the large ones
// would be the first to be refused whenever there is too much to do.
func (b *Batch) score(now time.Time, i *item, u *upstr.Upstream) float64 {
	p := b.pace(u)
	worth := i.worth
	switch {
	case i.returned:
		worth *= lateCredit + returnCredit
	case i.late(now, p.expect(now, u, i.GetPromptTokens())):
		worth *= lateCredit
	}
	usual := p.place(int64(i.kind.prompt), int64(i.kind.answer))
	own := p.place(i.GetPromptTokens(), i.GetAnswerTokens())
	part := fixedWorth + (1-fixedWorth)*size(i.Ticket)/i.kind.size
	return worth * (1/usual.Seconds() + part/own.Seconds())
}

// place picks the upstream where the run costs least: the time to its first
// piece, and a part of that of its run.
// That is lateCost and more where it would begin or end too late.
func (b *Batch) place(now time.Time, i *item, open []*upstr.Upstream) (*upstr.Upstream, time.Duration) {
	var best *upstr.Upstream
	var least time.Duration
	for _, u := range open {
		if slices.Contains(i.GetAvoid(), u.GetUpstream()) || !b.fits(u, i.GetPromptTokens()+i.GetAnswerTokens()) {
			continue
		}
		if c := b.cost(now, i, u); best == nil || c < least {
			best, least = u, c
		}
	}
	return best, least
}

// cost is what a run costs at an upstream, in time, with a penalty of its own
// magnitude for each thing that would go wrong.
func (b *Batch) cost(now time.Time, i *item, u *upstr.Upstream) time.Duration {
	p := b.pace(u)
	first := p.expect(now, u, i.GetPromptTokens())
	run := p.runs(i.GetAnswerTokens())
	cost := first + run/runPart
	cost += time.Duration((1 - p.whole) * float64(time.Second))
	if i.late(now, first) && !i.late(now, firstToken) { // Where it could be in time elsewhere.
		cost += lateCost
	}
	if now.Add(first + run*3/2).After(i.end) { // Answers are often half as long again as was estimated.
		cost += misfit
	}
	return cost
}
