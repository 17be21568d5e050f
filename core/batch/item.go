package batch

import (
	"math"
	"time"

	"azurelane/core/part"
	"azurelane/core/route"
	"azurelane/core/wire"
)

const (
	// priorityFactor is the ratio between the values of a unit of work at one priority and at the
	// next less urgent one. It is high enough that a short run of the less urgent priority seldom
	// goes before a usual run, and low enough that bulk work proceeds where it takes little time.
	priorityFactor = 2.6
	// lateValue is the share of an answer's value that remains for its caller if the answer is
	// late, in pools that do not serve late requests by the worth that their routes name. Requests
	// that arrived late count more; see retryValue.
	lateValue = route.DefaultLateWorth
	// answerTokenWeight is the size of an answer token in prompt tokens. Engines take longer for
	// an answer token by about this factor, and callers pay for both in this proportion.
	answerTokenWeight = 10
	// fixedValue is the share of a request's value that does not depend on its size, because
	// callers need short answers, too.
	fixedValue = 0.3
	// A request that arrives too late for its objective waits for at most 1/retryWaitDivisor of
	// the time to its deadline.
	retryWaitDivisor = 6
	// A stream that goes on waits for at most 1/goOnWaitDivisor of the time to its deadline. Engines
	// of other versions can't run it, and its caller would lose the events that it has.
	goOnWaitDivisor = 2
	// retryValue is added to lateValue for a request that arrives too late for its objective. Its
	// caller was told to retry, and does not retry after a second refusal.
	retryValue = 0.3
	// A request avoids engines where it would stall other answers for the first 1/yieldDivisor of
	// the time to its objective. After that its own caller's wait counts more.
	yieldDivisor = 3
	never        = time.Duration(math.MaxInt64) // Later than any time.
)

type (
	// item is a waiting ticket.
	item struct {
		*wire.Ticket
		// Times are durations since the policy started, as each decision compares those of all
		// waiting tickets.
		objective  time.Duration // The first token is late after this time.
		yieldUntil time.Duration // Until then it avoids engines where it would stall other answers.
		deadline   time.Duration // The answer is of no use after this time.
		refuseAt   time.Duration // It is refused if it still waits at this time.
		// valueRate is the value per second of slot time. It is the sum of two rates: that of a
		// usual request of the route and that of this request. Small requests have a higher rate
		// of their own; by it alone, large requests would be the first to be refused under
		// overload.
		valueRate    float64
		priority     int32  // Rank of the route; a smaller number is more urgent.
		version      string // Version of the engines that may run it; empty for any, unless bound is set.
		bound        bool   // Only engines of version may run it, also if they name none.
		goesOn       bool   // A stream that goes on, while there are engines of other versions that can't run it.
		prompt       int64
		answer       int64   // Expected tokens, corrected from the caller's estimate.
		slack        float64 // Share by which answers are often longer than expected.
		prefillSteps float64 // Prefill time in decode steps.
		routeStats   *routeStats
		class        sizeClass
		part         *part.Part // Of its client account; nil while shares are off.
		arrivedLate  bool       // Its objective had nearly passed on arrival, after a refusal or a run that broke off.

		// The fields below belong to lateService.
		lateWorth   float64       // Share of its value that remains if the answer is late.
		work        time.Duration // Slot time on a usual engine.
		deferrable  bool          // It may be served late.
		deferAt     time.Duration // From then on it can't be in time any more.
		deferred    bool          // It gets slots after tickets that can still be in time.
		unreachable bool          // No slot is expected to reach it while it can be in time.
		planned     bool          // Room was expected for it before.
	}
)

func ticketSize(t *wire.Ticket) float64 {
	return float64(t.GetPromptTokens() + answerTokenWeight*t.GetAnswerTokens())
}

func newItem(now time.Duration, t *wire.Ticket, stats *routeStats, mean *engineStats, heldUp time.Duration, goesOn bool) *item {
	i := &item{Ticket: t, priority: t.GetPriority(), version: t.GetVersion(), bound: t.GetBound(), goesOn: goesOn, prompt: t.GetPromptTokens(), answer: stats.answers.expected(t.GetAnswerTokens()), prefillSteps: mean.costs.prefillSteps(t.GetPromptTokens()), objective: never, slack: answerSlack}
	if t.GetObjectiveUs() != 0 {
		i.objective = now + time.Duration(t.GetObjectiveUs())*time.Microsecond
	}
	i.deadline = now + time.Duration(t.GetDeadlineUs())*time.Microsecond
	i.refuseAt = i.deadline - defaultFirstToken
	switch left := i.objective - now; {
	case goesOn:
		i.refuseAt = now + (i.deadline-now)/goOnWaitDivisor
	case i.objective == never:
	case left > defaultFirstToken:
		i.refuseAt = i.objective - defaultFirstToken
		i.yieldUntil = now + left/yieldDivisor
	default:
		// The request arrives late, after a refusal or a run that broke off. The value that it
		// still has justifies waiting for a part of its time, but not for all of it: a refusal
		// after a long wait leaves the caller no time for anything else.
		i.arrivedLate = true
		i.refuseAt = now + (i.deadline-now)/retryWaitDivisor
	}
	i.routeStats, i.class = stats, stats.addRequest(t)
	stats.lastRequest = now
	stats.arrivals.add(now)
	value := math.Pow(priorityFactor, -float64(t.GetPriority()+t.GetAccountPriority())) * stats.meanSize
	usualTime := mean.slotTime(int64(stats.meanPrompt), int64(stats.meanAnswer)) + heldUp
	ownTime := mean.slotTime(i.prompt, i.answer) + heldUp
	relativeValue := fixedValue + (1-fixedValue)*ticketSize(t)/stats.meanSize
	i.valueRate = value * (1/usualTime.Seconds() + relativeValue/ownTime.Seconds())
	return i
}

// score returns the value rate of the ticket if its first token comes at firstTokenAt.
func (i *item) score(firstTokenAt time.Duration) float64 {
	rate := i.valueRate * i.routeStats.weights[i.class] * i.routeStats.boost * i.shareFactor()
	switch {
	case i.goesOn:
		return rate
	case i.arrivedLate:
		return rate * (lateValue + retryValue)
	case firstTokenAt > i.objective:
		return rate * lateValue
	}
	return rate
}

// anyVersion reports whether engines of all versions may run the ticket.
func (i *item) anyVersion() bool { return i.version == "" && !i.bound }

// accepts reports whether engines of a version may run the ticket.
func (i *item) accepts(version string) bool { return i.anyVersion() || i.version == version }
