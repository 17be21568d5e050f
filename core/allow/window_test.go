package allow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	window      = 8 * time.Second
	requestSize = 10 // Units.
	reportStep  = Step
)

// admission is a request that was admitted and not returned.
type admission struct {
	at    time.Time
	units int64
}

// mostInWindow returns the most units that were admitted within any window.
func mostInWindow(list []admission) int64 {
	slices.SortFunc(list, func(a, b admission) int { return a.at.Compare(b.at) })
	most, sum, first := int64(0), int64(0), 0
	for _, a := range list {
		sum += a.units
		for a.at.Sub(list[first].at) >= window {
			sum -= list[first].units
			first++
		}
		most = max(most, sum)
	}
	return most
}

// Guards against limits that are raised and lowered in turn and add tokens with each change. In any
// window an account gets the units of its highest limit at most.
func TestChangesOfALimitAddNoTokens(t *testing.T) {
	for _, every := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second} {
		for _, low := range []float64{10, 50, 90} {
			t.Run(fmt.Sprintf("%s-%g", every, low), func(t *testing.T) {
				a := Limiter{StartFull: true}
				a.Set(start, accounts(100, 100), 1)
				var list []admission
				const step = 10 * time.Millisecond
				for i := range 20 * int(time.Second/step) {
					now := start.Add(time.Duration(i) * step)
					if now.Sub(start)%every == 0 {
						rate := low
						if now.Sub(start)/every%2 == 0 {
							rate = 100
						}
						a.Set(now, accounts(rate, rate), 1)
					}
					if _, ok := a.Take(now, "a", requestSize); ok {
						list = append(list, admission{now, requestSize})
					}
				}
				must.LessEq(t, 8*100+100+requestSize, mostInWindow(list))
			})
		}
	}
}

// Guards against units that come back for refused requests and are spent on top of a bucket that has
// refilled meanwhile. Requests come in bursts that wait for up to two seconds, and some bursts are
// refused then.
func TestReturnedUnitsAddNoTokens(t *testing.T) {
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // Repeats.
		a := Limiter{StartFull: true}
		a.Set(start, accounts(100, 100), 1)
		type waiting struct {
			admission
			until   time.Time
			refused bool
		}
		var queue []waiting
		var list []admission
		const step = 10 * time.Millisecond
		for i := range 30 * int(time.Second/step) {
			now := start.Add(time.Duration(i) * step)
			queue = slices.DeleteFunc(queue, func(w waiting) bool {
				if now.Before(w.until) {
					return false
				}
				if w.refused {
					a.Return(now, w.at, "a", w.units)
				} else {
					list = append(list, w.admission)
				}
				return true
			})
			if rnd.IntN(40) > 0 {
				continue
			}
			wait, refused := time.Duration(rnd.Int64N(int64(2*time.Second))), rnd.IntN(3) == 0
			for range 20 {
				if _, ok := a.Take(now, "a", requestSize); ok {
					queue = append(queue, waiting{admission{now, requestSize}, now.Add(wait), refused})
				}
			}
		}
		must.LessEq(t, 8*100+100+requestSize, mostInWindow(list), must.Sprint("seed ", seed))
	}
}

// Guards against usage that is reported late and is forgotten, and against an account below its rate
// that pays for a late report. One side admits by itself for a while and then reports what it admitted
// and when, while the limiter goes on.
func TestLateReportsCount(t *testing.T) {
	for _, tc := range []struct {
		name    string
		own     float64 // Units per second that the limiter is asked for.
		other   float64 // Units per second that the other side admits and reports late.
		refused bool    // The account may be refused after the report.
	}{
		{"both below the rate together", 45, 45, false},
		{"all on the other side", 0, 95, false},
		{"more than the rate together", 100, 95, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := Limiter{StartFull: true}
			a.Set(start, accounts(100, 100), 1)
			ownUnits, refusals := 0.0, 0
			const step = 10 * time.Millisecond
			const away, total = 2700 * time.Millisecond, 8 * time.Second
			for i := range int(total / step) {
				now := start.Add(time.Duration(i) * step)
				if now.Sub(start) == away {
					for at := start; at.Before(now); at = at.Add(reportStep) {
						a.ChargeAt(now, at, "a", int64(tc.other*reportStep.Seconds()))
					}
				}
				if float64(i)*step.Seconds()*tc.own < ownUnits {
					continue
				}
				if _, ok := a.Take(now, "a", 1); ok {
					ownUnits++
				} else {
					refusals++
				}
			}
			must.Eq(t, tc.refused, refusals > 0)
			must.LessEq(t, 100*total.Seconds()+100+requestSize, ownUnits+tc.other*away.Seconds())
		})
	}
}
