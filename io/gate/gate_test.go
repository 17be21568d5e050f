package gate

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/conf"
)

func TestRefusals(t *testing.T) {
	u := newUpstream(t, respondText("ok"))
	s := newTestGate(t, u)
	for _, tc := range []struct {
		name, path, key string
		want            int
	}{
		{"no route", "/none/x", key, http.StatusNotFound},
		{"unknown key", "/once/x", "other", http.StatusUnauthorized},
		{"public", "/public/x", "other", http.StatusOK},
		{"allowed", "/once/x", key, http.StatusOK},
	} {
		must.Eq(t, tc.want, s.do("POST", tc.path, "Authorization", "Bearer "+tc.key).status, must.Sprint(tc.name))
	}
	must.Eq(t, 2, u.count())
	s.view.Index.Config().Limits = conf.Limits{HeaderBytes: 1000, BodyBytes: 3}
	must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, s.do("POST", "/once/x", "X-Large", strings.Repeat("x", 1000)).status)
	must.Eq(t, http.StatusRequestEntityTooLarge, s.do("POST", "/once/x").status)
	must.Eq(t, 2, u.count())
	s.view.Index = nil
	r := s.do("POST", "/once/x")
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.NotEq(t, "", r.header.Get("Retry-After"))
	must.False(t, s.Ready())
}

// The upstream receives method, path, query and body as the caller sent them and the account's
// name, but not the key. The caller receives the upstream's response.
func TestPassedOnUnchanged(t *testing.T) {
	u := newUpstream(t, respond(http.StatusCreated, "body", "X-Own: 1\r\n"))
	s := newTestGate(t, u)
	r := s.do("PUT", "/once/a%2Fb//c?x=%20&y")
	must.Eq(t, http.StatusCreated, r.status)
	must.Eq(t, "body", r.body)
	must.Eq(t, "1", r.header.Get("X-Own"))
	must.Eq(t, "m", r.header.Get(genuineHeader))
	got := u.requests[0]
	must.Eq(t, "PUT", got.Method)
	must.Eq(t, "/once/a%2Fb//c?x=%20&y", got.RequestURI)
	must.Eq(t, "h", got.Host)
	must.Eq(t, "text", u.bodies[0])
	must.Eq(t, "radio", got.Header.Get("X-Account"))
	must.Eq(t, "up-0", got.Header.Get("X-Instance"))
	must.Eq(t, "", got.Header.Get("Authorization"))
}

