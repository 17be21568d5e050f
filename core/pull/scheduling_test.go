package pull_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"azurelane/core/acct"
	"azurelane/core/conf"
	"azurelane/core/pool"
	"azurelane/core/pull"
	"azurelane/core/wire"
)

const ms = time.Millisecond

// serve runs one request with the given run time through the policy and returns the time at
// its end.
func serve(p *pull.Policy, now time.Time, t *wire.Ticket, runTime time.Duration) time.Time {
	for _, d := range p.Submit(now, t) {
		r := release(d)
		r.Account, r.TotalUs = t.GetAccount(), runTime.Microseconds()
		now = now.Add(runTime)
		p.Release(now, r)
	}
	return now
}

// trained returns a policy with one upstream that has run 20 requests with the given run
// time each, and the time at their end.
func trained(maxRunning int64, runTime time.Duration) (*pull.Policy, time.Time) {
	p, now := newPolicy(nil, maxRunning), start
	for id := range uint64(20) {
		now = serve(p, now, normal(1000+id), runTime)
	}
	return p, now
}

// A request that can't meet its deadline is refused as soon as that is known: at
// submission, because of the learned speed or the work queued ahead of it, or when its
// latest dispatch time passes. The retry delay tells the caller how long the work ahead
// takes.
func TestRefusedAtOnce(t *testing.T) {
	p, now := trained(1, 100*ms)
	now = now.Add(time.Second)
	p.Tick(now) // Sweeps and thereby updates the pool's rate.
	must.Eq(t, map[uint64]string{100: "deadline"}, refusals(p.Submit(now, urgent(100, 20*ms))), must.Sprint("a run takes longer"))
	must.Eq(t, []uint64{101}, grants(p.Submit(now, normal(101))))
	for id := range uint64(20) {
		must.SliceEmpty(t, p.Submit(now, normal(200+id)))
	}
	behind := normal(102)
	behind.DeadlineUs = time.Second.Microseconds()
	ds := p.Submit(now, behind)
	must.Eq(t, map[uint64]string{102: "deadline"}, refusals(ds), must.Sprint("two seconds of work are ahead"))
	after := time.Duration(ds[0].GetRefusal().GetRetryAfterUs()) * time.Microsecond
	must.Between(t, 500*ms, after, 3*time.Second)
	must.SliceEmpty(t, p.Submit(now, urgent(103, time.Second)), must.Sprint("urgent work is ahead of that work"))
	must.MapEmpty(t, refusals(p.Tick(now.Add(500*ms))))
	must.Eq(t, map[uint64]string{103: "deadline"}, refusals(p.Tick(now.Add(950*ms))), must.Sprint("it can't meet its deadline any more"))
}

// Account a's urgent ticket is predicted to be late behind other urgent tickets. While the
// account has bulk work waiting, the ticket is not refused on the prediction: no lower work
// of the account may be kept in its place. Account b has no lower work waiting, so its
// ticket is refused at once.
func TestUrgentNotRefusedOnPrediction(t *testing.T) {
	p, now := trained(1, 100*ms)
	now = now.Add(time.Second)
	p.Tick(now)
	for id := range uint64(60) {
		tk := urgent(100+id, 0)
		tk.Account = []string{"a", "b"}[id%2]
		p.Submit(now, tk)
	}
	p.Submit(now, ticket(200, wire.Tier_TIER_BULK))
	for i, account := range []string{"a", "b"} {
		tk := urgent(300+uint64(i), time.Second)
		tk.Account = account
		must.Eq(t, account == "b", len(refusals(p.Submit(now, tk))) == 1, must.Sprint(account))
	}
}

// An account may have three tickets waiting and has that many when its urgent ticket
// arrives. The newest ticket of its lowest tier is refused at once, and the urgent ticket
// waits.
func TestUrgentShedsLower(t *testing.T) {
	p := newPolicy(&conf.Config{
		Accounts: map[string]acct.Account{"a": {MaxWaiting: 3}}, Pools: map[string]pool.Pool{"p": {}},
	}, 1)
	p.Submit(start, normal(1))
	p.Submit(start, ticket(2, wire.Tier_TIER_BULK))
	p.Submit(start, ticket(3, wire.Tier_TIER_BULK))
	p.Submit(start, normal(4))
	must.Eq(t, map[uint64]string{3: "account-limit"}, refusals(p.Submit(start, urgent(5, 0))))
	must.Eq(t, map[uint64]string{6: "account-limit"}, refusals(p.Submit(start, ticket(6, wire.Tier_TIER_BULK))))
}

// Long work fills an upstream except for a reserved part, where urgent and short work still
// find a slot. Without recent short work, long work may use all slots.
func TestSlotsReservedForShort(t *testing.T) {
	p, now := trained(8, 10*ms)
	granted := 0
	for id := range uint64(12) {
		long := normal(id + 1)
		long.AnswerTokens = 5000
		granted += len(grants(p.Submit(now, long)))
	}
	must.Eq(t, 7, granted)
	must.Eq(t, []uint64{100}, grants(p.Submit(now, normal(100))))
	must.SliceEmpty(t, grants(p.Submit(now, normal(101))), must.Sprint("the upstream is full"))
}

// Every connection to upstream 0 fails. After a few tries it gets no work, although it goes
// on announcing itself without load. The other upstream keeps serving.
func TestFailingUpstream(t *testing.T) {
	p := newPolicy(nil, 4, 4)
	bad, now := 0, start
	for id := range uint64(100) {
		ds := p.Submit(now, normal(id+1))
		r := release(ds[0])
		if r.GetUpstream() == "up-0" {
			r.Dispatched, r.Failed = false, true
			bad++
		}
		now = now.Add(5 * ms)
		p.Release(now, r)
		p.Announce(now, announce(0, 4))
	}
	must.Between(t, 3, bad, 4)
}

