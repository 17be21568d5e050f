package batch

import (
	"math"
	"time"

	"azurelane/core/curve"
)

const (
	// defaultPromptRatio is the prefill time of a prompt token in decode steps until it is
	// learned: engines prefill about 300 prompt tokens in one step.
	defaultPromptRatio = 1.0 / 300
	// minPromptRatio is the lower bound of the learned ratio. It takes effect for runs whose
	// prompts are all alike.
	minPromptRatio = defaultPromptRatio / 10
	// defaultAnswer is the length of a usual answer in tokens until it is learned. The order of
	// magnitude suffices, as it only serves to estimate the wait in an upstream's own queue.
	defaultAnswer = 200
	// minRuns is the number of runs after which learned values are used.
	minRuns     = 16
	answerAlpha = 0.02  // EWMA weight of one run in meanAnswer.
	kilotoken   = 1000. // Prompt lengths are fitted in thousands of tokens.
	// costTimeConstant is the time constant with which the weight of a run decays. At more than
	// ten runs per second, more than fifty runs count. The time to the first token varies with
	// the other runs on an engine: when only about fifty runs counted on many engines, the
	// estimated time of a long prompt changed by half from second to second.
	costTimeConstant = 5 * time.Second
	// minKeep is the least share of its weight that a run keeps when the next run is added. At
	// least about forty runs thus count, however long the time between them.
	minKeep = 0.975
	// longGapQuantile is the share of runs whose longest gap is at most longGapEvents. For each
	// run longGapEvents grows by the share longGapStep*longGapQuantile of its value or shrinks by
	// the share longGapStep*(1-longGapQuantile), which balances at this quantile.
	longGapQuantile = 0.98
	longGapStep     = 0.05
)

// costModel holds what all upstreams of a pool have in common, whatever their speeds: the prefill
// time of a prompt in decode steps, and the length of answers. The zero value has learned
// nothing.
type costModel struct {
	prefillFit curve.Fit // Decode steps to the first token, by thousands of prompt tokens.
	lastRun    time.Time
	runs       int
	meanAnswer float64 // In tokens.
	// prefillLinear is the prefill time per thousand prompt tokens, in decode steps.
	// prefillSquare is the same per thousand tokens squared, because attention compares each
	// token with all tokens before it.
	prefillLinear, prefillSquare float64
	// longGapEvents estimates a high quantile, longGapQuantile, of the longest gap between two
	// events of a run. Gaps are long while the engine prefills other prompts. The unit is the
	// decode time of one event.
	longGapEvents float64
	fastest       bestCase // Of the engines that have run something.
}

// newEngineShare is the share of the least cost on the fastest engine that a first run on a new engine counts
// as. It is below 1, so that a new engine is tried also while the others have room.
const newEngineShare = 0.9

// addRun learns from a run: tokens is the length of its answer, and steps the time to its first
// token without the time that it waited, in decode steps.
func (m *costModel) addRun(now time.Time, prompt, tokens int64, steps float64) {
	if m.runs == 0 {
		m.meanAnswer = defaultAnswer
	}
	m.runs++
	m.meanAnswer += answerAlpha * (float64(tokens) - m.meanAnswer)
	keep := max(math.Exp(-now.Sub(m.lastRun).Seconds()/costTimeConstant.Seconds()), minKeep)
	m.lastRun = now
	m.prefillFit.Add(keep, float64(prompt)/kilotoken, steps)
	m.prefillLinear, m.prefillSquare = m.prefillFit.Coefficients()
	if m.prefillFit.Degenerate() {
		// With prompts of one length, the time to the first token could be all prefill or none.
		// When all of it was taken for prefill, each prompt seemed to delay the next one by that
		// time, and callers that had come first seemed late and were passed over for newer ones.
		m.prefillLinear = min(m.prefillLinear, defaultPromptRatio*kilotoken)
	}
	m.prefillLinear = max(m.prefillLinear, minPromptRatio*kilotoken)
}

func (m *costModel) known() bool { return m != nil && m.runs >= minRuns }

// addGap learns from the longest gap between two events of a run, in decode times of one event.
func (m *costModel) addGap(pause float64) {
	switch {
	case m.longGapEvents == 0:
		m.longGapEvents = pause
	case pause > m.longGapEvents:
		m.longGapEvents *= 1 + longGapStep*longGapQuantile
	default:
		m.longGapEvents *= 1 - longGapStep*(1-longGapQuantile)
	}
}

// prefillSteps returns the prefill time of a prompt in decode steps.
func (m *costModel) prefillSteps(prompt int64) float64 {
	n := float64(prompt) / kilotoken
	if !m.known() {
		return defaultPromptRatio * kilotoken * n
	}
	return m.prefillLinear*n + m.prefillSquare*n*n
}

// usualAnswer returns the length of a usual answer in tokens.
func (m *costModel) usualAnswer() float64 {
	if !m.known() {
		return defaultAnswer
	}
	return max(m.meanAnswer, 1)
}
