package batch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// drawAnswer draws the tokens of an answer and its caller's estimate of them. The logarithm of
// the ratio of the estimate to the tokens has a standard deviation of 0.5.
func drawAnswer(rnd *rand.Rand) (tokens, estimate int64) {
	const usual, spread, off = 125, 1.1, 0.5
	tokens = int64(math.Ceil(usual * math.Exp(spread*rnd.NormFloat64())))
	return tokens, int64(math.Ceil(float64(tokens) * math.Exp(off*rnd.NormFloat64())))
}

// A caller expects an answer of 2,500 tokens, which the only engine with room could not end in
// time. But most estimates of that length are too long: the median answer has 1,600 tokens, which
// the engine can end. By the estimate alone, the request was passed over for a less urgent one
// whenever a slot was free, and was refused in the end.
func TestLongEstimatesAreCorrected(t *testing.T) {
	const each = 4 * time.Millisecond
	e := newHarness(1, "a")
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 400 {
		tokens, estimate := drawAnswer(rnd)
		k := e.ticket("usual", 0, 200, estimate)
		k.ObjectiveUs, k.DeadlineUs = time.Minute.Microseconds(), time.Hour.Microseconds()
		for _, d := range e.Submit(e.now, k) {
			took := 60*time.Millisecond + time.Duration(tokens)*each
			e.now = e.now.Add(took)
			e.release(d, 60*time.Millisecond, took, tokens/9+1)
		}
	}
	e.topPriority.priority = -1 // No requests beyond the batch.
	running := e.fill(1)
	must.Len(t, 1, running)
	long, short := e.ticket("usual", 0, 200, 2500), e.ticket("other", 2, 200, 50)
	long.DeadlineUs, short.DeadlineUs = (10 * time.Second).Microseconds(), (10 * time.Second).Microseconds()
	e.Submit(e.now, long)
	e.Submit(e.now, short)
	must.Eq(t, []uint64{long.GetId()}, grantedIDs(t, e.release(running[0], 60*time.Millisecond, 300*time.Millisecond, 7)))
}

// Estimates are used unchanged until enough answers came. Then each is replaced by the usual
// answer for such an estimate. An answer that was cut off below its expected length is ignored.
func TestLengthEstimator(t *testing.T) {
	var l lengthEstimator
	rnd := rand.New(rand.NewPCG(3, 4))
	must.Eq(t, 700, l.expected(700))
	for range 1000 {
		tokens, estimate := drawAnswer(rnd)
		l.addAnswer(estimate, tokens, true)
		l.addAnswer(estimate, 1, false)
	}
	for _, estimate := range []int64{30, 125, 600, 2500} {
		const part = 1.1 * 1.1 / (1.1*1.1 + 0.5*0.5) // Share of the answers' own variance in the variance of the estimates.
		want := 125 * math.Pow(float64(estimate)/125, part)
		must.Between(t, 0.75*want, float64(l.expected(estimate)), 1.3*want, must.Sprint(estimate))
	}
}
