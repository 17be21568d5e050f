package batch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// guessed draws the tokens of an answer and its caller's estimate of them, which is off
// by half as often as not.
func guessed(rnd *rand.Rand) (tokens, estimate int64) {
	const usual, spread, off = 125, 1.1, 0.5
	tokens = int64(math.Ceil(usual * math.Exp(spread*rnd.NormFloat64())))
	return tokens, int64(math.Ceil(float64(tokens) * math.Exp(off*rnd.NormFloat64())))
}

// A caller expects an answer of 2,500 tokens, which the only engine with room could not
// end in time. But of estimates that long most are too long: what comes is 1,600 tokens
// in the middle, which it can end. By the estimate alone the request was passed over for
// a less urgent one whenever a place was free, and refused in the end.
func TestLongestEstimatesAreTooLong(t *testing.T) {
	const each = 4 * time.Millisecond
	e := newEngines(1, "a")
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 400 {
		tokens, estimate := guessed(rnd)
		k := e.ticket("usual", 0, 200, estimate)
		k.ObjectiveUs, k.DeadlineUs = time.Minute.Microseconds(), time.Hour.Microseconds()
		for _, d := range e.Submit(e.now, k) {
			took := 60*time.Millisecond + time.Duration(tokens)*each
			e.now = e.now.Add(took)
			e.end(d, 60*time.Millisecond, took, tokens/9+1)
		}
	}
	e.urgent.priority = -1 // No place beyond the batch.
	running := e.fill(1)
	must.Len(t, 1, running)
	long, short := e.ticket("usual", 0, 200, 2500), e.ticket("other", 2, 200, 50)
	long.DeadlineUs, short.DeadlineUs = (10 * time.Second).Microseconds(), (10 * time.Second).Microseconds()
	e.Submit(e.now, long)
	e.Submit(e.now, short)
	must.Eq(t, []uint64{long.GetId()}, granted(t, e.end(running[0], 60*time.Millisecond, 300*time.Millisecond, 7)))
}

// Estimates are believed until enough answers came; then each is taken for what came of
// its like. An answer that was cut off while it was shorter than that tells nothing.
func TestLengthIsLearnt(t *testing.T) {
	var l length
	rnd := rand.New(rand.NewPCG(3, 4))
	must.Eq(t, 700, l.expect(700))
	for range 1000 {
		tokens, estimate := guessed(rnd)
		l.ended(estimate, tokens, true)
		l.ended(estimate, 1, false)
	}
	for _, estimate := range []int64{30, 125, 600, 2500} {
		const part = 1.1 * 1.1 / (1.1*1.1 + 0.5*0.5) // Of what estimates differ by, the answers' own.
		want := 125 * math.Pow(float64(estimate)/125, part)
		must.Between(t, 0.75*want, float64(l.expect(estimate)), 1.3*want, must.Sprint(estimate))
	}
}
