package hub

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"azurelane/core/canary"
	"azurelane/core/wire"
)

func versionReport(id, version string, seq uint64) *wire.Report {
	r := newReport(id, seq, wire.Upstream_STATE_SERVING)
	r.Upstream.Version = version
	return r
}

// reportingEntry reports what it sees of a rollout, like an entry process.
type reportingEntry struct {
	h    *Hub
	ev   *wire.RolloutEvidence
	base *wire.RouteEvidence
	next *wire.RouteEvidence
}

func newReportingEntry(h *Hub, number uint64) *reportingEntry {
	e := &reportingEntry{h: h, base: &wire.RouteEvidence{Route: "r"}, next: &wire.RouteEvidence{Route: "r", Target: true}}
	for _, r := range []*wire.RouteEvidence{e.base, e.next} {
		r.Times = []*wire.TimeCounts{{Counts: make([]int64, canary.Buckets)}}
	}
	e.ev = &wire.RolloutEvidence{Pool: "engines", Number: number, Routes: []*wire.RouteEvidence{e.base, e.next}}
	return e
}

// report adds answers to the counts and returns the split in force.
func (e *reportingEntry) report(t *testing.T, requests, failed int64) *wire.Split {
	t.Helper()
	f, err := e.h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Evidence{Evidence: &wire.Evidence{
		Node: "e", Incarnation: "i", Rollouts: []*wire.RolloutEvidence{proto.CloneOf(e.ev)},
	}}})
	must.NoError(t, err)
	must.Len(t, 1, f.GetRollouts().GetSplits())
	s := f.GetRollouts().GetSplits()[0]
	share := s.GetShare()
	for _, r := range s.GetShares() {
		share = r.GetShare()
	}
	next := int64(share * float64(requests))
	add(e.base, requests-next, 0)
	add(e.next, next, min(failed, next))
	return s
}

func add(r *wire.RouteEvidence, n, failed int64) {
	r.Sent, r.Ended, r.Failed = r.GetSent()+n, r.GetEnded()+n, r.GetFailed()+failed
	r.GetTimes()[0].GetCounts()[canary.Bucket(10*time.Millisecond)] += n - failed
}

func order(h *Hub, to string) error {
	return h.StartRollout(context.Background(), "engines", to, 12*time.Second)
}

func phase(t *testing.T, h *Hub) wire.Rollout_Phase {
	t.Helper()
	r, err := h.Rollout(t.Context(), "engines")
	must.NoError(t, err)
	return r.GetPhase()
}

// Guards against upstreams of another version that get requests before any order names it.
func TestOtherVersionsAreHeld(t *testing.T) {
	for _, test := range []struct {
		name string
		hold bool
	}{{"held", true}, {"not held", false}} {
		t.Run(test.name, func(t *testing.T) {
			runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
				h.HoldVersions = test.hold
				must.NoError(t, h.Report(t.Context(), versionReport("old", "v1", 1)))
				must.NoError(t, h.Report(t.Context(), versionReport("new", "v2", 1)))
				got := map[string]int{}
				for id := range uint64(5) {
					got[submit(h, id+1, 1).GetGrant().GetUpstream()]++
				}
				must.Eq(t, test.hold, got["new"] == 0)
				must.NoError(t, order(h, "v2"))
				time.Sleep(time.Second)
				for id := range uint64(20) {
					must.NotEq(t, "new", submit(h, id+100, 1).GetGrant().GetUpstream(), must.Sprint("no evidence yet"))
				}
			})
		})
	}
}

func TestOrders(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		must.NoError(t, h.Report(t.Context(), versionReport("old", "v1", 1)))
		code := func(err error) string {
			var fault *wire.Fault
			must.True(t, errors.As(err, &fault), must.Sprint(err))
			return fault.GetCode()
		}
		must.Eq(t, RolloutUnknown, code(h.StartRollout(t.Context(), "none", "v2", time.Second)))
		must.Eq(t, RolloutInvalid, code(h.StartRollout(t.Context(), "engines", "", time.Second)))
		must.Eq(t, RolloutInvalid, code(h.StartRollout(t.Context(), "engines", "v2", 0)))
		r, err := h.Rollout(t.Context(), "engines")
		must.NoError(t, err)
		must.Nil(t, r)
		f.setVoters(2)
		must.Error(t, order(h, "v2"), must.Sprint("it could be lost with a replica"))
		f.setVoters(3)
		must.NoError(t, order(h, "v2"))
		must.NoError(t, order(h, "v2"), must.Sprint("sent again"))
		must.Eq(t, RolloutConflict, code(order(h, "v3")))
		f.mu.Lock()
		f.noQuorum = true
		f.mu.Unlock()
		_, err = h.Rollout(t.Context(), "engines")
		must.ErrorIs(t, err, ErrNoQuorum)
	})
}

// A version that fails is rolled back, and gets nothing from the moment on in which that is seen,
// also while no quorum records it.
func TestBadVersionIsRolledBack(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		h.HoldVersions, h.RolloutShare, h.RolloutSlack = true, 0.1, 50
		must.NoError(t, h.Report(t.Context(), versionReport("old", "v1", 1)))
		must.NoError(t, order(h, "v2"))
		must.NoError(t, h.Report(t.Context(), versionReport("new", "v2", 1)))
		e := newReportingEntry(h, 1)
		shared := false
		for range 20 {
			shared = e.report(t, 100, 0).GetShare() > 0 || shared
			time.Sleep(100 * time.Millisecond)
		}
		must.True(t, shared)
		f.mu.Lock()
		f.noQuorum = true
		f.mu.Unlock()
		for range 10 {
			e.report(t, 100, 100)
			time.Sleep(100 * time.Millisecond)
		}
		s := e.report(t, 100, 100)
		must.Zero(t, s.GetShare())
		must.SliceEmpty(t, s.GetShares())
		f.mu.Lock()
		f.noQuorum = false
		f.mu.Unlock()
		time.Sleep(time.Second)
		must.Eq(t, wire.Rollout_PHASE_ROLLED_BACK, phase(t, h))
	})
}

