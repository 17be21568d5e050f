package pull

import (
	"math"
	"time"

	"azurelane/core/limit"
	"azurelane/core/wire"
)

// workload summarizes the pool's recent requests, to tell what is typical.
type workload struct {
	meanLogWork float64 // Mean logarithm of the work units.
	meanPrompt  float64 // Tokens.
	meanAnswer  float64 // Tokens.
	count       int
	lastShort   time.Time
}

const (
	workloadGain = 0.02
	// longFactor is the multiple of the geometric mean of the work above which a request is
	// long. The geometric mean separates short and long requests even if half of the
	// requests are a hundred times longer than the others.
	longFactor = 3
	// shortWindow is how long after a short request more short requests are expected.
	shortWindow = 10 * time.Second
)

// observe adds a request and reports whether it is long compared with the typical one.
func (w *workload) observe(now time.Time, t *wire.Ticket) bool {
	work := limit.Cost(t.GetPromptTokens(), t.GetAnswerTokens())
	gain := max(workloadGain, 1/float64(w.count+1))
	w.count++
	w.meanLogWork += gain * (math.Log(work) - w.meanLogWork)
	w.meanPrompt += gain * (float64(t.GetPromptTokens()) - w.meanPrompt)
	w.meanAnswer += gain * (float64(t.GetAnswerTokens()) - w.meanAnswer)
	long := work > longFactor*math.Exp(w.meanLogWork)
	if !long {
		w.lastShort = now
	}
	return long
}

// expectsShort reports whether short requests are expected.
func (w *workload) expectsShort(now time.Time) bool { return now.Sub(w.lastShort) < shortWindow }
