package place_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"azurelane/core/elig"
	"azurelane/core/item"
	"azurelane/core/place"
	"azurelane/core/slot"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// newUpstream returns an upstream that has been observed to take slow milliseconds for each
// answer token and a tenth of that for each prompt token.
func newUpstream(i int, slow float64, maxRunning int64) *upstr.Upstream {
	u := upstr.New(fmt.Sprint("up-", i))
	announce(u)
	u.Announce.MaxRunning = maxRunning
	u.Update(start, u.Announce)
	for n := range int64(50) {
		prompt, answer := 50+n*40, 10+n%7*30
		first := time.Duration(slow * 100 * float64(prompt) * float64(time.Microsecond))
		total := first + time.Duration(slow*float64(answer)*float64(time.Millisecond))
		u.Observed.RecordSuccess(start, prompt, answer, false, first, total, 1, int(maxRunning))
	}
	return u
}

func announce(u *upstr.Upstream, cached ...uint64) {
	u.Update(start, &wire.Announce{
		Upstream: u.GetUpstream(), MaxRunning: u.GetMaxRunning(), LeaseUs: time.Minute.Microseconds(), CachedPrefixes: cached,
	})
}

func request(prefix uint64) *item.Item {
	return &item.Item{Ticket: &wire.Ticket{PromptTokens: 1000, AnswerTokens: 50, PrefixHash: prefix, Tier: wire.Tier_TIER_NORMAL}}
}

func preset(t must.T, name string) place.Picker {
	p, err := place.Preset(name)
	must.NoError(t, err)
	return p
}

// pick returns the slot for an item that may run on any upstream, or nil.
func pick(p place.Picker, now time.Time, ups []*upstr.Upstream, i *item.Item) *slot.Slot {
	s, _ := p.Pick(now, ups, i, false, "")
	return s
}

// Requests with the same prefix go to the same upstream before any cache event reports the
// prefix. The loss of an upstream moves only the prefixes that had their home there.
func TestPrefixHome(t *testing.T) {
	p := preset(t, place.Goodput)
	var ups []*upstr.Upstream
	for i := range 8 {
		ups = append(ups, newUpstream(i, 1, 16))
	}
	homes := map[uint64]string{}
	used := map[string]int{}
	for prefix := uint64(1); prefix <= 400; prefix++ {
		homes[prefix] = pick(p, start, ups, request(prefix*7919)).Upstream.GetUpstream()
		used[homes[prefix]]++
	}
	for name, n := range used {
		must.Between(t, 20, n, 90, must.Sprint(name))
	}
	for prefix, home := range homes {
		now := pick(p, start, ups[1:], request(prefix*7919)).Upstream.GetUpstream()
		must.True(t, home == "up-0" || home == now)
	}
}

// Cache events come late and with gaps. An upstream is assumed to have cached the prefixes
// that it reported and those that were sent to it recently. A wrong assumption costs one
// detour, and a home that is too full is not used.
func TestCacheEvents(t *testing.T) {
	p := preset(t, place.Prefill)
	a, b := newUpstream(0, 1, 4), newUpstream(1, 1.2, 4)
	ups := []*upstr.Upstream{a, b}
	i := request(5)
	i.PromptTokens = 100 // So few that the detour decides, not the saved prefill.
	announce(b, 5)
	s := pick(p, start, ups, i)
	must.Eq(t, "up-1", s.Upstream.GetUpstream())
	must.True(t, s.PrefixCached)
	b.Cache.Forget(5)
	must.False(t, pick(p, start, ups, i).PrefixCached)
	b.Cache.RecordSent(start, 5)
	announce(b) // A cache event without prefix 5.
	s = pick(p, start, ups, i)
	must.Eq(t, "up-1", s.Upstream.GetUpstream())
	must.True(t, s.PrefixCached)
	b.Running = 3
	must.Eq(t, "up-0", pick(p, start, ups, i).Upstream.GetUpstream(), must.Sprint("fuller than the mean allows"))
}

// Whatever is assumed about caches, the chosen upstream has room, serves the request, meets
// its deadline and is expected to finish it no later than the detour allows. If none is
// chosen, no available upstream qualifies.
func TestBoundedDetour(t *testing.T) {
	ups := []*upstr.Upstream{newUpstream(0, 1, 4), newUpstream(1, 1.3, 4), newUpstream(2, 3, 4), newUpstream(3, 8, 4)}
	rapid.Check(t, func(t *rapid.T) {
		p := preset(t, rapid.SampledFrom([]string{place.Goodput, place.Prefill}).Draw(t, "preset"))
		i := request(rapid.Uint64Range(0, 3).Draw(t, "prefix"))
		i.Long = rapid.Bool().Draw(t, "long")
		short := rapid.Bool().Draw(t, "short")
		if rapid.Bool().Draw(t, "avoids") {
			i.Avoid = []string{"up-0"}
		}
		if ms := rapid.IntRange(0, 1000).Draw(t, "deadline"); ms > 0 {
			i.Deadline = start.Add(time.Duration(ms) * time.Millisecond)
		}
		for _, u := range ups {
			u.Running = rapid.IntRange(0, 4).Draw(t, "running")
			u.LongRunning = rapid.IntRange(0, u.Running).Draw(t, "longs")
			announce(u, rapid.SliceOfN(rapid.Uint64Range(1, 3), 0, 3).Draw(t, "cached")...)
		}
		available := place.Available(start, &elig.Elig{}, ups, nil)
		ok := func(u *upstr.Upstream) bool {
			avoided := len(i.GetAvoid()) > 0 && u.GetUpstream() == "up-0"
			reserved := i.Long && short && u.LongRunning >= 3
			return u.Running < 4 && !avoided && !reserved &&
				(i.Deadline.IsZero() || !start.Add(p.SafeRunTime(u, i.Ticket)).After(i.Deadline))
		}
		finish := func(u *upstr.Upstream) float64 {
			run := u.Observed.RunTime(i.GetPromptTokens(), i.GetAnswerTokens(), i.GetPrefixHash() != 0 && u.Cache.Has(i.GetPrefixHash()))
			return run.Seconds() * (1 + 0.5*float64(u.Running)/4)
		}
		s, _ := p.Pick(start, available, i, short, "")
		if s != nil {
			must.True(t, ok(s.Upstream))
		}
		for _, u := range ups {
			if ok(u) {
				must.NotNil(t, s)
				must.LessEq(t, finish(u)*(1+p.MaxDetour)+1e-6, finish(s.Upstream))
			}
		}
	})
}

// A recovering upstream gets no urgent request unless there is no other upstream.
func TestTrial(t *testing.T) {
	p := preset(t, place.Goodput)
	ups := []*upstr.Upstream{newUpstream(0, 1, 4)}
	ups[0].Observed.StartOutage(start)
	now := start.Add(2 * time.Second)
	urgent := request(0)
	urgent.Tier = wire.Tier_TIER_URGENT
	must.Nil(t, pick(p, now, ups, urgent))
	must.NotNil(t, pick(p, now, ups, request(0)))
	p.AllOnTrial = true
	must.NotNil(t, pick(p, now, ups, urgent))
}
