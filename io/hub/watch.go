package hub

import (
	"context"
	"slices"
	"sync"
	"time"

	"azurelane/core/wire"
)

const (
	// entryTimeout is the silence after which an entry's slots are freed. A live entry polls
	// again when the wait of its poll ends, which takes at most 2 s.
	entryTimeout = 6 * time.Second
	// silentEntryRetention is how long a silent entry still counts among the entries that share
	// the limits: it may be cut off and still serve.
	silentEntryRetention = 30 * time.Second
	// leadershipCheckInterval is how often a poll at a leader that does not schedule yet checks
	// whether it still leads.
	leadershipCheckInterval = 50 * time.Millisecond
)

type (
	// watchers tracks the entries that poll for news. The zero value is ready.
	watchers struct {
		mu           sync.Mutex
		byNode       map[string]*watcher
		byDataCentre map[string]int64 // Number of entries.
	}

	// watcher is one polling entry.
	watcher struct {
		incarnation string
		dataCentre  string
		lastSeen    time.Time
		tunnel      string    // Where it passes connections of other entries on; empty if it does not.
		noPathUntil time.Time // It reaches no upstream, as far as known.
		// pathDoubtUntil is when it no longer counts as one that may reach no upstream.
		pathDoubtUntil time.Time
		rosterDue      time.Time // When it gets the whole roster; zero until it has asked.
		// plainChanges is the number of changes, so far, of the upstreams whose requests entries place,
		// as of the last news that listed them.
		plainChanges uint64
		expired      bool // Its slots were freed.
	}
)

// handleWatch answers a long poll: as soon as there is news that the entry does not have, or
// else when its wait ends.
func (h *Hub) handleWatch(ctx context.Context, w *wire.Watch) (*wire.News, error) {
	if w.GetRelay() {
		return h.handleRelay(ctx, w)
	}
	end := time.NewTimer(time.Duration(w.GetWaitUs()) * time.Microsecond)
	defer end.Stop()
	if changed, err := h.delayRoster(ctx, w, end); err != nil || changed {
		return h.plainNews(ctx, w, end, err)
	}
	for woken := false; ; woken = true {
		changed := h.feed.changed()
		s, err := h.awaitScheduler(ctx, w, end)
		if err != nil {
			return nil, err
		}
		if old := h.watchers.markAlive(w, time.Now()); old != "" {
			s.forgetEntry(old)
		}
		s.registerEntry(w, h.entriesHere(s))
		s.origins.streams.Merge(time.Now(), w.GetOrigins())
		h.mergeCrashes(s, w.GetCrashes())
		h.applyLimits(s, w.GetLimits())
		h.applyBrittle(s, w.GetBrittle())
		h.applyLeaving(s, w.GetLeaving())
		h.mergeCordons(s, w.GetCordons())
		cordonsChanged := h.cordons.changed()
		reachChanged, bansChanged, limitsChanged, splitsChanged, brittleChanged, mixedChanged := s.reachability.changed(), s.bans.changed(), s.limits.changed(), s.rollouts.changed(), s.brittle.changed(), s.origins.changed()
		n, fresh, err := h.news(s, w)
		if err != nil || fresh || woken {
			return n, err
		}
		delay := newsBatchDelay
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-end.C:
			n, _, err = h.news(s, w) // Read again, because the news from before the wait is outdated.
			return n, err
		case <-changed:
			if h.scheduler() == s {
				delay = newsDelay(w.GetNode(), h.entriesHere(s))
			}
		case <-reachChanged:
		case <-bansChanged:
			delay = newsDelay(w.GetNode(), h.entriesHere(s))
		case <-limitsChanged:
		case <-splitsChanged:
		case <-brittleChanged:
		case <-mixedChanged:
		case <-cordonsChanged:
			delay = newsDelay(w.GetNode(), h.entriesHere(s))
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(delay):
		}
	}
}

