package ctrl

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/state"
	"azurelane/core/wire"
)

// The disk of the leader has no room for a snapshot beside the log. The log is
// whole, so operators and callers notice nothing: the replica goes on, and
// compacts once there is room.
func TestFullDiskWhileCompacting(t *testing.T) {
	group(t, 3, func(t *testing.T, _ *network, l *replica) {
		room := func(no bool) {
			l.store.mu.Lock()
			defer l.store.mu.Unlock()
			l.store.noRoom = no
		}
		room(true)
		for i := range CompactAfter + 10 {
			must.Eq(t, state.OK, command(t, l, claim(strconv.Itoa(i), time.Hour)).GetCode())
		}
		must.Eq(t, 1, l.store.snapped())
		room(false)
		time.Sleep(2 * compactRetry)
		command(t, l, claim("last", time.Hour))
		time.Sleep(time.Second)
		must.Greater(t, CompactAfter, l.store.snapped())
	})
}

// The document of the highest version is in force, whatever the order in which
// documents arrive, and is read back as it was sent: after an older one, a
// second one of the same version, and a restart of all replicas.
func TestHighestPublicationWins(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		for _, p := range []struct {
			version uint64
			text    string
		}{{3, "three"}, {7, "seven"}, {5, "five"}, {7, "other"}} {
			r := command(t, l, &wire.Command{Kind: &wire.Command_Publish{Publish: &wire.Publish{Version: p.version, Document: []byte(p.text)}}})
			must.Eq(t, state.OK, r.GetCode())
		}
		for _, a := range n.addrs {
			n.at(a).restart()
		}
		l = n.leader(nil)
		command(t, l, &wire.Command{Kind: &wire.Command_Barrier{Barrier: &wire.Barrier{}}})
		v, doc := l.Publication()
		must.Eq(t, 7, v)
		must.Eq(t, "seven", string(doc))
	})
}
