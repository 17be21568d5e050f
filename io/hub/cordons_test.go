package hub

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/cordon"
	"azurelane/core/wire"
)

// effectTime is the time within which a configuration, and a cordon, is in force at all entries.
const effectTime = 2500 * time.Millisecond

func newCordon(order, id string, length time.Duration) *wire.Command {
	return &wire.Command{Id: order, Kind: &wire.Command_OrderCordon{OrderCordon: &wire.OrderCordon{
		Upstream: id, Author: "ann", Reason: "slow", LengthUs: length.Microseconds(),
	}}}
}

func newLift(order, id string) *wire.Command {
	return &wire.Command{Id: order, Kind: &wire.Command_LiftCordon{LiftCordon: &wire.LiftCordon{Upstream: id, Author: "bob"}}}
}

// propose returns the result's code, or the error's text.
func propose(t *testing.T, h *Hub, c *wire.Command) string {
	t.Helper()
	res, err := h.LeaderClient.Propose(t.Context(), c)
	if err != nil {
		return err.Error()
	}
	return res.GetCode()
}

// granted returns which upstreams get tickets, of which there are more than slots at one upstream.
func granted(t *testing.T, h *Hub, ticket *uint64) []string {
	t.Helper()
	ids := map[string]bool{}
	for range 5 {
		*ticket++
		g := submit(h, *ticket, 1).GetGrant()
		if g == nil {
			continue
		}
		ids[g.GetUpstream()] = true
		id := *ticket
		defer func() {
			_, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Release{Release: &wire.Release{
				Ticket: id, Incarnation: "i", Pool: "engines", Upstream: g.GetUpstream(), Slot: g.GetSlot(), Owner: g.GetOwner(), Dispatched: true, Whole: true,
			}}})
			must.NoError(t, err)
		}()
	}
	return slices.Sorted(maps.Keys(ids))
}

// reportAll has the upstreams a and b announce themselves.
func reportAll(t *testing.T, h *Hub, seq uint64, born int64) {
	t.Helper()
	for _, id := range []string{"a", "b"} {
		r := newReport(id, seq, wire.Upstream_STATE_SERVING)
		r.Upstream.Born = born
		must.NoError(t, h.Report(t.Context(), r))
	}
}

// Guards against a cordoned upstream that still gets tickets once the order was acknowledged: at once, after its
// next report, after a restart under its ID, or at the next scheduler. Guards against one that cuts off its runs,
// and against one that does not end when it is lifted or expires.
func TestCordonedUpstreamGetsNoTickets(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		ticket := uint64(0)
		reportAll(t, h, 1, 1)
		must.Eq(t, []string{"a", "b"}, granted(t, h, &ticket))
		running := submit(h, 1000, 1).GetGrant()
		must.Eq(t, cordon.OK, propose(t, h, newCordon("1", running.GetUpstream(), time.Minute)))
		cordoned, other := running.GetUpstream(), map[string]string{"a": "b", "b": "a"}[running.GetUpstream()]
		must.Eq(t, []string{other}, granted(t, h, &ticket))
		must.Eq(t, 1, h.scheduler().slotsByUpstream()[cordoned], must.Sprint("the running request keeps its slot"))
		for name, step := range map[string]func(){
			"its next report": func() { reportAll(t, h, 2, 1) },
			"a restart":       func() { reportAll(t, h, 1, 2) },
			"another leader": func() {
				f.setLeads(false)
				synctest.Wait()
				f.setLeads(true)
				synctest.Wait()
			},
		} {
			step()
			must.Eq(t, []string{other}, granted(t, h, &ticket), must.Sprint(name))
		}
		must.Eq(t, cordon.OK, propose(t, h, newLift("2", cordoned)))
		must.Eq(t, []string{"a", "b"}, granted(t, h, &ticket))

		must.Eq(t, cordon.OK, propose(t, h, newCordon("3", cordoned, 10*time.Second)))
		for seq := range uint64(9) {
			reportAll(t, h, 10+seq, 2)
			time.Sleep(announceInterval)
		}
		must.Eq(t, []string{other}, granted(t, h, &ticket))
		time.Sleep(announceInterval + sweepInterval)
		reportAll(t, h, 20, 2)
		must.Eq(t, []string{"a", "b"}, granted(t, h, &ticket), must.Sprint("expired, though the log still lists it"))
	})
}

