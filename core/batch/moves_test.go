package batch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/conf"
	"azurelane/core/pool"
	"azurelane/core/rebal"
	"azurelane/core/refuse"
	"azurelane/core/wire"
)

const (
	moveTick  = 50 * time.Millisecond
	moveCopy  = 200 * time.Millisecond
	movePause = 150 * time.Millisecond
)

type (
	// moveReplay runs long streams on engines whose speeds change, each followed by what an entry knows of it.
	moveReplay struct {
		*harness
		rnd     *rand.Rand
		moving  bool // Streams may move.
		engines map[string]*uneven
		active  []*longRun
		all     []*longRun // Of the tick.
		ended   []*longRun
		refused float64
		atOnce  bool // Two moves at once left an engine or went to one.
	}

	// uneven is an engine that takes 2.5 times as long for 15 % of the time, in steps of 0.6 s, and at times 5
	// times as long for 6 s.
	uneven struct {
		token           time.Duration // Of its usual speed.
		busy            bool
		until, stuckFor time.Duration // Of the present step; of a slow spell.
	}

	longRun struct {
		rebal         rebal.Rebal
		at            *wire.Decision
		ticket        *wire.Ticket
		tokens, total float64
		begun, events time.Duration // Since when it is at its engine; when it goes on there.
		from          float64       // Tokens that it had then.
		ends          time.Duration // Its deadline.
		path          []string
		askedAt       time.Duration
		next          *wire.Decision // Where it moves to; nil if it does not.
		nextTicket    *wire.Ticket
		movesAt       time.Duration
	}
)

func (u *uneven) step(now time.Duration, r *rand.Rand) float64 {
	if now >= u.until {
		u.busy = r.Float64() < 0.15
		u.until = now + time.Duration(r.ExpFloat64()*float64(600*time.Millisecond))
	}
	f := 1.0
	if u.busy {
		f = 2.5
	}
	if now < u.stuckFor {
		f *= 5
	}
	return float64(moveTick) / (f * float64(u.token))
}

// playMoves replays 60 s.
func playMoves(seed uint64, rate float64, moving bool) *moveReplay {
	const ms = time.Millisecond
	var names []string
	r := &moveReplay{rnd: rand.New(rand.NewPCG(seed, 3)), moving: moving, engines: map[string]*uneven{}}
	for n := range 9 {
		names = append(names, fmt.Sprint("engine-", n))
		r.engines[names[n]] = &uneven{token: time.Duration([]float64{0.55, 1, 2.8}[n%3] * float64(14*ms))}
	}
	r.harness = newHarness(7, names...)
	p := pool.Pool{Slots: 7, EventTokens: 1, Scheduler: Name, Migrate: true, Moves: true, HandleTime: time.Second, Rebalance: moving}
	r.Configure(r.now, "engines", &conf.Config{Pools: map[string]pool.Pool{"engines": p}})
	start := r.now
	for now := time.Duration(0); now < time.Minute; now += moveTick {
		r.now = start.Add(now)
		if now%(4*time.Second) == 0 {
			r.engines[names[r.rnd.IntN(len(names))]].stuckFor = now + 6*time.Second
		}
		for due := rate * moveTick.Seconds(); due > r.rnd.Float64(); due-- {
			k := r.ticket("long", 0, 6700, 200+r.rnd.Int64N(370))
			k.ObjectiveUs, k.DeadlineUs = (800 * ms).Microseconds(), (12 * time.Second).Microseconds()
			r.begin(now, r.Submit(r.now, k))
		}
		r.begin(now, r.Tick(r.now))
		r.run(now)
	}
	return r
}

