package watch

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"azurelane/core/conf"
	"azurelane/core/wire"
)

var addr = netip.MustParseAddrPort("10.0.0.1:7000")

// fakeControl is a control replica with configurable answers and delays.
type fakeControl struct {
	mu            sync.Mutex
	news          func(w *wire.Watch) (*wire.News, error)
	frozen        bool          // It answers no call, except as answersStatus says.
	answersStatus bool          // Status queries are answered even while frozen.
	newsDelay     time.Duration // Delay of answers to polls.
	probeDelay    time.Duration // Delay of answers to probes.
	calls         int
}

func (c *fakeControl) Call(ctx context.Context, _ netip.AddrPort, f *wire.Frame) (*wire.Frame, error) {
	c.mu.Lock()
	frozen, news, newsDelay, probeDelay := c.frozen, c.news, c.newsDelay, c.probeDelay
	c.calls++
	c.mu.Unlock()
	if frozen && (!c.answersStatus || f.GetStatusQuery() == nil) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	switch b := f.GetBody().(type) {
	case *wire.Frame_StatusQuery:
		return &wire.Frame{Body: &wire.Frame_Status{Status: &wire.Status{Leader: addr.String()}}}, nil
	case *wire.Frame_Watch:
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(newsDelay):
		}
		n, err := news(b.Watch)
		return &wire.Frame{Body: &wire.Frame_News{News: n}}, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(probeDelay):
	}
	return &wire.Frame{Body: &wire.Frame_BeatReply{BeatReply: &wire.BeatReply{}}}, nil
}

func compress(t *testing.T, doc string) []byte {
	t.Helper()
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	must.NoError(t, err)
	_, err = w.Write([]byte(doc))
	must.NoError(t, err)
	must.NoError(t, w.Close())
	return buf.Bytes()
}

func newWatcher(c *fakeControl) *Watcher {
	return &Watcher{
		Node: "e", Incarnation: "i", Seeds: func() []netip.AddrPort { return []netip.AddrPort{addr} }, Mesh: c, Log: logr.Discard(),
		Parse: func(doc []byte) (*conf.Config, error) {
			if string(doc) == "bad" {
				return nil, errors.New("bad")
			}
			return &conf.Config{}, nil
		},
	}
}

// News arrives late and out of order, from a leader and from a former leader. The version in
// force never decreases, and an invalid document changes nothing.
func TestVersionNeverDecreases(t *testing.T) {
	w := newWatcher(&fakeControl{})
	for _, tc := range []struct {
		version uint64
		doc     string
		want    uint64
	}{{3, "three", 3}, {2, "two", 3}, {5, "bad", 3}, {4, "four", 4}, {4, "other", 4}} {
		err := w.applyNews(target{addr: addr}, &wire.News{Version: tc.version, Document: compress(t, tc.doc), Leader: "l"})
		must.Eq(t, tc.doc == "bad", err != nil)
		must.Eq(t, tc.want, w.View().Version)
		must.NotNil(t, w.View().Index)
	}
}

// Guards against changes that get lost between a packed roster and the moment of the poll, and
// against a roster that vanishes when a packed one can't be read.
func TestPackedRoster(t *testing.T) {
	w := newWatcher(&fakeControl{})
	data, err := proto.Marshal(&wire.News{Roster: []*wire.Upstream{{Id: "a", Pool: "p"}, {Id: "b", Pool: "p"}, {Id: "c", Pool: "p"}}})
	must.NoError(t, err)
	base := compress(t, string(data))
	must.NoError(t, w.applyNews(target{addr: addr}, &wire.News{Whole: true, Revision: 6, Leader: "l", Base: base, Roster: []*wire.Upstream{
		{Id: "b", Pool: "p", State: wire.Upstream_STATE_GONE}, {Id: "c", Pool: "p", State: wire.Upstream_STATE_LEAVING}, {Id: "d", Pool: "p"},
	}}))
	ids := func() (list []string) {
		for _, u := range w.View().Upstreams["p"] {
			list = append(list, u.GetId())
		}
		return list
	}
	must.Eq(t, []string{"a", "d"}, ids())
	must.Error(t, w.applyNews(target{addr: addr}, &wire.News{Whole: true, Revision: 9, Leader: "l", Base: base[:len(base)/2]}))
	must.Eq(t, []string{"a", "d"}, ids())
	must.Eq(t, 6, w.View().Revision)
}

