// Package client sends requests to upstreams, each at most once.
package client

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"

	"azurelane/core/answer"
	"azurelane/io/ends"
)

const (
	dialLimit   = 500 * time.Millisecond
	idleLimit   = 30 * time.Second
	idlePerHost = 256
	headerLimit = 64 << 10 // Bytes of an answer's header.
	// closedLimit is how long to wait for a sign whether a process has ended. Its VM
	// refuses connections at once.
	closedLimit = 150 * time.Millisecond
	maxQuoted   = 64 // Bytes of a malformed answer in an error.
)

// Header carries the request's id. An upstream that can repeats it in its answer.
const Header = "Azurelane-Request"

// ErrForeign marks an answer that is not, or may not be, this request's own.
var ErrForeign = errors.New("client: answer of another request")

// errMalformed marks an answer whose head is not well-formed, though net/http takes it.
var errMalformed = errors.New("client: malformed answer")

// Client dispatches to upstreams. The zero value is ready.
type Client struct {
	// Echo is the header that carries a request's id and that upstreams repeat;
	// empty for Header.
	Echo string
	Idle time.Duration // How long an unused connection is kept; zero for 30 s.
	// Dial opens connections; nil for direct ones.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	transport atomic.Pointer[http.Transport]
	echoes    sync.Map // Hosts whose last answer repeated the request's id.
}

// Send does one round trip. The second result reports whether a byte of the
// request may have left; when it is false, nothing ran and the request may be
// placed again. Redirects are not followed: the caller gets them as they are.
func (c *Client) Send(ctx context.Context, r *http.Request) (*http.Response, bool, error) {
	var e exchange
	var got *conn
	reused := false
	id := r.Header.Get(cmp.Or(c.Echo, Header))
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			reused = info.Reused
			got = info.Conn.(*conn) //nolint:forcetypeassert // Of our own dialer.
			if reused {
				got.drained(ctx)
			}
			if got.hasRejected(id) {
				_ = got.Close() // Another copy of that response would pass for the one to this send.
			}
			got.begin(&e)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				got.wrote(&e)
			}
		},
	})
	r = once(r.WithContext(ctx))
	// Until an upstream has shown that it repeats ids, each of its connections
	// serves one request: see own.
	if _, ok := c.echoes.Load(r.URL.Host); !ok {
		r.Close = true
	}
	resp, err := c.get().RoundTrip(r)
	if err != nil {
		n := e.seal()
		return nil, n > 0, fmt.Errorf("client: send, %d bytes written: %w", n, err)
	}
	err = checkHead(resp)
	if err == nil && e.hasOldCoding() {
		err = fmt.Errorf("%w: transfer coding in %s", errMalformed, resp.Proto)
	}
	if err != nil {
		_ = resp.Body.Close()
		return nil, true, err
	}
	if resp.StatusCode == http.StatusMisdirectedRequest && id != "" {
		got.addRejected(id)
	}
	if err := c.own(r, resp, reused); err != nil {
		_ = resp.Body.Close()
		return nil, true, err
	}
	if slices.Contains(resp.TransferEncoding, "chunked") {
		resp.Body = &trailed{resp.Body, resp}
	}
	return resp, true, nil
}

// checkHead checks what net/http does not. It takes any three characters that are a number for a status, a 101 for a
// final answer, though no request asks for another protocol, and a field whose name holds a blank, which it then does
// not obey.
func checkHead(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return fmt.Errorf("%w: version %q", errMalformed, resp.Proto)
	case !answer.ValidStatus(resp.StatusCode):
		return fmt.Errorf("%w: status %d", errMalformed, resp.StatusCode)
	}
	return checkNames(resp.Header)
}

// checkNames checks that the names of fields are well-formed.
func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", errMalformed, name[:min(len(name), maxQuoted)])
		}
	}
	return nil
}

// trailed is the body of an answer that may have trailers, which come before its end.
type trailed struct {
	io.ReadCloser

	resp *http.Response
}

// Read reads from the body.
func (t *trailed) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if terr := checkNames(t.resp.Trailer); terr != nil {
			err = terr
		}
	}
	return n, err //nolint:wrapcheck // Readers compare io.EOF.
}

// own checks that an answer belongs to its request. An upstream that answers
// twice, or late, leaves bytes on a kept-alive connection that the next request
// there would take for its answer; the symptom is a caller with another's
// answer. A repeated id shows it. An answer without an id is safe only on a
// connection that never carried another request.
func (c *Client) own(r *http.Request, resp *http.Response, reused bool) error {
	echo := cmp.Or(c.Echo, Header)
	want, id := r.Header.Get(echo), resp.Header.Get(echo)
	if want != "" && id == want {
		c.echoes.Store(r.URL.Host, nil)
		return nil
	}
	c.echoes.Delete(r.URL.Host)
	switch {
	case id != "":
		return fmt.Errorf("%w: it names %s", ErrForeign, id)
	case reused:
		return fmt.Errorf("%w: it names none on a connection used before", ErrForeign)
	}
	return nil
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
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialLimit}).DialContext
	}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := dial(ctx, network, addr)
			if err != nil {
				return nil, fmt.Errorf("client: dial: %w", err)
			}
			return &conn{Conn: &ends.Conn{Conn: nc}}, nil
		},
		MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: cmp.Or(c.Idle, idleLimit), MaxResponseHeaderBytes: headerLimit,
		DisableCompression: true, WriteBufferSize: 16 << 10, ReadBufferSize: 16 << 10,
	}
	if c.transport.CompareAndSwap(nil, t) {
		return t
	}
	return c.transport.Load()
}

// Closed reports whether no process listens at an address, which a refused connection shows.
func (c *Client) Closed(ctx context.Context, addr netip.AddrPort) bool {
	d := net.Dialer{Timeout: closedLimit}
	nc, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = nc.Close()
	return false
}

// Close closes idle connections.
func (c *Client) Close() {
	if t := c.transport.Load(); t != nil {
		t.CloseIdleConnections()
	}
}
