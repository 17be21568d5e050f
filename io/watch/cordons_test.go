package watch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// Guards against an entry that sends requests to a cordoned upstream, with or without a scheduler, after a roster
// that it gets later, or after an older list of a replica that is cut off; and against a cordon that outlives its
// expiry where no scheduler tells of it.
func TestCordons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatcher(&fakeControl{})
		leader, local := target{addr: addr}, target{addr: addr, local: true}
		list := func(revision uint64, left time.Duration, ids ...string) *wire.Cordons {
			l := &wire.Cordons{Revision: revision}
			for _, id := range ids {
				l.Cordons = append(l.Cordons, &wire.Cordon{Upstream: id, Pool: "p", Author: "ann", Order: id, LeftUs: left.Microseconds()})
			}
			return l
		}
		roster := []*wire.Upstream{{Id: "a", Pool: "p", Born: 1}, {Id: "b", Pool: "p", Born: 1}}
		for _, tc := range []struct {
			name string
			from target
			news *wire.News
			wait time.Duration
			want []string
			left time.Duration // Of the first cordon that the entry reports.
		}{
			{"before the roster", leader, &wire.News{Cordons: list(4, time.Minute, "a")}, 0, nil, time.Minute},
			{"with the roster", leader, &wire.News{Whole: true, Revision: 2, Roster: roster}, 0, []string{"b"}, time.Minute},
			{"after a restart of the upstream", leader, &wire.News{Revision: 3, Roster: []*wire.Upstream{{Id: "a", Pool: "p", Born: 2}}}, 10 * time.Second, []string{"b"}, 50 * time.Second},
			{"older list of a replica that is cut off", local, &wire.News{Revision: 3, Cordons: list(3, time.Hour)}, 0, []string{"b"}, 50 * time.Second},
			{"newer list of it", local, &wire.News{Revision: 3, Cordons: list(5, time.Minute, "a", "b")}, 0, nil, time.Minute},
			{"list of a leader", leader, &wire.News{Revision: 3, Cordons: list(2, time.Minute, "b")}, 0, []string{"a"}, time.Minute},
			{"no list", leader, &wire.News{Revision: 3}, time.Minute - time.Second, []string{"a"}, time.Second},
			{"expired", leader, &wire.News{Revision: 3}, time.Second, []string{"a", "b"}, 0},
		} {
			tc.news.Leader = "l"
			must.NoError(t, w.applyNews(tc.from, tc.news))
			w.dropScheduler("test")
			time.Sleep(tc.wait)
			synctest.Wait()
			var ids []string
			for _, u := range w.View().Upstreams["p"] {
				ids = append(ids, u.GetId())
			}
			must.Eq(t, tc.want, ids, must.Sprint(tc.name))
			var poll wire.Watch
			w.addReports(&poll)
			var left time.Duration
			if all := poll.GetCordons().GetCordons(); len(all) > 0 {
				left = time.Duration(all[0].GetLeftUs()) * time.Microsecond
			}
			must.Eq(t, tc.left, left, must.Sprint(tc.name))
		}
		must.Eq(t, "b", w.View().Upstream("b").GetId(), must.Sprint("its running requests still find it"))
	})
}
