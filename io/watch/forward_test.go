package watch

import (
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// Guards against news of a replica that is behind, which brings back an upstream that leaves: a whole roster or
// changes, from a leader and from a scheduler of this data centre alone.
func TestOlderRosterChangesNothing(t *testing.T) {
	const leaving = wire.Upstream_STATE_LEAVING
	for _, from := range []target{{addr: addr}, {addr: addr, local: true}} {
		for _, tt := range []struct {
			name string
			news *wire.News
		}{
			{"whole", &wire.News{Revision: 4, Whole: true, Leader: "former", Roster: []*wire.Upstream{{Id: "a", Pool: "p"}, {Id: "b", Pool: "p"}}}},
			{"changes", &wire.News{Revision: 4, Leader: "former", Roster: []*wire.Upstream{{Id: "a", Pool: "p"}}}},
			{"whole, without a revision", &wire.News{Whole: true, Leader: "former", Roster: []*wire.Upstream{{Id: "a", Pool: "p"}, {Id: "b", Pool: "p"}}}},
			{"empty", &wire.News{Whole: true, Leader: "former"}},
		} {
			t.Run(tt.name, func(t *testing.T) {
				w := newWatcher(&fakeControl{})
				must.NoError(t, w.applyNews(target{addr: addr}, &wire.News{Revision: 5, Whole: true, Leader: "l", Roster: []*wire.Upstream{
					{Id: "a", Pool: "p", State: leaving}, {Id: "b", Pool: "p"},
				}}))
				must.NoError(t, w.applyNews(from, tt.news))
				must.Len(t, 1, w.View().Upstreams["p"])
				must.Eq(t, "b", w.View().Upstreams["p"][0].GetId())
				must.Eq(t, 5, w.View().Revision)
			})
		}
	}
}

// Guards against an entry that follows a former leader, which lacks what was acknowledged since.
func TestNewsOfFormerLeadersIsRefused(t *testing.T) {
	w := newWatcher(&fakeControl{})
	must.NoError(t, w.applyNews(target{addr: addr}, &wire.News{Term: 4, Leader: "l"}))
	must.Error(t, w.applyNews(target{addr: addr}, &wire.News{Term: 3, Leader: "former", Silent: []string{"a"}}))
	must.Eq(t, "l", w.View().Owner.GetIncarnation())
	must.MapEmpty(t, w.View().Silent)
	must.NoError(t, w.applyNews(target{addr: addr, local: true}, &wire.News{Leader: "alone"}), must.Sprint("a data centre that is cut off goes on"))
	must.NoError(t, w.applyNews(target{addr: addr}, &wire.News{Term: 5, Leader: "next"}))
}
