package main

import (
	"fmt"
	"maps"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/owner"
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
			s := &streamer{c: c, stop: make(chan struct{}), seen: map[string]int{}}
			for i := range c.entries {
				c.until("first stream", func() bool { return s.one(http.DefaultClient, i) == "whole" })
			}
			first := owner.Pick("demo", []string{"entry-1", "entry-2", "entry-3"})
			lost := int(first[len(first)-1] - '1')
			rest := []int{(lost + 1) % 3, (lost + 2) % 3}
			for _, i := range rest {
				s.run(i, 12)
			}
			whole := func(entry int) int {
				s.mu.Lock()
				defer s.mu.Unlock()
				return s.seen[fmt.Sprintf("entry-%d whole", entry+1)]
			}
			c.until("load runs", func() bool { return whole(rest[0]) > 20 && whole(rest[1]) > 20 })

			p := c.procs[first].Process
			must.NoError(t, p.Signal(tc.sig))
			start := time.Now()
			time.Sleep(200 * time.Millisecond) // What was granted before has ended.
			a, b := whole(rest[0]), whole(rest[1])
			c.until("taken over", func() bool { return whole(rest[0]) > a+12 && whole(rest[1]) > b+12 })
			t.Logf("taken over after %s", time.Since(start).Round(100*time.Millisecond))
			if tc.sig == syscall.SIGSTOP {
				time.Sleep(10*time.Second - time.Since(start))
				must.NoError(t, p.Signal(syscall.SIGCONT))
				c.until("serves again", func() bool { return s.one(http.DefaultClient, lost) == "whole" })
				a, b = whole(rest[0]), whole(rest[1])
				c.until("the others go on", func() bool { return whole(rest[0]) > a+20 && whole(rest[1]) > b+20 })
			}
			close(s.stop)
			s.wg.Wait()
			t.Log(maps.Clone(s.seen))
			must.SliceEmpty(t, s.bad)
		})
	}
}
