package origin

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"azurelane/core/digest"
	"azurelane/core/wire"
)

func TestVersion(t *testing.T) {
	var o Origin
	now := time.Unix(1000, 0)
	a, b := Key("t", "p", "1"), Key("t", "p", "2")
	o.Record(now, a, "v1", 10*time.Second)
	o.Record(now, b, "", time.Second)
	for _, test := range []struct {
		name    string
		after   time.Duration
		stream  digest.Digest
		version string
		known   bool
	}{
		{"known", 0, a, "v1", true},
		{"without a version", 0, b, "", true},
		{"other account", 0, Key("u", "p", "1"), "", false},
		{"other pool", 0, Key("t", "q", "1"), "", false},
		{"no attempt", 0, Key("t", "p", ""), "", false},
		{"at the end of its time", 10*time.Second - 1, a, "v1", true},
		{"after its time", 10 * time.Second, a, "v1", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			version, known := o.Version(now.Add(test.after), test.stream)
			must.Eq(t, test.known, known)
			if known {
				must.Eq(t, test.version, version)
			}
		})
	}
}

// Guards against a stream that is forgotten while its caller still takes it up again and again.
func TestRecordAgainKeepsTheLongerTime(t *testing.T) {
	var o Origin
	now := time.Unix(1000, 0)
	a := Key("t", "p", "1")
	o.Record(now, a, "v1", 10*time.Second)
	o.Record(now.Add(time.Second), a, "v1", time.Second)
	_, known := o.Version(now.Add(9*time.Second), a)
	must.True(t, known)
	o.Record(now.Add(9*time.Second), a, "v1", 10*time.Second)
	_, known = o.Version(now.Add(18*time.Second), a)
	must.True(t, known)
	must.Eq(t, 1, o.Len())
}

// Guards against memory that grows with a flood of streams, new ones or one recorded again and again.
func TestMemoryIsBounded(t *testing.T) {
	o := Origin{Limit: 100}
	now := time.Unix(1000, 0)
	for n := range 10_000 {
		o.Record(now, Key("t", "p", strconv.Itoa(n)), "v1", time.Hour)
		must.LessEq(t, 100, o.Len())
	}
	for range 10_000 {
		o.Record(now, Key("t", "p", "9999"), "v1", time.Hour)
	}
	must.LessEq(t, 200, len(o.order))
	_, known := o.Version(now, Key("t", "p", "9999"))
	must.True(t, known)
	o.Record(now.Add(2*time.Hour), Key("t", "p", "new"), "v1", time.Second)
	must.Eq(t, 1, o.Len())
}

func TestMerge(t *testing.T) {
	var from, to Origin
	now := time.Unix(1000, 0)
	from.Record(now, Key("t", "p", "1"), "v1", 10*time.Second)
	from.Record(now, Key("t", "p", "2"), "v2", time.Second)
	list := from.List(now.Add(2 * time.Second))
	must.Len(t, 1, list)
	to.Merge(now.Add(2*time.Second), append(list, &wire.Origin{Stream: []byte("short")}))
	must.Eq(t, 1, to.Len())
	version, known := to.Version(now.Add(9*time.Second), Key("t", "p", "1"))
	must.True(t, known)
	must.Eq(t, "v1", version)
	_, known = to.Version(now.Add(10*time.Second), Key("t", "p", "1"))
	must.False(t, known)
}

// Guards against a wrong version: whatever is recorded and forgotten, a known version is the last one
// recorded, and its time is not over.
func TestKnownVersionsAreRight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type last struct {
			version string
			until   time.Time
		}
		o := Origin{Limit: rapid.IntRange(1, 20).Draw(t, "limit")}
		now := time.Unix(1000, 0)
		want := map[int]last{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			n := rapid.IntRange(0, 30).Draw(t, "stream")
			if rapid.Bool().Draw(t, "record") {
				keep := time.Duration(rapid.IntRange(0, 10_000).Draw(t, "keep")) * time.Millisecond
				version := rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "version")
				o.Record(now, Key("t", "p", strconv.Itoa(n)), version, keep)
				until := now.Add(keep)
				if want[n].until.After(until) {
					until = want[n].until
				}
				want[n] = last{version, until}
			}
			if version, known := o.Version(now, Key("t", "p", strconv.Itoa(n))); known {
				if version != want[n].version || !now.Before(want[n].until) {
					t.Fatalf("stream %d: %q, expected %q until %v, now %v", n, version, want[n].version, want[n].until, now)
				}
			}
			if o.Len() > o.Limit {
				t.Fatalf("%d streams, limit %d", o.Len(), o.Limit)
			}
		}
	})
}
