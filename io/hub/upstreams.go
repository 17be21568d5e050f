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
	// upstreamTable tracks the upstreams that a scheduler knows. Upstreams send reports to the
	// hub, and the hub passes the state of an upstream on to sched.Sched as an announcement. The
	// zero value is ready.
	upstreamTable struct {
		mu     sync.Mutex
		byID   map[string]*upstreamState
		silent []string      // Upstreams without a recent sign of life, sorted; see findSilent.
		lease  time.Duration // Lease that the last announcement gave.
		// cordoned has the upstreams that get no new requests by an operator's order, whether known here or not.
		cordoned map[string]bool
	}

	// upstreamState is the state of one upstream.
	upstreamState struct {
		*wire.Upstream
		seq         uint64 // Sequence number of the newest report.
		storedSeq   uint64 // Highest one of a report whose content the log holds.
		born        int64  // Start of the process, in Unix milliseconds.
		reportedAt  time.Time
		servedAt    time.Time // When it last completed a request.
		announceSeq uint64    // Sequence number of the last announcement to sched.Sched; it must grow.
		unreached   bool      // Its data centre seems cut off.
		drainsUntil time.Time // While it leaves: until then streams may go on there. Zero if it is not known for how long it leaves.
		limit       *wire.Limit
		standing    standing
		cordoned    bool
	}
)

// Report takes an upstream's report at any replica and forwards it to the leader. If the report
// changes the roster, Report returns once a quorum has stored the change.
func (h *Hub) Report(ctx context.Context, r *wire.Report) error {
	if s := h.scheduler(); s != nil && s.scope == scopeDataCentre && h.reportCutOff(s, r) {
		return nil
	}
	if h.reportUnchanged(ctx, r) {
		return nil
	}
	_, err := h.LeaderClient.Ask(ctx, func() *wire.Frame { return &wire.Frame{Body: &wire.Frame_Report{Report: r}} })
	if err != nil {
		return fmt.Errorf("hub: report: %w", err)
	}
	return nil
}

// handleReport handles an upstream's report on the leader. It returns nil only if the log holds what the report says, or
// a later state of the upstream.
func (h *Hub) handleReport(ctx context.Context, rep *wire.Report) error {
	s := h.leaderScheduler()
	if s == nil {
		return h.notLeaderFault()
	}
	u := rep.GetUpstream()
	known := h.Replica.Upstream(u.GetId())
	restarted := roster.Restarted(known, u)
	switch {
	case roster.Stale(known, u):
		h.logAcknowledged(s, rep, "of an earlier incarnation")
		return nil
	case known.GetState() == wire.Upstream_STATE_GONE && !restarted:
		h.logAcknowledged(s, rep, "gone before")
		return nil
	}
	if restarted {
		s.limits.drop(u.GetId())
	}
	order := newestReport
	if rep.GetDeregister() {
		u = departed(u, known)
	} else {
		order = s.upstreams.recordReport(time.Now(), u, rep.GetSeq())
	}
	why, differs := storedBefore, !roster.Unchanged(known, u) && known.GetState() <= u.GetState()
	switch {
	case supersedes(known, u) || (differs && order >= sameReport):
		if err := h.enroll(ctx, s, rep, u); err != nil {
			return err
		}
		why = storedNow
		known = h.Replica.Upstream(u.GetId())
	case differs && order == supersededReport:
		return &wire.Fault{Code: codeUnready, Text: "hub: a later report is not stored yet"}
	}
	if !rep.GetDeregister() {
		s.upstreams.recordStored(u, rep.GetSeq())
	}
	if known.GetPool() != "" && (order == newestReport || why == storedNow) {
		h.announce(s, known, leaseIntervals)
	}
	s.bans.settle(h.Log, s.upstreams.replaced)
	h.logAcknowledged(s, rep, why)
	return nil
}

// Why a report is acknowledged, in logs.
const (
	storedBefore = "stored before"
	storedNow    = "stored now"
)

// departed returns the roster entry of an upstream that is gone. The entry of one that is not known keeps late reports of
// it from adding it.
func departed(u, known *wire.Upstream) *wire.Upstream {
	gone := &wire.Upstream{Id: u.GetId()}
	if known != nil {
		gone = proto.CloneOf(known)
	}
	gone.State, gone.Born = wire.Upstream_STATE_GONE, max(u.GetBorn(), known.GetBorn())
	return gone
}

