package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurelane/core/subset"
)

const (
	// sampleSize is the number of engines with room that a decision compares first. The cost of a
	// decision would otherwise grow with the pool, and the number of decisions grows with it too.
	// Among this many engines of unlike speeds some of the fastest nearly always have room.
	sampleSize = 96
	// sampleGrowth is the factor by which the sample grows while no engine in it suits a ticket.
	sampleGrowth = 8
)

type (
	// roomIndex holds the engines that have room by their versions, so that a decision looks only
	// at those, and at few of them where there are many. The zero value is empty.
	roomIndex struct {
		versions []*versionRoom
	}

	versionRoom struct {
		version string
		engines [roomKinds]subset.Subset[*engine]
	}

	// roomKey locates an engine in the index.
	roomKey struct {
		kind                roomKind
		version, dataCentre string
	}

	roomKind int
)

const (
	noRoom    roomKind = iota // Not in the index.
	batchRoom                 // A slot of its batch is free.
	queueRoom                 // Its batch is full and its own queue is not.
	roomKinds
)

// has reports whether an engine has room of a kind.
func (r *roomIndex) has(kind roomKind) bool {
	return slices.ContainsFunc(r.versions, func(v *versionRoom) bool { return !v.engines[kind].Empty() })
}

// move moves an engine to another place in the index.
func (r *roomIndex) move(e *engine, k roomKey) {
	if e.room == k {
		return
	}
	if old := e.room; old.kind != noRoom {
		r.version(old.version).engines[old.kind].Remove(old.dataCentre, e.Hash(), e)
	}
	if k.kind != noRoom {
		r.version(k.version).engines[k.kind].Add(k.dataCentre, e.Hash(), e)
	}
	e.room = k
}

func (r *roomIndex) version(name string) *versionRoom {
	n, ok := slices.BinarySearchFunc(r.versions, name, func(v *versionRoom, name string) int { return cmp.Compare(v.version, name) })
	if !ok {
		r.versions = slices.Insert(r.versions, n, &versionRoom{version: name})
	}
	return r.versions[n]
}

// dropEmpty drops the versions of which no engine has room.
func (r *roomIndex) dropEmpty() {
	r.versions = slices.DeleteFunc(r.versions, func(v *versionRoom) bool { return v.engines[batchRoom].Empty() && v.engines[queueRoom].Empty() })
}

// updateRoom moves an engine to its place in the index. It must be called after each change of its
// running requests or of its announcement.
func (b *Batch) updateRoom(e *engine) {
	k := roomKey{noRoom, e.Version, e.GetDataCentre()}
	switch {
	case e.GetLeaving() || e.Running >= e.AnnouncedLimit()+engineQueueLimit:
	case e.Running >= e.AnnouncedLimit():
		k.kind = queueRoom
	default:
		k.kind = batchRoom
	}
	b.room.move(e, k)
}

// dropExpiredRoom removes the engines without a lease from the index. Their next announcement
// brings them back.
func (b *Batch) dropExpiredRoom(now time.Time) {
	for _, e := range b.knownEngines() {
		if !e.Live(now) {
			b.room.move(e, roomKey{})
		}
	}
}

// listOffers lists engines with room, at most limit of each version, in the order of the entry that
// sent the ticket. It reports whether all of them have room only beyond their batches, which is
// also true if no engine has room, and whether more may have room in their batches.
func (b *Batch) listOffers(now time.Time, i *item, limit int) (batchesFull, more bool) {
	b.offers = b.offers[:0]
	if len(b.table.All()) <= sampleSize {
		b.updateBestCases(now)
	}
	client := xxhash.Sum64String(i.GetEntry())
	for n := range b.versionCases {
		b.versionCases[n].hasRoom = false
	}
	batchesFull = true
	for _, v := range b.room.versions {
		before := len(b.offers)
		visit := func(e *engine) bool {
			b.addOffer(now, e)
			return len(b.offers)-before < limit
		}
		whole := v.engines[batchRoom].Walk(i.GetDataCentre(), client, visit)
		batchesFull = batchesFull && len(b.offers) == before
		more = more || !whole
		if whole {
			v.engines[queueRoom].Walk(i.GetDataCentre(), client, visit)
		}
	}
	return batchesFull, more
}

// addOffer adds an engine that has room to the offers, unless it can't be used now.
func (b *Batch) addOffer(now time.Time, e *engine) {
	if !b.usable(now, e) || !b.fitsCache(e.Upstream, 0) {
		return
	}
	stats := e.stats
	o := offer{
		engine: e, batchFull: e.room.kind == queueRoom, workBefore: stats.workBefore(e.Upstream), perToken: stats.perToken(),
		prefillWait: stats.wait(now), failurePenalty: time.Duration((1 - stats.successShare) * float64(time.Second)),
	}
	o.setPace(now, b.costs.usualAnswer())
	b.offers = append(b.offers, o)
	b.bestCase.add(stats)
	if b.mixedVersions {
		v := b.versionCase(e.Version)
		v.add(stats)
		v.hasRoom = true
	}
}

// usable reports whether an engine may be sent requests now, apart from its room.
func (b *Batch) usable(now time.Time, e *engine) bool {
	return !now.Before(e.stats.excludedUntil) && b.elig.Allows(now, e.Upstream)
}

// updateBestCases computes the best cases over all engines that may be sent requests now, whether
// they have room or not.
func (b *Batch) updateBestCases(now time.Time) {
	b.bestCase, b.versionCases = bestCase{}, b.versionCases[:0]
	for _, e := range b.knownEngines() {
		if !b.usable(now, e) {
			continue
		}
		b.bestCase.add(e.stats)
		if b.mixedVersions {
			b.versionCase(e.Version).add(e.stats)
		}
	}
}
