package blame

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/digest"
	"azurelane/core/wire"
)

var start = time.Unix(1000, 0)

// at returns the moment n seconds after the start.
func at(n float64) time.Time { return start.Add(time.Duration(n * float64(time.Second))) }

func key(name string) digest.Digest { return Key("account", name) }

// crash is the crash of an upstream under request n, which was sent 0.1 s before.
func crash(n int, upstream string, parts ...string) *wire.Crash {
	d := digest.Of("account", "h", "/x", binary.BigEndian.AppendUint64(nil, uint64(n))) //nolint:gosec // Not negative.
	c := &wire.Crash{Digest: d[:], Upstream: upstream, Account: "account", RunUs: (100 * time.Millisecond).Microseconds()}
	for _, p := range parts {
		k := key(p)
		c.Parts = append(c.Parts, &wire.CrashPart{Key: k[:], Name: p})
	}
	return c
}

func keys(parts ...string) []digest.Digest {
	var list []digest.Digest
	for _, p := range parts {
		list = append(list, key(p))
	}
	return list
}

// Guards against a part that goes on to crash upstreams, and against bans by crashes that prove nothing.
func TestBannedAfterThreeCrashes(t *testing.T) {
	for _, tc := range []struct {
		name   string
		record func(b *Blame)
		banned bool
	}{
		{"two crashes", func(b *Blame) {
			for i := range 2 {
				b.Record(at(float64(i)), crash(i, strconv.Itoa(i), "a", "bad"))
			}
		}, false},
		{"three, one after the other", func(b *Blame) {
			for i := range 3 {
				b.Record(at(float64(i)), crash(i, strconv.Itoa(i), "a", "bad"))
			}
		}, true},
		{"three at once", func(b *Blame) {
			for i := range 3 {
				b.Record(at(1+0.02*float64(i)), crash(i, strconv.Itoa(i), "a", "bad"))
			}
		}, false},
		{"one upstream, reported three times", func(b *Blame) {
			for i := range 3 {
				b.Record(at(float64(i)), crash(i, "up", "a", "bad"))
			}
		}, false},
		{"one request, three times", func(b *Blame) {
			for i := range 3 {
				b.Record(at(float64(i)), crash(7, strconv.Itoa(i), "a", "bad"))
			}
		}, false},
		{"answered after the second", func(b *Blame) {
			for i := range 3 {
				b.Record(at(float64(i)), crash(i, strconv.Itoa(i), "bad"))
				if i == 1 {
					b.Clear(key("bad"), at(1.1))
				}
			}
		}, false},
		{"answered before the first", func(b *Blame) {
			b.Clear(key("bad"), at(-1))
			for i := range 3 {
				b.Record(at(float64(i)), crash(i, strconv.Itoa(i), "bad"))
			}
		}, true},
		{"answered late, sent before the first", func(b *Blame) {
			for i := range 3 {
				b.Record(at(float64(i)), crash(i, strconv.Itoa(i), "bad"))
			}
			b.Clear(key("bad"), at(-1))
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var b Blame
			tc.record(&b)
			must.SliceEmpty(t, b.Evaluate(at(2.1)), must.Sprint("reports are still to come"))
			b.Evaluate(at(3))
			_, refused := b.Refuses(keys("a", "bad", "c"))
			must.Eq(t, tc.banned, refused)
		})
	}
}

// Guards against sound requests that are refused for a part that only came along with the bad one, and
// against bad ones that pass because it did not.
func TestCompanion(t *testing.T) {
	var b Blame
	for i := range 3 {
		b.Record(at(float64(i)), crash(i, strconv.Itoa(i), "companion", "bad", fmt.Sprint("other-", i)))
	}
	must.Len(t, 1, b.Evaluate(at(3)))
	_, refused := b.Refuses(keys("companion", "bad"))
	must.True(t, refused)
	for _, part := range []string{"companion", "bad", "other-0"} {
		_, refused = b.Refuses(keys(part, "other-1"))
		must.False(t, refused, must.Sprint(part, " alone was at no crash"))
	}
	b.Clear(key("companion"), at(4))
	b.Evaluate(at(4))
	_, refused = b.Refuses(keys("bad", "other-9"))
	must.True(t, refused)
	_, refused = b.Refuses(keys("companion", "other-9"))
	must.False(t, refused)
}

