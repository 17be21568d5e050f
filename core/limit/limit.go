// Package limit learns from an upstream's own runs how fast it is, how many requests it
// runs at once, and whether it is healthy.
//
// Only observed runs count. Load reports are late, may be lost, and may be wrong.
package limit

import (
	"math"
	"time"

	"azurelane/core/plane"
	"azurelane/core/slope"
)

// Profile is what has been learned about one upstream. The zero value knows nothing and
// trusts the announced concurrency limit.
type Profile struct {
	trialSlots int     // Slots allowed while it recovers; zero when in full service.
	maxRunning float64 // Learned concurrency limit; zero for the announced one.

	firstToken slope.Fit // Seconds to the first token, by prompt tokens.
	decode     slope.Fit // Seconds from the first to the last token, by answer tokens.
	// Seconds of runs with an answer in one piece, where prefill and decode can't be told
	// apart.
	wholeRun       plane.Fit
	meanError      float64 // Mean relative error of RunTime.
	minPrefill     float64 // Least seconds to the first token for each prompt token.
	queuedFraction float64 // Mean fraction of a run spent in the upstream's own queue.
	runsSinceCut   int     // Runs since maxRunning was last lowered.

	lastSuccess     time.Time
	failures        int           // Consecutive failures.
	lastAccount     string        // Client account of the last failure.
	severalAccounts bool          // The consecutive failures come from several client accounts.
	outageEnd       time.Time     // Out of service until then.
	outage          time.Duration // Length of the last outage.
}

const (
	ewmaGain         = 0.1 // Weight of a new value in the running means.
	firstTokenOffset = 64  // Tokens added to each prompt for the fixed cost of a request.
	wholeRunOffset   = 8   // The same for answers in one piece, whose fit has no constant term.
	cachedFraction   = 0.1 // Part of a prompt that is processed although its prefix is cached.

	// An upstream that spends more than highQueued of each run in its own queue gets fewer
	// requests, one that spends less than lowQueued gets more.
	highQueued = 0.5
	lowQueued  = 0.25
	cutFactor  = 0.9
	// minPrefillGrowth raises minPrefill with each run. Otherwise an upstream that became
	// slower for good would seem to queue requests.
	minPrefillGrowth = 1.001

	maxFailuresSeveral = 3 // Consecutive failures of several accounts that start an outage.
	maxFailuresOne     = 6 // Consecutive failures of one account that start an outage.
	minOutage          = time.Second
	maxOutage          = 30 * time.Second

	successWindow = 5 * time.Second // How long a success is evidence of a healthy upstream.
)

// Cost returns the size of a run in work units: one for each answer token, and for each
// prompt token the part of an answer token's time that batching engines need for it.
func Cost(prompt, answer int64) float64 { return 1 + float64(prompt)/16 + float64(answer) }

// Known reports whether a run has been observed.
func (p *Profile) Known() bool { return p.firstToken.HasData() || p.wholeRun.HasData() }

// RunTime returns the expected time of a run from dispatch to its end, at recent batch
// sizes. It is zero while nothing is known.
func (p *Profile) RunTime(prompt, answer int64, cached bool) time.Duration {
	x, y := prefillTokens(prompt, cached), float64(answer)
	s := p.firstToken.At(x) + p.decode.At(y)
	if !p.firstToken.HasData() {
		s = p.wholeRun.At(x+wholeRunOffset, y)
	}
	return time.Duration(s * float64(time.Second))
}

// MeanError returns the mean relative error of RunTime, at most 1.
func (p *Profile) MeanError() float64 { return min(p.meanError, 1) }

func prefillTokens(prompt int64, cached bool) float64 {
	if cached {
		return float64(prompt) * cachedFraction
	}
	return float64(prompt)
}

// RecordSuccess learns from a complete run that took first until its first token and total
// until its last one. first is zero if unknown, and equals total for an answer in one
// piece. running is the number of requests on the upstream, this one included, and
// announced is its announced limit. If the upstream is on trial, its slots double.
func (p *Profile) RecordSuccess(now time.Time, prompt, answer int64, cached bool, first, total time.Duration, running, announced int) {
	if expected := p.RunTime(prompt, answer, cached).Seconds(); expected > 0 {
		p.meanError += ewmaGain * (math.Abs(total.Seconds()/expected-1) - p.meanError)
	}
	x := prefillTokens(prompt, cached)
	if first > 0 && first < total*9/10 {
		p.firstToken.Add(x, first.Seconds())
		p.decode.Add(float64(answer), (total - first).Seconds())
		p.adjustConcurrency(x, first, total, running, announced)
	} else {
		p.wholeRun.Add(x+wholeRunOffset, float64(answer), total.Seconds())
		if p.firstToken.HasData() {
			p.decode.Add(float64(answer), max(total.Seconds()-p.firstToken.At(x), 0))
		}
	}
	p.lastSuccess = now
	p.failures, p.severalAccounts, p.outageEnd, p.outage = 0, false, time.Time{}, 0
	if p.trialSlots > 0 {
		// Doubling keeps a pool's whole backlog from reaching a recovering upstream at once
		// and breaking it again.
		p.trialSlots *= 2
		if p.trialSlots >= p.concurrencyLimit(announced) {
			p.trialSlots = 0
		}
	}
}

