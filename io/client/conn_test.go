package client

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// net/http gives up on a request while its writing goroutine has not begun.
// If the connection could still be written to, the request would leave after
// it was placed again.
func TestSealedConnWritesNothing(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	c := &conn{Conn: a}
	c.begin()
	must.True(t, c.seal())
	_, err := c.Write([]byte("x"))
	must.ErrorIs(t, err, errSealed)

	c = &conn{Conn: a}
	c.begin()
	go func() { _, _ = b.Read(make([]byte, 1)) }()
	_, err = c.Write([]byte("x"))
	must.NoError(t, err)
	must.False(t, c.seal())
}
