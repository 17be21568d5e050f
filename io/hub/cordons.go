package hub

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"azurelane/core/cordon"
	"azurelane/core/wire"
)

type (
	// cordons holds the cordons that this replica knows of and measures, by its steady clock, when they
	// expire. The zero value is ready.
	cordons struct {
		update   sync.Mutex // Held by updateCordons, so that an older state never replaces a newer one.
		mu       sync.Mutex
		revision uint64 // Of the list in byID.
		loaded   bool   // A list of the log was loaded.
		byID     map[string]timedCordon
		change   signal
	}

	timedCordon struct {
		*wire.Cordon
		until time.Time
	}
)

// load takes the list of the log, with the log's time. A list that entries reported stays if it is newer:
// the log of a replica that is cut off may lack the last changes. The log of a leader lacks none.
func (c *cordons) load(now time.Time, list []*wire.Cordon, revision uint64, clockUs int64, leads bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loaded && (revision == c.revision || (revision < c.revision && !leads)) {
		return
	}
	c.loaded = true
	c.replace(revision, list, func(n *wire.Cordon) time.Time { return now.Add(micros(n.GetExpiresUs() - clockUs)) })
}

// merge takes the list that an entry reports if it is newer.
func (c *cordons) merge(now time.Time, l *wire.Cordons) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.GetRevision() > c.revision {
		c.replace(l.GetRevision(), l.GetCordons(), func(n *wire.Cordon) time.Time { return now.Add(micros(n.GetLeftUs())) })
	}
}

// replace replaces the list. A cordon that was known before expires at the earlier of both times: the log's
// time and the reports of entries are never ahead. c.mu must be held.
func (c *cordons) replace(revision uint64, list []*wire.Cordon, until func(*wire.Cordon) time.Time) {
	before := c.byID
	c.revision, c.byID = revision, make(map[string]timedCordon, len(list))
	for _, n := range list {
		t := timedCordon{n, until(n)}
		if old, ok := before[n.GetUpstream()]; ok && old.GetOrder() == n.GetOrder() && old.until.Before(t.until) {
			t.until = old.until
		}
		c.byID[n.GetUpstream()] = t
	}
	c.change.broadcast()
}

// inForce returns the cordons that have not expired, by upstream, with the time left.
func (c *cordons) inForce(now time.Time) map[string]*wire.Cordon {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[string]*wire.Cordon, len(c.byID))
	for id, t := range c.byID {
		if left := t.until.Sub(now); left > 0 {
			n := proto.CloneOf(t.Cordon)
			n.ExpiresUs, n.LeftUs = 0, left.Microseconds()
			all[id] = n
		}
	}
	return all
}

// since returns the cordons in force, or nil if the entry has them from this scheduler. Expiry doesn't
// change the revision: entries measure the time left themselves.
func (c *cordons) since(now time.Time, revision uint64, newScheduler bool) *wire.Cordons {
	c.mu.Lock()
	current := c.revision
	c.mu.Unlock()
	if current <= revision && !newScheduler {
		return nil
	}
	all := c.inForce(now)
	list := &wire.Cordons{Revision: current}
	for _, id := range slices.Sorted(maps.Keys(all)) {
		list.Cordons = append(list.Cordons, all[id])
	}
	return list
}

// changed returns a channel that is closed when the list next changes.
func (c *cordons) changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.change.wait()
}

// updateCordons takes the cordons of the log, on any replica, and has the scheduler respect those in force.
// The scheduler is nil where this replica does not schedule.
func (h *Hub) updateCordons(s *scheduler) {
	h.cordons.update.Lock()
	defer h.cordons.update.Unlock()
	now := time.Now()
	list, revision, clockUs := h.Replica.Cordons()
	h.cordons.load(now, list, revision, clockUs, s != nil && s.scope == scopeDeployment)
	if s == nil {
		return
	}
	ids := map[string]bool{}
	for id := range h.cordons.inForce(now) {
		ids[id] = true
	}
	for _, a := range s.upstreams.setCordoned(now, ids) {
		h.Log.Info("Cordon of an upstream changed.", "upstream", a.GetUpstream(), "pool", a.GetPools()[0], "cordoned", ids[a.GetUpstream()], "scheduler", s.id)
		s.announce(a)
	}
}

// mergeCordons takes the cordons that an entry reports to a scheduler of a data centre that is cut off. The
// log of a leader lacks none.
func (h *Hub) mergeCordons(s *scheduler, l *wire.Cordons) {
	if s.scope == scopeDataCentre && l != nil {
		h.cordons.merge(time.Now(), l)
		h.updateCordons(s)
	}
}