// supersedes reports whether a report says more than the roster whatever other reports came, as an upstream never goes
// back to an earlier state or incarnation.
func supersedes(known, u *wire.Upstream) bool {
	return known == nil || roster.Restarted(known, u) || known.GetState() < u.GetState()
}

// enroll stores an upstream's report in the roster.
func (h *Hub) enroll(ctx context.Context, s *scheduler, rep *wire.Report, u *wire.Upstream) error {
	if _, err := h.Replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Enroll{Enroll: &wire.Enroll{Upstream: u}}}); err != nil {
		return fmt.Errorf("hub: enroll: %w", err)
	}
	h.refreshRollouts(s)
	h.Log.Info("Upstream changed.", "upstream", u.GetId(), "pool", u.GetPool(), "address", u.GetAddress(),
		"data-centre", u.GetDataCentre(), "state", u.GetState().String(), "sequence", rep.GetSeq(), "born", u.GetBorn(),
		"version", u.GetVersion(), "held", s.rollouts.standing(u).held)
	return nil
}

// logAcknowledged logs why a report that its upstream leaves is acknowledged. Other reports come too often.
func (h *Hub) logAcknowledged(s *scheduler, rep *wire.Report, why string) {
	u := rep.GetUpstream()
	if u.GetState() == wire.Upstream_STATE_SERVING && !rep.GetDeregister() {
		return
	}
	h.Log.Info("Leaving acknowledged.", "upstream", u.GetId(), "born", u.GetBorn(), "sequence", rep.GetSeq(), "deregister", rep.GetDeregister(),
		"why", why, "scheduler", s.id, "term", s.term)
}

// reportCutOff handles an upstream's report at a scheduler that is cut off with its data centre,
// and returns whether the report can be acknowledged here. A report that changes the roster can't
// be acknowledged, because the change can't be stored without a quorum. An upstream that leaves
// still gets no more requests.
func (h *Hub) reportCutOff(s *scheduler, rep *wire.Report) bool {
	u := rep.GetUpstream()
	known := h.Replica.Upstream(u.GetId())
	if known == nil || known.GetDataCentre() != h.DataCentre || roster.Stale(known, u) || rep.GetDeregister() {
		return false
	}
	if known.GetState() == wire.Upstream_STATE_GONE && !roster.Restarted(known, u) {
		return false
	}
	if s.upstreams.recordReport(time.Now(), u, rep.GetSeq()) < sameReport {
		return false
	}
	if roster.Unchanged(known, u) && !roster.Restarted(known, u) {
		h.announce(s, known, leaseIntervals)
		return true
	}
	if u.GetState() != wire.Upstream_STATE_SERVING {
		leaving := proto.CloneOf(known)
		leaving.State = u.GetState()
		h.announce(s, leaving, leaseIntervals)
	}
	return false
}

// announce announces an upstream to sched.Sched. The lease is the given number of report intervals
// and half an interval more.
func (h *Hub) announce(s *scheduler, u *wire.Upstream, intervals int) {
	s.origins.observe(time.Now(), s.leaving.apply(u))
	lease := time.Duration(intervals)*h.AnnounceInterval + h.AnnounceInterval/2
	if a := s.upstreams.announce(u, s.leaving.apply, s.limitFor(u.GetId()), lease, s.rollouts.standing(u), time.Duration(drainShare*float64(h.UpstreamDrain))); a != nil {
		s.announce(a)
	}
}

// drainShare is the part of an upstream's drain in which streams may go on there. The rest is for the
// way of its requests, and for their runs.
const drainShare = 0.6

// getOrCreate returns the state of an upstream. t.mu must be held.
func (t *upstreamTable) getOrCreate(u *wire.Upstream) *upstreamState {
	if t.byID == nil {
		t.byID = map[string]*upstreamState{}
	}
	st := t.byID[u.GetId()]
	if st == nil {
		st = &upstreamState{cordoned: t.cordoned[u.GetId()]}
		t.byID[u.GetId()] = st
	}
	return st
}

// reportOrder is how a report compares with others of its upstream that have come before.
type reportOrder int

