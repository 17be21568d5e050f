package link

import (
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against items that are lost, doubled or reordered, and against producers that wait although
// there is room, with more producers than the queue holds.
func TestFifo(t *testing.T) {
	const producers, each = 8, 2000
	for _, limit := range []int{1, 3, 100} {
		q := newFifo[[2]int](limit)
		var wg sync.WaitGroup
		for p := range producers {
			wg.Go(func() {
				for i := range each {
					for !q.offer([2]int{p, i}) {
						<-q.room
					}
				}
			})
		}
		next := [producers]int{}
		for n := 0; n < producers*each; {
			item, ok := q.pop()
			if !ok {
				<-q.ready
				continue
			}
			must.Eq(t, next[item[0]], item[1])
			next[item[0]]++
			n++
			must.LessEq(t, limit, q.len())
		}
		wg.Wait()
		_, ok := q.pop()
		must.False(t, ok)
		must.LessEq(t, fifoReuse, cap(q.items), must.Sprint("an empty queue keeps a large array"))
	}
}
