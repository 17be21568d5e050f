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
