package gate

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/origin"
	"azurelane/core/refuse"
	"azurelane/core/wire"
)

// breakAfter sends events and breaks the stream off.
func breakAfter(events int) func(int, *http.Request, io.Writer) bool {
	return func(_ int, r *http.Request, w io.Writer) bool {
		if events > 0 {
			writeEvents(r, w, 1, events, false)
		}
		closeConn(w)
		return false
	}
}

// sendRest sends the events after the last one that the caller has, up to the given one.
func sendRest(last int) func(int, *http.Request, io.Writer) bool {
	return func(_ int, r *http.Request, w io.Writer) bool {
		from := len(r.Header.Get("X-Last")) // IDs of one digit only.
		if from > 0 {
			from = int(r.Header.Get("X-Last")[0] - '0')
		}
		writeEvents(r, w, from+1, last, true)
		return true
	}
}

// newMixedGate is a gate before upstreams of several versions, without a rollout.
func newMixedGate(t *testing.T, versions []string, ups ...*upstream) *testGate {
	t.Helper()
	s := newTestGate(t, ups...)
	for n, u := range s.view.Upstreams["p"] {
		u.DataCentre, u.Version = "z0", versions[n]
	}
	return s
}

// Guards against a stream that goes on at another version within one answer.
func TestBrokenStreamStaysAtItsVersion(t *testing.T) {
	for _, test := range []struct {
		name     string
		events   int // Before the stream breaks off.
		versions []string
		counts   []int // Requests by upstream.
		whole    bool
	}{
		{"another one of its version", 2, []string{"v1", "v2", "v2", "v1"}, []int{1, 0, 0, 1}, true},
		{"none of its version left", 2, []string{"v1", "v2", "v2", "v2"}, []int{1, 0, 0, 0}, false},
		{"upstreams without a version", 2, []string{"", "v2", "v2", ""}, []int{1, 0, 0, 1}, true},
		{"upstreams without a version are of none", 2, []string{"v1", "", "", ""}, []int{1, 0, 0, 0}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			ups := []*upstream{newUpstream(t, breakAfter(test.events))}
			for range test.versions[1:] {
				ups = append(ups, newUpstream(t, sendRest(4)))
			}
			s := newMixedGate(t, test.versions, ups...)
			s.withScheduler(grantInOrder(ups, test.versions))
			start := time.Now()
			r := s.do("POST", "/resume/x")
			must.Less(t, time.Second, time.Since(start), must.Sprint("the caller learns at once"))
			for n, u := range ups {
				must.Eq(t, test.counts[n], u.count(), must.Sprint(n))
			}
			must.Eq(t, test.whole, r.err == nil)
			if test.whole {
				must.Eq(t, eventsUpTo(4), r.body)
			}
		})
	}
}

// grantInOrder grants the first upstream that a ticket allows, as a scheduler would.
func grantInOrder(ups []*upstream, versions []string) func(t *wire.Ticket) (*wire.Grant, error) {
	return func(t *wire.Ticket) (*wire.Grant, error) {
		for n, u := range ups {
			id := "up-" + string(rune('0'+n))
			if (t.GetBound() && t.GetBegan() != versions[n]) || strings.Contains(strings.Join(t.GetAvoid(), ","), id) {
				continue
			}
			return &wire.Grant{Slot: uint64(n), Owner: "owner", Upstream: id, Address: u.Addr().String(), Version: versions[n]}, nil
		}
		if t.GetBound() {
			return nil, refuse.New(refuse.VersionGone, "", 0)
		}
		return nil, refuse.New(refuse.Overloaded, "", 0)
	}
}

// Guards against requests that fail because their first upstream sent nothing, though one of another
// version could serve them: the version is fixed by the first event.
func TestVersionIsFixedByTheFirstEvent(t *testing.T) {
	silent, other := newUpstream(t, breakAfter(0)), newUpstream(t, sendRest(4))
	s := newMixedGate(t, []string{"v1", "v2"}, silent, other)
	s.withScheduler(grantInOrder([]*upstream{silent, other}, []string{"v1", "v2"}))
	must.Eq(t, eventsUpTo(4), s.do("POST", "/resume/x").body)
	version, known := s.origins.streams.Version(time.Now(), origin.Key("radio", "p", "1"))
	must.True(t, known)
	must.Eq(t, "v2", version)
}