// delayRoster waits if the entry has the configuration and not the whole roster. After a stop of
// everything all entries ask for it at once, and the answers would hold up the leader's heartbeats. It
// reports whether upstreams have changed meanwhile that the entry needs to know of at once.
func (h *Hub) delayRoster(ctx context.Context, w *wire.Watch, end *time.Timer) (plain bool, err error) {
	if w.GetRevision() > 0 || w.GetVersion() == 0 || w.GetLeader() == "" || h.Replica.RosterRevision() == 0 {
		return false, nil
	}
	due := h.watchers.rosterDue(w, time.Now())
	for {
		woken := h.feed.changed()
		if _, changes := h.feed.listUnscheduled(h.Replica); h.watchers.plainChanged(w, changes) {
			return true, nil
		}
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-end.C:
			end.Reset(0)
			return false, nil
		case <-time.After(time.Until(due)):
			return false, nil
		case <-woken:
		}
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-time.After(newsDelay(w.GetNode(), h.watchers.count())):
		}
	}
}

// plainNews returns the news for an entry that still waits for the whole roster: of upstreams, those
// whose requests it places itself.
func (h *Hub) plainNews(ctx context.Context, w *wire.Watch, end *time.Timer, err error) (*wire.News, error) {
	if err != nil {
		return nil, err
	}
	s, err := h.awaitScheduler(ctx, w, end)
	if err != nil {
		return nil, err
	}
	n, _, err := h.news(s, w)
	if err != nil {
		return nil, err
	}
	h.addPlain(w, n)
	n.Base, n.Revision = nil, 0
	return n, nil
}

// addPlain sets the roster to the upstreams whose requests entries place.
func (h *Hub) addPlain(w *wire.Watch, n *wire.News) {
	list, changes := h.feed.listUnscheduled(h.Replica)
	n.Roster, n.Whole = list, true
	h.watchers.setPlainChanges(w, changes)
}

// awaitScheduler returns the scheduler for an entry. At a leader that does not schedule yet it waits
// for one: an entry that was sent away would ask who leads, and be back at once.
func (h *Hub) awaitScheduler(ctx context.Context, w *wire.Watch, end *time.Timer) (*scheduler, error) {
	for {
		changed := h.feed.changed()
		s := h.scheduler()
		switch {
		case s != nil && h.serves(s, w):
			return s, nil
		case s != nil || !h.Replica.Leads():
			return nil, h.notLeaderFault()
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-end.C:
			return nil, h.notLeaderFault()
		case <-changed:
		case <-time.After(leadershipCheckInterval):
		}
	}
}

// entriesHere returns how many entries a scheduler may serve. A scheduler of one data centre
// counts only the entries there: if this replica led before the cut, it has heard entries
// elsewhere too.
func (h *Hub) entriesHere(s *scheduler) int64 {
	if s.scope == scopeDataCentre {
		return h.watchers.countIn(h.DataCentre)
	}
	return h.watchers.count()
}

// news returns the current state for an entry, and whether any of it is news that the entry needs at
// once.
func (h *Hub) news(s *scheduler, w *wire.Watch) (*wire.News, bool, error) {
	n := &wire.News{Leader: s.id, Term: s.term, Entries: s.entryCount(h.entriesHere(s))}
	_, all, _ := h.Replica.Group()
	for _, p := range all {
		n.Replicas = append(n.Replicas, p.GetAddress())
	}
	s.upstreams.mu.Lock()
	n.Silent = s.upstreams.silent
	s.upstreams.mu.Unlock()
	n.Unreached = s.reachability.list()
	known := w.GetBans()
	if w.GetLeader() != s.id {
		known = 0 // Revisions of another scheduler can't be compared.
	}
	n.Bans = s.bans.since(known)
	n.Cordons = h.cordons.since(time.Now(), w.GetCordonRevision(), w.GetLeader() != s.id)
	n.Ticketed, n.Deferring = s.ticketedPools()
	n.LiveSpeed = s.liveSpeedPools()
	n.Mixed = s.origins.mixedPools()
	n.Limits = s.limits.listFor(time.Now(), w.GetNode(), func() ([]string, bool) { return h.limitSharers(s) })
	var doc []byte
	n.Version, doc = h.Replica.Publication()
	if err := h.addDocument(w, n, doc); err != nil {
		return nil, false, err
	}
	if err := h.addRoster(w, n); err != nil {
		return nil, false, err
	}
	h.refreshRollouts(s) // After the roster was read.
	n.Rollouts = s.rollouts.inForce(s.id)
	fresh := n.GetDocument() != nil || n.GetBans() != nil || n.GetCordons() != nil || n.GetRollouts().GetPhaseRevision() != w.GetSplits() || (n.GetRevision() != w.GetRevision() && h.feed.urgent(n.GetRoster(), n.GetWhole())) || w.GetLeader() != s.id
	return n, fresh, nil
}

