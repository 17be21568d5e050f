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

// Guards against replicas that take nothing any more once the records behind a snapshot
// found no room, though the log has them all.
func TestFullDiskWhileReplacingTheLog(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		room := func(no bool) {
			for _, a := range n.addrs {
				s := n.at(a).store
				s.mu.Lock()
				s.noPut = no
				s.mu.Unlock()
			}
		}
		room(true)
		for i := range CompactAfter + 10 {
			command(t, l, claim(strconv.Itoa(i), time.Hour))
		}
		time.Sleep(compactRetry)
		must.Eq(t, 1, l.store.snapped())
		n.claims(CompactAfter + 10)
		room(false)
		time.Sleep(2 * compactRetry)
		command(t, l, claim("last", time.Hour))
		time.Sleep(time.Second)
		must.Greater(t, CompactAfter, l.store.snapped())
		n.claims(CompactAfter + 11)
	})
}

// fill makes the disks of replicas full, or gives them room.
func fill(yes bool, list ...*replica) {
	for _, r := range list {
		r.store.mu.Lock()
		r.store.full = yes
		r.store.mu.Unlock()
	}
}

// The disk of the leader is full. Operators' commands are acknowledged by the disks of
// the others, and no process ends. When it then loses power with what it could not
// write, nothing that was acknowledged is gone.
func TestFullDiskOfTheLeader(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		fill(true, l)
		for i := range 20 {
			must.Eq(t, state.OK, command(t, l, claim(strconv.Itoa(i), time.Hour)).GetCode())
		}
		n.outlives(t, l, func() { fill(false, l) }, 21)
	})
}

// outlives holds that a leader stays while its disk is harmed, and that all replicas have
// that many claims, with one more, after it lost power with what it could not write.
func (n *network) outlives(t *testing.T, l *replica, heal func(), claims uint64) {
	t.Helper()
	time.Sleep(10 * time.Second)
	must.True(t, l.Leads())
	heal()
	l.restart()
	command(t, n.leader(nil), claim("last", time.Hour))
	time.Sleep(time.Second)
	n.claims(claims)
}

// All disks are full. A command is not acknowledged, but the leader goes on: entries
// place their requests by it. Once there is room, the command that waited comes
// through, and each replica has it.
func TestAllDisksFull(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		all := []*replica{n.at(n.addrs[0]), n.at(n.addrs[1]), n.at(n.addrs[2])}
		fill(true, all...)
		done := make(chan error, 1)
		go func() {
			_, err := l.Propose(t.Context(), claim("waits", time.Hour))
			done <- err
		}()
		time.Sleep(10 * time.Second)
		must.Eq(t, 0, len(done))
		must.True(t, l.Leads())
		fill(false, all...)
		must.NoError(t, <-done)
		time.Sleep(time.Second)
		n.claims(1)
	})
}

// A replica is cut off while hundreds of commands are taken, and comes back with a full
// disk, so that it can't keep the snapshot that it needs. It neither ends nor counts
// for what is acknowledged, and catches up once there is room.
func TestFullDiskWhileCatchingUp(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		lag := n.other(l)
		n.isolate(lag.Address, true)
		for i := range CompactAfter + 600 {
			command(t, l, claim(strconv.Itoa(i), time.Hour))
		}
		fill(true, lag)
		n.isolate(lag.Address, false)
		time.Sleep(10 * time.Second)
		must.Eq(t, 0, len(lag.ended))
		fill(false, lag)
		time.Sleep(40 * time.Second)
		command(t, n.leader(nil), claim("last", time.Hour))
		time.Sleep(time.Second)
		n.claims(CompactAfter + 601)
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
