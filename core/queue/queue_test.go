package queue_test

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"azurelane/core/acct"
	"azurelane/core/item"
	"azurelane/core/queue"
	"azurelane/core/wire"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.steps", "80")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var epoch = time.Unix(0, 0)

const (
	poolLimit    = 9
	accountLimit = 6
	burst        = 50
	bulk         = 2
)

var (
	accounts = map[string]acct.Account{
		"a": {MaxWaiting: accountLimit}, "b": {MaxWaiting: accountLimit, Weight: 3}, "c": {MaxWaiting: accountLimit},
	}
	names  = []string{"a", "b", "c"}
	shares = [3]float64{0, 0, 0.1}
)

func newQueue() *queue.Queue {
	return &queue.Queue{Accounts: accounts, MaxWaiting: poolLimit, Shares: shares, Burst: burst}
}

// naive is the plain version of the queue: one list, searched from end to end.
type naive struct {
	list         []*item.Item // In order of arrival.
	used, urgent map[string]float64
	clock        float64
	saved        [3]float64
	longest      [3]float64
}

func (v *naive) count(account string, level int) (n int) {
	for _, i := range v.list {
		if (account == "" || i.GetAccount() == account) && (level < 0 || i.Level() == level) {
			n++
		}
	}
	return n
}

func weight(account string) float64 { return accounts[account].WithDefaults().Weight }

func (v *naive) push(i *item.Item) {
	if v.count(i.GetAccount(), -1) == 0 {
		v.used[i.GetAccount()] = max(v.used[i.GetAccount()], v.clock)
	}
	v.list = append(v.list, i)
	v.longest[i.Level()] = max(v.longest[i.Level()], i.Work)
}

func (v *naive) take(i *item.Item) {
	v.list = slices.DeleteFunc(v.list, func(o *item.Item) bool { return o == i })
	if v.count("", i.Level()) == 0 {
		v.saved[i.Level()] = 0
	}
}

// standing is the tier at which the item is compared with other accounts' work.
func (v *naive) standing(i *item.Item) int {
	a := i.GetAccount()
	if i.Level() == 0 && v.urgent[a] > v.clock+burst/weight(a) || i.Level() == 1 && v.used[a] > v.clock+burst/weight(a) {
		return i.Level() + 1
	}
	return i.Level()
}

// ahead says which of two accounts' first items is granted first; of equals it
// is the one by name.
func (v *naive) ahead(a, b *item.Item) bool {
	used := func(i *item.Item) float64 { return max(v.used[i.GetAccount()], v.clock-16*burst) }
	return cmp.Or(cmp.Compare(v.standing(a), v.standing(b)), cmp.Compare(used(a), used(b))) < 0
}

func end(i *item.Item) time.Time {
	if i.Deadline.IsZero() {
		return epoch.Add(time.Hour)
	}
	return i.Deadline
}

// before says which of two items of one account is first.
func before(a, b *item.Item) bool {
	return cmp.Or(cmp.Compare(a.Level(), b.Level()), end(a).Compare(end(b))) < 0
}

// next returns what is granted, of the items that ok allows.
func (v *naive) next(ok func(*item.Item) bool) *item.Item {
	level := -1
	for l := 2; l > 0 && level < 0; l-- {
		if v.saved[l] >= v.longest[l] && slices.ContainsFunc(v.list, func(i *item.Item) bool { return i.Level() == l && ok(i) }) {
			level = l
		}
	}
	var best *item.Item
	for _, name := range names {
		var first *item.Item
		for _, i := range v.list {
			if i.GetAccount() == name && ok(i) && (level < 0 || i.Level() == level) && (first == nil || before(i, first)) {
				first = i
			}
		}
		if first != nil && (best == nil || v.ahead(first, best)) {
			best = first
		}
	}
	if best != nil {
		v.take(best)
		v.charge(best)
	}
	return best
}

