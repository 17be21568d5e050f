package client_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/io/client"
)

const (
	uploadSize   = 2 << 20
	uploadPart   = 16 << 10
	resetSends   = 60
	resetCallers = 4
)

// upload is a body that its reader gets in parts, with a pause before each.
type upload struct {
	left  int
	pause time.Duration
}

func (u *upload) Read(p []byte) (int, error) {
	if u.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(u.pause)
	n := min(len(p), uploadPart, u.left)
	clear(p[:n])
	u.left -= n
	return n, nil
}

// earlyServer answers each request at once, before it has read the body, and then calls end.
func earlyServer(t *testing.T, answer string, end func(c *net.TCPConn, r *http.Request)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReaderSize(c, 1<<10))
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n%s", client.Header, r.Header.Get(client.Header), answer)
				end(c.(*net.TCPConn), r)
			})
		}
	})
	t.Cleanup(func() { _ = ln.Close(); wg.Wait() })
	return ln.Addr().String()
}

// sendUpload returns the body of the answer to an upload.
func sendUpload(addr string, size int, pause time.Duration) (string, error) {
	c := &client.Client{}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/", io.NopCloser(&upload{size, pause}))
	if err != nil {
		return "", err
	}
	r.ContentLength = int64(size)
	r.Header.Set(client.Header, "1")
	resp, _, err := c.Send(ctx, r)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// Guards against a part of an answer without a length that counts as whole, because the write of the upload was told
// of the reset and the read was told of an end.
func TestResetDuringUpload(t *testing.T) {
	for _, tc := range []struct {
		pause, after time.Duration
		closes       bool // The kernel resets the connection only if it has bytes that were not read.
	}{
		{pause: 0, after: time.Millisecond},
		{pause: 0, after: 20 * time.Millisecond},
		{pause: 50 * time.Microsecond},
		{pause: 50 * time.Microsecond, after: time.Millisecond},
		{pause: 50 * time.Microsecond, after: 20 * time.Millisecond},
		{pause: time.Millisecond},
		{pause: time.Millisecond, after: time.Millisecond},
		{pause: time.Millisecond, after: 20 * time.Millisecond},
		{pause: time.Millisecond, closes: true},
		{pause: time.Millisecond, after: 20 * time.Millisecond, closes: true},
	} {
		t.Run(fmt.Sprintf("pause %s, after %s, closes %t", tc.pause, tc.after, tc.closes), func(t *testing.T) {
			t.Parallel()
			addr := earlyServer(t, "a part", func(c *net.TCPConn, _ *http.Request) {
				time.Sleep(tc.after)
				if !tc.closes {
					_ = c.SetLinger(0)
				}
			})
			var whole atomic.Int64
			var wg sync.WaitGroup
			for range resetCallers {
				wg.Go(func() {
					for range resetSends / resetCallers {
						if _, err := sendUpload(addr, 2<<20, tc.pause); err == nil {
							whole.Add(1)
						}
					}
				})
			}
			wg.Wait()
			must.Eq(t, 0, whole.Load(), must.Sprintf("of %d answers", resetSends))
		})
	}
}

// Guards against a whole answer without a length that counts as cut, because the server reads the rest of the upload
// after it.
func TestAnswerBeforeEndOfUpload(t *testing.T) {
	addr := earlyServer(t, "whole", func(c *net.TCPConn, r *http.Request) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body)
	})
	for _, pause := range []time.Duration{0, 50 * time.Microsecond} {
		got, err := sendUpload(addr, 512<<10, pause) // It is written well within a second.
		must.NoError(t, err)
		must.Eq(t, "whole", got)
	}
}
