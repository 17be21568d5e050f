package doubt

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/digest"
	"azurelane/core/wire"
)

var start = time.Unix(1000, 0)

func newCrash(request, upstream string) *wire.Crash {
	d := digest.Of("a", "h", request, nil)
	return &wire.Crash{Digest: d[:], Upstream: upstream, Id: upstream, Unsure: true}
}

// Guards against crashes that count without a sign that the upstream has ended, that count twice, or that
// count long after.
func TestSettle(t *testing.T) {
	for _, tc := range []struct {
		name  string
		adds  []string // Upstreams under the request "x".
		ended string
		clear bool
		after time.Duration
		want  int
	}{
		{"none has ended", []string{"u", "v"}, "w", false, 0, 0},
		{"one has ended", []string{"u", "v"}, "v", false, 0, 1},
		{"told by two entries", []string{"u", "u"}, "u", false, 0, 1},
		{"the request was answered", []string{"u"}, "u", true, 0, 0},
		{"just in time", []string{"u"}, "u", false, retention, 1},
		{"too late", []string{"u"}, "u", false, retention + time.Millisecond, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var d Doubt
			for _, u := range tc.adds {
				d.Add(start, start, newCrash("x", u))
			}
			must.True(t, d.Knows(start, digest.Of("a", "h", "x", nil)))
			if tc.clear {
				d.Clear(digest.Of("a", "h", "x", nil))
			}
			now, ended := start.Add(tc.after), func(id string, _ int64) bool { return id == tc.ended }
			list := d.Settle(now, ended)
			must.Len(t, tc.want, list)
			for _, c := range list {
				must.False(t, c.GetUnsure())
				must.Eq(t, tc.after.Microseconds(), c.GetAgeUs())
			}
			must.SliceEmpty(t, d.Settle(now, ended), must.Sprint("each counts once"))
		})
	}
}

// Guards against crashes that grow without bound, and against one that is kept although it is old already.
func TestBounds(t *testing.T) {
	var d Doubt
	d.Add(start, start.Add(-retention-time.Second), newCrash("x", "old"))
	must.SliceEmpty(t, d.Crashes(start))
	for i := range maxCrashes + 10 {
		d.Add(start, start, newCrash("x", string(rune('a'+i))))
	}
	must.Len(t, maxCrashes, d.Crashes(start))
	must.Eq(t, string(rune('a'+10)), d.Crashes(start)[0].GetUpstream())
	must.SliceEmpty(t, d.Crashes(start.Add(retention+time.Second)))
}
