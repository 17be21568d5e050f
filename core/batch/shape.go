package batch

import (
	"math"
	"time"

	"azurelane/core/curve"
)

const (
	// promptRatio is the time of one prompt token in times of one answer token
	// where nothing was learnt: engines read some 300 prompt tokens in the time of
	// one step.
	promptRatio = 1.0 / 300
	// leastRatio bounds what may be learnt from runs whose prompts are all alike.
	leastRatio = promptRatio / 10
	// usualRun is the answer tokens of a usual run where nothing was learnt; it only
	// has to be of the right order, for the wait in an upstream's own queue.
	usualRun = 200
	// leastRuns is how many runs are needed before what was learnt counts.
	leastRuns = 16
	runRate   = 0.02  // Weight of one run in the mean of runs.
	perKilo   = 1000. // Prompts are fitted in thousands of tokens.
	// shapeSpan is the time over which runs count, and leastKeep what they keep in any
	// case when the next one comes: some forty count at least. Runs of many engines
	// scatter by what else ran there; by fifty of them the time of a long prompt was
	// told differently by half from second to second.
	shapeSpan = 5 * time.Second
	leastKeep = 0.975
	// worstPart is the part of runs whose longest pause is shorter than the worst pause
	// that is reckoned with, and worstRate how fast that follows.
	worstPart = 0.98
	worstRate = 0.05
)

// shape is what all upstreams of a pool have in common, whatever their speeds: how
// long reading a prompt takes against making an answer, and how long answers are.
// The zero value knows nothing.
type shape struct {
	reading curve.Fit // Times of an answer token until the first piece, by thousands of prompt tokens.
	at      time.Time // Of the last run.
	runs    int
	run     float64 // Mean answer tokens.
	// Of a prompt, in times of an answer token: each thousand tokens, and their number
	// squared, as each token is compared with all before it.
	linear, square float64
	// worst is the longest pause between two events of a run while prompts are read
	// beside it, in times of an event, which few runs exceed.
	worst float64
}

// ran learns from a run: tokens is its answer, and read the time to its first
// piece without what it waited for, in times of an answer token.
func (s *shape) ran(now time.Time, prompt, tokens int64, read float64) {
	if s.runs == 0 {
		s.run = usualRun
	}
	s.runs++
	s.run += runRate * (float64(tokens) - s.run)
	keep := max(math.Exp(-now.Sub(s.at).Seconds()/shapeSpan.Seconds()), leastKeep)
	s.at = now
	s.reading.Add(keep, float64(prompt)/perKilo, read)
	s.linear, s.square = s.reading.Coefficients()
	if s.reading.Degenerate() {
		// All of the time to the first piece could be reading or none of it. Taken for
		// reading, every prompt seemed to hold up the next one by that, and callers who
		// had come first seemed late and were passed over for newer ones.
		s.linear = min(s.linear, promptRatio*perKilo)
	}
	s.linear = max(s.linear, leastRatio*perKilo)
}

func (s *shape) known() bool { return s != nil && s.runs >= leastRuns }

// paused learns from the longest pause between two events of a run, in times of an
// event.
func (s *shape) paused(pause float64) {
	switch {
	case s.worst == 0:
		s.worst = pause
	case pause > s.worst:
		s.worst *= 1 + worstRate*worstPart
	default:
		s.worst *= 1 - worstRate*(1-worstPart)
	}
}

// reads is the time of reading a prompt, in times of an answer token.
func (s *shape) reads(prompt int64) float64 {
	n := float64(prompt) / perKilo
	if !s.known() {
		return promptRatio * perKilo * n
	}
	return s.linear*n + s.square*n*n
}

// usual is the answer tokens of a usual run.
func (s *shape) usual() float64 {
	if !s.known() {
		return usualRun
	}
	return max(s.run, 1)
}