// Guards against a full upstream that seems the fastest, because it refuses requests at once, and gets
// most of them.
func TestFullUpstreamIsNotFast(t *testing.T) {
	p := newPolicy(nil, 4, 4)
	now := start
	runs := map[string]int{}
	for id := uint64(0); runs["up-0"] < 20 || runs["up-1"] < 20; id += 2 { // One at each.
		for _, d := range append(p.Submit(now, normal(id+1)), p.Submit(now, normal(id+2))...) {
			runs[d.GetGrant().GetUpstream()]++
			p.Release(now.Add(100*ms), release(d))
		}
		now = now.Add(100 * ms)
	}
	for id := range uint64(50) {
		for _, d := range p.Submit(now, normal(1000+id)) {
			r := release(d)
			r.Busy, r.FirstTokenUs, r.TotalUs = true, 0, 200
			p.Release(now, r)
		}
	}
	got := map[string]int{}
	for id := range uint64(4) {
		for _, d := range p.Submit(now, normal(2000+id)) {
			got[d.GetGrant().GetUpstream()]++
		}
	}
	must.Eq(t, map[string]int{"up-0": 2, "up-1": 2}, got)
}

// Guards against an upstream that was slow for a while and gets no requests any more, although only its
// runs could show that it has recovered.
func TestSlowUpstreamGetsWorkAgain(t *testing.T) {
	p := newPolicy(nil, 64, 64, 64)
	now, id := start, uint64(0)
	serve := func(rounds int, took time.Duration) (first, all int) {
		for range rounds {
			var ds []*wire.Decision
			for range 3 { // At once.
				id++
				ds = append(ds, p.Submit(now, normal(id))...)
			}
			for _, d := range ds {
				r := release(d)
				r.FirstTokenUs, r.TotalUs = 5_000, 5_000
				if r.GetUpstream() == "up-0" {
					r.FirstTokenUs, r.TotalUs = took.Microseconds(), took.Microseconds()
					first++
				}
				all++
				p.Release(now.Add(5*ms), r)
			}
			now = now.Add(6 * ms)
			p.Tick(now)
		}
		return first, all
	}
	serve(100, 5*ms)
	serve(100, 15*ms)
	serve(3000, 5*ms)
	got, all := serve(3000, 5*ms)
	must.GreaterEq(t, all/3/2, got, must.Sprint("half of an even share"))
}

// Upstream 0 freezes: it keeps its connections open and goes on announcing itself, and no
// run there fails before its caller's deadline of two seconds. It may keep the runs that it
// has, but in the next 20 seconds it gets no more than a few trial runs.
func TestFrozenUpstream(t *testing.T) {
	p := newPolicy(nil, 4, 4)
	now := start
	sent, stuck := 0, map[time.Time][]*wire.Decision{}
	for i := range uint64(500) {
		for _, d := range stuck[now] {
			r := release(d)
			r.Failed, r.TotalUs = true, (2 * time.Second).Microseconds()
			p.Release(now, r)
		}
		tk := normal(i + 1)
		tk.DeadlineUs = (2 * time.Second).Microseconds()
		for _, d := range p.Submit(now, tk) {
			if i > 100 && d.GetGrant().GetUpstream() == "up-0" {
				end := now.Add(2 * time.Second)
				stuck[end] = append(stuck[end], d)
				sent++
				continue
			}
			p.Release(now.Add(50*ms), release(d))
		}
		now = now.Add(50 * ms)
		p.Tick(now)
	}
	must.Between(t, 4, sent, 4+5)
}

// Account b's requests break every engine that runs them. After a few failures b may use
// only one upstream, one request at a time, and account a keeps all the others.
func TestCrashingAccount(t *testing.T) {
	p := newPolicy(nil, 2, 2, 2, 2)
	now := start
	failures := map[string]int{}
	for id := range uint64(200) {
		for _, d := range p.Submit(now, normal(2*id+1)) {
			p.Release(now, release(d))
		}
		crashing := normal(2*id + 2)
		crashing.Account, crashing.PromptTokens, crashing.PrefixHash = "b", 100, id*7919+1
		for _, d := range p.Submit(now, crashing) {
			if d.GetGrant() == nil || d.GetTicket() != crashing.GetId() {
				continue
			}
			failures[d.GetGrant().GetUpstream()]++
			r := release(d)
			r.Account, r.Failed = "b", true
			p.Release(now, r)
		}
		now = now.Add(10 * ms)
		p.Tick(now)
	}
	few := 0
	for _, n := range failures {
		if n > 5 {
			few++
		}
	}
	must.LessEq(t, 1, few, must.Sprint(failures))
}

// The same inputs must give the same decisions: neither a late or duplicate message nor the
// iteration order of a map may change them.
func TestDeterminism(t *testing.T) {
	run := func() []*wire.Decision {
		p := newPolicy(nil, 3, 2, 4)
		var out, running []*wire.Decision
		take := func(ds []*wire.Decision) { out, running = append(out, ds...), append(running, ds...) }
		now := start
		for id := range uint64(300) {
			tk := ticket(id+1, wire.Tier(id%3))
			tk.Account = string(rune('a' + id%5))
			tk.PrefixHash = id % 11
			tk.DeadlineUs = int64(id%4) * 300_000
			take(p.Submit(now, tk))
			for len(running) > 6 {
				first := running[0]
				running = running[1:]
				if first.GetGrant() != nil {
					take(p.Release(now, release(first)))
				}
			}
			now = now.Add(20 * ms)
			take(p.Tick(now))
		}
		return out
	}
	a, b := run(), run()
	must.Eq(t, len(a), len(b))
	for i := range a {
		must.True(t, proto.Equal(a[i], b[i]))
	}
}