// Guards against an order that is half done when it is refused: without a quorum, with too few voters, at a
// replica that does not lead, or because the other upstreams of the pool get no requests. The same order is
// acknowledged once it can be, and again when it is sent again.
func TestRefusedCordonChangesNothing(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		ticket := uint64(0)
		reportAll(t, h, 1, 1)
		setNoQuorum := func(yes bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.noQuorum = yes
		}
		order := newCordon("1", "a", time.Minute)
		for _, tc := range []struct {
			name, text string
			begin, end func()
			order      *wire.Command
		}{
			{"no quorum", "no quorum", func() { setNoQuorum(true) }, func() { setNoQuorum(false) }, order},
			{"too few voters", "unready: hub: 2 of 3 voters", func() { f.setVoters(2) }, func() { f.setVoters(3) }, order},
			{"no leader", "no quorum", func() { f.setLeads(false) }, func() { f.setLeads(true); synctest.Wait() }, order},
			{"the other is silent", cordon.LastUpstream, func() {
				for seq := range uint64(6) {
					must.NoError(t, h.Report(t.Context(), newReport("a", 2+seq, wire.Upstream_STATE_SERVING)))
					time.Sleep(announceInterval)
				}
			}, func() { reportAll(t, h, 30, 1) }, newCordon("2", "a", time.Minute)},
		} {
			tc.begin()
			must.Eq(t, tc.text, propose(t, h, tc.order), must.Sprint(tc.name))
			tc.end()
			time.Sleep(2 * sweepInterval)
			must.Eq(t, []string{"a", "b"}, granted(t, h, &ticket), must.Sprint(tc.name))
			must.SliceEmpty(t, f.state.Cordons().List(), must.Sprint(tc.name))
		}
		must.Eq(t, cordon.OK, propose(t, h, order))
		must.Eq(t, cordon.OK, propose(t, h, order))
		must.Eq(t, []string{"b"}, granted(t, h, &ticket))
	})
}

// Guards against entries that learn of a cordon, or of its end, too late, that miss it when they start or find
// another scheduler, and against polls that are answered at once over and over.
func TestEntriesLearnOfCordons(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		reportAll(t, h, 1, 1)
		synctest.Wait() // Until the reports wake no poll any more.
		first, err := askNews(h, &wire.Watch{Node: "e", Incarnation: "i"})
		must.NoError(t, err)
		must.NotNil(t, first.GetCordons())
		poll := &wire.Watch{Node: "e", Incarnation: "i", Version: 1, Revision: h.Replica.RosterRevision(), Leader: first.GetLeader(), WaitUs: effectTime.Microseconds()}
		next := func(during func()) *wire.News {
			go func() {
				time.Sleep(100 * time.Millisecond)
				during()
			}()
			n, err := askNews(h, poll)
			must.NoError(t, err)
			return n
		}
		for _, tc := range []struct {
			order    *wire.Command
			revision uint64
			want     []string
		}{{newCordon("1", "a", time.Minute), 1, []string{"a"}}, {newLift("2", "a"), 2, nil}, {newCordon("3", "b", time.Minute), 3, []string{"b"}}} {
			start := time.Now()
			n := next(func() { must.Eq(t, cordon.OK, propose(t, h, tc.order)) })
			must.Less(t, effectTime, time.Since(start))
			var ids []string
			for _, c := range n.GetCordons().GetCordons() {
				ids = append(ids, c.GetUpstream())
				must.Between(t, time.Minute-effectTime, micros(c.GetLeftUs()), time.Minute)
			}
			must.Eq(t, tc.want, ids)
			must.Eq(t, tc.revision, n.GetCordons().GetRevision())
			poll.CordonRevision = tc.revision
		}
		start := time.Now()
		must.Nil(t, next(func() {}).GetCordons())
		must.Eq(t, effectTime, time.Since(start))
		poll.CordonRevision = 2
		start = time.Now()
		must.Len(t, 1, next(func() {}).GetCordons().GetCordons())
		must.Eq(t, 0, time.Since(start), must.Sprint("the entry has missed a change"))
		poll.CordonRevision = 3
		f.setLeads(false)
		synctest.Wait()
		f.setLeads(true)
		synctest.Wait()
		n, err := askNews(h, poll)
		must.NoError(t, err)
		must.Len(t, 1, n.GetCordons().GetCordons())
		time.Sleep(effectTime)
	})
}

