// Package watch keeps an entry informed: which control replica leads, which
// configuration is in force and which upstreams there are.
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
	// waitFor is how long the leader may hold an answer back. It asks the entry
	// to show that it lives, and the leader that it still leads.
	waitFor = 2 * time.Second
	// askLimit is over waitFor by what a slow VM needs.
	askLimit = waitFor + 800*time.Millisecond
	// firstLimit is how long a leader may take for its first answer, which it
	// does not hold back. While a leader that froze is being replaced, the other
	// replicas still name it, and entries would be without a scheduler for as long
	// as they wait for it: 3 s with askLimit. The limit doubles with each answer
	// that stays away, so that a slow link is no obstacle for good.
	firstLimit  = 500 * time.Millisecond
	mostDoubled = 3                     // Times; it is over askLimit then.
	noneWait    = 60 * time.Millisecond // Before the replicas are asked again who leads.
	// maxDocument bounds a document, so that a damaged one can't fill the memory.
	maxDocument = 64 << 20
)

type (
	// Watcher is the service of one entry. Its exported fields are set before
	// Serve is called.
	Watcher struct {
		Node        string
		Incarnation string
		DataCentre      string
		PeerAddress        netip.AddrPort
		Seeds       func() []netip.AddrPort // Peer addresses of some control replicas, read anew each time.
		Mesh        caller
		Parse       func(doc []byte) (*conf.Config, error)
		OnSchedulerChange     func()                      // Called when the scheduler changed; may be nil.
		Usage       func() []*wire.AccountUsage // What accounts used here of late, for a new scheduler; may be nil.
		Crashes     func() *wire.Crashes        // What this entry knows of requests that crash upstreams, likewise.
		// OnBans is called with each new list of bans, and whether it is the first of its
		// scheduler; may be nil.
		OnBans func(list *wire.Bans, other bool)
		// Limits is what this entry knows of upstreams' limits, for a new scheduler, and
		// Limited is called with all that are in force; both may be nil.
		Limits  func() []*wire.Limit
		OnLimits func(list []*wire.Limit)
		Log     logr.Logger

		now      atomic.Pointer[View]
		once     sync.Once     // Makes first.
		first    chan struct{} // Closed when a configuration is in force.
		mu       sync.Mutex    // Of what follows.
		replicas []netip.AddrPort
		next     int
		stop     context.CancelFunc // Ends the question that is under way.
		probed   time.Time
		answers  [keepAnswers]time.Duration // Of the last questions whether it lives.
		answered int                        // How many were answered.
		gone     map[string]struct{}        // Upstreams that this entry found replaced.
	}

	caller interface {
		Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error)
	}
)

// View returns what is known now, never nil.
func (w *Watcher) View() *View {
	if v := w.now.Load(); v != nil {
		return v
	}
	return &View{}
}

// Configured is closed once a configuration is in force here.
func (w *Watcher) Configured() <-chan struct{} {
	w.once.Do(func() { w.first = make(chan struct{}) })
	return w.first
}

// Owner returns the scheduler of a pool, nil while none is known.
func (w *Watcher) Owner(string) *wire.Member { return w.View().Owner }

// Alive lists no members: entries pass nothing on for each other.
func (w *Watcher) Alive() []*wire.Member { return nil }

// Serve follows the leader until ctx ends.
func (w *Watcher) Serve(ctx context.Context) error {
	to, late := found{}, 0
	var measures sync.WaitGroup
	defer measures.Wait()
	for ctx.Err() == nil {
		if !to.addr.IsValid() {
			to = w.find(ctx)
		}
		if !to.addr.IsValid() {
			w.lose("no control replica leads")
			select {
			case <-ctx.Done():
			case <-time.After(noneWait):
			}
			continue
		}
		err := w.ask(ctx, to, w.limit(late))
		switch {
		case err == nil:
			late = 0
			leader := to.addr // The loop goes on to another one meanwhile.
			measures.Go(func() { w.measure(ctx, leader) })
			if to.local {
				to = w.beyond(ctx, to)
			}
			continue
		case ctx.Err() != nil:
			return ctx.Err()
		case w.View().Owner == nil && errors.Is(err, context.DeadlineExceeded):
			late++
		}
		w.lose(err.Error())
		to = found{addr: hinted(err)}
	}
	return ctx.Err()
}

// beyond looks for a leader while a scheduler of this data centre alone is followed.
func (w *Watcher) beyond(ctx context.Context, local found) found {
	f := w.find(ctx)
	if !f.addr.IsValid() || f.local {
		return local
	}
	w.lose("a leader is reached again")
	return f
}

// limit is how long an answer may take after so many late ones in a row.
func (w *Watcher) limit(late int) time.Duration {
	if w.View().Owner != nil {
		return askLimit
	}
	return min(firstLimit<<min(late, mostDoubled), askLimit)
}

