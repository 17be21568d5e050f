package tunnel

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// small opens connections that hold little of what the upstream has not read.
type small struct{ direct }

func (s small) Serve(ctx context.Context, upstream string) (c net.Conn, reliable bool, err error) {
	c, reliable, err = s.direct.Serve(ctx, upstream)
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(16 << 10)
	}
	return c, reliable, err
}

// Guards against a part of an answer that ends well at the other entry, because the write to the upstream was told of
// the reset and the read was told of an end.
func TestResetDuringRequest(t *testing.T) {
	const size = 4 << 20
	for _, tc := range []struct {
		name   string
		closes bool // The kernel resets the connection, as the upstream has not read all that came.
	}{{"resets", false}, {"closes", true}} {
		t.Run(tc.name, func(t *testing.T) {
			tun, entry, upstream, _ := newTunnel(t, 1, func(c *net.TCPConn) {
				_ = c.SetReadBuffer(32 << 10)
				_, _ = io.WriteString(c, "a part")
				_, _ = io.CopyN(io.Discard, c, 32<<10)
				awaitUnread(t, c)
				time.Sleep(2 * time.Millisecond) // The tunnel waits for room.
				if !tc.closes {
					_ = c.SetLinger(0)
				}
				_ = c.Close()
			})
			tun.Path = small{}
			ended := 0
			for range 20 {
				c, err := Dial(t.Context(), entry, upstream)
				for errors.Is(err, ErrBusy) { // The connection before is about to end.
					c, err = Dial(t.Context(), entry, upstream)
				}
				must.NoError(t, err)
				var wg sync.WaitGroup
				wg.Go(func() { _, _ = c.Write(make([]byte, size)) })
				must.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
				if _, err := io.ReadAll(c); err == nil {
					ended++
				}
				_ = c.Close()
				wg.Wait()
			}
			must.Eq(t, 0, ended, must.Sprint("of 20 answers"))
		})
	}
}

// awaitUnread waits until a connection has bytes that were not read.
func awaitUnread(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	must.NoError(t, err)
	for n := 0; n == 0; time.Sleep(100 * time.Microsecond) {
		must.NoError(t, raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }))
		must.NoError(t, err)
	}
}

// Guards against an answer that breaks off at the other entry, because its upstream has answered before it has read
// the request.
func TestEndDuringRequest(t *testing.T) {
	const size = 1 << 20
	_, entry, upstream, _ := newTunnel(t, 1, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "answer")
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
	c, err := Dial(t.Context(), entry, upstream)
	must.NoError(t, err)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { _, _ = c.Write(make([]byte, size)) })
	must.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	got, err := io.ReadAll(c)
	must.NoError(t, err)
	must.Eq(t, "answer", string(got))
	_ = c.Close()
}
