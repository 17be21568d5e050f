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
	errLink = errors.New("link down")
	alice   = &wire.Member{Node: "alice", Incarnation: "a1", Address: "127.0.0.1:1"}
	bob     = &wire.Member{Node: "bob", Incarnation: "b1", Address: "127.0.0.1:2"}
	carol   = &wire.Member{Node: "carol", Incarnation: "c1", Address: "127.0.0.1:3"}
)

// fake is the rest of the data centre, seen from alice.
type fake struct {
	mu    sync.Mutex
	owner *wire.Member
	call  func(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error)
	sends []*wire.Frame
	deaf  bool // One-way frames are lost.
	local []*wire.Held
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
	if f.deaf {
		return errLink
	}
	f.sends = append(f.sends, m)
	return nil
}

func (f *fake) Submit(ctx context.Context, _ *wire.Ticket) (*wire.Decision, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}
func (f *fake) Release(*wire.Release) {}
func (f *fake) Hold(h *wire.Held)     { f.local = append(f.local, h) }

func (f *fake) lists() []*wire.Held {
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

// listed names the tickets of the newest list, in either form.
func (f *fake) listed() []uint64 {
	list := f.lists()
	last := list[len(list)-1]
	ids := slices.Clone(last.GetTickets())
	for _, s := range last.GetSlots() {
		ids = append(ids, s.GetTicket().GetId())
	}
	slices.Sort(ids)
	return ids
}

func (f *fake) grant() *Client {
	return &Client{Self: "alice", Incarnation: "a1", Local: f, Members: f, Mesh: f}
}

func granted(t *wire.Ticket, slot uint64) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Decision{Decision: &wire.Decision{
		Ticket: t.GetId(), Kind: &wire.Decision_Grant{Grant: &wire.Grant{Slot: slot, Owner: "b1", Upstream: "e"}},
	}}}
}

// The owner can't be reached four times. The ticket had waited three seconds
// before it came here. Whatever is sent, what is left of the deadline and what
// was waited add up to the same; else a ticket loses its place or its time
// with each send.
func TestDeadlineCountsOnce(t *testing.T) {
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
				return nil, errLink
			}
			return granted(m.GetTicket(), 1), nil
		}
		own := &wire.Ticket{Id: 1, Pool: "p", DeadlineUs: 10_000_000, WaitedUs: 3_000_000}
		_, err := f.grant().Grant(t.Context(), own)
		must.NoError(t, err)
		must.Eq(t, 3_000_000, own.GetWaitedUs())
	})
}

// Bob is frozen while a ticket waits at it. Carol takes over: alice lets go of
// the call at once, without a link's time limit, and asks carol. Bob then wakes
// up and grants the old call; that grant is not used, only carol's is.
func TestFrozenOwnerLateGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{owner: bob}
		woke := make(chan struct{})
		f.call = func(ctx context.Context, to netip.AddrPort, m *wire.Frame) (*wire.Frame, error) {
			if to.String() == carol.GetAddress() {
				return granted(m.GetTicket(), 7), nil
			}
			select {
			case <-woke:
				return granted(m.GetTicket(), 666), nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		g := f.grant()
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
		close(woke)
		synctest.Wait()
		must.Eq(t, 0, len(got))
		must.NotNil(t, f.sends[0].GetWithdraw()) // So bob's queue holds it no longer.
	})
}

// An owner is gone and no other takes over. 500 tickets wait. Each is sent a
// bounded number of times and then refused: no storm, and nothing kept for ever.
func TestNoStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{owner: bob}
		sends := 0
		f.call = func(context.Context, netip.AddrPort, *wire.Frame) (*wire.Frame, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			sends++
			return nil, errLink
		}
		g := f.grant()
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
		must.GreaterEq(t, 3500*time.Millisecond, time.Since(start)) // Spread; longer than a takeover takes.
	})
}

