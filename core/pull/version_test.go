package pull_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/pull"
	"azurelane/core/wire"
)

// newVersions returns a policy with an upstream of each version, for one request at once.
func newVersions(versions ...string) *pull.Policy {
	p := newPolicy(nil)
	for i, v := range versions {
		a := announce(i, 1)
		a.Version = v
		p.Announce(start, a)
	}
	return p
}

func versioned(id uint64, version string, bound bool) *wire.Ticket {
	t := normal(id)
	t.Version, t.Bound = version, bound
	return t
}

// Guards against requests that go to a version which is not meant for them, and against requests that
// wait behind those of another version although their own upstream is idle.
func TestTicketsGoToTheirVersion(t *testing.T) {
	p := newVersions("v1", "v2", "")
	must.Eq(t, "up-0", p.Submit(start, versioned(1, "v1", false))[0].GetGrant().GetUpstream())
	for id := range uint64(20) {
		must.SliceEmpty(t, p.Submit(start, versioned(2+id, "v1", id%2 == 0)))
	}
	got := p.Submit(start, versioned(30, "v2", true))
	must.Len(t, 1, got)
	must.Eq(t, "up-1", got[0].GetGrant().GetUpstream())
	got = p.Submit(start, versioned(31, "", true))
	must.Len(t, 1, got)
	must.Eq(t, "up-2", got[0].GetGrant().GetUpstream(), must.Sprint("of no version"))
}

// Guards against requests that wait for a version which was rolled back.
func TestWaitingTicketsChangeTheirVersion(t *testing.T) {
	p := newVersions("v1")
	for id := range uint64(3) {
		must.SliceEmpty(t, p.Submit(start, versioned(1+id, "v2", false)))
	}
	got := p.SetVersions(start, func(*wire.Ticket) string { return "v1" })
	must.Eq(t, []uint64{1}, grants(got))
	must.Eq(t, []uint64{2}, grants(p.Release(start, release(got[0]))))
}

// Guards against streams that wait for upstreams of a version of which none is left, and against their
// callers being told to come back.
func TestStreamOfAVersionThatIsGone(t *testing.T) {
	p := newVersions("v1")
	now := start.Add(4 * time.Second) // After the grace of a new owner.
	p.Submit(start.Add(2*time.Second), normal(1))
	d := p.Submit(now, versioned(2, "v2", true))
	must.Eq(t, map[uint64]string{2: "version-gone"}, refusals(d))
	must.Eq(t, 0, d[0].GetRefusal().GetRetryAfterUs())
	avoids := versioned(3, "v1", true)
	avoids.Avoid = []string{"up-0"}
	must.Eq(t, map[uint64]string{3: "no-upstream"}, refusals(p.Submit(now, avoids)))
}

// Guards against a data centre that is cut off and gets more than an occasional request, and against
// none, so that its return is not noticed.
func TestCutOffDataCentreIsProbed(t *testing.T) {
	p := newPolicy(nil, 8)
	for i := 1; i <= 2; i++ {
		a := announce(i, 8)
		a.Unreached = true
		p.Announce(start, a)
	}
	cut := 0
	for i := range uint64(200) {
		now := start.Add(time.Duration(i) * 10 * ms)
		for _, d := range p.Submit(now, normal(i+1)) {
			if d.GetGrant().GetUpstream() != "up-0" {
				cut++
			}
			p.Release(now.Add(ms), release(d))
		}
	}
	must.Between(t, 1, cut, 5)
}
