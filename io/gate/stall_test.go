package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const stallUpstreams = "GATE_STALL_UPSTREAMS"

type fixedListener struct {
	net.Listener
	addr net.Addr
}

func (l fixedListener) Addr() net.Addr { return l.addr }

// TestStallChild is the process that TestStallOfEntry stops for a while.
func TestStallChild(t *testing.T) {
	list := os.Getenv(stallUpstreams)
	if list == "" {
		t.Skip("runs in a process of its own")
	}
	var ups []*upstream
	for a := range strings.SplitSeq(list, ",") {
		addr, err := net.ResolveTCPAddr("tcp", a)
		must.NoError(t, err)
		ups = append(ups, &upstream{Listener: fixedListener{addr: addr}})
	}
	s := newTestGate(t, ups...)
	fmt.Println("serves", s.srv.URL)
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// Guards against upstreams whose bytes have arrived and that count as silent since the entry itself stood still.
func TestStallOfEntry(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		pause  time.Duration // Of the upstream, after 3 events.
		stopAt time.Duration
		stall  time.Duration
	}{
		{"before silence", 700 * time.Millisecond, 500 * time.Millisecond, 1000 * time.Millisecond},
		{"during the second send", 1120 * time.Millisecond, 1060 * time.Millisecond, 400 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var again atomic.Int64
			script := func(n int, r *http.Request, w io.Writer) bool {
				if r.Header.Get("X-Last") != "" {
					again.Add(1)
					return false // It never answers a second send.
				}
				return pausedStream(tc.pause)(n, r, w)
			}
			first, other := newUpstream(t, script), newUpstream(t, script)
			child := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestStallChild$") //nolint:gosec // Itself.
			child.Env = append(os.Environ(), stallUpstreams+"="+first.Addr().String()+","+other.Addr().String())
			in, err := child.StdinPipe()
			must.NoError(t, err)
			out, err := child.StdoutPipe()
			must.NoError(t, err)
			must.NoError(t, child.Start())
			defer func() { _ = in.Close(); _ = child.Process.Kill(); _ = child.Wait() }()
			line, err := bufio.NewReader(out).ReadString('\n')
			must.NoError(t, err)
			url := strings.TrimSpace(strings.TrimPrefix(line, "serves "))
			var wg sync.WaitGroup
			var whole, cut atomic.Int64
			const streams = 20
			for n := range streams {
				wg.Go(func() {
					r, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/resume/x", strings.NewReader("text"))
					r.Host = "h"
					r.Header.Set("Authorization", "Bearer "+key)
					r.Header.Set(idHeader, strconv.Itoa(n))
					resp, err := http.DefaultClient.Do(r)
					if err != nil {
						cut.Add(1)
						return
					}
					defer func() { _ = resp.Body.Close() }()
					data, err := io.ReadAll(resp.Body)
					if err == nil && string(data) == eventsUpTo(6) {
						whole.Add(1)
					} else {
						cut.Add(1)
					}
				})
			}
			time.Sleep(tc.stopAt)
			must.NoError(t, child.Process.Signal(syscall.SIGSTOP))
			time.Sleep(tc.stall)
			must.NoError(t, child.Process.Signal(syscall.SIGCONT))
			wg.Wait()
			t.Logf("whole %d, cut %d; %d second sends", whole.Load(), cut.Load(), again.Load())
			must.Eq(t, streams, whole.Load())
			must.Zero(t, cut.Load())
		})
	}
}
