package hub

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"azurelane/core/wire"
)

const (
	// gather is how long news waits for more of its kind, so that a storm of
	// changes does not send each entry every one of them.
	gather = 15 * time.Millisecond
	// entryGone is how long an entry is silent before its slots are freed. An
	// entry that watches asks again at least every wait of its own.
	entryGone = 6 * time.Second
	// countFor is how long an entry that fell silent still counts as one that
	// shares the limits of all: it may go on behind a cut.
	countFor = 30 * time.Second
)

type (
	// watchers are the entries that ask for news. The zero value is ready.
	watchers struct {
		mu     sync.Mutex
		byNode map[string]*watcher
	}

	watcher struct {
		incarnation string
		dataCentre  string
		seen        time.Time
		forgotten   bool
	}

	// pack keeps the newest document in the form in which it is sent.
	pack struct {
		mu      sync.Mutex
		version uint64
		data    []byte
	}
)

// watch answers when there is something that the asker doesn't know.
func (h *Hub) watch(ctx context.Context, w *wire.Watch) (*wire.News, error) {
	end := time.NewTimer(time.Duration(w.GetWaitUs()) * time.Microsecond)
	defer end.Stop()
	for stirred := false; ; stirred = true {
		changed := h.Replica.Changed()
		r := h.scheduler()
		if r == nil || !h.serves(r, w) {
			return nil, h.moved()
		}
		if old := h.watchers.note(w, time.Now()); old != "" {
			r.forget(old)
		}
		r.join(w, h.here(r))
		r.bans.take(h.Log, w.GetCrashes())
		h.limit(r, w.GetLimits())
		lost, banned, limited := r.reach.changed(), r.bans.changed(), r.limits.changed()
		n, fresh, err := h.news(r, w)
		if err != nil || fresh || stirred {
			return n, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-end.C:
			n, _, err = h.news(r, w) // What was found when it asked is as old as the wait.
			return n, err
		case <-changed:
		case <-lost:
		case <-banned:
		case <-limited:
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(gather):
		}
	}
}

// here is how many entries a scheduler may serve. One of a data centre may have led
// before, and has heard those of all others then.
func (h *Hub) here(r *reign) int64 {
	if r.scope == centre {
		return h.watchers.countIn(time.Now(), h.DataCentre)
	}
	return h.watchers.count(time.Now())
}

// news is what there is to tell, and whether any of it is new.
func (h *Hub) news(r *reign, w *wire.Watch) (*wire.News, bool, error) {
	n := &wire.News{Leader: r.id, Entries: r.entries(h.here(r))}
	_, all, _ := h.Replica.Group()
	for _, p := range all {
		n.Replicas = append(n.Replicas, p.GetAddress())
	}
	r.beats.mu.Lock()
	n.Silent = r.beats.quiet
	r.beats.mu.Unlock()
	n.Unreached = r.reach.list()
	known := w.GetBans()
	if w.GetLeader() != r.id {
		known = 0 // Revisions count at each scheduler anew.
	}
	n.Bans = r.bans.since(known)
	n.Limits = r.limits.list(time.Now(), w.GetNode(), func() ([]string, bool) { return h.sharers(r) })
	var doc []byte
	n.Version, doc = h.Replica.Publication()
	if n.GetVersion() > w.GetVersion() {
		data, err := h.pack.compress(n.GetVersion(), doc)
		if err != nil {
			return nil, false, err
		}
		n.Document = data
	}
	n.Roster, n.Whole, n.Revision = h.Replica.Roster(w.GetRevision())
	fresh := n.GetDocument() != nil || n.GetBans() != nil || n.GetRevision() != w.GetRevision() || w.GetLeader() != r.id
	return n, fresh, nil
}

// sharers are the entries that share the limits of upstreams, and whether all are known. A
// scheduler of a data centre that is cut off does not wait for those elsewhere: else its
// upstreams would get nothing where none of its entries has a share.
func (h *Hub) sharers(r *reign) (nodes []string, all bool) {
	nodes = h.watchers.nodes(r.dataCentre(h.DataCentre))
	here := int64(len(nodes))
	return nodes, r.scope == centre || here >= r.entries(here)
}

