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

// Guards against bans that are forgotten with the processes that knew them, that come back
// after they were lifted, and that are not recorded because no quorum answered at first.
func TestBansAreRecorded(t *testing.T) {
	d := digest.Of("a", "POST", "/x", nil)
	crashes := &wire.Crashes{}
	for _, up := range []string{"u", "v", "w"} {
		crashes.Crashes = append(crashes.Crashes, &wire.Crash{Digest: d[:], Upstream: up})
	}
	run(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		stuck := func(yes bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.stuck = yes
		}
		banned := func() int {
			n, err := ask(h, &wire.Watch{Node: "new", Incarnation: "new"})
			must.NoError(t, err)
			return len(n.GetBans().GetBanned())
		}
		again := func() {
			synctest.Wait()
			f.lead(false)
			synctest.Wait()
			f.lead(true)
			synctest.Wait()
		}
		stuck(true)
		_, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Crashes{Crashes: crashes}})
		must.NoError(t, err)
		must.Eq(t, 1, banned())
		time.Sleep(time.Second)
		stuck(false)
		time.Sleep(time.Second)
		again()
		must.Eq(t, 1, banned())

		time.Sleep(5 * time.Second)
		_, err = h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Try{Try: &wire.Try{Digest: d[:]}}})
		must.NoError(t, err)
		again()
		time.Sleep(5 * time.Second)
		_, err = h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Try{Try: &wire.Try{Digest: d[:]}}})
		must.Error(t, err, must.Sprint("its one try was under the scheduler before"))

		_, err = h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_BanQuery{BanQuery: &wire.BanQuery{Lift: [][]byte{d[:]}}}})
		must.NoError(t, err)
		must.Eq(t, 0, banned())
		again()
		must.Eq(t, 0, banned())
	})
}

// Guards against a lift that is undone: it comes while the ban is being recorded, or the
// record is read before the lift is in it.
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
	b.take(logr.Discard(), crashes("u", "v", "w"))
	c := b.unrecorded(nil)
	must.Len(t, 1, c.GetBanned())
	b.lift(logr.Discard(), [][]byte{d[:]})
	b.record(c)
	b.load(recorded, 1)
	must.SliceEmpty(t, b.list().GetBanned())
	c = b.unrecorded(recorded)
	must.Len(t, 1, c.GetLifted())
	b.record(c)
	b.load(recorded, 2)
	must.SliceEmpty(t, b.list().GetBanned())
	must.Nil(t, b.unrecorded(nil))

	b.take(logr.Discard(), crashes("x", "y", "z"))
	must.Len(t, 1, b.unrecorded(nil).GetBanned(), must.Sprint("it crashes upstreams after all"))
	must.SliceEmpty(t, b.unrecorded(recorded).GetLifted())
}
