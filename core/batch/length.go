package batch

import (
	"math"

	"azurelane/core/slope"
)

// lengthEstimator corrects callers' estimates of answer lengths by the answers of a route. The
// longest estimates are mostly too long and the shortest too short, by regression to the mean.
// The zero value returns estimates unchanged.
type lengthEstimator struct {
	fit  slope.Fit // Over the logarithms of tokens, because estimates are off by factors.
	runs int
}

// addAnswer learns from an answer. A truncated answer counts only if it is already longer than
// expected.
func (l *lengthEstimator) addAnswer(estimate, tokens int64, whole bool) {
	if estimate <= 0 || tokens <= 0 || (!whole && tokens <= l.expected(estimate)) {
		return
	}
	l.runs++
	l.fit.Add(math.Log(float64(estimate)), math.Log(float64(tokens)))
}

// expected returns the expected tokens of an answer for a caller's estimate.
func (l *lengthEstimator) expected(estimate int64) int64 {
	if l.runs < minRuns || estimate <= 0 {
		return estimate
	}
	return int64(math.Ceil(math.Exp(l.fit.At(math.Log(float64(estimate))))))
}
