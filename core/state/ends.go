package state

import "container/heap"

type (
	// ends orders claims by when they expire, soonest first, so that an
	// expiry costs what it drops and not a walk over all claims.
	ends []end

	end struct {
		at  int64
		key claimKey
	}
)

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push and Pop are called by container/heap alone.
func (e *ends) Push(x any) { *e = append(*e, x.(end)) }

// Pop removes the last.
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// endsAt notes when a claim ends; zero is never. An older note of the same key
// stays and is passed over when its time comes.
func (s *State) endsAt(k claimKey, at int64) {
	if at > 0 {
		heap.Push(&s.ends, end{at, k})
	}
}
