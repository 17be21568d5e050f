package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
)

// direct connects without a judgement of the path.
type direct struct{}

func (direct) Serve(ctx context.Context, upstream string) (c net.Conn, reliable bool, err error) {
	c, err = Direct(ctx, DialTimeout, netip.Addr{}, upstream)
	return c, true, err
}

// newTunnel starts a tunnel to one upstream, whose connections are handed to serve.
func newTunnel(t *testing.T, limit int64, serve func(c *net.TCPConn)) (tun *Tunnel, entry netip.AddrPort, upstream string, stop func()) {
	t.Helper()
	up, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = up.Close() })
	go func() {
		for {
			c, err := up.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	tun = &Tunnel{Listen: ln, Known: func(a string) bool { return a == up.Addr().String() }, Path: direct{}, Limit: limit, Log: logr.Discard()}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- tun.Serve(ctx) }()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(cancel)
	return tun, netip.MustParseAddrPort(ln.Addr().String()), up.Addr().String(), stop
}

// Guards against answers that are cut short on the way and look complete, and against changed bytes.
// Only an upstream that ends its answer well ends it well at the other entry.
func TestEndsAreKept(t *testing.T) {
	long := strings.Repeat("0123456789", 5000)
	for _, tc := range []struct {
		name string
		end  func(c *net.TCPConn, stop func())
		want error
	}{
		{"complete", func(c *net.TCPConn, _ func()) { _ = c.Close() }, nil},
		{"reset by the upstream", func(c *net.TCPConn, _ func()) { _ = c.SetLinger(0); _ = c.Close() }, errAny},
		{"the entry that passes it on stops", func(_ *net.TCPConn, stop func()) { stop() }, errAny},
	} {
		t.Run(tc.name, func(t *testing.T) {
			stopped := make(chan func(), 1)
			ends := make(chan struct{})
			_, entry, upstream, stop := newTunnel(t, 1, func(c *net.TCPConn) {
				line, _ := bufio.NewReader(c).ReadString('\n')
				_, _ = io.WriteString(c, line+long)
				<-ends
				tc.end(c, <-stopped)
			})
			stopped <- stop
			c, err := Dial(t.Context(), entry, upstream)
			must.NoError(t, err)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, "question\n")
			must.NoError(t, err)
			got := make([]byte, len("question\n")+len(long))
			_, err = io.ReadFull(c, got)
			must.NoError(t, err)
			must.Eq(t, "question\n"+long, string(got))
			close(ends)
			must.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
			_, err = c.Read(got)
			if tc.want == nil {
				must.ErrorIs(t, err, io.EOF)
				return
			}
			must.Error(t, err)
			must.False(t, errors.Is(err, io.EOF), must.Sprint(err))
		})
	}
}

var errAny = errors.New("any")

// Guards against runs that go on for callers that have left: the end of the entry's connection is the
// end of the upstream's.
func TestCallerLeaves(t *testing.T) {
	gone := make(chan struct{})
	_, entry, upstream, _ := newTunnel(t, 1, func(c *net.TCPConn) {
		_, _ = io.Copy(io.Discard, c)
		close(gone)
	})
	c, err := Dial(t.Context(), entry, upstream)
	must.NoError(t, err)
	must.NoError(t, c.Close())
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Fatal("the upstream's connection stays open")
	}
}

// Guards against an entry that passes on connections to anywhere, or more of them than it can carry
// beside its own callers.
func TestRefusals(t *testing.T) {
	tun, entry, upstream, _ := newTunnel(t, 1, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	_, err := Dial(t.Context(), entry, entry.String())
	must.ErrorIs(t, err, ErrUnknown)
	for tun.Open() > 0 {
		time.Sleep(time.Millisecond)
	}
	c, err := Dial(t.Context(), entry, upstream)
	must.NoError(t, err)
	_, err = Dial(t.Context(), entry, upstream)
	must.ErrorIs(t, err, ErrBusy)
	must.NoError(t, c.Close())
	tun.Known = func(string) bool { return true }
	for tun.Open() > 0 {
		time.Sleep(time.Millisecond)
	}
	_, err = Dial(t.Context(), entry, "127.0.0.1:1")
	must.ErrorIs(t, err, ErrRefused)
}

// Guards against an entry that stops and cuts the requests of others that it passes on: it must take
// no more of them, and leave those that run their time.
func TestDrainLetsRequestsEnd(t *testing.T) {
	answer := make(chan struct{})
	tun, entry, upstream, stop := newTunnel(t, 2, func(c *net.TCPConn) {
		_, _ = bufio.NewReader(c).ReadString('\n')
		<-answer
		_, _ = io.WriteString(c, "answer")
		_ = c.Close()
	})
	c, err := Dial(t.Context(), entry, upstream)
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "question\n")
	must.NoError(t, err)
	tun.Drain()
	_, err = Dial(t.Context(), entry, upstream)
	must.ErrorIs(t, err, ErrBusy)
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	tun.AwaitIdle(short)
	must.Error(t, short.Err())
	time.AfterFunc(50*time.Millisecond, func() { close(answer) })
	tun.AwaitIdle(t.Context())
	stop()
	got, err := io.ReadAll(c)
	must.NoError(t, err)
	must.Eq(t, "answer", string(got))
}
