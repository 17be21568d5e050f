package gate

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"

	"azurelane/core/index"
	"azurelane/core/refuse"
	"azurelane/core/route"
	"azurelane/core/wire"
)

// pausedStream sends three events, is silent for a while and sends the others. A stream that goes on is sent
// at once.
func pausedStream(pause time.Duration) func(int, *http.Request, io.Writer) bool {
	return func(_ int, r *http.Request, w io.Writer) bool {
		if last, err := strconv.Atoi(r.Header.Get("X-Last")); err == nil {
			writeEvents(r, w, last+1, 6, true)
			return true
		}
		writeEvents(r, w, 1, 3, false)
		time.Sleep(pause)
		for i := 4; i <= 6; i++ {
			writeChunk(w, fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}
}

// pausedText is silent for a while and responds.
func pausedText(pause time.Duration) func(int, *http.Request, io.Writer) bool {
	return func(n int, r *http.Request, w io.Writer) bool {
		time.Sleep(pause)
		return respondText("ok")(n, r, w)
	}
}

// Guards against requests that are cut or given up because their upstream is silent for a second and no
// other one goes on (LOST).
func TestSilentUpstreamIsKept(t *testing.T) {
	t.Parallel()
	const pause = 1300 * time.Millisecond
	busy := respond(http.StatusServiceUnavailable, "", "X-Not-Run: 1\r\n")
	for _, tc := range []struct {
		name    string
		other   func(int, *http.Request, io.Writer) bool // Nil for no other upstream.
		prepare func(s *testGate)
	}{
		{"there is no other", nil, func(*testGate) {}},
		{"the other has no room", busy, func(*testGate) {}},
		{"the other closes the connection", func(_ int, _ *http.Request, w io.Writer) bool { closeConn(w); return false }, func(*testGate) {}},
		{"no retry is left", busy, func(s *testGate) {
			s.do("POST", "/once/x") // Creates the budget.
			for s.takeRetry("p") {
				continue
			}
		}},
		{"the scheduler has no other", nil, func(s *testGate) {
			up := s.view.Upstreams["p"][0]
			tickets := uint64(0)
			s.withScheduler(func(t *wire.Ticket) (*wire.Grant, error) {
				if len(t.GetAvoid()) > 0 {
					return nil, refuse.New(refuse.Overloaded, "", time.Second)
				}
				tickets++
				return &wire.Grant{Slot: tickets, Owner: "owner", Upstream: up.GetId(), Address: up.GetAddress()}, nil
			})
		}},
	} {
		for _, route := range []string{"resume", "again"} {
			t.Run(tc.name+", "+route, func(t *testing.T) {
				t.Parallel()
				script, want := pausedStream(pause), eventsUpTo(6)
				if route == "again" {
					script, want = pausedText(pause), "ok"
				}
				ups := []*upstream{newUpstream(t, func(n int, r *http.Request, w io.Writer) bool {
					if r.URL.Path == "/once/x" {
						return respondText("ok")(n, r, w)
					}
					return script(n, r, w)
				})}
				if tc.other != nil {
					ups = append(ups, newUpstream(t, tc.other))
				}
				s := newTestGate(t, ups...)
				tc.prepare(s)
				r := s.do("POST", "/"+route+"/x")
				must.NoError(t, r.err)
				must.Eq(t, http.StatusOK, r.status)
				must.Eq(t, want, r.body)
			})
		}
	}
}

// Guards against a silent upstream that keeps a request for good, and against two upstreams that both work
// on it: the other one takes it over, and the silent one loses its connection within 400 ms.
func TestOtherUpstreamTakesOver(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		begins time.Duration // After the request came to the other upstream.
	}{
		{"that answers at once", 0},
		{"that takes a while", 500 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			silent := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
				writeEvents(r, w, 1, 3, false)
				return false
			})
			arrived, gone := make(chan time.Time, 1), make(chan time.Time, 1)
			go func() {
				<-silent.callerGone
				gone <- time.Now()
			}()
			other := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
				arrived <- time.Now()
				time.Sleep(tc.begins)
				writeEvents(r, w, 4, 6, true)
				return true
			})
			r := newTestGate(t, silent, other).do("POST", "/resume/x")
			must.NoError(t, r.err)
			must.Eq(t, eventsUpTo(6), r.body)
			must.Eq(t, 1, other.count())
			must.Less(t, 400*time.Millisecond, (<-gone).Sub(<-arrived), must.Sprint("the silent upstream still works on the request"))
		})
	}
}

