// Package client sends requests to upstreams, each at most once.
package client

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

const (
	dialLimit   = 500 * time.Millisecond
	idleLimit   = 30 * time.Second
	idlePerHost = 256
)

// Client dispatches to upstreams. The zero value is ready.
type Client struct {
	transport atomic.Pointer[http.Transport]
}

// Send does one round trip. The second result reports whether the request may
// have reached the upstream; when it is false, nothing ran and the request may
// be placed again. Redirects are not followed: the caller gets them as they are.
func (c *Client) Send(ctx context.Context, r *http.Request) (*http.Response, bool, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	resp, err := c.get().RoundTrip(once(r.WithContext(ctx)))
	if err != nil {
		return nil, connected.Load(), fmt.Errorf("client: send: %w", err)
	}
	return resp, true, nil
}

// once makes a request that the transport can't repeat. net/http sends a
// request again by itself when a kept-alive connection breaks before the first
// byte of the answer, if the method is idempotent or an Idempotency-Key header
// stands in it; the symptom is a request that ran twice. It does so only for a
// request whose body it can make anew, so a body of our own type without
// GetBody is enough.
func once(r *http.Request) *http.Request {
	r.GetBody = nil
	if r.Body == nil || r.Body == http.NoBody {
		r.Body = io.NopCloser(strings.NewReader(""))
	}
	return r
}

func (c *Client) get() *http.Transport {
	if t := c.transport.Load(); t != nil {
		return t
	}
	d := net.Dialer{Timeout: dialLimit}
	t := &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleLimit,
		DisableCompression: true, WriteBufferSize: 16 << 10, ReadBufferSize: 16 << 10,
	}
	if c.transport.CompareAndSwap(nil, t) {
		return t
	}
	return c.transport.Load()
}

// Close closes idle connections.
func (c *Client) Close() {
	if t := c.transport.Load(); t != nil {
		t.CloseIdleConnections()
	}
}
