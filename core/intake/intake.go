// Package intake decides which new connections an entry takes while its processor is overloaded. What it
// does not take meets another entry.
package intake

import (
	"sync"
	"time"
)

const (
	// maxDelay is the mean wait of work for a processor from which an entry is overloaded. A request meets
	// it several times on its way.
	maxDelay = 25 * time.Millisecond
	// calmDelay is the wait below which the limit rises. Between calmDelay and maxDelay it stays as it is.
	calmDelay = 5 * time.Millisecond
	// minCut and maxCut bound what remains of the limit when it falls: maxDelay over the wait.
	minCut, maxCut = 0.4, 0.7
	growth         = 1.15 // Of the limit in one span without a wait.
	// A wait that is below settles of the one before shows that the entry works off what it took earlier. The
	// limit does not fall meanwhile.
	settles = 0.9
	// clearSpans is the number of spans in a row, with all connections taken, after which the limit ends.
	clearSpans = 5
	// usualTime is the time over which the usual rate is averaged. The limit does not fall below that rate.
	// Otherwise an entry on a busy host, which is late whatever it takes, would close nearly all connections,
	// and so would all entries if all are slow.
	usualTime = 30 * time.Second
	minRate   = 5 // Of the limit, in connections a second.
	// burst is the time whose connections may come at once, and minBurst their least number. An entry whose
	// quota of processor time is used accepts nothing for most of a tenth of a second.
	burst    = 200 * time.Millisecond
	minBurst = 3
)

// Intake limits the rate of new connections. The limit is learnt: it falls while the entry is overloaded and
// rises while it is not. The zero value has none.
type Intake struct {
	mu     sync.Mutex
	rate   float64 // In connections a second; zero for no limit.
	tokens float64
	filled time.Time     // When tokens were last added.
	taken  int           // In the span so far.
	missed int           // Not taken in the span so far.
	late   bool          // In the last span.
	delay  time.Duration // In the last span.
	clear  int           // Spans in a row in which all were taken.
	usual  float64       // Rate of new connections while the entry is not overloaded.
	calm   time.Duration // Time over which usual was averaged.
}

// Admit reports whether to take a new connection.
func (i *Intake) Admit(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.rate > 0 {
		i.tokens = min(i.tokens+i.rate*now.Sub(i.filled).Seconds(), max(i.rate*burst.Seconds(), minBurst))
		i.filled = now
		if i.tokens < 1 {
			i.missed++
			return false
		}
		i.tokens--
	}
	i.taken++
	return true
}

// Adjust ends a span of time with the mean wait for a processor in it.
func (i *Intake) Adjust(now time.Time, delay, span time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	rate := float64(i.taken) / max(span.Seconds(), time.Millisecond.Seconds())
	i.clear++
	if i.missed > 0 {
		i.clear = 0
	}
	i.taken, i.missed = 0, 0
	if delay < maxDelay {
		i.late, i.delay = false, delay
		if delay < calmDelay {
			i.rate *= growth
		}
		if i.clear >= clearSpans {
			i.rate = 0
		}
		if i.rate == 0 {
			i.calm += span
			i.usual += (rate - i.usual) * span.Seconds() / min(i.calm, usualTime).Seconds()
		}
		return
	}
	i.late, i.clear = true, 0
	falls := float64(delay) < settles*float64(i.delay)
	i.delay = delay
	if falls {
		return
	}
	if i.rate == 0 {
		i.rate, i.filled = rate, now
	}
	left := min(max(float64(maxDelay)/float64(delay), minCut), maxCut)
	i.rate = max(left*min(rate, i.rate), i.usual, minRate)
}

// Overloaded reports whether the entry was overloaded in the last span, or limits what it takes.
func (i *Intake) Overloaded() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.late || i.rate > 0
}

// Rate returns the limit in connections a second; zero for none.
func (i *Intake) Rate() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.rate
}
