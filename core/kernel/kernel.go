// Package kernel is the registry of scheduling policies. A policy registers
// itself under a name when its package is linked in; a pool's configuration
// picks it by that name.
package kernel

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"azurelane/core/conf"
	"azurelane/core/wire"
)

// Scheduler decides for one pool which ticket runs on which upstream and when.
// It is a pure state machine: every method takes the time and returns the
// decisions that have become due, and it is called by one goroutine at a time.
type Scheduler interface {
	// Configure installs the limits and weights in force.
	Configure(now time.Time, pool string, cfg *conf.Config) []*wire.Decision
	// Announce takes an upstream's lease and load report.
	Announce(now time.Time, a *wire.Announce) []*wire.Decision
	// Submit queues a ticket. A refusal comes back at once. A ticket that is
	// submitted again takes the place of its former self.
	Submit(now time.Time, t *wire.Ticket) []*wire.Decision
	// Release frees a slot and learns from the run.
	Release(now time.Time, r *wire.Release) []*wire.Decision
	// Withdraw drops a waiting ticket whose caller has gone, and frees the slot
	// of one that was granted in the same moment.
	Withdraw(now time.Time, w *wire.Withdraw)
	// Hold takes the list of all slots that an entry holds. It is sent to an
	// owner that has just taken over, and again every few seconds: what it lists
	// is adopted, and an older slot that it does not list was lost and is freed.
	Hold(now time.Time, h *wire.Held)
	// Forget frees what a dead entry held and drops its tickets.
	Forget(now time.Time, incarnation string) []*wire.Decision
	// Tick expires leases, grants and deadlines.
	Tick(now time.Time) []*wire.Decision
}

// Learner is a Scheduler that learns how fast upstreams are.
type Learner interface {
	// Speeds returns the time that each upstream is believed to take for one token of
	// an answer, by the upstream's name.
	Speeds() map[string]time.Duration
}

// policy is one registered policy.
type policy struct {
	build func() Scheduler
	local bool
}

var policies = map[string]policy{}

// Register adds a policy. A local one runs at every entry for that entry's own
// requests, the others run at the pool's owner for all. It panics on a second
// policy of the same name, which can only be a mistake in the program.
func Register(name string, local bool, build func() Scheduler) {
	if _, ok := policies[name]; ok {
		panic("kernel: policy registered twice: " + name)
	}
	policies[name] = policy{build, local}
}

// PerEntry reports whether the policy runs at every entry.
func PerEntry(name string) bool { return policies[name].local }

// New builds the policy registered under name.
func New(name string) (Scheduler, error) {
	p, ok := policies[name]
	if !ok {
		return nil, fmt.Errorf("kernel: no policy %q, have %v", name, Names())
	}
	return p.build(), nil
}

// Names lists the registered policies, sorted.
func Names() []string { return slices.Sorted(maps.Keys(policies)) }

// Check reports a pool whose configuration names a policy that the program does
// not have. Such a document must not be accepted: no entry could put it in
// force, and the pool would go on as it was without a word.
func Check(cfg *conf.Config) error {
	for name, p := range cfg.Pools {
		if _, ok := policies[p.Scheduler]; p.Scheduler != "" && !ok {
			return fmt.Errorf("%w: /pools/%s/scheduler: expected one of %v", conf.ErrInvalid, name, Names())
		}
	}
	return nil
}
