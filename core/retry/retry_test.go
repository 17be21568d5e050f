package retry

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/ahead"
)

type (
	// caller waits for a slot until refuseAt, and returns once.
	caller struct {
		id                           int
		at, refuseAt, deadline, work time.Duration
		returned                     bool
	}

	// way chooses the Retry-After of a refused caller.
	way func(r *replay, c caller, latest time.Duration) time.Duration

	// replay is a pool of 100 slots. First attempts get slots before callers that returned.
	replay struct {
		now, lostAt    time.Duration // At lostAt, another scheduler takes over.
		forecast       ahead.Forecast
		book           Book
		waiting, await []caller
		ends, returns  []time.Duration
		served         int // Callers that returned.
	}
)

func takeIf(list []caller, cond func(c caller) bool) (taken, rest []caller) {
	for _, c := range list {
		if cond(c) {
			taken = append(taken, c)
			continue
		}
		rest = append(rest, c)
	}
	return taken, rest
}

func (r *replay) arrive(c caller) {
	r.forecast.Arrive(r.now, c.work)
	r.waiting = append(r.waiting, c)
}

func (r *replay) step(w way) {
	if r.now == r.lostAt {
		r.forecast, r.book = ahead.Forecast{}, Book{}
	}
	var back, refused []caller
	back, r.await = takeIf(r.await, func(c caller) bool { return c.at <= r.now })
	for _, c := range back {
		r.returns = append(r.returns, c.at)
		c.refuseAt = r.now + (c.deadline-r.now)/6 // As in package batch.
		r.arrive(c)
	}
	r.ends = slices.DeleteFunc(r.ends, func(end time.Duration) bool { return end <= r.now })
	for len(r.waiting) > 0 && len(r.ends) < 100 {
		n := max(slices.IndexFunc(r.waiting, func(c caller) bool { return !c.returned }), 0)
		if r.waiting[n].returned {
			r.served++
		}
		r.ends = append(r.ends, r.now+r.waiting[n].work)
		r.waiting = slices.Delete(r.waiting, n, n+1)
	}
	refused, r.waiting = takeIf(r.waiting, func(c caller) bool { return c.refuseAt <= r.now })
	work := time.Duration(0)
	for _, c := range r.waiting {
		work += c.work
	}
	r.forecast.Set(r.now, 100, 0)
	r.book.Update(r.now, work, &r.forecast)
	for _, c := range refused {
		left := c.deadline - r.now
		if after := w(r, c, Latest(left)); !c.returned && after <= left/honoured {
			c.at, c.returned = r.now+after, true
			r.await = append(r.await, c)
		}
	}
}

// play sends a load, a multiple of the capacity, for 60 s. Every 15 s a burst of callers comes beside it and is
// refused at once. A third of the callers has 3 s and short runs, the others have 12 s.
func (r *replay) play(w way, load func(at time.Duration) float64, burst int) {
	const tick, meanWork = 10 * time.Millisecond, 0.733
	rnd, id := rand.New(rand.NewPCG(1, 2)), 0
	send := func(patience time.Duration) {
		id++
		c := caller{id: id, refuseAt: r.now + patience, deadline: r.now + 12*time.Second, work: time.Duration((0.5 + rnd.Float64()) * float64(time.Second))}
		if id%3 == 0 {
			c.deadline, c.work = r.now+3*time.Second, c.work/5
		}
		r.arrive(c)
	}
	for ; r.now < time.Minute; r.now += tick {
		for due := load(r.now) * 100 / meanWork * tick.Seconds(); due > rnd.Float64(); due-- {
			send(600 * time.Millisecond)
		}
		for n := 0; n < burst && r.now%(15*time.Second) == 7*time.Second; n++ {
			send(0)
		}
		r.step(w)
	}
}

// most returns the highest number of returns in any 100 ms.
func (r *replay) most() int {
	slices.Sort(r.returns)
	n := 0
	for i, at := range r.returns {
		end, _ := slices.BinarySearch(r.returns, at+100*time.Millisecond)
		n = max(n, end-i)
	}
	return n
}

// Guards against callers that return to a pool without room, or all at once. The existing way tells them 2.2 to
// 3.3 s by their IDs; the other one spreads them evenly over the times that they honour. Where there is room,
// as after a moment in which all were refused, nine in ten that return must be served, and in a wave a fifth more
// than in each other way. Nowhere may more return in any 100 ms than in the existing way. A scheduler that takes
// over has no bookings; the bounds hold for it, too.
func TestReturns(t *testing.T) {
	calm := func(time.Duration) float64 { return 0.6 }
	wave := func(at time.Duration) float64 {
		rate := 0.7 * (1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/13))
		if n := at % (17 * time.Second); n > 8*time.Second && n < 13*time.Second {
			rate *= 2
		}
		return rate
	}
	ways := [...]struct {
		name string
		way
	}{
		{"booked", func(r *replay, c caller, latest time.Duration) time.Duration {
			return r.book.Add(r.now, latest, c.work)
		}},
		{"existing", func(_ *replay, c caller, _ time.Duration) time.Duration {
			return 2200*time.Millisecond + 1100*time.Millisecond*time.Duration(c.id%16)/16
		}},
		{"even", func(_ *replay, c caller, latest time.Duration) time.Duration {
			return latest * time.Duration(c.id%64+1) / 64
		}},
	}
	for _, tc := range []struct {
		name      string
		load      func(at time.Duration) float64
		burst     int
		lostAt    time.Duration
		minServed float64 // Share of those that return.
		gain      float64 // Least number of them, as a multiple of each other way's.
	}{
		{"all in one moment", calm, 200, -1, 0.9, 0.95},
		{"wave with bursts", wave, 0, -1, 0.3, 1.2},
		{"wave with bursts, in one of which the scheduler is lost", wave, 0, 29 * time.Second, 0.3, 1.2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var list [len(ways)]replay
			for n, w := range ways {
				r := &list[n]
				r.lostAt = tc.lostAt
				r.play(w.way, tc.load, tc.burst)
				t.Logf("%s: %d returned, %d of them served, at most %d returns in 100 ms", w.name, len(r.returns), r.served, r.most())
			}
			got := &list[0]
			must.GreaterEq(t, tc.minServed*float64(len(got.returns)), float64(got.served))
			must.LessEq(t, list[1].most(), got.most())
			for n := range list[1:] {
				must.GreaterEq(t, tc.gain*float64(list[1+n].served), float64(got.served))
			}
		})
	}
}

// Guards against room that is promised both to callers that return and to work that can wait, and against
// bookings that stay after their time.
func TestBooked(t *testing.T) {
	const ms = time.Millisecond
	var f ahead.Forecast
	var b Book
	f.Set(0, 10, 0)
	b.Update(0, 0, &f)
	for range 24 {
		must.Between(t, 100*ms, b.Add(0, 2*time.Second, 500*ms), 2*time.Second)
	}
	must.Eq(t, 12*time.Second, b.Booked(0, 2*time.Second))
	must.Between(t, 8500*ms, b.Booked(0, time.Second), 9500*ms) // 0.95 of the capacity is usable.
	b.Update(time.Second, 0, &f)
	must.Between(t, 2500*ms, b.Booked(time.Second, time.Minute), 3500*ms)
	b.Update(time.Minute, 0, &f)
	must.Zero(t, b.Booked(time.Minute, time.Hour))
}
