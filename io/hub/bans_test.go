package hub

import (
	"testing"
	"testing/synctest"
	"time"

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
