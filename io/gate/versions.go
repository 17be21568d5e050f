package gate

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/canary"
	"azurelane/core/tally"
	"azurelane/core/wire"
)

// versions holds which versions of a pool's upstreams get its requests, and counts what this entry
// sees of them while a rollout runs. The zero value is ready.
type versions struct {
	mu      sync.Mutex
	splits  map[string]*wire.Split // By pool; pools that keep no versions apart have none.
	updated time.Time              // When the scheduler last confirmed the splits.
	tally   tally.Tally

	scheduler string // Incarnation of the scheduler that sent the splits.
	revision  uint64
}

// SetSplits takes the splits that a scheduler has in force. Answers of one scheduler may arrive out
// of order; an older one changes nothing.
func (g *Gate) SetSplits(list *wire.Rollouts) {
	v := &g.versions
	v.mu.Lock()
	defer v.mu.Unlock()
	if list.GetScheduler() == v.scheduler && list.GetRevision() < v.revision {
		return
	}
	v.scheduler, v.revision = list.GetScheduler(), list.GetRevision()
	v.updated = time.Now()
	before := v.splits
	v.splits = make(map[string]*wire.Split, len(list.GetSplits()))
	for _, s := range list.GetSplits() {
		if old := before[s.GetPool()]; old.GetBase() != s.GetBase() || old.GetTo() != s.GetTo() {
			g.Log.Info("Versions in use changed.", "pool", s.GetPool(), "base", s.GetBase(), "to", s.GetTo(), "rollout", s.GetNumber())
		}
		v.splits[s.GetPool()] = s
	}
	v.tally.SetSplits(v.updated, list.GetSplits())
}

// Evidence returns the counts of this entry for the scheduler, or nil while no rollout runs.
func (g *Gate) Evidence() *wire.Evidence {
	g.versions.mu.Lock()
	defer g.versions.mu.Unlock()
	list := g.versions.tally.Evidence(time.Now())
	if len(list) == 0 {
		return nil
	}
	return &wire.Evidence{Node: g.Node, Incarnation: g.Incarnation, Rollouts: list}
}

// choose returns the versions of upstreams for a request that this entry places itself, in the order
// in which they are tried; an empty one stands for any. An entry that has not heard from the
// scheduler for longer than valid prefers the base version, as the target version may have turned
// out to be bad, and so does a request that is sent again. If it can reach no upstream of the base
// version, the rollout has probably completed while this entry was cut off.
func (v *versions) choose(now time.Time, q *request, valid time.Duration) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.splits[q.pool]
	switch {
	case q.origin.bound:
		return v.chooseBound(now, q, valid)
	case s == nil:
		return []string{""}
	case q.tried.Sends() == 0 && s.GetTo() != "" && now.Sub(v.updated) <= valid && canary.Version(s, q.routeName(), q.meta.ID) == s.GetTo():
		return []string{s.GetTo(), s.GetBase()}
	case q.tried.Sends() > 0 && s.GetTo() != "":
		return []string{s.GetBase(), s.GetTo()}
	}
	return []string{s.GetBase()}
}

// chooseBound returns the version at which a request's stream began, or nothing if the rollouts leave
// no upstream of that version to it. v.mu must be held.
func (v *versions) chooseBound(now time.Time, q *request, valid time.Duration) []string {
	s, began := v.splits[q.pool], q.origin.began
	switch {
	case s == nil, began == s.GetBase(), began == "":
		return []string{began}
	case began == s.GetTo() && now.Sub(v.updated) <= valid && canary.Share(s, q.routeName()) > 0:
		return []string{began}
	}
	return nil
}

// begin counts a send. It returns nil where the pool keeps no versions apart.
func (v *versions) begin(q *request, version string) *tally.Send {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.splits[q.pool] == nil {
		return nil
	}
	return v.tally.Begin(time.Now(), q.pool, q.routeName(), version, q.meta.Prompt)
}

// started counts the time until the first event of a stream.
func (v *versions) started(s *tally.Send, after time.Duration) {
	if s == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tally.Started(s, after)
}

// end counts how a send ended.
func (v *versions) end(s *tally.Send, res result) {
	if s == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tally.End(s, res.evidence())
}

// evidence returns what the end of a send says about the version of its upstream. A send that was
// cut off for its slowness has not failed: its time shows that it is slow.
func (r *result) evidence() tally.Result {
	switch r.outcome {
	case outcomeComplete:
		return tally.Result{Counts: true, Time: max(r.firstAfter, time.Nanosecond)}
	case outcomeFailed:
		return tally.Result{Counts: true, Failed: true}
	case outcomeInterrupted:
		if errors.Is(r.err, errDeadline) || errors.Is(r.err, errSilent) {
			return tally.Result{Counts: true, Time: r.total}
		}
		return tally.Result{Counts: true, Failed: true}
	default:
		return tally.Result{}
	}
}
