package grant

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"azurelane/core/refuse"
	"azurelane/core/wire"
)

var (
	errLinkDown = errors.New("link down")
	alice       = &wire.Member{Node: "alice", Incarnation: "a1", Address: "127.0.0.1:1"}
	bob         = &wire.Member{Node: "bob", Incarnation: "b1", Address: "127.0.0.1:2"}
	carol       = &wire.Member{Node: "carol", Incarnation: "c1", Address: "127.0.0.1:3"}
)

// fake stands in for the owner, the other members and the network, as seen by alice.
type fake struct {
	mu         sync.Mutex
	owner      *wire.Member
	call       func(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error)
	sends      []*wire.Frame
	dropSends  bool // One-way frames are lost.
	localLists []*wire.Held
}

func (f *fake) Owner(string) *wire.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.owner
}

func (f *fake) Alive() []*wire.Member { return []*wire.Member{alice, bob, carol} }

func (f *fake) Call(ctx context.Context, to netip.AddrPort, m *wire.Frame) (*wire.Frame, error) {
	return f.call(ctx, to, m)
}

func (f *fake) Send(_ context.Context, _ netip.AddrPort, m *wire.Frame) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dropSends {
		return errLinkDown
	}
	f.sends = append(f.sends, m)
	return nil
}

func (f *fake) Submit(ctx context.Context, _ *wire.Ticket) (*wire.Decision, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}
func (f *fake) Release(*wire.Release) {}
func (f *fake) Hold(h *wire.Held)     { f.localLists = append(f.localLists, h) }

func (f *fake) heldLists() []*wire.Held {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*wire.Held
	for _, m := range f.sends {
		if h := m.GetHeld(); h != nil {
			list = append(list, h)
		}
	}
	return list
}

// lastListedTickets returns the sorted tickets of the newest list, full or not.
func (f *fake) lastListedTickets() []uint64 {
	list := f.heldLists()
	last := list[len(list)-1]
	ids := slices.Clone(last.GetTickets())
	for _, s := range last.GetSlots() {
		ids = append(ids, s.GetTicket().GetId())
	}
	slices.Sort(ids)
	return ids
}

func (f *fake) client() *Client {
	return &Client{Self: "alice", Incarnation: "a1", Local: f, Members: f, Mesh: f}
}

func grantFrame(t *wire.Ticket, slot uint64) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Decision{Decision: &wire.Decision{
		Ticket: t.GetId(), Kind: &wire.Decision_Grant{Grant: &wire.Grant{Slot: slot, Owner: "b1", Upstream: "e"}},
	}}}
}

// Guards against a ticket that loses its place in the queue or part of its deadline with each send.
// The first four sends to the owner fail, and the ticket had waited for 3 s before. In each send,
// the time to the deadline and the time waited must add up to the same sum.
func TestDeadlineSpansSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{owner: bob}
		start := time.Now()
		n := 0
		f.call = func(_ context.Context, _ netip.AddrPort, m *wire.Frame) (*wire.Frame, error) {
			if r := m.GetRelay(); r != nil {
				m = r.GetFrame()
			}
			passed := time.Since(start).Microseconds()
			must.Eq(t, 10_000_000-passed, m.GetTicket().GetDeadlineUs())
			must.Eq(t, 3_000_000+passed, m.GetTicket().GetWaitedUs())
			if n++; n < 5 {
				time.Sleep(300 * time.Millisecond)
				return nil, errLinkDown
			}
			return grantFrame(m.GetTicket(), 1), nil
		}
		own := &wire.Ticket{Id: 1, Pool: "p", DeadlineUs: 10_000_000, WaitedUs: 3_000_000}
		_, err := f.client().Grant(t.Context(), own)
		must.NoError(t, err)
		must.Eq(t, 3_000_000, own.GetWaitedUs())
	})
}

// Guards against using the late grant of a previous owner. Bob freezes while a ticket waits there,
// and carol takes over. Alice must cancel the call at once, without waiting for a link timeout, and
// ask carol. Bob then resumes and grants the old call; only carol's grant may be used.
func TestFrozenOwnerLateGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{owner: bob}
		resumed := make(chan struct{})
		f.call = func(ctx context.Context, to netip.AddrPort, m *wire.Frame) (*wire.Frame, error) {
			if to.String() == carol.GetAddress() {
				return grantFrame(m.GetTicket(), 7), nil
			}
			select {
			case <-resumed:
				return grantFrame(m.GetTicket(), 666), nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		g := f.client()
		got := make(chan *wire.Grant, 2)
		go func() {
			r, _ := g.Grant(t.Context(), &wire.Ticket{Id: 1, Pool: "p"})
			got <- r
		}()
		synctest.Wait()
		f.mu.Lock()
		f.owner = carol
		f.mu.Unlock()
		start := time.Now()
		g.OwnersChanged()
		must.Eq(t, uint64(7), (<-got).GetSlot())
		must.Less(t, 100*time.Millisecond, time.Since(start))
		close(resumed)
		synctest.Wait()
		must.Eq(t, 0, len(got))
		must.NotNil(t, f.sends[0].GetWithdraw()) // Removes the ticket from bob's queue.
	})
}