// Guards against a popular part that is banned because it was at each crash and hardly anything is
// answered.
func TestPopularPart(t *testing.T) {
	var b Blame
	for i := range 4 {
		up := strconv.Itoa(i)
		b.Record(at(float64(i)), crash(10*i, up, "first", "bad"))
		b.Record(at(float64(i)), crash(10*i+1, up, "first", "popular"))
		if i < 3 {
			b.Record(at(float64(i)), crash(10*i+2, up, "first", "often"))
		}
	}
	b.Evaluate(at(4))
	must.False(t, b.Banned(key("bad")), must.Sprint("it can't be told from the popular one"))
	b.Clear(key("popular"), at(3.1))
	must.Eq(t, keys("bad"), b.Evaluate(at(4)))
	for _, part := range []string{"popular", "often"} {
		_, refused := b.Refuses(keys("first", part))
		must.False(t, refused, must.Sprint(part))
	}
}

// Guards against accounts that get each other's requests refused.
func TestAccountsAreApart(t *testing.T) {
	var b Blame
	for i := range 3 {
		b.Record(at(float64(i)), crash(i, strconv.Itoa(i), "bad"))
	}
	must.Len(t, 1, b.Evaluate(at(3)))
	_, refused := b.Refuses([]digest.Digest{Key("other", "bad")})
	must.False(t, refused)
	must.NotEq(t, Key("ab", "c"), Key("a", "bc"))
}

// Guards against a part that is refused for good though it was mended, and against trials that crash
// more upstreams than they must.
func TestTrials(t *testing.T) {
	var b Blame
	must.False(t, b.Try(start, key("bad")))
	for i := range 3 {
		b.Record(at(float64(i)), crash(i, strconv.Itoa(i), "bad"))
	}
	b.Evaluate(at(3))
	must.False(t, b.Try(at(3), key("bad")))
	must.True(t, b.Try(at(6), key("bad")))
	must.False(t, b.Try(at(6), key("bad")))
	must.True(t, b.Try(at(66), key("bad")))
	must.False(t, b.Try(at(3600), key("bad")))
	banned, _ := b.Bans(at(3600))
	must.Eq(t, noTrial, banned[0].GetNextUs())

	var other Blame // It takes over.
	other.Merge(at(3600), b.Crashes(at(3600)))
	other.Evaluate(at(3600))
	must.True(t, other.Banned(key("bad")))
	must.False(t, other.Try(at(7200), key("bad")))
	must.False(t, other.Clear(key("bad"), at(1)), must.Sprint("sent before the last crash"))
	must.True(t, other.Clear(key("bad"), at(7200)))
	must.False(t, other.Banned(key("bad")))
}

// Guards against a lifted part that is banned again by crashes that were known, and against one that is
// not banned by new ones.
func TestLift(t *testing.T) {
	var b Blame
	for i := range 3 {
		b.Record(at(float64(i)), crash(i, strconv.Itoa(i), "bad"))
	}
	b.Evaluate(at(3))
	must.True(t, b.Lift(at(4), key("bad")))
	must.SliceEmpty(t, b.Evaluate(at(5)))
	for i := range 3 {
		b.Record(at(float64(10+i)), crash(10+i, strconv.Itoa(10+i), "bad"))
	}
	must.Eq(t, keys("bad"), b.Evaluate(at(13)))
}

