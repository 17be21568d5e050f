package state

import "container/heap"

type (
	// expiryHeap is a min-heap of claims by expiry time. With it, the cost of an Expire command
	// depends on the number of expired claims and not on the number of stored claims.
	expiryHeap []expiry

	expiry struct {
		atUs int64
		key  claimKey
	}
)

func (e expiryHeap) Len() int           { return len(e) }
func (e expiryHeap) Less(i, j int) bool { return e[i].atUs < e[j].atUs }
func (e expiryHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *expiryHeap) Push(x any) { *e = append(*e, x.(expiry)) }

// Pop implements heap.Interface.
func (e *expiryHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// scheduleExpiry adds a claim to the heap; a zero time means that the claim never expires. An older
// heap entry of the same key stays until its time comes and is ignored then.
func (s *State) scheduleExpiry(k claimKey, at int64) {
	if at > 0 {
		heap.Push(&s.expiries, expiry{at, k})
	}
}