// Guards against a retry storm and tickets that wait forever. The owner is lost, no other member
// takes over, and 500 tickets wait. Each must be sent a bounded number of times and then be
// refused.
func TestSendsPerTicketAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{owner: bob}
		sends := 0
		f.call = func(context.Context, netip.AddrPort, *wire.Frame) (*wire.Frame, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			sends++
			return nil, errLinkDown
		}
		g := f.client()
		start := time.Now()
		var wg sync.WaitGroup
		for i := range 500 {
			wg.Go(func() {
				_, err := g.Grant(t.Context(), &wire.Ticket{Id: uint64(i), Pool: "p"})
				var re *refuse.Error
				must.True(t, errors.As(err, &re))
				must.Eq(t, refuse.NoUpstream, re.Code)
				must.Positive(t, re.RetryAfter)
			})
		}
		wg.Wait()
		must.Eq(t, 500*maxSends, sends)
		// The sends must be spread over more time than a takeover takes.
		must.GreaterEq(t, 3500*time.Millisecond, time.Since(start))
	})
}

// Guards against an entry that can't use a pool because only its own link to the owner is broken.
// Alice can't reach bob, but all others can, so bob stays the owner. After three failed sends the
// ticket must be relayed through another member.
func TestAsymmetricPartitionIsRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{owner: bob}
		direct := 0
		f.call = func(_ context.Context, to netip.AddrPort, m *wire.Frame) (*wire.Frame, error) {
			if to.String() == bob.GetAddress() {
				direct++
				return nil, errLinkDown
			}
			must.Eq(t, carol.GetAddress(), to.String())
			must.Eq(t, bob.GetAddress(), m.GetRelay().GetTo())
			return grantFrame(m.GetRelay().GetFrame().GetTicket(), 3), nil
		}
		r, err := f.client().Grant(t.Context(), &wire.Ticket{Id: 1, Pool: "p"})
		must.NoError(t, err)
		must.Eq(t, uint64(3), r.GetSlot())
		must.Eq(t, relayThreshold, direct)
	})
}

// Guards against a slot that stays taken forever because its release was lost with a link. The next
// list, which does not contain the slot, must free it. A new owner must get the full list at once,
// including slots that were granted recently.
func TestHeldListRepairsLostRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{owner: bob}
		f.call = func(_ context.Context, _ netip.AddrPort, m *wire.Frame) (*wire.Frame, error) {
			return grantFrame(m.GetTicket(), m.GetTicket().GetId()), nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		g := f.client()
		go func() { _ = g.Serve(ctx) }()
		for id := range uint64(2) {
			_, err := g.Grant(ctx, &wire.Ticket{Id: id + 1, Incarnation: "a1", Pool: "p"})
			must.NoError(t, err)
		}
		time.Sleep(4500 * time.Millisecond)
		must.Eq(t, []uint64{1, 2}, f.lastListedTickets())

		f.mu.Lock()
		f.dropSends = true
		f.mu.Unlock()
		g.Release(&wire.Release{Ticket: 1, Pool: "p", Slot: 1})
		f.mu.Lock()
		f.dropSends = false
		f.mu.Unlock()
		time.Sleep(heldListInterval)
		must.Eq(t, []uint64{2}, f.lastListedTickets())
		must.Len(t, 0, f.heldLists()[len(f.heldLists())-1].GetSlots(), must.Sprint("an owner that has received the full list gets ticket numbers only"))
		full := 0
		time.Sleep(fullListEvery * heldListInterval)
		for _, h := range f.heldLists() {
			full += min(len(h.GetSlots()), 1)
		}
		must.GreaterEq(t, 2, full, must.Sprint("it gets the full list again periodically"))
		must.Eq(t, []uint64{2}, f.lastListedTickets())

		_, err := g.Grant(ctx, &wire.Ticket{Id: 3, Incarnation: "a1", Pool: "p"})
		must.NoError(t, err)
		f.mu.Lock()
		f.owner = carol
		f.mu.Unlock()
		g.OwnersChanged()
		synctest.Wait()
		must.Len(t, 2, f.heldLists()[len(f.heldLists())-1].GetSlots())
		cancel()
	})
}

// Guards against a ticket field that is not copied when the ticket's times are adjusted before a
// send. No other test would notice a lost field, because each part works without it.
func TestWithElapsedKeepsAllFields(t *testing.T) {
	all := &wire.Ticket{DeadlineUs: 9000, WaitedUs: 100, ObjectiveUs: 500}
	fields := all.ProtoReflect()
	for i := range fields.Descriptor().Fields().Len() {
		f := fields.Descriptor().Fields().Get(i)
		switch {
		case fields.Has(f):
		case f.IsList() && f.Kind() == protoreflect.MessageKind:
			fields.Mutable(f).List().Append(fields.NewField(f).List().NewElement())
		case f.IsList():
			fields.Mutable(f).List().Append(protoreflect.ValueOfString("x"))
		case f.Kind() == protoreflect.MessageKind:
			fields.Set(f, fields.NewField(f))
		default:
			fields.Set(f, nonZeroValue(t, f))
		}
	}
	c := withElapsed(all, 400*time.Microsecond)
	must.Eq(t, 8600, c.GetDeadlineUs())
	must.Eq(t, 500, c.GetWaitedUs())
	must.Eq(t, 100, c.GetObjectiveUs())
	c.DeadlineUs, c.WaitedUs, c.ObjectiveUs = all.GetDeadlineUs(), all.GetWaitedUs(), all.GetObjectiveUs()
	must.True(t, proto.Equal(all, c), must.Sprint(c))
	must.Nil(t, withElapsed(all, time.Second))
}

// nonZeroValue returns a value for the field that is not its zero value.
func nonZeroValue(t *testing.T, f protoreflect.FieldDescriptor) protoreflect.Value {
	t.Helper()
	switch f.Kind() { //nolint:exhaustive // The kinds that tickets use; others fail the test.
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte("x"))
	case protoreflect.StringKind:
		return protoreflect.ValueOfString("x")
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(2)
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(2)
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(2)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(1)
	}
	t.Fatalf("field %s: no sample value for its kind", f.Name())
	return protoreflect.Value{}
}