// Guards against replicas that differ on what is banned when reports come late, twice or in another order.
func TestMergeInAnyOrder(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // Repeats.
	var all []*wire.Crashes
	for i := range 12 {
		c := crash(i, strconv.Itoa(i), "first", fmt.Sprint("part-", i%3))
		c.AgeUs = at(20).Sub(at(float64(i))).Microseconds()
		all = append(all, &wire.Crashes{Crashes: []*wire.Crash{c}})
	}
	for i, name := range []string{"first", "part-1"} {
		k := key(name)
		all = append(all, &wire.Crashes{Answered: []*wire.AnsweredPart{{Key: k[:], AgeUs: at(20).Sub(at(9.5 + float64(i))).Microseconds()}}})
	}
	var want []*wire.Ban
	for round := range 20 {
		var b Blame
		for _, c := range append(all, all[:5]...) {
			b.Merge(at(20), c)
		}
		b.Evaluate(at(20))
		banned, _ := b.Bans(at(20))
		if round == 0 {
			want = banned
			must.Len(t, 2, want)
		}
		must.Eq(t, want, banned)
		rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	}
}

// Guards against memory that grows with what callers send, and against malformed reports.
func TestBounded(t *testing.T) {
	var b Blame
	for i := range 3 {
		b.Record(at(float64(i)), crash(i, strconv.Itoa(i), "bad"))
	}
	must.Len(t, 1, b.Evaluate(at(3)))
	for i := range 2 * maxReports {
		b.add(at(4), crash(1000+i, strconv.Itoa(1000+i), fmt.Sprint("part-", i)))
	}
	b.Refresh(at(4))
	must.Eq(t, maxReports, len(b.reports))
	must.True(t, b.Banned(key("bad")))
	b.Record(at(4), &wire.Crash{Digest: []byte("short"), Parts: []*wire.CrashPart{{Key: []byte("short")}}})
	b.Record(at(4), crash(1, "no parts"))
	must.Eq(t, maxReports, len(b.reports))
	for i := range 2 * maxBans {
		d := key(fmt.Sprint("banned-", i))
		b.RecordBan(at(5), &wire.Ban{Digest: d[:], Part: &wire.PartBan{}})
	}
	banned, _ := b.Bans(at(5))
	must.LessEq(t, maxBans, len(banned))
	b.forget(at(4).Add(reportRetention + time.Second))
	must.SliceEmpty(t, b.reports)
}

// Guards against entries that go on to check each request after the parts of all crashes were answered.
func TestForgets(t *testing.T) {
	var b Blame
	b.Record(at(0), crash(1, "up", "a", "b"))
	b.Clear(key("a"), at(1))
	b.Refresh(at(20))
	must.True(t, b.Watching())
	b.Clear(key("b"), at(1))
	b.Refresh(at(5))
	must.True(t, b.Watching(), must.Sprint("it shows that upstreams crash"))
	b.Refresh(at(20))
	must.False(t, b.Watching())
	for i := range 2 * maxCleared {
		b.Clear(key(strconv.Itoa(i)), at(20+float64(i)/1000))
	}
	b.Refresh(at(30))
	must.Eq(t, maxCleared, len(b.cleared))
	must.MapContainsKey(t, b.cleared, key(strconv.Itoa(2*maxCleared-1)))
	b.Refresh(at(30).Add(reportRetention))
	must.MapEmpty(t, b.cleared)
}

// Guards against entries that are told of no change.
func TestRevision(t *testing.T) {
	var b Blame
	var seen []uint64
	step := func(f func()) {
		f()
		must.False(t, slices.Contains(seen, b.Revision()))
		seen = append(seen, b.Revision())
	}
	for i := range 3 {
		b.Record(at(float64(i)), crash(i, strconv.Itoa(i), "a", "bad"))
	}
	step(func() {})
	step(func() { b.Evaluate(at(3)) })
	step(func() {
		b.Merge(at(4), &wire.Crashes{Answered: []*wire.AnsweredPart{{Key: keyBytes("a")}}})
		b.Evaluate(at(4))
	})
	step(func() { b.Try(at(7), key("bad")) })
	step(func() { b.Lift(at(8), key("bad")) })
}

func keyBytes(name string) []byte {
	k := key(name)
	return k[:]
}
