package sched_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/digest"
	"azurelane/core/refuse"
	"azurelane/core/wire"
)

// Guards against a request that crashes an upstream again after each restart, and against banning
// other requests of the same account.
func TestRequestThatCrashesUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSched()
		bad, good := digest.Of("a", "h", "/x", []byte("bad")), digest.Of("a", "h", "/x", []byte("good"))
		next := uint64(0)
		run := func(d digest.Digest, crashes bool) string {
			next++
			tk := ticket(next)
			tk.Digest = d[:]
			dec := s.Submit(t.Context(), tk)
			if code := dec.GetRefusal().GetCode(); code != "" {
				must.Eq(t, 0, dec.GetRefusal().GetRetryAfterUs())
				return code
			}
			rel := release(dec)
			rel.Upstream, rel.Digest, rel.Dispatched, rel.Failed, rel.Crashed = dec.GetGrant().GetUpstream(), d[:], true, crashes, crashes
			s.Release(rel)
			return ""
		}
		for n := range 3 {
			s.Announce(&wire.Announce{
				Upstream: "up", Address: "127.0.0.1:1", Pools: []string{"p"}, MaxRunning: 1, LeaseUs: time.Hour.Microseconds(), Incarnation: string(rune('a' + n)),
			})
			time.Sleep(time.Second)
			must.Eq(t, "", run(good, false))
			must.Eq(t, "", run(bad, true))
		}
		s.Announce(&wire.Announce{
			Upstream: "up", Address: "127.0.0.1:1", Pools: []string{"p"}, MaxRunning: 1, LeaseUs: time.Hour.Microseconds(), Incarnation: "z",
		})
		must.Eq(t, refuse.Crashes, run(bad, true))
		must.Eq(t, "", run(good, false))
		time.Sleep(time.Minute)
		must.Eq(t, "", run(bad, false))
		must.Eq(t, "", run(bad, false))
	})
}
