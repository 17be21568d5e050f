package hub

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"azurelane/core/roster"
	"azurelane/core/wire"
)

type (
	// beats is what a leader has heard of upstreams since it leads. The zero
	// value is ready.
	beats struct {
		mu    sync.Mutex
		ups   map[string]*beat
		quiet []string // Upstreams not heard lately, sorted.
		lease time.Duration
	}

	beat struct {
		*wire.Upstream
		seq    uint64
		born   int64
		at     time.Time
		served time.Time
		calls  uint64 // Announcements to the scheduler, which wants them to grow.
		lost   bool   // Its data centre seems cut off.
		limit  *wire.Limit
	}
)

// Report takes an upstream's announcement, at whichever replica it arrives. It
// returns once a quorum has written down what it tells, if that is new.
func (h *Hub) Report(ctx context.Context, r *wire.Report) error {
	if s := h.scheduler(); s != nil && s.scope == centre && h.reportCutOff(s, r) {
		return nil
	}
	_, err := h.Leader.Ask(ctx, func() *wire.Frame { return &wire.Frame{Body: &wire.Frame_Report{Report: r}} })
	if err != nil {
		return fmt.Errorf("hub: report: %w", err)
	}
	return nil
}

// report takes an announcement on the leader. One that was overtaken by a later
// one of the same upstream changes nothing.
func (h *Hub) report(ctx context.Context, rep *wire.Report) error {
	r := h.lead()
	if r == nil {
		return h.moved()
	}
	u := rep.GetUpstream()
	known := h.Replica.Upstream(u.GetId())
	if roster.Stale(known, u) {
		return nil
	}
	reborn := roster.Restarted(known, u)
	if reborn {
		r.limits.drop(u.GetId())
	}
	if rep.GetDeregister() {
		if known == nil || (known.GetState() == wire.Upstream_STATE_GONE && !reborn) {
			return nil
		}
		born := max(u.GetBorn(), known.GetBorn())
		u = proto.CloneOf(known)
		u.State, u.Born = wire.Upstream_STATE_GONE, born
	} else if !r.beats.newer(time.Now(), u, rep.GetSeq(), known) {
		return nil
	}
	if reborn || (!roster.Unchanged(known, u) && known.GetState() <= u.GetState()) {
		cmd := &wire.Command{Kind: &wire.Command_Enroll{Enroll: &wire.Enroll{Upstream: u}}}
		if _, err := h.Replica.Propose(ctx, cmd); err != nil {
			return err
		}
		known = h.Replica.Upstream(u.GetId())
		h.Log.Info("Upstream changed.", "upstream", u.GetId(), "pool", u.GetPool(), "address", u.GetAddress(),
			"data-centre", u.GetDataCentre(), "state", u.GetState().String(), "sequence", rep.GetSeq(), "born", u.GetBorn())
	}
	if known != nil {
		h.announce(r, known, leaseBeats)
	}
	return nil
}

// reportCutOff takes an announcement at a scheduler of one data centre, and reports
// whether it tells nothing that has to be written down: without a quorum nothing can
// be. An upstream that leaves gets no more work all the same.
func (h *Hub) reportCutOff(s *reign, rep *wire.Report) bool {
	u := rep.GetUpstream()
	known := h.Replica.Upstream(u.GetId())
	if known == nil || known.GetDataCentre() != h.Centre || roster.Stale(known, u) || rep.GetDeregister() {
		return false
	}
	if !s.beats.newer(time.Now(), u, rep.GetSeq(), known) {
		return false
	}
	if roster.Unchanged(known, u) && !roster.Restarted(known, u) {
		h.announce(s, known, leaseBeats)
		return true
	}
	if u.GetState() != wire.Upstream_STATE_SERVING {
		gone := proto.CloneOf(known)
		gone.State = u.GetState()
		h.announce(s, gone, leaseBeats)
	}
	return false
}

// announce hands an upstream to the scheduler, with a lease of some beats.
func (h *Hub) announce(r *reign, u *wire.Upstream, beats int) {
	lease := time.Duration(beats)*h.Beat + h.Beat/2
	if a := r.beats.announce(u, r.limited(u.GetId()), lease); a != nil {
		r.sched.Announce(a)
	}
}