func TestRoster(t *testing.T) {
	const serving, leaving, gone = wire.Upstream_STATE_SERVING, wire.Upstream_STATE_LEAVING, wire.Upstream_STATE_GONE
	w := newWatcher(&fakeControl{})
	for _, tc := range []struct {
		name  string
		news  *wire.News
		want  []string
		extra func()
	}{
		{name: "all", news: &wire.News{Whole: true, Revision: 2, Roster: []*wire.Upstream{{Id: "a", Pool: "p"}, {Id: "b", Pool: "p"}}}, want: []string{"a", "b"}},
		{name: "one leaves", news: &wire.News{Revision: 3, Roster: []*wire.Upstream{{Id: "a", Pool: "p", State: leaving}}}, want: []string{"b"}},
		{name: "one more", news: &wire.News{Revision: 4, Roster: []*wire.Upstream{{Id: "c", Pool: "p", State: serving}}}, want: []string{"b", "c"}},
		{name: "one gone", news: &wire.News{Revision: 5, Roster: []*wire.Upstream{{Id: "b", Pool: "p", State: gone}}}, want: []string{"c"}},
		{name: "one replaced at its address", news: &wire.News{Revision: 6, Roster: []*wire.Upstream{{Id: "d", Pool: "p"}}}, want: []string{"d"}, extra: func() { w.Replaced(&wire.Upstream{Id: "c"}) }},
		{name: "all anew", news: &wire.News{Whole: true, Revision: 7, Roster: []*wire.Upstream{{Id: "c", Pool: "p"}, {Id: "e", Pool: "p"}}}, want: []string{"e"}},
	} {
		must.NoError(t, w.applyNews(target{addr: addr}, tc.news))
		if tc.extra != nil {
			tc.extra()
		}
		var ids []string
		for _, u := range w.View().Upstreams["p"] {
			ids = append(ids, u.GetId())
		}
		must.Eq(t, tc.want, ids, must.Sprint(tc.name))
	}
}

// The scheduler freezes while a ticket waits there, and the entry probes it. Within half a second
// the entry has no scheduler and places requests by itself. It follows the scheduler again once
// that answers.
func TestFrozenScheduler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeControl{news: func(*wire.Watch) (*wire.News, error) {
			time.Sleep(time.Second)
			return &wire.News{Leader: "l"}, nil
		}}
		w := newWatcher(c)
		changes := 0
		w.OnSchedulerChange = func() { changes++ }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.Serve(ctx) }()
		time.Sleep(1500 * time.Millisecond)
		must.Eq(t, "l", w.Owner("p").GetIncarnation())
		w.Doubt(ctx)
		must.NotNil(t, w.Owner("p"), must.Sprint("it answers"))
		c.mu.Lock()
		c.frozen = true
		c.mu.Unlock()
		time.Sleep(minProbeInterval)
		w.Doubt(ctx)
		must.Nil(t, w.Owner("p"))
		c.mu.Lock()
		c.frozen = false
		c.mu.Unlock()
		time.Sleep(3 * time.Second)
		must.NotNil(t, w.Owner("p"))
		must.Eq(t, 3, changes)
		cancel()
		<-done
	})
}

// A replica that does not lead names the leader in its fault.
func TestLeaderHint(t *testing.T) {
	must.Eq(t, addr, hintedLeader(errors.WithStack(&wire.Fault{Code: wire.CodeMoved, Leader: addr.String()})))
	must.False(t, hintedLeader(&wire.Fault{}).IsValid())
	must.False(t, hintedLeader(errors.New("link: down")).IsValid())
}

// serve runs w until the test ends.
func serve(t *testing.T, w *Watcher) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// longPoll answers a poll as a leader without changes does: at once if the entry does not know the
// scheduler yet, and otherwise after pollWait.
func longPoll(w *wire.Watch) (*wire.News, error) {
	if w.GetLeader() == "l" {
		time.Sleep(pollWait)
	}
	return &wire.News{Leader: "l"}, nil
}

