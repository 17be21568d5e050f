package ends_test

import (
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/io/ends"
)

// kernel is a connection that reports a reset to the write that is under way, and an end to reads.
type kernel struct {
	net.Conn

	takes time.Duration // By a write.
	err   error         // Of writes.
	read  error
}

func (k *kernel) Read([]byte) (int, error) { return 0, k.read }

func (k *kernel) Write(p []byte) (int, error) {
	time.Sleep(k.takes)
	if k.err != nil {
		return 0, k.err
	}
	return len(p), nil
}

// Guards against a reset that is read as an end, whether the write that was told of it has returned or not.
func TestEndAfterWrite(t *testing.T) {
	for _, tc := range []struct {
		name   string
		conn   kernel
		readAt time.Duration
		want   error
		took   time.Duration
	}{
		{name: "end", conn: kernel{read: io.EOF}, readAt: time.Second, want: io.EOF},
		{name: "a write has failed", conn: kernel{err: syscall.ECONNRESET, read: io.EOF}, readAt: time.Second, want: ends.ErrReset},
		{name: "a write is about to fail", conn: kernel{takes: 20 * time.Millisecond, err: syscall.EPIPE, read: io.EOF}, readAt: 10 * time.Millisecond, want: ends.ErrReset, took: 10 * time.Millisecond},
		{name: "a write is about to succeed", conn: kernel{takes: 20 * time.Millisecond, read: io.EOF}, readAt: 10 * time.Millisecond, want: io.EOF, took: 10 * time.Millisecond},
		{name: "a write hangs", conn: kernel{takes: time.Minute, read: io.EOF}, readAt: time.Second, want: ends.ErrReset, took: time.Second},
		{name: "the read is told of the reset", conn: kernel{read: syscall.ECONNRESET}, readAt: time.Second, want: syscall.ECONNRESET},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &ends.Conn{Conn: &tc.conn}
				var wg sync.WaitGroup
				defer wg.Wait()
				wg.Go(func() { _, _ = c.Write([]byte("x")) })
				time.Sleep(tc.readAt)
				start := time.Now()
				_, err := c.Read(make([]byte, 1))
				must.ErrorIs(t, err, tc.want)
				must.Eq(t, tc.took, time.Since(start))
			})
		})
	}
}
