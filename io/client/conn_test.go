package client

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// net/http gives up on a request while its writing goroutine has not begun.
// If the connection could still be written to, the request would leave after
// it was placed again.
func TestSealedConnWritesNothing(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	c, e := &conn{Conn: a}, &exchange{}
	c.begin(e)
	must.Eq(t, 0, e.seal())
	_, err := c.Write([]byte("x"))
	must.ErrorIs(t, err, errSealed)

	c, e = &conn{Conn: a}, &exchange{}
	c.begin(e)
	go func() { _, _ = b.Read(make([]byte, 1)) }()
	_, err = c.Write([]byte("x"))
	must.NoError(t, err)
	must.Eq(t, 1, e.seal())
	go func() { _, _ = b.Read(make([]byte, 1)) }()
	_, err = c.Write([]byte("y"))
	must.NoError(t, err) // It may be the rest of the request.
}

// Guards against a request that counts as sent although its connection had been closed before.
func TestClosedConnWritesNothing(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	c, e := &conn{Conn: a}, &exchange{}
	c.begin(e)
	must.NoError(t, c.Close())
	_, err := c.Write([]byte("x"))
	must.ErrorIs(t, err, net.ErrClosed)
	must.Eq(t, 0, e.seal())
}

// Guards against a request that takes bytes left over from the answer before it for its own answer:
// the transport offers a connection for reuse before it looks for such bytes.
func TestConnectionWithBytesLeftIsNotReused(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(c *conn) // What the transport's reader does after an answer.
	}{
		{"nothing left", func(c *conn) { _, _ = c.Read(make([]byte, 1)) }},
		{"bytes left", func(c *conn) { _ = c.Close() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b := net.Pipe()
				defer func() { _ = a.Close(); _ = b.Close() }()
				c := &conn{Conn: a}
				start := time.Now()
				go func() {
					time.Sleep(time.Second) // The reader is still at work.
					tc.end(c)
				}()
				c.drained(t.Context())
				must.Eq(t, time.Second, time.Since(start))

				c = &conn{Conn: a}
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				start = time.Now()
				c.drained(ctx)
				must.Eq(t, 2*time.Second, time.Since(start), must.Sprint("the request gives up"))
			})
		})
	}
}

// Guards against a connection that is kept for as long as no line ends, though what comes is no answer.
func TestNoProtocol(t *testing.T) {
	for _, tc := range []struct {
		name   string
		pieces []string
		err    error
	}{
		{name: "an answer", pieces: []string{"HTTP/1.1 200 OK\r\n", "rest"}},
		{name: "in pieces", pieces: []string{"H", "TT", "P/1", ".1 200 OK\r\n"}},
		{name: "another protocol", pieces: []string{"SSH-2.0"}, err: errNoAnswer},
		{name: "nearly an answer", pieces: []string{"HTT", "Px"}, err: errNoAnswer},
		{name: "small letters", pieces: []string{"http/1.1 200 OK\r\n"}, err: errNoAnswer},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a, b := net.Pipe()
			defer func() { _ = a.Close(); _ = b.Close() }()
			c := &conn{Conn: a}
			for range 2 { // Also for a second request on the connection.
				c.begin(&exchange{})
				go func() {
					for _, p := range tc.pieces {
						_, _ = b.Write([]byte(p))
					}
				}()
				var err error
				for range tc.pieces {
					_, err = c.Read(make([]byte, 100))
				}
				must.ErrorIs(t, err, tc.err)
			}
		})
	}
}
