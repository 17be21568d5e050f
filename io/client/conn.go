package client

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

var errSealed = errors.New("client: connection given up before its request was written")

// conn knows whether any byte of the present request was written to it.
type conn struct {
	net.Conn
	mu     sync.Mutex
	wrote  bool
	sealed bool
}

// Write notes the write before it begins.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.wrote = true
	c.mu.Unlock()
	return c.Conn.Write(p) //nolint:wrapcheck // The transport expects the plain error.
}

// begin starts the next request's count.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
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