// addRoster adds what the entry lacks of the roster. An entry that has nothing of it must not make
// this replica list all upstreams: after a stop of everything all entries ask at once.
func (h *Hub) addRoster(w *wire.Watch, n *wire.News) error {
	switch {
	case w.GetRevision() > h.Replica.RosterRevision():
		n.Revision = h.Replica.RosterRevision() // This replica is behind.
		return nil
	case w.GetRevision() > 0:
		n.Roster, n.Whole, n.Revision = h.Replica.Roster(w.GetRevision())
		if !n.GetWhole() {
			return nil
		}
	case h.Replica.RosterRevision() == 0:
		n.Whole = true
		return nil
	case n.GetDocument() != nil:
		// The entry has just started. It serves as soon as it has the configuration and the
		// upstreams of pools whose requests it places, and polls for the rest; see handleWatch.
		h.addPlain(w, n)
		return nil
	}
	return h.packed.addRoster(h.Replica, n)
}

// limitSharers returns the entries that share the limits of upstreams, and whether all of them
// are known. A scheduler of a data centre that is cut off does not wait for entries elsewhere:
// otherwise its upstreams would get no requests when none of its entries holds a share.
func (h *Hub) limitSharers(s *scheduler) (nodes []string, all bool) {
	nodes = h.watchers.nodes(s.dataCentre(h.DataCentre))
	here := int64(len(nodes))
	return nodes, s.scope == scopeDataCentre || here >= s.entryCount(here)
}

// checkReachability updates which data centres are reachable. Upstreams of an unreachable data
// centre get only an occasional request that probes them.
func (h *Hub) checkReachability(s *scheduler) {
	if s.scope != scopeDeployment {
		return
	}
	now := time.Now()
	_, _, peers := h.Replica.Group()
	if !s.reachability.update(now, peers) {
		return
	}
	list := s.reachability.list()
	h.Log.Info("Unreachable data centres changed.", "data-centres", list)
	for _, a := range s.upstreams.setUnreached(now, list) {
		s.announce(a)
	}
	s.setSilentEntries(now, h.watchers.silent(now, list))
}

// sweep checks for upstreams and entries that have fallen silent, drops the limits of upstreams
// that are gone, and logs speeds and shares of rates.
func (h *Hub) sweep(s *scheduler) {
	now := time.Now()
	silent := s.upstreams.findSilent(now, leaseIntervals*h.AnnounceInterval+h.AnnounceInterval/2)
	s.upstreams.mu.Lock()
	changed := !slices.Equal(silent, s.upstreams.silent)
	s.upstreams.silent = silent
	s.upstreams.mu.Unlock()
	if changed {
		h.Log.Info("Silent upstreams changed.", "upstreams", silent)
	}
	s.setSilentEntries(now, h.watchers.silent(now, s.reachability.list()))
	h.watchers.forget(now)
	s.reserveForUnseen(now, h.watchers.count())
	s.logSpeeds(now)
	s.logRateShares(now)
	s.logAccountUsage(now)
	known := func(id string) bool {
		u := h.Replica.Upstream(id)
		return u != nil && u.GetState() != wire.Upstream_STATE_GONE
	}
	s.limits.retain(known)
	s.leaving.forget(now, known)
	s.origins.sweep(now)
	s.bans.expire(now)
	h.announceBrittle(s, nil, s.brittle.retain(func(id string) bool { return known(id) && s.upstreams.heardSince(id, now.Add(-brittleRetention)) }))
	for _, inc := range h.watchers.expire(now) {
		h.Log.Info("Entry timed out; its slots are freed.", "incarnation", inc)
		s.sched.Forget(inc)
		s.rollouts.forget(inc)
	}
}