// Guards against an upstream that goes on while another one has the request, too: the caller gets each
// event once, and the other one loses its connection.
func TestUpstreamGoesOnDuringHedge(t *testing.T) {
	t.Parallel()
	first := newUpstream(t, pausedStream(minEventWait+150*time.Millisecond))
	other := newUpstream(t, func(int, *http.Request, io.Writer) bool { return false })
	r := newTestGate(t, first, other).do("POST", "/resume/x")
	must.NoError(t, r.err)
	must.Eq(t, eventsUpTo(6), r.body)
	must.Eq(t, 1, other.count())
	select {
	case <-other.callerGone:
	case <-time.After(400 * time.Millisecond):
		t.Fatal("the other upstream still works on the request")
	}
}

// abruptly closes the upstream's connection.
func abruptly(w io.Writer) bool { closeConn(w); return false }

// Guards against a send to another upstream that is ended because the silent one has sent something which
// is no answer.
func TestHedgeOutlivesWhatIsNoAnswer(t *testing.T) {
	t.Parallel()
	const pause = 1100 * time.Millisecond
	for _, tc := range []struct {
		name, route string
		first       func(int, *http.Request, io.Writer) bool // After its silence.
	}{
		{"not run", "again", respond(http.StatusServiceUnavailable, "", "X-Not-Run: 1\r\n")},
		{"another upstream", "again", respond(http.StatusMisdirectedRequest, "", "")},
		{"error", "again", respond(http.StatusInternalServerError, "", "")},
		{"connection closed", "again", func(_ int, _ *http.Request, w io.Writer) bool { return abruptly(w) }},
		{"body breaks off", "again", func(_ int, r *http.Request, w io.Writer) bool {
			_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "Content-Length: 4\r\n\r\no"))
			return abruptly(w)
		}},
		{"part of an event", "resume", func(_ int, _ *http.Request, w io.Writer) bool {
			writeChunk(w, "id: 4\nda")
			return abruptly(w)
		}},
		{"stream closed", "resume", func(_ int, _ *http.Request, w io.Writer) bool { return abruptly(w) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			want := "ok"
			first := newUpstream(t, func(n int, r *http.Request, w io.Writer) bool {
				if tc.route == "resume" {
					writeEvents(r, w, 1, 3, false)
				}
				time.Sleep(pause)
				return tc.first(n, r, w)
			})
			other := newUpstream(t, func(n int, r *http.Request, w io.Writer) bool {
				if tc.route == "resume" {
					time.Sleep(250 * time.Millisecond)
					writeEvents(r, w, 4, 6, true)
					return true
				}
				time.Sleep(400 * time.Millisecond)
				return respondText("ok")(n, r, w)
			})
			if tc.route == "resume" {
				want = eventsUpTo(6)
			}
			r := newTestGate(t, first, other).do("POST", "/"+tc.route+"/x")
			must.Eq(t, 1, other.count())
			must.NoError(t, r.err)
			must.Eq(t, want, r.body)
			must.Eq(t, http.StatusOK, r.status)
		})
	}
}

