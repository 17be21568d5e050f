// Package buffer bounds the memory of requests' bodies and of answers that are read before they are passed on.
package buffer

import "sync"

const (
	// defaultLimit is the bound of answers where no limit is set, in bytes.
	defaultLimit = 256 << 20
	// Each kind leaves 1/reserveDivisor of the limit to the other one. Otherwise answers to callers that read
	// slowly would keep new requests out, and bodies that wait for an upstream would have answers fail.
	reserveDivisor = 4
)

// Kind is what memory is used for.
type Kind int

// Kinds of uses.
const (
	Answers Kind = iota
	Bodies
	kinds
)

type (
	// Buffer shares a limit among bodies and answers whose lengths are not known in advance. Each may grow up to
	// the size that is still free for its kind. So a single endless answer takes half of what answers may have,
	// and many of them leave as much free as each of them has.
	//
	// The zero value bounds answers to 256 MB and leaves bodies unbounded.
	Buffer struct {
		Limit int64 // Bytes of both kinds together; set before use.

		mu      sync.Mutex
		used    [kinds]int64
		waiting []*claim // Of bodies, in the order in which they came.
	}

	// claim is memory that a body waits for.
	claim struct {
		size, by int64
		granted  chan struct{}
	}
)

// Grow takes memory for a body or an answer of a size, in bytes, and reports whether there was room for it.
func (b *Buffer) Grow(k Kind, size, by int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.grow(k, size, by)
}

func (b *Buffer) grow(k Kind, size, by int64) bool {
	if free, bounded := b.free(k); bounded && size+by > free-by {
		return false
	}
	b.used[k] += by
	return true
}

// free returns what a kind may still take, unless it has no bound.
func (b *Buffer) free(k Kind) (size int64, bounded bool) {
	switch {
	case b.Limit > 0:
		share := b.Limit - b.Limit/reserveDivisor
		return min(share-b.used[k], b.Limit-b.used[Answers]-b.used[Bodies]), true
	case k == Answers:
		return defaultLimit - b.used[k], true
	}
	return 0, false
}

// Wait queues for memory for a body of a size, in bytes, for which there was no room. The channel is closed once
// the memory is taken. The function ends the wait and reports whether the memory has been taken.
func (b *Buffer) Wait(size, by int64) (granted <-chan struct{}, end func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &claim{size: size, by: by, granted: make(chan struct{})}
	b.waiting = append(b.waiting, c)
	b.grant() // Some may have become free since there was no room.
	return c.granted, func() bool { return b.end(c) }
}

// end takes a claim out of the queue unless its memory has been taken.
func (b *Buffer) end(c *claim) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiting {
		if other == c {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return false
		}
	}
	return true
}

// grant gives free memory to the claims for which there is room, in their order.
func (b *Buffer) grant() {
	left := b.waiting[:0]
	for _, c := range b.waiting {
		if b.grow(Bodies, c.size, c.by) {
			close(c.granted)
			continue
		}
		left = append(left, c)
	}
	clear(b.waiting[len(left):])
	b.waiting = left
}

// Free gives back what a body or an answer has taken, in bytes.
func (b *Buffer) Free(k Kind, size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[k] -= size
	b.grant()
}

// Used returns the memory of a kind, in bytes.
func (b *Buffer) Used(k Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[k]
}

// Waiting returns how many bodies wait for memory.
func (b *Buffer) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}
