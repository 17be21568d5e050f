// Package deploy implements the replicated record of rollouts: which version of a pool's upstreams
// gets its requests, and how far a move to another version has come. It is part of the replicated
// state machine.
package deploy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"azurelane/core/wire"
)

// Result codes of Start and Advance.
const (
	OK       = "ok"
	Invalid  = "invalid"  // The order is malformed.
	Conflict = "conflict" // Another rollout of the pool is in progress.
	Gone     = "gone"     // The rollout is not the pool's newest one, or has reached a later phase.
)

// Unversioned is the version of a pool none of whose upstreams names one.
const Unversioned = "unversioned"

// resendWindow is how long after its start an order counts as sent again, rather than as a new
// order, although its rollout has ended. It exceeds the time for which operators resend an order
// that was not acknowledged.
const resendWindow = 15 * time.Second

// Deploy holds the newest rollout and the version of each pool. It reads no clock: the leader adds
// its time to each command. Stored messages are replaced and never modified, because an image that
// is being encoded may still refer to them. The zero value is empty and ready to use.
type Deploy struct {
	versions map[string]string // By pool.
	rollouts map[string]*wire.Rollout
	number   uint64 // Of the newest rollout.
	revision uint64 // Local to this replica; grows with each change.
}

// Observe records the version of a pool's upstreams if none is known: that of the first upstream
// that names one.
func (d *Deploy) Observe(pool, version string) {
	if version == "" || d.versions[pool] != "" {
		return
	}
	d.setVersion(pool, version)
}

func (d *Deploy) setVersion(pool, version string) {
	if d.versions == nil {
		d.versions = map[string]string{}
	}
	d.versions[pool] = version
	d.revision++
}

// Start begins a rollout. An order that is sent again, because its acknowledgement was lost, gets
// the result of the first. The result's version is the number of the rollout.
func (d *Deploy) Start(s *wire.StartRollout) *wire.Result {
	length := time.Duration(s.GetLengthUs()) * time.Microsecond
	switch {
	case s.GetPool() == "" || s.GetTo() == "":
		return &wire.Result{Code: Invalid, Text: "a rollout needs a pool and a version"}
	case length <= 0:
		return &wire.Result{Code: Invalid, Text: "a rollout needs a length over zero"}
	}
	old := d.rollouts[s.GetPool()]
	same := old.GetTo() == s.GetTo() && old.GetLengthUs() == s.GetLengthUs()
	recent := s.GetNowUs()-old.GetStartedUs() < resendWindow.Microseconds()
	switch {
	case old != nil && same && (!Ended(old) || recent):
		return &wire.Result{Code: OK, Version: old.GetNumber()}
	case old != nil && !Ended(old):
		return &wire.Result{Code: Conflict, Version: old.GetNumber(), Text: "a rollout to " + old.GetTo() + " is in progress"}
	}
	base := d.versions[s.GetPool()]
	if old == nil && s.GetBase() != "" {
		base = s.GetBase()
	}
	if base = cmp.Or(base, Unversioned); base != d.versions[s.GetPool()] {
		d.setVersion(s.GetPool(), base)
	}
	d.number++
	r := &wire.Rollout{
		Pool: s.GetPool(), Number: d.number, Base: base, To: s.GetTo(), LengthUs: s.GetLengthUs(), StartedUs: s.GetNowUs(),
	}
	if base == s.GetTo() {
		r.Phase, r.Cause = wire.Rollout_PHASE_COMPLETED, "the pool has this version already"
	}
	d.store(r)
	return &wire.Result{Code: OK, Version: d.number}
}

// Advance moves a rollout to a later phase or records its elapsed time. A rollout never returns to
// an earlier phase and never leaves the last one.
func (d *Deploy) Advance(a *wire.AdvanceRollout) *wire.Result {
	old := d.rollouts[a.GetPool()]
	if old == nil || old.GetNumber() != a.GetNumber() || Ended(old) || a.GetPhase() < old.GetPhase() {
		return &wire.Result{Code: Gone, Text: "the rollout is not in that phase any more"}
	}
	r := &wire.Rollout{
		Pool: old.GetPool(), Number: old.GetNumber(), Base: old.GetBase(), To: old.GetTo(), LengthUs: old.GetLengthUs(),
		StartedUs: old.GetStartedUs(), Phase: a.GetPhase(), Cause: cmp.Or(a.GetCause(), old.GetCause()),
		ElapsedUs: max(a.GetElapsedUs(), old.GetElapsedUs()),
	}
	if r.GetPhase() == wire.Rollout_PHASE_COMPLETED {
		d.setVersion(r.GetPool(), r.GetTo())
	}
	d.store(r)
	return &wire.Result{Code: OK, Version: r.GetNumber()}
}

func (d *Deploy) store(r *wire.Rollout) {
	if d.rollouts == nil {
		d.rollouts = map[string]*wire.Rollout{}
	}
	d.rollouts[r.GetPool()] = r
	d.revision++
}

// Ended reports whether a rollout has reached its last phase.
func Ended(r *wire.Rollout) bool {
	return r.GetPhase() == wire.Rollout_PHASE_COMPLETED || r.GetPhase() == wire.Rollout_PHASE_ROLLED_BACK
}

// Rollouts lists the newest rollout of each pool by name. The caller must not modify the messages.
func (d *Deploy) Rollouts() []*wire.Rollout {
	return slices.SortedFunc(maps.Values(d.rollouts), func(a, b *wire.Rollout) int { return cmp.Compare(a.GetPool(), b.GetPool()) })
}

// Versions lists the version of each pool whose upstreams name one, by name.
func (d *Deploy) Versions() []*wire.PoolVersion {
	var list []*wire.PoolVersion
	for _, pool := range slices.Sorted(maps.Keys(d.versions)) {
		list = append(list, &wire.PoolVersion{Pool: pool, Version: d.versions[pool]})
	}
	return list
}

// Revision grows whenever the record changes on this replica.
func (d *Deploy) Revision() uint64 { return d.revision }

// Load replaces the record by a saved one.
func (d *Deploy) Load(rollouts []*wire.Rollout, versions []*wire.PoolVersion) {
	*d = Deploy{versions: map[string]string{}, rollouts: map[string]*wire.Rollout{}, revision: d.revision + 1}
	for _, r := range rollouts {
		d.rollouts[r.GetPool()] = r
		d.number = max(d.number, r.GetNumber())
	}
	for _, v := range versions {
		d.versions[v.GetPool()] = v.GetVersion()
	}
}