// ask waits for news of the leader and takes them.
func (w *Watcher) ask(ctx context.Context, to found, limit time.Duration) error {
	v, wait := w.View(), waitFor
	if to.local {
		wait = localWait
	}
	var rates []*wire.AccountUsage
	if v.Owner == nil && w.Usage != nil {
		rates = w.Usage()
	}
	var crashes *wire.Crashes
	if v.Owner == nil && w.Crashes != nil {
		crashes = w.Crashes()
	}
	var limits []*wire.Limit
	if v.Owner == nil && w.Limits != nil {
		limits = w.Limits()
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	w.mu.Lock()
	w.stop = cancel
	w.mu.Unlock()
	f, err := w.Mesh.Call(ctx, to.addr, &wire.Frame{Body: &wire.Frame_Watch{Watch: &wire.Watch{
		Node: w.Node, Incarnation: w.Incarnation, DataCentre: w.DataCentre, Address: w.PeerAddress.String(),
		Version: v.Version, Revision: v.Revision, WaitUs: wait.Microseconds(), Leader: v.Owner.GetIncarnation(),
		Rates: rates, Entries: int64(v.Entries), Alone: to.local, Crashes: crashes, Bans: v.bans, Limits: limits,
	}}})
	if err != nil {
		return fmt.Errorf("watch: ask %s: %w", to.addr, err)
	}
	return w.take(to, f.GetNews())
}

// take puts news in force. An older configuration never replaces a newer one,
// whoever sends it.
func (w *Watcher) take(from found, n *wire.News) error {
	w.learnAddrs(n.GetReplicas())
	w.mu.Lock()
	old := w.View()
	v := *old
	v.Entries, v.LastHeard = int(n.GetEntries()), time.Now()
	v.Silent, v.Unreached, v.Isolated = set(n.GetSilent()), set(n.GetUnreached()), from.local
	var err error
	if len(n.GetDocument()) > 0 && n.GetVersion() > v.Version {
		err = w.install(&v, n)
	}
	if n.GetRevision() != old.Revision || n.GetWhole() {
		v.apply(n, w.gone)
	}
	if old.Index == nil && v.Index != nil {
		defer func() {
			w.Configured()
			close(w.first)
		}()
	}
	fresh := v.Owner.GetIncarnation() != n.GetLeader()
	if b := n.GetBans(); b != nil {
		v.bans = b.GetRevision()
		if w.OnBans != nil {
			w.OnBans(b, fresh)
		}
	}
	if w.OnLimits != nil {
		w.OnLimits(n.GetLimits())
	}
	if fresh {
		v.Owner = &wire.Member{Node: "control " + from.addr.String(), Incarnation: n.GetLeader(), Address: from.addr.String()}
		w.Log.Info("Scheduler found.", "address", from.addr.String(), "incarnation", n.GetLeader(), "this-data-centre-alone", from.local)
	}
	w.now.Store(&v)
	w.mu.Unlock()
	if fresh && w.OnSchedulerChange != nil {
		w.OnSchedulerChange()
	}
	return err
}

func set(list []string) map[string]bool {
	m := make(map[string]bool, len(list))
	for _, id := range list {
		m[id] = true
	}
	return m
}

func (w *Watcher) install(v *View, n *wire.News) error {
	doc, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(n.GetDocument())), maxDocument))
	if err != nil {
		return fmt.Errorf("watch: document %d: %w", n.GetVersion(), err)
	}
	cfg, err := w.Parse(doc)
	if err != nil {
		return fmt.Errorf("watch: document %d: %w", n.GetVersion(), err)
	}
	v.Version, v.Index, v.InstalledAt = n.GetVersion(), index.New(cfg), time.Now()
	w.Log.Info("Configuration in force.", "version", v.Version, "routes", len(cfg.Routes))
	return nil
}

// Replaced takes an upstream out whose address answers as another one.
func (w *Watcher) Replaced(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone == nil {
		w.gone = map[string]struct{}{}
	}
	w.gone[id] = struct{}{}
	v := *w.View()
	v.sort(w.gone)
	w.now.Store(&v)
}

// lose notes that there is no scheduler now.
func (w *Watcher) lose(why string) {
	w.mu.Lock()
	v := *w.View()
	had := v.Owner != nil
	v.Owner = nil
	if had {
		w.Log.Info("Scheduler lost: this entry places requests by itself.", "incarnation", w.View().Owner.GetIncarnation(), "why", why)
		w.now.Store(&v)
	}
	w.mu.Unlock()
	if had && w.OnSchedulerChange != nil {
		w.OnSchedulerChange()
	}
}
