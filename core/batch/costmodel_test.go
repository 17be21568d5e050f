package batch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// Engines prefill up to twenty times faster or slower than the default, their speeds differ by a
// factor of ten, and the ratio changes midway. After as many runs as a busy engine has in some
// seconds, the time to the first token must be estimated within a tenth.
func TestCostModelIsLearned(t *testing.T) {
	for _, tc := range []struct {
		name  string
		ratio []float64 // One after another.
	}{
		{"as at the start", []float64{defaultPromptRatio}},
		{"slow at prompts", []float64{20 * defaultPromptRatio}},
		{"quick at prompts", []float64{defaultPromptRatio / 8}},
		{"slow first", []float64{10 * defaultPromptRatio, defaultPromptRatio}},
		{"quick first", []float64{defaultPromptRatio / 4, 5 * defaultPromptRatio}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newHarness(1, "a", "b", "c")
			speeds := map[string]time.Duration{"a": time.Millisecond, "b": 3 * time.Millisecond, "c": 10 * time.Millisecond}
			rnd := rand.New(rand.NewPCG(1, 2))
			first := func(up string, prompt int64, ratio float64) time.Duration {
				return 20*speeds[up] + time.Duration(float64(prompt)*ratio*float64(speeds[up]))
			}
			for _, ratio := range tc.ratio {
				ran := map[string]int{}
				for range 200 {
					k := e.ticket("usual", 1, 200+rnd.Int64N(6000), 90)
					k.ObjectiveUs = time.Minute.Microseconds()
					k.DeadlineUs = time.Hour.Microseconds()
					for _, d := range e.Submit(e.now, k) {
						ran[d.GetGrant().GetUpstream()]++
						took := first(d.GetGrant().GetUpstream(), k.GetPromptTokens(), ratio)
						all := took + 90*speeds[d.GetGrant().GetUpstream()]
						e.now = e.now.Add(all)
						e.release(d, took, all, 11)
					}
				}
				for up, speed := range speeds {
					p := e.engine(e.table.GetOrAdd(up)).stats
					if ran[up] < 12 {
						continue // It ran too few requests at this ratio.
					}
					must.Between(t, 0.9*float64(speed), float64(p.tokenTime), 1.1*float64(speed))
					for _, prompt := range []int64{500, 3000, 8000} {
						want := first(up, prompt, ratio).Seconds()
						must.Between(t, 0.9*want, (p.overhead() + p.prefillTime(prompt)).Seconds(), 1.1*want, must.Sprint(up, prompt))
					}
				}
			}
			must.Greater(t, minRuns, e.costs.runs)
		})
	}
}

// Answers are much longer than the default.
func TestUsualAnswerIsLearned(t *testing.T) {
	var s costModel
	must.Eq(t, defaultAnswer, s.usualAnswer())
	for range 200 {
		s.addRun(time.Unix(1000, 0), 100, 3000, 10)
	}
	must.Between(t, 2700, s.usualAnswer(), 3000)
}

// An engine's first run does not stream: it reports a single piece, and its first token at its
// end. Such a run says nothing about the time per token and must not enter the cost model.
func TestRunsThatDoNotStream(t *testing.T) {
	e := newHarness(4, "a")
	d := e.fill(1)[0]
	e.Release(e.now, &wire.Release{
		Ticket: d.GetTicket(), Incarnation: "i", Pool: "engines", Upstream: "a", Slot: d.GetGrant().GetSlot(), Dispatched: true,
		FirstTokenUs: 1000, TotalUs: 1000, Pieces: 1,
	})
	must.Eq(t, 0, e.costs.runs)
}
