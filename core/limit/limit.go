// Package limit learns from an upstream's own runs how fast it is, how much it
// takes at once, and whether it may be trusted with work.
//
// Only what came back is believed. Load reports are late, may be lost, and may
// be wrong.
package limit

import (
	"math"
	"time"

	"azurelane/core/plane"
	"azurelane/core/slope"
)

// Profile is what is learnt of one upstream. The zero value knows nothing and
// trusts the announced limit.
type Profile struct {
	trial int     // Slots allowed while it comes back; zero when in service.
	most  float64 // Requests at once; zero for as many as announced.

	first slope.Fit // Seconds to the first token, by prompt tokens.
	rest  slope.Fit // Seconds from the first to the last token, by answer tokens.
	whole plane.Fit // Seconds of answers in one piece, which don't show the two apart.
	miss  float64   // Mean part by which the expectation was missed.
	unit  float64   // Least seconds to the first token for each prompt token.
	wait  float64   // Part of a run that is spent in the upstream's own queue.
	calm  int       // Runs since most was last lowered.

	good   time.Time     // Last success.
	fails  int           // Failures in a row.
	who    string        // Client account of the last failure.
	others bool          // Several client accounts are among the failures in a row.
	until  time.Time     // Out of service until then.
	pause  time.Duration // Length of the last outage.
}

const (
	gain        = 0.1 // Of running means.
	firstOffset = 64  // Tokens added to each prompt for what every request costs.
	wholeOffset = 8   // The same for answers in one piece, whose fit takes no offset of its own.
	cachedPart  = 0.1 // Of a prompt that is worked off when its prefix is cached.

	// An upstream with more than longWait of each run in its own queue is given
	// less, one with less than shortWait more.
	longWait  = 0.5
	shortWait = 0.25
	lower     = 0.9
	// forget raises the least time per token with each run, or an upstream that
	// got slower for good would seem crowded.
	forget = 1.001

	failsSeveral = 3 // Failures in a row of several accounts that take an upstream out.
	failsOne     = 6 // Failures in a row of one account that do.
	firstPause   = time.Second
	longestPause = 30 * time.Second

	goodKeep = 5 * time.Second // How long a success speaks for an upstream.
)

// Cost is a run's size in work units: answer tokens, and prompt tokens at the
// part of an answer token's time that batching engines need for them.
func Cost(prompt, answer int64) float64 { return 1 + float64(prompt)/16 + float64(answer) }

// Known reports whether a run has come back.
func (l *Profile) Known() bool { return l.first.HasData() || l.whole.HasData() }

// RunTime is the time that a run takes from dispatch to its end, at the batch
// sizes of late. It is zero while nothing is known.
func (l *Profile) RunTime(prompt, answer int64, cached bool) time.Duration {
	x, y := worked(prompt, cached), float64(answer)
	s := l.first.At(x) + l.rest.At(y)
	if !l.first.HasData() {
		s = l.whole.At(x+wholeOffset, y)
	}
	return time.Duration(s * float64(time.Second))
}

// MeanError is the mean part by which Expect was missed, at most 1.
func (l *Profile) MeanError() float64 { return min(l.miss, 1) }

func worked(prompt int64, cached bool) float64 {
	if cached {
		return float64(prompt) * cachedPart
	}
	return float64(prompt)
}

