package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Answer is what a client saw of one attempt.
type Answer struct {
	ID      string
	Sent    time.Time // When its last byte was sent.
	Ended   time.Time
	Status  int  // Zero if no header came.
	Whole   bool // The whole answer came.
	Header  http.Header
	Body    string
	Err     string
	Dropped bool // No connection, or it was not sent whole.
}

// Request is one attempt of a client.
type Request struct {
	ID, Method, Host, Path string
	Header                 map[string]string
	Body                   string
	Deadline               time.Duration
}

// Send sends a request to an entry on a new connection and waits for its answer until the deadline.
func (f *Fleet) Send(g *Process, q Request) Answer {
	a := Answer{ID: q.ID}
	end := time.Now().Add(q.Deadline)
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", g.IP, FrontPort), time.Second)
	if err != nil {
		a.Dropped, a.Err, a.Ended = true, err.Error(), time.Now()
		f.Rec.Add("client: no connection for %s: %v", q.ID, err)
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAzurelane-Attempt-Id: %s\r\nAzurelane-Deadline-Ms: %d\r\n", q.Method, q.Path, q.Host, q.ID, q.Deadline.Milliseconds())
	for k, v := range q.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if q.Body != "" || q.Method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n" + q.Body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		a.Dropped, a.Err, a.Ended = true, err.Error(), time.Now()
		return a
	}
	a.Sent = time.Now()
	f.Rec.Add("client sends %s to %s: %s %s%s", q.ID, g.Name, q.Method, q.Host, q.Path)
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.Method})
	if err != nil {
		a.Ended, a.Err = time.Now(), err.Error()
		f.Rec.Add("client: the connection of %s ends without an answer, %.3f s after its last byte was sent: %v", q.ID, a.Ended.Sub(a.Sent).Seconds(), err)
		return a
	}
	defer resp.Body.Close()
	a.Status, a.Header = resp.StatusCode, resp.Header
	data, err := io.ReadAll(resp.Body)
	a.Ended, a.Body, a.Whole = time.Now(), string(data), err == nil
	if err != nil {
		a.Err = err.Error()
	}
	f.Rec.Add("client gets %d for %s after %.3f s, whole %t, signature %q, retry after %q, %d bytes: %.80q", a.Status, q.ID, a.Ended.Sub(a.Sent).Seconds(), a.Whole,
		resp.Header.Get("Azurelane-Response-Signature"), resp.Header.Get("Retry-After"), len(data), data)
	return a
}
