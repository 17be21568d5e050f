package roster

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

func newUpstream(id string, state wire.Upstream_State) *wire.Upstream {
	return &wire.Upstream{Id: id, Address: "10.0.0.1:80", Pool: "engines", Slots: 4, State: state}
}

// A server announces that it is leaving and that it is gone. Announcements that it sent earlier
// arrive seconds later over another path. If one of them revived the upstream, requests would be
// sent to a server that has stopped.
func TestLateAnnouncementDoesNotRevive(t *testing.T) {
	const serving, leaving, gone = wire.Upstream_STATE_SERVING, wire.Upstream_STATE_LEAVING, wire.Upstream_STATE_GONE
	for _, tc := range []struct {
		name   string
		states []wire.Upstream_State
		want   wire.Upstream_State
		rev    uint64
	}{
		{"serves", []wire.Upstream_State{serving, serving}, serving, 1},
		{"leaves", []wire.Upstream_State{serving, leaving}, leaving, 2},
		{"late ready after leaving", []wire.Upstream_State{serving, leaving, serving}, leaving, 2},
		{"late ready after the end", []wire.Upstream_State{serving, gone, serving, leaving}, gone, 2},
		{"gone before it was heard", []wire.Upstream_State{gone, serving}, gone, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var r Roster
			for _, s := range tc.states {
				r.Enroll(newUpstream("a", s))
			}
			must.Eq(t, tc.want, r.Find("a").GetState())
			must.Eq(t, tc.rev, r.Revision())
		})
	}
}

// A server restarts under the same id. The state of the old process no longer applies, and its
// announcements may arrive after those of the new process. If the two were confused, the new
// process would get no requests, or would get requests while it is leaving.
func TestRestartUnderSameID(t *testing.T) {
	const serving, leaving, gone = wire.Upstream_STATE_SERVING, wire.Upstream_STATE_LEAVING, wire.Upstream_STATE_GONE
	type announcement struct {
		state wire.Upstream_State
		born  int64
	}
	for _, tc := range []struct {
		name          string
		announcements []announcement
		want          announcement
	}{
		{"after it left", []announcement{{serving, 1}, {leaving, 1}, {serving, 2}}, announcement{serving, 2}},
		{"after its end", []announcement{{serving, 1}, {gone, 1}, {serving, 2}}, announcement{serving, 2}},
		{"and the former one's end comes late", []announcement{{serving, 1}, {serving, 2}, {gone, 1}}, announcement{serving, 2}},
		{"and the former one's leaving comes late", []announcement{{serving, 2}, {leaving, 1}}, announcement{serving, 2}},
		{"and leaves", []announcement{{serving, 1}, {leaving, 2}, {serving, 1}, {serving, 2}}, announcement{leaving, 2}},
		{"and ends", []announcement{{gone, 1}, {serving, 2}, {gone, 2}, {serving, 2}}, announcement{gone, 2}},
		{"its start told only now", []announcement{{gone, 0}, {serving, 1}}, announcement{serving, 1}},
		{"its start not told", []announcement{{serving, 1}, {leaving, 0}, {serving, 0}}, announcement{leaving, 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var r Roster
			for _, s := range tc.announcements {
				u := newUpstream("a", s.state)
				u.Born = s.born
				r.Enroll(u)
			}
			must.Eq(t, tc.want, announcement{r.Find("a").GetState(), r.Find("a").GetBorn()})
			var restored Roster
			restored.Load(r.Save())
			must.Eq(t, tc.want, announcement{restored.Find("a").GetState(), restored.Find("a").GetBorn()})
		})
	}
}

// So many upstreams stop that the oldest tombstones are dropped. An upstream that has restarted in
// the meantime must not be dropped with the tombstone of its previous incarnation.
func TestRestartedUpstreamIsNotDropped(t *testing.T) {
	var r Roster
	r.Enroll(newUpstream("a", wire.Upstream_STATE_GONE))
	restarted := newUpstream("a", wire.Upstream_STATE_SERVING)
	restarted.Born = 2
	r.Enroll(restarted)
	for i := range maxGone + 1 {
		r.Enroll(newUpstream(strconv.Itoa(i), wire.Upstream_STATE_GONE))
	}
	must.Eq(t, wire.Upstream_STATE_SERVING, r.Find("a").GetState())
}

func TestSince(t *testing.T) {
	var r Roster
	r.Enroll(newUpstream("a", wire.Upstream_STATE_SERVING))
	r.Enroll(newUpstream("b", wire.Upstream_STATE_SERVING))
	r.Enroll(newUpstream("a", wire.Upstream_STATE_GONE))
	for _, tc := range []struct {
		since uint64
		want  []string
		full  bool
	}{
		{0, []string{"b"}, true},
		{1, []string{"b", "a"}, false},
		{2, []string{"a"}, false},
		{3, nil, false},
		{9, []string{"b"}, true}, // Revision of another log.
	} {
		list, full := r.Since(tc.since)
		var ids []string
		for _, u := range list {
			ids = append(ids, u.GetId())
		}
		must.Eq(t, tc.want, ids, must.Sprint(tc.since))
		must.Eq(t, tc.full, full, must.Sprint(tc.since))
	}
}

// An entry process was disconnected while more than maxGone upstreams stopped. It must get the full
// list, or it would keep upstreams that are gone. This also holds if it asks a replica that was
// restored from a snapshot in the meantime.
func TestDroppedUpstreamsForceFullList(t *testing.T) {
	var r Roster
	for i := range maxGone + 2 {
		id := strconv.Itoa(i)
		r.Enroll(newUpstream(id, wire.Upstream_STATE_SERVING))
		r.Enroll(newUpstream(id, wire.Upstream_STATE_GONE))
	}
	_, full := r.Since(1)
	must.True(t, full)
	must.Nil(t, r.Find("0"))
	var restored Roster
	restored.Load(r.Save())
	must.Eq(t, r.Revision(), restored.Revision())
	_, full = restored.Since(1)
	must.True(t, full)
	must.False(t, restored.Enroll(newUpstream(strconv.Itoa(maxGone+1), wire.Upstream_STATE_SERVING)))
}

// Guards against changes that are listed twice, out of order or not at all, also after many earlier
// changes and after a restart from a snapshot.
func TestSinceListsEachChangeOnce(t *testing.T) {
	var r Roster
	lastRevision := map[string]uint64{}
	for i := range 5000 {
		id := strconv.Itoa(i * 7919 % 40)
		r.Enroll(&wire.Upstream{Id: id, Address: "10.0.0.1:80", Pool: "engines", Slots: int64(i + 1)})
		lastRevision[id] = r.Revision()
		if i%500 == 0 {
			list := r.Save()
			r = Roster{}
			r.Load(list)
		}
		since := r.Revision() - min(r.Revision(), uint64(i%90)) //nolint:gosec // Not negative.
		list, full := r.Since(since)
		must.Eq(t, since == 0, full)
		want := 0
		for _, rev := range lastRevision {
			if rev > since {
				want++
			}
		}
		must.Len(t, want, list)
		for n, u := range list {
			must.Eq(t, lastRevision[u.GetId()], u.GetRevision())
			must.True(t, n == 0 || list[n-1].GetRevision() < u.GetRevision())
		}
	}
	must.Less(t, 3*40+maxGone, len(r.byRevision))
}