// The first upstream ends a request in every possible way. The second one receives the request only
// if the first states that nothing ran, or if the request may be repeated. Otherwise the caller
// learns that the request may have run.
func TestRetryAtSecondUpstream(t *testing.T) {
	closes := func(_ int, _ *http.Request, w io.Writer) bool {
		closeConn(w)
		return false
	}
	cut := func(_ int, r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "Content-Length: 100\r\n\r\nhalf"))
		closeConn(w)
		return false
	}
	foreign := func(_ int, _ *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n"+idHeader+": 77\r\n"+genuineHeader+": m\r\nContent-Length: 2\r\n\r\nno")
		return false
	}
	unmarked := func(_ int, r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n"+idHeader+": "+r.Header.Get(idHeader)+"\r\nContent-Length: 2\r\n\r\nno")
		return true
	}
	for _, tc := range []struct {
		name        string
		script      func(int, *http.Request, io.Writer) bool
		once, again int  // Status if the request may run once, and if it may be repeated.
		second      bool // The second upstream receives the request that may run once.
	}{
		{"says that it did not run", respond(http.StatusServiceUnavailable, "", "X-Not-Run: 1\r\n"), 200, 200, true},
		{"is another one", respond(http.StatusMisdirectedRequest, "", "X-Instance: other\r\n"), 200, 200, true},
		{"says that it is not meant and did not run", respond(http.StatusMisdirectedRequest, "", "X-Not-Run: 1\r\n"), 200, 200, true},
		{"says that it is not meant", respond(http.StatusMisdirectedRequest, "", ""), 502, 200, false},
		{"is the one meant and says that it is not", respond(http.StatusMisdirectedRequest, "", "X-Instance: up-0\r\n"), 502, 200, false},
		{"fails", respond(http.StatusInternalServerError, "bad", ""), 500, 200, false},
		{"may have run it and says that it is overloaded", respond(http.StatusServiceUnavailable, "", ""), 502, 200, false},
		{"may have run it and says that there are too many", respond(http.StatusTooManyRequests, "", ""), 502, 429, false},
		{"may have run it and says that it took too long", respond(http.StatusRequestTimeout, "", ""), 502, 408, false},
		{"says not found", respond(http.StatusNotFound, "", ""), 404, 404, false},
		{"closes", closes, 502, 200, false},
		{"cuts its answer", cut, 502, 200, false},
		{"answers another request", foreign, 502, 200, false},
		{"answers without its mark", unmarked, 502, 200, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, call := range []struct {
				path string
				want int
			}{{"/once/x", tc.once}, {"/again/x", tc.again}} {
				first, second := newUpstream(t, tc.script), newUpstream(t, respondText("ok"))
				r := newTestGate(t, first, second).do("POST", call.path, "X-Wait", "500ms")
				must.Eq(t, call.want, r.status)
				must.Eq(t, 1, first.count())
				if call.path == "/once/x" {
					must.Eq(t, tc.second, second.count() == 1)
				}
				if call.want == http.StatusInternalServerError {
					must.Eq(t, "bad", r.body)
					must.Eq(t, "m", r.header.Get(genuineHeader))
				}
			}
		})
	}
}

// Guards against an upstream that works on a request whose caller has gone away. The upstream must
// see its connection end soon.
func TestCallerLeaves(t *testing.T) {
	u := newUpstream(t, func(int, *http.Request, io.Writer) bool { return false })
	s := newTestGate(t, u)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for u.count() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.srv.URL+"/once/x", strings.NewReader("text"))
	must.NoError(t, err)
	r.Host = "h"
	r.Header.Set("Authorization", "Bearer "+key)
	_, err = http.DefaultClient.Do(r) //nolint:bodyclose // There is no body.
	must.ErrorIs(t, err, context.Canceled)
	select {
	case <-u.callerGone:
	case <-time.After(400 * time.Millisecond):
		t.Fatal("the upstream still works")
	}
}

// The upstream is silent. A request that may be repeated is sent to another upstream while there is
// time. A request that may not be repeated gets its final response at the deadline.
func TestSilentUpstream(t *testing.T) {
	mute := func(int, *http.Request, io.Writer) bool { return false }
	first, second := newUpstream(t, mute), newUpstream(t, respondText("ok"))
	must.Eq(t, http.StatusOK, newTestGate(t, first, second).do("POST", "/again/x", "X-Wait", "1s").status)
	u := newUpstream(t, mute)
	s := newTestGate(t, u)
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			start, id := time.Now(), strconv.Itoa(i)
			r := s.do("POST", "/once/x", "X-Wait", "300ms", idHeader, id)
			must.Between(t, 250*time.Millisecond, time.Since(start), 1500*time.Millisecond, must.Sprint("the caller's deadline, not the route's timeout of 2 s"))
			// On a busy machine the time may be over before the request is sent.
			if r.status == http.StatusServiceUnavailable {
				must.False(t, u.received(id), must.Sprint("the upstream must not have received the request"))
				return
			}
			must.Eq(t, http.StatusGatewayTimeout, r.status)
		})
	}
	wg.Wait()
}

// silentSender sends requests that never get a response.
type silentSender struct{}

func (silentSender) Send(ctx context.Context, _ *http.Request) (*http.Response, bool, error) {
	<-ctx.Done()
	return nil, true, ctx.Err()
}

