package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// attempt is one request of a client and what came of it.
	attempt struct {
		id, path, kind string
		gate           string
		sent, answered time.Duration // Since the start of the record.
		status         int           // Zero for none.
		whole          bool          // The whole response has come.
		signature      string
		body           []byte
		err            string
		kept           bool // On a connection that had carried another request.
	}

	// callers is a group of clients. Each sends one request after the other on a connection that it keeps.
	callers struct {
		f    *fleet
		mu   sync.Mutex
		all  []*attempt
		stop chan struct{}
		wg   sync.WaitGroup
	}

	// request is what a client sends.
	request struct {
		method, path, kind string
		body               []byte
		tokens             string // Prompt and answer; empty for none.
		deadline           time.Duration
		extra              string // More header lines.
	}
)

func (f *fleet) newCallers() *callers { return &callers{f: f, stop: make(chan struct{})} }

// begin starts a client of a gate that sends what next returns.
func (c *callers) begin(gate *proc, pause time.Duration, next func() request) {
	c.wg.Go(func() {
		var conn net.Conn
		var rd *bufio.Reader
		used := false
		for {
			select {
			case <-c.stop:
				if conn != nil {
					_ = conn.Close()
				}
				return
			case <-time.After(time.Duration(float64(pause) * (0.5 + rand.Float64()))):
			}
			if conn == nil {
				nc, err := net.DialTimeout("tcp", gate.addr(0), time.Second)
				if err != nil {
					continue
				}
				conn, rd, used = nc, bufio.NewReader(nc), false
			}
			keep := c.send(gate, conn, rd, next(), used)
			used = true
			if !keep {
				_ = conn.Close()
				conn = nil
			}
		}
	})
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request and reports whether the connection can be kept.
func (c *callers) send(gate *proc, conn net.Conn, rd *bufio.Reader, q request, used bool) bool {
	a := &attempt{id: newID(), path: q.path, kind: q.kind, gate: gate.name, kept: used}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s%s HTTP/1.1\r\nHost: %s\r\nAzurelane-Attempt-Id: %s\r\nAzurelane-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", q.method, q.path, "2f", host, a.id, q.deadline.Milliseconds(), apiKey)
	if q.tokens != "" {
		fmt.Fprintf(&b, "Azurelane-Model: m\r\nAzurelane-Token-Usage: %s\r\nAzurelane-Prompt-Prefix: 5c1e07a2:60,%s:100\r\n", q.tokens, a.id[:8])
	}
	if q.body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString(q.extra)
	b.WriteString("\r\n")
	b.Write(q.body)
	c.mu.Lock()
	c.all = append(c.all, a)
	c.mu.Unlock()
	_ = conn.SetDeadline(time.Now().Add(q.deadline + 2*time.Second))
	a.sent = c.f.rec.now()
	if _, err := conn.Write(b.Bytes()); err != nil {
		a.answered, a.err = c.f.rec.now(), "write: "+err.Error()
		return false
	}
	resp, err := http.ReadResponse(rd, &http.Request{Method: q.method})
	if err != nil {
		a.answered, a.err = c.f.rec.now(), "read: "+err.Error()
		return false
	}
	a.status, a.signature = resp.StatusCode, resp.Header.Get("Azurelane-Response-Signature")
	a.body, err = io.ReadAll(resp.Body)
	a.answered = c.f.rec.now()
	if err != nil {
		a.err = "body: " + err.Error()
		return false
	}
	a.whole = true
	return !resp.Close
}

// end stops the clients.
func (c *callers) end() []*attempt {
	close(c.stop)
	c.wg.Wait()
	return c.all
}

// lastEvent returns the id of the last event of a stream, and whether the ids grow by one from 1.
func lastEvent(body []byte) (last int, sound bool) {
	for _, e := range strings.Split(string(body), "\n\n") {
		id, rest, ok := strings.Cut(e, "\n")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(strings.TrimPrefix(id, "id: "))
		if err != nil || n != last+1 || rest != fmt.Sprintf("data: piece %d of the stream", n) {
			return last, false
		}
		last = n
	}
	return last, true
}

// Requests of the sheet.
func checkin() request {
	return request{method: "POST", path: "/cuti104/", kind: "non_idempotent", body: bytes.Repeat([]byte("c"), 600), deadline: time.Second}
}

func alert() request {
	return request{method: "GET", path: "/lo20/", kind: "idempotent", deadline: time.Second}
}

func takeoff(events int) request {
	return request{method: "POST", path: "/pufi791/", kind: "resumable", body: bytes.Repeat([]byte("t"), 24000), tokens: fmt.Sprintf("660,%d", events*eventTokens), deadline: 10 * time.Second}
}

func quote(events int) request {
	return request{method: "POST", path: "/bopu901/", kind: "stream", body: bytes.Repeat([]byte("q"), 1700), tokens: fmt.Sprintf("628,%d", events*eventTokens), deadline: 8 * time.Second}
}
