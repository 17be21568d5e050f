// Package grant gets slots from the owner of a pool and gives them back.
package grant

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"azurelane/core/grants"
	"azurelane/core/refuse"
	"azurelane/core/wire"
)

const (
	// maxSends bounds how often one ticket is sent. With the pauses between
	// them it spans the time until a dead owner is replaced; what is still not
	// answered then is refused, so that a takeover costs at most so many sends
	// a waiting ticket and no storm.
	maxSends  = 20
	sendLimit = time.Second     // For a frame that needs no answer.
	heldEvery = 2 * time.Second // Between two lists of held slots.
	// fullEvery is how many of these lists pass between two that describe the
	// slots. An owner that had one knows them by their tickets; it forgets them
	// only when it took this entry for dead, and that is mended by the next one.
	fullEvery = 10
	// relayAfter is the number of sends to one owner that broke before another
	// member is asked to pass the ticket on.
	relayAfter = 3
)

// withdrawn is the code of a ticket that its entry has given up.
const withdrawn = "withdrawn"

var errMoved = errors.New("grant: the pool has moved")

// ErrNoOwner is returned at once while no owner of the pool is known, where
// Members may return none. The caller then places the request by itself.
var ErrNoOwner = errors.New("grant: no owner is known")

type (
	// Grant asks the owner of a pool, in this process or another. Its exported
	// fields are set before use.
	Grant struct {
		Self        string // Node name.
		Incarnation string
		Local       local
		Members     members
		Mesh        caller
		Abroad      func(pool string) []netip.AddrPort // Entries elsewhere to ask when no upstream is here; nil for none.
		Log         logr.Logger

		mu    sync.Mutex
		waits map[*wait]struct{}
		held  grants.Set
		told  map[string]string // Owner's incarnation that had the list of a pool last.
		lists int               // Periodic lists so far.
		fars  map[netip.AddrPort]*far
		where map[uint64]*far // By ticket.

		stopped bool
		wg      sync.WaitGroup
	}

	// wait is one call that waits for an owner's decision.
	wait struct {
		pool   string
		owner  string // Incarnation.
		cancel context.CancelCauseFunc
	}

	local interface {
		Submit(ctx context.Context, t *wire.Ticket) (*wire.Decision, error)
		Release(r *wire.Release)
		Hold(h *wire.Held)
	}

	members interface {
		Owner(pool string) *wire.Member // Nil while none is known.
		Alive() []*wire.Member
	}

	caller interface {
		Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error)
		Send(ctx context.Context, to netip.AddrPort, f *wire.Frame) error
	}
)

// Grant waits for a slot. The error is a *refuse.Error when the owner said no,
// or the context's error when the caller went away.
func (g *Grant) Grant(ctx context.Context, t *wire.Ticket) (*wire.Grant, error) {
	start := time.Now()
	r, err := g.home(ctx, t, start)
	if g.Abroad != nil && !t.GetAbroad() && noUpstream(err) {
		return g.abroad(ctx, t, start, err)
	}
	return r, err
}

// home asks in this data centre.
func (g *Grant) home(ctx context.Context, t *wire.Ticket, start time.Time) (*wire.Grant, error) {
	broken := map[string]int{} // Sends to an owner, by incarnation, whose link broke.
	for n := range maxSends {
		if err := pause(ctx, n); err != nil {
			return nil, err
		}
		now := aged(t, time.Since(start))
		if now == nil {
			return nil, refuse.New(refuse.Deadline, "no scheduler answered in time", time.Second)
		}
		d, err := g.ask(ctx, now, broken)
		if errors.Is(err, ErrNoOwner) {
			return nil, err
		}
		if err == nil && d.GetRefusal().GetCode() == withdrawn {
			err = errMoved // Of a former send: the pool has come back to that owner since.
		}
		if err == nil {
			return g.decided(now, d)
		}
		if ctx.Err() != nil {
			return nil, fmt.Errorf("grant: %w", ctx.Err())
		}
		g.Log.V(1).Info("Owner did not answer.", "pool", t.GetPool(), "err", err.Error())
	}
	return nil, refuse.New(refuse.NoUpstream, "no scheduler of the pool answered", time.Second)
}

// aged returns the ticket as it stands after some time: the deadline is that
// much nearer and the wait that much longer. Both count from the first send, so
// a ticket sent five times loses no time twice. It returns nil when the deadline
// has passed. It is a copy, because the owner of a former send may be this
// process and still hold the former one.
func aged(t *wire.Ticket, passed time.Duration) *wire.Ticket {
	c := proto.CloneOf(t)
	c.WaitedUs += passed.Microseconds()
	if t.GetObjectiveUs() != 0 {
		c.ObjectiveUs -= passed.Microseconds()
	}
	if t.GetDeadlineUs() == 0 {
		return c
	}
	c.DeadlineUs -= passed.Microseconds()
	if c.GetDeadlineUs() <= 0 {
		return nil
	}
	return c
}

