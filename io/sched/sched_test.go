package sched_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"azurelane/core/conf"
	"azurelane/core/pool"
	_ "azurelane/core/pull"
	"azurelane/core/wire"
	"azurelane/io/sched"
)

func newSched() *sched.Sched {
	s := &sched.Sched{Incarnation: "owner", Log: logr.Discard()}
	s.Install(&conf.Config{Pools: map[string]pool.Pool{"p": {}}})
	s.Announce(&wire.Announce{Upstream: "up", Address: "127.0.0.1:1", Pools: []string{"p"}, MaxRunning: 1, LeaseUs: time.Hour.Microseconds()})
	return s
}

func ticket(id uint64) *wire.Ticket {
	return &wire.Ticket{Id: id, Entry: "e", Incarnation: "i", Account: "a", Pool: "p", Tier: wire.Tier_TIER_NORMAL}
}

func release(d *wire.Decision) *wire.Release {
	return &wire.Release{Ticket: d.GetTicket(), Incarnation: "i", Pool: "p", Slot: d.GetGrant().GetSlot(), Owner: d.GetGrant().GetOwner()}
}

// submit sends a ticket in the background and returns once the call waits or
// is decided.
func submit(ctx context.Context, s *sched.Sched, id uint64) <-chan *wire.Decision {
	ch := make(chan *wire.Decision, 1)
	go func() { ch <- s.Submit(ctx, ticket(id)) }()
	synctest.Wait()
	return ch
}

func withdraw(id uint64) *wire.Withdraw {
	return &wire.Withdraw{Ticket: id, Entry: "e", Incarnation: "i", Pool: "p"}
}

// An entry's link breaks while its ticket waits, and it sends the ticket again
// over a new link. Only then the owner notices the end of the old link. The old
// call's end must not withdraw the new one: the caller would wait in vain.
func TestOldLinkEndsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSched()
		busy := s.Submit(t.Context(), ticket(1))
		must.NotNil(t, busy.GetGrant())
		old, end := context.WithCancel(t.Context())
		first := submit(old, s, 2)
		second := submit(t.Context(), s, 2)
		end()
		synctest.Wait()
		must.NotNil(t, (<-first).GetRefusal())
		s.Release(release(busy))
		must.NotNil(t, (<-second).GetGrant())
	})
}

// A caller goes away while its ticket is on the way to the owner, and the
// withdrawal overtakes the ticket. The ticket must not be granted a slot that
// nobody will use.
func TestWithdrawalOvertakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSched()
		s.Withdraw(withdraw(1))
		must.NotNil(t, s.Submit(t.Context(), ticket(1)).GetRefusal())
		must.NotNil(t, s.Submit(t.Context(), ticket(2)).GetGrant())
	})
}

// A withdrawn ticket's call returns, or each caller that goes away would leave
// a goroutine at the owner.
func TestWithdrawnCallReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSched()
		must.NotNil(t, s.Submit(t.Context(), ticket(1)).GetGrant())
		done := submit(context.WithoutCancel(t.Context()), s, 2)
		s.Withdraw(withdraw(2))
		must.NotNil(t, (<-done).GetRefusal())
	})
}

// The owner takes the entry in its own process for dead, and the entry then
// lists the slot that it still holds. The list names the owner; the slot must
// be taken as the owner's own, or its release would not free it.
func TestOwnSlotsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSched()
		d := s.Submit(t.Context(), ticket(1))
		h := &wire.Held{Entry: "e", Incarnation: "i", Slots: []*wire.HeldSlot{{Ticket: ticket(1), Grant: d.GetGrant()}}}
		s.Forget("i")
		s.Hold(h)
		must.Eq(t, "owner", h.GetSlots()[0].GetGrant().GetOwner(), must.Sprint("the entry's list is its own"))
		next := submit(t.Context(), s, 2)
		must.Eq(t, 0, len(next), must.Sprint("the upstream is full"))
		s.Release(release(d))
		must.NotNil(t, (<-next).GetGrant())
	})
}

// A caller goes away in the moment of its grant. Whether the call returns the
// grant or gives it up, no slot may be lost.
func TestGoneInTheMomentOfTheGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSched()
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		for i := range uint64(32) {
			if d := s.Submit(gone, ticket(2*i)); d.GetGrant() != nil {
				s.Release(release(d))
			}
			d := s.Submit(t.Context(), ticket(2*i+1))
			must.NotNil(t, d.GetGrant())
			s.Release(release(d))
		}
	})
}

// A pool moves to another owner and, moments later, back. The entry withdrew
// its waiting ticket here when the pool went, and now sends it again: it must
// wait as any other, not be taken for one that its withdrawal has overtaken.
func TestWithdrawnAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSched()
		busy := s.Submit(t.Context(), ticket(1))
		submit(t.Context(), s, 2)
		s.Withdraw(withdraw(2))
		back := submit(t.Context(), s, 2)
		s.Release(release(busy))
		must.NotNil(t, (<-back).GetGrant())
	})
}

// An owner has been idle for long when a ticket comes that has to wait, with a
// deadline. The refusal must come when the deadline does: an idle owner looks
// at its queue only five times a second.
func TestDeadlineAfterIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSched()
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Serve(ctx) }()
		must.NotNil(t, s.Submit(t.Context(), ticket(1)).GetGrant())
		for id := uint64(2); id < 5; id++ {
			time.Sleep(10*sched.IdleTickInterval + 7*time.Millisecond)
			late := ticket(id)
			late.DeadlineUs = (33 * time.Millisecond).Microseconds()
			start := time.Now()
			must.NotNil(t, s.Submit(t.Context(), late).GetRefusal())
			must.LessEq(t, 33*time.Millisecond+sched.TickInterval, time.Since(start))
		}
		stop()
		must.ErrorIs(t, <-done, context.Canceled)
	})
}

// Guards against tickets that stay with a scheduler that has ended: their entries hear
// nothing of them until their links end.
func TestEndAnswersWhatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSched()
		ctx, end := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- s.Serve(ctx) }()
		must.NotNil(t, s.Submit(t.Context(), ticket(1)).GetGrant())
		waits := submit(t.Context(), s, 2)
		end()
		synctest.Wait()
		select {
		case d := <-waits:
			must.Eq(t, "withdrawn", d.GetRefusal().GetCode())
			must.Eq(t, 2, d.GetTicket())
		default:
			t.Fatal("no answer")
		}
		must.ErrorIs(t, <-ended, context.Canceled)
		must.Eq(t, "withdrawn", s.Submit(t.Context(), ticket(3)).GetRefusal().GetCode())
		must.Zero(t, s.Waiting())
	})
}
