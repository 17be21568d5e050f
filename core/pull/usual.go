package pull

import (
	"math"
	"time"

	"azurelane/core/limit"
	"azurelane/core/wire"
)

// usual keeps what a usual request of the pool looks like.
type usual struct {
	log       float64 // Mean logarithm of the work.
	prompt    float64 // Mean prompt tokens.
	answer    float64 // Mean answer tokens.
	n         int
	lastShort time.Time
}

const (
	usualGain = 0.02
	// longFactor is how many times the geometric mean a long request's work is.
	// The geometric mean stands between the short and the long ones also where
	// half of the requests are a hundred times longer than the others.
	longFactor = 3
	// shortKeep is how long short work is expected to come again.
	shortKeep = 10 * time.Second
)

// add takes a request and reports whether it is long against the usual one.
func (u *usual) add(now time.Time, t *wire.Ticket) bool {
	work := limit.Cost(t.GetPromptTokens(), t.GetAnswerTokens())
	gain := max(usualGain, 1/float64(u.n+1))
	u.n++
	u.log += gain * (math.Log(work) - u.log)
	u.prompt += gain * (float64(t.GetPromptTokens()) - u.prompt)
	u.answer += gain * (float64(t.GetAnswerTokens()) - u.answer)
	long := work > longFactor*math.Exp(u.log)
	if !long {
		u.lastShort = now
	}
	return long
}

// short reports whether short work is about.
func (u *usual) short(now time.Time) bool { return now.Sub(u.lastShort) < shortKeep }
