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

// fakeMembers stands for the other members and records the announcements that each receives.
type fakeMembers struct {
	mu          sync.Mutex
	owner       *wire.Member
	unreachable map[string]bool
	onFailure   func() // Called when a call to an unreachable member fails.
	received    map[string][]*wire.Announce
}

func (f *fakeMembers) Call(_ context.Context, to netip.AddrPort, m *wire.Frame) (*wire.Frame, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable[to.String()] {
		f.onFailure()
		return nil, errors.New("link down")
	}
	f.received[to.String()] = append(f.received[to.String()], m.GetAnnounce())
	return &wire.Frame{}, nil
}

func (f *fakeMembers) newRelay() *Relay {
	f.received, f.unreachable = map[string][]*wire.Announce{}, map[string]bool{}
	return &Relay{
		Owners: func(string) []*wire.Member { return []*wire.Member{f.owner} },
		Alive:  func() []*wire.Member { return []*wire.Member{bob, carol} },
		Mesh:   f, Deliver: func(a *wire.Announce) { f.received["here"] = append(f.received["here"], a) },
	}
}

func announcement(seq uint64, leaving bool) *wire.Announce {
	return &wire.Announce{Upstream: "u", Incarnation: "u1", Pools: []string{"p"}, Seq: seq, Leaving: leaving, LeaseUs: 3_000_000}
}

// An upstream announces that it leaves. A serving announcement that was delayed, or came through
// another entry with a higher sequence number, arrives later. It must not undo the leaving state,
// neither at the entry nor at the owner. A new incarnation is serving again.
func TestLeavingIsFinal(t *testing.T) {
	f := &fakeMembers{owner: bob}
	r := f.newRelay()
	must.NoError(t, r.Forward(t.Context(), announcement(2, true)))
	must.Len(t, 1, f.received[carol.GetAddress()]) // Not an owner, but may hold an older one.
	must.NoError(t, r.Forward(t.Context(), announcement(1, false)))
	must.NoError(t, r.Forward(t.Context(), announcement(3, false)))
	for _, a := range f.received[bob.GetAddress()] {
		must.True(t, a.GetLeaving())
	}
	r.Accept(announcement(4, false))
	must.True(t, f.received["here"][0].GetLeaving())
	restarted := announcement(1, false)
	restarted.Incarnation = "u2"
	r.Accept(restarted)
	must.False(t, f.received["here"][1].GetLeaving())
}

// The owner fails while an announcement is forwarded. The same call sends it to the new owner, so
// that the upstream's lease does not expire.
func TestForwardRetriesAtNewOwner(t *testing.T) {
	f := &fakeMembers{owner: bob}
	r := f.newRelay()
	f.unreachable[bob.GetAddress()] = true
	f.onFailure = func() { f.owner = carol }
	must.NoError(t, r.Forward(t.Context(), announcement(1, false)))
	must.Len(t, 1, f.received[carol.GetAddress()])
	f.unreachable[carol.GetAddress()] = true
	must.Error(t, r.Forward(t.Context(), announcement(2, false))) // No owner got it.
}

// A pool gets a new owner. The entry sends it the stored announcements at once, with the time left
// of their leases, but none whose lease has expired.
func TestNewOwnerGetsKnownAnnouncements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeMembers{owner: bob}
		r := f.newRelay()
		must.NoError(t, r.Forward(t.Context(), announcement(1, false)))
		time.Sleep(2 * time.Second)
		old := announcement(1, false)
		old.Upstream, old.LeaseUs = "ended", 1
		must.NoError(t, r.Forward(t.Context(), old))
		time.Sleep(time.Millisecond)
		f.owner = carol
		r.SendToNewOwners(t.Context())
		must.Len(t, 1, f.received[carol.GetAddress()])
		must.Eq(t, 999_000, f.received[carol.GetAddress()][0].GetLeaseUs())
		r.SendToNewOwners(t.Context())
		must.Len(t, 1, f.received[carol.GetAddress()]) // Carol has received it already.
	})
}