// Guards against a silent upstream that is given up for one that fails later.
func TestSilentUpstreamOutlivesLateFailure(t *testing.T) {
	t.Parallel()
	busy := respond(http.StatusServiceUnavailable, "", "X-Not-Run: 1\r\n")
	for _, tc := range []struct {
		name, route string
		other       func(int, *http.Request, io.Writer) bool
	}{
		{"busy after 350 ms", "resume", func(n int, r *http.Request, w io.Writer) bool {
			time.Sleep(350 * time.Millisecond)
			return busy(n, r, w)
		}},
		{"closed after 350 ms", "resume", func(_ int, _ *http.Request, w io.Writer) bool {
			time.Sleep(350 * time.Millisecond)
			return abruptly(w)
		}},
		{"closed after the header", "resume", func(_ int, r *http.Request, w io.Writer) bool {
			writeEvents(r, w, 1, 0, false)
			return abruptly(w)
		}},
		{"closed in the body", "again", func(_ int, r *http.Request, w io.Writer) bool {
			_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "Content-Length: 4\r\n\r\no"))
			time.Sleep(10 * time.Millisecond)
			return abruptly(w)
		}},
		{"404 to a resumed stream", "resume", respond(http.StatusNotFound, "nothing", "")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			script, want := pausedStream(1600*time.Millisecond), eventsUpTo(6)
			if tc.route == "again" {
				script, want = pausedText(1300*time.Millisecond), "ok"
			}
			r := newTestGate(t, newUpstream(t, script), newUpstream(t, tc.other)).do("POST", "/"+tc.route+"/x")
			must.NoError(t, r.err)
			must.Eq(t, want, r.body)
			must.Eq(t, http.StatusOK, r.status)
		})
	}
}

// Guards against a stream that waits at the scheduler until its time is over, for an upstream that is not the
// one which was only silent, after the other one has failed.
func TestRequestGoesBackToSilentUpstream(t *testing.T) {
	t.Parallel()
	for _, attempts := range []int{2, 3} {
		t.Run(strconv.Itoa(attempts), func(t *testing.T) {
			t.Parallel()
			first := newUpstream(t, pausedStream(1600*time.Millisecond))
			other := newUpstream(t, func(n int, r *http.Request, w io.Writer) bool {
				time.Sleep(350 * time.Millisecond)
				return respond(http.StatusInternalServerError, "", "")(n, r, w)
			})
			s := newTestGate(t, first, other)
			s.withAttempts("resume", attempts)
			list, n := s.view.Upstreams["p"], uint64(0)
			s.withScheduler(func(k *wire.Ticket) (*wire.Grant, error) {
				n++
				for _, u := range list {
					if !slices.Contains(k.GetAvoid(), u.GetId()) {
						return &wire.Grant{Slot: n, Owner: "owner", Upstream: u.GetId(), Address: u.GetAddress()}, nil
					}
				}
				<-t.Context().Done() // It waits for another upstream.
				return nil, context.Canceled
			})
			r := s.do("POST", "/resume/x")
			must.NoError(t, r.err)
			must.Eq(t, eventsUpTo(6), r.body)
		})
	}
}

// Guards against blame of an upstream whose send ended since the caller had left.
func TestLostHedgeIsNotBlamed(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	const calls = 20
	blamed, sent := 0, 0
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			hold := func(int, *http.Request, io.Writer) bool { return false }
			first, other := newUpstream(t, hold), newUpstream(t, hold)
			s := newTestGate(t, first, other)
			ups := s.view.Upstreams["p"]
			n := uint64(0)
			g := s.withScheduler(func(k *wire.Ticket) (*wire.Grant, error) {
				u := ups[min(len(k.GetAvoid()), 1)]
				n++
				return &wire.Grant{Slot: n, Owner: "owner", Upstream: u.GetId(), Address: u.GetAddress()}, nil
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			wg.Go(func() { // The caller leaves once both upstreams have its request.
				for other.count() == 0 && ctx.Err() == nil {
					time.Sleep(5 * time.Millisecond)
				}
				time.Sleep(200 * time.Millisecond)
				cancel()
			})
			r, _ := http.NewRequestWithContext(ctx, http.MethodPost, s.srv.URL+"/again/x", strings.NewReader("text"))
			r.Host = "h"
			r.Header.Set("Authorization", "Bearer "+key)
			r.Header.Set(idHeader, "1")
			if resp, err := http.DefaultClient.Do(r); err == nil {
				_ = resp.Body.Close()
			}
			time.Sleep(300 * time.Millisecond)
			g.mu.Lock()
			defer g.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			sent += min(other.count(), 1)
			for _, rel := range g.released {
				if rel.GetFailed() {
					blamed++
				}
			}
		})
	}
	wg.Wait()
	must.Eq(t, calls, sent)
	must.Zero(t, blamed, must.Sprint("sends that ended as their caller left are blamed on the upstream"))
}

