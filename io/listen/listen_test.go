package listen_test

import (
	"net"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/io/listen"
)

// Guards against resets of connections that the kernel has completed and the process has not accepted when a
// listener is closed.
func TestDrainAcceptsWhatWaits(t *testing.T) {
	for _, tc := range []struct {
		name   string
		addr   string
		waits  int
		before bool // Accept is blocked when the drain begins.
	}{
		{"none", "127.0.0.1:0", 0, false},
		{"none, Accept waits", "127.0.0.1:0", 0, true},
		{"many", "127.0.0.1:0", 100, false},
		{"IPv6", "[::1]:0", 10, false},
		{"both", "[::]:0", 10, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inner, err := net.Listen("tcp", tc.addr)
			must.NoError(t, err)
			ln := listen.Of(inner)
			ended := make(chan error, 1)
			if tc.before {
				go func() {
					_, err := ln.Accept()
					ended <- err
				}()
			}
			for range tc.waits {
				c, err := net.Dial("tcp", inner.Addr().String())
				must.NoError(t, err)
				_, err = c.Write([]byte("x"))
				must.NoError(t, err)
			}
			must.NoError(t, ln.Drain())
			if tc.before {
				must.ErrorIs(t, <-ended, net.ErrClosed)
			}
			for range tc.waits {
				c, err := ln.Accept()
				must.NoError(t, err)
				n, err := c.Read(make([]byte, 1))
				must.NoError(t, err)
				must.Eq(t, 1, n)
				must.NoError(t, c.Close())
			}
			_, err = ln.Accept()
			must.ErrorIs(t, err, net.ErrClosed)
			_, err = net.Dial("tcp", inner.Addr().String())
			must.ErrorIs(t, err, syscall.ECONNREFUSED)
		})
	}
}
