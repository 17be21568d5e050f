package ctrl

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/state"
)

// slow sets the duration of syncs of a replica's disk.
func slow(d time.Duration, r *replica) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.store.slow = d
}

// Guards against a leader that sends nothing while its disk syncs: it would lose its leadership, and
// callers and operators their scheduler, at each write.
func TestSlowDiskOfTheLeader(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		slow(5*time.Second, l)
		start := time.Now()
		for i := range 20 {
			must.Eq(t, state.OK, command(t, l, claim(strconv.Itoa(i), time.Hour)).GetCode())
		}
		must.Less(t, time.Second, time.Since(start))
		n.outlives(t, l, func() { slow(0, l) }, 21)
	})
}

// Guards against a follower that does not reply while its disk syncs: with the third replica down,
// its leader would step down although a quorum runs.
func TestSlowDiskOfAFollower(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		n.other(n.other(l)).stop()
		slow(5*time.Second, n.other(l))
		start := time.Now()
		must.Eq(t, state.OK, command(t, l, claim("waits", time.Hour)).GetCode())
		must.Between(t, 5*time.Second, time.Since(start), 11*time.Second)
		must.True(t, l.Leads())
		slow(0, n.other(l))
		time.Sleep(5 * time.Second)
		start = time.Now()
		must.Eq(t, state.OK, command(t, l, claim("last", time.Hour)).GetCode())
		must.Less(t, time.Second, time.Since(start))
	})
}

// Guards against a leader that is blocked while a snapshot replaces the log.
func TestSlowDiskWhileCompacting(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		slow(5*time.Second, l)
		for i := range 2 * CompactAfter {
			must.Eq(t, state.OK, command(t, l, claim(strconv.Itoa(i), time.Hour)).GetCode())
		}
		time.Sleep(time.Minute)
		must.Greater(t, CompactAfter, l.store.snapped())
		n.outlives(t, l, func() { slow(0, l) }, 2*CompactAfter+1)
	})
}
