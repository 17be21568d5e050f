package client

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// answerBegin is what each answer begins with, interim ones too.
const answerBegin = "HTTP/"

var (
	errSealed   = errors.New("client: connection given up before its request was written")
	errNoAnswer = errors.New("client: what came is no HTTP answer")
)

// exchange counts what was written of one request. It outlasts the request's use of a connection: the transport may
// hand the connection to another request before it reports how this one ended.
type exchange struct {
	written atomic.Int64 // Bytes, including those that may have been lost on the way.
}

// conn knows whether any byte of the present request was written to it, and whether the transport
// has found nothing after the last answer.
type conn struct {
	net.Conn
	mu       sync.Mutex
	exchange *exchange // Of the present request.
	wrote    bool
	sealed   bool
	reading  bool
	matched  int // Bytes of answerBegin that have come since the present request began.
	closed   bool
	changed  chan struct{} // Closed when reading or closed is set; nil without a waiter.
}

// Read records that the transport has consumed its buffer. It fails at the first byte that can't belong to an
// answer: the transport would read on for as long as no line ends.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.notify()
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	for _, b := range p[:n] {
		if c.matched == len(answerBegin) {
			break
		}
		if b != answerBegin[c.matched] {
			return 0, errNoAnswer
		}
		c.matched++
	}
	return n, err //nolint:wrapcheck // The transport expects the plain error.
}

// Write records that bytes of the request may leave, before any does.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	switch {
	case c.sealed:
		c.mu.Unlock()
		return 0, errSealed
	case c.closed:
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.wrote = true
	if c.exchange != nil {
		c.exchange.written.Add(int64(len(p)))
	}
	c.mu.Unlock()
	return c.Conn.Write(p) //nolint:wrapcheck // The transport expects the plain error.
}

// Close records that the connection can carry no other request.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.notify()
	c.mu.Unlock()
	return c.Conn.Close() //nolint:wrapcheck // The transport expects the plain error.
}

// notify wakes the requests that wait for a change. c.mu must be held.
func (c *conn) notify() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// drained waits until the transport has used all bytes that it read with the last answer, or has
// closed the connection since some were left. net/http offers a connection for reuse before it looks,
// and takes what is left for the answer to the next request.
func (c *conn) drained(ctx context.Context) {
	for {
		c.mu.Lock()
		if c.reading || c.closed {
			c.mu.Unlock()
			return
		}
		if c.changed == nil {
			c.changed = make(chan struct{})
		}
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// begin starts the next request's count.
func (c *conn) begin(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange, c.wrote, c.matched = e, false, 0
}

// seal reports whether nothing of the request was written, and makes sure that
// it stays so: net/http may give up on a request while its own goroutine is
// about to write it, and a request placed again in that moment would run twice.
func (c *conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wrote {
		return false
	}
	c.sealed = true
	return true
}
