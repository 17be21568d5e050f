// Package upstr holds the state that a scheduler keeps for one upstream.
package upstr

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurelane/core/admit"
	"azurelane/core/limit"
	"azurelane/core/meter"
	"azurelane/core/prefix"
	"azurelane/core/wire"
)

// Upstream is one announced upstream with the slots granted on it. The load in its announcement is
// out of date on arrival. Running is exact, because only the scheduler of the upstream grants slots
// on it.
type Upstream struct {
	Running        int       // Slots granted and not yet released.
	announcedLimit int       // Limit on concurrent requests, as announced; see AnnouncedLimit.
	leaving        bool      // As announced.
	drainsUntil    time.Time // While it leaves, streams that go on may be granted until then.
	LeaseEnd       time.Time // Renewed by each announcement.
	*wire.Announce
	LongRunning    int           // Running slots of long requests.
	ReservedTokens int64         // Prompt and answer tokens of the requests in the running slots.
	Observed       limit.Profile // Speed, capacity and health, estimated from its own runs.
	Cache          prefix.Prefix // Prompt prefixes that it has probably cached.
	idHash         uint64        // Hash of its name.
	Meter          meter.Meter   // Enforces the request rate that it announced.
	Admit          admit.Admit   // Keeps it from refusing more requests than it bears.
	Version        string        // As announced.
	PassedOver     int           // Requests that it could have run and that others got since its last one.
	Extra          int           // Requests that it may be given beyond EffectiveLimit; fewer if negative.
}

// DefaultMaxRunning is the limit on concurrent requests of an upstream that announces none.
const DefaultMaxRunning = 8

// New returns an upstream of which only the name is known. It is not live until it announces
// itself.
func New(name string) *Upstream {
	return &Upstream{Announce: &wire.Announce{Upstream: name}, announcedLimit: DefaultMaxRunning, idHash: xxhash.Sum64String(name)}
}

// Update applies an announcement. It copies the fields that decisions need into the Upstream,
// because each decision looks at every upstream.
func (u *Upstream) Update(now time.Time, a *wire.Announce) {
	if u.GetIncarnation() != "" && u.GetIncarnation() != a.GetIncarnation() {
		u.Observed.EndOutage()
		u.Meter.Unlimit()
	}
	if l := a.GetLimit(); l != nil {
		u.Meter.SetLimit(now, l.GetPerSecond(), 1)
	} else {
		u.Meter.Unlimit()
	}
	u.Admit.SetLimit(now, int(a.GetBrittle()), a.GetFresh())
	u.Announce = a
	u.LeaseEnd = now.Add(time.Duration(a.GetLeaseUs()) * time.Microsecond)
	u.leaving, u.Version = a.GetLeaving(), a.GetVersion()
	u.drainsUntil = now.Add(time.Duration(a.GetDrainsUs()) * time.Microsecond)
	u.announcedLimit = DefaultMaxRunning
	if n := a.GetMaxRunning(); n > 0 {
		u.announcedLimit = int(n)
	}
	u.Cache.SetAnnounced(now, a.GetCachedPrefixes())
}

// Hash returns the hash of the upstream's name.
func (u *Upstream) Hash() uint64 { return u.idHash }

// Live reports whether the upstream may be granted new work: its lease has not ended and it is not
// leaving.
func (u *Upstream) Live(now time.Time) bool {
	return !u.leaving && now.Before(u.LeaseEnd)
}

// Draining reports whether the upstream is leaving and may still be granted streams that go on there.
func (u *Upstream) Draining(now time.Time) bool {
	return u.leaving && now.Before(u.drainsUntil) && now.Before(u.LeaseEnd)
}

// HasRoom reports whether the upstream has room for one more request. While it recovers, it gets nothing extra.
func (u *Upstream) HasRoom(now time.Time) bool {
	limit := u.EffectiveLimit(now)
	if !u.Observed.OnTrial() {
		limit += u.Extra
	}
	return u.Running < limit
}

// CanSend reports whether the rate of its requests, and of its refusals, allows one more request now.
func (u *Upstream) CanSend(now time.Time) bool {
	return u.Meter.CanSend(now) && u.Admit.CanSend(now, u.Running)
}

// AnnouncedLimit returns the number of requests that the upstream says it runs at once, or
// DefaultMaxRunning if it does not say.
func (u *Upstream) AnnouncedLimit() int { return u.announcedLimit }

// EffectiveLimit returns the number of requests that the upstream may be given at once, according
// to the runs observed so far.
func (u *Upstream) EffectiveLimit(now time.Time) int {
	return u.Observed.Concurrency(now, u.AnnouncedLimit())
}

// HasModel reports whether the upstream serves the model. An upstream that names no models serves
// all of them. The ticket of a plain service names no model, so every upstream serves it.
func (u *Upstream) HasModel(model string) bool {
	return model == "" || len(u.GetModels()) == 0 || slices.Contains(u.GetModels(), model)
}

// Eligible reports whether the upstream is of the version that may run the ticket, serves its model
// and is not on its list of upstreams to avoid, which the request has failed to reach before.
func (u *Upstream) Eligible(t *wire.Ticket, version string) bool {
	return u.HasVersion(t, version) && u.HasModel(t.GetModel()) && !slices.Contains(t.GetAvoid(), u.GetUpstream())
}

// HasVersion reports whether the upstream is of the version that may run the ticket. An empty version
// stands for any, unless the ticket is bound to upstreams that name none.
func (u *Upstream) HasVersion(t *wire.Ticket, version string) bool {
	return u.Version == version || (version == "" && !t.GetBound())
}

// RendezvousWeight returns the weight of the upstream in rendezvous hashing of a prefix. The
// upstream with the highest weight is the prefix's home.
func (u *Upstream) RendezvousWeight(prefix uint64) uint64 {
	// The finalizer of MurmurHash3 over both hashes distributes as evenly as hashing the names
	// again, in a tenth of the time.
	h := u.idHash ^ prefix
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
