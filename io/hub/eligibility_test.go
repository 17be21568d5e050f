package hub

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

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
