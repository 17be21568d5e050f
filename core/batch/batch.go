// Package batch is the scheduling policy for model engines that use continuous batching and admit
// requests in the order of arrival. It keeps each engine's batch full and the engine's own queue
// almost empty. A free slot goes to the waiting request with the highest value per second of slot
// time.
//
// An engine prefills (reads) the prompt of a request before it decodes (generates) the answer. A
// decode step is the time in which an engine generates one answer token. Prefill times are
// expressed in decode steps, so that runs on engines of different speeds can be compared.
//
// A streamed answer arrives as events. Each event carries the number of tokens that the pool's
// setting EventTokens names. A release reports the number of events as its pieces.
//
// An entry is a process that accepts callers' requests and submits a ticket for each of them. An
// incarnation identifies one run of a process, from its start to its end.
package batch

import (
	"slices"
	"time"

	"azurelane/core/conf"
	"azurelane/core/elig"
	"azurelane/core/kernel"
	"azurelane/core/leases"
	"azurelane/core/pace"
	"azurelane/core/pool"
	"azurelane/core/refuse"
	"azurelane/core/slot"
	"azurelane/core/slots"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

// Name is the policy's name in the configuration.
const Name = pool.BatchScheduler

func init() { kernel.Register(Name, false, func() kernel.Scheduler { return &Batch{} }) }

const (
	// engineQueueLimit is the number of requests that an engine may hold beyond its batch. A
	// request that is already there when a slot becomes free saves the round trip to the
	// scheduler; any more would only wait behind it. Only requests of the top priority may wait
	// there; see topPriority.
	engineQueueLimit = 1
	// maxCacheUse is the share of an engine's KV cache that may be promised to requests.
	maxCacheUse = 0.95
	// startGrace is the time for which a scheduler that has just taken over a pool waits for the
	// announcements of its upstreams before it refuses requests. The policy does not use it.
	startGrace    = 1500 * time.Millisecond
	forgetAfter   = time.Minute            // From the end of an upstream's lease.
	sweepInterval = 200 * time.Millisecond // Interval between checks of all slots and upstreams.
	// runGrace is the time beyond the pool's longest run after which a slot is freed even if no
	// release has arrived.
	runGrace = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry time in a refusal before retryAfter spreads
	// it by up to half as much again. Shortages last for seconds: callers that retry within a
	// second meet the same shortage and are refused again. After more than three seconds most
	// callers have no time left.
	minRetryAfter = 2200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Batch is the state of the policy for one pool.
type Batch struct {
	name         string
	pool         pool.Pool
	table        leases.Table
	slots        slots.Slots
	waiting      []*item
	waitingByKey map[ticketKey]*item // The elements of waiting.
	routes       map[string]*routeStats
	engines      map[string]*engine // By upstream name.
	engineList   []*engine          // In table order.
	room         roomIndex
	slotCount    int64         // Sum of the announced limits, as of the last sweep.
	offers       []offer       // Engines with room, for the decision in progress.
	gapLimit     time.Duration // Shortest of the routes' gapLimits; zero for no limit.
	meanEngine   engineStats   // Stands for any engine while none is chosen.
	started      time.Time
	sweptAt      time.Time
	elig         elig.Elig
	topPriority  topPriority
	costs        costModel
	pace         pace.Pace
	bestCase     bestCase
	// Engines are of onlyVersion unless mixedVersions is set, which is so during a rollout.
	versionCounts map[string]int // Number of engines by version.
	onlyVersion   string
	mixedVersions bool
	versionCases  []versionCase
	shed          shedder
	shares        shares
	holdUps       holdUps
	outlook       outlook
	late          lateService
	returns       returns
}

// ticketKey identifies a ticket: its ID is unique within the incarnation of its entry.
type ticketKey struct {
	incarnation string
	id          uint64
}

// Configure installs the pool's limits.
func (b *Batch) Configure(now time.Time, name string, cfg *conf.Config) []*wire.Decision {
	b.name, b.pool = name, cfg.Pools[name].WithDefaults()
	if b.started.IsZero() {
		b.started, b.routes, b.engines, b.waitingByKey = now, map[string]*routeStats{}, map[string]*engine{}, map[ticketKey]*item{}
		b.slots.Changed = func(u *upstr.Upstream) { b.updateRoom(b.engine(u)) }
		b.updateMeanEngine()
	}
	late, _, timed := b.pool.Overload()
	b.outlook.on = late || timed
	b.late.configure(late, cfg)
	b.configurePace()
	b.configureShares(cfg)
	return nil
}

// Announce records an upstream's lease and grants the waiting tickets that now fit.
func (b *Batch) Announce(now time.Time, a *wire.Announce) []*wire.Decision {
	if u := b.table.GetOrAdd(a.GetUpstream()); u.GetIncarnation() != "" && u.GetIncarnation() != a.GetIncarnation() {
		b.slots.FreeUpstream(now, u) // The runs of the previous process ended with it.
		b.engine(u).stats = b.newEngineStats()
		b.pace.Forget(u.GetUpstream())
	}
	u := b.table.GetOrAdd(a.GetUpstream())
	before := u.Version
	b.table.Update(now, a)
	if u.Version != before || b.versionCounts == nil {
		b.countVersion(before, u.Version)
	}
	b.updateRoom(b.engine(u))
	return b.assign(now)
}

// Submit queues a ticket and returns the grants that are possible now. A ticket that is submitted
// again replaces the earlier one.
func (b *Batch) Submit(now time.Time, t *wire.Ticket) []*wire.Decision {
	b.remove(t.GetIncarnation(), t.GetId())
	b.slots.Cancel(now, t.GetIncarnation(), t.GetId())
	if t.GetMove() != nil {
		return []*wire.Decision{b.decideMove(now, t)}
	}
	route := b.routes[t.GetRoute()]
	if route == nil {
		route = &routeStats{}
		b.routes[t.GetRoute()] = route
	}
	b.topPriority.observe(now, t.GetPriority())
	i := newItem(now.Sub(b.started), t, route, &b.meanEngine, b.holdUps.of(t.GetEntry()), t.GetBound() && t.GetGoesOn() && b.mixedVersions)
	i.work = b.slotTime(i)
	i.lateWorth = b.late.worthOf(t.GetRoute())
	b.late.admit(now.Sub(b.started), i, &b.meanEngine)
	i.part = b.partOf(t.GetAccount(), i.priority)
	b.waiting = append(b.waiting, i)
	b.waitingByKey[ticketKey{t.GetIncarnation(), t.GetId()}] = i
	if i.bound && !b.hasVersion(now, i.version) {
		return b.assignDraining(now)
	}
	if !b.room.has(batchRoom) && (!b.mayQueue(i) || !b.room.has(queueRoom)) {
		return nil // No ticket could be granted before, and this one does not change that.
	}
	return b.assign(now)
}

// Release frees a slot, learns from its run and grants the waiting tickets that now fit.
func (b *Batch) Release(now time.Time, r *wire.Release) []*wire.Decision {
	s := b.slots.Free(now, r)
	if s == nil {
		return nil
	}
	b.updateHeld(s.Ticket.GetAccount())
	if route := b.routes[s.Ticket.GetRoute()]; route != nil && r.GetDispatched() && !r.GetBusy() {
		route.answers.addAnswer(s.Ticket.GetAnswerTokens(), r.GetPieces()*max(b.pool.EventTokens, 1), r.GetWhole())
		if !r.GetWhole() && !b.hasMoved(s) {
			route.addBrokenRun(s.Ticket)
		}
	}
	stats := b.engine(s.Upstream).stats
	heldUp := b.recordHoldUp(now, s, r)
	if route := b.routes[s.Ticket.GetRoute()]; b.outlook.on && route != nil && r.GetDispatched() && !r.GetBusy() {
		expected := b.meanEngine.slotTime(s.Ticket.GetPromptTokens(), route.answers.expected(s.Ticket.GetAnswerTokens()))
		if s.Ticket.GetMove() != nil {
			expected = 0 // All of its work was counted where it began.
		}
		b.outlook.addRun(now.Sub(b.started), expected, micros(r.GetTotalUs()))
	}
	switch first, rest := micros(r.GetFirstTokenUs()), micros(r.GetTotalUs()-r.GetFirstTokenUs()); {
	case first <= 0:
	case heldUp:
		stats.prefillDone(s.GrantedAt, s.GrantedAt.Add(first))
	default:
		stats.prefillDone(s.GrantedAt, now.Add(-rest))
	}
	switch {
	case r.GetBusy() && s.Upstream.Admit.Limited(): // Admit has noted it.
	case r.GetBusy():
		// The engine's queue is full of requests that this scheduler did not send. They are
		// recorded as a prompt with as many tokens as all slots' usual answers, so that the
		// engine counts as busy for a while.
		stats.addPrompt(now, b.pool.Slots*int64(b.costs.usualAnswer()))
	case r.GetFailed():
		stats.addFailure(now, r.GetFirstTokenUs() > 0, s.Upstream.GetSeq())
	case r.GetDispatched() && heldUp:
		stats.addSuccess()
	case r.GetDispatched():
		stats.addRun(now, r, s.Ticket.GetPromptTokens()-s.CachedTokens, max(b.pool.EventTokens, 1), s.ExpectedWait)
	}
	return b.assign(now)
}

// recordHoldUp records for how long an entry held a slot beyond the run, and reports whether that is so long that
// the times in its release say little about the engine.
func (b *Batch) recordHoldUp(now time.Time, s *slot.Slot, r *wire.Release) bool {
	if s.Owner != "" || !r.GetDispatched() {
		return false // A former owner granted it, or nothing ran.
	}
	total := micros(r.GetTotalUs())
	excess := b.holdUps.add(now, s.Ticket.GetEntry(), max(now.Sub(s.GrantedAt)-total, 0))
	return float64(excess) > maxHoldUpShare*float64(total)
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// Withdraw drops a waiting ticket, or frees its slot if it was granted at the same moment.
func (b *Batch) Withdraw(now time.Time, w *wire.Withdraw) {
	b.remove(w.GetIncarnation(), w.GetTicket())
	b.slots.Cancel(now, w.GetIncarnation(), w.GetTicket())
}

// Hold records the slots of this pool that an entry reports as held. See slots.Reconcile.
func (b *Batch) Hold(now time.Time, h *wire.Held) {
	var list []*wire.HeldSlot
	for _, s := range h.GetSlots() {
		if s.GetTicket().GetPool() == b.name {
			list = append(list, s)
		}
	}
	b.slots.Reconcile(now, h.GetIncarnation(), list, h.GetTickets(), b.table.GetOrAdd)
}

// SetVersions assigns the version that may run each waiting ticket, and grants the tickets that now
// fit.
func (b *Batch) SetVersions(now time.Time, version func(*wire.Ticket) string) []*wire.Decision {
	for _, i := range b.waiting {
		i.version = version(i.Ticket)
	}
	return b.assign(now)
}

// Forget drops the tickets and slots of a dead entry, identified by its incarnation.
func (b *Batch) Forget(now time.Time, incarnation string) []*wire.Decision {
	b.slots.FreeEntry(incarnation)
	b.removeIf(func(i *item) bool { return i.GetIncarnation() == incarnation })
	return b.assign(now)
}

// Tick refuses tickets that can no longer be served in time and grants the waiting tickets that
// now fit.
func (b *Batch) Tick(now time.Time) []*wire.Decision {
	if now.Sub(b.sweptAt) >= sweepInterval {
		b.sweptAt = now
		updateBoosts(b.routes, now.Sub(b.started), b.late.on)
		b.dropExpiredRoom(now)
		b.room.dropEmpty()
		b.table.Expire(now, forgetAfter)
		b.holdUps.sweep(now)
		b.dropStaleEngines()
		b.recountVersions()
		b.countSlots()
		b.updateBestCases(now)
		b.updateMeanEngine()
		b.updateGapLimit()
		b.slots.Sweep(now, b.pool.MaxRun+runGrace, func(*slot.Slot) {})
	}
	b.updateShares(now.Sub(b.started))
	return slices.Concat(b.assignDraining(now), b.assign(now), b.refuseExpired(now))
}

func (b *Batch) remove(incarnation string, ticket uint64) {
	if i := b.waitingByKey[ticketKey{incarnation, ticket}]; i != nil {
		b.removeIf(func(other *item) bool { return other == i })
	}
}

// removeIf removes the tickets for which gone returns true from the queue.
func (b *Batch) removeIf(gone func(*item) bool) {
	b.waiting = slices.DeleteFunc(b.waiting, func(i *item) bool {
		if !gone(i) {
			return false
		}
		delete(b.waitingByKey, ticketKey{i.GetIncarnation(), i.GetId()})
		return true
	})
}

func (b *Batch) fitsCache(u *upstr.Upstream, tokens int64) bool {
	return b.pool.CacheTokens == 0 || float64(u.ReservedTokens+tokens) <= maxCacheUse*float64(b.pool.CacheTokens)
}

// assign grants free slots to the waiting tickets with the highest scores.
func (b *Batch) assign(now time.Time) []*wire.Decision {
	var out []*wire.Decision
	for len(b.waiting) > 0 {
		n, e := b.choose(now)
		if e == nil {
			return out
		}
		out = append(out, b.grant(now, n, e))
	}
	return out
}

// grant grants a slot on an engine to a waiting ticket, by its index of waiting.
func (b *Batch) grant(now time.Time, n int, e *engine) *wire.Decision {
	i := b.waiting[n]
	i.routeStats.addOutcome(now.Sub(b.started), i.class, true, !i.arrivedLate && now.Sub(b.started)+e.stats.timeToFirstToken(now, e.Upstream, i.prompt) <= i.objective)
	b.dropWaiting(n)
	s := &slot.Slot{Upstream: e.Upstream, Ticket: i.Ticket, CachedTokens: cachedTokens(e.Upstream, i)}
	s.ExpectedWait = e.stats.wait(now)
	b.elig.Granted(now, e.Upstream)
	e.stats.addPrompt(now, i.GetPromptTokens()-s.CachedTokens)
	for _, p := range i.GetParts() {
		e.Cache.RecordSent(now, p.GetHash())
	}
	b.shed.addGrant(now.Sub(b.started))
	b.outlook.addGrant(now.Sub(b.started), i)
	if i.deferred {
		b.late.counts.granted++
	}
	d := b.slots.Grant(now, s, b.pool.GrantTTL)
	b.updateHeld(i.GetAccount())
	return d
}

// refuseGone refuses a waiting ticket, by its index of waiting, because no engine of its version is left.
func (b *Batch) refuseGone(n int) *wire.Decision {
	t := b.waiting[n].Ticket
	b.dropWaiting(n)
	return refuse.Ticket(t, refuse.VersionGone, 0)
}

// dropWaiting drops a ticket from the queue, by its index of waiting.
func (b *Batch) dropWaiting(n int) {
	i := b.waiting[n]
	b.waiting = slices.Delete(b.waiting, n, n+1)
	delete(b.waitingByKey, ticketKey{i.GetIncarnation(), i.GetId()})
}

// refuseExpired refuses the tickets whose refuseAt has come: those that are too late while others
// could still be in time, those that no slot will reach in time, and those at the end of their
// deadline.
func (b *Batch) refuseExpired(now time.Time) []*wire.Decision {
	var out []*wire.Decision
	at := now.Sub(b.started)
	if b.shed.due(at) {
		if b.shed.grantRate > 0 {
			b.shed.markUnreachable(at, b.waiting, minGrantShare*b.capacity())
		}
		if b.late.on {
			b.planLate(at)
		}
	}
	b.removeIf(func(i *item) bool {
		if at < i.refuseAt {
			return false
		}
		i.routeStats.addOutcome(at, i.class, false, false)
		if b.holdUps.isSlowest(i.GetEntry()) {
			out = append(out, refuse.Ticket(i.Ticket, refuse.EntrySlow, otherEntryAfter))
			return true
		}
		out = append(out, refuse.Ticket(i.Ticket, i.refusalCode(), b.returnAfter(at, i)))
		return true
	})
	return out
}

// retryAfter estimates when there will be room for a refused ticket: after the slots have worked
// off the waiting tickets of at least the same value. The time is spread by ticket ID, so that
// callers that were refused together do not return together.
func (b *Batch) retryAfter(i *item) time.Duration {
	var work time.Duration
	for _, w := range b.waiting {
		if w.valueRate >= i.valueRate {
			work += time.Duration(w.answer) * defaultTokenTime
		}
	}
	after := min(max(work/time.Duration(max(b.slotCount, 1)), minRetryAfter), maxRetryAfter)
	const parts = 16
	return after + after/2*time.Duration(i.GetId()%parts)/parts
}
