package queue

type (
	// nodes is what both heaps have in common.
	nodes []*node

	flowHeap   struct{ nodes } // By deadline, then by arrival; no deadline is the last one.
	latestHeap struct{ nodes } // By the latest time of dispatch.
)

func (h nodes) Len() int { return len(h) }

func (h *nodes) add(x any) *node {
	n, _ := x.(*node)
	*h = append(*h, n)
	return n
}

// Pop is for container/heap.
func (h *nodes) Pop() any {
	old := *h
	last := len(old) - 1
	n := old[last]
	old[last] = nil
	*h = old[:last]
	return n
}

func (h flowHeap) Less(i, j int) bool { return sooner(h.nodes[i], h.nodes[j]) }

func (h flowHeap) Swap(i, j int) {
	h.nodes[i], h.nodes[j] = h.nodes[j], h.nodes[i]
	h.nodes[i].at, h.nodes[j].at = i, j
}

// Push is for container/heap.
func (h *flowHeap) Push(x any) { h.add(x).at = h.Len() - 1 }

func sooner(a, b *node) bool {
	if a.end != b.end {
		return a.end < b.end
	}
	return a.seq < b.seq
}

func (h latestHeap) Less(i, j int) bool {
	a, b := h.nodes[i], h.nodes[j]
	if a.LatestDispatch.Equal(b.LatestDispatch) {
		return a.seq < b.seq
	}
	return a.LatestDispatch.Before(b.LatestDispatch)
}

func (h latestHeap) Swap(i, j int) {
	h.nodes[i], h.nodes[j] = h.nodes[j], h.nodes[i]
	h.nodes[i].expires, h.nodes[j].expires = i, j
}

// Push is for container/heap.
func (h *latestHeap) Push(x any) { h.add(x).expires = h.Len() - 1 }
