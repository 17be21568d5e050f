// Package kernel is the registry of scheduling policies. A policy registers itself under a
// name when its package is linked in; a pool's configuration selects it by that name.
package kernel

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"azurelane/core/conf"
	"azurelane/core/part"
	"azurelane/core/wire"
)

// Scheduler decides for one pool which ticket runs on which upstream and when. It is a pure
// state machine: methods take the current time and return the decisions that have become
// due. It is called by one goroutine at a time.
type Scheduler interface {
	// Configure installs the limits and weights in force.
	Configure(now time.Time, pool string, cfg *conf.Config) []*wire.Decision
	// Announce records an upstream's lease and load report.
	Announce(now time.Time, a *wire.Announce) []*wire.Decision
	// Submit queues a ticket, or refuses it at once. A ticket that is submitted again
	// replaces the earlier one.
	Submit(now time.Time, t *wire.Ticket) []*wire.Decision
	// Release frees a slot and learns from the run.
	Release(now time.Time, r *wire.Release) []*wire.Decision
	// Withdraw removes a waiting ticket whose caller has gone, or frees its slot if it was
	// granted at the same moment.
	Withdraw(now time.Time, w *wire.Withdraw)
	// Hold reconciles an entry's slots with the list of all slots that it holds. The entry
	// sends the list to an owner that has just taken over, and again every few seconds.
	// Listed slots are adopted. Older slots that are not listed were lost and are freed.
	Hold(now time.Time, h *wire.Held)
	// Forget frees the slots of a dead entry and removes its tickets.
	Forget(now time.Time, incarnation string) []*wire.Decision
	// Tick expires leases, grants and deadlines.
	Tick(now time.Time) []*wire.Decision
}

// Learner is a Scheduler that learns the speed of upstreams.
type Learner interface {
	// Speeds returns the estimated time for one answer token, by the name of the upstream.
	Speeds() map[string]time.Duration
}

// Pacer is a Scheduler that uses how long work currently takes on upstreams.
type Pacer interface {
	// RecordSpeeds records what upstreams stated. It ignores upstreams that it does not know.
	RecordSpeeds(now time.Time, list []*wire.Speed)
	// SpeedStatus returns the number of upstreams whose statements are known, the median age of the newest
	// ones, and the share of these above a percentage.
	SpeedStatus(now time.Time, above float64) (known int, age time.Duration, share float64)
}

// Holder is a Scheduler that tells which entries hold its slots.
type Holder interface {
	// SlotsByEntry returns the number of slots by the name of the entry that holds them.
	SlotsByEntry() map[string]int
}

// Deferrer is a Scheduler that serves requests late in slots that requests in time leave.
type Deferrer interface {
	// LateCounts returns how many tickets were deferred so far, how many of them were granted a slot, and
	// how many tickets were refused because no room was expected for them before their deadlines.
	LateCounts() (deferred, granted, refused int64)
	// LateOutlook returns the slots that the pool is worth by its throughput, the slot time that is committed
	// to other tickets, and the slot time that is expected to be free within the next seconds.
	LateOutlook(now time.Time, within time.Duration) (capacity float64, committed, free time.Duration)
}

// Inspector is a Scheduler that shows its tickets.
type Inspector interface {
	// Inspect calls waiting for each ticket that waits, and held for each slot that is held, with its
	// ticket and the name of its upstream.
	Inspect(waiting func(*wire.Ticket), held func(t *wire.Ticket, upstream string))
}

// Sharer is a Scheduler that tells what client accounts get.
type Sharer interface {
	// Shares returns what each client account gets, by name; nil while accounts have no shares.
	Shares() map[string]part.Part
}

// Versioner is a Scheduler that grants a ticket which names a version only on upstreams of that
// version.
type Versioner interface {
	// SetVersions assigns the version of each waiting ticket anew.
	SetVersions(now time.Time, version func(*wire.Ticket) string) []*wire.Decision
}

type policy struct {
	newScheduler func() Scheduler
	perEntry     bool
}

var policies = map[string]policy{}

// Register adds a policy. A policy that runs per entry serves that entry's own requests;
// any other runs at the pool's owner and serves all requests. Register panics if the name
// is taken, which is a programming error.
func Register(name string, perEntry bool, newScheduler func() Scheduler) {
	if _, ok := policies[name]; ok {
		panic("kernel: policy registered twice: " + name)
	}
	policies[name] = policy{newScheduler, perEntry}
}

// PerEntry reports whether the policy runs at every entry.
func PerEntry(name string) bool { return policies[name].perEntry }

// New returns a new Scheduler of the policy registered under name.
func New(name string) (Scheduler, error) {
	p, ok := policies[name]
	if !ok {
		return nil, fmt.Errorf("kernel: no policy %q, have %v", name, Names())
	}
	return p.newScheduler(), nil
}

// Names returns the names of the registered policies, sorted.
func Names() []string { return slices.Sorted(maps.Keys(policies)) }

// Check returns an error if a pool's configuration names an unknown policy. Such a
// configuration must be rejected: no entry could apply it, and the pool would silently keep
// its former configuration.
func Check(cfg *conf.Config) error {
	for name, p := range cfg.Pools {
		if _, ok := policies[p.Scheduler]; p.Scheduler != "" && !ok {
			return fmt.Errorf("%w: /pools/%s/scheduler: expected one of %v", conf.ErrInvalid, name, Names())
		}
	}
	return nil
}
