package hub

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/allow"
	"azurelane/core/raft"
	"azurelane/core/wire"
)

// cutOffReplica takes the leadership from the replica and cuts it off from the others, with an
// upstream on each side of the cut.
func cutOffReplica(t *testing.T, h *Hub, f *fakeReplica) {
	t.Helper()
	far := newReport("far", 1, wire.Upstream_STATE_SERVING)
	far.Upstream.DataCentre = "z2"
	must.NoError(t, h.Report(t.Context(), newReport("near", 1, wire.Upstream_STATE_SERVING)))
	must.NoError(t, h.Report(t.Context(), far))
	f.mu.Lock()
	f.cutOff = true
	f.mu.Unlock()
	f.setLeads(false)
	synctest.Wait()
}

// priorUsage is the rate of an account at an entry before the cut, in units per second.
var priorUsage = []*wire.AccountUsage{{Account: "a", Units: 250}}

// A data centre is cut off with its control replica, its entries and its upstreams. Its entries
// poll that replica, which places requests only at upstreams on its side. Entries of other data
// centres are sent away, and so are all entries once the replica follows a leader again.
func TestSchedulesItsDataCentreWhileCutOff(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		h.DataCentre = "z1"
		cutOffReplica(t, h, f)
		n, err := askNews(h, &wire.Watch{Node: "e", Incarnation: "i", DataCentre: "z1", Entries: 40, Rates: priorUsage, Alone: true})
		must.NoError(t, err)
		must.Eq(t, 40, n.GetEntries(), must.Sprint("limits are also shared with the entries on the other side of the cut"))
		_, err = askNews(h, &wire.Watch{Node: "o", Incarnation: "o", DataCentre: "z2"})
		must.Error(t, err)
		for id := range uint64(3) {
			d := submit(h, id, 1)
			must.Eq(t, "near", d.GetGrant().GetUpstream(), must.Sprint(d))
		}
		must.Nil(t, h.leaderScheduler(), must.Sprint("it does not lead, so changes to the log are refused"))
		f.mu.Lock()
		f.cutOff = false
		f.notifyLocked()
		f.mu.Unlock()
		synctest.Wait()
		_, err = askNews(h, &wire.Watch{Node: "e", Incarnation: "i", DataCentre: "z1", Alone: true})
		must.Error(t, err)
	})
}

// The leader loses its links to the other replicas, while its entries keep theirs. It then
// schedules only for entries that reach no other replica, and sends away entries that have
// followed it so far: they would miss any configuration that is accepted elsewhere for as long
// as the cut lasts.
func TestEntriesLeaveCutOffLeader(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		h.DataCentre = "z1"
		n, err := askNews(h, &wire.Watch{Node: "e", Incarnation: "i", DataCentre: "z1"})
		must.NoError(t, err)
		cutOffReplica(t, h, f)
		_, err = askNews(h, &wire.Watch{Node: "e", Incarnation: "i", DataCentre: "z1", Leader: n.GetLeader()})
		must.Error(t, err)
	})
}

// Upstreams in a data centre that is cut off send their reports to the replica there, which can't
// store anything. The report of a serving upstream is acknowledged, and the upstream stays in use.
// An upstream that leaves gets no more requests, but its report is not acknowledged: an
// acknowledgement would mean that all entries know of the change.
func TestAnnouncementsWhileCutOff(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		h.DataCentre = "z1"
		cutOffReplica(t, h, f)
		_, err := askNews(h, &wire.Watch{Node: "e", Incarnation: "i", DataCentre: "z1", Rates: priorUsage, Alone: true})
		must.NoError(t, err)
		for seq := range uint64(10) {
			must.NoError(t, h.Report(t.Context(), newReport("near", 2+seq, wire.Upstream_STATE_SERVING)))
			time.Sleep(announceInterval)
		}
		must.Eq(t, "near", submit(h, 1, 1).GetGrant().GetUpstream())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.Error(t, h.Report(ctx, newReport("near", 20, wire.Upstream_STATE_LEAVING)))
		must.NotNil(t, submit(h, 2, 1).GetRefusal())
	})
}

// Entries that served half of an account's requests are cut off. The scheduler there admits the
// rate that the leader reserves for those entries, which is their recent usage, and not the
// whole rate on each side.
func TestRatesWhileCutOff(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		h.DataCentre = "z1"
		cutOffReplica(t, h, f)
		for _, e := range []string{"e1", "e2"} {
			_, err := askNews(h, &wire.Watch{
				Node: e, Incarnation: e, DataCentre: "z1", Entries: 10, Rates: priorUsage, Alone: true,
			})
			must.NoError(t, err)
		}
		must.Between(t, 450, admittedRateHere(h), 550)
	})
}