// Guards against a wrong or late refusal when the wait for a silent upstream ends at the same
// moment as the request's time.
func TestSilentUpstreamAtTheDeadline(t *testing.T) {
	s := newTestGate(t, newUpstream(t, respondText("ok")))
	s.Sender = silentSender{}
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() {
				start := time.Now()
				r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/once/x", strings.NewReader("text"))
				r.Host = "h"
				r.Header.Set("Authorization", "Bearer "+key)
				r.Header.Set("X-Wait", "300ms")
				w := httptest.NewRecorder()
				s.ServeHTTP(w, r)
				must.Eq(t, http.StatusGatewayTimeout, w.Code)
				must.Eq(t, 300*time.Millisecond-answerMargin, time.Since(start))
			})
		}
		wg.Wait()
	})
}

// A draining entry still serves requests that can finish in time, and refuses requests that would
// be cut off. Every response asks the caller to close the connection.
func TestDraining(t *testing.T) {
	u := newUpstream(t, respondText("ok"))
	s := newTestGate(t, u)
	s.Drain(DrainSchedule{RefuseFrom: time.Now(), Deadline: time.Now().Add(time.Second)})
	must.False(t, s.Ready())
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x", "X-Wait", "200ms").status)
	must.Eq(t, http.StatusServiceUnavailable, s.do("POST", "/once/x", "X-Wait", "1500ms").status)
	must.Eq(t, 1, u.count())
}

// The whole deployment restarts and a caller connects before the entry has a configuration. The
// request waits for the configuration for a moment and is served. If none arrives, the caller is
// told right after that wait when to retry.
func TestWaitForFirstConfiguration(t *testing.T) {
	for _, tc := range []struct {
		name   string
		delay  time.Duration
		status int
	}{
		{"soon", 50 * time.Millisecond, http.StatusOK},
		{"not soon", time.Hour, http.StatusServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestGate(t, newUpstream(t, respondText("ok")))
			index := s.view.Index
			s.view.Index, s.configured = nil, make(chan struct{})
			timer := time.AfterFunc(tc.delay, func() {
				s.mu.Lock()
				s.view.Index = index
				s.mu.Unlock()
				close(s.configured)
			})
			defer timer.Stop()
			start := time.Now()
			r := s.do("POST", "/once/x")
			must.Eq(t, tc.status, r.status)
			must.Less(t, 2*configWait, time.Since(start))
			must.Eq(t, 0, s.waitingForConfig.Load())
		})
	}
}

// Guards against an answer that is ready and is not delivered because it is as long as the limit
// allows, and against one byte more.
func TestLongestBufferedAnswer(t *testing.T) {
	for _, test := range []struct {
		length, status int
	}{{maxBufferedAnswer, http.StatusOK}, {maxBufferedAnswer + 1, http.StatusBadGateway}} {
		body := strings.Repeat("x", test.length)
		r := newTestGate(t, newUpstream(t, respondText(body))).do("POST", "/once/x")
		must.Eq(t, test.status, r.status)
		must.Eq(t, test.status == http.StatusOK, r.body == body)
	}
}

// Guards against an upstream that ends the process, or the request, by stating a length that no
// memory holds.
func TestStatedLengthIsNotAllocated(t *testing.T) {
	u := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "Content-Length: 9000000000000000000\r\n\r\nshort"))
		closeConn(w)
		return false
	})
	must.Eq(t, http.StatusBadGateway, newTestGate(t, u).do("POST", "/once/x").status)
}

// The answer to a HEAD request states the length that the upstream states, although no body comes.
func TestHeadKeepsItsLength(t *testing.T) {
	u := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "Content-Length: 800\r\n\r\n"))
		return true
	})
	r := newTestGate(t, u).do("HEAD", "/again/x")
	must.Eq(t, http.StatusOK, r.status)
	must.Eq(t, "800", r.header.Get("Content-Length"))
}