// adjustConcurrency lowers the limit of an upstream that queues requests because it
// announced more than it runs at once, and raises it again when its queue is gone. Urgent
// work can't overtake in the upstream's queue, so work is better queued here.
func (p *Profile) adjustConcurrency(prompt float64, first, total time.Duration, running, announced int) {
	perToken := first.Seconds() / (prompt + firstTokenOffset)
	if p.minPrefill == 0 || perToken < p.minPrefill {
		p.minPrefill = perToken
	}
	p.minPrefill *= minPrefillGrowth
	queued := max(first.Seconds()-p.minPrefill*(prompt+firstTokenOffset), 0) / total.Seconds()
	p.queuedFraction += ewmaGain * (queued - p.queuedFraction)
	p.runsSinceCut++
	limit := p.concurrencyLimit(announced)
	switch {
	case p.queuedFraction > highQueued && running >= limit && p.runsSinceCut > limit:
		p.maxRunning = max(float64(limit)*cutFactor, 1)
		p.runsSinceCut = 0
	case p.queuedFraction < lowQueued && p.maxRunning > 0 && running >= limit:
		p.maxRunning += 1 / p.maxRunning
	}
	if int(p.maxRunning) >= announced {
		p.maxRunning = 0
	}
}

// concurrencyLimit returns the limit in full service: the learned or else the announced one.
func (p *Profile) concurrencyLimit(announced int) int {
	if p.maxRunning == 0 {
		return announced
	}
	return max(int(p.maxRunning), 1)
}

// Concurrency returns how many requests the upstream may be given at once: none while it is
// out of service, few while it recovers.
func (p *Profile) Concurrency(now time.Time, announced int) int {
	if p.trialSlots > 0 {
		if now.Before(p.outageEnd) {
			return 0
		}
		return min(p.trialSlots, p.concurrencyLimit(announced))
	}
	return p.concurrencyLimit(announced)
}

// OnTrial reports whether the upstream is out of service or recovering.
func (p *Profile) OnTrial() bool { return p.trialSlots > 0 }

// AccountAtFault reports whether the consecutive failures all come from one client account
// and another run succeeded shortly before them. Then the account is the likely cause, not
// the upstream.
func (p *Profile) AccountAtFault(now time.Time) bool {
	return !p.severalAccounts && !p.lastSuccess.IsZero() && now.Sub(p.lastSuccess) < successWindow
}

// LastSuccess returns the time of the last success.
func (p *Profile) LastSuccess() time.Time { return p.lastSuccess }

// RecordFailure counts a failed run. Failures of one account weigh less than those of
// several, so that an account whose requests break engines doesn't take the engines from
// the others. The empty account stands for a failed connection, which is no account's
// fault.
func (p *Profile) RecordFailure(now time.Time, account string) {
	if account == "" || (p.failures > 0 && account != p.lastAccount) {
		p.severalAccounts = true
	}
	p.lastAccount = account
	p.failures++
	if p.trialSlots > 0 || (p.severalAccounts && p.failures >= maxFailuresSeveral) || p.failures >= maxFailuresOne {
		p.StartOutage(now)
	}
}

// StartOutage takes the upstream out of service for a time that doubles with each outage.
// After that time, one run at a time tries the upstream. Failures of runs that were
// dispatched before an outage don't extend it.
func (p *Profile) StartOutage(now time.Time) {
	if p.trialSlots > 0 && now.Before(p.outageEnd) {
		return
	}
	p.outage = min(max(2*p.outage, minOutage), maxOutage)
	p.outageEnd = now.Add(p.outage)
	p.trialSlots = 1
}

// EndOutage ends an outage early because the upstream has restarted. The upstream still
// gets one run at first.
func (p *Profile) EndOutage() {
	p.failures, p.severalAccounts, p.outageEnd = 0, false, time.Time{}
}