// Guards against a former leader that counts the entries of all data centres as cut off together
// with it. An account would get half of its rate there, on top of the rate that the next leader
// admits.
func TestRatesOfCutOffFormerLeader(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		h.DataCentre = "z1"
		for i := range 10 {
			e := fmt.Sprint("e", i)
			_, err := askNews(h, &wire.Watch{Node: e, Incarnation: e, DataCentre: fmt.Sprint("z", i+1)})
			must.NoError(t, err)
		}
		cutOffReplica(t, h, f)
		_, err := askNews(h, &wire.Watch{Node: "e0", Incarnation: "e0", DataCentre: "z1", Entries: 10, Alone: true})
		must.NoError(t, err)
		const equal, request = 1000 / 10 * allow.EqualShareFraction, 10
		must.Between(t, equal, admittedRateHere(h), equal+(allow.InitialFraction*1000+request)/rateWindow.Seconds())
	})
}

// rateWindow is the time over which rates are measured.
const rateWindow = 8 * time.Second

// admittedRateHere returns how many units per second the scheduler admits for an account that
// asks for more than its rate.
func admittedRateHere(h *Hub) float64 {
	units := 0.0
	for end := time.Now().Add(rateWindow); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		s := h.scheduler()
		s.mu.Lock()
		if _, ok := s.allow.Take(time.Now(), "a", 10); ok {
			units += 10
		}
		s.mu.Unlock()
	}
	return units / rateWindow.Seconds()
}

// A data centre falls silent: no replica there answers, and no request that was sent there
// completes. A silent replica alone is no sign of a cut while upstreams of the same data centre
// still complete requests. Idle upstreams alone are no sign of a cut either.
func TestReachability(t *testing.T) {
	for _, tc := range []struct {
		name    string
		replica bool // The replica there answers.
		serves  bool // Upstreams there complete requests.
		want    []string
	}{
		{"both", true, true, nil},
		{"idle upstreams", true, false, nil},
		{"the replica has ended", false, true, nil},
		{"cut off", false, false, []string{"z2"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var r reachability
			now, at := time.Unix(1000, 0), time.Unix(1000, 0)
			r.markServed(now, "z2")
			for range 40 {
				now = now.Add(20 * time.Millisecond)
				if tc.replica {
					at = now
				}
				if tc.serves {
					r.markServed(now, "z2")
				}
				r.update(now, []raft.PeerStatus{{Replica: &wire.Replica{DataCentre: "z2"}, Silence: now.Sub(at)}})
			}
			must.SliceEqFunc(t, tc.want, r.list(), func(a, b string) bool { return a == b })
			r.update(now, []raft.PeerStatus{{Replica: &wire.Replica{DataCentre: "z2"}}})
			must.SliceEmpty(t, r.list(), must.Sprint("the replica answers again"))
		})
	}
}

// Guards against a new leader that hands out an older configuration than the deployment had, because
// it schedules before it has applied what was committed, and against entries that ask it again and
// again in the meantime.
func TestLeaderSchedulesOnceEstablished(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(f *fakeReplica) // How the state of the new leader ends.
		want uint64               // Version that the entry gets; zero for none.
	}{
		{"it has applied everything", func(f *fakeReplica) { f.behind = false }, 2},
		{"it loses its leadership", func(f *fakeReplica) { f.leads = false }, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const wait = 300 * time.Millisecond
			runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
				f.setLeads(false)
				synctest.Wait()
				f.mu.Lock()
				f.behind = true
				f.mu.Unlock()
				f.setLeads(true)
				start := time.Now()
				time.AfterFunc(wait, func() {
					f.mu.Lock()
					defer f.mu.Unlock()
					f.state.Apply(&wire.Command{Kind: &wire.Command_Publish{Publish: &wire.Publish{Version: 2, Document: []byte("two")}}})
					tc.end(f)
					f.notifyLocked()
				})
				n, err := askNews(h, &wire.Watch{Node: "e", Incarnation: "i", WaitUs: (2 * time.Second).Microseconds()})
				must.Between(t, wait, time.Since(start), wait+leadershipCheckInterval)
				must.Eq(t, tc.want > 0, err == nil)
				must.Eq(t, tc.want, n.GetVersion())
			})
		})
	}
}