func (v *naive) charge(i *item.Item) {
	a := i.GetAccount()
	v.used[a] = max(v.used[a], v.clock-16*burst) + i.Work/weight(a)
	if i.Level() == 0 {
		v.urgent[a] = max(v.urgent[a], v.clock) + i.Work/weight(a)
	}
	weights := 0.0
	for _, name := range names {
		if name == a || v.count(name, -1) > 0 {
			weights += weight(name)
		}
	}
	v.clock += i.Work / weights
	if i.Level() == bulk {
		v.saved[bulk] = max(v.saved[bulk]-i.Work, 0)
	} else if v.count("", bulk) > 0 {
		v.saved[bulk] = min(v.saved[bulk]+shares[bulk]*i.Work, 2*v.longest[bulk])
	}
}

// shed takes out the newest item of the account's lowest tier.
func (v *naive) shed(account string) *item.Item {
	var last *item.Item
	for _, i := range v.list {
		if i.GetAccount() == account && (last == nil || i.Level() >= last.Level()) {
			last = i
		}
	}
	v.take(last)
	return last
}

func (v *naive) heaviest() string {
	best := ""
	for _, name := range names {
		n := float64(v.count(name, -1)) / weight(name)
		if n > 0 && (best == "" || n > float64(v.count(best, -1))/weight(best)) {
			best = name
		}
	}
	return best
}

func drawItem(t *rapid.T, id uint64) *item.Item {
	i := &item.Item{
		Ticket: &wire.Ticket{
			Id: id, Account: rapid.SampledFrom(names).Draw(t, "account"),
			Tier: wire.Tier(rapid.Int32Range(0, bulk).Draw(t, "tier")),
		},
		Work: float64(rapid.SampledFrom([]int{1, 2, 64}).Draw(t, "work")),
		Long: rapid.Bool().Draw(t, "long"),
	}
	if ms := rapid.IntRange(0, 5).Draw(t, "deadline"); ms > 0 {
		i.Deadline = epoch.Add(time.Duration(ms) * time.Second)
		i.LatestDispatch = i.Deadline.Add(-time.Millisecond)
	}
	return i
}

// id makes a missing item comparable.
func id(i *item.Item) uint64 {
	if i == nil {
		return 0
	}
	return i.GetId()
}

// The heaps, lists and running sums must decide what the plain list decides.
func TestLikeNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		v := &naive{used: map[string]float64{}, urgent: map[string]float64{}}
		var last uint64
		push := func(t *rapid.T) {
			last++
			i := drawItem(t, last)
			q.Push(i)
			v.push(i)
			var want *item.Item
			if v.count(i.GetAccount(), -1) > accountLimit {
				want = v.shed(i.GetAccount())
			}
			must.Eq(t, id(want), id(q.ShedOverAccountLimit(i.GetAccount())))
			want = nil
			if len(v.list) > poolLimit {
				want = v.shed(v.heaviest())
			}
			must.Eq(t, id(want), id(q.ShedOverPoolLimit()))
		}
		next := func(t *rapid.T, longToo bool) {
			q.StartRound()
			ok := func(i *item.Item) bool { return longToo || !i.Long || i.Level() == 0 }
			got := q.Next(func(i *item.Item) (bool, bool) { return ok(i), !ok(i) })
			must.Eq(t, id(v.next(ok)), id(got))
		}
		t.Repeat(map[string]func(*rapid.T){
			"push":       push,
			"push again": push, // Twice, so that the limits are met often.
			"push more":  push,
			"next":       func(t *rapid.T) { next(t, true) },
			"next short": func(t *rapid.T) { next(t, false) },
			"remove": func(t *rapid.T) {
				k := rapid.Uint64Range(0, last).Draw(t, "id")
				n := slices.IndexFunc(v.list, func(i *item.Item) bool { return i.GetId() == k })
				got := q.Remove("", k)
				must.Eq(t, n >= 0, got != nil)
				if n >= 0 {
					v.take(v.list[n])
				}
			},
			"correct": func(t *rapid.T) {
				name, by := rapid.SampledFrom(names).Draw(t, "account"), float64(rapid.IntRange(-9, 9).Draw(t, "by"))
				if _, seen := v.used[name]; seen {
					v.used[name] += by / weight(name)
				}
				q.AdjustCharge(name, by)
			},
			"expire": func(t *rapid.T) {
				now := epoch.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, "s")) * time.Second)
				for got := q.PopExpired(now); got != nil; got = q.PopExpired(now) {
					must.False(t, now.Before(got.LatestDispatch))
					must.True(t, slices.Contains(v.list, got))
					v.take(got)
				}
				for _, i := range v.list {
					must.True(t, i.LatestDispatch.IsZero() || now.Before(i.LatestDispatch))
				}
			},
			"": func(t *rapid.T) { must.Eq(t, len(v.list), q.Len()) },
		})
	})
}

