package batch

import (
	"math"

	"azurelane/core/slope"
)

// length is what is learnt of a kind's answers against what their callers expect: the
// longest estimates are mostly too long and the shortest too short, as in each sorting
// by a guess. The zero value believes the estimates.
type length struct {
	line slope.Fit // Of the logarithms of tokens, as estimates are off by factors.
	runs int
}

// ended learns from an answer. One that was cut off tells something only if it was
// longer already than would have been expected.
func (l *length) ended(estimate, tokens int64, whole bool) {
	if estimate <= 0 || tokens <= 0 || (!whole && tokens <= l.expect(estimate)) {
		return
	}
	l.runs++
	l.line.Add(math.Log(float64(estimate)), math.Log(float64(tokens)))
}

// expect is the tokens of an answer to reckon with, by the caller's estimate.
func (l *length) expect(estimate int64) int64 {
	if l.runs < leastRuns || estimate <= 0 {
		return estimate
	}
	return int64(math.Ceil(math.Exp(l.line.At(math.Log(float64(estimate))))))
}
