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

// submit submits a ticket in the background and returns once the call waits or has been decided.
func submit(ctx context.Context, s *sched.Sched, id uint64) <-chan *wire.Decision {
	ch := make(chan *wire.Decision, 1)
	go func() { ch <- s.Submit(ctx, ticket(id)) }()
	synctest.Wait()
	return ch
}

func withdraw(id uint64) *wire.Withdraw {
	return &wire.Withdraw{Ticket: id, Entry: "e", Incarnation: "i", Pool: "p"}
}

// Guards against the end of an old link withdrawing a ticket that was sent again. An entry's link
// breaks while its ticket waits, the entry sends the ticket over a new link, and the owner notices
// the end of the old link afterwards. If this withdrew the ticket, the caller would never get an
// answer.
func TestOldCallEndsAfterResubmit(t *testing.T) {
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

// Guards against granting a slot to a ticket whose withdrawal arrived first, which happens when the
// caller disconnects while the ticket is in transit. Such a slot would never be used.
func TestWithdrawalBeforeTicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSched()
		s.Withdraw(withdraw(1))
		must.NotNil(t, s.Submit(t.Context(), ticket(1)).GetRefusal())
		must.NotNil(t, s.Submit(t.Context(), ticket(2)).GetGrant())
	})
}

// Guards against a call that does not return after its ticket was withdrawn: each caller that
// disconnects would leak a goroutine at the owner.
func TestWithdrawnCallReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSched()
		must.NotNil(t, s.Submit(t.Context(), ticket(1)).GetGrant())
		done := submit(context.WithoutCancel(t.Context()), s, 2)
		s.Withdraw(withdraw(2))
		must.NotNil(t, (<-done).GetRefusal())
	})
}

// Guards against a release that does not free its slot. The owner falsely declares the entry in its
// own process dead, and the entry then lists the slot that it still holds. The list names the owner
// of the slot; the policy must adopt the slot as one that it granted itself.
func TestHeldListWithOwnSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSched()
		d := s.Submit(t.Context(), ticket(1))
		h := &wire.Held{Entry: "e", Incarnation: "i", Slots: []*wire.HeldSlot{{Ticket: ticket(1), Grant: d.GetGrant()}}}
		s.Forget("i")
		s.Hold(h)
		must.Eq(t, "owner", h.GetSlots()[0].GetGrant().GetOwner(), must.Sprint("the entry's list must not be modified"))
		next := submit(t.Context(), s, 2)
		must.Eq(t, 0, len(next), must.Sprint("the upstream is full"))
		s.Release(release(d))
		must.NotNil(t, (<-next).GetGrant())
	})
}

// Guards against losing a slot when the caller disconnects while its ticket is being granted. The
// call may return the grant or a refusal, but the slot must become free again.
func TestCancelDuringGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSched()
		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		for i := range uint64(32) {
			if d := s.Submit(cancelled, ticket(2*i)); d.GetGrant() != nil {
				s.Release(release(d))
			}
			d := s.Submit(t.Context(), ticket(2*i+1))
			must.NotNil(t, d.GetGrant())
			s.Release(release(d))
		}
	})
}

// Guards against refusing a ticket that is sent again after its withdrawal. A pool moves to another
// owner and shortly after back. The entry withdrew its waiting ticket when the pool moved away and
// now sends it again. The withdrawal must not be applied to the second submission.
func TestResubmitAfterWithdrawal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSched()
		busy := s.Submit(t.Context(), ticket(1))
		submit(t.Context(), s, 2)
		s.Withdraw(withdraw(2))
		resubmitted := submit(t.Context(), s, 2)
		s.Release(release(busy))
		must.NotNil(t, (<-resubmitted).GetGrant())
	})
}

// Guards against a late refusal after an idle period. An idle owner checks its queue only five
// times a second; a waiting ticket with a deadline must switch it back to TickInterval.
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

// Guards against tickets that are left waiting at a scheduler that has stopped: their entries would
// get no answer until their links close.
func TestStopRefusesWaitingTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSched()
		ctx, end := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- s.Serve(ctx) }()
		must.NotNil(t, s.Submit(t.Context(), ticket(1)).GetGrant())
		waiting := submit(t.Context(), s, 2)
		end()
		synctest.Wait()
		select {
		case d := <-waiting:
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
