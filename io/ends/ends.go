// Package ends tells the end of what a peer has sent from a reset.
package ends

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// writeTimeout bounds the wait for a write that is under way when the end is read.
const writeTimeout = time.Second

// ErrReset is returned by reads in place of io.EOF if the peer may have reset the connection.
var ErrReset = errors.New("ends: connection reset, as a write has shown")

// Conn is a connection whose reads return io.EOF only if no write has failed. The kernel reports a reset once: if that
// is to a write, the reads after it end as if the peer had sent all. Only one write may be under way at a time.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	failed  bool          // A write has failed.
	writing bool          // A write is under way.
	ended   chan struct{} // Closed when it ends; nil without a waiter.
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && !c.awaitWrite() {
		err = ErrReset
	}
	return n, err //nolint:wrapcheck // Callers compare the errors of connections.
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing, c.failed = false, c.failed || err != nil
	if c.ended != nil {
		close(c.ended)
		c.ended = nil
	}
	return n, err //nolint:wrapcheck // Callers compare the errors of connections.
}

// awaitWrite waits for a write that is under way. It reports whether all writes have succeeded.
func (c *Conn) awaitWrite() bool {
	ended := c.end()
	if ended != nil {
		timer := time.NewTimer(writeTimeout)
		defer timer.Stop()
		select {
		case <-ended:
		case <-timer.C:
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.failed
}

// end returns a channel that is closed when the write that is under way ends, or nil if none is.
func (c *Conn) end() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writing {
		return nil
	}
	if c.ended == nil {
		c.ended = make(chan struct{})
	}
	return c.ended
}
