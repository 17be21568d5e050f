package quota_test

import (
	"flag"
	"os"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"azurelane/core/quota"
	"azurelane/core/tier"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// An account's bulk requests fill its limit; some wait and some run. Its alerts replace the newest
// waiting requests, are then admitted in addition to the running ones, and are refused only if
// alerts alone fill the limit.
func TestAlertsBeforeBulk(t *testing.T) {
	var q quota.Quota
	for id := uint64(1); id <= 4; id++ {
		_, ok := q.Admit("a", id, 2, 4)
		must.True(t, ok)
	}
	q.MarkWaiting("a", 3)
	q.MarkWaiting("a", 4)
	_, ok := q.Admit("a", 5, 2, 4)
	must.False(t, ok)
	for _, tc := range []struct {
		id   uint64
		shed []uint64
		ok   bool
	}{{6, []uint64{4}, true}, {7, []uint64{3}, true}, {8, nil, true}, {9, nil, true}, {10, nil, false}} {
		shed, ok := q.Admit("a", tc.id, 0, 4)
		must.Eq(t, tc.shed, shed, must.Sprint(tc.id))
		must.Eq(t, tc.ok, ok, must.Sprint(tc.id))
	}
	must.False(t, q.MarkRunning("a", 4))
	must.True(t, q.MarkRunning("a", 2))
	_, ok = q.Admit("b", 11, 2, 1)
	must.True(t, ok)
}

// After any sequence of calls: no request is refused while a less urgent one of its account waits
// or while its tier has room, no account exceeds its limit in a tier, and all counts return to
// zero.
func TestProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type open struct {
			level   int
			bytes   int64
			waiting bool
		}
		const most, mostBytes = 4, 100
		var q quota.Quota
		admitted := map[uint64]*open{}
		atMost := func(level int) (n int, b int64, lower bool) {
			for _, o := range admitted {
				if o.level <= level {
					n, b = n+1, b+o.bytes
				} else if o.waiting {
					lower = true
				}
			}
			return n, b, lower
		}
		drop := func(ids []uint64, level int) {
			for _, id := range ids {
				must.NotNil(t, admitted[id])
				v := admitted[id]
				must.True(t, v.waiting && v.level > level)
				for other, o := range admitted {
					if o.waiting && (o.level > v.level || (o.level == v.level && other > id)) {
						t.Fatalf("%d was shed before %d", id, other)
					}
				}
				delete(admitted, id)
			}
		}
		for id := uint64(1); id < uint64(rapid.IntRange(2, 80).Draw(t, "steps")); id++ {
			old := uint64(rapid.IntRange(1, int(id)).Draw(t, "old"))
			switch rapid.IntRange(0, 4).Draw(t, "do") {
			case 0, 1:
				level := rapid.IntRange(0, tier.Levels-1).Draw(t, "level")
				shed, ok := q.Admit("a", id, level, most)
				drop(shed, level)
				n, _, lower := atMost(level)
				must.Eq(t, n < most, ok)
				if !ok {
					must.False(t, lower)
					continue
				}
				admitted[id] = &open{level: level}
			case 2:
				o := admitted[old]
				add := int64(rapid.IntRange(0, 60).Draw(t, "bytes"))
				shed, ok := q.AddBytes("a", old, add, mostBytes)
				if o == nil {
					must.False(t, ok)
					continue
				}
				drop(shed, o.level)
				_, b, lower := atMost(o.level)
				must.Eq(t, b+add <= mostBytes, ok)
				if ok {
					o.bytes += add
				} else {
					must.False(t, lower)
				}
			case 3:
				wait := rapid.Bool().Draw(t, "wait")
				if wait {
					q.MarkWaiting("a", old)
				} else {
					must.Eq(t, admitted[old] != nil, q.MarkRunning("a", old))
				}
				if admitted[old] != nil {
					admitted[old].waiting = wait
				}
			case 4:
				q.Release("a", old)
				delete(admitted, old)
			}
		}
		for id := range admitted {
			q.Release("a", id)
		}
		for id := uint64(1000); id < 1000+most; id++ {
			shed, ok := q.Admit("a", id, tier.Levels-1, most)
			must.True(t, ok)
			must.SliceEmpty(t, shed)
		}
	})
}
