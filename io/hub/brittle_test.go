package hub

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// Guards against upstreams that get too many requests because a late response, or silence, seems to say
// that they are no longer brittle, and against pools that stay brittle for ever.
func TestBrittleUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	pools := map[string]string{"a": "p", "b": "p", "c": "p", "d": "q"}
	poolOf := func(id string) string { return pools[id] }
	report := func(id string, most int64, age time.Duration) *wire.Brittle {
		return &wire.Brittle{Upstream: id, Most: most, AgeUs: age.Microseconds()}
	}
	for _, test := range []struct {
		name     string
		reports  []*wire.Brittle
		upstream string
		most     int64
		fresh    bool
		pools    []string
	}{
		{"nothing told", nil, "a", 0, false, nil},
		{"told", []*wire.Brittle{report("a", 3, 0)}, "a", 3, false, []string{"p"}},
		{"another one of the pool", []*wire.Brittle{report("a", 3, 0), report("b", 2, 0)}, "c", 2, true, []string{"p"}},
		{"another pool", []*wire.Brittle{report("a", 3, 0)}, "d", 0, false, []string{"p"}},
		{"no longer", []*wire.Brittle{report("a", 3, time.Second), report("a", 0, 0)}, "a", 0, false, nil},
		{"late response", []*wire.Brittle{report("a", 3, 0), report("a", 0, time.Second)}, "a", 3, false, []string{"p"}},
		{"one is not brittle", []*wire.Brittle{report("a", 3, 0), report("b", 0, 0)}, "b", 0, false, []string{"p"}},
		{"unknown upstream", []*wire.Brittle{report("x", 3, 0)}, "a", 0, false, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			var b brittle
			for _, r := range test.reports {
				b.merge(now, []*wire.Brittle{r}, poolOf)
			}
			most, fresh := b.of(test.upstream, poolOf(test.upstream))
			must.Eq(t, test.most, most)
			must.Eq(t, test.fresh, fresh)
			must.Eq(t, test.pools, b.pools())
			changed := b.retain(func(string) bool { return false })
			must.Eq(t, len(test.pools), len(changed))
			must.SliceEmpty(t, b.pools())
		})
	}
}
