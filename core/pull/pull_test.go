package pull_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/conf"
	"azurelane/core/pool"
	"azurelane/core/pull"
	"azurelane/core/wire"
)

var start = time.Unix(1000, 0)

// newPolicy returns a policy with one upstream for each element of maxRunning, the number
// of requests that the upstream runs at once.
func newPolicy(cfg *conf.Config, maxRunning ...int64) *pull.Policy {
	p := &pull.Policy{}
	if cfg == nil {
		cfg = &conf.Config{Pools: map[string]pool.Pool{"p": {}}}
	}
	p.Configure(start, "p", cfg)
	for i, n := range maxRunning {
		p.Announce(start, announce(i, n))
	}
	return p
}

func announce(i int, maxRunning int64) *wire.Announce {
	name := fmt.Sprintf("up-%d", i)
	return &wire.Announce{Upstream: name, Address: "127.0.0.1:1", Pools: []string{"p"}, MaxRunning: maxRunning, LeaseUs: time.Hour.Microseconds()}
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

// grants returns the IDs of the granted tickets, in order.
func grants(ds []*wire.Decision) []uint64 {
	ids := []uint64{}
	for _, d := range ds {
		if d.GetGrant() != nil {
			ids = append(ids, d.GetTicket())
		}
	}
	return ids
}

// refusals maps the ID of each refused ticket to its refusal code.
func refusals(ds []*wire.Decision) map[uint64]string {
	codes := map[uint64]string{}
	for _, d := range ds {
		if r := d.GetRefusal(); r != nil {
			codes[d.GetTicket()] = r.GetCode()
		}
	}
	return codes
}

// The only upstream runs one request at a time. Its slot is granted to ticket 1 and then
// lost, through a withdrawal, a dead entry or a lost message. Ticket 2 must get the slot;
// otherwise the upstream would stay idle forever.
func TestLostSlots(t *testing.T) {
	withdraw := &wire.Withdraw{Ticket: 1, Entry: "e", Incarnation: "i", Pool: "p"}
	none := &wire.Held{Entry: "e", Incarnation: "i"}
	cases := []struct {
		name string
		lose func(p *pull.Policy) []*wire.Decision
		at   time.Duration // When ticket 2 must have the slot.
	}{
		{"withdrawn in the moment of the grant", func(p *pull.Policy) []*wire.Decision { p.Withdraw(start, withdraw); return nil }, 0},
		{"entry died", func(p *pull.Policy) []*wire.Decision { return p.Forget(start, "i") }, 0},
		{"grant or release lost", func(p *pull.Policy) []*wire.Decision { p.Hold(start.Add(6*time.Second), none); return nil }, 6 * time.Second},
		{"no list from the entry either", func(*pull.Policy) []*wire.Decision { return nil }, pool.DefaultMaxRun + time.Minute},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPolicy(nil, 1)
			ds := p.Submit(start, normal(1))
			must.Eq(t, []uint64{1}, grants(ds))
			other := normal(2)
			other.Incarnation = "other"
			must.SliceEmpty(t, p.Submit(start, other))
			after := append(c.lose(p), p.Tick(start.Add(c.at))...)
			must.Eq(t, []uint64{2}, grants(after))
			must.SliceEmpty(t, p.Release(start.Add(c.at), release(ds[0])), must.Sprint("a late release frees nothing"))
			third := normal(3)
			must.SliceEmpty(t, p.Submit(start.Add(c.at), third), must.Sprint("the slot is counted once"))
		})
	}
}

// The link breaks after the owner granted a slot and before the grant reached the entry.
// The entry submits the ticket again and must get a slot instead of waiting behind the lost
// one. A waiting ticket that is submitted again must not be granted twice.
func TestResubmit(t *testing.T) {
	p := newPolicy(nil, 1)
	first := p.Submit(start, normal(1))
	must.Eq(t, []uint64{1}, grants(first))
	again := p.Submit(start, normal(1))
	must.Eq(t, []uint64{1}, grants(again))
	must.SliceEmpty(t, p.Submit(start, normal(2)))
	must.SliceEmpty(t, p.Submit(start, normal(2)))
	must.SliceEmpty(t, p.Release(start, release(first[0])), must.Sprint("the earlier slot was already freed"))
	must.SliceEmpty(t, p.Submit(start, normal(3)))
	second := p.Release(start, release(again[0]))
	must.Eq(t, []uint64{2}, grants(second))
	must.Eq(t, []uint64{3}, grants(p.Release(start, release(second[0]))), must.Sprint("ticket 2 was queued once"))
}

// A new owner hears from entries before it hears from the upstreams. It must count the
// slots that the entries already hold, and it must not refuse tickets for want of an
// upstream before every upstream had the time to announce itself.
func TestTakeover(t *testing.T) {
	p := newPolicy(nil)
	held := &wire.Held{Entry: "e", Incarnation: "i", Slots: []*wire.HeldSlot{{
		Ticket: normal(1), Grant: &wire.Grant{Slot: 7, Owner: "former", Upstream: "up-0"},
	}}}
	p.Hold(start, held)
	p.Hold(start, held)
	must.SliceEmpty(t, p.Submit(start, normal(2)), must.Sprint("waits for announcements"))
	must.SliceEmpty(t, p.Announce(start.Add(time.Second), announce(0, 1)), must.Sprint("the held slot counts"))
	r := &wire.Release{Ticket: 1, Entry: "e", Incarnation: "i", Pool: "p", Upstream: "up-0", Slot: 7, Owner: "former", Dispatched: true}
	must.Eq(t, []uint64{2}, grants(p.Release(start.Add(time.Second), r)))
}

// An entry takes over a pool after it has run for a minute without owning it. The start
// grace begins with the takeover. Without announcements, the waiting ticket is refused when
// the grace ends, and later ones are refused at once.
func TestGraceEnds(t *testing.T) {
	p := newPolicy(nil)
	now := start.Add(time.Minute)
	p.Tick(now)
	must.SliceEmpty(t, p.Submit(now, normal(1)))
	must.MapEmpty(t, refusals(p.Tick(now.Add(2*time.Second))))
	must.Eq(t, map[uint64]string{1: "no-upstream"}, refusals(p.Tick(now.Add(4*time.Second))))
	for id := range uint64(5) {
		now = now.Add(4 * time.Second)
		must.Eq(t, map[uint64]string{2 + id: "no-upstream"}, refusals(p.Submit(now, normal(2+id))))
	}
}

// Guards against requests without tokens that are refused for the deadline, with a minute to wait, after
// one of them was answered in two pieces.
func TestAnswerInTwoPieces(t *testing.T) {
	p := newPolicy(nil, 4)
	plain := func(id uint64) *wire.Ticket {
		t := urgent(id, 3*time.Second)
		t.PromptTokens, t.AnswerTokens = 0, 0
		return t
	}
	for id, first := range []int64{8_000, 2_000, 8_000} { // Microseconds until the first piece.
		now := start.Add(time.Duration(id) * time.Second)
		d := p.Submit(now, plain(uint64(id)+1)) //nolint:gosec // Not negative.
		must.MapEmpty(t, refusals(d))
		must.Len(t, 1, d)
		r := release(d[0])
		r.Whole, r.FirstTokenUs, r.TotalUs = true, first, 8_000
		p.Release(now.Add(8*time.Millisecond), r)
		if id == 0 {
			p.Tick(now.Add(500 * time.Millisecond)) // The speed is known from now on.
		}
	}
}
