package watch

import (
	"bytes"
	"compress/flate"
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"azurelane/core/conf"
	"azurelane/core/wire"
)

var addr = netip.MustParseAddrPort("10.0.0.1:7000")

// control answers an entry as told.
type control struct {
	mu     sync.Mutex
	news   func(w *wire.Watch) (*wire.News, error)
	dead   bool          // It answers nothing.
	named  bool          // Another replica answers who leads, also while it is dead.
	slow   time.Duration // How late news come.
	probed time.Duration // How late it says that it lives.
	asked  int
}

func (c *control) Call(ctx context.Context, _ netip.AddrPort, f *wire.Frame) (*wire.Frame, error) {
	c.mu.Lock()
	dead, news, slow, probed := c.dead, c.news, c.slow, c.probed
	c.asked++
	c.mu.Unlock()
	if dead && (!c.named || f.GetStatusQuery() == nil) {
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
		case <-time.After(slow):
		}
		n, err := news(b.Watch)
		return &wire.Frame{Body: &wire.Frame_News{News: n}}, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(probed):
	}
	return &wire.Frame{Body: &wire.Frame_BeatReply{BeatReply: &wire.BeatReply{}}}, nil
}

func pack(t *testing.T, doc string) []byte {
	t.Helper()
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	must.NoError(t, err)
	_, err = w.Write([]byte(doc))
	must.NoError(t, err)
	must.NoError(t, w.Close())
	return buf.Bytes()
}

func newWatch(c *control) *Watcher {
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

// News come late and out of order, from a leader and from one that was. What is
// in force never goes back, and what can't be read changes nothing.
func TestNothingGoesBack(t *testing.T) {
	w := newWatch(&control{})
	for _, tc := range []struct {
		version uint64
		doc     string
		want    uint64
	}{{3, "three", 3}, {2, "two", 3}, {5, "bad", 3}, {4, "four", 4}, {4, "other", 4}} {
		err := w.take(found{addr: addr}, &wire.News{Version: tc.version, Document: pack(t, tc.doc), Leader: "l"})
		must.Eq(t, tc.doc == "bad", err != nil)
		must.Eq(t, tc.want, w.View().Version)
		must.NotNil(t, w.View().Index)
	}
}

func TestRoster(t *testing.T) {
	const serving, leaving, gone = wire.Upstream_STATE_SERVING, wire.Upstream_STATE_LEAVING, wire.Upstream_STATE_GONE
	w := newWatch(&control{})
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
		{name: "one replaced at its address", news: &wire.News{Revision: 6, Roster: []*wire.Upstream{{Id: "d", Pool: "p"}}}, want: []string{"d"}, extra: func() { w.Replaced("c") }},
		{name: "all anew", news: &wire.News{Whole: true, Revision: 7, Roster: []*wire.Upstream{{Id: "c", Pool: "p"}, {Id: "e", Pool: "p"}}}, want: []string{"e"}},
	} {
		must.NoError(t, w.take(found{addr: addr}, tc.news))
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

// The scheduler freezes. A ticket that waits there makes the entry ask whether
// it lives; half a second later the entry places requests by itself, and when
// the scheduler answers again, or another does, it is used again.
func TestFrozenScheduler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &control{news: func(*wire.Watch) (*wire.News, error) {
			time.Sleep(time.Second)
			return &wire.News{Leader: "l"}, nil
		}}
		w := newWatch(c)
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
		c.dead = true
		c.mu.Unlock()
		time.Sleep(probeEvery)
		w.Doubt(ctx)
		must.Nil(t, w.Owner("p"))
		c.mu.Lock()
		c.dead = false
		c.mu.Unlock()
		time.Sleep(3 * time.Second)
		must.NotNil(t, w.Owner("p"))
		must.Eq(t, 3, changes)
		cancel()
		<-done
	})
}

// A replica that doesn't lead names another, and that one is asked next.
func TestSentOnToTheLeader(t *testing.T) {
	must.Eq(t, addr, hinted(errors.WithStack(&wire.Fault{Code: wire.CodeMoved, Leader: addr.String()})))
	must.False(t, hinted(&wire.Fault{}).IsValid())
	must.False(t, hinted(errors.New("link: down")).IsValid())
}

// follow runs the watch until the test ends.
func follow(t *testing.T, w *Watcher) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// held answers as a leader does: at once to an entry that does not know it, and
// else later.
func held(w *wire.Watch) (*wire.News, error) {
	if w.GetLeader() == "l" {
		time.Sleep(waitFor)
	}
	return &wire.News{Leader: "l"}, nil
}

// The scheduler freezes, and for a moment the other replicas still name it as
// their leader. The entry asks it in vain and must not wait for its answer as it
// waits for news: the next leader is there half a second later, and until it is
// found callers are served from this entry's small share of places and rates.
func TestFrozenSchedulerStillNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &control{news: held, dead: true, named: true}
		w := newWatch(c)
		follow(t, w)
		time.Sleep(400 * time.Millisecond) // Not at firstLimit, where the next question goes out in the same moment.
		must.Nil(t, w.Owner("p"))
		c.mu.Lock()
		c.dead = false
		c.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		must.NotNil(t, w.Owner("p"))
	})
}

