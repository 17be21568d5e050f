package roster

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

func up(id string, state wire.Upstream_State) *wire.Upstream {
	return &wire.Upstream{Id: id, Address: "10.0.0.1:80", Pool: "engines", Slots: 4, State: state}
}

// A server announces that it leaves, and that it is gone; announcements that it
// sent before arrive seconds later, on another way. Callers would be sent to a
// server that has ended if one of them brought it back.
func TestLateAnnouncementBringsNothingBack(t *testing.T) {
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
				r.Enroll(up("a", s))
			}
			must.Eq(t, tc.want, r.Find("a").GetState())
			must.Eq(t, tc.rev, r.Revision())
		})
	}
}

// A server ends and starts again under its id. What it said before holds no more,
// and what it sent before arrives after what the new process says. Were the new
// one taken for the old, it would never be used, or used while it leaves.
func TestStartedAgainUnderItsId(t *testing.T) {
	const serving, leaving, gone = wire.Upstream_STATE_SERVING, wire.Upstream_STATE_LEAVING, wire.Upstream_STATE_GONE
	type says struct {
		state wire.Upstream_State
		born  int64
	}
	for _, tc := range []struct {
		name string
		says []says
		want says
	}{
		{"after it left", []says{{serving, 1}, {leaving, 1}, {serving, 2}}, says{serving, 2}},
		{"after its end", []says{{serving, 1}, {gone, 1}, {serving, 2}}, says{serving, 2}},
		{"and the former one's end comes late", []says{{serving, 1}, {serving, 2}, {gone, 1}}, says{serving, 2}},
		{"and the former one's leaving comes late", []says{{serving, 2}, {leaving, 1}}, says{serving, 2}},
		{"and leaves", []says{{serving, 1}, {leaving, 2}, {serving, 1}, {serving, 2}}, says{leaving, 2}},
		{"and ends", []says{{gone, 1}, {serving, 2}, {gone, 2}, {serving, 2}}, says{gone, 2}},
		{"its start told only now", []says{{gone, 0}, {serving, 1}}, says{serving, 1}},
		{"its start not told", []says{{serving, 1}, {leaving, 0}, {serving, 0}}, says{leaving, 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var r Roster
			for _, s := range tc.says {
				u := up("a", s.state)
				u.Born = s.born
				r.Enroll(u)
			}
			must.Eq(t, tc.want, says{r.Find("a").GetState(), r.Find("a").GetBorn()})
			var saved Roster
			saved.Load(r.Save())
			must.Eq(t, tc.want, says{saved.Find("a").GetState(), saved.Find("a").GetBorn()})
		})
	}
}

// So many upstreams end that the oldest of them are forgotten. One that has
// started again meanwhile must not be forgotten with its former process.
func TestStartedAgainIsNotForgotten(t *testing.T) {
	var r Roster
	r.Enroll(up("a", wire.Upstream_STATE_GONE))
	again := up("a", wire.Upstream_STATE_SERVING)
	again.Born = 2
	r.Enroll(again)
	for i := range keepGone + 1 {
		r.Enroll(up(strconv.Itoa(i), wire.Upstream_STATE_GONE))
	}
	must.Eq(t, wire.Upstream_STATE_SERVING, r.Find("a").GetState())
}

func TestSince(t *testing.T) {
	var r Roster
	r.Enroll(up("a", wire.Upstream_STATE_SERVING))
	r.Enroll(up("b", wire.Upstream_STATE_SERVING))
	r.Enroll(up("a", wire.Upstream_STATE_GONE))
	for _, tc := range []struct {
		since uint64
		want  []string
		whole bool
	}{
		{0, []string{"b"}, true},
		{1, []string{"b", "a"}, false},
		{2, []string{"a"}, false},
		{3, nil, false},
		{9, []string{"b"}, true}, // Of another log.
	} {
		list, whole := r.Since(tc.since)
		var ids []string
		for _, u := range list {
			ids = append(ids, u.GetId())
		}
		must.Eq(t, tc.want, ids, must.Sprint(tc.since))
		must.Eq(t, tc.whole, whole, must.Sprint(tc.since))
	}
}

// An entry that was away while more upstreams ended than the roster remembers
// must not keep one of them: it gets the whole list, also from a replica that
// restarted from a snapshot meanwhile.
func TestForgottenEndsMakeTheListWhole(t *testing.T) {
	var r Roster
	for i := range keepGone + 2 {
		id := strconv.Itoa(i)
		r.Enroll(up(id, wire.Upstream_STATE_SERVING))
		r.Enroll(up(id, wire.Upstream_STATE_GONE))
	}
	_, whole := r.Since(1)
	must.True(t, whole)
	must.Nil(t, r.Find("0"))
	var again Roster
	again.Load(r.Save())
	must.Eq(t, r.Revision(), again.Revision())
	_, whole = again.Since(1)
	must.True(t, whole)
	must.False(t, again.Enroll(up(strconv.Itoa(keepGone+1), wire.Upstream_STATE_SERVING)))
}

// Guards against changes that are told twice, in another order or not at all, however
// often upstreams changed before, and over a restart.
func TestEachChangeIsToldOnce(t *testing.T) {
	var r Roster
	last := map[string]uint64{}
	for i := range 5000 {
		id := strconv.Itoa(i * 7919 % 40)
		r.Enroll(&wire.Upstream{Id: id, Address: "10.0.0.1:80", Pool: "engines", Slots: int64(i + 1)})
		last[id] = r.Revision()
		if i%500 == 0 {
			list := r.Save()
			r = Roster{}
			r.Load(list)
		}
		since := r.Revision() - min(r.Revision(), uint64(i%90)) //nolint:gosec // Not negative.
		list, whole := r.Since(since)
		must.Eq(t, since == 0, whole)
		want := 0
		for _, rev := range last {
			if rev > since {
				want++
			}
		}
		must.Len(t, want, list)
		for n, u := range list {
			must.Eq(t, last[u.GetId()], u.GetRevision())
			must.True(t, n == 0 || list[n-1].GetRevision() < u.GetRevision())
		}
	}
	must.Less(t, 3*40+keepGone, len(r.order))
}
