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
	// long is the ratio of an answer to its expected length that longQuantile of the answers stay below, less 1.
	long float64
}

const (
	// longQuantile is the share of answers that are no longer than expected by the factor learned. For each
	// answer the factor grows by longStep times the quantile, or shrinks by longStep times the rest.
	longQuantile = 0.9
	longStep     = 0.05
)

// addAnswer learns from an answer. A truncated answer counts only if it is already longer than
// expected.
func (l *lengthEstimator) addAnswer(estimate, tokens int64, whole bool) {
	if estimate <= 0 || tokens <= 0 || (!whole && tokens <= l.expected(estimate)) {
		return
	}
	l.runs++
	if expected := l.expected(estimate); l.runs > minRuns && float64(tokens) > (1+l.slack())*float64(expected) {
		l.long = l.slack() + longStep*longQuantile
	} else if whole {
		l.long = max(l.slack()-longStep*(1-longQuantile), answerSlack)
	}
	l.fit.Add(math.Log(float64(estimate)), math.Log(float64(tokens)))
}

// slack returns the share by which answers are often longer than expected, at least answerSlack.
func (l *lengthEstimator) slack() float64 { return max(l.long, answerSlack) }

// expected returns the expected tokens of an answer for a caller's estimate.
func (l *lengthEstimator) expected(estimate int64) int64 {
	if l.runs < minRuns || estimate <= 0 {
		return estimate
	}
	return int64(math.Ceil(math.Exp(l.fit.At(math.Log(float64(estimate))))))
}
