package cordon

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/roster"
	"azurelane/core/wire"
)

const hourUs = int64(time.Hour / time.Microsecond)

// newRoster returns a roster of serving upstreams of a pool, and of one that is gone.
func newRoster(ids ...string) *roster.Roster {
	var r roster.Roster
	for _, id := range ids {
		r.Enroll(&wire.Upstream{Id: id, Pool: "p", Born: 1})
	}
	r.Enroll(&wire.Upstream{Id: "gone", Pool: "p", Born: 1, State: wire.Upstream_STATE_GONE})
	return &r
}

func newOrder(id string, change func(*wire.OrderCordon)) *wire.OrderCordon {
	o := &wire.OrderCordon{Upstream: id, Author: "ann", LengthUs: hourUs, NowUs: 1}
	if change != nil {
		change(o)
	}
	return o
}

// Guards against an order that is accepted although it can't be right, and against a refused one that
// changes something, also of a cordon in force.
func TestRefusedOrders(t *testing.T) {
	for _, tc := range []struct {
		name, upstream, code, text string
		change                     func(*wire.OrderCordon)
	}{
		{"no upstream", "", Invalid, "ID", nil},
		{"unknown upstream", "x", Unknown, `"x"`, nil},
		{"gone upstream", "gone", Unknown, `"gone"`, nil},
		{"no author", "a", Invalid, "author", func(o *wire.OrderCordon) { o.Author = " " }},
		{"author with a control character", "a", Invalid, "author", func(o *wire.OrderCordon) { o.Author = "a\x1b[2J" }},
		{"long author", "a", Invalid, "author", func(o *wire.OrderCordon) { o.Author = strings.Repeat("a", 101) }},
		{"long reason", "a", Invalid, "reason", func(o *wire.OrderCordon) { o.Reason = strings.Repeat("a", 301) }},
		{"no expiry", "a", Invalid, "future", func(o *wire.OrderCordon) { o.LengthUs = 0 }},
		{"expiry in the past", "a", Invalid, "future", func(o *wire.OrderCordon) { o.LengthUs = -hourUs }},
		{"expiry too late", "a", Invalid, "within", func(o *wire.OrderCordon) { o.LengthUs = MaxLength.Microseconds() + 1 }},
		{"others are cordoned", "c", LastUpstream, "pool p", nil},
		{"others get nothing", "a", LastUpstream, "pool p", func(o *wire.OrderCordon) { o.Unavailable = []string{"c"} }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRoster("a", "b", "c")
			r.Enroll(&wire.Upstream{Id: "leaves", Pool: "p", State: wire.Upstream_STATE_LEAVING})
			r.Enroll(&wire.Upstream{Id: "elsewhere", Pool: "q"})
			var c Cordon
			must.Eq(t, OK, c.Order("1", newOrder("b", nil), r).GetCode())
			must.Eq(t, OK, c.Order("2", newOrder("a", nil), r).GetCode())
			before, revision := c.List(), c.Revision()
			res := c.Order("3", newOrder(tc.upstream, tc.change), r)
			must.Eq(t, tc.code, res.GetCode())
			must.StrContains(t, res.GetText(), tc.text)
			must.Eq(t, before, c.List())
			must.Eq(t, revision, c.Revision())
		})
	}
}

// Guards against a forced order that is refused, and against cordons that count although they have expired.
func TestLastUpstream(t *testing.T) {
	r := newRoster("a", "b")
	var c Cordon
	must.Eq(t, OK, c.Order("1", newOrder("a", nil), r).GetCode())
	must.Eq(t, LastUpstream, c.Order("2", newOrder("b", nil), r).GetCode())
	must.Eq(t, OK, c.Order("3", newOrder("b", func(o *wire.OrderCordon) { o.NowUs = 1 + hourUs }), r).GetCode())
	must.Eq(t, OK, c.Order("4", newOrder("a", func(o *wire.OrderCordon) { o.Force = true }), r).GetCode())
	must.Eq(t, 2, c.Len())
}

// Guards against cordons beyond the limit, which every entry would get with each change.
func TestFull(t *testing.T) {
	ids := make([]string, Max+2)
	for i := range ids {
		ids[i] = strconv.Itoa(i)
	}
	r := newRoster(ids...)
	var c Cordon
	for _, id := range ids[:Max] {
		must.Eq(t, OK, c.Order(id, newOrder(id, nil), r).GetCode())
	}
	must.Eq(t, Full, c.Order("x", newOrder(ids[Max], nil), r).GetCode())
	must.Eq(t, OK, c.Order("y", newOrder(ids[0], nil), r).GetCode(), must.Sprint("it replaces one"))
}

// Guards against a cordon that ends early or never, that a restart of its upstream ends, and against an
// upstream that can't be given back.
func TestExpireAndLift(t *testing.T) {
	r := newRoster("a", "b", "c")
	var c Cordon
	must.Eq(t, OK, c.Order("1", newOrder("a", nil), r).GetCode())
	r.Enroll(&wire.Upstream{Id: "a", State: wire.Upstream_STATE_GONE, Born: 1})
	r.Enroll(&wire.Upstream{Id: "a", Pool: "p", Born: 2})
	c.Expire(hourUs)
	must.Eq(t, 1, c.Len())
	res := c.Order("2", newOrder("a", func(o *wire.OrderCordon) { o.NowUs, o.Author = hourUs, "bob" }), r)
	must.Eq(t, OK, res.GetCode())
	must.StrContains(t, res.GetText(), `"ann"`)
	c.Expire(1 + hourUs)
	must.Len(t, 1, c.List(), must.Sprint("the second order replaced the first"))
	must.Eq(t, "bob", c.List()[0].GetAuthor())
	must.Eq(t, Invalid, c.Lift(&wire.LiftCordon{Upstream: "a"}, r).GetCode())
	must.Eq(t, Unknown, c.Lift(&wire.LiftCordon{Upstream: "x", Author: "ann"}, r).GetCode())
	must.Eq(t, OK, c.Lift(&wire.LiftCordon{Upstream: "b", Author: "ann"}, r).GetCode())
	must.Eq(t, 2, c.Revision())
	must.True(t, c.HasExpired(2*hourUs))
	c.Expire(2 * hourUs)
	must.Eq(t, 0, c.Len())
	must.Eq(t, 3, c.Revision())
}