// ask sends the ticket to the owner of now, once. It gives up when the pool
// moves: a decision of the former owner that arrives later goes to a call that
// no longer exists, so its grant can't be used.
func (g *Grant) ask(ctx context.Context, t *wire.Ticket, broken map[string]int) (*wire.Decision, error) {
	m := g.Members.Owner(t.GetPool())
	if m == nil {
		return nil, ErrNoOwner
	}
	cctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := &wait{t.GetPool(), m.GetIncarnation(), cancel}
	g.enter(w)
	defer g.leave(w)
	if now := g.Members.Owner(t.GetPool()); now == nil || now.GetIncarnation() != m.GetIncarnation() {
		return nil, errMoved
	}
	if m.GetNode() == g.Self {
		return g.Local.Submit(cctx, t)
	}
	f := &wire.Frame{Body: &wire.Frame_Ticket{Ticket: t}}
	relayed := broken[m.GetIncarnation()] >= relayAfter
	r, err := g.call(cctx, m, f, relayed)
	if err == nil {
		return r.GetDecision(), nil
	}
	if cctx.Err() != nil {
		// The owner may grant in this moment: the withdrawal frees that slot too.
		g.withdraw(ctx, m, t, relayed)
		return nil, context.Cause(cctx)
	}
	if fault := (*wire.Fault)(nil); !errors.As(err, &fault) {
		broken[m.GetIncarnation()]++
	}
	return nil, err
}

// call sends to a member itself, or through another one when its own link to
// it keeps breaking. In an asymmetric cut the owner is alive for all others and
// stays the owner, so without the detour this entry could use none of its pools.
func (g *Grant) call(ctx context.Context, m *wire.Member, f *wire.Frame, relayed bool) (*wire.Frame, error) {
	to, f, err := g.way(m, f, relayed)
	if err != nil {
		return nil, err
	}
	return g.Mesh.Call(ctx, to, f)
}

func (g *Grant) way(m *wire.Member, f *wire.Frame, relayed bool) (netip.AddrPort, *wire.Frame, error) {
	via := m
	if relayed {
		for _, o := range g.Members.Alive() {
			if o.GetNode() != g.Self && o.GetNode() != m.GetNode() {
				via = o
				f = &wire.Frame{Body: &wire.Frame_Relay{Relay: &wire.Relay{To: m.GetAddress(), Frame: f}}}
				break
			}
		}
	}
	to, err := netip.ParseAddrPort(via.GetAddress())
	if err != nil {
		return to, nil, fmt.Errorf("grant: address of owner: %w", err)
	}
	return to, f, nil
}

func (g *Grant) withdraw(ctx context.Context, m *wire.Member, t *wire.Ticket, relayed bool) {
	f := &wire.Frame{Body: &wire.Frame_Withdraw{Withdraw: &wire.Withdraw{
		Ticket: t.GetId(), Entry: t.GetEntry(), Incarnation: t.GetIncarnation(), Pool: t.GetPool(),
	}}}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendLimit)
	defer cancel()
	to, f, err := g.way(m, f, relayed)
	if err == nil {
		err = g.Mesh.Send(ctx, to, f)
	}
	if err != nil {
		g.Log.V(1).Info("Withdrawal not sent.", "pool", t.GetPool(), "err", err.Error())
	}
}

// Release gives a slot back to the pool's owner of now. An owner that did not
// grant it ignores a slot that it does not know. A release that is lost is
// covered by the next list of held slots.
func (g *Grant) Release(r *wire.Release) {
	if g.releaseFar(r) {
		return
	}
	g.mu.Lock()
	g.held.Remove(time.Now(), r.GetPool(), r.GetTicket())
	g.mu.Unlock()
	m := g.Members.Owner(r.GetPool())
	if m == nil {
		return // The next owner gets the list of what is still held.
	}
	if m.GetNode() == g.Self {
		g.Local.Release(r)
		return
	}
	g.send(m, &wire.Frame{Body: &wire.Frame_Release{Release: r}})
}

func (g *Grant) send(m *wire.Member, f *wire.Frame) {
	ctx, cancel := context.WithTimeout(context.Background(), sendLimit)
	defer cancel()
	to, err := netip.ParseAddrPort(m.GetAddress())
	if err == nil {
		err = g.Mesh.Send(ctx, to, f)
	}
	if err != nil {
		g.Log.V(1).Info("Not sent to the owner.", "owner", m.GetNode(), "err", err.Error())
	}
}

func (g *Grant) decided(t *wire.Ticket, d *wire.Decision) (*wire.Grant, error) {
	if r := d.GetRefusal(); r != nil {
		return nil, refusal(r)
	}
	if d.GetGrant() != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.held.Add(time.Now(), t, d.GetGrant())
	}
	return d.GetGrant(), nil
}

func refusal(r *wire.Refusal) *refuse.Error {
	return refuse.New(r.GetCode(), "", time.Duration(r.GetRetryAfterUs())*time.Microsecond)
}

func (g *Grant) enter(w *wait) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waits == nil {
		g.waits = map[*wait]struct{}{}
	}
	g.waits[w] = struct{}{}
}

func (g *Grant) leave(w *wait) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waits, w)
}
