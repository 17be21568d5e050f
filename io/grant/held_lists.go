package grant

import (
	"context"
	"math/rand/v2"
	"time"

	"azurelane/core/grants"
	"azurelane/core/wire"
)

// Bounds of the exponential backoff before a ticket is sent again.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Serve periodically sends the lists of held slots to the owners until ctx ends.
func (g *Client) Serve(ctx context.Context) error {
	g.mu.Lock()
	g.stopped = false
	g.mu.Unlock()
	defer g.stop()
	tick := time.NewTicker(heldListInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		g.sendHeldLists(false)
		g.sendRemoteHeldLists()
	}
}

// OwnersChanged must be called when the owner of a pool may have changed. It sends the lists of
// held slots to new owners, then cancels the calls that wait for a previous owner, so that their
// tickets are sent to the new one.
func (g *Client) OwnersChanged() {
	g.sendHeldLists(true)
	g.mu.Lock()
	defer g.mu.Unlock()
	for w := range g.pending {
		if g.Members.Owner(w.pool).GetIncarnation() != w.owner {
			w.cancel(errOwnerChanged)
		}
	}
}

// sendHeldLists sends the lists of held slots: a full list of all slots to a new owner, and to the
// other owners only the slots that have been held for some time.
func (g *Client) sendHeldLists(newOwnersOnly bool) {
	type list struct {
		owner    *wire.Member
		pools    []string
		newOwner bool
	}
	now := time.Now()
	lists := map[string]*list{}
	g.mu.Lock()
	defer g.mu.Unlock()
	full := g.listRounds%fullListEvery == 0
	if !newOwnersOnly {
		g.listRounds++
	}
	previous := g.lastListOwner
	g.lastListOwner = map[string]string{}
	for _, p := range g.held.Pools(now) {
		m := g.Members.Owner(p)
		if m == nil {
			continue
		}
		l := lists[m.GetIncarnation()]
		if l == nil {
			l = &list{owner: m}
			lists[m.GetIncarnation()] = l
		}
		l.pools = append(l.pools, p)
		l.newOwner = l.newOwner || previous[p] != m.GetIncarnation()
		g.lastListOwner[p] = m.GetIncarnation()
	}
	for _, l := range lists {
		if newOwnersOnly && !l.newOwner {
			continue
		}
		age := grants.MinListAge
		if l.newOwner {
			age = 0
		}
		h := &wire.Held{Entry: g.Self, Incarnation: g.Incarnation}
		if l.newOwner || full {
			h.Slots = g.held.List(now, l.pools, age)
		} else {
			h.Tickets = g.held.Tickets(now, l.pools, age)
		}
		if l.owner.GetNode() == g.Self {
			g.spawn(func() { g.Local.Hold(h) })
			continue
		}
		g.spawn(func() { g.sendToOwner(l.owner, &wire.Frame{Body: &wire.Frame_Held{Held: h}}) })
	}
}

// backoff waits before send number n. Send 0 does not wait; for the others the time doubles up to
// maxBackoff and is randomized, so that the tickets of a lost owner don't reach the next one all at
// once.
func backoff(ctx context.Context, n int) error {
	if n == 0 {
		return ctx.Err()
	}
	d := min(minBackoff<<min(n-1, 10), maxBackoff)
	t := time.NewTimer(d/2 + rand.N(d)) //nolint:gosec // Jitter; not security-sensitive.
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// spawn starts a goroutine unless Serve has ended. The caller must hold g.mu. A goroutine started
// while stop waits would be a misuse of the wait group, which panics.
func (g *Client) spawn(f func()) {
	if !g.stopped {
		g.wg.Go(f)
	}
}

func (g *Client) stop() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.wg.Wait()
}