const (
	supersededReport reportOrder = iota // A later one has come and is not stored.
	lateReport                          // A later one is stored.
	sameReport                          // It has come before, and none later.
	newestReport
)

// recordReport records that a report has come.
func (t *upstreamTable) recordReport(now time.Time, u *wire.Upstream, seq uint64) reportOrder {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.getOrCreate(u)
	if u.GetBorn() > st.born { // A restarted upstream numbers its reports from 1 again.
		st.seq, st.storedSeq, st.born = 0, 0, u.GetBorn()
	}
	switch {
	case u.GetBorn() > 0 && u.GetBorn() < st.born:
		return supersededReport
	case seq > st.seq || st.seq == 0:
		st.seq, st.reportedAt = seq, now
		return newestReport
	case seq == st.seq:
		return sameReport
	case seq <= st.storedSeq:
		return lateReport
	}
	return supersededReport
}

// recordStored records that the log holds what a report says.
func (t *upstreamTable) recordStored(u *wire.Upstream, seq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if st := t.byID[u.GetId()]; st != nil && u.GetBorn() >= st.born {
		st.storedSeq = max(st.storedSeq, seq)
	}
}

// announce records the roster entry of an upstream, as changed by apply, and returns the announcement for
// sched.Sched. It calls apply under t.mu: an entry that was read before its upstream said that it leaves
// must not be announced with a later sequence number than the leaving.
func (t *upstreamTable) announce(u *wire.Upstream, apply func(*wire.Upstream) *wire.Upstream, l *wire.Limit, lease time.Duration, v standing, drain time.Duration) *wire.Announce {
	t.mu.Lock()
	defer t.mu.Unlock()
	u = apply(u)
	st := t.getOrCreate(u)
	if st.Upstream != nil && st.GetState() == wire.Upstream_STATE_SERVING && u.GetState() == wire.Upstream_STATE_LEAVING {
		st.drainsUntil = time.Now().Add(drain)
	}
	st.Upstream, st.limit, st.standing = u, l, v
	if st.reportedAt.IsZero() {
		st.reportedAt = time.Now()
	}
	t.lease = lease
	return st.announcement(lease)
}

// announcement returns the next announcement of the upstream for sched.Sched.
func (st *upstreamState) announcement(lease time.Duration) *wire.Announce {
	st.announceSeq++
	return &wire.Announce{
		Upstream: st.GetId(), Address: st.GetAddress(), DataCentre: st.GetDataCentre(), Pools: []string{st.GetPool()}, MaxRunning: st.GetSlots(),
		Leaving: st.GetState() != wire.Upstream_STATE_SERVING || st.standing.held || st.cordoned, Version: st.standing.version, LeaseUs: lease.Microseconds(), Seq: st.announceSeq, CanResume: true,
		Unreached: st.unreached, Incarnation: strconv.FormatInt(st.GetBorn(), 10), Limit: st.limit, DrainsUs: st.drainLeft().Microseconds(),
	}
}

// drainLeft returns how long streams may still go on at an upstream that leaves.
func (st *upstreamState) drainLeft() time.Duration {
	if st.GetState() != wire.Upstream_STATE_LEAVING || st.standing.held || st.cordoned {
		return 0
	}
	return max(time.Until(st.drainsUntil), 0)
}

// setLimit sets the rate limit of an upstream and returns the announcement for sched.Sched, with
// the rest of the lease. It returns nil if the upstream is unknown.
func (t *upstreamTable) setLimit(now time.Time, id string, l *wire.Limit) *wire.Announce {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.byID[id]
	if st == nil || st.Upstream == nil {
		return nil
	}
	st.limit = l
	return st.announcement(t.remainingLease(now, st))
}

// remainingLease returns the rest of an upstream's lease. t.mu must be held.
func (t *upstreamTable) remainingLease(now time.Time, st *upstreamState) time.Duration {
	last := st.reportedAt
	if st.servedAt.After(last) {
		last = st.servedAt
	}
	return t.lease - now.Sub(last)
}

