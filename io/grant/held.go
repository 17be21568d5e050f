package grant

import (
	"context"
	"math/rand/v2"
	"time"

	"azurelane/core/grants"
	"azurelane/core/wire"
)

// Pauses before a ticket is sent again: they double from the first to the most.
const (
	firstPause = 20 * time.Millisecond
	mostPause  = 500 * time.Millisecond
)

// Serve sends the owners the lists of held slots until ctx ends.
func (g *Grant) Serve(ctx context.Context) error {
	g.mu.Lock()
	g.stopped = false
	g.mu.Unlock()
	defer g.stop()
	tick := time.NewTicker(heldEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		g.tell(false)
		g.tellFar()
	}
}

// Changed lets go of the calls whose owner is no longer the pool's, so that
// they ask the new one, and gives new owners the lists of held slots first.
func (g *Grant) Changed() {
	g.tell(true)
	g.mu.Lock()
	defer g.mu.Unlock()
	for w := range g.waits {
		if g.Members.Owner(w.pool).GetIncarnation() != w.owner {
			w.cancel(errMoved)
		}
	}
}

// tell sends the lists: all slots to an owner that is new, to the others those
// that are older than held.Settled.
func (g *Grant) tell(onlyNew bool) {
	type list struct {
		owner *wire.Member
		pools []string
		fresh bool
	}
	now := time.Now()
	lists := map[string]*list{}
	g.mu.Lock()
	defer g.mu.Unlock()
	full := g.lists%fullEvery == 0
	if !onlyNew {
		g.lists++
	}
	was := g.told
	g.told = map[string]string{}
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
		l.fresh = l.fresh || was[p] != m.GetIncarnation()
		g.told[p] = m.GetIncarnation()
	}
	for _, l := range lists {
		if onlyNew && !l.fresh {
			continue
		}
		age := grants.MinListAge
		if l.fresh {
			age = 0
		}
		h := &wire.Held{Entry: g.Self, Incarnation: g.Incarnation}
		if l.fresh || full {
			h.Slots = g.held.List(now, l.pools, age)
		} else {
			h.Tickets = g.held.Tickets(now, l.pools, age)
		}
		if l.owner.GetNode() == g.Self {
			g.spawn(func() { g.Local.Hold(h) })
			continue
		}
		g.spawn(func() { g.send(l.owner, &wire.Frame{Body: &wire.Frame_Held{Held: h}}) })
	}
}

// pause waits before send number n. The waits double and are random, so that
// the tickets of a lost owner don't all reach the next one in the same moment;
// the first send waits for nothing.
func pause(ctx context.Context, n int) error {
	if n == 0 {
		return ctx.Err()
	}
	d := min(firstPause<<min(n-1, 10), mostPause)
	t := time.NewTimer(d/2 + rand.N(d)) //nolint:gosec // Spreads load, no secret.
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// spawn begins a goroutine, unless Serve has ended; the lock is held. One begun
// during the wait for the others would be a misuse of the wait group, which
// panics.
func (g *Grant) spawn(f func()) {
	if !g.stopped {
		g.wg.Go(f)
	}
}

func (g *Grant) stop() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.wg.Wait()
}