// Alice can't reach bob, but bob is alive for all others and stays the owner.
// After three broken sends another member passes the ticket on.
func TestAsymmetricCutIsRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{owner: bob}
		direct := 0
		f.call = func(_ context.Context, to netip.AddrPort, m *wire.Frame) (*wire.Frame, error) {
			if to.String() == bob.GetAddress() {
				direct++
				return nil, errLink
			}
			must.Eq(t, carol.GetAddress(), to.String())
			must.Eq(t, bob.GetAddress(), m.GetRelay().GetTo())
			return granted(m.GetRelay().GetFrame().GetTicket(), 3), nil
		}
		r, err := f.grant().Grant(t.Context(), &wire.Ticket{Id: 1, Pool: "p"})
		must.NoError(t, err)
		must.Eq(t, uint64(3), r.GetSlot())
		must.Eq(t, relayAfter, direct)
	})
}

// The release of a slot is lost with its link. The owner would count the slot
// as taken for ever; the next list, which lacks it, says otherwise. A new owner
// gets the whole list at once, also of slots that are new.
func TestHeldCoversLostRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{owner: bob}
		f.call = func(_ context.Context, _ netip.AddrPort, m *wire.Frame) (*wire.Frame, error) {
			return granted(m.GetTicket(), m.GetTicket().GetId()), nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		g := f.grant()
		go func() { _ = g.Serve(ctx) }()
		for id := range uint64(2) {
			_, err := g.Grant(ctx, &wire.Ticket{Id: id + 1, Incarnation: "a1", Pool: "p"})
			must.NoError(t, err)
		}
		time.Sleep(4500 * time.Millisecond)
		must.Eq(t, []uint64{1, 2}, f.listed())

		f.mu.Lock()
		f.deaf = true
		f.mu.Unlock()
		g.Release(&wire.Release{Ticket: 1, Pool: "p", Slot: 1})
		f.mu.Lock()
		f.deaf = false
		f.mu.Unlock()
		time.Sleep(heldEvery)
		must.Eq(t, []uint64{2}, f.listed())
		must.Len(t, 0, f.lists()[len(f.lists())-1].GetSlots(), must.Sprint("an owner that had the list gets tickets alone"))
		full := 0
		time.Sleep(fullEvery * heldEvery)
		for _, h := range f.lists() {
			full += min(len(h.GetSlots()), 1)
		}
		must.GreaterEq(t, 2, full, must.Sprint("now and then it gets the whole list again"))
		must.Eq(t, []uint64{2}, f.listed())

		_, err := g.Grant(ctx, &wire.Ticket{Id: 3, Incarnation: "a1", Pool: "p"})
		must.NoError(t, err)
		f.mu.Lock()
		f.owner = carol
		f.mu.Unlock()
		g.OwnersChanged()
		synctest.Wait()
		must.Len(t, 2, f.lists()[len(f.lists())-1].GetSlots())
		cancel()
	})
}

// A ticket is sent some milliseconds after it was made. Its times have moved on,
// and the scheduler gets all else that it says: a field that got lost on the way
// would be missed by no other test, for each part works without it.
func TestAgedTicketIsWhole(t *testing.T) {
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
		default:
			fields.Set(f, sample(t, f))
		}
	}
	c := aged(all, 400*time.Microsecond)
	must.Eq(t, 8600, c.GetDeadlineUs())
	must.Eq(t, 500, c.GetWaitedUs())
	must.Eq(t, 100, c.GetObjectiveUs())
	c.DeadlineUs, c.WaitedUs, c.ObjectiveUs = all.GetDeadlineUs(), all.GetWaitedUs(), all.GetObjectiveUs()
	must.True(t, proto.Equal(all, c), must.Sprint(c))
	must.Nil(t, aged(all, time.Second))
}

// sample is a value of a field that is not its zero.
func sample(t *testing.T, f protoreflect.FieldDescriptor) protoreflect.Value {
	t.Helper()
	switch f.Kind() { //nolint:exhaustive // What tickets have; others fail.
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
	t.Fatalf("field %s: a sample of its kind is missing here", f.Name())
	return protoreflect.Value{}
}
