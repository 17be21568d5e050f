package client_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/io/client"
)

const (
	cutAt      = "X-Cut-At" // Bytes of the response that are sent.
	cutByReset = "X-Cut-By-Reset"
	cutWorkers = 16
	cutTries   = 5
)

// cutServer answers requests without cutAt whole, and ends its connection inside the others' responses. It counts the
// requests of the connections on which it does.
func cutServer(t *testing.T, response string) (addr string, requests *sync.Map) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	requests = &sync.Map{}
	serveCut := func(c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		br := bufio.NewReader(c)
		for n := 1; ; n++ {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if r.Header.Get(cutAt) == "" {
				_, _ = io.WriteString(c, echo(r, "ok"))
				continue
			}
			requests.Store(r.Header.Get(client.Header), n)
			at, _ := strconv.Atoi(r.Header.Get(cutAt))
			_, _ = io.WriteString(c, strings.ReplaceAll(response, "ID", r.Header.Get(client.Header))[:at])
			if r.Header.Get(cutByReset) != "" {
				time.Sleep(2 * time.Millisecond) // Else the reset may overtake the response.
				_ = c.SetLinger(0)
			}
			return
		}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveCut(c.(*net.TCPConn))
		}
	}()
	return ln.Addr().String(), requests
}

// cut is one response that ends early.
type cut struct {
	at          int
	reset, kept bool
}

// ask returns the body of the response, after two whole ones on a kept connection.
func (k cut) ask(c *client.Client, addr, id string) (body string, err error) {
	c.Close()
	if k.kept {
		for range 2 { // The first one shows that the upstream repeats ids.
			if _, err := k.send(c, addr, "00", false); err != nil {
				return "", fmt.Errorf("before: %w", err)
			}
		}
	}
	return k.send(c, addr, id, true)
}

// askAgain asks until the request has come as planned: as the first of its connection, or on a kept one. On a busy
// machine connections take too long to open, or are not kept. It also returns which request of its connection it was.
// What may show a fault is not asked again: a response, or a complete one that failed.
func (k cut) askAgain(c *client.Client, addr, id string, complete bool, requests *sync.Map) (body string, n any, err error) {
	for range cutTries {
		requests.Delete(id)
		body, err = k.ask(c, addr, id)
		n, _ = requests.Load(id)
		planned := n != nil && k.kept == (n != 1)
		if planned || err == nil || (n != nil && complete) {
			break
		}
	}
	return body, n, err
}

func (k cut) send(c *client.Client, addr, id string, early bool) (body string, err error) {
	r, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/", strings.NewReader("text"))
	r.Header.Set(client.Header, id)
	if early {
		r.Header.Set(cutAt, strconv.Itoa(k.at))
	}
	if k.reset {
		r.Header.Set(cutByReset, "1")
	}
	resp, _, err := c.Send(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// Guards against a response that is cut short, in its head or its body, and is read as whole.
func TestCutResponses(t *testing.T) {
	const text = "the whole answer"
	chunks := "8;name=\"v\"\r\nthe whol\r\n8\r\ne answer\r\n"
	for _, tc := range []struct {
		name, head, body, want string
		byClose                bool // A FIN in the body looks like its end.
	}{
		{name: "length", head: "HTTP/1.1 200 OK\r\nAzurelane-Request: ID\r\nContent-Length: 16\r\n\r\n", body: text, want: text},
		{name: "length, HTTP/1.0", head: "HTTP/1.0 200 OK\r\nAzurelane-Request: ID\r\nContent-Length: 16\r\n\r\n", body: text, want: text},
		{name: "length, LF only", head: "HTTP/1.1 200 OK\nAzurelane-Request: ID\nContent-Length: 16\n\n", body: text, want: text},
		{name: "length twice", head: "HTTP/1.1 200 OK\r\nAzurelane-Request: ID\r\nContent-Length: 16\r\nContent-Length: 16\r\n\r\n", body: text, want: text},
		{name: "length, folded lines", head: "HTTP/1.1 200 OK\r\nAzurelane-Request: ID\r\nX-Long: a\r\n b\r\n \r\n\tc\r\nContent-Length:\r\n 16\r\n\r\n", body: text, want: text},
		{name: "empty", head: "HTTP/1.1 200 OK\r\nAzurelane-Request: ID\r\nContent-Length: 0\r\n\r\n"},
		{name: "no content", head: "HTTP/1.1 204 No Content\r\nAzurelane-Request: ID\r\n\r\n"},
		{name: "after interim ones", head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nAzurelane-Request: ID\r\nContent-Length: 16\r\n\r\n", body: text, want: text},
		{name: "chunks", head: "HTTP/1.1 200 OK\r\nAzurelane-Request: ID\r\nTransfer-Encoding: chunked\r\n\r\n", body: chunks + "0\r\n\r\n", want: text},
		{name: "chunks, LF only head", head: "HTTP/1.1 200 OK\nAzurelane-Request: ID\nTransfer-Encoding: chunked\n\n", body: chunks + "0\r\n\r\n", want: text},
		{name: "chunks, trailers", head: "HTTP/1.1 200 OK\r\nAzurelane-Request: ID\r\nTrailer: X-End\r\nTransfer-Encoding: chunked\r\n\r\n", body: chunks + "000;e\r\nX-End: 1\r\nX-Sum: 2\r\n\r\n", want: text},
		{name: "chunks and a length", head: "HTTP/1.1 200 OK\r\nAzurelane-Request: ID\r\nContent-Length: 16\r\nTransfer-Encoding: chunked\r\n\r\n", body: chunks + "0\r\n\r\n", want: text},
		{name: "neither", head: "HTTP/1.1 200 OK\r\nAzurelane-Request: ID\r\n\r\n", body: text, byClose: true},
		{name: "neither, HTTP/1.0", head: "HTTP/1.0 200 OK\r\nAzurelane-Request: ID\r\nConnection: keep-alive\r\n\r\n", body: text, byClose: true},
		{name: "neither, LF only, after an interim one", head: "HTTP/1.1 100 Continue\n\nHTTP/1.1 200 OK\nAzurelane-Request: ID\n\n", body: text, byClose: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			response := tc.head + tc.body
			addr, requests := cutServer(t, response)
			var cuts []cut
			for at := range len(response) + 1 {
				cuts = append(cuts, cut{at: at}, cut{at: at, reset: true}, cut{at: at, kept: true}, cut{at: at, reset: true, kept: true})
			}
			var next atomic.Int64
			var wg sync.WaitGroup
			for worker := range cutWorkers {
				wg.Go(func() {
					c := &client.Client{}
					defer c.Close()
					id := strconv.Itoa(10 + worker) // As long as its place in the response.
					for n := next.Add(1); n <= int64(len(cuts)); n = next.Add(1) {
						k := cuts[n-1]
						complete := k.at == len(response) || (tc.byClose && !k.reset && k.at >= len(tc.head))
						body, n, err := k.askAgain(c, addr, id, complete, requests)
						want := tc.want
						if tc.byClose {
							want = response[min(k.at, len(tc.head)):k.at]
						}
						switch {
						case err == nil && (!complete || body != want):
							t.Errorf("%+v: %q counts as whole", k, body)
						case err != nil && complete && !k.reset:
							t.Errorf("%+v: whole, and %v", k, err)
						case n == nil || k.kept != (n != 1):
							t.Errorf("%+v: request %v of its connection, and %v", k, n, err)
						}
					}
				})
			}
			wg.Wait()
		})
	}
}
