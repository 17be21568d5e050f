package gate

import (
	"time"

	"azurelane/core/haul"
	"azurelane/core/rebal"
	"azurelane/core/wire"
)

// slowAskTime is how long the scheduler's answer to a request for a better upstream is waited for. It decides at
// once.
const slowAskTime = 300 * time.Millisecond

// newRebal returns what follows the pace of the request's run, or nil if that does not move off slow upstreams. It
// does not if the caller does not say how long its answer is.
func (q *request) newRebal() *rebal.Rebal {
	if !q.view.Index.Pool(q.pool).Rebalancing() || q.meta.Tokens() <= 0 {
		return nil
	}
	return &rebal.Rebal{}
}

// isSlow reports whether the upstream is too slow for the run and, where the run has a slot elsewhere, whether it
// still ends sooner there.
func (v *mover) isSlow(now time.Time, events int64) bool {
	if v.rebal == nil {
		return false
	}
	q := v.request
	v.rebal.Observe(now.Sub(v.begun), rebal.Run{Events: events, Ahead: q.eventsAhead(events), Left: q.remaining(), Gap: q.route.Gap, Moves: q.moves})
	if !v.rebal.Slow() {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.copy == nil || v.copy.ends.IsZero() || now.Add(v.rebal.End()).After(v.copy.ends)
}

// eventsAhead returns how many events of the expected answer are left after those of a send, at least one.
func (q *request) eventsAhead(events int64) int64 {
	per := q.eventTokens()
	return max((q.meta.Tokens()+per-1)/per-q.events-events, 1)
}

func (q *request) eventTokens() int64 { return max(q.view.Index.Pool(q.pool).EventTokens, 1) }

// wireMove describes the run to the scheduler.
func (v *mover) wireMove() *wire.Move {
	q, p, events := v.request, v.flight.placement, v.events.Load()
	return &wire.Move{
		From: p.upstream.GetId(), Ticket: p.ticket.GetId(), Tokens: q.eventsAhead(events) * q.eventTokens(),
		EndUs: v.rebal.End().Microseconds(), CostUs: q.gate.moveCost(q.pool, v.tokens()).Microseconds(),
	}
}

// tokens returns the tokens of the run's memory.
func (v *mover) tokens() int64 {
	q := v.request
	return q.meta.Prompt + (q.events+v.events.Load())*q.eventTokens()
}

// moveCost returns how long a move in a pool is expected to take.
func (g *Gate) moveCost(pool string, tokens int64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.haul(pool).Cost(tokens)
}

// learnCopy learns how long the first copy took. A repeated call copies only what is new.
func (v *mover) learnCopy(took time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.copy.made {
		return
	}
	v.copy.made = true
	v.request.gate.learnMove(v.request.pool, func(h *haul.Haul) { h.AddCopy(v.tokens(), took) })
}

// learnMove learns from a part of a move.
func (g *Gate) learnMove(pool string, learn func(*haul.Haul)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	learn(g.haul(pool))
}

// haul returns what is learned of the moves in a pool. g.mu must be held.
func (g *Gate) haul(pool string) *haul.Haul {
	if g.hauls == nil {
		g.hauls = map[string]*haul.Haul{}
	}
	if g.hauls[pool] == nil {
		g.hauls[pool] = &haul.Haul{}
	}
	return g.hauls[pool]
}
