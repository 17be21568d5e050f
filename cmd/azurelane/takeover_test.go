package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The owner of a pool dies, or is frozen for ten seconds, while two other
// entries have streams running on its grants and tickets waiting in its queue.
// Within seconds the next owner schedules: running streams go on untouched, the
// waiting ones are asked for again. The frozen one then wakes up with grants of
// old in its hands, learns that it owns nothing and rests; its callers are served
// by way of the new owner. Whatever the moment, each caller gets a whole answer
// or a refusal that says that nothing ran.
func TestOwnerLost(t *testing.T) {
	for _, tc := range []struct {
		name string
		sig  syscall.Signal
	}{
		{"killed", syscall.SIGKILL},
		{"frozen", syscall.SIGSTOP},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, 3)
			for _, name := range []string{"engine-1", "engine-2"} {
				c.upstream(name, "demo", "demo")
			}
			s := newStreamer(c)
			lost := ownerOf("demo")
			rest := []int{(lost + 1) % 3, (lost + 2) % 3}
			for _, i := range rest {
				s.run(i, 12)
			}
			s.untilMore("load runs", 20, rest...)

			p := c.procs[lost].cmd.Process
			must.NoError(t, p.Signal(tc.sig))
			start := time.Now()
			time.Sleep(200 * time.Millisecond) // What was granted before has ended.
			s.untilMore("taken over", 12, rest...)
			t.Logf("taken over after %s", time.Since(start).Round(100*time.Millisecond))
			if tc.sig == syscall.SIGSTOP {
				time.Sleep(10*time.Second - time.Since(start))
				must.NoError(t, p.Signal(syscall.SIGCONT))
				c.until("serves again", func() bool { return s.one(http.DefaultClient, lost) == "whole" })
				s.untilMore("the others go on", 20, rest...)
			}
			s.end()
		})
	}
}