// Guards against a stream that a caller takes up at another version than the one that began it, and
// against streams that could go on and don't.
func TestCallerTakesAStreamUp(t *testing.T) {
	for _, test := range []struct {
		name      string
		header    []string
		alone     bool
		scheduler string
		want      []int // Requests by upstream: one of v1, two of v2.
	}{
		{name: "began here", header: []string{"X-Last-Event", "2", "X-Resumes", "first"}, want: []int{1, 0, 0}},
		{name: "third attempt", header: []string{"X-Last-Event", "3", "X-Resumes", "first"}, want: []int{1, 0, 0}},
		{name: "the scheduler knows", header: []string{"X-Last-Event", "2", "X-Resumes", "elsewhere"}, scheduler: "v1", want: []int{1, 0, 0}},
		{name: "the scheduler knows that the pool has one version", header: []string{"X-Last-Event", "2"}, scheduler: "v1", want: []int{1, 0, 0}},
		{name: "nobody knows", header: []string{"X-Last-Event", "2", "X-Resumes", "elsewhere"}},
		{name: "no attempt named", header: []string{"X-Last-Event", "2"}},
		{name: "no scheduler", header: []string{"X-Last-Event", "2", "X-Resumes", "elsewhere"}, scheduler: "v1", alone: true},
		{name: "very long name", header: []string{"X-Last-Event", "2", "X-Resumes", strings.Repeat("x", 4000)}},
		{name: "another account's attempt", header: []string{"X-Last-Event", "2", "X-Resumes", "first", "Authorization", "Bearer " + otherKey}},
		{name: "version is gone", header: []string{"X-Last-Event", "2", "X-Resumes", "elsewhere"}, scheduler: "v0"},
	} {
		t.Run(test.name, func(t *testing.T) {
			ups := []*upstream{newUpstream(t, sendRest(4)), newUpstream(t, sendRest(4)), newUpstream(t, sendRest(4))}
			s := newMixedGate(t, []string{"v1", "v2", "v2"}, ups...)
			s.origins.streams.Record(time.Now(), origin.Key("radio", "p", "first"), "v1", time.Minute)
			if !test.alone {
				s.view.Owner = &wire.Member{Incarnation: "owner"} // The pool's requests need no ticket.
			}
			s.schedulerKnows = test.scheduler
			r := s.do("POST", "/resume/x", test.header...)
			var got []int
			for _, u := range ups {
				got = append(got, u.count())
			}
			if test.want == nil {
				must.Eq(t, []int{0, 0, 0}, got)
				must.Eq(t, http.StatusServiceUnavailable, r.status)
				must.Eq(t, "", r.header.Get("Retry-After"), must.Sprint("the same request would be refused again"))
				return
			}
			must.Eq(t, test.want, got)
			must.Eq(t, http.StatusOK, r.status)
		})
	}
}

// A request without Last-Event-Id is a new stream, whatever it says that it resumes.
func TestResumesWithoutAnEventIsANewStream(t *testing.T) {
	u := newUpstream(t, sendRest(4))
	s := newMixedGate(t, []string{"v1"}, u)
	must.Eq(t, eventsUpTo(4), s.do("POST", "/resume/x", "X-Resumes", "elsewhere").body)
}

// Guards against streams that nobody knows once a pool has another version, and against reports while it
// has one.
func TestOriginReports(t *testing.T) {
	u := newUpstream(t, sendRest(4))
	s := newMixedGate(t, []string{"v1"}, u)
	must.Eq(t, eventsUpTo(4), s.do("POST", "/resume/x").body)
	list := s.TakeOriginReports()
	must.Len(t, 1, list)
	must.Eq(t, "v1", list[0].GetVersion())
	must.SliceEmpty(t, s.TakeOriginReports())
	s.RequeueOriginReports(list)
	must.Len(t, 1, s.TakeOriginReports())
	must.Len(t, 1, s.KnownOrigins())
	report := false
	s.withScheduler(func(t *wire.Ticket) (*wire.Grant, error) {
		g, err := grantInOrder([]*upstream{u}, []string{"v1"})(t)
		g.Report = report
		return g, err
	})
	must.Eq(t, eventsUpTo(4), s.do("POST", "/resume/x").body)
	must.SliceEmpty(t, s.TakeOriginReports(), must.Sprint("the pool has one version"))
	report = true
	must.Eq(t, eventsUpTo(4), s.do("POST", "/resume/x").body)
	must.Len(t, 1, s.TakeOriginReports())
	report = false
	s.SetMixed([]string{"p"})
	must.Len(t, 1, s.TakeOriginReports(), must.Sprint("all streams, once the pool has another version"))
	s.SetMixed([]string{"p"})
	must.SliceEmpty(t, s.TakeOriginReports())
	must.Eq(t, eventsUpTo(4), s.do("POST", "/resume/x").body)
	must.Len(t, 1, s.TakeOriginReports(), must.Sprint("granted before the pool had another version"))
}

// Guards against a version that was rolled back, or that has not been proved, and gets streams that go
// on there.
func TestStreamsGoOnWithinRollouts(t *testing.T) {
	for _, test := range []struct {
		name  string
		began string
		share float64
		want  []int // Requests by upstream: one of v1, one of v2.
	}{
		{"at the base version", "v1", 0.1, []int{1, 0}},
		{"at the target version", "v2", 0.1, []int{0, 1}},
		{"at the target version without a share", "v2", 0, []int{0, 0}},
		{"at a version of neither", "v0", 0.1, []int{0, 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			base, target := newUpstream(t, sendRest(4)), newUpstream(t, sendRest(4))
			s := newVersionGate(t, base, target, test.share)
			s.origins.streams.Record(time.Now(), origin.Key("radio", "p", "first"), test.began, time.Minute)
			r := s.do("POST", "/resume/x", "X-Last-Event", "2", "X-Resumes", "first")
			must.Eq(t, test.want, []int{base.count(), target.count()})
			must.Eq(t, test.want[0]+test.want[1] > 0, r.status == http.StatusOK)
		})
	}
}
