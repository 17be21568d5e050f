package queue

import (
	"cmp"
	"slices"
)

type (
	flowHeap   []*node // By deadline, then by arrival; no deadline is the last one.
	latestHeap []*node // By the latest time of dispatch.
)

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return sooner(h[i], h[j]) }

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}

// Push is for container/heap.
func (h *flowHeap) Push(x any) {
	n, _ := x.(*node)
	n.at = len(*h)
	*h = append(*h, n)
}

// Pop is for container/heap.
func (h *flowHeap) Pop() any {
	old := *h
	last := len(old) - 1
	n := old[last]
	old[last] = nil
	*h = old[:last]
	return n
}

func sooner(a, b *node) bool {
	if a.end != b.end {
		return a.end < b.end
	}
	return a.seq < b.seq
}

func (h latestHeap) Len() int { return len(h) }

func (h latestHeap) Less(i, j int) bool {
	if h[i].Latest.Equal(h[j].Latest) {
		return h[i].seq < h[j].seq
	}
	return h[i].Latest.Before(h[j].Latest)
}

func (h latestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expires, h[j].expires = i, j
}

// Push is for container/heap.
func (h *latestHeap) Push(x any) {
	n, _ := x.(*node)
	n.expires = len(*h)
	*h = append(*h, n)
}

// Pop is for container/heap.
func (h *latestHeap) Pop() any {
	old := *h
	last := len(old) - 1
	n := old[last]
	old[last] = nil
	*h = old[:last]
	return n
}

func sortNodes(list []*node) {
	slices.SortFunc(list, func(a, b *node) int { return cmp.Compare(a.seq, b.seq) })
}
