package client

import (
	"context"
	"net"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// answerBegin is what each answer begins with, interim ones too.
const answerBegin = "HTTP/"

// maxRejected is how many rejected requests a connection remembers.
const maxRejected = 64

var errNoAnswer = errors.New("client: what came is no HTTP answer")

// conn tells the transport's next request what the last one has left, and knows which request it carries.
type conn struct {
	net.Conn
	mu       sync.Mutex
	exchange *exchange // The present request; nil before the first.
	reading  bool      // The transport has found nothing after the last answer.
	matched  int       // Bytes of answerBegin that have come since the present request began.
	rejected []string  // Ids of requests that were meant for another server.
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
