package client_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"azurelane/io/client"
)

// Guards against a request that counts as not sent although the upstream has answered it: net/http offers a
// connection for reuse before it hands over a response without a body, and the next request takes it.
func TestSentRequestWhoseConnectionIsReused(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(cancel context.CancelFunc, c net.Conn, ended <-chan struct{}) // Ends the first request while the next one has its connection.
		live bool                                                               // Its context has not ended.
	}{
		{"context ends", func(cancel context.CancelFunc, _ net.Conn, ended <-chan struct{}) { cancel(); <-ended }, false},
		{"connection closes", func(_ context.CancelFunc, c net.Conn, _ <-chan struct{}) { _ = c.Close() }, true}, // The next write finds out.
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := pipe{t: t}
				_, err := u.send(t.Context(), "0") // Shows that the upstream repeats ids.
				must.NoError(t, err)

				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				release := make(chan struct{})
				var sent bool
				first := make(chan struct{})
				go func() {
					defer close(first)
					sent, err = u.send(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{PutIdleConn: func(error) { <-release }}), "1")
				}()
				synctest.Wait() // The response is on its way from the reader.
				must.Eq(t, 2, u.requests.Load())

				nextCtx, giveUp := context.WithCancel(t.Context())
				next := make(chan struct{})
				var nextSent bool
				var nextErr error
				go func() {
					defer close(next)
					nextSent, nextErr = u.send(httptrace.WithClientTrace(nextCtx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
						must.True(t, c.Reused)
						tc.end(cancel, c.Conn, first)
					}}), "2")
				}()
				synctest.Wait() // It has the connection, and waits for the reader.
				giveUp()
				<-first
				close(release)
				<-next
				must.Error(t, err)
				must.Eq(t, tc.live, ctx.Err() == nil)
				must.True(t, sent)
				must.Error(t, nextErr)
				must.False(t, nextSent)
				must.Eq(t, 2, u.requests.Load())
				u.client.Close()
			})
		})
	}
}

// pipe is an upstream within the process. It answers without a body.
type pipe struct {
	t        *testing.T
	client   client.Client
	requests atomic.Int64
}

func (u *pipe) send(ctx context.Context, id string) (bool, error) {
	u.client.Dial = u.dial
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://upstream/", strings.NewReader("x"))
	must.NoError(u.t, err)
	r.Header.Set(client.Header, id)
	resp, sent, err := u.client.Send(ctx, r)
	if err == nil {
		_ = resp.Body.Close()
	}
	return sent, err
}

func (u *pipe) dial(context.Context, string, string) (net.Conn, error) {
	c, s := net.Pipe()
	go func() {
		defer func() { _ = s.Close() }()
		for br := bufio.NewReader(s); ; {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			u.requests.Add(1)
			_, _ = io.WriteString(s, echo(r, ""))
		}
	}()
	return c, nil
}