// begin begins the granted runs.
func (r *moveReplay) begin(now time.Duration, list []*wire.Decision) {
	for _, d := range list {
		if d.GetGrant() == nil {
			r.refused++
			continue
		}
		k := r.slots.Of("i", d.GetTicket()).Ticket
		prefill := time.Duration(6700/200) * r.engines[d.GetGrant().GetUpstream()].token
		r.active = append(r.active, &longRun{at: d, ticket: k, total: float64(k.GetAnswerTokens()), begun: now, events: now + prefill, ends: now + 12*time.Second, path: []string{d.GetGrant().GetUpstream()}})
	}
}

// run has all runs go on for a tick.
func (r *moveReplay) run(now time.Duration) {
	speeds := map[string]float64{}
	for n := range len(r.engines) {
		id := fmt.Sprint("engine-", n)
		speeds[id] = r.engines[id].step(now, r.rnd)
	}
	r.all, r.active = r.active, nil
	for _, one := range r.all {
		if now >= one.events {
			one.tokens = min(one.tokens+speeds[one.path[len(one.path)-1]], one.total)
		}
		if one.tokens == one.total || now >= one.ends {
			r.release(now, one, one.at, true)
			if one.next != nil {
				r.release(now, one, one.next, false)
				one.next = nil
			}
			r.ended = append(r.ended, one)
			continue
		}
		r.active = append(r.active, one)
		one.rebal.Observe(now-one.begun, rebal.Run{Events: int64(one.tokens - one.from), Ahead: int64(one.total - one.tokens), Left: one.ends - now, Moves: len(one.path) - 1})
		switch {
		case one.next != nil && now >= one.movesAt:
			r.move(now, one)
		case one.next == nil && r.moving && one.rebal.Slow() && now >= one.askedAt:
			r.ask(now, one)
		}
	}
}

// ask asks for a slot to move a run to.
func (r *moveReplay) ask(now time.Duration, one *longRun) {
	one.askedAt = now + 500*time.Millisecond
	k := r.ticket("long", 0, 6700, one.ticket.GetAnswerTokens())
	k.DeadlineUs, k.Avoid = (one.ends - now).Microseconds(), one.path
	k.Move = &wire.Move{From: one.path[len(one.path)-1], Ticket: one.at.GetTicket(), Tokens: int64(one.total - one.tokens), EndUs: one.rebal.End().Microseconds(), CostUs: (moveCopy + movePause).Microseconds()}
	if d := r.Submit(r.now, k)[0]; d.GetGrant() != nil {
		one.next, one.nextTicket, one.movesAt = d, k, now+moveCopy
		sources, destinations := map[string]bool{}, map[string]bool{}
		for _, other := range r.all {
			if other.next == nil {
				continue
			}
			from, to := other.at.GetGrant().GetUpstream(), other.next.GetGrant().GetUpstream()
			r.atOnce = r.atOnce || sources[from] || destinations[to]
			sources[from], destinations[to] = true, true
		}
	}
}

// move has a run go on where it moves to, unless it has recovered.
func (r *moveReplay) move(now time.Duration, one *longRun) {
	d := one.next
	one.next = nil
	if !one.rebal.Slow() {
		r.release(now, one, d, false)
		return
	}
	r.release(now, one, one.at, false)
	one.at, one.ticket, one.rebal, one.begun, one.events, one.from = d, one.nextTicket, rebal.Rebal{}, now, now+movePause, one.tokens
	one.path = append(one.path, d.GetGrant().GetUpstream())
}

// release gives a slot back. Only a run that has begun at its engine tells of that.
func (r *moveReplay) release(now time.Duration, one *longRun, d *wire.Decision, whole bool) {
	rel := &wire.Release{
		Ticket: d.GetTicket(), Incarnation: "i", Pool: "engines", Upstream: d.GetGrant().GetUpstream(), Slot: d.GetGrant().GetSlot(),
		Dispatched: d == one.at, Whole: whole && one.tokens == one.total, TotalUs: (now - one.begun).Microseconds(),
	}
	if d == one.at && len(one.path) == 1 && now > one.events {
		rel.FirstTokenUs, rel.Pieces = (one.events - one.begun).Microseconds(), int64(one.tokens)
	}
	r.begin(now, r.Release(r.now, rel))
}