func (b *beats) of(u *wire.Upstream) *beat {
	if b.ups == nil {
		b.ups = map[string]*beat{}
	}
	e := b.ups[u.GetId()]
	if e == nil {
		e = &beat{}
		b.ups[u.GetId()] = e
	}
	return e
}

// newer notes a beat and reports whether it is the latest of its upstream.
func (b *beats) newer(now time.Time, u *wire.Upstream, seq uint64, known *wire.Upstream) bool {
	if known.GetState() == wire.Upstream_STATE_GONE && !roster.Restarted(known, u) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.of(u)
	if u.GetBorn() > e.born { // It counts its announcements anew.
		e.seq, e.born = 0, u.GetBorn()
	}
	if seq <= e.seq && e.seq > 0 {
		return false
	}
	e.seq, e.at = seq, now
	return true
}

func (b *beats) announce(u *wire.Upstream, l *wire.Limit, lease time.Duration) *wire.Announce {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.of(u)
	e.Upstream, e.limit = u, l
	if e.at.IsZero() {
		e.at = time.Now()
	}
	b.lease = lease
	return e.tell(lease)
}

func (e *beat) tell(lease time.Duration) *wire.Announce {
	e.calls++
	return &wire.Announce{
		Upstream: e.GetId(), Address: e.GetAddress(), Pools: []string{e.GetPool()}, MaxRunning: e.GetSlots(),
		Leaving: e.GetState() != wire.Upstream_STATE_SERVING, LeaseUs: lease.Microseconds(), Seq: e.calls, CanResume: true,
		Unreached: e.lost, Incarnation: strconv.FormatInt(e.GetBorn(), 10), Limit: e.limit,
	}
}

// limit sets the limit of an upstream and returns what the scheduler has to be told, with
// the rest of the lease; nil where it does not know the upstream.
func (b *beats) limit(now time.Time, id string, l *wire.Limit) *wire.Announce {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.ups[id]
	if e == nil || e.Upstream == nil {
		return nil
	}
	e.limit = l
	return e.tell(b.left(now, e))
}

// left is the rest of an upstream's lease. The lock is held.
func (b *beats) left(now time.Time, e *beat) time.Duration {
	last := e.at
	if e.served.After(last) {
		last = e.served
	}
	return b.lease - now.Sub(last)
}

// served notes that an upstream answered and returns its data centre. It returns a
// new lease for one whose announcements stay away: servers may be cut off from
// control and still serve.
func (b *beats) served(now time.Time, id string) (string, *wire.Announce) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.ups[id]
	if e == nil || e.Upstream == nil {
		return "", nil
	}
	e.served = now
	if now.Sub(e.at) < b.lease/2 {
		return e.GetDataCentre(), nil
	}
	return e.GetDataCentre(), e.tell(b.lease / 2)
}

// lose takes the list of data centres that seem cut off and returns what the
// scheduler has to be told, with the rest of each lease.
func (b *beats) lose(now time.Time, centres []string) []*wire.Announce {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*wire.Announce
	for _, e := range b.ups {
		if e.Upstream == nil {
			continue
		}
		lost := slices.Contains(centres, e.GetDataCentre())
		if left := b.left(now, e); lost != e.lost && left > 0 {
			e.lost = lost
			list = append(list, e.tell(left))
		}
	}
	return list
}

// silent lists the upstreams that were neither heard nor seen to serve for a
// lease, and forgets those that are gone.
func (b *beats) silent(now time.Time, limit time.Duration) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []string
	for id, e := range b.ups {
		if e.GetState() == wire.Upstream_STATE_GONE && now.Sub(e.at) > goneKeep {
			delete(b.ups, id)
			continue
		}
		if now.Sub(e.at) > limit && now.Sub(e.served) > limit && e.GetState() != wire.Upstream_STATE_GONE {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// goneKeep is how long the sequence of an upstream that is gone is remembered;
// its late announcements come some seconds late.
const goneKeep = time.Minute
