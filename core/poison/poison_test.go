package poison

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/digest"
	"azurelane/core/wire"
)

var start = time.Unix(1000, 0)

func nth(n int) digest.Digest {
	return digest.Of("account", "h", "/x", binary.BigEndian.AppendUint64(nil, uint64(n))) //nolint:gosec // Not negative.
}

// Guards against a request that goes on to crash upstreams, and against a ban of what
// was on one upstream that crashed.
func TestBannedAfterThreeUpstreams(t *testing.T) {
	for _, tc := range []struct {
		name    string
		crashes []string
		watched bool
		banned  bool
	}{
		{"one", []string{"a"}, false, false},
		{"one, told by several entries", []string{"a", "a", "a", "a"}, false, false},
		{"two", []string{"a", "b", "a"}, true, false},
		{"three", []string{"a", "b", "c"}, true, true},
		{"four", []string{"a", "b", "c", "d"}, true, true},
	} {
		var p Poison
		bans := 0
		for _, u := range tc.crashes {
			if p.RecordCrash(start, nth(1), u, false) {
				bans++
			}
		}
		must.Eq(t, tc.banned, p.Banned(nth(1)), must.Sprint(tc.name))
		must.Eq(t, tc.banned, bans == 1, must.Sprint(tc.name))
		must.Eq(t, tc.watched, len(p.Bans(start).GetWatched()) == 1, must.Sprint(tc.name))
		must.False(t, p.Banned(nth(2)))
	}
}

// Guards against replicas that differ on who is banned when news comes late, twice or
// in another order.
func TestCrashesMergeInAnyOrder(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // Repeats.
	var all []*wire.Crashes
	for n := range 20 {
		var p Poison
		for u := range 1 + n%4 {
			p.RecordCrash(start, nth(n), string(rune('a'+u)), n%5 == 0)
			all = append(all, p.Crashes(start))
		}
	}
	var one Poison
	for _, c := range all {
		one.Merge(start, c)
	}
	for range 20 {
		rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		var other Poison
		for _, c := range append(all, all[:5]...) {
			other.Merge(start, c)
		}
		must.Eq(t, one.Bans(start).GetBanned(), other.Bans(start).GetBanned())
	}
}

// Guards against a popular request that is refused because it was on each of several
// upstreams that crashed, though others ran it well since.
func TestClearedByAWholeAnswer(t *testing.T) {
	var p Poison
	d := nth(1)
	p.RecordCrash(start, d, "a", false)
	p.RecordCrash(start, d, "b", false)
	before := p.Revision()
	banned, lifted := p.Merge(start, &wire.Crashes{Cleared: [][]byte{d[:]}})
	must.SliceEmpty(t, banned)
	must.SliceEmpty(t, lifted)
	must.NotEq(t, before, p.Revision())
	must.False(t, p.RecordCrash(start, d, "c", false))
	must.False(t, p.Banned(d))

	p.RecordBan(start, d, 0)
	_, lifted = p.Merge(start, &wire.Crashes{Cleared: [][]byte{d[:]}})
	must.Eq(t, []digest.Digest{d}, lifted)
	must.False(t, p.Banned(d))
}

// Guards against memory that grows with what callers send, and against a ban that is
// pushed out by suspects.
func TestBounded(t *testing.T) {
	var p Poison
	for _, u := range []string{"a", "b", "c"} {
		p.RecordCrash(start, nth(0), u, false)
	}
	for n := range 2 * maxSuspects {
		p.RecordCrash(start.Add(time.Duration(n)*time.Second), nth(n+1), "a", false)
	}
	must.Eq(t, maxSuspects, len(p.suspects))
	must.True(t, p.Banned(nth(0)))
	must.MapNotContainsKey(t, p.suspects, nth(1))
	must.MapContainsKey(t, p.suspects, nth(2*maxSuspects))
}

// Guards against a request that is refused for good because it happened to be on several
// upstreams that crashed, and against one that goes on to crash upstreams by its tries.
func TestTries(t *testing.T) {
	var p Poison
	d := nth(1)
	must.False(t, p.Try(start, d))
	for _, u := range []string{"a", "b", "c"} {
		p.RecordCrash(start, d, u, false)
	}
	must.False(t, p.Try(start, d))
	now := start.Add(trialDelay)
	must.True(t, p.Try(now, d))
	must.False(t, p.Try(now, d))
	var other Poison // It takes over.
	other.Merge(now, p.Crashes(now))
	must.Eq(t, -1, other.Bans(now).GetBanned()[0].GetNextUs())
	must.False(t, other.Try(now.Add(time.Hour), d))
}

// Guards against a popular request that is banned when another one crashes a whole pool,
// and against one that crashes upstreams though it was answered before.
func TestAnsweredBefore(t *testing.T) {
	for _, tc := range []struct {
		name   string
		other  bool // Another request is there at each crash.
		banned bool
	}{{"another is there", true, false}, {"none is", false, true}} {
		var p Poison
		for n := range 6 {
			now, up := start.Add(time.Duration(n)*time.Second), string(rune('a'+n))
			p.RecordCrash(now, nth(1), up, n == 1)
			if tc.other {
				p.RecordCrash(now, nth(2+n/3), up, false)
			}
			p.RecordCrash(now, nth(10+n), up, false) // Others are there by chance, once each.
		}
		must.Eq(t, tc.banned, p.Banned(nth(1)), must.Sprint(tc.name))
		must.Eq(t, tc.other, p.Banned(nth(2)), must.Sprint(tc.name))
	}
}
