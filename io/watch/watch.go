// Package watch keeps an entry up to date with control. By long polls at the leading control
// replica it receives the configuration, the roster of upstreams, cordons, bans and limits. Two
// other replicas pass on the configuration and the roster. What an entry knows of both only moves
// forward, whichever replica sends it.
package watch

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"azurelane/core/conf"
	"azurelane/core/index"
	"azurelane/core/wire"
)

const (
	// pollWait is the wait of a long poll: the longest time that the leader may hold its answer
	// back. It also serves as a heartbeat: the poll shows that the entry is alive, the answer that
	// the leader still leads.
	pollWait = 2 * time.Second
	// pollTimeout exceeds pollWait by the delay that a slow VM may add.
	pollTimeout = pollWait + 800*time.Millisecond
	// firstPollTimeout applies to the first poll at a leader, which it answers at once. While a
	// frozen leader is being replaced, the other replicas still name it, and an entry that polls
	// it has no scheduler until the poll times out: about 3 s with pollTimeout. The timeout
	// doubles with each poll that times out, so that a slow link only delays the first answer.
	firstPollTimeout    = 500 * time.Millisecond
	maxTimeoutDoublings = 3                     // After these, the timeout exceeds pollTimeout.
	findRetryDelay      = 60 * time.Millisecond // Before the next search if no replica leads.
	// maxDocumentBytes limits the size of a decompressed document, so that a corrupted one cannot
	// exhaust memory.
	maxDocumentBytes = 64 << 20
)

var errFormerLeader = errors.New("watch: news of a former leader")

type (
	// Watcher follows the scheduler on behalf of one entry. Its exported fields are set before
	// Serve is called.
	Watcher struct {
		Node        string
		Incarnation string
		DataCentre  string
		PeerAddress netip.AddrPort
		Tunnel      netip.AddrPort          // Where this entry passes connections of others on; invalid if it does not.
		Seeds       func() []netip.AddrPort // Peer addresses of some control replicas.
		Mesh        caller
		Parse       func(doc []byte) (*conf.Config, error) // Parses a published document.
		// OnSchedulerChange is called when the scheduler is found, replaced or lost. It may be nil.
		OnSchedulerChange func()
		// Usage and Crashes are sent to a new scheduler: the recent usage of accounts at this entry,
		// and the upstream crashes that it has seen. Both may be nil.
		Usage   func() []*wire.AccountUsage
		Crashes func() *wire.Crashes
		// Origins returns the streams that this entry began, sent to a new scheduler. It may be nil.
		Origins func() []*wire.Origin
		// OnMixed is called with the pools whose streams this entry reports. It may be nil.
		OnMixed func(pools []string)
		// OnBans is called with each new list of bans, and with first set if it is the first list
		// from its scheduler. It may be nil.
		OnBans func(list *wire.Bans, first bool)
		// Limits returns the rate limits of upstreams that this entry knows, sent to a new
		// scheduler. OnLimits is called with all limits in force. Both may be nil.
		Limits   func() []*wire.Limit
		OnLimits func(list []*wire.Limit)
		// Brittle returns the brittle upstreams that this entry knows, sent to a new scheduler. OnTicketed
		// is called with the pools whose requests take tickets although entries could place them, and
		// those of them whose requests this entry places at once while no scheduler answers. Both may be
		// nil.
		Brittle    func() []*wire.Brittle
		OnTicketed func(pools, deferring []string)
		// OnLiveSpeed is called with the pools of which this entry reports how long work currently takes at
		// upstreams. It may be nil.
		OnLiveSpeed func(pools []string)
		// Leaving returns the upstreams that have said to this entry that they leave, sent to a new
		// scheduler. It may be nil.
		Leaving func() []*wire.Leaving
		// OnSplits is called with all splits of pools between versions. It may be nil.
		OnSplits func(list *wire.Rollouts)
		Log      logr.Logger

		startedAt      time.Time // When Serve was called.
		reportedTo     string    // Scheduler that was told what this entry knows, by its incarnation.
		view           atomic.Pointer[View]
		configuredOnce sync.Once     // Creates configured.
		configured     chan struct{} // Closed once a configuration is in force.
		mu             sync.Mutex    // Guards the fields below and updates of view.
		replicas       []netip.AddrPort
		localReplicas  map[netip.AddrPort]bool // Replicas of this data centre, as far as known.
		relays         map[netip.AddrPort]bool // Replicas in use as relays.
		nextReplica    int
		searches       uint64
		cancelPoll     context.CancelFunc // Cancels the current poll.
		lastProbe      time.Time
		probeTimes     [probeHistory]time.Duration // Round-trip times of the last probes, a ring buffer.
		probeCount     int                         // Number of probes answered so far.
		replaced       map[string]*wire.Upstream   // Upstreams reported to Replaced, by ID.
		expiry         *time.Timer                 // For the next cordon that expires; nil for none.
	}

	caller interface {
		Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error)
	}
)