// RecordSuccess learns from a whole run that took first to its first token and total to
// its last one, and brings an upstream on trial back by doubling what it gets.
// First is zero when it isn't known, and equals total for an answer in one piece.
func (l *Profile) RecordSuccess(now time.Time, prompt, answer int64, cached bool, first, total time.Duration, running, announced int) {
	if want := l.RunTime(prompt, answer, cached).Seconds(); want > 0 {
		l.miss += gain * (math.Abs(total.Seconds()/want-1) - l.miss)
	}
	x := worked(prompt, cached)
	if first > 0 && first < total*9/10 {
		l.first.Add(x, first.Seconds())
		l.rest.Add(float64(answer), (total - first).Seconds())
		l.crowd(x, first, total, running, announced)
	} else {
		l.whole.Add(x+wholeOffset, float64(answer), total.Seconds())
		if l.first.HasData() {
			l.rest.Add(float64(answer), max(total.Seconds()-l.first.At(x), 0))
		}
	}
	l.good = now
	l.fails, l.others, l.until, l.pause = 0, false, time.Time{}, 0
	if l.trial > 0 {
		// Doubling, so that a pool's whole backlog doesn't fall on an upstream
		// in the moment of its return and breaks it again.
		l.trial *= 2
		if l.trial >= l.max(announced) {
			l.trial = 0
		}
	}
}

// crowd lowers the limit of an upstream that queues by itself, because it
// announced more than it runs, and raises it again when its queue is gone. In
// its own queue urgent work can't overtake, so work is better kept here.
func (l *Profile) crowd(prompt float64, first, total time.Duration, running, announced int) {
	per := first.Seconds() / (prompt + firstOffset)
	if l.unit == 0 || per < l.unit {
		l.unit = per
	}
	l.unit *= forget
	queued := max(first.Seconds()-l.unit*(prompt+firstOffset), 0) / total.Seconds()
	l.wait += gain * (queued - l.wait)
	l.calm++
	most := l.max(announced)
	switch {
	case l.wait > longWait && running >= most && l.calm > most:
		l.most = max(float64(most)*lower, 1)
		l.calm = 0
	case l.wait < shortWait && l.most > 0 && running >= most:
		l.most += 1 / l.most
	}
	if int(l.most) >= announced {
		l.most = 0
	}
}

func (l *Profile) max(announced int) int {
	if l.most == 0 {
		return announced
	}
	return max(int(l.most), 1)
}

// Concurrency is how many requests the upstream may be given at once: none while it
// is out of service, few while it comes back.
func (l *Profile) Concurrency(now time.Time, announced int) int {
	if l.trial > 0 {
		if now.Before(l.until) {
			return 0
		}
		return min(l.trial, l.max(announced))
	}
	return l.max(announced)
}

// OnTrial reports whether the upstream is out of service or on its way back.
func (l *Profile) OnTrial() bool { return l.trial > 0 }

// AccountAtFault reports whether the failures in a row all come from one client
// account and another run succeeded shortly before them. Then the account, and
// not the upstream, is the likely cause.
func (l *Profile) AccountAtFault(now time.Time) bool {
	return !l.others && !l.good.IsZero() && now.Sub(l.good) < goodKeep
}

// LastSuccess is the time of the last success.
func (l *Profile) LastSuccess() time.Time { return l.good }

// RecordFailure counts a run that failed. One account's failures weigh less than those
// of several, so that an account whose requests break engines doesn't take
// them from the others. The empty account stands for a failed connect, which
// is no account's fault.
func (l *Profile) RecordFailure(now time.Time, account string) {
	if account == "" || (l.fails > 0 && account != l.who) {
		l.others = true
	}
	l.who = account
	l.fails++
	if l.trial > 0 || (l.others && l.fails >= failsSeveral) || l.fails >= failsOne {
		l.StartOutage(now)
	}
}

// StartOutage takes the upstream out of service for a while that doubles each time.
// Then one run at a time tries it. An outage that is under way isn't made
// longer by the failures of what was dispatched before it.
func (l *Profile) StartOutage(now time.Time) {
	if l.trial > 0 && now.Before(l.until) {
		return
	}
	l.pause = min(max(2*l.pause, firstPause), longestPause)
	l.until = now.Add(l.pause)
	l.trial = 1
}

// EndOutage ends an outage early, for an upstream that was started anew. It is
// still given one run at first.
func (l *Profile) EndOutage() {
	l.fails, l.others, l.until = 0, false, time.Time{}
}
