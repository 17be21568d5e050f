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

func TestRefusedHere(t *testing.T) {
	u := newUpstream(t, text("ok"))
	s := newSite(t, u)
	for _, tc := range []struct {
		name, path, key string
		want            int
	}{
		{"no route", "/none/x", key, http.StatusNotFound},
		{"unknown key", "/once/x", "other", http.StatusUnauthorized},
		{"public", "/public/x", "other", http.StatusOK},
		{"allowed", "/once/x", key, http.StatusOK},
	} {
		must.Eq(t, tc.want, s.ask("POST", tc.path, "Authorization", "Bearer "+tc.key).status, must.Sprint(tc.name))
	}
	must.Eq(t, 2, u.count())
	s.view.Index.Config().Limits = conf.Limits{HeaderBytes: 1000, BodyBytes: 3}
	must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, s.ask("POST", "/once/x", "X-Large", strings.Repeat("x", 1000)).status)
	must.Eq(t, http.StatusRequestEntityTooLarge, s.ask("POST", "/once/x").status)
	must.Eq(t, 2, u.count())
	s.view.Index = nil
	r := s.ask("POST", "/once/x")
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.NotEq(t, "", r.header.Get("Retry-After"))
	must.False(t, s.Ready())
}

// The upstream gets method, path, query and body as the caller sent them, the
// account's name, and not the key; the caller gets the upstream's answer.
func TestPassedOnUnchanged(t *testing.T) {
	u := newUpstream(t, answer(http.StatusCreated, "body", "X-Own: 1\r\n"))
	s := newSite(t, u)
	r := s.ask("PUT", "/once/a%2Fb//c?x=%20&y")
	must.Eq(t, http.StatusCreated, r.status)
	must.Eq(t, "body", r.body)
	must.Eq(t, "1", r.header.Get("X-Own"))
	must.Eq(t, "m", r.header.Get(markHeader))
	got := u.seen[0]
	must.Eq(t, "PUT", got.Method)
	must.Eq(t, "/once/a%2Fb//c?x=%20&y", got.RequestURI)
	must.Eq(t, "h", got.Host)
	must.Eq(t, "text", u.body[0])
	must.Eq(t, "radio", got.Header.Get("X-Account"))
	must.Eq(t, "up-0", got.Header.Get("X-Instance"))
	must.Eq(t, "", got.Header.Get("Authorization"))
}

// The first upstream ends a request in every way that there is. Only when it
// says that nothing ran, or when the request may be repeated, does the second
// one get it; else the caller learns that it may have run.
func TestSecondUpstream(t *testing.T) {
	closes := func(_ int, _ *http.Request, w io.Writer) bool {
		closeConn(w)
		return false
	}
	cut := func(_ int, r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, head(r, http.StatusOK, "Content-Length: 100\r\n\r\nhalf"))
		closeConn(w)
		return false
	}
	foreign := func(_ int, _ *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n"+idHeader+": 77\r\n"+markHeader+": m\r\nContent-Length: 2\r\n\r\nno")
		return false
	}
	unmarked := func(_ int, r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n"+idHeader+": "+r.Header.Get(idHeader)+"\r\nContent-Length: 2\r\n\r\nno")
		return true
	}
	for _, tc := range []struct {
		name        string
		script      func(int, *http.Request, io.Writer) bool
		once, again int  // Status on a route that may run once, and on one that may be repeated.
		second      bool // The second upstream gets the request that may run once.
	}{
		{"says that it did not run", answer(http.StatusServiceUnavailable, "", "X-Not-Run: 1\r\n"), 200, 200, true},
		{"is another one", answer(http.StatusMisdirectedRequest, "", ""), 200, 200, true},
		{"fails", answer(http.StatusInternalServerError, "bad", ""), 500, 200, false},
		{"says not found", answer(http.StatusNotFound, "", ""), 404, 404, false},
		{"closes", closes, 502, 200, false},
		{"cuts its answer", cut, 502, 200, false},
		{"answers another request", foreign, 502, 200, false},
		{"answers without its mark", unmarked, 502, 200, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, way := range []struct {
				path string
				want int
			}{{"/once/x", tc.once}, {"/again/x", tc.again}} {
				first, second := newUpstream(t, tc.script), newUpstream(t, text("ok"))
				r := newSite(t, first, second).ask("POST", way.path, "X-Wait", "500ms")
				must.Eq(t, way.want, r.status)
				must.Eq(t, 1, first.count())
				if way.path == "/once/x" {
					must.Eq(t, tc.second, second.count() == 1)
				}
				if way.want == http.StatusInternalServerError {
					must.Eq(t, "bad", r.body)
					must.Eq(t, "m", r.header.Get(markHeader))
				}
			}
		})
	}
}