// View returns the current snapshot. It is never nil.
func (w *Watcher) View() *View {
	if v := w.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Configured returns a channel that is closed once this entry has installed a configuration.
func (w *Watcher) Configured() <-chan struct{} {
	w.configuredOnce.Do(func() { w.configured = make(chan struct{}) })
	return w.configured
}

// Owner returns the scheduler, which is the same for all pools, or nil while none is known.
func (w *Watcher) Owner(string) *wire.Member { return w.View().Owner }

// Alive returns no members, because entries do not relay frames for each other.
func (w *Watcher) Alive() []*wire.Member { return nil }

// Serve finds the scheduler and polls it until ctx ends.
func (w *Watcher) Serve(ctx context.Context) error {
	w.startedAt = time.Now()
	to, late := target{}, 0
	var probes sync.WaitGroup // And the relays.
	defer probes.Wait()
	probes.Go(func() { w.serveRelays(ctx) })
	defer w.stopExpiry()
	for ctx.Err() == nil {
		if !to.addr.IsValid() {
			to = w.findScheduler(ctx)
		}
		if !to.addr.IsValid() {
			w.dropScheduler("no control replica leads")
			select {
			case <-ctx.Done():
			case <-time.After(findRetryDelay):
			}
			continue
		}
		err := w.poll(ctx, to, w.nextPollTimeout(late))
		switch {
		case err == nil:
			late = 0
			leader := to.addr // A copy, because to may change while the probe runs.
			probes.Go(func() { w.measureLatency(ctx, leader) })
			if to.local {
				to = w.recheckLeader(ctx, to)
			}
			continue
		case ctx.Err() != nil:
			return ctx.Err()
		case w.View().Owner == nil && errors.Is(err, context.DeadlineExceeded):
			late++
		}
		w.dropScheduler(err.Error())
		to = target{addr: hintedLeader(err)}
	}
	return ctx.Err()
}

// recheckLeader looks for a leader while the entry follows a replica that schedules only for this
// data centre. It returns the leader, or local if there is none.
func (w *Watcher) recheckLeader(ctx context.Context, local target) target {
	f := w.findScheduler(ctx)
	if !f.addr.IsValid() || f.local {
		return local
	}
	w.dropScheduler("a leader is reachable again")
	return f
}

// nextPollTimeout returns the timeout of the next poll, where late is the number of first polls
// in a row that timed out.
func (w *Watcher) nextPollTimeout(late int) time.Duration {
	if w.View().Owner != nil {
		return pollTimeout
	}
	return min(firstPollTimeout<<min(late, maxTimeoutDoublings), pollTimeout)
}

// poll sends one long poll and applies the news in its answer.
func (w *Watcher) poll(ctx context.Context, to target, timeout time.Duration) error {
	v, wait := w.View(), pollWait
	if to.local {
		wait = localPollWait
	}
	tunnel := ""
	if w.Tunnel.IsValid() {
		tunnel = w.Tunnel.String()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	w.mu.Lock()
	w.cancelPoll = cancel
	w.mu.Unlock()
	poll := &wire.Watch{
		Node: w.Node, Incarnation: w.Incarnation, DataCentre: w.DataCentre, Address: w.PeerAddress.String(),
		Version: v.Version, Revision: v.Revision, WaitUs: wait.Microseconds(), Leader: v.Owner.GetIncarnation(),
		Entries: int64(v.Entries), Alone: to.local, Bans: v.bansRevision, Splits: v.splitsRevision, Tunnel: tunnel,
		CordonRevision: v.cordons.revision,
	}
	// A replica that loses the leadership and wins it again schedules anew, without the entry having
	// lost it.
	report := v.Owner == nil || v.Owner.GetIncarnation() != w.reportedTo
	if report {
		w.addReports(poll)
	}
	f, err := w.Mesh.Call(ctx, to.addr, &wire.Frame{Body: &wire.Frame_Watch{Watch: poll}})
	if err != nil {
		return fmt.Errorf("watch: poll %s: %w", to.addr, err)
	}
	if report {
		w.reportedTo = f.GetNews().GetLeader()
	}
	return w.applyNews(to, f.GetNews())
}

// addReports adds all that this entry knows and a new scheduler does not.
func (w *Watcher) addReports(poll *wire.Watch) {
	if w.Usage != nil {
		poll.Rates, poll.UpUs = w.Usage(), time.Since(w.startedAt).Microseconds()
	}
	if w.Origins != nil {
		poll.Origins = w.Origins()
	}
	if w.Crashes != nil {
		poll.Crashes = w.Crashes()
	}
	if w.Limits != nil {
		poll.Limits = w.Limits()
	}
	if w.Brittle != nil {
		poll.Brittle = w.Brittle()
	}
	if w.Leaving != nil {
		poll.Leaving = w.Leaving()
	}
	if v := w.View(); v.cordons.revision > 0 {
		poll.Cordons = v.cordons.report(time.Now())
	}
}

// applyNews updates the view with news from a scheduler. News of a leader that another one has followed is refused: it may
// lack what was acknowledged since.
func (w *Watcher) applyNews(from target, n *wire.News) error {
	w.mu.Lock()
	old := w.View()
	if n.GetTerm() > 0 && n.GetTerm() < old.Term {
		w.mu.Unlock()
		return fmt.Errorf("%w: term %d, known is %d", errFormerLeader, n.GetTerm(), old.Term)
	}
	w.learnAddrsLocked(n.GetReplicas())
	v := *old
	v.Entries, v.LastHeard, v.Term, v.ownerTerm = int(n.GetEntries()), time.Now(), max(old.Term, n.GetTerm()), n.GetTerm()
	if !from.local {
		v.CurrentAt = v.LastHeard
	}
	v.Silent, v.Unreached, v.Isolated = stringSet(n.GetSilent()), stringSet(n.GetUnreached()), from.local
	err := w.advance(&v, n)
	w.applyCordons(&v, from, n.GetCordons())
	newScheduler := v.Owner.GetIncarnation() != n.GetLeader()
	if b := n.GetBans(); b != nil {
		v.bansRevision = b.GetRevision()
		if w.OnBans != nil {
			w.OnBans(b, newScheduler)
		}
	}
	if w.OnLimits != nil {
		w.OnLimits(n.GetLimits())
	}
	w.handlePools(n)
	v.splitsRevision = n.GetRollouts().GetPhaseRevision()
	if w.OnSplits != nil {
		w.OnSplits(n.GetRollouts())
	}
	if newScheduler {
		v.Owner = &wire.Member{Node: "control " + from.addr.String(), Incarnation: n.GetLeader(), Address: from.addr.String()}
		w.Log.Info("Scheduler found.", "address", from.addr.String(), "incarnation", n.GetLeader(), "this-data-centre-alone", from.local, "term", n.GetTerm())
	}
	w.setView(&v)
	w.mu.Unlock()
	if newScheduler && w.OnSchedulerChange != nil {
		w.OnSchedulerChange()
	}
	return err
}

// advance takes the configuration and the roster in n that are newer than those of v. Without a revision of its own, v
// has at most some of the roster. w.mu must be held.
func (w *Watcher) advance(v *View, n *wire.News) error {
	var err error
	if len(n.GetDocument()) > 0 && n.GetVersion() > v.Version {
		err = w.installConfig(v, n)
	}
	if n.GetRevision() > v.Revision || (v.Revision == 0 && n.GetWhole()) {
		if rosterErr := v.applyRoster(n, w.replaced); rosterErr != nil {
			err = rosterErr
		}
	}
	return err
}

// setView puts a view in force. w.mu must be held.
func (w *Watcher) setView(v *View) {
	first := w.View().Index == nil && v.Index != nil
	w.view.Store(v)
	if first {
		w.Configured()
		close(w.configured)
	}
}

// handlePools passes on which pools the scheduler treats in other ways than their configuration says.
func (w *Watcher) handlePools(n *wire.News) {
	if w.OnTicketed != nil {
		w.OnTicketed(n.GetTicketed(), n.GetDeferring())
	}
	if w.OnLiveSpeed != nil {
		w.OnLiveSpeed(n.GetLiveSpeed())
	}
	if w.OnMixed != nil {
		w.OnMixed(n.GetMixed())
	}
}

func stringSet(list []string) map[string]bool {
	m := make(map[string]bool, len(list))
	for _, id := range list {
		m[id] = true
	}
	return m
}

// installConfig decompresses and parses the document in n, and puts it into v.
func (w *Watcher) installConfig(v *View, n *wire.News) error {
	doc, err := decompress(n.GetDocument())
	if err != nil {
		return fmt.Errorf("watch: document %d: %w", n.GetVersion(), err)
	}
	cfg, err := w.Parse(doc)
	if err != nil {
		return fmt.Errorf("watch: document %d: %w", n.GetVersion(), err)
	}
	v.Version, v.Index, v.InstalledAt = n.GetVersion(), index.New(cfg), time.Now()
	w.Log.Info("Configuration in force.", "version", v.Version, "routes", len(cfg.Routes), "term", n.GetTerm())
	return nil
}

func decompress(data []byte) ([]byte, error) {
	doc, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDocumentBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	return doc, nil
}

// Replaced removes an upstream from the view, because another upstream answers at its address. It
// stays, or is added again, if the roster shows that it has restarted or has another address.
func (w *Watcher) Replaced(former *wire.Upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.replaced == nil {
		w.replaced = map[string]*wire.Upstream{}
	}
	w.replaced[former.GetId()] = former
	v := *w.View()
	v.rebuildUpstreams(w.replaced)
	w.view.Store(&v)
}

// dropScheduler marks the scheduler as unknown, and logs the reason if one was known.
func (w *Watcher) dropScheduler(reason string) {
	w.mu.Lock()
	v := *w.View()
	had := v.Owner != nil
	v.Owner = nil
	if had {
		w.Log.Info("Scheduler lost: this entry places requests by itself.", "incarnation", w.View().Owner.GetIncarnation(), "why", reason)
		w.view.Store(&v)
	}
	w.mu.Unlock()
	if had && w.OnSchedulerChange != nil {
		w.OnSchedulerChange()
	}
}
