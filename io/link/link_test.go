package link

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"azurelane/core/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// limit is the time after which a test has hung.
const limit = 20 * time.Second

func query(n uint64) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_ConfigQuery{ConfigQuery: &wire.ConfigQuery{Version: n}}}
}

func ack(context.Context, *wire.Frame) (*wire.Frame, error) {
	return &wire.Frame{Body: &wire.Frame_Ack{Ack: &wire.Ack{}}}, nil
}

// serve accepts links until the test ends and returns its address.
func serve(t testing.TB, handle func(context.Context, *wire.Frame) (*wire.Frame, error)) netip.AddrPort {
	return listen(t, func(conn net.Conn) {
		l, err := Accept(conn, handle, nil)
		if err == nil {
			t.Cleanup(func() { _ = l.Close(); l.Wait() })
		}
	})
}

func listen(t testing.TB, take func(net.Conn)) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			take(conn)
		}
	}()
	t.Cleanup(func() { _ = ln.Close(); <-done })
	return netip.MustParseAddrPort(ln.Addr().String())
}

// hole forwards TCP and can drop all data in a direction, as a middlebox does that has lost the
// state of a connection.
type hole struct{ there, back atomic.Bool }

func (h *hole) before(t testing.TB, to netip.AddrPort) netip.AddrPort {
	return listen(t, func(conn net.Conn) {
		up, err := net.Dial("tcp", to.String())
		must.NoError(t, err)
		for _, way := range []struct {
			from, to net.Conn
			drop     *atomic.Bool
		}{{conn, up, &h.there}, {up, conn, &h.back}} {
			done := make(chan struct{})
			go func() {
				defer close(done)
				defer func() { _ = way.to.Close() }()
				buf := make([]byte, 4096)
				for {
					n, err := way.from.Read(buf)
					if err != nil {
						return
					}
					if !way.drop.Load() {
						_, _ = way.to.Write(buf[:n])
					}
				}
			}()
			t.Cleanup(func() { _ = conn.Close(); _ = up.Close(); <-done })
		}
	})
}

func dial(t testing.TB, to netip.AddrPort, handle func(context.Context, *wire.Frame) (*wire.Frame, error)) *Link {
	l, err := Dial(t.Context(), to, nil, handle, nil)
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close(); l.Wait() })
	return l
}

// Guards against calls that never return after a middlebox has dropped the connection in one
// direction or both, which TCP does not report. The call must return ErrDown within the limit,
// the frame must have reached the peer at most once, and a new connection must work.
func TestBlackHole(t *testing.T) {
	for _, tc := range []struct {
		name        string
		there, back bool
	}{
		{"there", true, false},
		{"back", false, true},
		{"both", true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var ran atomic.Int64
			to := serve(t, func(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
				if f.GetConfigQuery().GetVersion() == 2 {
					ran.Add(1)
				}
				return ack(ctx, f)
			})
			var h hole
			l := dial(t, h.before(t, to), ack)
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			_, err := l.Call(ctx, query(1))
			must.NoError(t, err)
			h.there.Store(tc.there)
			h.back.Store(tc.back)
			_, err = l.Call(ctx, query(2))
			must.ErrorIs(t, err, ErrDown)
			must.LessEq(t, 1, ran.Load())
			fresh := dial(t, to, ack)
			_, err = fresh.Call(ctx, query(1))
			must.NoError(t, err)
		})
	}
}

// Guards against calls and senders that hang while the peer's process is suspended and its kernel
// still accepts connections and data. A call must return ErrDown, senders that have filled all
// buffers must return when their context ends, and the link must close.
func TestFrozenPeer(t *testing.T) {
	t.Parallel()
	to := listen(t, func(conn net.Conn) {
		sess, err := yamux.Server(conn, config())
		must.NoError(t, err)
		_, err = sess.AcceptStream()
		must.NoError(t, err)
		t.Cleanup(func() { _ = sess.Close() })
	})
	l := dial(t, to, ack)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	big := &wire.Frame{Body: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: make([]byte, BulkSize/2)}}}
	for {
		sctx, scancel := context.WithTimeout(ctx, 50*time.Millisecond)
		err := l.Send(sctx, big)
		scancel()
		if err != nil {
			must.ErrorIs(t, err, context.DeadlineExceeded)
			break
		}
	}
	_, err := l.Call(ctx, query(1))
	must.ErrorIs(t, err, ErrDown)
}

// Guards against a deadlock when a handler of one-way frames calls the peer that sent them. If
// handlers ran in the read loop, the reply would never be read.
func TestHandlerMayCallBack(t *testing.T) {
	t.Parallel()
	var l *Link
	ready, done := make(chan struct{}), make(chan error, 1)
	back := listen(t, func(conn net.Conn) {
		a, err := Accept(conn, func(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
			if f.GetId() == 0 {
				<-ready
				_, err := l.Call(ctx, query(1))
				done <- err
			}
			return ack(ctx, f)
		}, nil)
		must.NoError(t, err)
		l = a
		close(ready)
		t.Cleanup(func() { _ = a.Close(); a.Wait() })
	})
	c := dial(t, back, ack)
	must.NoError(t, c.Send(t.Context(), query(1)))
	select {
	case err := <-done:
		must.NoError(t, err)
	case <-time.After(limit):
		t.Fatal("the handler's call never returned")
	}
}

