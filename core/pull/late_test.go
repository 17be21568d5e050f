package pull_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/conf"
	"azurelane/core/pull"
	"azurelane/core/pool"
	"azurelane/core/wire"
)

var start = time.Unix(1000, 0)

// newLate returns the policy with upstreams that run as many requests at once
// as running says.
func newLate(cfg *conf.Config, running ...int64) *pull.Late {
	l := &pull.Late{}
	if cfg == nil {
		cfg = &conf.Config{Pools: map[string]pool.Pool{"p": {}}}
	}
	l.Configure(start, "p", cfg)
	for i, n := range running {
		l.Announce(start, announce(i, n))
	}
	return l
}

func announce(i int, running int64) *wire.Announce {
	name := fmt.Sprintf("up-%d", i)
	return &wire.Announce{Upstream: name, Address: "127.0.0.1:1", Pools: []string{"p"}, MaxRunning: running, LeaseUs: time.Hour.Microseconds()}
}

func ticket(id uint64, tier wire.Tier) *wire.Ticket {
	return &wire.Ticket{Id: id, Entry: "e", Incarnation: "i", Account: "a", Pool: "p", Tier: tier, PromptTokens: 16, AnswerTokens: 8}
}

func normal(id uint64) *wire.Ticket { return ticket(id, wire.Tier_TIER_NORMAL) }

func urgent(id uint64, deadline time.Duration) *wire.Ticket {
	t := ticket(id, wire.Tier_TIER_URGENT)
	t.DeadlineUs = deadline.Microseconds()
	return t
}

func release(d *wire.Decision) *wire.Release {
	g := d.GetGrant()
	return &wire.Release{
		Ticket: d.GetTicket(), Entry: d.GetEntry(), Incarnation: d.GetIncarnation(), Pool: "p", Upstream: g.GetUpstream(),
		Slot: g.GetSlot(), Account: "a", Dispatched: true, FirstTokenUs: 10_000, TotalUs: 100_000,
	}
}

// grants returns the tickets granted, in order.
func grants(ds []*wire.Decision) []uint64 {
	ids := []uint64{}
	for _, d := range ds {
		if d.GetGrant() != nil {
			ids = append(ids, d.GetTicket())
		}
	}
	return ids
}

// refusals maps the tickets refused to their codes.
func refusals(ds []*wire.Decision) map[uint64]string {
	codes := map[uint64]string{}
	for _, d := range ds {
		if r := d.GetRefusal(); r != nil {
			codes[d.GetTicket()] = r.GetCode()
		}
	}
	return codes
}

// The one upstream runs one request at a time. Its slot is granted to ticket 1
// and then lost in one of the ways that links and entries lose it. Ticket 2
// must get the slot, or the upstream stays idle for ever.
func TestLostSlots(t *testing.T) {
	withdraw := &wire.Withdraw{Ticket: 1, Entry: "e", Incarnation: "i", Pool: "p"}
	none := &wire.Held{Entry: "e", Incarnation: "i"}
	cases := []struct {
		name string
		lose func(l *pull.Late) []*wire.Decision
		at   time.Duration // When ticket 2 must have the slot.
	}{
		{"withdrawn in the moment of the grant", func(l *pull.Late) []*wire.Decision { l.Withdraw(start, withdraw); return nil }, 0},
		{"entry died", func(l *pull.Late) []*wire.Decision { return l.Forget(start, "i") }, 0},
		{"grant or release lost", func(l *pull.Late) []*wire.Decision { l.Hold(start.Add(6*time.Second), none); return nil }, 6 * time.Second},
		{"no list from the entry either", func(*pull.Late) []*wire.Decision { return nil }, pool.DefaultMaxRun + time.Minute},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLate(nil, 1)
			ds := l.Submit(start, normal(1))
			must.Eq(t, []uint64{1}, grants(ds))
			other := normal(2)
			other.Incarnation = "other"
			must.SliceEmpty(t, l.Submit(start, other))
			after := append(c.lose(l), l.Tick(start.Add(c.at))...)
			must.Eq(t, []uint64{2}, grants(after))
			must.SliceEmpty(t, l.Release(start.Add(c.at), release(ds[0])), must.Sprint("a late release frees nothing"))
			third := normal(3)
			must.SliceEmpty(t, l.Submit(start.Add(c.at), third), must.Sprint("the slot is counted once"))
		})
	}
}

// The link breaks after the owner granted and before the entry heard it. The
// entry sends the ticket again and must get a slot, not wait behind its own
// lost one. A waiting ticket sent again must not be granted twice.
func TestSentAgain(t *testing.T) {
	l := newLate(nil, 1)
	first := l.Submit(start, normal(1))
	must.Eq(t, []uint64{1}, grants(first))
	again := l.Submit(start, normal(1))
	must.Eq(t, []uint64{1}, grants(again))
	must.SliceEmpty(t, l.Submit(start, normal(2)))
	must.SliceEmpty(t, l.Submit(start, normal(2)))
	must.SliceEmpty(t, l.Release(start, release(first[0])), must.Sprint("the former slot was freed before"))
	must.SliceEmpty(t, l.Submit(start, normal(3)))
	second := l.Release(start, release(again[0]))
	must.Eq(t, []uint64{2}, grants(second))
	must.Eq(t, []uint64{3}, grants(l.Release(start, release(second[0]))), must.Sprint("ticket 2 waited once"))
}

// A new owner hears from entries before it hears from the upstreams. It must
// count the slots that entries hold there, and must not refuse for want of an
// upstream before each of them had the time to announce itself.
func TestTakeover(t *testing.T) {
	l := newLate(nil)
	held := &wire.Held{Entry: "e", Incarnation: "i", Slots: []*wire.HeldSlot{{
		Ticket: normal(1), Grant: &wire.Grant{Slot: 7, Owner: "former", Upstream: "up-0"},
	}}}
	l.Hold(start, held)
	l.Hold(start, held)
	must.SliceEmpty(t, l.Submit(start, normal(2)), must.Sprint("waits for announcements"))
	must.SliceEmpty(t, l.Announce(start.Add(time.Second), announce(0, 1)), must.Sprint("the held slot counts"))
	r := &wire.Release{Ticket: 1, Entry: "e", Incarnation: "i", Pool: "p", Upstream: "up-0", Slot: 7, Owner: "former", Dispatched: true}
	must.Eq(t, []uint64{2}, grants(l.Release(start.Add(time.Second), r)))
}

// An entry has run for a minute without owning the pool and takes it over. The
// grace counts from there; without announcements it ends in an honest refusal,
// and requests that come later are refused at once.
func TestGraceEnds(t *testing.T) {
	l := newLate(nil)
	now := start.Add(time.Minute)
	l.Tick(now)
	must.SliceEmpty(t, l.Submit(now, normal(1)))
	must.MapEmpty(t, refusals(l.Tick(now.Add(2*time.Second))))
	must.Eq(t, map[uint64]string{1: "no-upstream"}, refusals(l.Tick(now.Add(4*time.Second))))
	for id := range uint64(5) {
		now = now.Add(4 * time.Second)
		must.Eq(t, map[uint64]string{2 + id: "no-upstream"}, refusals(l.Submit(now, normal(2+id))))
	}
}
