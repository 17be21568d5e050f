// Package grant requests upstream slots from the owner of a pool and releases them.
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
	// maxSends is how often one ticket is sent before it is refused. With the backoff between the
	// sends it covers the time until a dead owner is replaced. The limit prevents a retry storm
	// during a takeover.
	maxSends         = 20
	sendTimeout      = time.Second     // Limit for a one-way frame.
	heldListInterval = 2 * time.Second // Between two periodic lists of held slots.
	// fullListEvery is the number of periodic lists per full list, which describes the slots; the
	// other lists contain ticket numbers only. An owner that has received a full list knows the
	// slots by their tickets. It forgets them only when it falsely declares this entry dead, and
	// the next full list repairs this.
	fullListEvery = 10
	// relayThreshold is the number of sends to one owner that fail with a broken link before the
	// ticket is relayed through another member.
	relayThreshold = 3
)

// withdrawn is the refusal code of a ticket that its entry has withdrawn.
const withdrawn = "withdrawn"

var errOwnerChanged = errors.New("grant: owner of the pool has changed")

// ErrNoOwner is returned without a wait while the owner of the pool is unknown. The caller then
// selects an upstream without a scheduler.
var ErrNoOwner = errors.New("grant: no owner is known")

type (
	// Client requests slots from the owner of a pool, in this process or another. Its exported
	// fields must be set before use.
	Client struct {
		Self        string // Node name of this process.
		Incarnation string
		Local       scheduler // Of this process, for the pools that it owns.
		Members     membership
		Mesh        transport
		// RemoteEntries returns the entries of other data centres to ask, in order, when the pool
		// has no upstream in this one. Nil if there are none.
		RemoteEntries func(pool string) []netip.AddrPort
		Log           logr.Logger

		mu             sync.Mutex
		pending        map[*pendingCall]struct{}
		held           grants.Set
		lastListOwner  map[string]string // Incarnation that received the last list of a pool.
		listRounds     int               // Periodic lists sent so far.
		remotes        map[netip.AddrPort]*remoteSlots
		remoteByTicket map[uint64]*remoteSlots // By ticket number.

		stopped bool
		wg      sync.WaitGroup
	}

	// pendingCall is a call that waits for the decision of an owner.
	pendingCall struct {
		pool   string
		owner  string // Incarnation.
		cancel context.CancelCauseFunc
	}

	scheduler interface {
		Submit(ctx context.Context, t *wire.Ticket) (*wire.Decision, error)
		Release(r *wire.Release)
		Hold(h *wire.Held)
	}

	membership interface {
		Owner(pool string) *wire.Member // Nil while none is known.
		Alive() []*wire.Member
	}

	transport interface {
		Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error)
		Send(ctx context.Context, to netip.AddrPort, f *wire.Frame) error
	}
)

// Grant waits for a slot. The error is a *refuse.Error if the ticket was refused, ErrNoOwner, or
// the context's error if the caller has disconnected.
func (g *Client) Grant(ctx context.Context, t *wire.Ticket) (*wire.Grant, error) {
	start := time.Now()
	r, err := g.grantInDataCentre(ctx, t, start)
	if g.RemoteEntries != nil && !t.GetAbroad() && isNoUpstream(err) {
		return g.grantRemote(ctx, t, start, err)
	}
	return r, err
}

// grantInDataCentre requests a slot from the pool's owner in this data centre.
func (g *Client) grantInDataCentre(ctx context.Context, t *wire.Ticket, start time.Time) (*wire.Grant, error) {
	linkFailures := map[string]int{} // Failed sends with a broken link, by owner's incarnation.
	for n := range maxSends {
		if err := backoff(ctx, n); err != nil {
			return nil, err
		}
		current := withElapsed(t, time.Since(start))
		if current == nil {
			return nil, refuse.New(refuse.Deadline, "no scheduler answered in time", time.Second)
		}
		d, err := g.askOwner(ctx, current, linkFailures)
		if errors.Is(err, ErrNoOwner) {
			return nil, err
		}
		if err == nil && d.GetRefusal().GetCode() == withdrawn {
			err = errOwnerChanged // Refusal of an earlier send; the pool has returned to that owner since.
		}
		if err == nil {
			return g.handleDecision(current, d)
		}
		if ctx.Err() != nil {
			return nil, fmt.Errorf("grant: %w", ctx.Err())
		}
		g.Log.V(1).Info("Pool owner did not decide on the ticket.", "pool", t.GetPool(), "err", err.Error())
	}
	return nil, refuse.New(refuse.NoUpstream, "no scheduler of the pool answered", time.Second)
}

// withElapsed returns a copy of the ticket with its times moved on by the elapsed time: less time
// to the deadline and the objective, more time waited. It returns nil if the deadline has passed.
// The elapsed time counts from the first send, so that time is counted once however often the
// ticket is sent. It copies the ticket because the owner of an earlier send may be in this process
// and still use it.
func withElapsed(t *wire.Ticket, elapsed time.Duration) *wire.Ticket {
	c := proto.CloneOf(t)
	c.WaitedUs += elapsed.Microseconds()
	if t.GetObjectiveUs() != 0 {
		c.ObjectiveUs -= elapsed.Microseconds()
	}
	if t.GetDeadlineUs() == 0 {
		return c
	}
	c.DeadlineUs -= elapsed.Microseconds()
	if c.GetDeadlineUs() <= 0 {
		return nil
	}
	return c
}

