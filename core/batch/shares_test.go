package batch

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/acct"
	"azurelane/core/conf"
	"azurelane/core/part"
	"azurelane/core/pool"
	"azurelane/core/refuse"
	"azurelane/core/wire"
)

const (
	surgeFrom, surgeUntil = 26 * time.Second, 37 * time.Second
	surgeFactor           = 6
)

// shareOf returns the usual part of the load by account: two large ones, one of 9 % and 13 small ones. The
// accounts whose names begin with "surge" send six times that for a while.
func shareOf() map[string]float64 {
	parts := map[string]float64{"large-0": 0.25, "large-1": 0.18, "surge-0": 0.09, "surge-1": 0.03, "surge-2": 0.03}
	for n := range 11 {
		parts[fmt.Sprint("small-", n)] = 0.42 / 11
	}
	return parts
}

// setShares turns shares on, if way is not "none". Accounts get rates if way is "rates".
func (e *harness) setShares(way string) {
	on := way != "none"
	cfg := &conf.Config{Accounts: map[string]acct.Account{}, Pools: map[string]pool.Pool{"engines": {Slots: e.pool.Slots, EventTokens: 9, CacheTokens: 100000, FairShares: &on}}}
	for name, part := range shareOf() {
		a := acct.Account{}
		if way == "rates" {
			a.Rate = 1e6 * part
		}
		cfg.Accounts[name] = a
	}
	e.Configure(e.now, "engines", cfg)
	if on {
		e.shares.ledger.FixedWeights = way == "weight 1"
	}
}

// playAccounts replays deployment A's kinds and waves of requests on 30 engines. At the usual rate of all accounts
// the pool is full at the top of the wave.
func playAccounts(seed uint64, way string, surge float64) []*request {
	const ms = time.Millisecond
	r := newReplay(seed, 7, slices.Repeat([]time.Duration{6 * ms, 11 * ms, 31 * ms}, 10)...)
	r.setShares(way)
	routes := []traffic{
		{"long", 0, 15.3, 6700, 340, 0.5, 1500, 800 * ms, 12 * time.Second},
		{"short", 1, 18.9, 700, 250, 0.5, 1200, 600 * ms, 12 * time.Second},
		{"tag", 2, 23.4, 1900, 22, 0.4, 80, 1200 * ms, 3 * time.Second},
	}
	parts := shareOf()
	names := slices.Sorted(maps.Keys(parts))
	for at := time.Duration(0); at < replayFor; at += replayStep {
		r.now = r.now.Add(replayStep)
		wave := 1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/13)
		if at > 15*time.Second && at < 20*time.Second {
			wave *= 2 // A burst of all accounts.
		}
		for _, s := range routes {
			for _, name := range names {
				due := s.rate * parts[name] * wave * replayStep.Seconds()
				if strings.HasPrefix(name, "surge") && at >= surgeFrom && at < surgeUntil {
					due *= surge
				}
				for ; due > r.rnd.Float64(); due-- {
					r.arriveFrom(name, s)
				}
			}
		}
		r.step()
	}
	return r.requests
}

// servedOf returns the served share of the requests that arrived during the surge, by the kind of account.
func servedOf(list []*request) map[string]float64 {
	by := map[string][]*request{}
	for _, q := range list {
		if at := q.arrived.Sub(time.Unix(1000, 0)); at < surgeFrom || at >= surgeUntil {
			continue
		}
		kind, _, _ := strings.Cut(q.account, "-")
		by[kind] = append(by[kind], q)
		by["all"] = append(by["all"], q)
	}
	served := map[string]float64{}
	for kind, l := range by {
		served[kind] = servedShare(l)
	}
	return served
}

// Guards against calm accounts that are refused because others flood the pool. Three accounts send six times
// their usual load for 11 s. The others must be served as before, but for what the runs of the flood that hold
// slots when the pool gets full cost them in the first 3 s. Without shares, and with equal weights for accounts of unlike size, they lose much more.
func TestCalmAccountsKeepTheirRoom(t *testing.T) {
	t.Parallel()
	served := func(way string, surge float64) map[string]float64 {
		const seeds = 2
		sum := map[string]float64{}
		for seed := range uint64(seeds) {
			for k, v := range servedOf(playAccounts(seed, way, surge)) {
				sum[k] += v / seeds
			}
		}
		t.Logf("%-8s surge %v: large %.3f small %.3f surging %.3f all %.3f", way, surge, sum["large"], sum["small"], sum["surge"], sum["all"])
		return sum
	}
	calm := served("none", 1)
	for _, tc := range []struct {
		way         string
		large, most float64 // Greatest losses of the large accounts and of the small ones.
		least       float64 // Least loss of the large ones, which shows that the load exceeds the capacity.
	}{
		{"none", 1, 1, 0.25},
		{"weight 1", 1, 0.2, 0.15},
		{"rates", 0.05, 0.05, 0},
		{"use", 0.05, 0.05, 0},
	} {
		flooded := served(tc.way, surgeFactor)
		must.Between(t, tc.least-0.02, calm["large"]-flooded["large"], tc.large, must.Sprint(tc.way))
		must.Less(t, tc.most, calm["small"]-flooded["small"], must.Sprint(tc.way))
	}
	must.Greater(t, calm["all"]-0.02, served("use", 1)["all"], must.Sprint("shares must cost little without a flood"))
}

