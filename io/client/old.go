package client

import "bytes"

const (
	oldBegin  = "HTTP/1.0"
	codingKey = "\ntransfer-encoding:"
)

// oldHead collects the head of an answer if that is in HTTP/1.0. net/http drops a transfer coding from such a head and
// takes what is encoded for the body.
type oldHead struct {
	head []byte
	done bool // It is complete, or not in HTTP/1.0.
}

// add adds bytes of an answer.
func (o *oldHead) add(p []byte) {
	if len(o.head) == 0 && len(p) >= len(oldBegin) && !bytes.HasPrefix(p, []byte(oldBegin)) {
		o.done = true // Most answers, of which nothing is copied.
	}
	if o.done {
		return
	}
	o.head = append(o.head, p...)
	if n := min(len(o.head), len(oldBegin)); string(o.head[:n]) != oldBegin[:n] {
		*o = oldHead{done: true}
		return
	}
	o.done = len(o.head) > headerLimit || headEnd(o.head) >= 0
}

// encoded reports whether the head names a transfer coding.
func (o *oldHead) encoded() bool {
	return bytes.Contains(bytes.ToLower(o.head[:max(headEnd(o.head), 0)]), []byte(codingKey))
}

// headEnd returns the length of the lines of a head that has ended, or -1.
func headEnd(b []byte) int {
	crlf, lf := bytes.Index(b, []byte("\n\r\n")), bytes.Index(b, []byte("\n\n"))
	if crlf < 0 || (lf >= 0 && lf < crlf) {
		return lf
	}
	return crlf
}
