package dialer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"azurelane/io/tunnel"
)

// brittle is an upstream that ends as soon as it gets a byte.
type brittle struct {
	net.Listener
	addr string
}

func newBrittle(t *testing.T, addr string) *brittle {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	b := &brittle{ln, ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := io.ReadFull(c, make([]byte, 1)); err == nil {
					_ = ln.Close()
				}
				_ = c.Close()
			}()
		}
	}()
	return b
}

// newEntries starts entries that know each other.
func newEntries(t *testing.T, n int) []*Dialer {
	t.Helper()
	var list []*Dialer
	var addrs []netip.AddrPort
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		d := &Dialer{Log: logr.Discard()}
		tun := &tunnel.Tunnel{Listen: ln, Known: func(string) bool { return true }, Path: d, Limit: 100, Log: logr.Discard()}
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		go func() { _ = tun.Serve(ctx) }()
		list, addrs = append(list, d), append(addrs, netip.MustParseAddrPort(ln.Addr().String()))
	}
	for i, d := range list {
		var others []netip.AddrPort
		for j, a := range addrs {
			if i != j {
				others = append(others, a)
			}
		}
		d.SetEntries(others)
	}
	return list
}

// crash has an entry send a byte to an upstream, which ends, and reports whether the entry takes it for
// ended.
func crash(t *testing.T, d *Dialer, addr string) bool {
	t.Helper()
	if c, err := d.DialContext(t.Context(), "tcp", addr); err == nil {
		_, err = io.WriteString(c, "x")
		must.NoError(t, err)
		_, err = io.ReadAll(c)
		must.True(t, err == nil || isAnswer(err), must.Sprint(err))
		must.NoError(t, c.Close())
	}
	return isClosed(t, d, addr)
}

func isClosed(t *testing.T, d *Dialer, addr string) bool {
	t.Helper()
	closed, sure := d.Closed(t.Context(), netip.MustParseAddrPort(addr))
	return closed && sure
}

// Guards against crashes that are not counted where nothing but the request that crashes upstreams is
// sent: after two crashes each entry doubts its path, and none has heard from an upstream lately.
func TestCrashesWithoutOtherRequests(t *testing.T) {
	const upstreams, left = 8, 2
	for _, entries := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			list := newEntries(t, entries)
			var ups []*brittle
			for range upstreams {
				b := newBrittle(t, "127.0.0.1:0")
				ups = append(ups, b)
				for _, d := range list { // Known to it.
					c, err := d.DialContext(t.Context(), "tcp", b.addr)
					must.NoError(t, err)
					must.NoError(t, c.Close())
				}
			}
			for i, b := range ups[left:] {
				for j, d := range list {
					must.True(t, crash(t, d, b.addr), must.Sprint("crash ", i, " at entry ", j))
				}
			}
		})
	}
}

// Guards against crashes that are not counted at an entry that has connected to none of the upstreams that
// are up, and against crashes that a partitioned entry counts.
func TestCrashesAtAnEntryThatKnowsFew(t *testing.T) {
	for _, up := range []int{0, 1} {
		t.Run(fmt.Sprint(up, " up"), func(t *testing.T) {
			var known []string
			for range up {
				known = append(known, newBrittle(t, "127.0.0.1:0").addr)
			}
			d := &Dialer{Log: logr.Discard(), Sample: func(int) []string { return known }}
			for i := range 4 {
				must.Eq(t, up > 0 || i == 0, crash(t, d, newBrittle(t, "127.0.0.1:0").addr), must.Sprint("crash ", i))
			}
		})
	}
}

// Guards against a path that counts as lost because upstreams that crashed are back by the time other
// entries are asked.
func TestUpstreamsAreBackBeforeOthersAreAsked(t *testing.T) {
	const upstreams = 6
	d := newEntries(t, 2)[0]
	var addrs []string
	for range upstreams {
		addrs = append(addrs, newBrittle(t, "127.0.0.1:0").addr)
	}
	for _, addr := range addrs {
		crash(t, d, addr)
	}
	for _, addr := range addrs {
		newBrittle(t, addr)
	}
	time.Sleep(compareInterval + 50*time.Millisecond) // All may be asked about again.
	last := newBrittle(t, "127.0.0.1:0")
	crash(t, d, last.addr)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		must.False(t, d.Lost())
	}
}
