package batch

import (
	"maps"
	"time"

	"azurelane/core/pace"
	"azurelane/core/slot"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

type (
	// engine is an upstream with the statistics learned from its runs.
	engine struct {
		*upstr.Upstream
		stats *engineStats
		room  roomKey // Where the index of room has it.
	}

	// offer is an engine with room, as seen by the decision in progress. A decision compares the
	// costs of several tickets there; the fields hold the parts that do not depend on the ticket,
	// so that they are computed once.
	offer struct {
		*engine
		batchFull      bool          // All slots of its batch are taken.
		baseFirstToken time.Duration // Time to the first token of an empty prompt.
		prefillWait    time.Duration // Time until all prompts sent to it are prefilled.
		workBefore     time.Duration // Usual time of what it then does before the prefill.
		forecast       pace.Forecast // Of how long its work takes then.
		perToken       time.Duration // Usual.
		averageToken   time.Duration // Time per token on average.
		answerTime     time.Duration // Of a usual answer that begins now.
		failurePenalty time.Duration // Cost of its recent failures.
	}
)

func (b *Batch) engine(u *upstr.Upstream) *engine {
	e := b.engines[u.GetUpstream()]
	if e == nil || e.Upstream != u {
		e = &engine{Upstream: u, stats: b.newEngineStats()}
		b.engines[u.GetUpstream()] = e
	}
	return e
}

// Speeds returns the estimated time per answer token by upstream name.
func (b *Batch) Speeds() map[string]time.Duration {
	list := b.table.All()
	speeds := make(map[string]time.Duration, len(list))
	for _, u := range list {
		speeds[u.GetUpstream()] = b.engine(u).stats.perToken()
	}
	return speeds
}

// SlotsByEntry returns the number of slots by the name of the entry that holds them.
func (b *Batch) SlotsByEntry() map[string]int { return b.slots.ByEntry() }

// Inspect calls waiting for each ticket that waits, and held for each slot that is held.
func (b *Batch) Inspect(waiting func(*wire.Ticket), held func(t *wire.Ticket, upstream string)) {
	for _, i := range b.waiting {
		waiting(i.Ticket)
	}
	b.slots.Each(func(s *slot.Slot) { held(s.Ticket, s.Upstream.GetUpstream()) })
}

// newEngineStats returns the statistics of an engine that has not run anything yet.
func (b *Batch) newEngineStats() *engineStats { return &engineStats{successShare: 1, costs: &b.costs} }

// knownEngines returns the engines in table order. Every decision iterates over them, so an
// engine is looked up by name only where the table has changed.
func (b *Batch) knownEngines() []*engine {
	list := b.table.All()
	b.engineList = b.engineList[:min(len(b.engineList), len(list))]
	for n, u := range list {
		switch {
		case n == len(b.engineList):
			b.engineList = append(b.engineList, b.engine(u))
		case b.engineList[n].Upstream != u:
			b.engineList[n] = b.engine(u)
		}
	}
	return b.engineList
}

// dropStaleEngines drops the statistics of upstreams that are no longer in the table. Otherwise
// the map would grow without bound, because engines that restart may come back under new names.
func (b *Batch) dropStaleEngines() {
	if len(b.engines) <= 2*len(b.table.All()) {
		return
	}
	known := make(map[string]bool, len(b.table.All()))
	for _, u := range b.table.All() {
		known[u.GetUpstream()] = true
	}
	maps.DeleteFunc(b.engines, func(id string, _ *engine) bool { return !known[id] })
	b.pace.Retain(func(id string) bool { return known[id] })
}

// updateMeanEngine sets meanEngine to the mean token time of all engines. It serves comparisons
// that are made before an engine is chosen. It also finds the fastest times that are known.
func (b *Batch) updateMeanEngine() {
	sum, n := time.Duration(0), time.Duration(0)
	fastest := bestCase{}
	for _, e := range b.engines {
		if e.stats.tokenTime > 0 && e.stats.learnedOverhead > 0 {
			fastest.add(e.stats)
		}
		sum += e.stats.onAverage(e.stats.perToken())
		n++
	}
	b.costs.fastest = fastest
	b.meanEngine = engineStats{costs: &b.costs}
	if n > 0 {
		b.meanEngine.tokenTime = sum / n
	}
}

// updateGapLimit sets gapLimit to the shortest gapLimit of the routes.
func (b *Batch) updateGapLimit() {
	b.gapLimit = 0
	for _, r := range b.routes {
		if r.gapLimit > 0 && (b.gapLimit == 0 || r.gapLimit < b.gapLimit) {
			b.gapLimit = r.gapLimit
		}
	}
}

// countSlots updates slotCount.
func (b *Batch) countSlots() {
	b.slotCount = 0
	for _, u := range b.table.All() {
		b.slotCount += int64(u.AnnouncedLimit())
	}
}
