package place_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

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

// newUp returns an upstream that has shown to need slow times a millisecond
// for each answer token, and a tenth of that for each prompt token.
func newUp(i int, slow float64, running int64) *upstr.Upstream {
	u := upstr.New(fmt.Sprint("up-", i))
	hear(u)
	u.Announce.MaxRunning = running
	u.Update(start, u.Announce)
	for n := range int64(50) {
		prompt, answer := 50+n*40, 10+n%7*30
		first := time.Duration(slow * 100 * float64(prompt) * float64(time.Microsecond))
		total := first + time.Duration(slow*float64(answer)*float64(time.Millisecond))
		u.Observed.RecordSuccess(start, prompt, answer, false, first, total, 1, int(running))
	}
	return u
}

func hear(u *upstr.Upstream, cached ...uint64) {
	u.Update(start, &wire.Announce{
		Upstream: u.GetUpstream(), MaxRunning: u.GetMaxRunning(), LeaseUs: time.Minute.Microseconds(), CachedPrefixes: cached,
	})
}

func request(prefix uint64) *item.Item {
	return &item.Item{Ticket: &wire.Ticket{PromptTokens: 1000, AnswerTokens: 50, PrefixHash: prefix, Tier: wire.Tier_TIER_NORMAL}}
}

func preset(t must.T, name string) place.Place {
	p, err := place.Preset(name)
	must.NoError(t, err)
	return p
}

// pick returns the slot for an item that may go anywhere, or nil.
func pick(p place.Place, now time.Time, ups []*upstr.Upstream, i *item.Item) *slot.Slot {
	s, _ := p.Pick(now, ups, i, false, "")
	return s
}

// Requests with the same beginning go to the same upstream before any cache
// event tells of it, and the loss of one upstream moves only the prefixes that
// had their home there.
func TestHome(t *testing.T) {
	p := preset(t, place.Goodput)
	var ups []*upstr.Upstream
	for i := range 8 {
		ups = append(ups, newUp(i, 1, 16))
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

// Events about caches come late and with gaps. An upstream is believed to have
// what it told or what was sent there of late; a belief shown to be wrong costs
// one detour, and a full home none.
func TestCacheEvents(t *testing.T) {
	p := preset(t, place.Prefill)
	a, b := newUp(0, 1, 4), newUp(1, 1.2, 4)
	ups := []*upstr.Upstream{a, b}
	i := request(5)
	i.PromptTokens = 100 // So few that the detour, and not the saving, decides.
	hear(b, 5)
	s := pick(p, start, ups, i)
	must.Eq(t, "up-1", s.Upstream.GetUpstream())
	must.True(t, s.PrefixCached)
	b.Cache.Wrong(5)
	must.False(t, pick(p, start, ups, i).PrefixCached)
	b.Cache.Sent(start, 5)
	hear(b) // An event with a gap.
	s = pick(p, start, ups, i)
	must.Eq(t, "up-1", s.Upstream.GetUpstream())
	must.True(t, s.PrefixCached)
	b.Running = 3
	must.Eq(t, "up-0", pick(p, start, ups, i).Upstream.GetUpstream(), must.Sprint("too full against the mean"))
}

// Whatever is believed of caches, the upstream picked has room, serves the
// request, meets its deadline, and is expected to finish it no later than the
// detour allows. Without a pick, no open upstream would do.
func TestBoundedDetour(t *testing.T) {
	speeds := []*upstr.Upstream{newUp(0, 1, 4), newUp(1, 1.3, 4), newUp(2, 3, 4), newUp(3, 8, 4)}
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
		for _, u := range speeds {
			u.Running = rapid.IntRange(0, 4).Draw(t, "running")
			u.LongRunning = rapid.IntRange(0, u.Running).Draw(t, "longs")
			hear(u, rapid.SliceOfN(rapid.Uint64Range(1, 3), 0, 3).Draw(t, "cached")...)
		}
		open := place.Open(start, speeds, nil)
		ok := func(u *upstr.Upstream) bool {
			avoided := len(i.GetAvoid()) > 0 && u.GetUpstream() == "up-0"
			reserved := i.Long && short && u.LongRunning >= 3
			return u.Running < 4 && !avoided && !reserved &&
				(i.Deadline.IsZero() || !start.Add(p.Safe(u, i.Ticket)).After(i.Deadline))
		}
		at := func(u *upstr.Upstream) float64 {
			run := u.Observed.RunTime(i.GetPromptTokens(), i.GetAnswerTokens(), i.GetPrefixHash() != 0 && u.Cache.Has(i.GetPrefixHash()))
			return run.Seconds() * (1 + 0.5*float64(u.Running)/4)
		}
		s, _ := p.Pick(start, open, i, short, "")
		if s != nil {
			must.True(t, ok(s.Upstream))
		}
		for _, u := range speeds {
			if ok(u) {
				must.NotNil(t, s)
				must.LessEq(t, at(u)*(1+p.Detour)+1e-6, at(s.Upstream))
			}
		}
	})
}

// An upstream on its way back isn't tried with an alert, unless there is no other.
func TestTrial(t *testing.T) {
	p := preset(t, place.Goodput)
	ups := []*upstr.Upstream{newUp(0, 1, 4)}
	ups[0].Observed.StartOutage(start)
	now := start.Add(2 * time.Second)
	alert := request(0)
	alert.Tier = wire.Tier_TIER_URGENT
	must.Nil(t, pick(p, now, ups, alert))
	must.NotNil(t, pick(p, now, ups, request(0)))
	p.Alone = true
	must.NotNil(t, pick(p, now, ups, alert))
}
