package pull_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"azurelane/core/acct"
	"azurelane/core/conf"
	"azurelane/core/pull"
	"azurelane/core/pool"
	"azurelane/core/wire"
)

// size is how much a pool's owner has to do.
type size struct{ tickets, upstreams, entries, accounts int }

func (s size) String() string {
	return fmt.Sprintf("tickets=%d/upstreams=%d/accounts=%d", s.tickets, s.upstreams, s.accounts)
}

const slotsEach = 16

// sizes vary one quantity at a time around the largest pool designed for.
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

// ticket makes the i-th ticket of a mix of tiers, lengths, accounts, prefixes
// and deadlines.
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

// full returns a policy with all slots granted and the tickets waiting.
func (s size) full() (l *pull.Late, running []*wire.Decision, now time.Time) {
	cfg := &conf.Config{Accounts: map[string]acct.Account{}, Pools: map[string]pool.Pool{"p": {MaxWaiting: 1 << 20, MaxRun: time.Hour}}}
	for i := range s.accounts {
		cfg.Accounts[fmt.Sprint("account-", i)] = acct.Account{MaxWaiting: 1 << 20}
	}
	l = newLate(cfg)
	now = start
	for i := range s.upstreams {
		a := announce(i, slotsEach)
		a.Models = []string{"m"}
		l.Announce(now, a)
	}
	for i := range s.tickets + s.upstreams*slotsEach {
		running = append(running, l.Submit(now, s.ticket(i))...)
	}
	return l, running, now
}

// BenchmarkGrant is one release with the grant that follows it and the next
// ticket's submission, while all slots are taken and the tickets wait.
func BenchmarkGrant(b *testing.B) {
	for _, s := range sizes() {
		b.Run(s.String(), func(b *testing.B) {
			l, running, now := s.full()
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
					l.Tick(now)
					b.StartTimer()
				}
				d := running[n%len(running)]
				at := time.Now()
				ds := l.Release(now, release(d))
				mid := time.Now()
				more := l.Submit(now, fresh[n%len(fresh)])
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

// BenchmarkTick is the tick in between, and every fortieth with a sweep.
func BenchmarkTick(b *testing.B) {
	for _, s := range sizes() {
		b.Run(s.String(), func(b *testing.B) {
			l, _, now := s.full()
			b.ReportAllocs()
			for b.Loop() {
				if now.Sub(start) > 5*time.Minute { // Before the first deadline.
					b.StopTimer()
					l, _, now = s.full()
					b.StartTimer()
				}
				now = now.Add(5 * time.Millisecond)
				l.Tick(now)
			}
		})
	}
}

// BenchmarkMemory is what one waiting ticket takes up at the owner.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1250, 2500, 5000, 10000, 20000} {
		s := size{n, 130, 60, 55}
		b.Run(s.String(), func(b *testing.B) {
			var bytes float64
			for b.Loop() {
				var before, after runtime.MemStats
				l, _, now := size{1, s.upstreams, s.entries, s.accounts}.full()
				runtime.GC()
				runtime.ReadMemStats(&before)
				for i := range n {
					l.Submit(now, s.ticket(1_000_000+i))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				bytes = float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
				runtime.KeepAlive(l)
			}
			b.ReportMetric(bytes, "B/ticket")
		})
	}
}
