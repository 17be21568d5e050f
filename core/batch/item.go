package batch

import (
	"math"
	"time"

	"azurelane/core/wire"
)

const (
	// priorityFactor is how much more a unit of work of one priority counts
	// than of the next: enough that a short run of the next one seldom goes before a
	// usual run, and little enough that bulk work moves where it takes little time.
	priorityFactor = 2.6
	// lateCredit is the part of an answer's value that is left for its caller when it
	// is late: less than a third, so that it takes the place of nobody who can still be
	// in time.
	lateCredit = 0.29
	// answerWeight is the size of an answer token in prompt tokens: engines take longer
	// for one by about that, and callers pay for both by it.
	answerWeight = 10
	// fixedWorth is the part of a request's value that does not depend on its size: a
	// caller needs a short answer, too.
	fixedWorth = 0.3
	// lateWait is the part of its time, one in so many, that a request waits
	// which comes too late to be on time.
	lateWait = 6
	// returnCredit is what a request that came back counts beside its late credit: its
	// caller was told to come, and a second refusal is its last one.
	returnCredit = 0.3
	// sparePart is the part of its time, one in so many, for which a request leaves
	// places to others where it would make their answers pause. After that its own
	// caller's wait counts more.
	sparePart = 3
	never     = time.Duration(math.MaxInt64) // Later than any moment.
)

type (
	// item is a waiting ticket.
	item struct {
		*wire.Ticket
		// Moments are spans since the policy's start: each decision compares those of
		// all that wait.
		onTime time.Duration // The first piece is late after it.
		spare  time.Duration // Until then it can wait for a better place than the next one.
		end    time.Duration // Nothing is of use after it.
		giveUp time.Duration // It is refused when it still waits then.
		// earns is what it earns a second of the place that it takes, in time. Half
		// of it is that of a usual request of its kind: small requests earn more for
		// their time, and by their own alone the large ones would be the first
		// to be refused whenever there is too much to do.
		earns    float64
		priority int32
		prompt   int64
		answer   int64   // Tokens to reckon with, by its caller's estimate.
		reads    float64 // Time of reading the prompt, in times of an answer token.
		kind     *kind
		class    sizeClass
		returned bool // It came back after a refusal or a run that broke off.
	}
)

func size(t *wire.Ticket) float64 {
	return float64(t.GetPromptTokens() + answerWeight*t.GetAnswerTokens())
}

func newItem(now time.Duration, t *wire.Ticket, k *kind, p *pace) *item {
	i := &item{Ticket: t, priority: t.GetPriority(), prompt: t.GetPromptTokens(), answer: k.length.expect(t.GetAnswerTokens()), reads: p.shape.reads(t.GetPromptTokens()), onTime: never}
	if t.GetObjectiveUs() != 0 {
		i.onTime = now + time.Duration(t.GetObjectiveUs())*time.Microsecond
	}
	i.end = now + time.Duration(t.GetDeadlineUs())*time.Microsecond
	i.giveUp = i.end - firstToken
	switch left := i.onTime - now; {
	case i.onTime == never:
	case left > firstToken:
		i.giveUp = i.onTime - firstToken
		i.spare = now + left/sparePart
	default:
		// It came late, after a refusal or a run that broke off. Whatever it
		// still earns is worth some of its time, but not all of it: a refusal after a
		// long wait leaves the caller no time for anything else.
		i.returned = true
		i.giveUp = now + (i.end-now)/lateWait
	}
	i.kind, i.class = k, k.seen(t)
	k.seenAt = now
	k.rate.add(now)
	worth := math.Pow(priorityFactor, -float64(t.GetPriority()+t.GetAccountPriority())) * k.size
	usual := p.place(int64(k.prompt), int64(k.answer))
	own := p.place(i.prompt, i.answer)
	part := fixedWorth + (1-fixedWorth)*size(t)/k.size
	i.earns = worth * (1/usual.Seconds() + part/own.Seconds())
	return i
}

// score is what it earns when its first piece comes at a time.
func (i *item) score(first time.Duration) float64 {
	earns := i.earns * i.kind.weights[i.class] * i.kind.urgency
	switch {
	case i.returned:
		return earns * (lateCredit + returnCredit)
	case first > i.onTime:
		return earns * lateCredit
	}
	return earns
}
