package batch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/refuse"
	"azurelane/core/wire"
)

// announceLeaving announces an engine that leaves and drains for a while.
func (e *harness) announceLeaving(name, version string, slots int64, drains time.Duration) []*wire.Decision {
	e.lastID++
	return e.Announce(e.now, &wire.Announce{
		Upstream: name, Address: name + ":80", Pools: []string{"engines"}, MaxRunning: slots, LeaseUs: time.Hour.Microseconds(),
		Seq: e.lastID, Version: version, Leaving: true, DrainsUs: drains.Microseconds(),
	})
}

func (e *harness) submitBound(version string, goesOn bool) []*wire.Decision {
	t := e.ticket("usual", 5, 100, 100)
	t.Version, t.Began, t.Bound, t.GoesOn = version, version, true, goesOn
	return e.Submit(e.now, t)
}

// Guards against streams that go on at another version, that wait for one that is gone, and that are
// refused though the last engines of their version still drain.
func TestStreamsAreBoundToTheirVersion(t *testing.T) {
	for _, test := range []struct {
		name     string
		announce func(e *harness)
		version  string
		goesOn   bool
		upstream string // Empty where the ticket is refused.
	}{
		{"its version serves", func(*harness) {}, "v1", true, "old"},
		{"no engine of its version", func(*harness) {}, "v3", true, ""},
		{"engines without a version", func(e *harness) { e.announceVersion("unnamed", "", 1) }, "", true, "unnamed"},
		{"its last engine drains", func(e *harness) { e.announceLeaving("last", "v3", 1, time.Second) }, "v3", true, "last"},
		{"its last engine no longer drains", func(e *harness) { e.announceLeaving("last", "v3", 1, 0) }, "v3", true, ""},
		{"a new stream does not begin at an engine that drains", func(e *harness) { e.announceLeaving("last", "v3", 1, time.Second) }, "v3", false, ""},
		{"another engine of its version serves", func(e *harness) {
			e.announceLeaving("last", "v3", 1, time.Second)
			e.announceVersion("next", "v3", 1)
		}, "v3", true, "next"},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newHarness(1)
			e.announceVersion("old", "v1", 1)
			e.announceVersion("new", "v2", 1)
			test.announce(e)
			got := e.submitBound(test.version, test.goesOn)
			must.Len(t, 1, got)
			must.Eq(t, test.upstream, got[0].GetGrant().GetUpstream())
			if test.upstream == "" {
				must.Eq(t, refuse.VersionGone, got[0].GetRefusal().GetCode())
			}
		})
	}
}

// Guards against a stream that waits until its deadline for a version that goes while it waits.
func TestVersionGoesWhileAStreamWaits(t *testing.T) {
	e := newHarness(1)
	e.announceVersion("old", "v1", 1)
	e.announceVersion("new", "v2", 1)
	for range 1 + engineQueueLimit {
		must.Len(t, 1, e.submitBound("v1", true), must.Sprint("a stream that goes on may queue at a full engine"))
	}
	must.SliceEmpty(t, e.submitBound("v1", true))
	e.announceLeaving("old", "v1", 1, 0)
	got := e.Tick(e.now.Add(time.Millisecond))
	must.Len(t, 1, got)
	must.Eq(t, refuse.VersionGone, got[0].GetRefusal().GetCode())
}
