package elig_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/elig"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

var start = time.Unix(1000, 0)

func newUpstream(change func(*wire.Announce)) *upstr.Upstream {
	a := &wire.Announce{Upstream: "a", LeaseUs: time.Minute.Microseconds(), DrainsUs: time.Second.Microseconds()}
	change(a)
	u := upstr.New("a")
	u.Update(start, a)
	return u
}

// Guards against requests that are granted to an upstream which can't be sent any.
func TestAllows(t *testing.T) {
	for _, tc := range []struct {
		name    string
		change  func(*wire.Announce)
		after   time.Duration // From the announcement.
		allows  bool
		streams bool
	}{
		{name: "serves", change: func(*wire.Announce) {}, allows: true},
		{name: "without a lease", change: func(*wire.Announce) {}, after: time.Minute},
		{name: "leaves", change: func(a *wire.Announce) { a.Leaving = true }, streams: true},
		{name: "has left", change: func(a *wire.Announce) { a.Leaving = true }, after: time.Second},
		{name: "allows no requests", change: func(a *wire.Announce) { a.Limit = &wire.Limit{PerSecond: 0} }},
		{name: "leaves and allows no requests", change: func(a *wire.Announce) { a.Leaving, a.Limit = true, &wire.Limit{PerSecond: 0} }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var e elig.Elig
			u, now := newUpstream(tc.change), start.Add(tc.after)
			must.Eq(t, tc.allows, e.Allows(now, u))
			must.Eq(t, tc.streams, e.AllowsStream(now, u))
		})
	}
}

// Guards against more than single requests for upstreams that seem cut off, and against none.
func TestProbes(t *testing.T) {
	var e elig.Elig
	cut := newUpstream(func(a *wire.Announce) { a.Unreached = true })
	other := newUpstream(func(a *wire.Announce) { a.Unreached = true })
	leaves := newUpstream(func(a *wire.Announce) { a.Unreached, a.Leaving, a.DrainsUs = true, true, a.GetLeaseUs() })
	reached := newUpstream(func(*wire.Announce) {})
	must.True(t, e.Allows(start, cut))
	e.Granted(start, reached)
	must.True(t, e.Allows(start, cut))
	e.Granted(start, cut)
	for now, want := range map[time.Time]bool{start.Add(elig.ProbeInterval - 1): false, start.Add(elig.ProbeInterval): true} {
		must.Eq(t, want, e.Allows(now, cut))
		must.Eq(t, want, e.Allows(now, other))
		must.Eq(t, want, e.AllowsStream(now, leaves))
		must.True(t, e.Allows(now, reached))
	}
}