// Guards against a less urgent ticket that goes before a more urgent one of its account. The tag has the
// higher value per second of slot time.
func TestUrgentFirstWithinAccount(t *testing.T) {
	for _, tc := range []struct {
		name, way, urgentAccount string
		want                     string
	}{
		{"off", "none", "large-0", "tag"},
		{"same account", "use", "large-0", "long"},
		{"other account", "use", "small-0", "tag"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newHarness(8, "a")
			e.setShares(tc.way)
			running := e.fill(8 + engineQueueLimit)
			e.topPriority.priority = -1 // No requests beyond the batch.
			tag, long := e.ticket("tag", 2, 3000, 3), e.ticket("long", 0, 100, 300)
			tag.Account, long.Account = "large-0", tc.urgentAccount
			must.SliceEmpty(t, e.Submit(e.now, tag))
			must.SliceEmpty(t, e.Submit(e.now, long))
			e.release(running[0], 60*time.Millisecond, 300*time.Millisecond, 11)
			got := grantedIDs(t, e.release(running[1], 60*time.Millisecond, 300*time.Millisecond, 11))
			must.Eq(t, []uint64{map[string]uint64{"tag": tag.GetId(), "long": long.GetId()}[tc.want]}, got)
		})
	}
}

// Guards against refusals that take the more urgent tickets of an account first: each account keeps its
// places in the order, and its urgent tickets get the best of them.
func TestOrderByUrgency(t *testing.T) {
	a, b := &part.Part{}, &part.Part{}
	sorted := []*item{{part: a, priority: 2}, {part: b, priority: 1}, {part: a, priority: 1}, {part: b, priority: 0}, {part: a, priority: 0}}
	want := []*item{sorted[4], sorted[3], sorted[2], sorted[1], sorted[0]}
	orderByUrgency(sorted)
	for n := range want {
		must.True(t, want[n] == sorted[n], must.Sprint(n))
	}
}

// Guards against a new scheduler that forgets who floods the pool: the slots that entries report as held count
// against their account at once. It refuses the flooding account's tickets first and says why.
func TestHeldSlotsCountAgainstTheShare(t *testing.T) {
	e := newHarness(8, "a")
	e.setShares("use")
	held := &wire.Held{Incarnation: "i"}
	for n := range 9 {
		k := e.ticket("usual", 1, 100, 100)
		k.Account = "surge-0"
		held.Slots = append(held.Slots, &wire.HeldSlot{Ticket: k, Grant: &wire.Grant{Slot: uint64(n + 1), Owner: "former", Upstream: "a"}}) //nolint:gosec // Small.
	}
	e.Hold(e.now, held)
	tickets := map[uint64]string{}
	for _, account := range []string{"surge-0", "small-0"} {
		k := e.ticket("usual", 1, 100, 100)
		k.Account = account
		tickets[k.GetId()] = account
		must.SliceEmpty(t, e.Submit(e.now, k))
	}
	for range 10 {
		e.now = e.now.Add(sharesInterval)
		for _, d := range e.Tick(e.now) {
			want := map[string]string{"surge-0": refuse.OverShare, "small-0": refuse.Overloaded}[tickets[d.GetTicket()]]
			must.Eq(t, want, d.GetRefusal().GetCode())
			delete(tickets, d.GetTicket())
		}
	}
	must.MapEmpty(t, tickets)
	all := e.Shares()
	must.Eq(t, 1, all["surge-0"].RefusedBeyond)
	must.Eq(t, 1, all["small-0"].RefusedWithin)
	e.Forget(e.now, "i")
	e.now = e.now.Add(sharesInterval)
	e.Tick(e.now)
	must.Eq(t, 0, e.Shares()["surge-0"].Held, must.Sprint("slots of a dead entry"))
}

// Guards against tickets that wait while the switch changes and have a part of the wrong kind.
func TestSharesSwitchedWhileTicketsWait(t *testing.T) {
	e := newHarness(1, "a")
	e.fill(4)
	for _, way := range []string{"none", "use", "none", "rates"} {
		e.setShares(way)
		for _, i := range e.waiting {
			must.Eq(t, way != "none", i.part != nil, must.Sprint(way))
		}
		e.now = e.now.Add(sharesInterval)
		e.Tick(e.now)
		must.Eq(t, way != "none", e.Shares() != nil, must.Sprint(way))
	}
	must.SliceNotEmpty(t, e.waiting)
}

// BenchmarkShares measures one grant, a release and a submission with 90 engines, 16 accounts and three
// priorities, at a constant number of waiting tickets. Target: with shares no slower than without.
func BenchmarkShares(b *testing.B) {
	for _, way := range []string{"none", "use"} {
		for _, waiting := range []int{30, 300, 3000} {
			b.Run(fmt.Sprint(way, "/waiting-", waiting), func(b *testing.B) {
				var names []string
				for i := range 90 {
					names = append(names, fmt.Sprint("e", i))
				}
				e := newHarness(6, names...)
				e.setShares(way)
				accounts := slices.Sorted(maps.Keys(shareOf()))
				var running []*wire.Decision
				refill := func() {
					for len(e.waiting) < waiting {
						k := e.ticket("usual", int32(e.lastID/16%3), 100, 100) //nolint:gosec // Below three.
						k.Account = accounts[e.lastID%16]
						k.ObjectiveUs, k.DeadlineUs = time.Hour.Microseconds(), time.Hour.Microseconds()
						running = append(running, e.Submit(e.now, k)...)
					}
				}
				refill()
				b.ResetTimer()
				granted := 0
				for granted < b.N {
					e.now = e.now.Add(time.Millisecond)
					out := e.release(running[0], 60*time.Millisecond, 540*time.Millisecond, 11)
					running = append(running[1:], out...)
					granted += len(out)
					e.updateShares(e.now.Sub(e.started))
					refill()
				}
			})
		}
	}
}
