package pull_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"azurelane/core/acct"
	"azurelane/core/conf"
	"azurelane/core/pull"
	"azurelane/core/pool"
	"azurelane/core/wire"
)

const ms = time.Millisecond

// serve runs one request through the policy and returns the time after it.
func serve(l *pull.Late, now time.Time, t *wire.Ticket, took time.Duration) time.Time {
	for _, d := range l.Submit(now, t) {
		r := release(d)
		r.Account, r.TotalUs = t.GetAccount(), took.Microseconds()
		now = now.Add(took)
		l.Release(now, r)
	}
	return now
}

// learnt returns a policy with one upstream that has run 20 requests, each of
// which took so long, and the time after them.
func learnt(running int64, took time.Duration) (*pull.Late, time.Time) {
	l, now := newLate(nil, running), start
	for id := range uint64(20) {
		now = serve(l, now, normal(1000+id), took)
	}
	return l, now
}

// A request that can't be done in time is refused in the moment in which that
// is known: when it is submitted, by the speed learnt or by the work ahead of
// it, or when the last moment for its dispatch passes. Its caller learns how
// long the work ahead takes.
func TestRefusedAtOnce(t *testing.T) {
	l, now := learnt(1, 100*ms)
	now = now.Add(time.Second)
	l.Tick(now) // Sweeps, and so learns the pool's rate.
	must.Eq(t, map[uint64]string{100: "deadline"}, refusals(l.Submit(now, urgent(100, 20*ms))), must.Sprint("a run takes longer"))
	must.Eq(t, []uint64{101}, grants(l.Submit(now, normal(101))))
	for id := range uint64(20) {
		must.SliceEmpty(t, l.Submit(now, normal(200+id)))
	}
	behind := normal(102)
	behind.DeadlineUs = time.Second.Microseconds()
	ds := l.Submit(now, behind)
	must.Eq(t, map[uint64]string{102: "deadline"}, refusals(ds), must.Sprint("two seconds of work are ahead"))
	after := time.Duration(ds[0].GetRefusal().GetRetryAfterUs()) * time.Microsecond
	must.Between(t, 500*ms, after, 3*time.Second)
	must.SliceEmpty(t, l.Submit(now, urgent(103, time.Second)), must.Sprint("an alert is before that work"))
	must.MapEmpty(t, refusals(l.Tick(now.Add(500*ms))))
	must.Eq(t, map[uint64]string{103: "deadline"}, refusals(l.Tick(now.Add(950*ms))), must.Sprint("it can't be in time any more"))
}

// Account a's alert is predicted to be late behind other alerts. While a has
// bulk work waiting, the alert isn't refused on the prediction: nothing of a's
// may be kept in its place. Account b has none, and is told at once.
func TestNoAlertRefusedOnPrediction(t *testing.T) {
	l, now := learnt(1, 100*ms)
	now = now.Add(time.Second)
	l.Tick(now)
	for id := range uint64(60) {
		tk := urgent(100+id, 0)
		tk.Account = []string{"a", "b"}[id%2]
		l.Submit(now, tk)
	}
	l.Submit(now, ticket(200, wire.Tier_TIER_BULK))
	for i, account := range []string{"a", "b"} {
		alert := urgent(300+uint64(i), time.Second)
		alert.Account = account
		must.Eq(t, account == "b", len(refusals(l.Submit(now, alert))) == 1, must.Sprint(account))
	}
}

// An account has three tickets waiting, and may. Its alert comes as the fourth.
// The newest of its lowest tier is refused at once, and the alert waits.
func TestAlertSheds(t *testing.T) {
	l := newLate(&conf.Config{
		Accounts: map[string]acct.Account{"a": {MaxWaiting: 3}}, Pools: map[string]pool.Pool{"p": {}},
	}, 1)
	l.Submit(start, normal(1))
	l.Submit(start, ticket(2, wire.Tier_TIER_BULK))
	l.Submit(start, ticket(3, wire.Tier_TIER_BULK))
	l.Submit(start, normal(4))
	must.Eq(t, map[uint64]string{3: "account-limit"}, refusals(l.Submit(start, urgent(5, 0))))
	must.Eq(t, map[uint64]string{6: "account-limit"}, refusals(l.Submit(start, ticket(6, wire.Tier_TIER_BULK))))
}

