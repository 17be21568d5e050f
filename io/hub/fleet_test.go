package hub

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"azurelane/core/acct"
	"azurelane/core/conf"
	"azurelane/core/pool"
	"azurelane/core/wire"
)

// fleet is a leader with the load of a deployment, without links and log.
type fleet struct {
	*Hub
	entries, upstreams, accounts int
	seq, ticket                  uint64
	news                         []*wire.News // Last answer by entry.
}

const (
	fleetDataCentres = 5
	fleetSlots       = 6
)

func newFleet(tb testing.TB, entries int) *fleet {
	tb.Helper()
	f := &fleet{entries: entries, upstreams: 3 * entries, accounts: entries / 3, news: make([]*wire.News, entries)}
	cfg := &conf.Config{Accounts: map[string]acct.Account{}, Pools: map[string]pool.Pool{"engines": {ByRoute: true, Slots: fleetSlots, Scheduler: "batch", EventTokens: 22}}}
	for i := range f.accounts {
		cfg.Accounts[fmt.Sprint("account-", i)] = acct.Account{Rate: 1e9, Burst: 1e9}
	}
	f.Hub = &Hub{
		Replica: &fakeReplica{leads: true, voters: 5}, Voters: 5, AnnounceInterval: 3 * time.Second, Log: logr.Discard(),
		Parse: func([]byte) (*conf.Config, error) { return cfg, nil },
	}
	f.LeaderClient = directLeader{f.Hub}
	ctx, cancel := context.WithCancel(tb.Context())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	tb.Cleanup(func() {
		cancel()
		<-done
	})
	for f.leaderScheduler() == nil {
		time.Sleep(time.Millisecond)
	}
	must.NoError(tb, f.Publish(ctx, 1, []byte("one")))
	for f.seq == 0 || f.grant(0) == nil {
		f.report(f.upstreams)
		time.Sleep(10 * time.Millisecond)
	}
	return f
}

func (f *fleet) dataCentre(n int) string { return fmt.Sprint("dc-", n%fleetDataCentres) }

// report sends n reports of upstreams in turn.
func (f *fleet) report(n int) {
	for range n {
		i := int(f.seq) % f.upstreams
		f.seq++
		_ = f.handleReport(context.Background(), &wire.Report{Seq: f.seq, Upstream: &wire.Upstream{
			Id: fmt.Sprint("i-", i), Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), Pool: "engines", DataCentre: f.dataCentre(i), Slots: fleetSlots,
		}})
	}
}

// poll answers the poll of an entry that has all news.
func (f *fleet) poll(entry int) {
	old := f.news[entry]
	n, _ := f.handleWatch(context.Background(), &wire.Watch{
		Node: fmt.Sprint("e-", entry), Incarnation: "i", DataCentre: f.dataCentre(entry), Version: 1, Revision: old.GetRevision(), Leader: old.GetLeader(), Entries: int64(f.entries),
	})
	f.news[entry] = n
}

// start answers the two polls with which an entry that has just started gets everything.
func (f *fleet) start(entry int) {
	w := &wire.Watch{Node: fmt.Sprint("e-", entry), Incarnation: "i", DataCentre: f.dataCentre(entry), Entries: int64(f.entries)}
	n, _ := f.handleWatch(context.Background(), w)
	w.Version, w.Leader = n.GetVersion(), n.GetLeader()
	f.news[entry], _ = f.handleWatch(context.Background(), w)
}

func (f *fleet) grant(entry int) *wire.Decision {
	f.ticket++
	var d *wire.Decision
	f.HandleAsync(context.Background(), &wire.Frame{Body: &wire.Frame_Ticket{Ticket: &wire.Ticket{
		Id: f.ticket, Incarnation: fmt.Sprint("i-", entry), Entry: fmt.Sprint("e-", entry), DataCentre: f.dataCentre(entry), Pool: "engines", Route: "r",
		Account: fmt.Sprint("account-", f.ticket%uint64(max(f.accounts, 1))), Units: 100, PromptTokens: 1000, AnswerTokens: 200,
		DeadlineUs: (8 * time.Second).Microseconds(), ObjectiveUs: (400 * time.Millisecond).Microseconds(),
	}}}, func(r *wire.Frame) { d = r.GetDecision() })
	if d.GetGrant() == nil {
		return nil
	}
	return d
}

func (f *fleet) run(entry int) {
	d := f.grant(entry)
	if d == nil {
		return
	}
	g := d.GetGrant()
	f.scheduler().release(&wire.Release{
		Ticket: d.GetTicket(), Incarnation: d.GetIncarnation(), Pool: "engines", Upstream: g.GetUpstream(), Slot: g.GetSlot(), Owner: g.GetOwner(),
		Dispatched: true, Whole: true, FirstTokenUs: 80000, TotalUs: 300000, Pieces: 10,
	})
}

// BenchmarkLeader measures a second of a leader's load by the number of entries, with three
// upstreams, a third of an account and 1.1 streams a second for each, and a start of all entries
// at once. Target: linear in the entries, and under half of a core for a thousand.
func BenchmarkLeader(b *testing.B) {
	for _, entries := range []int{99, 301, 985, 1970} {
		f := newFleet(b, entries)
		for e := range entries {
			f.poll(e)
		}
		for _, part := range []struct {
			name string
			do   func()
		}{
			{"reports", func() { f.report(f.upstreams / 3) }},
			{"polls", func() {
				for e := range entries / 2 {
					f.poll(e)
				}
			}},
			{"starts", func() {
				for e := range entries {
					f.start(e)
				}
			}},
			{"streams", func() {
				for i := range entries * 11 / 10 {
					f.run(i % entries)
				}
			}},
		} {
			b.Run(fmt.Sprintf("entries-%d/%s", entries, part.name), func(b *testing.B) {
				for range b.N {
					part.do()
				}
			})
		}
	}
}