// askOwner sends the ticket once to the pool's current owner and waits for the decision. It gives
// up when the pool's owner changes. A late decision of the previous owner then finds no call, so
// its grant is not used.
func (g *Client) askOwner(ctx context.Context, t *wire.Ticket, linkFailures map[string]int) (*wire.Decision, error) {
	m := g.Members.Owner(t.GetPool())
	if m == nil {
		return nil, ErrNoOwner
	}
	cctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := &pendingCall{t.GetPool(), m.GetIncarnation(), cancel}
	g.addCall(w)
	defer g.removeCall(w)
	if current := g.Members.Owner(t.GetPool()); current == nil || current.GetIncarnation() != m.GetIncarnation() {
		return nil, errOwnerChanged
	}
	if m.GetNode() == g.Self {
		return g.Local.Submit(cctx, t)
	}
	f := &wire.Frame{Body: &wire.Frame_Ticket{Ticket: t}}
	relayed := linkFailures[m.GetIncarnation()] >= relayThreshold
	r, err := g.callMember(cctx, m, f, relayed)
	if err == nil {
		return r.GetDecision(), nil
	}
	if cctx.Err() != nil {
		// The owner may grant the ticket concurrently; the withdrawal then frees the slot.
		g.withdraw(ctx, m, t, relayed)
		return nil, context.Cause(cctx)
	}
	if fault := (*wire.Fault)(nil); !errors.As(err, &fault) {
		linkFailures[m.GetIncarnation()]++
	}
	return nil, err
}

// callMember calls a member directly or, if relayed, through another member. In an asymmetric
// network partition the other members still reach the owner, so it stays the owner; without a relay
// this entry could not use the owner's pools.
func (g *Client) callMember(ctx context.Context, m *wire.Member, f *wire.Frame, relayed bool) (*wire.Frame, error) {
	to, f, err := g.route(m, f, relayed)
	if err != nil {
		return nil, err
	}
	return g.Mesh.Call(ctx, to, f)
}

// route returns the address and the frame to send to reach a member directly or through a relay.
func (g *Client) route(m *wire.Member, f *wire.Frame, relayed bool) (netip.AddrPort, *wire.Frame, error) {
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

func (g *Client) withdraw(ctx context.Context, m *wire.Member, t *wire.Ticket, relayed bool) {
	f := &wire.Frame{Body: &wire.Frame_Withdraw{Withdraw: &wire.Withdraw{
		Ticket: t.GetId(), Entry: t.GetEntry(), Incarnation: t.GetIncarnation(), Pool: t.GetPool(),
	}}}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
	defer cancel()
	to, f, err := g.route(m, f, relayed)
	if err == nil {
		err = g.Mesh.Send(ctx, to, f)
	}
	if err != nil {
		g.Log.V(1).Info("Withdrawal not sent.", "pool", t.GetPool(), "err", err.Error())
	}
}

// Release returns a slot to the pool's current owner. An owner ignores the release of a slot that
// it does not know. If a release is lost, the next list of held slots frees the slot.
func (g *Client) Release(r *wire.Release) {
	if g.releaseRemote(r) {
		return
	}
	g.mu.Lock()
	g.held.Remove(time.Now(), r.GetPool(), r.GetTicket())
	g.mu.Unlock()
	m := g.Members.Owner(r.GetPool())
	if m == nil {
		return // The next owner receives a list without this slot.
	}
	if m.GetNode() == g.Self {
		g.Local.Release(r)
		return
	}
	g.sendToOwner(m, &wire.Frame{Body: &wire.Frame_Release{Release: r}})
}

func (g *Client) sendToOwner(m *wire.Member, f *wire.Frame) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	to, err := netip.ParseAddrPort(m.GetAddress())
	if err == nil {
		err = g.Mesh.Send(ctx, to, f)
	}
	if err != nil {
		g.Log.V(1).Info("Frame not sent to the pool owner.", "owner", m.GetNode(), "err", err.Error())
	}
}

// handleDecision records a granted slot as held, or returns the refusal as an error.
func (g *Client) handleDecision(t *wire.Ticket, d *wire.Decision) (*wire.Grant, error) {
	if r := d.GetRefusal(); r != nil {
		return nil, refusalError(r)
	}
	if d.GetGrant() != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.held.Add(time.Now(), t, d.GetGrant())
	}
	return d.GetGrant(), nil
}

func refusalError(r *wire.Refusal) *refuse.Error {
	return refuse.New(r.GetCode(), "", time.Duration(r.GetRetryAfterUs())*time.Microsecond)
}

func (g *Client) addCall(w *pendingCall) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pending == nil {
		g.pending = map[*pendingCall]struct{}{}
	}
	g.pending[w] = struct{}{}
}

func (g *Client) removeCall(w *pendingCall) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pending, w)
}
