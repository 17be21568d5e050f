package watch

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"azurelane/core/wire"
	"azurelane/io/link"
)

const (
	// relayCount is the number of relays of an entry. Polls keep the links to them in use: an idle link that is silent for
	// good is noticed only seconds after it is needed, when the leader is lost. With three replicas none is idle.
	relayCount = 2
	// relayWait is the wait of a long poll at a relay. It bounds how old the roster gets while no news of the scheduler
	// arrives; a newer configuration ends the wait at once.
	relayWait = time.Second
	// relayTimeout exceeds the time after which a silent link is closed, which ends the poll sooner. A poll that gave up
	// before would leave the link idle again, and open.
	relayTimeout = link.SilenceLimit + 2*link.PingEvery
	// relayGrace is how long the scheduler's own news may take after a relay has it, and the news of one relay after
	// another one has it.
	relayGrace      = 250 * time.Millisecond
	relayRetryDelay = 200 * time.Millisecond // Before another relay is asked.
)

var errRelayLeads = errors.New("watch: the relay leads")

// serveRelays follows the configuration and the roster at other replicas, relays, until ctx ends. With the scheduler's
// replica alone, an entry would stay behind for as long as whatever keeps it from there lasts: a link, a poll without
// an answer or a wrong belief about which replica leads.
//
// An entry gets its first configuration from a scheduler, together with the bans and cordons that relays don't have.
func (w *Watcher) serveRelays(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-w.Configured():
	}
	var relays sync.WaitGroup
	defer relays.Wait()
	for n := range relayCount {
		relays.Go(func() { w.serveRelay(ctx, time.Duration(n+1)*relayGrace) })
	}
}

// serveRelay follows one relay after the other until ctx ends.
func (w *Watcher) serveRelay(ctx context.Context, grace time.Duration) {
	for n := xxhash.Sum64String(w.Node); ctx.Err() == nil; n++ {
		to := w.takeRelay(n)
		for to.IsValid() {
			if err := w.followRelay(ctx, to, grace); err != nil {
				w.Log.V(1).Info("Relay not followed.", "address", to.String(), "err", err.Error())
				break
			}
		}
		w.returnRelay(to)
		select {
		case <-ctx.Done():
		case <-time.After(relayRetryDelay):
		}
	}
}

// takeRelay returns the n-th of the replicas that are neither the scheduler's nor in use as relays, or an invalid address
// if there is none.
func (w *Watcher) takeRelay(n uint64) netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	owner := w.View().Owner.GetAddress()
	list := slices.DeleteFunc(slices.Clone(w.replicas), func(a netip.AddrPort) bool { return a.String() == owner || w.relays[a] })
	if len(list) == 0 {
		return netip.AddrPort{}
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	if w.relays == nil {
		w.relays = map[netip.AddrPort]bool{}
	}
	to := list[n%uint64(len(list))]
	w.relays[to] = true
	return to
}

func (w *Watcher) returnRelay(to netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.relays, to)
}

// followRelay sends one long poll to a relay. If this entry still lacks something when the scheduler's news should have
// arrived, it asks the relay for it.
func (w *Watcher) followRelay(ctx context.Context, to netip.AddrPort, grace time.Duration) error {
	n, err := w.askRelay(ctx, to, relayWait)
	if err != nil {
		return err
	}
	if n.GetLeaderAddress() == to.String() && w.View().Owner.GetAddress() == to.String() {
		return errRelayLeads
	}
	w.noteLeader(n)
	if n.GetVersion() > w.View().Version {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(grace):
		}
	}
	if v := w.View(); n.GetVersion() > v.Version || n.GetRevision() > v.Revision {
		if n, err = w.askRelay(ctx, to, 0); err != nil {
			return err
		}
	}
	return w.applyRelayed(to, n)
}

// askRelay polls a relay. Without a wait, the answer has all that this entry lacks.
func (w *Watcher) askRelay(ctx context.Context, to netip.AddrPort, wait time.Duration) (*wire.News, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	v := w.View()
	f, err := w.Mesh.Call(ctx, to, &wire.Frame{Body: &wire.Frame_Watch{Watch: &wire.Watch{
		Node: w.Node, Incarnation: w.Incarnation, DataCentre: w.DataCentre, Version: v.Version, Revision: v.Revision,
		WaitUs: wait.Microseconds(), Relay: true,
	}}})
	if err != nil {
		return nil, fmt.Errorf("watch: relay %s: %w", to, err)
	}
	return f.GetNews(), nil
}

// applyRelayed updates the view with what a relay has that is newer.
func (w *Watcher) applyRelayed(from netip.AddrPort, n *wire.News) error {
	at := time.Now().Add(-time.Duration(n.GetSilenceUs()) * time.Microsecond)
	w.learnAddrs(n.GetReplicas())
	w.mu.Lock()
	defer w.mu.Unlock()
	v := *w.View()
	version, revision := v.Version, v.Revision
	err := w.advance(&v, n)
	if v.Version >= n.GetVersion() && v.Revision >= n.GetRevision() && at.After(v.CurrentAt) {
		v.CurrentAt = at
	}
	if v.Version > version || v.Revision > revision {
		w.Log.Info("Newer state passed on by a replica.", "address", from.String(), "version", v.Version, "revision", v.Revision, "term", n.GetTerm(),
			"scheduler", v.Owner.GetIncarnation(), "scheduler-silent", v.NewsAge(time.Now()).String())
	}
	w.setView(&v)
	return err
}

// noteLeader drops a scheduler whose replica no longer leads, as another replica follows a leader of a later term.
func (w *Watcher) noteLeader(n *wire.News) {
	w.mu.Lock()
	v := *w.View()
	v.Term = max(v.Term, n.GetTerm())
	w.view.Store(&v)
	former := v.Owner != nil && v.ownerTerm > 0 && v.ownerTerm < n.GetTerm()
	cancel := w.cancelPoll
	w.mu.Unlock()
	if former {
		w.dropScheduler("a replica follows a leader of a later term")
		cancel() // Lets Serve look for that leader at once.
	}
}
