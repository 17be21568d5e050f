package client_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/io/client"
)

const askTimeout = 5 * time.Second

// upstream reads whole requests from plain TCP connections and counts them.
// Its answer to the n-th request of all comes from script; an empty answer
// closes the connection.
type upstream struct {
	net.Listener
	client   client.Client
	requests atomic.Int64
	conns    atomic.Int64
	wg       sync.WaitGroup
}

func serve(t *testing.T, script func(n int64, r *http.Request) string) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	u := &upstream{Listener: ln}
	u.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			u.wg.Go(func() {
				defer func() { _ = c.Close() }()
				for br := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					r.RemoteAddr = c.RemoteAddr().String()
					out := script(u.requests.Add(1), r)
					if out == "" {
						return
					}
					_, _ = io.WriteString(c, out)
				}
			})
		}
	})
	t.Cleanup(func() { u.client.Close(); _ = ln.Close(); u.wg.Wait() })
	return u
}

func echo(r *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAzurelane-Request: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get(client.Header), len(body), body)
}

func (u *upstream) ask(method, id, body string) (string, bool, error) {
	var in io.Reader
	if body != "" {
		in = strings.NewReader(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+u.Addr().String()+"/", in)
	r.Header.Set(client.Header, id)
	r.Header.Set("Idempotency-Key", id)
	resp, sent, err := u.client.Send(ctx, r)
	if err != nil {
		return "", sent, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), sent, err
}

// The upstream answers once, so the connection is kept. It reads the next
// request in full, may have run it, and closes without an answer. net/http on
// its own would send that request again at once, on a new connection, because
// it is a GET or names an Idempotency-Key: the key would run twice.
func TestNoHiddenRetry(t *testing.T) {
	for _, tc := range []struct{ method, body string }{
		{http.MethodGet, ""},
		{http.MethodPost, ""},
		{http.MethodPost, "text"},
		{http.MethodPut, "text"},
	} {
		u := serve(t, func(n int64, r *http.Request) string {
			if n <= 2 {
				return echo(r, "ok")
			}
			return ""
		})
		for _, id := range []string{"1", "2"} { // The first shows that the upstream repeats ids.
			got, _, err := u.ask(tc.method, id, tc.body)
			must.NoError(t, err)
			must.Eq(t, "ok", got)
		}
		_, sent, err := u.ask(tc.method, "3", tc.body)
		must.Error(t, err)
		must.True(t, sent, must.Sprint(tc))
		must.Eq(t, 3, u.requests.Load(), must.Sprint(tc))
		must.Eq(t, 2, u.conns.Load(), must.Sprint("the third went over the kept connection"))
	}
}

// The upstream answers each request twice, the second time late: when the next
// request of that connection has come. net/http takes the late answer for that
// request's own. A caller must never get it, whether the upstream names the
// request in its answers or not.
func TestDoubledAnswerReachesNoOther(t *testing.T) {
	for _, tc := range []struct {
		name  string
		names bool
	}{{"names its request", true}, {"names none", false}} {
		t.Run(tc.name, func(t *testing.T) {
			var last sync.Map // Answers by connection.
			u := serve(t, func(_ int64, r *http.Request) string {
				out := echo(r, "for "+r.Header.Get(client.Header))
				if !tc.names {
					out = strings.Replace(out, "Azurelane-Request: ", "X-Other: ", 1)
				}
				if late, ok := last.Swap(r.RemoteAddr, out); ok {
					return late.(string) + out
				}
				return out
			})
			foreign := 0
			for i := range 20 {
				id := strconv.Itoa(i)
				got, _, err := u.ask(http.MethodPost, id, "x")
				if err != nil {
					must.ErrorIs(t, err, client.ErrForeign)
					foreign++
					continue
				}
				must.Eq(t, "for "+id, got)
			}
			must.Eq(t, tc.names, foreign > 0)
		})
	}
}

func TestForeignAnswer(t *testing.T) {
	for _, tc := range []struct {
		name   string
		second string // Header line of the second answer.
		want   error
	}{
		{"own", "Azurelane-Request: 2", nil},
		{"another's", "Azurelane-Request: 1", client.ErrForeign},
		{"none on a used connection", "X-Other: 1", client.ErrForeign},
	} {
		u := serve(t, func(n int64, r *http.Request) string {
			if n < 3 {
				return echo(r, "ok")
			}
			return "HTTP/1.1 200 OK\r\n" + tc.second + "\r\nContent-Length: 2\r\n\r\nok"
		})
		for range 2 {
			_, _, err := u.ask(http.MethodPost, "1", "x")
			must.NoError(t, err)
		}
		_, sent, err := u.ask(http.MethodPost, "2", "x")
		must.ErrorIs(t, err, tc.want, must.Sprint(tc.name))
		must.True(t, sent)
	}
}

// Guards against a second copy of a rejection that passes for the response to another send of the same request: the
// server at an address may be replaced, and the request sent there again.
func TestRejectionPassesForNoOtherSend(t *testing.T) {
	u := serve(t, func(n int64, r *http.Request) string {
		rejection := strings.Replace(echo(r, ""), "200 OK", "421 Misdirected Request", 1)
		switch n {
		case 2:
			return rejection
		case 3:
			return rejection + echo(r, "ran")
		}
		return echo(r, "ran")
	})
	for _, id := range []string{"1", "2"} {
		_, _, err := u.ask(http.MethodPost, id, "x")
		must.NoError(t, err)
	}
	got, sent, err := u.ask(http.MethodPost, "2", "x")
	must.Error(t, err, must.Sprint(got))
	must.False(t, sent)
	must.Eq(t, 2, u.requests.Load())
}

// Nothing listens, or the caller gives up while connecting: no byte has left,
// and the request may be placed again.
func TestNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	u := &upstream{Listener: ln}
	_ = ln.Close()
	_, left, err := u.ask(http.MethodPost, "1", "x")
	must.Error(t, err)
	must.False(t, left)

	srv := httptest.NewServer(http.NotFoundHandler())
	defer srv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL, strings.NewReader("x"))
	resp, sent, err := u.client.Send(ctx, r)
	if resp != nil {
		_ = resp.Body.Close()
	}
	must.ErrorIs(t, err, context.Canceled)
	must.False(t, sent)
}

// Guards against a second copy of an answer, sent with the first, that meets the next request of its
// connection.
func TestAnswerSentTwice(t *testing.T) {
	const callers, rounds = 16, 400
	u := serve(t, func(_ int64, r *http.Request) string {
		one := echo(r, "answer")
		if r.Method == http.MethodPut {
			return one + one
		}
		return one
	})
	_, _, err := u.ask(http.MethodPost, "first", "")
	must.NoError(t, err)
	var wg sync.WaitGroup
	var failed atomic.Int64
	for c := range callers {
		wg.Go(func() {
			for i := range rounds {
				method := []string{http.MethodPost, http.MethodPut}[i%2]
				if _, sent, err := u.ask(method, fmt.Sprint(c, "-", i), "text"); err != nil && sent {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	must.Eq(t, 0, failed.Load(), must.Sprint("requests that ran and got no answer of their own"))
}
