package hello

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/codec"
)

// entry records the announcements of an upstream.
type entry struct {
	*httptest.Server
	mu    sync.Mutex
	got   []announcement
	key   string
	first chan struct{}
	once  sync.Once
	deaf  bool // It accepts requests and never replies, like a suspended process.
}

func newEntry(t *testing.T, deaf bool) *entry {
	e := &entry{first: make(chan struct{}), deaf: deaf}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.deaf {
			_, _ = io.Copy(io.Discard, r.Body) // The server notices only then that its client has left.
			<-r.Context().Done()
			return
		}
		var a announcement
		must.NoError(t, codec.ReadLoose(r.Body, &a))
		e.mu.Lock()
		e.got, e.key = append(e.got, a), r.Header.Get("Authorization")
		e.mu.Unlock()
		e.once.Do(func() { close(e.first) })
		w.WriteHeader(http.StatusNoContent)
	}))
	t.Cleanup(e.Close)
	return e
}

func (e *entry) addr() netip.AddrPort { return netip.MustParseAddrPort(e.Listener.Addr().String()) }

// Guards against a lease that ends because one entry is down and the next one is suspended: the third must get the
// same announcement within the lease of 3 s. An upstream that stops must announce so before Serve returns, with
// a higher number than before.
func TestNextEntryAndLeaving(t *testing.T) {
	dead := newEntry(t, false)
	dead.Close()
	live := newEntry(t, false)
	h := &Hello{
		Upstream: "u", Incarnation: "u1", Pools: []string{"p"}, Address: netip.MustParseAddrPort("127.0.0.1:9"),
		Entries: []netip.AddrPort{dead.addr(), newEntry(t, true).addr(), live.addr()}, Key: "secret", Linger: time.Second,
	}
	must.Less(t, 3*Every, 2*tryLimit)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- h.Serve(ctx) }()
	<-live.first
	cancel()
	must.ErrorIs(t, <-done, context.Canceled)
	live.mu.Lock()
	defer live.mu.Unlock()
	must.Eq(t, "Bearer secret", live.key)
	must.False(t, live.got[0].Leaving)
	last := live.got[len(live.got)-1]
	must.True(t, last.Leaving)
	must.Greater(t, live.got[0].Seq, last.Seq)
}

// Guards against an announcement that counts as made although its answer says nothing of the kind.
func TestAnnouncementWithoutAcknowledgement(t *testing.T) {
	for _, tc := range []struct {
		status string
		ok     bool
	}{
		{"200 X", true}, {"204 X", true}, {"000 X", false}, {"099 X", false}, {"+20 X", false}, {"101 X", false}, {"304 X", false}, {"404 X", false}, {"503 X", false}, {"600 X", false},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, "HTTP/1.1 "+tc.status+"\r\n\r\n")
			}
		}()
		live := newEntry(t, false)
		h := &Hello{
			Upstream: "u", Incarnation: "u1", Pools: []string{"p"}, Address: netip.MustParseAddrPort("127.0.0.1:9"),
			Entries: []netip.AddrPort{netip.MustParseAddrPort(ln.Addr().String()), live.addr()},
		}
		must.NoError(t, h.Announce(t.Context(), false))
		must.Eq(t, tc.ok, len(live.got) == 0, must.Sprint(tc.status))
		_ = ln.Close()
	}
}
