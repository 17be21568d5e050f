package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/owner"
)

// newStreamer waits until streams run at each entry.
func newStreamer(c *cluster) *streamer {
	s := &streamer{c: c, stop: make(chan struct{}), seen: map[string]int{}}
	for i := range c.entries {
		c.until("first stream", func() bool { return s.one(http.DefaultClient, i) == "whole" })
	}
	return s
}

// whole counts the whole answers of an entry.
func (s *streamer) whole(entry int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[fmt.Sprintf("entry-%d whole", entry+1)]
}

// untilMore waits until each of the entries has given more whole answers.
func (s *streamer) untilMore(what string, more int, entries ...int) {
	s.c.t.Helper()
	var want []int
	for _, e := range entries {
		want = append(want, s.whole(e)+more)
	}
	s.c.until(what, func() bool {
		for i, e := range entries {
			if s.whole(e) <= want[i] {
				return false
			}
		}
		return true
	})
}

// end stops the load and checks that no caller saw a cut stream.
func (s *streamer) end() {
	s.c.t.Helper()
	close(s.stop)
	s.wg.Wait()
	s.c.t.Log(s.seen)
	must.SliceEmpty(s.c.t, s.bad)
}

// ownerOf returns which of three entries schedules a pool while all live.
func ownerOf(pool string) int {
	name := owner.Pick(pool, []string{"entry-1", "entry-2", "entry-3"})
	return int(name[len(name)-1] - '1')
}

// streamer sends streams to an entry until it is told to stop, one after the
// other on each of its callers.
type streamer struct {
	c    *cluster
	stop chan struct{}
	wg   sync.WaitGroup

	mu   sync.Mutex
	seen map[string]int
	bad  []string
}

func (s *streamer) run(entry, callers int) {
	for range callers {
		s.wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for {
				select {
				case <-s.stop:
					return
				default:
					s.note(entry, s.one(client, entry))
				}
			}
		})
	}
}

func (s *streamer) note(entry int, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[fmt.Sprintf("entry-%d %s", entry+1, outcome)]++
	switch outcome {
	case "whole", "not-run", "not connected":
	default:
		s.bad = append(s.bad, fmt.Sprintf("entry-%d %s", entry+1, outcome))
	}
	if outcome != "whole" {
		time.Sleep(10 * time.Millisecond) // Retry-After says more, but the test is short.
	}
}

// one asks for a stream of 60 tokens and says how it ended.
func (s *streamer) one(client *http.Client, entry int) string {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r, err := request(ctx, s.c.entries[entry].Callers, chatPath, "", `{"model":"demo","stream":true,"max_tokens":60,"messages":[{"role":"user","content":"Hello"}]}`)
	if err != nil {
		return err.Error()
	}
	resp, err := client.Do(r)
	if err != nil {
		if strings.Contains(err.Error(), "connection refused") {
			return "not connected" // The entry is gone; the balancer's part.
		}
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "cut: " + err.Error()
	}
	if resp.StatusCode != http.StatusOK {
		return resp.Header.Get("Azurelane-Outcome")
	}
	if !strings.Contains(string(body), "t59 ") || !strings.Contains(string(body), "data: [DONE]") {
		return "fragment"
	}
	return resp.Trailer.Get("Azurelane-Outcome")
}

// Streams run at three entries when the owner of their pool is told to stop,
// and later one of the two upstreams. Tickets that wait at the owner come back
// to their entries and go to the next owner, what it holds is taken over, its
// own streams finish. No caller sees a cut stream: each has the whole answer or
// a refusal that says that nothing ran, and the processes end by themselves.
func TestDrainUnderLoad(t *testing.T) {
	c := newCluster(t, 3)
	leaving := c.upstream("engine-1", "demo", "demo", "--step", "2ms", "--slots", "6")
	c.upstream("engine-2", "demo", "demo", "--step", "2ms", "--slots", "6")
	s := newStreamer(c)
	for i := range c.entries {
		s.run(i, 6)
	}
	s.untilMore("load runs", 10, 0, 1, 2)

	gone := ownerOf("demo")
	must.NoError(t, c.procs[gone].cmd.Process.Signal(syscall.SIGTERM))
	must.NoError(t, c.procs[gone].cmd.Wait())
	rest := (gone + 1) % 3
	s.untilMore("the others go on", 20, rest)

	must.NoError(t, leaving.cmd.Process.Signal(syscall.SIGTERM))
	must.NoError(t, leaving.cmd.Wait())
	s.untilMore("one upstream goes on", 20, rest)
	s.end()
	must.Zero(t, s.seen[fmt.Sprintf("entry-%d not connected", rest+1)])
}

// A stream of minutes runs when the entry is told to stop, so it waits. A second
// signal ends it at once all the same.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	c.upstream("engine-1", "demo", "demo")
	newStreamer(c)
	r, err := request(t.Context(), c.entries[0].Callers, chatPath, "", `{"model":"demo","stream":true,"max_tokens":1000000,"messages":[]}`)
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	must.Eq(t, http.StatusOK, resp.StatusCode)
	p := c.procs[0].cmd
	must.NoError(t, p.Process.Signal(syscall.SIGTERM))
	c.until("not ready", func() bool {
		return status(t, "http://"+c.entries[0].Operator.String()+"/ready") == http.StatusServiceUnavailable
	})
	buf := make([]byte, 1)
	_, err = resp.Body.Read(buf)
	must.NoError(t, err) // It still serves.
	must.NoError(t, p.Process.Signal(os.Interrupt))
	must.Error(t, p.Wait())
}
