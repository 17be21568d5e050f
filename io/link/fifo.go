package link

import "sync"

// fifoReuse is the capacity up to which an empty queue keeps its array.
const fifoReuse = 16

// fifo is a bounded queue with one consumer that uses memory for queued items only. A channel would
// reserve room for all of them, on each of the thousand links of a hub.
type fifo[T any] struct {
	limit int
	ready chan struct{} // Has a token after an item was added.
	room  chan struct{} // Has a token while there is room.

	mu    sync.Mutex
	items []T
	head  int // Index of the first item.
}

func newFifo[T any](limit int) *fifo[T] {
	return &fifo[T]{limit: limit, ready: make(chan struct{}, 1), room: make(chan struct{}, 1)}
}

// offer adds an item and reports whether there was room for it. A producer that waits for room
// receives from q.room and offers again.
func (q *fifo[T]) offer(item T) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := len(q.items) - q.head
	if n >= q.limit {
		return false
	}
	if q.head > 0 && len(q.items) == cap(q.items) {
		copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
	q.items = append(q.items, item)
	signal(q.ready)
	if n+1 < q.limit {
		signal(q.room) // Another producer may wait as well.
	}
	return true
}

// pop removes the first item. The consumer of an empty queue receives from q.ready and pops again.
func (q *fifo[T]) pop() (item T, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.head == len(q.items) {
		return item, false
	}
	var none T
	item, q.items[q.head] = q.items[q.head], none
	q.head++
	if q.head == len(q.items) {
		q.items, q.head = q.items[:0], 0
		if cap(q.items) > fifoReuse {
			q.items = nil
		}
	}
	signal(q.room)
	return item, true
}

func (q *fifo[T]) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items) - q.head
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
