package dialer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"azurelane/io/tunnel"
)

// absent is an address that this machine does not have, so that no connection from it opens.
var absent = netip.MustParseAddr("192.0.2.1")

// echoes starts upstreams that send back what they get, and returns their addresses.
func echoes(t *testing.T, n int) []string {
	t.Helper()
	var list []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { _ = ln.Close() })
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(c, c) }()
			}
		}()
		list = append(list, ln.Addr().String())
	}
	return list
}

// newEntry starts another entry that passes connections on.
func newEntry(t *testing.T, limit int64) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	tun := &tunnel.Tunnel{Listen: ln, Known: func(string) bool { return true }, Path: &Dialer{Log: logr.Discard()}, Limit: limit, Log: logr.Discard()}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = tun.Serve(ctx) }()
	return netip.MustParseAddrPort(ln.Addr().String())
}

func echo(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	must.NoError(t, err)
	got := make([]byte, len(text))
	_, err = io.ReadFull(c, got)
	must.NoError(t, err)
	must.Eq(t, text, string(got))
}

// Guards against requests that fail at each upstream in turn because the entry itself has no path. From
// the second upstream that fails on, another entry passes the connection on. One that has no room is
// passed over.
func TestAnotherEntryPassesOn(t *testing.T) {
	lost := 0
	d := &Dialer{Source: absent, OnLost: func() { lost++ }, Log: logr.Discard()}
	d.SetEntries([]netip.AddrPort{newEntry(t, 0), newEntry(t, 10)})
	for i, addr := range echoes(t, 5) {
		c, err := d.DialContext(t.Context(), "tcp", addr)
		if i == 0 {
			must.Error(t, err, must.Sprint("one upstream alone may be down"))
			continue
		}
		must.NoError(t, err)
		echo(t, c, fmt.Sprint("text ", i))
		must.NoError(t, c.Close())
	}
	must.True(t, d.Lost())
	must.Eq(t, 1, lost)
	select {
	case <-d.Alarm():
	default:
		t.Fatal("no alarm")
	}
}

// Guards against callers that wait for their deadline where no entry has a path.
func TestNoEntryHasAPath(t *testing.T) {
	d := &Dialer{Source: absent, Log: logr.Discard()}
	for _, addr := range echoes(t, 4) {
		_, err := d.DialContext(t.Context(), "tcp", addr)
		must.Error(t, err)
	}
	must.True(t, d.Blocked())
	start := time.Now()
	_, err := d.DialContext(t.Context(), "tcp", echoes(t, 1)[0])
	must.ErrorIs(t, err, ErrNoPath)
	must.Less(t, slowDial, time.Since(start))
}

// Guards against a single upstream that is down and is taken for a lost path, and against one that has
// ended and is not recognized where the entry has to ask another one.
func TestUpstreamIsDown(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	down := ln.Addr().String()
	must.NoError(t, ln.Close())
	d := &Dialer{Log: logr.Discard()}
	for range 10 {
		_, err := d.DialContext(t.Context(), "tcp", down)
		must.ErrorIs(t, err, syscall.ECONNREFUSED)
	}
	must.False(t, d.Suspect())
	must.True(t, isClosed(t, d, down))

	up := echoes(t, 3)
	d = &Dialer{Source: absent, Log: logr.Discard()}
	d.SetEntries([]netip.AddrPort{newEntry(t, 10)})
	for _, addr := range up {
		_, _ = d.DialContext(t.Context(), "tcp", addr)
	}
	must.True(t, d.Suspect())
	must.True(t, isClosed(t, d, down))
	must.False(t, isClosed(t, d, up[0]))
}

// Guards against a path that counts as lost for ever.
func TestPathIsFoundAgain(t *testing.T) {
	d := &Dialer{Log: logr.Discard()}
	for _, host := range []string{"a", "b", "c"} {
		d.recordFailure(host, errSlow)
		d.recordElsewhere(host, ErrNoPath, errSlow)
	}
	must.True(t, d.Lost())
	addr := echoes(t, 1)[0]
	_, err := d.DialContext(t.Context(), "tcp", addr)
	must.ErrorIs(t, err, ErrNoPath)
	for end := time.Now().Add(5 * time.Second); d.Lost(); time.Sleep(10 * time.Millisecond) {
		must.True(t, time.Now().Before(end))
		d.Probe()
	}
	for i := range 10 {
		c, err := d.DialContext(t.Context(), "tcp", addr)
		must.NoError(t, err, must.Sprint("no other entry is known; connection ", i))
		must.NoError(t, c.Close())
	}
}

// Guards against a lost path that stays unnoticed because requests go out on connections that were open
// before and hang now, and against probes while upstreams answer.
func TestHangingConnectionsShowALostPath(t *testing.T) {
	for _, answers := range []bool{false, true} {
		t.Run(fmt.Sprint("upstreams answer ", answers), func(t *testing.T) {
			d := &Dialer{Source: absent, Log: logr.Discard()}
			var conns []*conn
			for _, addr := range echoes(t, 4) {
				c, err := net.Dial("tcp", addr)
				must.NoError(t, err)
				defer func() { _ = c.Close() }()
				conns = append(conns, &conn{Conn: c, dialer: d, addr: addr})
			}
			for round := range 6 {
				for _, c := range conns {
					_, err := io.WriteString(c, "question")
					must.NoError(t, err)
					if answers {
						_, err = io.ReadFull(c, make([]byte, len("question")))
						must.NoError(t, err)
					}
					time.Sleep(quietLimit / 3)
				}
				must.True(t, round < 5)
				if d.Lost() || (answers && round == 3) {
					break
				}
			}
			must.Eq(t, !answers, d.Lost())
			must.Eq(t, !answers, d.Suspect())
		})
	}
}

// BenchmarkConnection measures a connection to an upstream that answers: opened, one question, one answer.
func BenchmarkConnection(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	d := &Dialer{Log: logr.Discard()}
	buf := make([]byte, len("question"))
	for b.Loop() {
		c, err := d.DialContext(b.Context(), "tcp", ln.Addr().String())
		must.NoError(b, err)
		_, err = io.WriteString(c, "question")
		must.NoError(b, err)
		_, err = io.ReadFull(c, buf)
		must.NoError(b, err)
		must.NoError(b, c.Close())
	}
}
