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

// model is the reference implementation of the queue: one list that is searched linearly.
type model struct {
	list         []*item.Item // In order of arrival.
	used, urgent map[string]float64
	virtualTime  float64
	credit       [3]float64
	maxWork      [3]float64
}

func (m *model) count(account string, level int) (n int) {
	for _, i := range m.list {
		if (account == "" || i.GetAccount() == account) && (level < 0 || i.Level() == level) {
			n++
		}
	}
	return n
}

func weight(account string) float64 { return accounts[account].WithDefaults().Weight }

func (m *model) push(i *item.Item) {
	if m.count(i.GetAccount(), -1) == 0 {
		m.used[i.GetAccount()] = max(m.used[i.GetAccount()], m.virtualTime)
	}
	m.list = append(m.list, i)
	m.maxWork[i.Level()] = max(m.maxWork[i.Level()], i.Work)
}

func (m *model) take(i *item.Item) {
	m.list = slices.DeleteFunc(m.list, func(o *item.Item) bool { return o == i })
	if m.count("", i.Level()) == 0 {
		m.credit[i.Level()] = 0
	}
}

// effectiveLevel returns the level at which the item competes with other accounts' work.
func (m *model) effectiveLevel(i *item.Item) int {
	a := i.GetAccount()
	if i.Level() == 0 && m.urgent[a] > m.virtualTime+burst/weight(a) || i.Level() == 1 && m.used[a] > m.virtualTime+burst/weight(a) {
		return i.Level() + 1
	}
	return i.Level()
}

// grantedBefore reports whether a is granted before b, where both are the first items of
// their accounts. The caller breaks ties by the accounts' names.
func (m *model) grantedBefore(a, b *item.Item) bool {
	used := func(i *item.Item) float64 { return max(m.used[i.GetAccount()], m.virtualTime-16*burst) }
	return cmp.Or(cmp.Compare(m.effectiveLevel(a), m.effectiveLevel(b)), cmp.Compare(used(a), used(b))) < 0
}

func end(i *item.Item) time.Time {
	if i.Deadline.IsZero() {
		return epoch.Add(time.Hour)
	}
	return i.Deadline
}

// before reports whether a comes before b, where both belong to one account.
func before(a, b *item.Item) bool {
	return cmp.Or(cmp.Compare(a.Level(), b.Level()), end(a).Compare(end(b))) < 0
}

// next removes and returns the item to grant among those that ok allows.
func (m *model) next(ok func(*item.Item) bool) *item.Item {
	level := -1
	for l := 2; l > 0 && level < 0; l-- {
		if m.credit[l] >= m.maxWork[l] && slices.ContainsFunc(m.list, func(i *item.Item) bool { return i.Level() == l && ok(i) }) {
			level = l
		}
	}
	var best *item.Item
	for _, name := range names {
		var first *item.Item
		for _, i := range m.list {
			if i.GetAccount() == name && ok(i) && (level < 0 || i.Level() == level) && (first == nil || before(i, first)) {
				first = i
			}
		}
		if first != nil && (best == nil || m.grantedBefore(first, best)) {
			best = first
		}
	}
	if best != nil {
		m.take(best)
		m.charge(best)
	}
	return best
}

func (m *model) charge(i *item.Item) {
	a := i.GetAccount()
	m.used[a] = max(m.used[a], m.virtualTime-16*burst) + i.Work/weight(a)
	if i.Level() == 0 {
		m.urgent[a] = max(m.urgent[a], m.virtualTime) + i.Work/weight(a)
	}
	weights := 0.0
	for _, name := range names {
		if name == a || m.count(name, -1) > 0 {
			weights += weight(name)
		}
	}
	m.virtualTime += i.Work / weights
	if i.Level() == bulk {
		m.credit[bulk] = max(m.credit[bulk]-i.Work, 0)
	} else if m.count("", bulk) > 0 {
		m.credit[bulk] = min(m.credit[bulk]+shares[bulk]*i.Work, 2*m.maxWork[bulk])
	}
}

// shed removes and returns the newest item of the account's lowest tier.
func (m *model) shed(account string) *item.Item {
	var last *item.Item
	for _, i := range m.list {
		if i.GetAccount() == account && (last == nil || i.Level() >= last.Level()) {
			last = i
		}
	}
	m.take(last)
	return last
}

func (m *model) heaviest() string {
	best := ""
	for _, name := range names {
		n := float64(m.count(name, -1)) / weight(name)
		if n > 0 && (best == "" || n > float64(m.count(best, -1))/weight(best)) {
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

// id returns the item's ID, or zero for nil.
func id(i *item.Item) uint64 {
	if i == nil {
		return 0
	}
	return i.GetId()
}

// The heaps, lists and running sums of the queue must make the same decisions as the linear
// model.
func TestMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		v := &model{used: map[string]float64{}, urgent: map[string]float64{}}
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
			"push again": push, // Repeated, so that the limits are reached often.
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

// runBacklogged runs a queue in which each granted ticket is replaced by one of the same
// account, tier and work. It returns the granted work by account and by tier.
func runBacklogged(grants int, arrivals []*item.Item) (map[string]float64, [3]float64) {
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

// Accounts with a constant backlog get work by their weights, whatever the size and the
// tier of their requests: an account that marks all its work urgent or sends long requests
// takes nothing from the others. The deviation stays within the burst allowance and one
// request.
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
			byAccount, _ := runBacklogged(20000, c.arrivals)
			total := byAccount["a"] + byAccount["b"] + byAccount["c"]
			for name, share := range map[string]float64{"a": 0.2, "b": 0.6, "c": 0.2} {
				must.InDelta(t, share*total, byAccount[name], 4*(burst+200), must.Sprint(fmt.Sprint(name, byAccount)))
			}
		})
	}
}

// Bulk work gets its minimum share, and no more, while urgent and normal work always waits.
func TestBulkShare(t *testing.T) {
	_, byTier := runBacklogged(20000, []*item.Item{arrival("a", 0, 2), arrival("a", 1, 2), arrival("b", 2, 64), arrival("a", 2, 64)})
	total := byTier[0] + byTier[1] + byTier[2]
	must.Greater(t, 0.08*total, byTier[2])
}

// Under overload, an urgent ticket is never shed while lower work of its account waits, and
// the newest ticket of the lowest tier is shed first.
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