// handleCordon puts an operator's order about a cordon into the log, at the leader. Once it is acknowledged,
// the scheduler respects it.
func (h *Hub) handleCordon(ctx context.Context, c *wire.Command) (*wire.Frame, error) {
	s := h.leaderScheduler()
	if s == nil {
		return nil, h.notLeaderFault()
	}
	c = proto.CloneOf(c)
	author, id, length := c.GetLiftCordon().GetAuthor(), c.GetLiftCordon().GetUpstream(), time.Duration(0)
	if o := c.GetOrderCordon(); o != nil {
		o.AtMs, o.Unavailable = time.Now().UnixMilli(), s.upstreams.unavailable(h.Replica.Upstream(o.GetUpstream()).GetPool())
		author, id, length = o.GetAuthor(), o.GetUpstream(), micros(o.GetLengthUs())
	}
	res, err := h.Replica.Propose(ctx, c)
	h.Log.Info("Cordon ordered or lifted.", "upstream", id, "author", author, "lifted", c.GetLiftCordon() != nil, "length", length.String(),
		"force", c.GetOrderCordon().GetForce(), "reason", c.GetOrderCordon().GetReason(), "order", c.GetId(), "code", res.GetCode(), "text", res.GetText(), "err", errText(err))
	if err != nil {
		return nil, err
	}
	if res.GetCode() == cordon.OK {
		h.updateCordons(s)
	}
	return resultFrame(res)
}

// readUpstreams reads the upstreams on the leader. The barrier proves that a quorum still follows it; see
// readPublication.
func (h *Hub) readUpstreams(ctx context.Context, q *wire.UpstreamsQuery) (*wire.Frame, error) {
	if _, err := h.Replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Barrier{Barrier: &wire.Barrier{}}}); err != nil {
		return nil, err
	}
	s := h.leaderScheduler()
	if s == nil {
		return nil, h.notLeaderFault()
	}
	h.updateCordons(s)
	cordoned := h.cordons.inForce(time.Now())
	list, _, _ := h.Replica.Roster(0)
	held := s.slotsByUpstream()
	out := &wire.Upstreams{}
	for _, u := range list {
		st := s.upstreams.status(u)
		st.Cordon = cordoned[u.GetId()]
		if h.feed.isScheduled(u.GetPool()) {
			st.Running = proto.Int64(held[u.GetId()])
		}
		delete(cordoned, u.GetId())
		out.Upstreams = append(out.Upstreams, st)
	}
	for id, n := range cordoned { // Of upstreams that are gone, and may come back.
		out.Upstreams = append(out.Upstreams, &wire.UpstreamStatus{
			Upstream: &wire.Upstream{Id: id, Pool: n.GetPool(), State: wire.Upstream_STATE_GONE}, Cordon: n,
		})
	}
	out.Upstreams = slices.DeleteFunc(out.GetUpstreams(), func(st *wire.UpstreamStatus) bool {
		return (q.GetPool() != "" && st.GetUpstream().GetPool() != q.GetPool()) || (q.GetCordoned() && st.GetCordon() == nil)
	})
	slices.SortFunc(out.GetUpstreams(), func(a, b *wire.UpstreamStatus) int {
		return cmp.Or(cmp.Compare(a.GetUpstream().GetPool(), b.GetUpstream().GetPool()), cmp.Compare(a.GetUpstream().GetId(), b.GetUpstream().GetId()))
	})
	return &wire.Frame{Body: &wire.Frame_Upstreams{Upstreams: out}}, nil
}

// setCordoned takes which upstreams have a cordon. It returns an announcement, with the rest of the lease,
// for each known upstream for which that has changed.
func (t *upstreamTable) setCordoned(now time.Time, ids map[string]bool) []*wire.Announce {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.cordoned
	t.cordoned = ids
	var list []*wire.Announce
	for id, st := range t.byID {
		if st.cordoned = ids[id]; st.Upstream != nil && ids[id] != before[id] {
			list = append(list, st.announcement(t.remainingLease(now, st)))
		}
	}
	return list
}

// unavailable lists the upstreams of a pool that get no requests now although the roster says that they serve.
func (t *upstreamTable) unavailable(pool string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for id, st := range t.byID {
		if st.GetPool() == pool && (st.GetState() != wire.Upstream_STATE_SERVING || st.standing.held || st.unreached || slices.Contains(t.silent, id)) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// status returns what the scheduler knows of an upstream of the roster.
func (t *upstreamTable) status(u *wire.Upstream) *wire.UpstreamStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := &wire.UpstreamStatus{Upstream: u, Silent: slices.Contains(t.silent, u.GetId())}
	if st := t.byID[u.GetId()]; st != nil {
		out.Held, out.Unreached = st.standing.held, st.unreached
	}
	return out
}