// whole returns the share of requests that were answered whole, after it has checked the paths of the runs.
func (r *moveReplay) whole(t *testing.T, moves map[int]int) float64 {
	t.Helper()
	must.False(t, r.atOnce)
	whole := 0.0
	for _, one := range r.ended {
		if one.tokens == one.total {
			whole++
		}
		must.LessEq(t, 3, len(one.path))
		must.Len(t, len(one.path), slices.Compact(slices.Sorted(slices.Values(one.path))), must.Sprint("back and forth"))
		moves[len(one.path)-1]++
	}
	return whole / (float64(len(r.ended)) + r.refused)
}

// Guards against long streams that are cut off at their deadlines because their engine is slow while others have
// room, against moves that take room from requests in a full pool, against streams that move more than twice or
// back, and against two moves at once off or to an engine.
func TestMovesOffSlowEngines(t *testing.T) {
	t.Parallel()
	const seeds = 6
	for _, tc := range []struct {
		rate float64 // Requests per second.
		gain float64 // Least gain of answers, as a share of all.
	}{{5, 0.06}, {8, 0.03}, {14, -0.005}} {
		var share [2]float64
		moves := [2]map[int]int{{}, {}}
		for seed := range uint64(seeds) {
			for n, moving := range []bool{false, true} {
				share[n] += playMoves(seed, tc.rate, moving).whole(t, moves[n]) / seeds
			}
		}
		t.Logf("%.0f/s: whole %.3f without moves, %.3f with them; runs by number of moves %v", tc.rate, share[0], share[1], moves[1])
		must.Greater(t, share[0]+tc.gain, share[1])
		must.MapLen(t, 1, moves[0])
	}
}

// Engines of the harness of moves.
const source, other, better = "a", "b", "c"

func newMoveHarness() *harness {
	e := newHarness(4, source, other, better)
	on := true
	p := pool.Pool{Slots: 4, EventTokens: 9, CacheTokens: 100000, Scheduler: Name, Migrate: true, Moves: true, HandleTime: time.Second, Rebalance: true, TimedReturn: &on}
	e.Configure(e.now, "engines", &conf.Config{Pools: map[string]pool.Pool{"engines": p}})
	for id, d := range map[string]time.Duration{source: 50 * time.Millisecond, other: 50 * time.Millisecond, better: 10 * time.Millisecond} {
		e.engines[id].stats.tokenTime = d
	}
	return e
}

// Guards against runs that move and count as broken off, by which other runs of their size would get more slots,
// and that count as work once for each engine, by which the pool would seem faster than it is.
func TestMovedRunCountsOnce(t *testing.T) {
	for _, moves := range []bool{false, true} {
		e := newMoveHarness()
		k := e.ticket("long", 0, 1000, 400)
		k.Avoid = []string{other, better}
		first := e.Submit(e.now, k)[0]
		expected := e.meanEngine.slotTime(1000, 400).Seconds()
		m := e.ticket("long", 0, 1000, 400)
		m.Move = &wire.Move{From: source, Ticket: k.GetId(), Tokens: 270, EndUs: 13_500_000, CostUs: 100_000}
		var second *wire.Decision
		if moves {
			second = e.Submit(e.now, m)[0]
		}
		end := func(d *wire.Decision, total time.Duration) {
			e.Release(e.now, &wire.Release{Ticket: d.GetTicket(), Incarnation: "i", Pool: "engines", Upstream: d.GetGrant().GetUpstream(), Slot: d.GetGrant().GetSlot(), Dispatched: true, TotalUs: total.Microseconds()})
		}
		end(first, 4*time.Second)
		deficit := 0.0
		for _, d := range e.routes["long"].deficits {
			deficit += d
		}
		must.Eq(t, moves, deficit == 0)
		if moves {
			end(second, 2*time.Second)
			must.Eq(t, expected/6, e.outlook.expected/e.outlook.held)
		}
	}
}

