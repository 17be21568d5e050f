package logs

import (
	"sync"
	"time"
)

// Budget bounds the lines of one kind, such as those of single requests. Whoever
// asks it before a line's values are made spares their cost, and a burst of such
// lines leaves the bound of the whole output to those that an operator needs most.
// The zero value takes every line.
type Budget struct {
	Most int // Lines a second; zero for any number.

	mu      sync.Mutex
	second  int64
	count   int
	leftOut int
}

// Take reports whether the second has room for one more line, and how many were
// left out since the last one that had room.
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
