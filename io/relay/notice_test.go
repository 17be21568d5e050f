package relay

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

var (
	bob   = &wire.Member{Node: "bob", Incarnation: "b1", Address: "127.0.0.1:2"}
	carol = &wire.Member{Node: "carol", Incarnation: "c1", Address: "127.0.0.1:3"}
)

// fake is the other members; it notes what each was told.
type fake struct {
	mu    sync.Mutex
	owner *wire.Member
	dead  map[string]bool
	fail  func() // Called when a call fails.
	got   map[string][]*wire.Announce
}

func (f *fake) Call(_ context.Context, to netip.AddrPort, m *wire.Frame) (*wire.Frame, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead[to.String()] {
		f.fail()
		return nil, errors.New("link down")
	}
	f.got[to.String()] = append(f.got[to.String()], m.GetAnnounce())
	return &wire.Frame{}, nil
}

func (f *fake) notice() *Relay {
	f.got, f.dead = map[string][]*wire.Announce{}, map[string]bool{}
	return &Relay{
		Owners: func(string) []*wire.Member { return []*wire.Member{f.owner} },
		Alive:  func() []*wire.Member { return []*wire.Member{bob, carol} },
		Mesh:   f, Deliver: func(a *wire.Announce) { f.got["here"] = append(f.got["here"], a) },
	}
}

func says(seq uint64, leaving bool) *wire.Announce {
	return &wire.Announce{Upstream: "u", Incarnation: "u1", Pools: []string{"p"}, Seq: seq, Leaving: leaving, LeaseUs: 3_000_000}
}

// An upstream says that it leaves. A "serving" that was delayed, or came by way
// of another entry with a higher number, arrives later: it brings nothing back,
// at the entry or at the owner. A new incarnation starts afresh.
func TestLeavingIsFinal(t *testing.T) {
	f := &fake{owner: bob}
	n := f.notice()
	must.NoError(t, n.Forward(t.Context(), says(2, true)))
	must.Len(t, 1, f.got[carol.GetAddress()]) // Not only the owner: anyone may hold its old news.
	must.NoError(t, n.Forward(t.Context(), says(1, false)))
	must.NoError(t, n.Forward(t.Context(), says(3, false)))
	for _, a := range f.got[bob.GetAddress()] {
		must.True(t, a.GetLeaving())
	}
	n.Accept(says(4, false))
	must.True(t, f.got["here"][0].GetLeaving())
	again := says(1, false)
	again.Incarnation = "u2"
	n.Accept(again)
	must.False(t, f.got["here"][1].GetLeaving())
}

// The owner dies in the moment in which an announcement is passed on. It goes
// to the new owner in the same call, so that the upstream's lease doesn't lapse.
func TestForwardedOnceMore(t *testing.T) {
	f := &fake{owner: bob}
	n := f.notice()
	f.dead[bob.GetAddress()] = true
	f.fail = func() { f.owner = carol }
	must.NoError(t, n.Forward(t.Context(), says(1, false)))
	must.Len(t, 1, f.got[carol.GetAddress()])
	f.dead[carol.GetAddress()] = true
	must.Error(t, n.Forward(t.Context(), says(2, false))) // The upstream asks another entry.
}

// A pool moves. The new owner hears at once of the upstreams that the entry
// knows, with what is left of their leases; those that have ended stay ended.
func TestNewOwnerHearsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{owner: bob}
		n := f.notice()
		must.NoError(t, n.Forward(t.Context(), says(1, false)))
		time.Sleep(2 * time.Second)
		old := says(1, false)
		old.Upstream, old.LeaseUs = "ended", 1
		must.NoError(t, n.Forward(t.Context(), old))
		time.Sleep(time.Millisecond)
		f.owner = carol
		n.SendToNewOwners(t.Context())
		must.Len(t, 1, f.got[carol.GetAddress()])
		must.Eq(t, 999_000, f.got[carol.GetAddress()][0].GetLeaseUs())
		n.SendToNewOwners(t.Context())
		must.Len(t, 1, f.got[carol.GetAddress()]) // Not new any more.
	})
}
