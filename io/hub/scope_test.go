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

// cutOff takes the leadership away and puts the replica behind a cut, with an
// upstream on each side.
func cutOff(t *testing.T, h *Hub, f *fakeReplica) {
	t.Helper()
	far := says("far", 1, wire.Upstream_STATE_SERVING)
	far.Upstream.DataCentre = "z2"
	must.NoError(t, h.Report(t.Context(), says("near", 1, wire.Upstream_STATE_SERVING)))
	must.NoError(t, h.Report(t.Context(), far))
	f.mu.Lock()
	f.cutOff = true
	f.mu.Unlock()
	f.lead(false)
	synctest.Wait()
}

// used is what an account used at an entry before the cut.
var used = []*wire.AccountUsage{{Account: "a", Units: 250}}

// A data centre is cut off with its control replica, its entries and its upstreams.
// Callers there go on: their entries follow that replica, which places requests at
// upstreams of this side alone. An entry of another data centre is sent away, and
// once the replica hears a leader again, all are.
func TestSchedulesItsDataCentreWhileCutOff(t *testing.T) {
	run(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		h.DataCentre = "z1"
		cutOff(t, h, f)
		n, err := ask(h, &wire.Watch{Node: "e", Incarnation: "i", DataCentre: "z1", Entries: 40, Rates: used, Alone: true})
		must.NoError(t, err)
		must.Eq(t, 40, n.GetEntries(), must.Sprint("limits are shared with those behind the cut, too"))
		_, err = ask(h, &wire.Watch{Node: "o", Incarnation: "o", DataCentre: "z2"})
		must.Error(t, err)
		for id := range uint64(3) {
			d := submit(h, id, 1)
			must.Eq(t, "near", d.GetGrant().GetUpstream(), must.Sprint(d))
		}
		must.Nil(t, h.lead(), must.Sprint("it is no leader: what has to be written down is refused"))
		f.mu.Lock()
		f.cutOff = false
		f.tell()
		f.mu.Unlock()
		synctest.Wait()
		_, err = ask(h, &wire.Watch{Node: "e", Incarnation: "i", DataCentre: "z1", Alone: true})
		must.Error(t, err)
	})
}

// The leader loses its way to the other replicas, and its entries keep theirs. It
// schedules for entries that reach nobody else; one that has followed it so far is
// sent to look for the next leader. Following on it would hear of no configuration
// that is accepted elsewhere, for as long as the cut lasts.
func TestFollowersOfALeaderLookForTheNext(t *testing.T) {
	run(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		h.DataCentre = "z1"
		n, err := ask(h, &wire.Watch{Node: "e", Incarnation: "i", DataCentre: "z1"})
		must.NoError(t, err)
		cutOff(t, h, f)
		_, err = ask(h, &wire.Watch{Node: "e", Incarnation: "i", DataCentre: "z1", Leader: n.GetLeader()})
		must.Error(t, err)
	})
}

// Upstreams behind the cut announce themselves to the replica there, which can write
// nothing down. One that serves on is told so and stays in use; one that leaves gets
// no more work, but no word that everyone knows of it.
func TestAnnouncementsWhileCutOff(t *testing.T) {
	run(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		h.DataCentre = "z1"
		cutOff(t, h, f)
		_, err := ask(h, &wire.Watch{Node: "e", Incarnation: "i", DataCentre: "z1", Rates: used, Alone: true})
		must.NoError(t, err)
		for seq := range uint64(10) {
			must.NoError(t, h.Report(t.Context(), says("near", 2+seq, wire.Upstream_STATE_SERVING)))
			time.Sleep(beatEvery)
		}
		must.Eq(t, "near", submit(h, 1, 1).GetGrant().GetUpstream())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.Error(t, h.Report(ctx, says("near", 20, wire.Upstream_STATE_LEAVING)))
		must.NotNil(t, submit(h, 2, 1).GetRefusal())
	})
}

// Half of an account's calls came to entries that are now behind a cut. The scheduler
// there lets pass what the leader leaves to them: what they used of late, and not a
// whole rate on each side.
func TestRatesWhileCutOff(t *testing.T) {
	run(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		h.DataCentre = "z1"
		cutOff(t, h, f)
		for _, e := range []string{"e1", "e2"} {
			_, err := ask(h, &wire.Watch{
				Node: e, Incarnation: e, DataCentre: "z1", Entries: 10, Rates: used, Alone: true,
			})
			must.NoError(t, err)
		}
		must.Between(t, 450, passesHere(h), 550)
	})
}

// Guards against a former leader that takes the entries of all data centres for those
// behind the cut with it: an account gets half of its rate there, beside what the next
// leader lets pass.
func TestRatesWhileAFormerLeaderIsCutOff(t *testing.T) {
	run(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		h.DataCentre = "z1"
		for i := range 10 {
			e := fmt.Sprint("e", i)
			_, err := ask(h, &wire.Watch{Node: e, Incarnation: e, DataCentre: fmt.Sprint("z", i+1)})
			must.NoError(t, err)
		}
		cutOff(t, h, f)
		_, err := ask(h, &wire.Watch{Node: "e0", Incarnation: "e0", DataCentre: "z1", Entries: 10, Alone: true})
		must.NoError(t, err)
		const equal, request = 1000 / 10 * allow.EqualPart, 10
		must.Between(t, equal, passesHere(h), equal+(allow.FreshPart*1000+request)/passesSpan.Seconds())
	})
}

// passesSpan is a window of rates.
const passesSpan = 8 * time.Second

// passesHere is what an account that asks for more than its rate gets from the scheduler
// here, in units a second.
func passesHere(h *Hub) float64 {
	units := 0.0
	for end := time.Now().Add(passesSpan); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		r := h.scheduler()
		r.mu.Lock()
		if _, ok := r.allow.Take(time.Now(), "a", 10); ok {
			units += 10
		}
		r.mu.Unlock()
	}
	return units / passesSpan.Seconds()
}

// A data centre falls silent: no replica there answers, and nothing that was sent
// there ends. A replica alone that has ended is no sign of that, as upstreams beside
// it go on ending runs, nor are upstreams that have nothing to do.
func TestReach(t *testing.T) {
	for _, tc := range []struct {
		name    string
		replica bool // Answers.
		serves  bool
		want    []string
	}{
		{"both", true, true, nil},
		{"idle upstreams", true, false, nil},
		{"the replica has ended", false, true, nil},
		{"cut off", false, false, []string{"z2"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var r reach
			now, at := time.Unix(1000, 0), time.Unix(1000, 0)
			r.ended(now, "z2")
			for range 40 {
				now = now.Add(20 * time.Millisecond)
				if tc.replica {
					at = now
				}
				if tc.serves {
					r.ended(now, "z2")
				}
				r.look(now, []raft.PeerStatus{{Replica: &wire.Replica{DataCentre: "z2"}, Silence: now.Sub(at)}})
			}
			must.SliceEqFunc(t, tc.want, r.list(), func(a, b string) bool { return a == b })
			r.look(now, []raft.PeerStatus{{Replica: &wire.Replica{DataCentre: "z2"}}})
			must.SliceEmpty(t, r.list(), must.Sprint("it is heard again"))
		})
	}
}
