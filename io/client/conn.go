package client

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// answerBegin is what each answer begins with, interim ones too.
const answerBegin = "HTTP/"

// maxRejected is how many rejected requests a connection remembers.
const maxRejected = 64

// requestTimeout bounds the wait for the rest of a request whose answer has ended with the connection.
const requestTimeout = time.Second

var (
	errNoAnswer  = errors.New("client: what came is no HTTP answer")
	errUnwritten = errors.New("client: connection ended before its request was written")
)

// conn tells the transport's next request what the last one has left, and knows which request it carries.
type conn struct {
	net.Conn
	mu       sync.Mutex
	exchange *exchange // The present request; nil before the first.
	reading  bool      // The transport has found nothing after the last answer.
	matched  int       // Bytes of answerBegin that have come since the present request began.
	rejected []string  // Ids of requests that were meant for another server.
	closed   bool
	changed  chan struct{} // Closed when reading or closed is set, or the request is written; nil without a waiter.
}

// Read records that the transport has consumed its buffer. It fails at the first byte that can't belong to an
// answer: the transport would read on for as long as no line ends. The end of the connection is that of an answer
// only if its request was written: a server that closes a connection of which it has not read all resets it, perhaps
// after the end was read.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.notify()
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && !c.awaitRequest() {
		err = errUnwritten
	}
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
	if c.exchange != nil {
		c.exchange.heard(p[:n])
	}
	return n, err //nolint:wrapcheck // The transport expects the plain error.
}

// Write writes bytes of the present request unless it was given up.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.record(len(p)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p) //nolint:wrapcheck // The transport expects the plain error.
}

// record has the present request know that bytes of it may leave, before any does.
func (c *conn) record(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return c.exchange.record(n)
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
		changed := c.change()
		c.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// awaitRequest waits until the request is written whose answer has begun. It reports false if that fails or takes too
// long.
func (c *conn) awaitRequest() bool {
	timer := time.NewTimer(requestTimeout)
	defer timer.Stop()
	for {
		c.mu.Lock()
		if c.exchange == nil || c.matched < len(answerBegin) || c.exchange.finished() {
			c.mu.Unlock()
			return true
		}
		changed, closed := c.change(), c.closed
		c.mu.Unlock()
		if closed {
			return false
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		}
	}
}

// change returns the channel of the next change. c.mu must be held.
func (c *conn) change() <-chan struct{} {
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// wrote records that the present request was written.
func (c *conn) wrote(e *exchange) {
	e.finish()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notify()
}

// begin starts the next request.
func (c *conn) begin(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange, c.matched = e, 0
}

// addRejected records that the server has rejected a request as meant for another one.
func (c *conn) addRejected(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejected = append(c.rejected, id)
	if len(c.rejected) > maxRejected {
		c.rejected = c.rejected[1:]
	}
}

// hasRejected reports whether the server has rejected a request on this connection.
func (c *conn) hasRejected(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.rejected, id)
}
