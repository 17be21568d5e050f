package limit_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/limit"
)

var start = time.Unix(1000, 0)

// engine is a stand-in's speed: seconds for each prompt and answer token.
type engine struct{ prompt, answer float64 }

func (e engine) run(prompt, answer int64) (first, total time.Duration) {
	f := 0.002 + e.prompt*float64(prompt)
	return seconds(f), seconds(f + e.answer*float64(answer))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// The expectation comes close to the truth on four unlike generations of
// hardware, for requests that differ a hundredfold, and whether answers are
// streamed or come in one piece.
func TestExpect(t *testing.T) {
	for _, e := range []engine{{1e-5, 1e-3}, {5e-5, 5e-3}, {2e-4, 2e-2}, {2e-3, 1e-2}} {
		for _, streamed := range []bool{true, false} {
			var l limit.Profile
			for i := range int64(200) {
				prompt, answer := 20+(i%7)*300, 8+(i%5)*200
				first, total := e.run(prompt, answer)
				if !streamed {
					first = total
				}
				l.RecordSuccess(start, prompt, answer, false, first, total, 1, 8)
			}
			for _, size := range []int64{20, 200, 2000} {
				_, want := e.run(size, size/2)
				got := l.RunTime(size, size/2, false)
				must.InDelta(t, 1, got.Seconds()/want.Seconds(), 0.5, must.Sprintf("%v streamed %t size %d: %v not %v", e, streamed, size, got, want))
			}
		}
	}
}

// An engine announces 32 places and runs 4. What is more waits in its own
// queue, where an alert can't overtake. The limit must come down near to 4, and
// an honest engine's must stay.
func TestLyingEngine(t *testing.T) {
	const announced, answer = 32, 50
	cases := []struct {
		name     string
		places   int
		low, top int
	}{
		{"lying", 4, 3, 9},
		{"honest", 32, 32, 32},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l limit.Profile
			for i := range 2000 {
				running := min(l.Concurrency(start, announced), i+1)
				// The run waits until those before it have had their turns.
				turns := float64(running-1) / float64(c.places)
				if running <= c.places {
					turns = 0
				}
				decode := answer * 0.005
				first := 0.01 + turns*decode
				l.RecordSuccess(start, 100, answer, false, seconds(first), seconds(first+decode), running, announced)
			}
			must.Between(t, c.low, l.Concurrency(start, announced), c.top)
		})
	}
}

// An upstream that fails for several accounts is taken out at once, is tried
// with one run when its pause is over, and gets twice as many with each
// success. A failed trial doubles the pause.
func TestOutAndBack(t *testing.T) {
	var l limit.Profile
	for _, account := range []string{"a", "b", "a"} {
		must.Eq(t, 16, l.Concurrency(start, 16))
		l.RecordFailure(start, account)
	}
	must.Eq(t, 0, l.Concurrency(start.Add(900*time.Millisecond), 16))
	must.Eq(t, 1, l.Concurrency(start.Add(time.Second), 16))
	l.RecordFailure(start.Add(time.Second), "a")
	must.Eq(t, 0, l.Concurrency(start.Add(2900*time.Millisecond), 16))
	now := start.Add(3 * time.Second)
	for _, want := range []int{1, 2, 4, 8, 16} {
		must.Eq(t, want, l.Concurrency(now, 16))
		l.RecordSuccess(now, 10, 10, false, time.Millisecond, 20*time.Millisecond, 1, 16)
	}
	must.False(t, l.OnTrial())
}

// One account's failures alone weigh less, so that it doesn't take an upstream
// from the others with its first few requests.
func TestOneAccountFails(t *testing.T) {
	var l limit.Profile
	l.RecordSuccess(start, 10, 10, false, time.Millisecond, 20*time.Millisecond, 1, 16)
	for range 5 {
		l.RecordFailure(start, "a")
		must.True(t, l.AccountAtFault(start))
	}
	must.Eq(t, 16, l.Concurrency(start, 16))
	l.RecordFailure(start, "b")
	must.False(t, l.AccountAtFault(start))
	must.Eq(t, 0, l.Concurrency(start, 16))
}