// Guards against an answer that arrives steadily and is given up for one that has only begun.
func TestSteadyBodyIsNotSilent(t *testing.T) {
	t.Parallel()
	const pieces = 14
	script := func(_ int, r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, responseHead(r, http.StatusOK, fmt.Sprintf("Content-Length: %d\r\n\r\n", pieces)))
		for range pieces {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(w, "x")
		}
		return true
	}
	first, other := newUpstream(t, script), newUpstream(t, script)
	r := newTestGate(t, first, other).do("POST", "/again/x")
	must.NoError(t, r.err)
	must.Eq(t, strings.Repeat("x", pieces), r.body)
	must.Eq(t, 1, first.count()+other.count())
}

// Guards against a stream that is cut when its upstream fails after a silence during which another one had
// the request, too.
func TestLostHedgeMayGoOnLater(t *testing.T) {
	t.Parallel()
	first := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		writeEvents(r, w, 1, 3, false)
		time.Sleep(1100 * time.Millisecond)
		writeChunk(w, "id: 4\ndata: 4\n\n")
		time.Sleep(100 * time.Millisecond)
		return abruptly(w)
	})
	other := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		time.Sleep(250 * time.Millisecond)
		var last int
		_, _ = fmt.Sscan(r.Header.Get("X-Last"), &last)
		writeEvents(r, w, last+1, 6, true)
		return true
	})
	r := newTestGate(t, first, other).do("POST", "/resume/x")
	must.NoError(t, r.err)
	must.Eq(t, eventsUpTo(6), r.body)
}

// Guards against a second send without a retry in the budget.
func TestHedgeTakesRetry(t *testing.T) {
	t.Parallel()
	var again atomic.Int64
	script := func(n int, r *http.Request, w io.Writer) bool {
		switch {
		case r.URL.Path == "/once/x":
			return respondText("ok")(n, r, w)
		case r.Header.Get("X-Last") != "":
			again.Add(1)
			return respond(http.StatusServiceUnavailable, "", "X-Not-Run: 1\r\n")(n, r, w)
		}
		return pausedStream(1300*time.Millisecond)(n, r, w)
	}
	s := newTestGate(t, newUpstream(t, script), newUpstream(t, script))
	s.do("POST", "/once/x")
	for s.takeRetry("p") {
		continue
	}
	r := s.do("POST", "/resume/x")
	must.NoError(t, r.err)
	must.Eq(t, eventsUpTo(6), r.body)
	must.Zero(t, again.Load(), must.Sprint("sent again without a retry"))
}

// Plays many requests at upstreams with random silences, failures and callers that leave.
func TestHedgeStress(t *testing.T) {
	t.Parallel()
	script := func(n int, r *http.Request, w io.Writer) bool {
		rnd := rand.New(rand.NewPCG(uint64(n), uint64(len(r.Header.Get(idHeader))))) //nolint:gosec // A test.
		last := 0
		_, _ = fmt.Sscan(r.Header.Get("X-Last"), &last)
		pause := func(p int) { time.Sleep(time.Duration(rnd.IntN(p)) * time.Millisecond) }
		if rnd.IntN(8) == 0 {
			pause(400)
			return respond(http.StatusServiceUnavailable, "", "X-Not-Run: 1\r\n")(n, r, w)
		}
		_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "Transfer-Encoding: chunked\r\n\r\n"))
		for i := last + 1; i <= 6; i++ {
			switch rnd.IntN(8) {
			case 0:
				time.Sleep(time.Duration(950+rnd.IntN(450)) * time.Millisecond)
			case 1:
				if rnd.IntN(4) == 0 {
					return abruptly(w)
				}
			}
			pause(20)
			writeChunk(w, fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}
	var ups []*upstream
	for range 4 {
		ups = append(ups, newUpstream(t, script))
	}
	s := newTestGate(t, ups...)
	list := s.view.Upstreams["p"]
	var grants, tickets atomic.Int64
	g := s.withScheduler(func(k *wire.Ticket) (*wire.Grant, error) {
		n := tickets.Add(1)
		for i := range list {
			u := list[(int(n)+i)%len(list)]
			if !slices.Contains(k.GetAvoid(), u.GetId()) {
				grants.Add(1)
				return &wire.Grant{Slot: uint64(n), Owner: "owner", Upstream: u.GetId(), Address: u.GetAddress()}, nil
			}
		}
		return nil, context.DeadlineExceeded
	})
	var wg sync.WaitGroup
	var whole, cut, bad atomic.Int64
	for n := range 600 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(300+n*5)*time.Millisecond)
			defer cancel()
			r, _ := http.NewRequestWithContext(ctx, http.MethodPost, s.srv.URL+"/resume/x", strings.NewReader("text"))
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
			switch {
			case resp.StatusCode == http.StatusOK && !strings.HasPrefix(eventsUpTo(6), string(data)):
				bad.Add(1)
				t.Errorf("wrong: %q", data)
			case err != nil, resp.StatusCode != http.StatusOK:
				cut.Add(1)
			case string(data) != eventsUpTo(6):
				bad.Add(1)
				t.Errorf("ended early: %q", data)
			default:
				whole.Add(1)
			}
		})
	}
	wg.Wait()
	time.Sleep(600 * time.Millisecond)
	g.mu.Lock()
	defer g.mu.Unlock()
	slots := map[uint64]int{}
	for _, rel := range g.released {
		slots[rel.GetSlot()]++
	}
	t.Logf("whole %d, cut %d, wrong %d; %d grants, %d releases of %d slots", whole.Load(), cut.Load(), bad.Load(), grants.Load(), len(g.released), len(slots))
	must.Eq(t, int(grants.Load()), len(g.released))
	must.Eq(t, len(slots), len(g.released))
}

