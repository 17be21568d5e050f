package gate

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// Guards against a scheduler that places requests by old speeds, because an entry reports them only once the
// requests that they came with have ended, and against reports where no scheduler uses them.
func TestSpeedsAreReported(t *testing.T) {
	for _, tc := range []struct {
		name  string
		pools []string
		pace  string
		want  []float64
	}{
		{"off", nil, "X-Pace: 250\r\n", nil},
		{"another pool", []string{"q"}, "X-Pace: 250\r\n", nil},
		{"not stated", []string{"p"}, "", nil},
		{"stated", []string{"p"}, "X-Pace: 250\r\n", []float64{250}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			up := newUpstream(t, respond(http.StatusOK, "ok", tc.pace))
			s := newTestGate(t, up)
			g := s.withScheduler(func(*wire.Ticket) (*wire.Grant, error) { return grantAt(up, "up-0"), nil })
			s.SetLiveSpeed(tc.pools)
			must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
			s.srv.Close() // Waits for the release.
			must.Len(t, 1, g.released)
			var got []float64
			for _, v := range g.released[0].GetSpeeds() {
				must.Eq(t, "up-0", v.GetUpstream())
				got = append(got, v.GetPercent())
			}
			must.Eq(t, tc.want, got)
			must.SliceEmpty(t, s.TakeSpeeds())
		})
	}
}

// Guards against speeds that wait for the end of a long stream: those that no release takes along are reported by
// themselves, once, with the newest figure of each upstream and its age.
func TestSpeedsWithoutRelease(t *testing.T) {
	s := newTestGate(t)
	s.SetLiveSpeed([]string{"p"})
	start := time.Now()
	s.recordSpeed("p", "a", 100)
	s.recordSpeed("p", "b", 100)
	s.recordSpeed("p", "a", 250)
	<-s.ReportsPending()
	must.GreaterEq(t, speedReportDelay, time.Since(start))
	list := s.TakeSpeeds()
	must.Len(t, 2, list)
	must.Eq(t, "a", list[0].GetUpstream())
	must.Eq(t, 250, list[0].GetPercent())
	must.GreaterEq(t, speedReportDelay.Microseconds(), list[0].GetAgeUs())
	must.SliceEmpty(t, s.TakeSpeeds())
}