// Guards against a bad version that gets requests for as long as the log takes no command: a disk
// that hangs delays each record of a rollout by a second.
func TestSlowLogDelaysNoVerdict(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		h.HoldVersions, h.RolloutShare, h.RolloutSlack = true, 0.1, 50
		must.NoError(t, h.Report(t.Context(), versionReport("old", "v1", 1)))
		must.NoError(t, order(h, "v2"))
		must.NoError(t, h.Report(t.Context(), versionReport("new", "v2", 1)))
		e := newReportingEntry(h, 1)
		for range 19 {
			e.report(t, 100, 0)
			time.Sleep(100 * time.Millisecond)
		}
		f.setStalled(true)
		for !f.isStalling() { // Until a record of the elapsed time is on its way.
			e.report(t, 10, 0)
			time.Sleep(10 * time.Millisecond)
		}
		e.report(t, 1000, 1000)
		e.report(t, 10, 0)
		time.Sleep(3 * rolloutInterval)
		s := e.report(t, 10, 0)
		must.Zero(t, s.GetShare())
		must.SliceEmpty(t, s.GetShares())
		f.setStalled(false)
		time.Sleep(3 * time.Second)
		must.Eq(t, wire.Rollout_PHASE_ROLLED_BACK, phase(t, h))
	})
}

// A good version gets all requests at the end, and the rollout completes before its deadline, also
// if another replica takes over in the middle. It never ends early because of that.
func TestGoodVersionCompletes(t *testing.T) {
	for _, test := range []struct {
		name     string
		takeover bool
	}{{"one leader", false}, {"takeover", true}} {
		t.Run(test.name, func(t *testing.T) {
			runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
				h.HoldVersions, h.RolloutShare, h.RolloutSlack = true, 0.1, 50
				must.NoError(t, h.Report(t.Context(), versionReport("old", "v1", 1)))
				must.NoError(t, order(h, "v2"))
				start, ended := time.Now(), time.Duration(0)
				e := newReportingEntry(h, 1)
				for n := uint64(1); time.Since(start) < 12*time.Second && ended == 0; n++ {
					must.NoError(t, h.Report(t.Context(), versionReport("old", "v1", n+1)))
					must.NoError(t, h.Report(t.Context(), versionReport("new", "v2", n)))
					e.report(t, 100, 0)
					if phase(t, h) == wire.Rollout_PHASE_COMPLETED {
						ended = time.Since(start)
					}
					if test.takeover && n == 30 {
						f.setLeads(false)
						time.Sleep(500 * time.Millisecond)
						f.setLeads(true)
					}
					time.Sleep(100 * time.Millisecond)
				}
				must.Greater(t, 6*time.Second, ended)
				must.Less(t, 12*time.Second, ended)
				must.NoError(t, h.Report(t.Context(), versionReport("old", "v1", 1000)))
				got := map[string]int{}
				for id := range uint64(4) {
					got[submit(h, id+1, 1).GetGrant().GetUpstream()]++
				}
				must.Eq(t, 4, got["new"])
			})
		})
	}
}

// A replica that takes over goes on where a rollout stands: the clock neither starts anew nor runs
// ahead of the replicas that measured it.
func TestRolloutClock(t *testing.T) {
	var c rolloutClock
	at := time.Unix(1000, 0)
	r := &wire.Rollout{Pool: "p", Number: 1}
	c.observe(at, []*wire.Rollout{r})
	must.Eq(t, 3*time.Second, c.elapsed(at.Add(3*time.Second), r))
	behind := &wire.Rollout{Pool: "p", Number: 1, ElapsedUs: time.Second.Microseconds()}
	c.observe(at.Add(3*time.Second), []*wire.Rollout{behind})
	must.Eq(t, 4*time.Second, c.elapsed(at.Add(4*time.Second), behind), must.Sprint("measured here"))
	ahead := &wire.Rollout{Pool: "p", Number: 1, ElapsedUs: (9 * time.Second).Microseconds()}
	c.observe(at.Add(4*time.Second), []*wire.Rollout{ahead})
	must.Eq(t, 10*time.Second, c.elapsed(at.Add(5*time.Second), ahead), must.Sprint("recorded by a leader that measured more"))
	c.learn(at.Add(5*time.Second), ahead, 11*time.Second)
	must.Eq(t, 12*time.Second, c.elapsed(at.Add(6*time.Second), ahead), must.Sprint("an entry has known of it for longer"))
	c.learn(at.Add(6*time.Second), ahead, time.Second)
	must.Eq(t, 12*time.Second, c.elapsed(at.Add(6*time.Second), ahead), must.Sprint("an entry that has just started"))
	next := &wire.Rollout{Pool: "p", Number: 2}
	c.observe(at.Add(6*time.Second), []*wire.Rollout{next})
	must.Eq(t, time.Second, c.elapsed(at.Add(7*time.Second), next))
}