// The caller goes away while its request runs. The upstream must see its
// connection end soon, or it works on for nobody.
func TestCallerLeaves(t *testing.T) {
	u := newUpstream(t, func(int, *http.Request, io.Writer) bool { return false })
	s := newSite(t, u)
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
	_, err = http.DefaultClient.Do(r) //nolint:bodyclose // There is none.
	must.ErrorIs(t, err, context.Canceled)
	select {
	case <-u.gone:
	case <-time.After(400 * time.Millisecond):
		t.Fatal("the upstream still works")
	}
}

// An upstream is silent. A request that may be repeated goes on at another one
// while there is time; one that may not gets its final answer at the deadline.
func TestSilentUpstream(t *testing.T) {
	mute := func(int, *http.Request, io.Writer) bool { return false }
	first, second := newUpstream(t, mute), newUpstream(t, text("ok"))
	must.Eq(t, http.StatusOK, newSite(t, first, second).ask("POST", "/again/x", "X-Wait", "1s").status)
	u := newUpstream(t, mute)
	s := newSite(t, u)
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			start, id := time.Now(), strconv.Itoa(i)
			r := s.ask("POST", "/once/x", "X-Wait", "300ms", idHeader, id)
			must.Between(t, 250*time.Millisecond, time.Since(start), 1500*time.Millisecond, must.Sprint("not the route's time of 2 s"))
			if r.status == http.StatusServiceUnavailable { // On a busy machine the time may be over before it is sent.
				must.False(t, u.got(id), must.Sprint("a request that has not run"))
				return
			}
			must.Eq(t, http.StatusGatewayTimeout, r.status)
		})
	}
	wg.Wait()
}

// silence is a sender whose requests leave and are never answered.
type silence struct{}

func (silence) Send(ctx context.Context, _ *http.Request) (*http.Response, bool, error) {
	<-ctx.Done()
	return nil, true, ctx.Err()
}

// Guards against requests that hear another reason, or hear it late, because the wait for
// the upstream ends in the same moment as their time.
func TestSilentUpstreamAtTheDeadline(t *testing.T) {
	s := newSite(t, newUpstream(t, text("ok")))
	s.Sender = silence{}
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

// An entry that stops still serves what may end in time, and refuses a request
// that would be cut off. All answers ask to close the connection.
func TestStopping(t *testing.T) {
	u := newUpstream(t, text("ok"))
	s := newSite(t, u)
	s.Drain(DrainSchedule{RefuseFrom: time.Now(), Deadline: time.Now().Add(time.Second)})
	must.False(t, s.Ready())
	must.Eq(t, http.StatusOK, s.ask("POST", "/once/x", "X-Wait", "200ms").status)
	must.Eq(t, http.StatusServiceUnavailable, s.ask("POST", "/once/x", "X-Wait", "1500ms").status)
	must.Eq(t, 1, u.count())
}

// Everything was killed and starts again. A caller comes before the entry has a
// configuration: it waits for that a moment and is served, and where none comes
// it is told at once after that when to come back.
func TestBeforeTheFirstConfiguration(t *testing.T) {
	for _, tc := range []struct {
		name   string
		comes  time.Duration
		status int
	}{
		{"soon", 50 * time.Millisecond, http.StatusOK},
		{"not soon", time.Hour, http.StatusServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSite(t, newUpstream(t, text("ok")))
			whole := s.view.Index
			s.view.Index, s.configured = nil, make(chan struct{})
			comes := time.AfterFunc(tc.comes, func() {
				s.mu.Lock()
				s.view.Index = whole
				s.mu.Unlock()
				close(s.configured)
			})
			defer comes.Stop()
			start := time.Now()
			r := s.ask("POST", "/once/x")
			must.Eq(t, tc.status, r.status)
			must.Less(t, 2*awaitFor, time.Since(start))
			must.Eq(t, 0, s.early.Load())
		})
	}
}
