package hub

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// countingLeader counts the frames that a follower sends to the leader.
type countingLeader struct {
	directLeader
	frames atomic.Int64
}

func (c *countingLeader) Ask(ctx context.Context, build func() *wire.Frame) (*wire.Frame, error) {
	c.frames.Add(1)
	return c.directLeader.Ask(ctx, build)
}

func setLeads(h *Hub, yes bool) {
	if f, ok := h.Replica.(*fakeReplica); ok {
		f.setLeads(yes)
	}
}

// withFollower runs a leader with some upstreams and a follower that knows them.
func withFollower(t *testing.T, upstreams int, test func(t *testing.T, leader, follower *Hub, frames *atomic.Int64)) {
	t.Helper()
	runHub(t, func(t *testing.T, leader *Hub, f *fakeReplica) {
		for i := range upstreams {
			must.NoError(t, leader.Report(t.Context(), newReport(fmt.Sprint("s", i), 1, wire.Upstream_STATE_SERVING)))
		}
		up := &countingLeader{directLeader: directLeader{leader}}
		test(t, leader, &Hub{Replica: f.follower(), LeaderClient: up, AnnounceInterval: announceInterval, Log: logr.Discard()}, &up.frames)
	})
}

// Guards against a message to the leader for each report of each upstream, which was a third of all
// its messages with three thousand upstreams. Reports must still keep the leases.
func TestUnchangedReportsShareMessages(t *testing.T) {
	const upstreams, rounds = 500, 5
	withFollower(t, upstreams, func(t *testing.T, leader, follower *Hub, frames *atomic.Int64) {
		for round := range rounds {
			var wg sync.WaitGroup
			for i := range upstreams {
				wg.Go(func() {
					start := time.Now()
					must.NoError(t, follower.Report(t.Context(), newReport(fmt.Sprint("s", i), uint64(round+2), wire.Upstream_STATE_SERVING)))
					must.Less(t, time.Second, time.Since(start), must.Sprint("upstreams wait for a second"))
				})
			}
			wg.Wait()
			time.Sleep(announceInterval)
		}
		must.LessEq(t, 2*rounds, frames.Load())
		synctest.Wait()
		must.NotNil(t, submit(leader, 1, 1).GetGrant())
		must.SliceEmpty(t, leader.scheduler().upstreams.silent)
	})
}

// Guards against an acknowledgement of a change that the leader did not record, and against a report
// that is lost because the follower's roster is behind.
func TestChangesAreReportedAlone(t *testing.T) {
	for _, tc := range []struct {
		name string
		rep  *wire.Report
		want wire.Upstream_State
	}{
		{"leaves", newReport("s0", 2, wire.Upstream_STATE_LEAVING), wire.Upstream_STATE_LEAVING},
		{"ends", &wire.Report{Seq: 2, Deregister: true, Upstream: &wire.Upstream{Id: "s0"}}, wire.Upstream_STATE_GONE},
		{"is new", newReport("other", 1, wire.Upstream_STATE_SERVING), wire.Upstream_STATE_SERVING},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withFollower(t, 1, func(t *testing.T, leader, follower *Hub, _ *atomic.Int64) {
				must.NoError(t, follower.Report(t.Context(), tc.rep))
				must.Eq(t, tc.want, leader.Replica.Upstream(tc.rep.GetUpstream().GetId()).GetState())
			})
		})
	}
	t.Run("has left at the leader", func(t *testing.T) {
		withFollower(t, 1, func(t *testing.T, leader, follower *Hub, frames *atomic.Int64) {
			must.NoError(t, leader.Report(t.Context(), newReport("s0", 2, wire.Upstream_STATE_LEAVING)))
			must.NoError(t, follower.Report(t.Context(), newReport("s0", 1, wire.Upstream_STATE_SERVING)))
			must.Eq(t, wire.Upstream_STATE_LEAVING, leader.Replica.Upstream("s0").GetState())
			must.Eq(t, 2, frames.Load(), must.Sprint("rejected in the batch, then sent alone"))
		})
	})
	t.Run("no leader", func(t *testing.T) {
		withFollower(t, 1, func(t *testing.T, leader, follower *Hub, _ *atomic.Int64) {
			setLeads(leader, false)
			synctest.Wait()
			must.Error(t, follower.Report(t.Context(), newReport("s0", 2, wire.Upstream_STATE_SERVING)))
		})
	})
}

// Guards against reports that are lost, or wait for their batch, when the replica that collects them
// stops: each is passed on alone, at once.
func TestCollectedReportsOutliveTheReplica(t *testing.T) {
	withFollower(t, 1, func(t *testing.T, _, follower *Hub, frames *atomic.Int64) {
		const stop = reportBatchDelay / 4
		stopped := make(chan struct{})
		follower.reports.stopAt(stopped)
		time.AfterFunc(stop, func() { close(stopped) })
		start := time.Now()
		must.NoError(t, follower.Report(t.Context(), newReport("s0", 2, wire.Upstream_STATE_SERVING)))
		must.Eq(t, stop, time.Since(start))
		must.Eq(t, 1, frames.Load())
	})
}