// Guards against slots for moves that a waiting ticket wants, that gain nothing, at engines of which nothing is
// known, that are the source or the destination of another move, or that nobody asked for, and against a new
// scheduler that does not know of the moves in progress.
func TestGrantsOfMoves(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(e *harness, k *wire.Ticket)
		ok     bool
	}{
		{"better engine", func(*harness, *wire.Ticket) {}, true},
		{"off", func(e *harness, _ *wire.Ticket) { e.pool.Rebalance = false }, false},
		{"no gain", func(_ *harness, k *wire.Ticket) { k.Move.EndUs = 3_000_000 }, false},
		{"not in time there", func(_ *harness, k *wire.Ticket) { k.DeadlineUs = 2_500_000 }, false},
		{"pauses there", func(_ *harness, k *wire.Ticket) { k.GapUs = 80_000 }, false},
		{"avoided", func(_ *harness, k *wire.Ticket) { k.Avoid = []string{better} }, false},
		{"speed not known", func(e *harness, _ *wire.Ticket) { e.engines[better].stats.tokenTime = 0 }, false},
		{"leaves", func(e *harness, _ *wire.Ticket) { e.announce(better, 4, true) }, false},
		{"a ticket waits for the slot", func(e *harness, _ *wire.Ticket) { e.wait(other, 300*time.Millisecond) }, false},
		{"one waits that can't be in time", func(e *harness, _ *wire.Ticket) { e.wait(other, time.Millisecond) }, true},
		{"one waits for another engine", func(e *harness, _ *wire.Ticket) { e.wait(better, 300*time.Millisecond) }, true},
		{"another run leaves the source", func(e *harness, _ *wire.Ticket) { e.move(source, other, true) }, false},
		{"another run goes to the engine", func(e *harness, _ *wire.Ticket) { e.move(other, better, true) }, false},
		{"another run has left the source", func(e *harness, _ *wire.Ticket) { e.move(source, other, false) }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newMoveHarness()
			k := e.ticket("long", 0, 1000, 400)
			k.ObjectiveUs = 0
			k.Move = &wire.Move{From: source, Ticket: 1, Tokens: 270, EndUs: 13_500_000, CostUs: 100_000}
			tc.change(e, k)
			before := len(e.waiting)
			d := e.Submit(e.now, k)[0]
			must.Len(t, before, e.waiting)
			must.Eq(t, tc.ok, d.GetGrant() != nil)
			if tc.ok {
				must.Eq(t, better, d.GetGrant().GetUpstream())
				must.Eq(t, 2_800_000, d.GetGrant().GetEndUs())
				return
			}
			must.Eq(t, refuse.Overloaded, d.GetRefusal().GetCode())
		})
	}
}

// wait has a ticket wait that avoids an engine.
func (e *harness) wait(avoid string, objective time.Duration) {
	k := e.ticket("short", 0, 100, 100)
	k.Avoid, k.ObjectiveUs = []string{avoid}, objective.Microseconds()
	e.waiting = append(e.waiting, newItem(e.now.Sub(e.started), k, &routeStats{}, &e.meanEngine, 0, false))
}

// move has an entry report the slots of a move, of which the one at the source may have been given back.
func (e *harness) move(from, to string, inProgress bool) {
	source, k := e.ticket("long", 0, 1000, 400), e.ticket("long", 0, 1000, 400)
	k.Move = &wire.Move{From: from, Ticket: source.GetId()}
	list := []*wire.HeldSlot{{Ticket: k, Grant: &wire.Grant{Upstream: to, Slot: 2, Owner: "former"}}}
	if inProgress {
		list = append(list, &wire.HeldSlot{Ticket: source, Grant: &wire.Grant{Upstream: from, Slot: 1, Owner: "former"}})
	}
	e.Hold(e.now, &wire.Held{Incarnation: "i", Slots: list})
}
