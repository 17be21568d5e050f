package wait

import (
	"math"
	"time"
)

const (
	// binLength is the length of the steps in which arrivals are counted, and lowSpan the number of steps over
	// which a rate is taken: long enough to even out single arrivals, short against a wave of demand.
	binLength = time.Second
	lowSpan   = 2
	// bins is the number of steps for which arrivals are kept. It covers some waves and bursts of demand.
	bins = 30
)

// arrivals counts arrivals by time. The zero value has none.
type arrivals struct {
	counts [bins]float64
	first  int // Number of the first bin since the start.
	last   int // Number of the bin that is being filled.
	begun  bool
}

// advance begins the bin of a time.
func (a *arrivals) advance(at time.Duration) {
	n := int(at / binLength)
	if !a.begun {
		a.begun, a.first, a.last = true, n, n
	}
	for ; a.last < n; a.last++ {
		a.counts[(a.last+1)%bins] = 0
	}
}

func (a *arrivals) add(at time.Duration) {
	a.advance(at)
	a.counts[a.last%bins]++
}

// low returns the lowest rate of late, in requests a second. It is zero until a rate is known: a scheduler that has
// just taken over refuses no ticket for arrivals that it has not seen.
func (a *arrivals) low(at time.Duration) float64 {
	a.advance(at)
	least := math.Inf(1)
	// The first bin is incomplete, and so is the last one.
	for n := max(a.first+1, a.last-bins+1); n+lowSpan <= a.last; n++ {
		sum := 0.
		for i := range lowSpan {
			sum += a.counts[(n+i)%bins]
		}
		least = min(least, sum/(lowSpan*binLength.Seconds()))
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}
