package hub

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/acct"
	"azurelane/core/conf"
	"azurelane/core/pool"
	_ "azurelane/core/pull" // Registers the default policy, which plain pools have.
	"azurelane/core/raft"
	"azurelane/core/wire"
)

// partitionedReplica is a leader whose peer in another data centre answers, or has been silent for a
// minute.
type partitionedReplica struct {
	*fakeReplica
	cut atomic.Bool
}

func (p *partitionedReplica) Group() (string, []*wire.Replica, []raft.PeerStatus) {
	group, all, _ := p.fakeReplica.Group()
	s := raft.PeerStatus{Replica: &wire.Replica{DataCentre: "z2"}}
	if p.cut.Load() {
		s.Silence = time.Minute
	}
	return group, all, []raft.PeerStatus{s}
}

// Guards against upstreams that get only an occasional request after a partition has ended, because
// their leases ran out during it.
func TestUpstreamsAreUsedAgainAfterAPartition(t *testing.T) {
	for _, tc := range []struct {
		name     string
		duration time.Duration
	}{{"shorter than the lease", announceInterval}, {"longer than the lease", 2 * leaseIntervals * announceInterval}} {
		t.Run(tc.name, func(t *testing.T) {
			var p partitionedReplica
			prepare := func(h *Hub) {
				p.fakeReplica = h.Replica.(*fakeReplica) //nolint:forcetypeassert // Set by runHubWith.
				h.Replica = &p
			}
			runHubWith(t, prepare, func(t *testing.T, h *Hub, _ *fakeReplica) {
				report := func(seq uint64) {
					r := newReport("s", seq, wire.Upstream_STATE_SERVING)
					r.Upstream.DataCentre = "z2"
					must.NoError(t, h.Report(t.Context(), r))
				}
				report(1)
				p.cut.Store(true)
				time.Sleep(tc.duration)
				p.cut.Store(false)
				time.Sleep(2 * reachCheckInterval)
				report(2)
				for id := range uint64(4) {
					must.NotNil(t, submit(h, id+1, 1).GetGrant(), must.Sprint("request ", id+1))
				}
			})
		})
	}
}

// Guards against requests of a plain pool that reach upstreams which they must not reach, once an
// upstream of the pool has named a limit and its requests take tickets.
func TestTicketsOfPlainPools(t *testing.T) {
	for _, tc := range []struct {
		name    string
		bound   bool
		rollout bool
		cut     bool
		least   int // Grants at the second upstream, which is of version v2 and in another data centre.
		most    int
	}{
		{name: "a new request goes anywhere", least: 1, most: 4},
		{name: "a stream goes on at its version", bound: true},
		{name: "a rollout without a share", rollout: true},
		{name: "a data centre is cut off", cut: true, most: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var p partitionedReplica
			prepare := func(h *Hub) {
				p.fakeReplica = h.Replica.(*fakeReplica) //nolint:forcetypeassert // Set by runHubWith.
				h.Replica = &p
				h.Parse = func([]byte) (*conf.Config, error) {
					return &conf.Config{Accounts: map[string]acct.Account{"a": {Rate: 1000, Burst: 1000}}, Pools: map[string]pool.Pool{"plain": {ByRoute: true}}}, nil
				}
			}
			runHubWith(t, prepare, func(t *testing.T, h *Hub, _ *fakeReplica) {
				for _, u := range []*wire.Upstream{
					{Id: "first", Address: "10.0.1.1:80", Pool: "plain", DataCentre: "z1", Slots: 4, Version: "v1"},
					{Id: "second", Address: "10.0.1.2:80", Pool: "plain", DataCentre: "z2", Slots: 4, Version: "v2"},
				} {
					must.NoError(t, h.Report(t.Context(), &wire.Report{Seq: 1, Upstream: u}))
				}
				if tc.rollout {
					must.NoError(t, h.StartRollout(t.Context(), "plain", "v2", 12*time.Second))
				}
				p.cut.Store(tc.cut)
				time.Sleep(unreachedAfter + 2*reachCheckInterval)
				got := map[string]int{}
				for id := range uint64(8) {
					f, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Ticket{Ticket: &wire.Ticket{
						Id: id + 1, Incarnation: "i", Pool: "plain", Account: "a", Units: 1, Request: strconv.FormatUint(id, 10), DeadlineUs: (100 * time.Millisecond).Microseconds(),
						Bound: tc.bound, GoesOn: tc.bound, Began: "v1",
					}}})
					must.NoError(t, err)
					got[f.GetDecision().GetGrant().GetUpstream()]++ // None if it is refused.
				}
				must.Between(t, tc.least, got["second"], tc.most, must.Sprint(got))
			})
		})
	}
}
