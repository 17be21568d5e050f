package batch

import (
	"math"
	"time"
)

// rateSpan is the time over which a rate is taken: longer than bursts within a second,
// and short enough to follow those of some seconds.
const rateSpan = 5 * time.Second

// rate is how many come a second, of late. The zero value has seen none.
type rate struct {
	count float64 // Faded.
	at    time.Duration
}

func (r *rate) add(now time.Duration) {
	r.count = r.count*math.Exp(-(now-r.at).Seconds()/rateSpan.Seconds()) + 1
	r.at = now
}

func (r *rate) perSecond() float64 { return r.count / rateSpan.Seconds() }
