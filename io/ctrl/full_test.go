package ctrl

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/state"
	"azurelane/core/wire"
)

// Guards against a leader that stops because its disk has no space for a snapshot beside the log. The
// log is complete, so the replica must continue without effect on operators and callers, and compact
// once there is space.
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

// Guards against replicas that accept nothing after the records behind a snapshot could not be
// written, although the log has them all.
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

// fill sets whether the disks of replicas are full.
func fill(yes bool, list ...*replica) {
	for _, r := range list {
		r.store.mu.Lock()
		r.store.full = yes
		r.store.mu.Unlock()
	}
}

// Guards against acknowledged commands lost with a leader whose disk is full. Commands must be
// acknowledged once the other replicas have stored them, no process may stop, and nothing
// acknowledged may be lost when the leader then crashes with its unwritten records.
func TestFullDiskOfTheLeader(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		fill(true, l)
		for i := range 20 {
			must.Eq(t, state.OK, command(t, l, claim(strconv.Itoa(i), time.Hour)).GetCode())
		}
		n.outlives(t, l, func() { fill(false, l) }, 21)
	})
}

// outlives checks that the leader keeps its leadership despite its disk, and that all replicas have
// the given number of claims, one new one included, after it crashed with its unwritten records.
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

// Guards against a leader that stops when all disks are full, because entries need it to schedule
// requests. A command must not be acknowledged until there is space, and must then reach all
// replicas.
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

// Guards against a replica that stops, or acknowledges entries that it lacks, when it returns from a
// network partition with a full disk and can't store the snapshot that it needs. It must catch up
// once there is space.
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

// Guards against an older document in force: the document with the highest version must be read back
// unchanged after an older one, another one of the same version, and a restart of all replicas.
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
