package batch

import (
	"time"

	"azurelane/core/pace"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

const (
	// defaultFirstToken is an engine's fixed time before its first token, and defaultTokenTime
	// its time per answer token, until they are learned. Both are of the magnitude that engines
	// with one accelerator show.
	defaultFirstToken    = 60 * time.Millisecond
	defaultTokenTime     = 2500 * time.Microsecond
	learnRate            = 0.15            // EWMA weight of one usual run.
	defaultWeightDivisor = 16              // Before the first run, defaultTokenTime weighs 1/defaultWeightDivisor of a usual run.
	minExclusion         = time.Second     // Exclusion of an upstream after a failure.
	maxExclusion         = 8 * time.Second // Exclusion after many failures in a row.
	allowedFailures      = 2               // An upstream that answers is excluded after more than this many failures in a row.
	// sameFailure is the time in which runs that fail count as one failure. What breaks one run of an upstream
	// off, such as a moment of silence, breaks off all that run there.
	sameFailure = 100 * time.Millisecond
)

// engineStats holds what was learned about one upstream.
type engineStats struct {
	backlog

	pace      *pace.Engine  // How long its work currently takes; nil while that is not known. All times below are the usual ones.
	costs     *costModel    // Of its pool; nil if there is none.
	tokenTime time.Duration // Per answer token; zero before the first run.
	// tokenSum counts the answer tokens of recent runs, and decodeSum the time from their first
	// tokens to their ends.
	tokenSum        float64
	decodeSum       time.Duration
	learnedOverhead time.Duration // From the grant to the first token, without waiting and prefill.
	failures        int           // In a row.
	failedAt        time.Time     // When the last of them began.
	excludedUntil   time.Time     // The upstream gets no grants before.
	seq             uint64        // Of the last announcement before the exclusion.
	successShare    float64       // EWMA of the share of runs that ended well.
}

func (s *engineStats) perToken() time.Duration {
	if s.tokenTime == 0 {
		return defaultTokenTime
	}
	return s.tokenTime
}

// onAverage returns how long work takes on average that usually takes a time.
func (s *engineStats) onAverage(work time.Duration) time.Duration {
	if s.pace == nil {
		return work
	}
	return time.Duration(float64(work) * s.pace.Mean())
}

// prefillTime returns the time that the engine takes to prefill a prompt.
func (s *engineStats) prefillTime(prompt int64) time.Duration {
	return time.Duration(float64(s.perToken()) * s.costs.prefillSteps(prompt))
}

// decodeTime returns the time from the first token of an answer to its end.
func (s *engineStats) decodeTime(answer int64) time.Duration {
	return time.Duration(answer) * s.perToken()
}

// slotTime returns how long a run occupies a slot.
func (s *engineStats) slotTime(prompt, answer int64) time.Duration {
	return s.overhead() + s.prefillTime(prompt) + s.decodeTime(answer)
}

func (s *engineStats) overhead() time.Duration {
	if s.learnedOverhead == 0 {
		return defaultFirstToken
	}
	return s.learnedOverhead
}

// timeToFirstToken returns the time from now to the first token for a prompt.
func (s *engineStats) timeToFirstToken(now time.Time, u *upstr.Upstream, prompt int64) time.Duration {
	wait := s.wait(now)
	f := s.pace.Forecast(now.Add(wait))
	return wait + f.Takes(s.workBefore(u)+s.prefillTime(prompt))
}

// workBefore returns the usual time of what an engine does for a request before it prefills the prompt.
func (s *engineStats) workBefore(u *upstr.Upstream) time.Duration {
	d := s.overhead()
	if over := u.Running - u.AnnouncedLimit(); over >= 0 {
		// The request waits in the engine's queue for a free slot. The slots of a batch become
		// free evenly, about one in each average run time divided by the batch size.
		d += time.Duration(float64(over+1) * s.costs.usualAnswer() * float64(s.perToken()) / float64(max(u.AnnouncedLimit(), 1)))
	}
	return d
}

// addPrompt records a prompt that was granted.
func (s *engineStats) addPrompt(now time.Time, prompt int64) {
	f := s.pace.Forecast(now.Add(s.wait(now)))
	s.add(now, f.Takes(s.prefillTime(prompt)))
}

// addSuccess records that a run ended well.
func (s *engineStats) addSuccess() {
	s.failures, s.excludedUntil = 0, time.Time{}
	s.successShare += learnRate * (1 - s.successShare)
}

// addRun learns from a run that ended well.
func (s *engineStats) addRun(now time.Time, r *wire.Release, prompt, eventTokens int64, wait time.Duration) {
	s.addSuccess()
	first := time.Duration(r.GetFirstTokenUs()) * time.Microsecond
	total := time.Duration(r.GetTotalUs()) * time.Microsecond
	if first <= 0 || total < first {
		return
	}
	if s.pace != nil {
		first, total, wait = s.usualTimes(now, first, total, wait)
	}
	if n := (r.GetPieces() - 1) * eventTokens; n > 0 {
		s.addDecode(float64(n), total-first)
	}
	if s.costs != nil && s.tokenTime > 0 {
		s.costs.addRun(now, prompt, r.GetPieces()*eventTokens, float64(max(first-wait, 0))/float64(s.tokenTime))
	}
	if s.costs != nil && s.tokenTime > 0 && r.GetPieces() > 1 && r.GetGapUs() > 0 {
		s.costs.addGap(float64(r.GetGapUs()) * float64(time.Microsecond) / float64(time.Duration(eventTokens)*s.tokenTime))
	}
	// The overhead is the part of the time to the first token that is neither wait nor prefill.
	// It is learned only when the cost model is known. Before that it would include a part of
	// the prefill: the upstream would seem to have a long overhead and get no further requests,
	// and the estimate would never be corrected.
	if overhead := first - wait - s.prefillTime(prompt); overhead > 0 && s.costs.known() {
		s.learnedOverhead = ewma(s.learnedOverhead, overhead)
	}
}

// usualTimes returns how long the parts of a run that ended at now would have taken in usual times. A moment in
// which an engine is slow is thus not learned as its speed.
func (s *engineStats) usualTimes(now time.Time, first, total, wait time.Duration) (usualFirst, usualTotal, usualWait time.Duration) {
	start := now.Add(-total)
	usualFirst = s.pace.Usual(start, start.Add(first))
	return usualFirst, s.pace.Usual(start, now), time.Duration(float64(wait) * float64(usualFirst) / float64(first))
}

// addDecode updates the time per token from the tokens of a run and the time that they took. The
// estimate is the sum of the times divided by the sum of the tokens, so that a run counts in
// proportion to its length. One pause for the prefill of another prompt makes an answer of three
// events seem ten times as slow, and most answers are that short. When the estimate was the mean
// over runs, engines that generate a token in 5 to 20 ms were estimated at up to 220 ms, and
// callers with long answers were refused because no engine seemed able to complete them.
func (s *engineStats) addDecode(tokens float64, took time.Duration) {
	usual := s.costs.usualAnswer()
	if s.tokenSum == 0 {
		s.tokenSum = usual / defaultWeightDivisor
		s.decodeSum = time.Duration(s.tokenSum * float64(s.perToken()))
	}
	s.tokenSum += tokens
	s.decodeSum += took
	if most := usual / learnRate; s.tokenSum > most {
		s.decodeSum = time.Duration(float64(s.decodeSum) * most / s.tokenSum)
		s.tokenSum = most
	}
	s.tokenTime = time.Duration(float64(s.decodeSum) / s.tokenSum)
}

// addFailure excludes the upstream for a while: at once if it was unreachable or broke off before
// its first token, otherwise after more than allowedFailures failures in a row. The exclusion
// doubles with each failure, up to maxExclusion. Failures within sameFailure are one.
func (s *engineStats) addFailure(now time.Time, answered bool, seq uint64) {
	if s.failures == 0 || now.Sub(s.failedAt) >= sameFailure {
		s.failures++
		s.failedAt = now
		s.successShare -= learnRate * s.successShare
	}
	if answered && s.failures <= allowedFailures {
		return
	}
	s.excludedUntil, s.seq = now.Add(min(minExclusion<<min(s.failures-1, 5), maxExclusion)), seq
}

func ewma(old, seen time.Duration) time.Duration {
	if old == 0 {
		return seen
	}
	return old + time.Duration(learnRate*float64(seen-old))
}
