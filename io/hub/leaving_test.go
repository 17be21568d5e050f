package hub

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// Guards against upstreams that get requests after they have said in a response that they leave: because
// their reports say that they serve, because the word came with the first poll at a new scheduler, or
// because no quorum records it; and against those that take their places and get none.
func TestLeavingSaidInResponses(t *testing.T) {
	word := func(born int64) []*wire.Leaving {
		return []*wire.Leaving{{Upstream: "s", Born: born, AgeUs: 1000, Entry: "e"}}
	}
	report := func(t *testing.T, h *Hub, list []*wire.Leaving) {
		t.Helper()
		_, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Limits{Limits: &wire.Limits{Leaving: list}}})
		must.NoError(t, err)
	}
	poll := func(t *testing.T, h *Hub, list []*wire.Leaving) {
		t.Helper()
		_, err := askNews(h, &wire.Watch{Node: "e", Incarnation: "i", Leaving: list})
		must.NoError(t, err)
	}
	for _, tc := range []struct {
		name     string
		tell     func(t *testing.T, h *Hub, list []*wire.Leaving)
		born     int64 // Of the incarnation that said it.
		noQuorum bool
		granted  bool
	}{
		{"reported", report, 5, false, false},
		{"start unknown", report, 0, false, false},
		{"told with a poll", poll, 5, false, false},
		{"without a quorum", report, 5, true, false},
		{"said by the incarnation before", report, 4, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
				seq := uint64(0)
				beat := func(id string, born int64) {
					seq++
					r := newReport(id, seq, wire.Upstream_STATE_SERVING)
					r.Upstream.Born = born
					must.NoError(t, h.Report(t.Context(), r))
				}
				beat("s", 5)
				must.Eq(t, "s", submit(h, 1, 1).GetGrant().GetUpstream())
				f.mu.Lock()
				f.noQuorum = tc.noQuorum
				f.mu.Unlock()
				tc.tell(t, h, word(tc.born))
				must.Eq(t, tc.granted, submit(h, 2, 1).GetGrant() != nil)
				f.mu.Lock()
				f.noQuorum = false
				f.mu.Unlock()
				time.Sleep(2 * recordRetryDelay)
				beat("s", 5)
				must.Eq(t, tc.granted, submit(h, 3, 1).GetGrant() != nil, must.Sprint("it says that it serves"))
				want := wire.Upstream_STATE_LEAVING
				if tc.granted {
					want = wire.Upstream_STATE_SERVING
				}
				must.Eq(t, want, f.Upstream("s").GetState(), must.Sprint("for the other entries and later schedulers"))
				revision := f.RosterRevision()
				tc.tell(t, h, word(tc.born))
				time.Sleep(time.Second)
				must.Eq(t, revision, f.RosterRevision(), must.Sprint("told twice"))
				beat("s-next", 6)
				must.NotNil(t, submit(h, 4, 1).GetGrant())
			})
		})
	}
}

// Guards against an incarnation that gets no requests because of what the one before said.
func TestIncarnationAfterOneThatLeft(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		for _, tc := range []struct {
			born    int64
			leaves  bool
			granted bool
		}{{5, false, true}, {5, true, false}, {6, false, true}} {
			r := newReport("s", 1, wire.Upstream_STATE_SERVING)
			r.Upstream.Born = tc.born
			must.NoError(t, h.Report(t.Context(), r))
			if tc.leaves {
				h.applyLeaving(h.scheduler(), []*wire.Leaving{{Upstream: "s", Born: tc.born}})
				time.Sleep(time.Second)
			}
			must.Eq(t, tc.granted, submit(h, uint64(tc.born), 1).GetGrant() != nil) //nolint:gosec // Small.
		}
	})
}

// Guards against a scheduler that is not told that an upstream leaves because the roster says so already: the
// goroutine that records it may run first.
func TestLeavingRecordedBeforeItIsAnnounced(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		must.NoError(t, h.Report(t.Context(), newReport("s", 1, wire.Upstream_STATE_SERVING)))
		must.NotNil(t, submit(h, 1, 1).GetGrant())
		_, err := f.Propose(t.Context(), &wire.Command{Kind: &wire.Command_Enroll{Enroll: &wire.Enroll{Upstream: leaver(f.Upstream("s"))}}})
		must.NoError(t, err)
		h.applyLeaving(h.scheduler(), []*wire.Leaving{{Upstream: "s"}})
		must.Nil(t, submit(h, 2, 1).GetGrant())
	})
}

// Guards against a report that is handled while its upstream says in a response that it leaves, and that
// announces the upstream as serving afterwards: whether it leaves is looked up in the same critical section
// in which the announcement is numbered.
func TestLeavingIsLookedUpWithTheAnnouncement(t *testing.T) {
	var table upstreamTable
	lookedUp := false
	table.announce(newReport("s", 1, wire.Upstream_STATE_SERVING).GetUpstream(), func(u *wire.Upstream) *wire.Upstream {
		lookedUp = true
		must.False(t, table.mu.TryLock())
		return leaver(u)
	}, nil, time.Second, standing{}, 0)
	must.True(t, lookedUp)
	must.Eq(t, wire.Upstream_STATE_LEAVING, table.byID["s"].GetState())
}