// News that take long to come, over a slow link, get through in the end.
func TestSlowFirstNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &control{news: held, slow: 1500 * time.Millisecond}
		w := newWatch(c)
		follow(t, w)
		time.Sleep(5 * time.Second)
		must.NotNil(t, w.Owner("p"))
	})
}

// Replicas that do not lead say so at once. That makes no answer late: the next
// one that stays away is given up as soon as the first.
func TestOthersAreNotLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var leads atomic.Bool
		c := &control{slow: 20 * time.Millisecond, named: true, news: func(w *wire.Watch) (*wire.News, error) {
			if !leads.Load() {
				return nil, errors.New("another leads")
			}
			return held(w)
		}}
		w := newWatch(c)
		follow(t, w)
		time.Sleep(time.Second)
		c.mu.Lock()
		c.dead = true
		c.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		c.mu.Lock()
		c.dead = false
		c.mu.Unlock()
		leads.Store(true)
		time.Sleep(firstLimit)
		must.NotNil(t, w.Owner("p"))
	})
}

// One of two control replicas has no power, and the entry asks it first. The
// other one leads: the entry must not wait for the silent one before it asks.
func TestSilentReplicaDelaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &control{slow: pause / 2, news: func(*wire.Watch) (*wire.News, error) { return &wire.News{Leader: "l"}, nil }}
		w := newWatch(c)
		dark := netip.MustParseAddrPort("10.0.0.2:7000")
		w.Seeds = func() []netip.AddrPort { return []netip.AddrPort{addr, dark} }
		w.Mesh = silent{c, dark}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.Serve(ctx) }()
		time.Sleep(2 * pause)
		must.NotNil(t, w.View().Owner)
		cancel()
		<-done
	})
}

// silent is a control of which one address answers nothing.
type silent struct {
	*control
	dark netip.AddrPort
}

func (s silent) Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error) {
	if to == s.dark {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return s.control.Call(ctx, to, f)
}

// replicas are two control replicas: one in this entry's data centre, which is cut
// off, and one elsewhere that answers or does not.
type replicas struct {
	mu        sync.Mutex
	here      netip.AddrPort
	elsewhere string // What the other one does: "silent", "elects" or "leads".
}

func (r *replicas) Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error) {
	r.mu.Lock()
	does := r.elsewhere
	r.mu.Unlock()
	if to != r.here && does == "silent" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if f.GetWatch() != nil {
		id := "leader"
		if to == r.here {
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
	case to == r.here:
		s = &wire.Status{DataCentre: "z1", CutOff: true}
	case does == "leads":
		s.Leader = to.String()
	}
	return &wire.Frame{Body: &wire.Frame_Status{Status: s}}, nil
}

// This entry's data centre is cut off, and its control replica says so. The entry
// follows that one within a few ways there and back, and knows that upstreams
// elsewhere can't be reached. Once a leader answers it follows the leader. While
// replicas elsewhere answer that they elect one, it is no cut: the entry waits.
func TestFollowsItsDataCentreBehindACut(t *testing.T) {
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
				r := &replicas{here: addr, elsewhere: tc.elsewhere}
				w := newWatch(nil)
				w.DataCentre, w.Mesh = "z1", r
				w.Seeds = func() []netip.AddrPort { return []netip.AddrPort{addr, netip.MustParseAddrPort("10.0.0.2:7000")} }
				follow(t, w)
				time.Sleep(2*pause + 2*localGrace)
				must.Eq(t, tc.want, w.Owner("p").GetIncarnation())
				must.Eq(t, tc.isolated, w.View().Isolated)
				r.mu.Lock()
				r.elsewhere = "leads"
				r.mu.Unlock()
				time.Sleep(2 * localWait)
				must.Eq(t, "leader", w.Owner("p").GetIncarnation())
				must.False(t, w.View().Isolated)
			})
		})
	}
}

// The scheduler has answered within milliseconds for a while, and freezes. The entry
// places requests by itself before a wait of a quarter of a second would have made
// them late. One that took long all the time is given that long.
func TestPatienceWithAScheduler(t *testing.T) {
	for _, tc := range []struct {
		name        string
		slow, limit time.Duration
	}{
		{"quick", 2 * time.Millisecond, leastProbe},
		{"slow", 40 * time.Millisecond, 160 * time.Millisecond},
		{"too slow", 100 * time.Millisecond, probeLimit},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &control{news: held, probed: tc.slow}
				w := newWatch(c)
				follow(t, w)
				time.Sleep(2 * keepAnswers * waitFor)
				c.mu.Lock()
				c.dead = true
				c.mu.Unlock()
				start := time.Now()
				w.Doubt(t.Context())
				must.Eq(t, tc.limit, time.Since(start))
				must.Nil(t, w.Owner("p"))
			})
		})
	}
}