// markServed records that an upstream completed a request and returns its data centre. If the
// upstream has sent no report for half a lease, markServed also returns an announcement that
// extends the lease: an upstream that is cut off from the control replicas may still serve.
func (t *upstreamTable) markServed(now time.Time, id string) (string, *wire.Announce) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.byID[id]
	if st == nil || st.Upstream == nil {
		return "", nil
	}
	st.servedAt = now
	if now.Sub(st.reportedAt) < t.lease/2 {
		return st.GetDataCentre(), nil
	}
	return st.GetDataCentre(), st.announcement(t.lease / 2)
}

// setUnreached takes the data centres that seem cut off. It returns an announcement, with the
// rest of the lease, for each upstream whose reachability has changed. One without a lease is
// announced with its next report.
func (t *upstreamTable) setUnreached(now time.Time, dataCentres []string) []*wire.Announce {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*wire.Announce
	for _, st := range t.byID {
		if st.Upstream == nil {
			continue
		}
		unreached := slices.Contains(dataCentres, st.GetDataCentre())
		if unreached == st.unreached {
			continue
		}
		st.unreached = unreached
		if left := t.remainingLease(now, st); left > 0 {
			list = append(list, st.announcement(left))
		}
	}
	return list
}

// setStandings takes what a change of the rollouts means for each upstream. It returns an
// announcement, with the rest of the lease, for each upstream whose standing has changed.
func (t *upstreamTable) setStandings(now time.Time, of func(*wire.Upstream) standing) []*wire.Announce {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*wire.Announce
	for _, st := range t.byID {
		if st.Upstream == nil {
			continue
		}
		if v := of(st.Upstream); v != st.standing {
			st.standing = v
			list = append(list, st.announcement(t.remainingLease(now, st)))
		}
	}
	return list
}

// slotsByVersion sums the slots of a pool's upstreams that serve, are heard and have no cordon, by version.
func (t *upstreamTable) slotsByVersion(pool string) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	slots := map[string]int64{}
	for id, st := range t.byID {
		if st.GetPool() == pool && st.GetState() == wire.Upstream_STATE_SERVING && !st.cordoned && !slices.Contains(t.silent, id) {
			slots[st.standing.version] += st.GetSlots()
		}
	}
	return slots
}

// replaced reports whether another process has taken the place of an incarnation that had not said that it
// leaves: it has started again, or another upstream has its address.
func (t *upstreamTable) replaced(id string, born int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.byID[id]
	switch {
	case st == nil || st.Upstream == nil:
		return false
	case born > 0 && st.GetBorn() > born:
		return true
	case st.GetState() != wire.Upstream_STATE_SERVING:
		return false
	}
	for _, other := range t.byID {
		if other.Upstream != nil && other.GetAddress() == st.GetAddress() && other.GetRevision() > st.GetRevision() {
			return true
		}
	}
	return false
}

// findSilent lists the upstreams that have neither sent a report nor completed a request within
// timeout. It drops upstreams that have been gone for goneRetention.
func (t *upstreamTable) findSilent(now time.Time, timeout time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for id, st := range t.byID {
		if st.GetState() == wire.Upstream_STATE_GONE && now.Sub(st.reportedAt) > goneRetention {
			delete(t.byID, id)
			continue
		}
		if now.Sub(st.reportedAt) > timeout && now.Sub(st.servedAt) > timeout && st.GetState() != wire.Upstream_STATE_GONE {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// goneRetention is how long the sequence number of an upstream that is gone is kept. The last
// reports of such an upstream may arrive some seconds late and must not count as new.
const goneRetention = time.Minute

// announceIf returns an announcement, with the rest of the lease, for each upstream that is selected.
func (t *upstreamTable) announceIf(now time.Time, selected func(*wire.Upstream) bool) []*wire.Announce {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*wire.Announce
	for _, st := range t.byID {
		if st.Upstream == nil || !selected(st.Upstream) {
			continue
		}
		if left := t.remainingLease(now, st); left > 0 {
			list = append(list, st.announcement(left))
		}
	}
	return list
}

// poolOf returns the pool of an upstream, or an empty string if it is unknown.
func (t *upstreamTable) poolOf(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.byID[id]
	if st == nil {
		return ""
	}
	return st.GetPool()
}

// heardSince reports whether an upstream has sent a report or completed a request since a time.
func (t *upstreamTable) heardSince(id string, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.byID[id]
	return st != nil && (st.reportedAt.After(at) || st.servedAt.After(at))
}
