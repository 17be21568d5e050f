package queue

type (
	// nodes is the common part of both heaps.
	nodes []*node

	flowHeap   struct{ nodes } // By deadline, then by arrival; tickets without a deadline come last.
	expiryHeap struct{ nodes } // By the latest dispatch time, then by arrival.
)

func (h nodes) Len() int { return len(h) }

func (h *nodes) add(x any) *node {
	n, _ := x.(*node)
	*h = append(*h, n)
	return n
}

// Pop implements heap.Interface.
func (h *nodes) Pop() any {
	old := *h
	last := len(old) - 1
	n := old[last]
	old[last] = nil
	*h = old[:last]
	return n
}

func (h flowHeap) Less(i, j int) bool { return dueBefore(h.nodes[i], h.nodes[j]) }

func (h flowHeap) Swap(i, j int) {
	h.nodes[i], h.nodes[j] = h.nodes[j], h.nodes[i]
	h.nodes[i].flowIndex, h.nodes[j].flowIndex = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) { h.add(x).flowIndex = h.Len() - 1 }

func dueBefore(a, b *node) bool {
	if a.deadlineNs != b.deadlineNs {
		return a.deadlineNs < b.deadlineNs
	}
	return a.seq < b.seq
}

func (h expiryHeap) Less(i, j int) bool {
	a, b := h.nodes[i], h.nodes[j]
	if a.LatestDispatch.Equal(b.LatestDispatch) {
		return a.seq < b.seq
	}
	return a.LatestDispatch.Before(b.LatestDispatch)
}

func (h expiryHeap) Swap(i, j int) {
	h.nodes[i], h.nodes[j] = h.nodes[j], h.nodes[i]
	h.nodes[i].expiryIndex, h.nodes[j].expiryIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { h.add(x).expiryIndex = h.Len() - 1 }
