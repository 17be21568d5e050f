package batch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

func (e *harness) announceVersion(name, version string, slots int64) []*wire.Decision {
	e.lastID++
	return e.Announce(e.now, &wire.Announce{
		Upstream: name, Address: name + ":80", Pools: []string{"engines"}, MaxRunning: slots, LeaseUs: time.Hour.Microseconds(),
		Seq: e.lastID, Version: version,
	})
}

func (e *harness) submitVersion(version string, priority int32) []*wire.Decision {
	t := e.ticket("usual", priority, 100, 100)
	t.Version = version
	return e.Submit(e.now, t)
}

// Guards against a new version that gets requests which are not meant for it, and against requests
// meant for it that wait behind others although its engines have room.
func TestTicketsGoToTheirVersion(t *testing.T) {
	e := newHarness(1)
	e.announceVersion("old", "v1", 1)
	e.announceVersion("new", "v2", 1)
	must.Eq(t, "old", e.submitVersion("v1", 1)[0].GetGrant().GetUpstream())
	for range 2 * maxCandidates {
		for _, d := range e.submitVersion("v1", 1) {
			must.Eq(t, "old", d.GetGrant().GetUpstream(), must.Sprint("in the queue of the full engine"))
		}
	}
	got := e.submitVersion("v2", 1)
	must.Len(t, 1, got)
	must.Eq(t, "new", got[0].GetGrant().GetUpstream())
	must.Eq(t, "v2", got[0].GetGrant().GetVersion())
}

// Guards against requests that wait for a version which was rolled back until they are refused.
func TestWaitingTicketsChangeTheirVersion(t *testing.T) {
	e := newHarness(1)
	e.announceVersion("old", "v1", 4)
	must.SliceEmpty(t, e.submitVersion("v2", 1))
	must.SliceEmpty(t, e.submitVersion("v2", 1))
	got := e.SetVersions(e.now, func(*wire.Ticket) string { return "v1" })
	must.Len(t, 2, got)
	for _, d := range got {
		must.Eq(t, "old", d.GetGrant().GetUpstream())
	}
}

// Versions are kept apart only while engines differ in them, however they come and go.
func TestMixedVersions(t *testing.T) {
	e := newHarness(1)
	mixed := func() bool {
		e.now = e.now.Add(sweepInterval)
		e.Tick(e.now)
		return e.mixedVersions
	}
	e.announceVersion("a", "v1", 1)
	e.announceVersion("b", "v1", 1)
	must.False(t, e.mixedVersions)
	must.Eq(t, "v1", e.onlyVersion)
	e.announceVersion("c", "v2", 1)
	must.True(t, e.mixedVersions)
	must.True(t, mixed())
	e.announceVersion("a", "v2", 1)
	e.announceVersion("b", "v2", 1)
	must.False(t, e.mixedVersions)
	must.Eq(t, "v2", e.onlyVersion)
	must.False(t, mixed())
}