// Guards against a scheduler of a data centre that is cut off and sends requests to a cordoned upstream: one that
// its replica knows of, or of which only its entries know. A leader takes no list of entries: it would bring back
// a lifted cordon.
func TestCordonsWhileCutOff(t *testing.T) {
	report := &wire.Cordons{Revision: 7, Cordons: []*wire.Cordon{{Upstream: "near", Pool: "engines", LeftUs: time.Minute.Microseconds()}}}
	for _, tc := range []struct {
		name          string
		logged, leads bool
		reported      *wire.Cordons
		gets          bool
	}{
		{name: "unknown", gets: true},
		{name: "in the log", logged: true},
		{name: "entries know", reported: report},
		{name: "entries lag behind", logged: true, reported: &wire.Cordons{}},
		{name: "reported to a leader", leads: true, reported: report, gets: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
				h.DataCentre = "z1"
				if tc.logged {
					far := newReport("far", 1, wire.Upstream_STATE_SERVING)
					far.Upstream.DataCentre = "z2"
					must.NoError(t, h.Report(t.Context(), far))
					must.NoError(t, h.Report(t.Context(), newReport("near", 1, wire.Upstream_STATE_SERVING)))
					must.Eq(t, cordon.OK, propose(t, h, newCordon("1", "near", time.Minute)))
				}
				if tc.leads {
					must.NoError(t, h.Report(t.Context(), newReport("near", 1, wire.Upstream_STATE_SERVING)))
				} else {
					cutOffReplica(t, h, f)
				}
				_, err := askNews(h, &wire.Watch{Node: "e", Incarnation: "i", DataCentre: "z1", Rates: priorUsage, Alone: true, Cordons: tc.reported})
				must.NoError(t, err)
				must.Eq(t, tc.gets, submit(h, 1, 1).GetGrant() != nil)
				for seq := range uint64(61) {
					must.NoError(t, h.Report(t.Context(), newReport("near", 2+seq, wire.Upstream_STATE_SERVING)))
					time.Sleep(announceInterval)
				}
				must.NotNil(t, submit(h, 2, 1).GetGrant(), must.Sprint("expired"))
			})
		})
	}
}

// Guards against a list that leaves out a cordon, also of an upstream that is gone, or that a replica answers
// which has lost its quorum.
func TestListUpstreams(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		reportAll(t, h, 1, 1)
		must.Eq(t, cordon.OK, propose(t, h, newCordon("1", "a", time.Minute)))
		must.NoError(t, h.Report(t.Context(), &wire.Report{Deregister: true, Upstream: &wire.Upstream{Id: "a"}}))
		time.Sleep(5 * announceInterval)
		ask := func(q *wire.UpstreamsQuery) []*wire.UpstreamStatus {
			r, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_UpstreamsQuery{UpstreamsQuery: q}})
			must.NoError(t, err)
			return r.GetUpstreams().GetUpstreams()
		}
		all := ask(&wire.UpstreamsQuery{})
		must.Len(t, 2, all)
		must.Eq(t, wire.Upstream_STATE_GONE, all[0].GetUpstream().GetState())
		must.Eq(t, "ann", all[0].GetCordon().GetAuthor())
		must.Eq(t, "1", all[0].GetCordon().GetOrder())
		must.Between(t, 54*time.Second, micros(all[0].GetCordon().GetLeftUs()), 55*time.Second)
		must.Nil(t, all[1].GetCordon())
		must.NotNil(t, all[1].Running)
		must.True(t, all[1].GetSilent())
		must.Len(t, 1, ask(&wire.UpstreamsQuery{Cordoned: true}))
		must.SliceEmpty(t, ask(&wire.UpstreamsQuery{Pool: "other"}))
		f.mu.Lock()
		f.noQuorum = true
		f.mu.Unlock()
		_, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_UpstreamsQuery{UpstreamsQuery: &wire.UpstreamsQuery{}}})
		must.Error(t, err)
	})
}