// served runs a queue that is kept full by the account and tier of each
// arrival, and returns the work granted by account and by tier.
func served(grants int, arrivals []*item.Item) (map[string]float64, [3]float64) {
	q := newQueue()
	q.MaxWaiting = 0
	q.Accounts = map[string]acct.Account{"a": {}, "b": {Weight: 3}, "c": {}}
	var last uint64
	push := func(i item.Item) {
		last++
		i.Ticket = &wire.Ticket{Id: last, Account: i.GetAccount(), Tier: i.GetTier()}
		q.Push(&i)
	}
	for _, i := range arrivals {
		for range 3 {
			push(*i)
		}
	}
	byAccount, byTier := map[string]float64{}, [3]float64{}
	for range grants {
		q.StartRound()
		i := q.Next(func(*item.Item) (bool, bool) { return true, false })
		byAccount[i.GetAccount()] += i.Work
		byTier[i.Level()] += i.Work
		push(*i)
	}
	return byAccount, byTier
}

func arrival(account string, tier wire.Tier, work float64) *item.Item {
	return &item.Item{Ticket: &wire.Ticket{Account: account, Tier: tier}, Work: work}
}

// Accounts that always wait get work by their weights, whatever the size of
// their requests and the tier that they mark them with: one that marks all its
// work urgent, or sends long requests, takes nothing from the others. The gap
// stays within what an account may be ahead and one request.
func TestFairness(t *testing.T) {
	cases := []struct {
		name     string
		arrivals []*item.Item
	}{
		{"alike", []*item.Item{arrival("a", 1, 2), arrival("b", 1, 2), arrival("c", 1, 2)}},
		{"one long", []*item.Item{arrival("a", 1, 200), arrival("b", 1, 2), arrival("c", 1, 2)}},
		{"one all urgent", []*item.Item{arrival("a", 0, 2), arrival("b", 1, 2), arrival("c", 1, 2)}},
		{"all urgent, one long", []*item.Item{arrival("a", 0, 200), arrival("b", 0, 2), arrival("c", 0, 2)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			byAccount, _ := served(20000, c.arrivals)
			total := byAccount["a"] + byAccount["b"] + byAccount["c"]
			for name, share := range map[string]float64{"a": 0.2, "b": 0.6, "c": 0.2} {
				must.InDelta(t, share*total, byAccount[name], 4*(burst+200), must.Sprint(fmt.Sprint(name, byAccount)))
			}
		})
	}
}

// Bulk work moves at its share while urgent and normal work always waits, and
// takes no more than that from them.
func TestBulkMoves(t *testing.T) {
	_, byTier := served(20000, []*item.Item{arrival("a", 0, 2), arrival("a", 1, 2), arrival("b", 2, 64), arrival("a", 2, 64)})
	total := byTier[0] + byTier[1] + byTier[2]
	must.Greater(t, 0.08*total, byTier[2])
}

// Under overload an alert is never shed while lower work of its account waits,
// and of the lowest tier the newest goes first.
func TestShedOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		kept := map[uint64]*item.Item{}
		for id := range uint64(60) {
			i := drawItem(t, id+1)
			q.Push(i)
			kept[i.GetId()] = i
			for _, shed := range []*item.Item{q.ShedOverAccountLimit(i.GetAccount()), q.ShedOverPoolLimit()} {
				if shed == nil {
					continue
				}
				delete(kept, shed.GetId())
				for _, k := range kept {
					if k.GetAccount() == shed.GetAccount() {
						must.LessEq(t, shed.Level(), k.Level())
						must.True(t, k.Level() < shed.Level() || k.GetId() < shed.GetId())
					}
				}
			}
		}
	})
}