// Guards against streams of routes with two attempts that are cut because both upstreams are silent in turn.
func TestBothUpstreamsAreSilent(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		late time.Duration // The other one's silence, before its header.
	}{
		{"for a moment", 200 * time.Millisecond},
		{"as long as the first", 600 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			first := newUpstream(t, pausedStream(1600*time.Millisecond))
			other := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
				time.Sleep(tc.late)
				writeEvents(r, w, 4, 6, true)
				return true
			})
			s := newTestGate(t, first, other)
			s.withAttempts("resume", 2)
			r := s.do("POST", "/resume/x")
			must.NoError(t, r.err)
			must.Eq(t, eventsUpTo(6), r.body)
		})
	}
}

func (s *testGate) withAttempts(name string, n int) {
	cfg := *s.view.Index.Config()
	cfg.Routes = append([]route.Route(nil), cfg.Routes...)
	for i := range cfg.Routes {
		if cfg.Routes[i].Name == name {
			cfg.Routes[i].Upstreams = n
		}
	}
	s.view.Index = index.New(&cfg)
}

// Guards against an upstream that counts as silent at the moment of its header, since that came late.
func TestLateHeaderIsASignOfLife(t *testing.T) {
	var sends atomic.Int64
	script := func(n int, r *http.Request, w io.Writer) bool {
		if sends.Add(1) > 1 && n >= 0 {
			return false // It never answers.
		}
		time.Sleep(1050 * time.Millisecond)
		_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "Transfer-Encoding: chunked\r\n\r\n"))
		time.Sleep(400 * time.Millisecond)
		for i := 1; i <= 6; i++ {
			writeChunk(w, fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}
	s := newTestGate(t, newUpstream(t, script), newUpstream(t, script), newUpstream(t, script))
	s.Log = funcr.New(func(_, line string) { t.Log(time.Now().Format("05.000"), line) }, funcr.Options{})
	r := s.do("POST", "/resume/x")
	must.NoError(t, r.err)
	must.Eq(t, eventsUpTo(6), r.body, must.Sprint("sends: ", sends.Load()))
}

// Guards against HEAD requests that lose their answer with a second send.
func TestHedgeOfHead(t *testing.T) {
	t.Parallel()
	script := func(_ int, r *http.Request, w io.Writer) bool {
		time.Sleep(1100 * time.Millisecond)
		_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "Content-Length: 7\r\n\r\n"))
		return true
	}
	s := newTestGate(t, newUpstream(t, script), newUpstream(t, script))
	r := s.do("HEAD", "/again/x")
	must.NoError(t, r.err)
	must.Eq(t, http.StatusOK, r.status)
	must.Eq(t, "7", r.header.Get("Content-Length"))
}
