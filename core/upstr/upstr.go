// Package upstr holds what a scheduler knows of one upstream.
package upstr

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurelane/core/limit"
	"azurelane/core/meter"
	"azurelane/core/prefix"
	"azurelane/core/wire"
)

// Upstream is one announced upstream with the slots granted on it. The load in
// its announcement is late; Running is exact, because its scheduler is the only
// one that grants on it.
type Upstream struct {
	Running int       // Slots granted and not yet released.
	announcedLimit   int       // As announced.
	leaving bool      // As announced.
	LeaseEnd time.Time // End of the lease.
	*wire.Announce
	LongRunning   int           // Running slots of long work.
	ReservedTokens int64         // Tokens of the requests in the running slots.
	Observed limit.Limit   // From its own runs.
	Cache  prefix.Prefix // What it has probably cached.
	idHash   uint64
	Meter  meter.Meter // Of the limit that it names.
}

// DefaultMaxRunning bounds an upstream that does not say how much it runs at once.
const DefaultMaxRunning = 8

// New returns an upstream that is known by name alone: it isn't live until it
// announces itself.
func New(name string) *Upstream {
	return &Upstream{Announce: &wire.Announce{Upstream: name}, announcedLimit: DefaultMaxRunning, idHash: xxhash.Sum64String(name)}
}

// Update takes an announcement. What a decision needs of it is kept beside the
// upstream's slots: a decision looks at every upstream.
func (u *Upstream) Update(now time.Time, a *wire.Announce) {
	if u.GetIncarnation() != "" && u.GetIncarnation() != a.GetIncarnation() {
		u.Observed.Return()
		u.Meter.Unlimit()
	}
	if l := a.GetLimit(); l != nil {
		u.Meter.SetLimit(now, l.GetPerSecond(), 1)
	} else {
		u.Meter.Unlimit()
	}
	u.Announce = a
	u.LeaseEnd = now.Add(time.Duration(a.GetLeaseUs()) * time.Microsecond)
	u.leaving = a.GetLeaving()
	u.announcedLimit = DefaultMaxRunning
	if n := a.GetMaxRunning(); n > 0 {
		u.announcedLimit = int(n)
	}
	u.Cache.Told(now, a.GetCachedPrefixes())
}

// Live reports whether the upstream may be granted new work: its lease runs
// and it is not leaving.
func (u *Upstream) Live(now time.Time) bool {
	return !u.leaving && now.Before(u.LeaseEnd)
}

// HasRoom reports whether it may be granted one more request now.
func (u *Upstream) HasRoom(now time.Time) bool {
	return u.Running < u.EffectiveLimit(now) && u.Live(now) && u.Meter.CanSend(now)
}

// AnnouncedLimit is the number of requests that the upstream says it runs at once.
func (u *Upstream) AnnouncedLimit() int { return u.announcedLimit }

// EffectiveLimit is the number of requests that it may be given at once, by what was
// learnt of it.
func (u *Upstream) EffectiveLimit(now time.Time) int { return u.Observed.Most(now, u.AnnouncedLimit()) }

// HasModel reports whether the upstream serves the model. One that names no
// models serves all, and a plain service's ticket names none.
func (u *Upstream) HasModel(model string) bool {
	return model == "" || len(u.GetModels()) == 0 || slices.Contains(u.GetModels(), model)
}

// Eligible reports whether the upstream has the ticket's model and the request
// has not failed to reach it before.
func (u *Upstream) Eligible(t *wire.Ticket) bool {
	return u.HasModel(t.GetModel()) && !slices.Contains(t.GetAvoid(), u.GetUpstream())
}

// RendezvousWeight is the upstream's rendezvous weight for a prefix: the upstream with
// the highest one is the prefix's home.
func (u *Upstream) RendezvousWeight(prefix uint64) uint64 {
	// The finalizer of MurmurHash3 over both hashes: as even as hashing the
	// names again, at a tenth of the time.
	h := u.idHash ^ prefix
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