// lookAround looks whether data centres are reached. While one is not, its upstreams
// get no more than a request now and then that tries them.
func (h *Hub) lookAround(r *reign) {
	if r.scope != deployment {
		return
	}
	now := time.Now()
	_, _, peers := h.Replica.Group()
	if !r.reach.look(now, peers) {
		return
	}
	list := r.reach.list()
	h.Log.Info("Data centres that seem cut off changed.", "data-centres", list)
	for _, a := range r.beats.lose(now, list) {
		r.sched.Announce(a)
	}
	r.miss(now, h.watchers.silent(now, list))
}

// sweep looks at what has gone silent.
func (h *Hub) sweep(r *reign) {
	now := time.Now()
	quiet := r.beats.silent(now, leaseBeats*h.AnnounceInterval+h.AnnounceInterval/2)
	r.beats.mu.Lock()
	changed := !slices.Equal(quiet, r.beats.quiet)
	r.beats.quiet = quiet
	r.beats.mu.Unlock()
	if changed {
		h.Log.Info("Silent upstreams changed.", "upstreams", quiet)
	}
	r.miss(now, h.watchers.silent(now, r.reach.list()))
	r.await(now, h.watchers.count(now))
	r.tellSpeeds(now)
	r.tellParts(now)
	r.limits.keep(func(id string) bool {
		u := h.Replica.Upstream(id)
		return u != nil && u.GetState() != wire.Upstream_STATE_GONE
	})
	for _, inc := range h.watchers.lost(now) {
		h.Log.Info("Entry lost.", "incarnation", inc)
		r.sched.Forget(inc)
	}
}

// note marks an entry as alive. It returns its former incarnation when the entry
// has restarted: what that one held is free.
func (s *watchers) note(w *wire.Watch, now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byNode == nil {
		s.byNode = map[string]*watcher{}
	}
	e := s.byNode[w.GetNode()]
	old := ""
	if e != nil && e.incarnation != w.GetIncarnation() {
		old = e.incarnation
	}
	s.byNode[w.GetNode()] = &watcher{incarnation: w.GetIncarnation(), dataCentre: w.GetDataCentre(), seen: now}
	return old
}

// count is the number of entries that share the limits of all.
func (s *watchers) count(now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := int64(0)
	for node, e := range s.byNode {
		if now.Sub(e.seen) > countFor {
			delete(s.byNode, node)
			continue
		}
		n++
	}
	return n
}

// nodes lists the entries that share the limits of all, of one data centre if it is named.
func (s *watchers) nodes(dataCentre string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for node, e := range s.byNode {
		if dataCentre == "" || e.dataCentre == dataCentre {
			list = append(list, node)
		}
	}
	return list
}

// countIn is the number of those in one data centre.
func (s *watchers) countIn(now time.Time, dataCentre string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := int64(0)
	for _, e := range s.byNode {
		if e.dataCentre == dataCentre && now.Sub(e.seen) <= countFor {
			n++
		}
	}
	return n
}

// silent lists the incarnations that were not heard for a while, or whose data centre
// seems cut off, and may go on behind a cut.
func (s *watchers) silent(now time.Time, lost []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, e := range s.byNode {
		d := now.Sub(e.seen)
		if d <= countFor && (d > absentAfter || slices.Contains(lost, e.dataCentre)) {
			list = append(list, e.incarnation)
		}
	}
	slices.Sort(list)
	return list
}

// lost lists the incarnations that have just been silent for too long.
func (s *watchers) lost(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, e := range s.byNode {
		if !e.forgotten && now.Sub(e.seen) > entryGone {
			e.forgotten = true
			list = append(list, e.incarnation)
		}
	}
	return list
}

// compress makes a document small once for all entries: with hundreds of routes
// it is some hundred KB, and crosses to dozens of entries.
func (p *pack) compress(version uint64, doc []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version == version {
		return p.data, nil
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(doc)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("hub: compress document: %w", err)
	}
	p.version, p.data = version, buf.Bytes()
	return p.data, nil
}
