package hub

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

func askRelay(t *testing.T, h *Hub, w *wire.Watch) (*wire.News, error) {
	t.Helper()
	w.Relay = true
	f, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Watch{Watch: w}})
	return f.GetNews(), err
}

// Guards against a replica that passes on what may be old: it is cut off, or has not heard the leader for a while.
func TestRelayInTouchWithTheLeader(t *testing.T) {
	for _, tt := range []struct {
		name    string
		prepare func(f *fakeReplica)
		passes  bool
	}{
		{"follows", func(*fakeReplica) {}, true},
		{"cut off", func(f *fakeReplica) { f.cutOff = true }, false},
		{"no word for a while", func(f *fakeReplica) { f.silence = 2 * relayMaxSilence }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
				must.NoError(t, h.Report(t.Context(), newReport("s", 1, wire.Upstream_STATE_SERVING)))
				f.setLeads(false)
				synctest.Wait()
				f.mu.Lock()
				tt.prepare(f)
				f.mu.Unlock()
				n, err := askRelay(t, h, &wire.Watch{})
				must.Eq(t, tt.passes, err == nil)
				if tt.passes {
					must.Eq(t, 1, n.GetVersion())
					must.NotNil(t, n.GetDocument())
					must.True(t, n.GetWhole())
					must.Eq(t, f.RosterRevision(), n.GetRevision())
					must.Eq(t, "", n.GetLeader(), must.Sprint("it names no scheduler"))
				}
			})
		})
	}
}

// Guards against relays that send each entry what it has, or wake all entries at each report of an upstream, and against
// news that waits for the end of a poll.
func TestRelayAnswersWhatIsNew(t *testing.T) {
	const wait = time.Second
	for _, tt := range []struct {
		name   string
		change func(t *testing.T, h *Hub)
		after  time.Duration
	}{
		{"nothing", func(*testing.T, *Hub) {}, wait},
		{"upstream", func(t *testing.T, h *Hub) {
			t.Helper()
			must.NoError(t, h.Report(t.Context(), newReport("s", 2, wire.Upstream_STATE_LEAVING)))
		}, wait},
		{"configuration", func(t *testing.T, h *Hub) {
			t.Helper()
			must.NoError(t, h.Publish(t.Context(), 2, []byte("two")))
		}, wait / 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
				must.NoError(t, h.Report(t.Context(), newReport("s", 1, wire.Upstream_STATE_SERVING)))
				start := time.Now()
				version, revision := uint64(1), f.RosterRevision()
				time.AfterFunc(wait/4, func() { tt.change(t, h) })
				n, err := askRelay(t, h, &wire.Watch{Version: version, Revision: revision, WaitUs: wait.Microseconds()})
				must.NoError(t, err)
				must.Eq(t, tt.after, time.Since(start))
				must.Nil(t, n.GetDocument())
				must.SliceEmpty(t, n.GetRoster())
				behind := n.GetVersion() > version || n.GetRevision() > revision
				must.Eq(t, tt.name != "nothing", behind)
				n, err = askRelay(t, h, &wire.Watch{Version: version, Revision: revision})
				must.NoError(t, err)
				must.Eq(t, n.GetVersion() > version, n.GetDocument() != nil)
				must.Eq(t, n.GetRevision() > revision, len(n.GetRoster()) == 1)
				must.False(t, n.GetWhole())
			})
		})
	}
}

// Guards against polls that are answered again and again because the entry has a later roster than the replica.
func TestEntryIsAheadOfTheReplica(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		must.NoError(t, h.Report(t.Context(), newReport("s", 1, wire.Upstream_STATE_SERVING)))
		time.Sleep(announceInterval / 2) // Until the news of s is old.
		ahead := f.RosterRevision() + 5
		n, err := askRelay(t, h, &wire.Watch{Version: 1, Revision: ahead})
		must.NoError(t, err)
		must.SliceEmpty(t, n.GetRoster())
		must.False(t, n.GetWhole())
		start := time.Now()
		n, err = askNews(h, &wire.Watch{Node: "e", Incarnation: "i", Version: 1, Revision: ahead, Leader: h.scheduler().id, WaitUs: time.Second.Microseconds()})
		must.NoError(t, err)
		must.SliceEmpty(t, n.GetRoster())
		must.False(t, n.GetWhole())
		must.GreaterEq(t, time.Second, time.Since(start))
	})
}
