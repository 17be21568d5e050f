package hub

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"azurelane/core/digest"
	"azurelane/core/wire"
)

func (f *fakeReplica) setNoQuorum(yes bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noQuorum = yes
}

// Guards against an acknowledgement that follows from what was received and not from what is stored: a report is
// sent again, to any replica, after a quorum could not store it.
func TestReportsSentAgainAreStored(t *testing.T) {
	const serving, leaving, gone = wire.Upstream_STATE_SERVING, wire.Upstream_STATE_LEAVING, wire.Upstream_STATE_GONE
	moved := newReport("s", 2, serving)
	moved.Upstream.Address = "10.9.9.9:80"
	restarted := newReport("s", 1, serving)
	restarted.Upstream.Born = 7
	later := newReport("s", 3, serving)
	for _, tt := range []struct {
		name   string
		report *wire.Report
		then   *wire.Report // Received between the tries; nil for none.
		stored func(u *wire.Upstream) bool
	}{
		{"leaves", newReport("s", 2, leaving), nil, func(u *wire.Upstream) bool { return u.GetState() == leaving }},
		{"leaves, and a later report came", newReport("s", 2, leaving), later, func(u *wire.Upstream) bool { return u.GetState() == leaving }},
		{"new address", moved, nil, func(u *wire.Upstream) bool { return u.GetAddress() == "10.9.9.9:80" }},
		{"new upstream", newReport("other", 1, serving), nil, func(u *wire.Upstream) bool { return u != nil }},
		{"started again", restarted, nil, func(u *wire.Upstream) bool { return u.GetBorn() == 7 }},
		{"ends", &wire.Report{Upstream: &wire.Upstream{Id: "s"}, Deregister: true}, nil, func(u *wire.Upstream) bool { return u.GetState() == gone }},
		{"ends, and is unknown", &wire.Report{Upstream: &wire.Upstream{Id: "other"}, Deregister: true}, nil, func(u *wire.Upstream) bool { return u.GetState() == gone }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
				must.NoError(t, h.Report(t.Context(), newReport("s", 1, serving)))
				f.setNoQuorum(true)
				for range 3 {
					must.Error(t, h.Report(t.Context(), tt.report), must.Sprint("no quorum"))
					if tt.then != nil {
						_ = h.Report(t.Context(), tt.then)
					}
				}
				f.setNoQuorum(false)
				must.NoError(t, h.Report(t.Context(), tt.report))
				must.True(t, tt.stored(f.Upstream(tt.report.GetUpstream().GetId())))
				revision := f.RosterRevision()
				must.NoError(t, h.Report(t.Context(), tt.report))
				must.Eq(t, revision, f.RosterRevision(), must.Sprint("stored before"))
			})
		})
	}
}

// Guards against the acknowledgement of a report whose first proposal is still under way.
func TestReportSentAgainWhileItIsProposed(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		must.NoError(t, h.Report(t.Context(), newReport("s", 1, wire.Upstream_STATE_SERVING)))
		f.mu.Lock()
		f.enrollsHang = true
		f.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), announceInterval)
		defer cancel()
		first := make(chan error, 1)
		go func() { first <- h.Report(ctx, newReport("s", 2, wire.Upstream_STATE_LEAVING)) }()
		must.Error(t, h.Report(ctx, newReport("s", 2, wire.Upstream_STATE_LEAVING)))
		must.Error(t, <-first)
	})
}

// Guards against a late report that replaces what a later one has stored.
func TestLateReportsChangeNothing(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		moved := newReport("s", 5, wire.Upstream_STATE_SERVING)
		moved.Upstream.Address = "10.9.9.9:80"
		must.NoError(t, h.Report(t.Context(), newReport("s", 1, wire.Upstream_STATE_SERVING)))
		must.NoError(t, h.Report(t.Context(), moved))
		must.NoError(t, h.Report(t.Context(), newReport("s", 4, wire.Upstream_STATE_SERVING)))
		must.Eq(t, "10.9.9.9:80", f.Upstream("s").GetAddress())
		must.NoError(t, h.Report(t.Context(), newReport("s", 6, wire.Upstream_STATE_LEAVING)))
		must.NoError(t, h.Report(t.Context(), newReport("s", 5, wire.Upstream_STATE_SERVING)))
		must.Eq(t, wire.Upstream_STATE_LEAVING, f.Upstream("s").GetState())
	})
}

// Guards against a ban that an operator was told is lifted, and that the next leader puts in force again.
func TestLiftOfBanIsStored(t *testing.T) {
	d := digest.Of("a", "POST", "/x", nil)
	crashes := &wire.Crashes{}
	for _, up := range []string{"u", "v", "w"} {
		crashes.Crashes = append(crashes.Crashes, &wire.Crash{Digest: d[:], Upstream: up})
	}
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		_, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Crashes{Crashes: crashes}})
		must.NoError(t, err)
		synctest.Wait()
		lift := &wire.Frame{Body: &wire.Frame_BanQuery{BanQuery: &wire.BanQuery{Lift: [][]byte{d[:]}}}}
		f.setNoQuorum(true)
		for range 2 {
			_, err = h.Handle(t.Context(), lift)
			must.Error(t, err)
		}
		f.setNoQuorum(false)
		_, err = h.Handle(t.Context(), lift)
		must.NoError(t, err)
		list, _ := f.Bans()
		must.SliceEmpty(t, list)
	})
}
