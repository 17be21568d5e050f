package limit_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/limit"
)

var start = time.Unix(1000, 0)

// engine is the speed of a simulated engine, in seconds for each prompt and each answer
// token.
type engine struct{ prompt, answer float64 }

func (e engine) run(prompt, answer int64) (first, total time.Duration) {
	f := 0.002 + e.prompt*float64(prompt)
	return seconds(f), seconds(f + e.answer*float64(answer))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// The estimate is close to the actual run time on four different generations of hardware,
// for requests whose sizes differ by a factor of 100, with streamed answers and with
// answers in one piece.
func TestRunTime(t *testing.T) {
	for _, e := range []engine{{1e-5, 1e-3}, {5e-5, 5e-3}, {2e-4, 2e-2}, {2e-3, 1e-2}} {
		for _, streamed := range []bool{true, false} {
			var p limit.Profile
			for i := range int64(200) {
				prompt, answer := 20+(i%7)*300, 8+(i%5)*200
				first, total := e.run(prompt, answer)
				if !streamed {
					first = total
				}
				p.RecordSuccess(start, prompt, answer, false, first, total, 1, 8)
			}
			for _, size := range []int64{20, 200, 2000} {
				_, want := e.run(size, size/2)
				got := p.RunTime(size, size/2, false)
				must.InDelta(t, 1, got.Seconds()/want.Seconds(), 0.5, must.Sprintf("%v streamed %t size %d: %v not %v", e, streamed, size, got, want))
			}
		}
	}
}

// An engine announces 32 slots and runs 4 requests at once. The others wait in its own
// queue, where an urgent request can't overtake. The learned limit must fall to about 4,
// and that of an engine that announces its true limit must stay.
func TestOverstatedLimit(t *testing.T) {
	const announced, answer = 32, 50
	cases := []struct {
		name     string
		slots    int
		low, top int
	}{
		{"lying", 4, 3, 9},
		{"honest", 32, 32, 32},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var p limit.Profile
			for i := range 2000 {
				running := min(p.Concurrency(start, announced), i+1)
				// The run waits until the runs ahead of it have had their turns.
				turns := float64(running-1) / float64(c.slots)
				if running <= c.slots {
					turns = 0
				}
				decode := answer * 0.005
				first := 0.01 + turns*decode
				p.RecordSuccess(start, 100, answer, false, seconds(first), seconds(first+decode), running, announced)
			}
			must.Between(t, c.low, p.Concurrency(start, announced), c.top)
		})
	}
}

// An upstream that fails for several accounts is taken out of service at once, gets one
// trial run when the outage ends, and twice as many with each success. A failed trial
// doubles the outage.
func TestOutageAndRecovery(t *testing.T) {
	var p limit.Profile
	for _, account := range []string{"a", "b", "a"} {
		must.Eq(t, 16, p.Concurrency(start, 16))
		p.RecordFailure(start, account)
	}
	must.Eq(t, 0, p.Concurrency(start.Add(900*time.Millisecond), 16))
	must.Eq(t, 1, p.Concurrency(start.Add(time.Second), 16))
	p.RecordFailure(start.Add(time.Second), "a")
	must.Eq(t, 0, p.Concurrency(start.Add(2900*time.Millisecond), 16))
	now := start.Add(3 * time.Second)
	for _, want := range []int{1, 2, 4, 8, 16} {
		must.Eq(t, want, p.Concurrency(now, 16))
		p.RecordSuccess(now, 10, 10, false, time.Millisecond, 20*time.Millisecond, 1, 16)
	}
	must.False(t, p.OnTrial())
}

// Failures of one account alone weigh less, so that its first few requests don't take an
// upstream from the other accounts.
func TestOneAccountFails(t *testing.T) {
	var p limit.Profile
	p.RecordSuccess(start, 10, 10, false, time.Millisecond, 20*time.Millisecond, 1, 16)
	for range 5 {
		p.RecordFailure(start, "a")
		must.True(t, p.AccountAtFault(start))
	}
	must.Eq(t, 16, p.Concurrency(start, 16))
	p.RecordFailure(start, "b")
	must.False(t, p.AccountAtFault(start))
	must.Eq(t, 0, p.Concurrency(start, 16))
}