// markAlive records a poll of an entry. If the entry has restarted, markAlive returns its former
// incarnation, whose slots can be freed.
func (ws *watchers) markAlive(w *wire.Watch, now time.Time) string {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if ws.byNode == nil {
		ws.byNode, ws.byDataCentre = map[string]*watcher{}, map[string]int64{}
	}
	e := ws.byNode[w.GetNode()]
	old := ""
	if e != nil && e.incarnation != w.GetIncarnation() {
		old = e.incarnation
	}
	if e != nil {
		ws.byDataCentre[e.dataCentre]--
	}
	ws.byDataCentre[w.GetDataCentre()]++
	next := &watcher{incarnation: w.GetIncarnation(), dataCentre: w.GetDataCentre(), lastSeen: now, tunnel: w.GetTunnel()}
	if e != nil {
		next.noPathUntil, next.pathDoubtUntil = e.noPathUntil, e.pathDoubtUntil
	}
	if e != nil && old == "" {
		next.rosterDue, next.plainChanges = e.rosterDue, e.plainChanges
	}
	ws.byNode[w.GetNode()] = next
	return old
}

// rosterDue returns when an entry that has just started gets the whole roster.
func (ws *watchers) rosterDue(w *wire.Watch, now time.Time) time.Time {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	e := ws.byNode[w.GetNode()]
	if e == nil {
		return now.Add(rosterDelay(w.GetNode()))
	}
	if e.rosterDue.IsZero() {
		e.rosterDue = now.Add(rosterDelay(w.GetNode()))
	}
	return e.rosterDue
}

// plainChanged reports whether the upstreams whose requests entries place have changed since an entry's
// last news listed them.
func (ws *watchers) plainChanged(w *wire.Watch, changes uint64) bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	e := ws.byNode[w.GetNode()]
	return e != nil && e.incarnation == w.GetIncarnation() && e.plainChanges != changes
}

func (ws *watchers) setPlainChanges(w *wire.Watch, changes uint64) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if e := ws.byNode[w.GetNode()]; e != nil {
		e.plainChanges = changes
	}
}

// forget drops entries that were silent for longer than silentEntryRetention.
func (ws *watchers) forget(now time.Time) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for node, e := range ws.byNode {
		if now.Sub(e.lastSeen) > silentEntryRetention {
			delete(ws.byNode, node)
			ws.byDataCentre[e.dataCentre]--
		}
	}
}

// count returns how many entries share the limits. Each poll asks for it, so it doesn't look at
// the entries one by one.
func (ws *watchers) count() int64 {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return int64(len(ws.byNode))
}

// nodes lists the entries that share the limits, in one data centre or, if dataCentre is empty,
// in all.
func (ws *watchers) nodes(dataCentre string) []string {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	var list []string
	for node, e := range ws.byNode {
		if dataCentre == "" || e.dataCentre == dataCentre {
			list = append(list, node)
		}
	}
	return list
}

// countIn returns how many entries of one data centre share the limits.
func (ws *watchers) countIn(dataCentre string) int64 {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.byDataCentre[dataCentre]
}

// silent lists the incarnations that may be cut off and still serve: they were silent for
// entrySilentAfter, or their data centre is unreached.
func (ws *watchers) silent(now time.Time, unreached []string) []string {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	var list []string
	for _, e := range ws.byNode {
		d := now.Sub(e.lastSeen)
		if d <= silentEntryRetention && (d > entrySilentAfter || slices.Contains(unreached, e.dataCentre)) {
			list = append(list, e.incarnation)
		}
	}
	slices.Sort(list)
	return list
}

// expire lists the incarnations that have reached entryTimeout since the last call.
func (ws *watchers) expire(now time.Time) []string {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	var list []string
	for _, e := range ws.byNode {
		if !e.expired && now.Sub(e.lastSeen) > entryTimeout {
			e.expired = true
			list = append(list, e.incarnation)
		}
	}
	return list
}