// Long work fills an upstream but for a part. An alert and short work still
// find a place; without short work about, long work gets all of it.
func TestShortFindsPlace(t *testing.T) {
	l, now := learnt(8, 10*ms)
	granted := 0
	for id := range uint64(12) {
		long := normal(id + 1)
		long.AnswerTokens = 5000
		granted += len(grants(l.Submit(now, long)))
	}
	must.Eq(t, 7, granted)
	must.Eq(t, []uint64{100}, grants(l.Submit(now, normal(100))))
	must.SliceEmpty(t, grants(l.Submit(now, normal(101))), must.Sprint("now it is full"))
}

// Upstream 0 breaks every connect. It gets no work after a few tries, although
// it goes on announcing itself with no load, and the others carry on.
func TestFailingUpstream(t *testing.T) {
	l := newLate(nil, 4, 4)
	bad, now := 0, start
	for id := range uint64(100) {
		ds := l.Submit(now, normal(id+1))
		r := release(ds[0])
		if r.GetUpstream() == "up-0" {
			r.Dispatched, r.Failed = false, true
			bad++
		}
		now = now.Add(5 * ms)
		l.Release(now, r)
		l.Announce(now, announce(0, 4))
	}
	must.Between(t, 3, bad, 4)
}

// Upstream 0 freezes: it holds its connections and goes on announcing itself,
// and no run there fails before its caller's deadline of two seconds. It may
// hold what it has, but in the next 20 seconds it gets no more than a few trials.
func TestFrozenUpstream(t *testing.T) {
	l := newLate(nil, 4, 4)
	now := start
	sent, stuck := 0, map[time.Time][]*wire.Decision{}
	for i := range uint64(500) {
		for _, d := range stuck[now] {
			r := release(d)
			r.Failed, r.TotalUs = true, (2 * time.Second).Microseconds()
			l.Release(now, r)
		}
		tk := normal(i + 1)
		tk.DeadlineUs = (2 * time.Second).Microseconds()
		for _, d := range l.Submit(now, tk) {
			if i > 100 && d.GetGrant().GetUpstream() == "up-0" {
				end := now.Add(2 * time.Second)
				stuck[end] = append(stuck[end], d)
				sent++
				continue
			}
			l.Release(now.Add(50*ms), release(d))
		}
		now = now.Add(50 * ms)
		l.Tick(now)
	}
	must.Between(t, 4, sent, 4+5)
}

// Account b's requests break every engine that runs them. After a few it may
// use one upstream only, one request at a time, and account a keeps all others.
func TestBreakingAccount(t *testing.T) {
	l := newLate(nil, 2, 2, 2, 2)
	now := start
	broke := map[string]int{}
	for id := range uint64(200) {
		for _, d := range l.Submit(now, normal(2*id+1)) {
			l.Release(now, release(d))
		}
		evil := normal(2*id + 2)
		evil.Account, evil.PromptTokens, evil.PrefixHash = "b", 100, id*7919+1
		for _, d := range l.Submit(now, evil) {
			if d.GetGrant() == nil || d.GetTicket() != evil.GetId() {
				continue
			}
			broke[d.GetGrant().GetUpstream()]++
			r := release(d)
			r.Account, r.Failed = "b", true
			l.Release(now, r)
		}
		now = now.Add(10 * ms)
		l.Tick(now)
	}
	few := 0
	for _, n := range broke {
		if n > 5 {
			few++
		}
	}
	must.LessEq(t, 1, few, must.Sprint(broke))
}

// A late or doubled message, or the order of a map, must not change what is
// decided: the same inputs give the same decisions.
func TestSameDecisions(t *testing.T) {
	run := func() []*wire.Decision {
		l := newLate(nil, 3, 2, 4)
		var out, running []*wire.Decision
		take := func(ds []*wire.Decision) { out, running = append(out, ds...), append(running, ds...) }
		now := start
		for id := range uint64(300) {
			tk := ticket(id+1, wire.Tier(id%3))
			tk.Account = string(rune('a' + id%5))
			tk.PrefixHash = id % 11
			tk.DeadlineUs = int64(id%4) * 300_000
			take(l.Submit(now, tk))
			for len(running) > 6 {
				first := running[0]
				running = running[1:]
				if first.GetGrant() != nil {
					take(l.Release(now, release(first)))
				}
			}
			now = now.Add(20 * ms)
			take(l.Tick(now))
		}
		return out
	}
	a, b := run(), run()
	must.Eq(t, len(a), len(b))
	for i := range a {
		must.True(t, proto.Equal(a[i], b[i]))
	}
}
