package hub

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"azurelane/core/digest"
	"azurelane/core/wire"
)

// Guards against bans that are lost when the processes that knew them stop, that return after
// they were lifted, or that are never recorded because at first no quorum answered.
func TestBansAreRecorded(t *testing.T) {
	d := digest.Of("a", "POST", "/x", nil)
	crashes := &wire.Crashes{}
	for _, up := range []string{"u", "v", "w"} {
		crashes.Crashes = append(crashes.Crashes, &wire.Crash{Digest: d[:], Upstream: up})
	}
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		setNoQuorum := func(yes bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.noQuorum = yes
		}
		bannedCount := func() int {
			n, err := askNews(h, &wire.Watch{Node: "new", Incarnation: "new"})
			must.NoError(t, err)
			return len(n.GetBans().GetBanned())
		}
		changeLeader := func() {
			synctest.Wait()
			f.setLeads(false)
			synctest.Wait()
			f.setLeads(true)
			synctest.Wait()
		}
		setNoQuorum(true)
		_, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Crashes{Crashes: crashes}})
		must.NoError(t, err)
		must.Eq(t, 1, bannedCount())
		time.Sleep(time.Second)
		setNoQuorum(false)
		time.Sleep(time.Second)
		changeLeader()
		must.Eq(t, 1, bannedCount())

		time.Sleep(5 * time.Second)
		_, err = h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Try{Try: &wire.Try{Digest: d[:]}}})
		must.NoError(t, err)
		changeLeader()
		time.Sleep(5 * time.Second)
		_, err = h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Try{Try: &wire.Try{Digest: d[:]}}})
		must.Error(t, err, must.Sprint("the only trial of the ban was used under the former scheduler"))

		_, err = h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_BanQuery{BanQuery: &wire.BanQuery{Lift: [][]byte{d[:]}}}})
		must.NoError(t, err)
		must.Eq(t, 0, bannedCount())
		changeLeader()
		must.Eq(t, 0, bannedCount())
	})
}

// Guards against a lifted ban that returns: it is lifted while it is being recorded, or the
// record is loaded before it contains the lift.
func TestLiftedBansStayLifted(t *testing.T) {
	d := digest.Of("a", "POST", "/x", nil)
	crashes := func(ups ...string) *wire.Crashes {
		c := &wire.Crashes{}
		for _, up := range ups {
			c.Crashes = append(c.Crashes, &wire.Crash{Digest: d[:], Upstream: up})
		}
		return c
	}
	recorded := []*wire.Ban{{Digest: d[:]}}
	var b bans
	b.merge(logr.Discard(), crashes("u", "v", "w"))
	c := b.unrecorded(nil)
	must.Len(t, 1, c.GetBanned())
	b.lift(logr.Discard(), [][]byte{d[:]})
	b.markRecorded(c)
	b.load(recorded, 1)
	must.SliceEmpty(t, b.list().GetBanned())
	c = b.unrecorded(recorded)
	must.Len(t, 1, c.GetLifted())
	b.markRecorded(c)
	b.load(recorded, 2)
	must.SliceEmpty(t, b.list().GetBanned())
	must.Nil(t, b.unrecorded(nil))

	b.merge(logr.Discard(), crashes("x", "y", "z"))
	must.Len(t, 1, b.unrecorded(nil).GetBanned(), must.Sprint("the request crashed upstreams again after the lift"))
	must.SliceEmpty(t, b.unrecorded(recorded).GetLifted())
}
