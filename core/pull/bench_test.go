package pull_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"azurelane/core/acct"
	"azurelane/core/conf"
	"azurelane/core/pool"
	"azurelane/core/pull"
	"azurelane/core/wire"
)

// size is the load on a pool's owner in one benchmark.
type size struct{ tickets, upstreams, entries, accounts int }

func (s size) String() string {
	return fmt.Sprintf("tickets=%d/upstreams=%d/accounts=%d", s.tickets, s.upstreams, s.accounts)
}

const slotsEach = 16

// sizes returns loads that vary one quantity at a time around the largest pool that the
// policy is designed for.
func sizes() []size {
	var list []size
	for _, n := range []int{1250, 2500, 5000, 10000, 20000} {
		list = append(list, size{n, 130, 60, 55})
	}
	for _, n := range []int{16, 32, 65, 260} {
		list = append(list, size{10000, n, 60, 55})
	}
	for _, n := range []int{14, 28, 110, 220, 390} {
		list = append(list, size{10000, 130, 60, n})
	}
	return list
}

// ticket returns the i-th ticket of a mix of tiers, lengths, accounts, prefixes and
// deadlines.
func (s size) ticket(i int) *wire.Ticket {
	t := &wire.Ticket{
		Id: uint64(i), Entry: fmt.Sprint("entry-", i%s.entries), Incarnation: fmt.Sprint("inc-", i%s.entries),
		Account: fmt.Sprint("account-", i%s.accounts), Pool: "p", Model: "m", Tier: wire.Tier(i % 3),
		PromptTokens: 50, AnswerTokens: 20, PrefixHash: uint64(i % 1000),
	}
	if i%7 == 0 {
		t.PromptTokens, t.AnswerTokens = 4000, 2000
	}
	if i%2 == 0 {
		t.DeadlineUs = (time.Duration(600+i%600) * time.Second).Microseconds()
	}
	return t
}

// loaded returns a policy with every slot granted and s.tickets tickets waiting, the
// granted decisions, and the current time.
func (s size) loaded() (p *pull.Policy, running []*wire.Decision, now time.Time) {
	cfg := &conf.Config{Accounts: map[string]acct.Account{}, Pools: map[string]pool.Pool{"p": {MaxWaiting: 1 << 20, MaxRun: time.Hour}}}
	for i := range s.accounts {
		cfg.Accounts[fmt.Sprint("account-", i)] = acct.Account{MaxWaiting: 1 << 20}
	}
	p = newPolicy(cfg)
	now = start
	for i := range s.upstreams {
		a := announce(i, slotsEach)
		a.Models = []string{"m"}
		p.Announce(now, a)
	}
	for i := range s.tickets + s.upstreams*slotsEach {
		running = append(running, p.Submit(now, s.ticket(i))...)
	}
	return p, running, now
}

// BenchmarkGrant measures a release together with the grant that follows it, and the
// submission of the next ticket, while every slot is taken and s.tickets tickets wait.
func BenchmarkGrant(b *testing.B) {
	for _, s := range sizes() {
		b.Run(s.String(), func(b *testing.B) {
			p, running, now := s.loaded()
			next := s.tickets + s.upstreams*slotsEach
			fresh := make([]*wire.Ticket, 4096)
			b.ReportAllocs()
			var grant, submit time.Duration
			n := 0
			for b.Loop() {
				if n%len(fresh) == 0 {
					b.StopTimer()
					for i := range fresh {
						fresh[i] = s.ticket(next + i)
					}
					next += len(fresh)
					p.Tick(now)
					b.StartTimer()
				}
				d := running[n%len(running)]
				at := time.Now()
				ds := p.Release(now, release(d))
				mid := time.Now()
				more := p.Submit(now, fresh[n%len(fresh)])
				submit += time.Since(mid)
				grant += mid.Sub(at)
				if len(ds) != 1 || len(more) != 0 {
					b.Fatal("expected one grant for each release", len(ds), len(more))
				}
				running[n%len(running)] = ds[0]
				n++
				now = now.Add(100 * time.Microsecond)
			}
			b.ReportMetric(float64(grant.Nanoseconds())/float64(n), "ns/grant")
			b.ReportMetric(float64(submit.Nanoseconds())/float64(n), "ns/submit")
		})
	}
}

// BenchmarkTick measures one Tick for every 5 ms of simulated time. Every fortieth one sweeps.
func BenchmarkTick(b *testing.B) {
	for _, s := range sizes() {
		b.Run(s.String(), func(b *testing.B) {
			p, _, now := s.loaded()
			b.ReportAllocs()
			for b.Loop() {
				if now.Sub(start) > 5*time.Minute { // Rebuild before the first deadline expires a ticket.
					b.StopTimer()
					p, _, now = s.loaded()
					b.StartTimer()
				}
				now = now.Add(5 * time.Millisecond)
				p.Tick(now)
			}
		})
	}
}

// BenchmarkMemory measures the memory that one waiting ticket takes at the owner.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1250, 2500, 5000, 10000, 20000} {
		s := size{n, 130, 60, 55}
		b.Run(s.String(), func(b *testing.B) {
			var bytes float64
			for b.Loop() {
				var before, after runtime.MemStats
				p, _, now := size{1, s.upstreams, s.entries, s.accounts}.loaded()
				runtime.GC()
				runtime.ReadMemStats(&before)
				for i := range n {
					p.Submit(now, s.ticket(1_000_000+i))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				bytes = float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
				runtime.KeepAlive(p)
			}
			b.ReportMetric(bytes, "B/ticket")
		})
	}
}