// The scheduler freezes, and for a moment the other replicas still name it as their leader. The
// entry's first poll there must time out sooner than a long poll does: the next leader is elected
// half a second later, and until the entry finds it, callers are served from this entry's small
// share of slots and rates.
func TestFrozenSchedulerStillNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeControl{news: longPoll, frozen: true, answersStatus: true}
		w := newWatcher(c)
		serve(t, w)
		time.Sleep(400 * time.Millisecond) // Before firstPollTimeout, when the next poll starts.
		must.Nil(t, w.Owner("p"))
		c.mu.Lock()
		c.frozen = false
		c.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		must.NotNil(t, w.Owner("p"))
	})
}

// On a slow link the first answer takes longer than firstPollTimeout. The growing timeout lets the
// entry find its scheduler all the same.
func TestSlowFirstNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeControl{news: longPoll, newsDelay: 1500 * time.Millisecond}
		w := newWatcher(c)
		serve(t, w)
		time.Sleep(5 * time.Second)
		must.NotNil(t, w.Owner("p"))
	})
}

// Replicas that do not lead refuse polls at once. These refusals must not count as timeouts, or
// the first poll at a frozen leader would get a longer timeout than firstPollTimeout.
func TestRefusalDoesNotRaisePollTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var leads atomic.Bool
		c := &fakeControl{newsDelay: 20 * time.Millisecond, answersStatus: true, news: func(w *wire.Watch) (*wire.News, error) {
			if !leads.Load() {
				return nil, errors.New("another leads")
			}
			return longPoll(w)
		}}
		w := newWatcher(c)
		serve(t, w)
		time.Sleep(time.Second)
		c.mu.Lock()
		c.frozen = true
		c.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		c.mu.Lock()
		c.frozen = false
		c.mu.Unlock()
		leads.Store(true)
		time.Sleep(firstPollTimeout)
		must.NotNil(t, w.Owner("p"))
	})
}

// One of two control replicas is down, and the entry queries it first. The other one leads, and
// the entry must query it without waiting for the first.
func TestSilentReplicaDoesNotDelayFind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeControl{newsDelay: statusQueryInterval / 2, news: func(*wire.Watch) (*wire.News, error) { return &wire.News{Leader: "l"}, nil }}
		w := newWatcher(c)
		silentAddr := netip.MustParseAddrPort("10.0.0.2:7000")
		w.Seeds = func() []netip.AddrPort { return []netip.AddrPort{addr, silentAddr} }
		w.Mesh = silentReplica{c, silentAddr}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.Serve(ctx) }()
		time.Sleep(2 * statusQueryInterval)
		must.NotNil(t, w.View().Owner)
		cancel()
		<-done
	})
}

// electingReplicas is a large group of replicas that has no leader.
type electingReplicas struct {
	list  []*wire.Replica
	mu    sync.Mutex
	asked map[string]int
}

func (r *electingReplicas) Call(_ context.Context, to netip.AddrPort, _ *wire.Frame) (*wire.Frame, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked[to.String()]++
	return &wire.Frame{Body: &wire.Frame_Status{Status: &wire.Status{Replicas: r.list, DataCentre: "elsewhere"}}}, nil
}

// Guards against entries that all ask all replicas while there is no leader: after a stop of a large
// deployment their links held up the election. Each search must ask few, replicas of the entry's data
// centre among them, several searches all, and different entries different ones.
func TestSearchAsksFewReplicas(t *testing.T) {
	const replicas, dataCentres, entries = 25, 5, 100
	synctest.Test(t, func(t *testing.T) {
		group := &electingReplicas{asked: map[string]int{}}
		var seeds []netip.AddrPort
		for i := range replicas {
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
			seeds = append(seeds, a)
			group.list = append(group.list, &wire.Replica{Address: a.String(), DataCentre: fmt.Sprint("dc-", i%dataCentres)})
		}
		first := map[string]int{}
		for e := range entries {
			w := newWatcher(nil)
			w.Node, w.DataCentre, w.Mesh, w.Seeds = fmt.Sprint("entry-", e), "dc-3", group, func() []netip.AddrPort { return seeds[:3] }
			w.findScheduler(t.Context()) // Learns the others.
			all := map[string]bool{}
			for search := range 10 {
				clear(group.asked)
				must.False(t, w.findScheduler(t.Context()).addr.IsValid())
				must.LessEq(t, maxQueries, len(group.asked))
				local := 0
				for a := range group.asked {
					all[a] = true
					if search == 0 {
						first[a]++
					}
					if w.localReplicas[netip.MustParseAddrPort(a)] {
						local++
					}
				}
				must.Eq(t, maxQueries/2, local)
			}
			must.MapLen(t, replicas, all)
		}
		for a, n := range first {
			must.Less(t, entries*9/10, n, must.Sprint(a))
		}
		must.MapLen(t, replicas, first)
	})
}