func TestLargeFrames(t *testing.T) {
	t.Parallel()
	to := serve(t, func(_ context.Context, f *wire.Frame) (*wire.Frame, error) {
		return &wire.Frame{Body: f.GetBody()}, nil
	})
	l := dial(t, to, ack)
	for _, n := range []int{0, BulkSize - 100, BulkSize + 100, 20 << 20} {
		r, err := l.Call(t.Context(), &wire.Frame{Body: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: make([]byte, n)}}})
		must.NoError(t, err)
		must.Eq(t, n, len(r.GetChunk().GetData()))
	}
	_, err := l.Call(t.Context(), &wire.Frame{Body: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: make([]byte, MaxFrame)}}})
	must.ErrorIs(t, err, ErrTooLarge)
	_, err = l.Call(t.Context(), query(1)) // The link still works.
	must.NoError(t, err)
}

// Guards against closing an idle link, whose heartbeats are rare, at the moment it is used again,
// when the short limit for silence begins to apply.
func TestPulse(t *testing.T) {
	var p heartbeat
	now := time.Unix(1000, 0)
	p.start(now)
	at := func(d time.Duration) time.Time { return now.Add(d) }
	for d := PingEvery; d <= 25*time.Second; d += PingEvery {
		_, _, dead := p.next(at(d), false)
		must.False(t, dead, must.Sprint(d))
	}
	_, awake, dead := p.next(at(26*time.Second), true)
	must.True(t, awake)
	must.False(t, dead)
	_, _, dead = p.next(at(29*time.Second), true)
	must.False(t, dead)
	_, _, dead = p.next(at(29500*time.Millisecond), true)
	must.True(t, dead)
}

// Guards against heartbeats on links that carry other frames anyway: a leader with a thousand entries
// sent and received two thousand a second. When the frames stop, a heartbeat must follow within two
// intervals.
func TestFramesReplaceHeartbeats(t *testing.T) {
	const interval = 400 * time.Millisecond
	var p heartbeat
	now := time.Unix(1000, 0)
	p.start(now)
	lastFrame, lastTick := now, now
	for ; now.Before(time.Unix(1010, 0)); now = now.Add(time.Millisecond) {
		if now.Sub(lastFrame) >= interval {
			p.recordSent(now)
			lastFrame = now
		}
		if now.Sub(lastTick) >= PingEvery {
			lastTick = now
			beat, awake, _ := p.next(now, true)
			must.True(t, awake)
			must.False(t, beat, must.Sprint(now))
		}
	}
	for beat := false; !beat; {
		lastTick = lastTick.Add(PingEvery)
		beat, _, _ = p.next(lastTick, true)
		must.LessEq(t, 2*PingEvery, lastTick.Sub(lastFrame))
	}
}

// Guards against a goroutine for each pending call of a peer. A scheduler has thousands of pending
// calls in a burst; when all were answered at once, so many goroutines woke that heartbeats of the
// process were a second late. Each call must get its own reply.
func TestCallsWithoutGoroutines(t *testing.T) {
	const calls = 500
	var mu sync.Mutex
	waiting := map[*wire.Frame]func(*wire.Frame){}
	later := func(_ context.Context, f *wire.Frame, reply func(*wire.Frame)) bool {
		mu.Lock()
		defer mu.Unlock()
		waiting[f] = reply
		return true
	}
	to := listen(t, func(conn net.Conn) {
		l, err := Accept(conn, ack, later)
		must.NoError(t, err)
		t.Cleanup(func() { _ = l.Close(); l.Wait() })
	})
	l := dial(t, to, ack)
	answers := make(chan uint64, calls)
	var all sync.WaitGroup
	for n := range uint64(calls) {
		all.Go(func() {
			r, err := l.Call(t.Context(), query(n))
			must.NoError(t, err)
			must.Eq(t, n, r.GetConfigQuery().GetVersion())
			answers <- n
		})
	}
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(waiting)
	}
	for count() < calls {
		runtime.Gosched()
	}
	must.Less(t, 3*calls/2, runtime.NumGoroutine(), must.Sprint("one a caller, none a call that waits here"))
	mu.Lock()
	for f, reply := range waiting {
		reply(f)
	}
	mu.Unlock()
	all.Wait()
	must.Eq(t, calls, len(answers))
}

// Guards against links that use more memory than a hub has. A hub holds a link for each entry; two
// thousand links must fit in half of 268 MB, half of a VM with 536 MB, because the collector may
// need as much again.
func TestMemoryOfIdleLinks(t *testing.T) {
	const links, perLink = 100, 67 << 10
	to := serve(t, ack)
	used := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	before := used()
	for range links {
		l := dial(t, to, ack)
		_, err := l.Call(t.Context(), query(1))
		must.NoError(t, err)
	}
	each := (used() - before) / (2 * links) // Both ends are in this process.
	t.Logf("%d bytes for an end of a link", each)
	must.Less(t, perLink, each)
}
