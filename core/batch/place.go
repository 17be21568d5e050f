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
	// readTimes is how much more the time counts in which the engine reads the
	// prompt: all other runs there stand nearly still for it. It is also what sends a
	// session back to the engine that has kept most of its prompt: 11 of 75 million
	// tokens of prompts were read again with it where it was 15 without.
	readTimes = 3
	// stallCost, lateCost and misfit are the costs of a pause in the answers of others
	// that is too long, of a late first piece, and of a run that would be cut off at its
	// end: more than any time, and apart from each other.
	stallCost = time.Hour / 2
	lateCost  = time.Hour
	misfit    = 2 * time.Hour
	// longerPart is the part by which answers are often longer than estimated.
	longerPart = 0.5
	// passMost bounds the tickets that are passed over for one that fits. Whoever is
	// further behind than that would wait for its own turn as well.
	passMost = 8
)

// next picks the ticket and the upstream for it. A ticket that would be late, make
// others late, or be cut off at its end, wherever there is room lets the next ones
// pass: another engine will have room within milliseconds, and a long run on a
// slow one takes a place for seconds and earns nothing.
func (b *Batch) next(now time.Duration, beyond bool) (int, *engine) {
	rest, at, least := -1, (*engine)(nil), time.Duration(0) // What goes wrong least, if nothing fits.
	first := b.first(now, beyond)
	for _, n := range first.at[:first.count] {
		o, cost := b.place(now, b.waiting[n])
		if o != nil && cost < stallCost {
			return n, o.engine
		}
		if o == nil || (cost >= misfit && o.beyond) {
			continue // It would hold the next place there for nothing.
		}
		if rest < 0 || cost.Truncate(stallCost) < least {
			rest, at, least = n, o.engine, cost.Truncate(stallCost)
		}
	}
	return rest, at
}

// first picks the waiting tickets of the highest scores, best first; only the most
// urgent ones where there is room beyond batches alone, and only ones that can end in
// time at some engine with room, as long as there are any. One pass finds them all: in
// a burst thousands wait, and each of a thousand grants a second looks at every one.
func (b *Batch) first(now time.Duration, beyond bool) top {
	quick, fast := &b.open[0], &b.open[0]
	for n := range b.open {
		if b.open[n].first < quick.first {
			quick = &b.open[n]
		}
		if b.open[n].perToken < fast.perToken {
			fast = &b.open[n]
		}
	}
	var fit, unfit top
	for n, i := range b.waiting {
		if beyond && !b.urgent.has(i) {
			continue
		}
		s := i.score(now + quick.first + time.Duration(i.reads*float64(quick.perToken)))
		if i.misfits(now, fast, i.reads) {
			unfit.add(n, s)
			continue
		}
		fit.add(n, s)
	}
	if fit.count == 0 {
		return unfit
	}
	return fit
}

// top keeps the places in the queue of the highest scores, best first.
type top struct {
	at     [passMost]int
	scores [passMost]float64
	count  int
}

func (t *top) add(n int, score float64) {
	if t.count == passMost && score <= t.scores[t.count-1] {
		return
	}
	at := min(t.count, passMost-1)
	for at > 0 && score > t.scores[at-1] {
		t.at[at], t.scores[at] = t.at[at-1], t.scores[at-1]
		at--
	}
	t.at[at], t.scores[at] = n, score
	t.count = min(t.count+1, passMost)
}

// misfits reports whether a run would be cut off at its end. Answers are often half as
// long again as was estimated; requests of a size class with a deficit take the chance
// that this one is not.
func (i *item) misfits(now time.Duration, o *offer, reads float64) bool {
	run := float64(i.answer) * float64(o.perToken)
	run *= 1 + longerPart/i.kind.weights[i.class]
	return now+o.first+time.Duration(reads*float64(o.perToken)+run) > i.end
}

// stalls reports whether reading a prompt, with what is still to be read there, makes
// the next events of others that run at the engine late. It reads prompts in turns
// with the steps of what runs, which nearly stands still meanwhile: on a slow engine a
// long prompt made five others late, on a quick one none. How much of the reading
// falls between two events depends on the turns, and is learnt from the longest pauses
// seen.
func (b *Batch) stalls(unread, read, perToken time.Duration) bool {
	if b.gap == 0 {
		return false
	}
	event := time.Duration(max(b.pool.EventTokens, 1)) * perToken
	pause := unread + read + event
	if worst := time.Duration(b.shape.worst * float64(event)); worst > 0 {
		pause = min(pause, worst)
	}
	return pause > b.gap
}

// place picks the engine where the run costs least: the time to its first piece,
// and a part of that of its run. That is lateCost and more where it would begin or
// end too late.
func (b *Batch) place(now time.Duration, i *item) (*offer, time.Duration) {
	var best *offer
	var least time.Duration
	urgent := b.urgent.has(i)
	tokens := i.GetPromptTokens() + i.GetAnswerTokens()
	for n := range b.open {
		o := &b.open[n]
		if o.beyond && !urgent {
			continue
		}
		if len(i.GetAvoid()) > 0 && slices.Contains(i.GetAvoid(), o.GetUpstream()) {
			continue
		}
		if !b.fits(o.Upstream, tokens) {
			continue
		}
		if c := b.cost(now, i, o); best == nil || c < least {
			best, least = o, c
		}
	}
	return best, least
}

// kept is how much of the prompt an engine need not read: the parts at its
// beginning that a request had which ran there lately.
func kept(u *upstr.Upstream, i *item) int64 {
	n := int64(0)
	for _, p := range i.GetParts() {
		if !u.Cache.Has(p.GetHash()) {
			break
		}
		n += p.GetTokens()
	}
	return min(n, i.GetPromptTokens())
}

// cost is what a run costs at an upstream, in time, with a penalty of its own
// magnitude for each thing that would go wrong.
func (b *Batch) cost(now time.Duration, i *item, o *offer) time.Duration {
	reads := i.reads
	if n := kept(o.Upstream, i); n > 0 {
		reads = b.shape.reads(i.prompt - n)
	}
	read := time.Duration(reads * float64(o.perToken))
	first := o.first + read
	run := time.Duration(i.answer) * o.perToken
	cost := first + run/runPart + readTimes*read + o.failing
	if now+first > i.onTime && now+b.ideal.soonest(reads) <= i.onTime { // It could be in time elsewhere.
		cost += lateCost
	}
	if now < i.spare && o.Running > 0 && b.stalls(o.unread, read, o.perToken) && !b.stalls(0, time.Duration(reads*float64(b.ideal.perToken)), b.ideal.perToken) {
		cost += stallCost
	}
	if i.misfits(now, o, reads) {
		cost += misfit
	}
	return cost
}
