package watch

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

var (
	leaderAddr = netip.MustParseAddrPort("10.0.0.1:7000")
	relayAddr  = netip.MustParseAddrPort("10.0.0.2:7000")
)

// fakeGroup is two replicas of one log. Entries reach the leader's scheduler or not.
type fakeGroup struct {
	t *testing.T

	mu        sync.Mutex
	version   uint64
	revision  uint64
	term      uint64 // As the relay knows it.
	leads     string // Address of the leader, as the relay knows it.
	stale     bool   // The scheduler answers, with what it had at first.
	cut       bool   // The scheduler does not answer.
	documents int    // Sent so far.
}

func (g *fakeGroup) set(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

func (g *fakeGroup) news(version, revision, term uint64, w *wire.Watch) *wire.News {
	n := &wire.News{Version: version, Revision: revision, Term: term, Replicas: []string{leaderAddr.String(), relayAddr.String()}}
	if version > w.GetVersion() && (!w.GetRelay() || w.GetWaitUs() == 0) {
		n.Document = compress(g.t, "doc")
		g.documents++
	}
	if revision > w.GetRevision() {
		n.Whole, n.Roster = true, []*wire.Upstream{{Id: "a", Pool: "p", Revision: revision}}
	}
	return n
}

func (g *fakeGroup) Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := f.GetWatch()
	switch {
	case to == leaderAddr && g.cut:
		g.mu.Unlock()
		<-ctx.Done()
		g.mu.Lock()
		return nil, ctx.Err()
	case f.GetStatusQuery() != nil:
		return &wire.Frame{Body: &wire.Frame_Status{Status: &wire.Status{Leader: g.leads, Term: g.term}}}, nil
	case w == nil:
		return &wire.Frame{Body: &wire.Frame_BeatReply{BeatReply: &wire.BeatReply{}}}, nil
	case to == leaderAddr && w.GetRelay():
		return nil, errors.New("not asked")
	}
	deadline := time.Now().Add(time.Duration(w.GetWaitUs()) * time.Microsecond)
	for {
		version, revision, term := g.version, g.revision, g.term
		if to == leaderAddr && g.stale {
			version, revision, term = 1, 1, 1
		}
		n := g.news(version, revision, term, w)
		if w.GetRelay() {
			n.LeaderAddress = g.leads
		} else {
			n.Leader = to.String()
		}
		if version > w.GetVersion() || w.GetLeader() != n.GetLeader() || !time.Now().Before(deadline) {
			return &wire.Frame{Body: &wire.Frame_News{News: n}}, nil
		}
		g.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
		g.mu.Lock()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// Guards against entries that stay behind while the scheduler doesn't answer them, or is a former leader, though they
// reach another replica; and against documents that are sent twice while it does answer.
func TestRelayKeepsEntriesCurrent(t *testing.T) {
	const bound = relayWait + 2*relayGrace
	for _, tt := range []struct {
		name      string
		change    func(g *fakeGroup)
		documents int
		former    bool // The scheduler is dropped.
	}{
		{"scheduler answers", func(*fakeGroup) {}, 2, false},
		{"scheduler does not answer", func(g *fakeGroup) { g.cut = true }, 2, false},
		{"scheduler is a former leader", func(g *fakeGroup) { g.stale, g.term, g.leads = true, 2, relayAddr.String() }, 2, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &fakeGroup{t: t, version: 1, revision: 1, term: 1, leads: leaderAddr.String()}
				w := newWatcher(nil)
				w.Seeds, w.Mesh = func() []netip.AddrPort { return []netip.AddrPort{leaderAddr} }, g
				serve(t, w)
				time.Sleep(3 * time.Second)
				must.Eq(t, 1, w.View().Version)
				must.Eq(t, leaderAddr.String(), w.View().Owner.GetIncarnation())
				g.set(func() { tt.change(g); g.version, g.revision = 2, 2 })
				time.Sleep(bound)
				must.Eq(t, 2, w.View().Version)
				must.Eq(t, 2, w.View().Revision)
				g.set(func() { must.Eq(t, tt.documents, g.documents) })
				if tt.former {
					must.NotEq(t, leaderAddr.String(), w.View().Owner.GetAddress())
				}
				must.Less(t, relayWait+time.Second, w.View().CurrentFor(time.Now()))
			})
		})
	}
}

// Guards against relays that are the scheduler's replica or the same one twice, which leaves links to others idle.
func TestRelaysDiffer(t *testing.T) {
	third := netip.MustParseAddrPort("10.0.0.3:7000")
	w := newWatcher(nil)
	must.False(t, w.takeRelay(0).IsValid())
	w.learnAddrs([]string{third.String(), leaderAddr.String(), relayAddr.String()})
	must.NoError(t, w.applyNews(target{addr: leaderAddr}, &wire.News{Leader: "l"}))
	for n := range uint64(2) {
		first := w.takeRelay(n)
		second := w.takeRelay(n)
		must.True(t, (first == relayAddr && second == third) || (first == third && second == relayAddr))
		must.False(t, w.takeRelay(n).IsValid())
		w.returnRelay(first)
		must.True(t, w.takeRelay(n) == first)
		w.returnRelay(first)
		w.returnRelay(second)
	}
}

// Guards against an entry that starts without its scheduler and serves before it knows which requests are banned and
// which upstreams have a cordon.
func TestRelayGivesNoFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{t: t, version: 1, revision: 1, term: 1, leads: leaderAddr.String(), cut: true}
		w := newWatcher(nil)
		w.Seeds, w.Mesh = func() []netip.AddrPort { return []netip.AddrPort{leaderAddr, relayAddr} }, g
		w.learnAddrs([]string{leaderAddr.String(), relayAddr.String()})
		serve(t, w)
		time.Sleep(10 * time.Second)
		must.Nil(t, w.View().Index)
		g.set(func() { g.cut = false })
		time.Sleep(5 * time.Second)
		must.NotNil(t, w.View().Index)
	})
}
