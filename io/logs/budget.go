package logs

import (
	"sync"
	"time"
)

// Budget limits the log lines of one kind, such as those of single requests, so that a burst of them does not
// exhaust the limit of all output. It is asked before the values of a line are computed, which saves their cost.
// The zero value has no limit.
type Budget struct {
	Most int // Lines per second; zero for no limit.

	mu      sync.Mutex
	second  int64
	count   int
	leftOut int
}

// Take reports whether another line may be logged in this second, and how many were dropped since the last one.
func (b *Budget) Take(now time.Time) (leftOut int, ok bool) {
	if b.Most == 0 {
		return 0, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := now.Unix(); s != b.second {
		b.second, b.count = s, 0
	}
	if b.count == b.Most {
		b.leftOut++
		return 0, false
	}
	b.count++
	leftOut, b.leftOut = b.leftOut, 0
	return leftOut, true
}