// silentReplica is a fakeControl that never answers at silentAddr.
type silentReplica struct {
	*fakeControl
	silentAddr netip.AddrPort
}

func (s silentReplica) Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error) {
	if to == s.silentAddr {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return s.fakeControl.Call(ctx, to, f)
}

// cutOffReplicas is two control replicas: one in this entry's data centre, which reports that it is
// cut off, and one in another data centre, which behaves as remoteState says.
type cutOffReplicas struct {
	mu          sync.Mutex
	localAddr   netip.AddrPort
	remoteState string // "silent", "elects" (no leader yet) or "leads".
}

func (r *cutOffReplicas) Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error) {
	r.mu.Lock()
	state := r.remoteState
	r.mu.Unlock()
	if to != r.localAddr && state == "silent" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if f.GetWatch() != nil {
		id := "leader"
		if to == r.localAddr {
			id = "local"
			if !f.GetWatch().GetAlone() {
				return nil, errors.New("this replica doesn't lead")
			}
		}
		if f.GetWatch().GetLeader() == id {
			time.Sleep(time.Duration(f.GetWatch().GetWaitUs()) * time.Microsecond)
		}
		return &wire.Frame{Body: &wire.Frame_News{News: &wire.News{Leader: id}}}, nil
	}
	s := &wire.Status{DataCentre: "z2"}
	switch {
	case to == r.localAddr:
		s = &wire.Status{DataCentre: "z1", CutOff: true}
	case state == "leads":
		s.Leader = to.String()
	}
	return &wire.Frame{Body: &wire.Frame_Status{Status: s}}, nil
}

// This entry's data centre is cut off, and its control replica reports it. Within a few round
// trips the entry follows that replica and marks its view as isolated. Once a leader elsewhere
// answers, the entry follows the leader. While replicas elsewhere answer but are still electing a
// leader, the data centre is not cut off, and the entry waits.
func TestFollowsLocalSchedulerWhenCutOff(t *testing.T) {
	for _, tc := range []struct {
		elsewhere, want string
		isolated        bool
	}{
		{"silent", "local", true},
		{"elects", "", false},
		{"leads", "leader", false},
	} {
		t.Run(tc.elsewhere, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &cutOffReplicas{localAddr: addr, remoteState: tc.elsewhere}
				w := newWatcher(nil)
				w.DataCentre, w.Mesh = "z1", r
				w.Seeds = func() []netip.AddrPort { return []netip.AddrPort{addr, netip.MustParseAddrPort("10.0.0.2:7000")} }
				serve(t, w)
				time.Sleep(2*statusQueryInterval + 2*cutOffGrace)
				must.Eq(t, tc.want, w.Owner("p").GetIncarnation())
				must.Eq(t, tc.isolated, w.View().Isolated)
				r.mu.Lock()
				r.remoteState = "leads"
				r.mu.Unlock()
				time.Sleep(2 * localPollWait)
				must.Eq(t, "leader", w.Owner("p").GetIncarnation())
				must.False(t, w.View().Isolated)
			})
		})
	}
}

// A scheduler that has answered probes within milliseconds freezes. The entry drops it after a
// timeout much shorter than 250 ms, which would make waiting requests miss their objectives. A
// scheduler whose answers have always been slow gets a longer timeout.
func TestProbeTimeoutAdapts(t *testing.T) {
	for _, tc := range []struct {
		name        string
		slow, limit time.Duration
	}{
		{"quick", 2 * time.Millisecond, minProbeTimeout},
		{"slow", 40 * time.Millisecond, 160 * time.Millisecond},
		{"too slow", 100 * time.Millisecond, maxProbeTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &fakeControl{news: longPoll, probeDelay: tc.slow}
				w := newWatcher(c)
				serve(t, w)
				time.Sleep(2 * probeHistory * pollWait)
				c.mu.Lock()
				c.frozen = true
				c.mu.Unlock()
				start := time.Now()
				w.Doubt(t.Context())
				must.Eq(t, tc.limit, time.Since(start))
				must.Nil(t, w.Owner("p"))
			})
		})
	}
}
