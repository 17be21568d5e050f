// Package fault makes a stand-in upstream answer wrongly on demand.
package fault

import (
	"bytes"
	"fmt"
	"net/http"
)

// Header of a request names the fault of its answer.
const Header = "X-Fault"

// The faults. In each the request has run.
const (
	Lost     = "lost"      // The connection closes without an answer.
	Cut      = "cut"       // It closes in the middle of the answer.
	Short    = "short"     // The answer ends in good order, but in its middle.
	NoLength = "no-length" // Half of an answer that says neither its length nor its end.
	Foreign  = "foreign"   // The answer names another request.
	Double   = "double"    // The whole answer comes twice.
	Mute     = "mute"      // No answer, and the connection stays open.
	Stall    = "stall"     // Half of the answer, and the connection stays open.
)

type (
	// Fault wraps a stand-in's handler.
	Fault struct {
		http.Handler
	}

	// tape holds the answer that the stand-in gave.
	tape struct {
		header http.Header
		status int
		bytes.Buffer
	}
)

// Header is the header of the taped answer.
func (t *tape) Header() http.Header { return t.header }

// WriteHeader tapes the status.
func (t *tape) WriteHeader(status int) { t.status = status }

// Flush has nothing to do.
func (t *tape) Flush() {}

// ServeHTTP runs the request and plays its answer with the fault that the
// request names, or as it is. What continues a stream goes well.
func (f *Fault) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind := r.Header.Get(Header)
	if kind == "" || r.Header.Get("Azurelane-Resume-From") != "" {
		f.Handler.ServeHTTP(w, r)
		return
	}
	t := &tape{header: w.Header(), status: http.StatusOK}
	f.Handler.ServeHTTP(t, r)
	all := t.Bytes()
	half := all[:len(all)/2]
	switch kind {
	case Lost:
		panic(http.ErrAbortHandler)
	case Mute:
		<-r.Context().Done()
	case Cut:
		t.play(w, half)
		panic(http.ErrAbortHandler)
	case Stall:
		t.play(w, half)
		<-r.Context().Done()
	case Short:
		t.header.Del("Content-Length")
		t.play(w, half)
	case Foreign:
		t.header.Set("Azurelane-Request", "another-1")
		t.play(w, all)
	case NoLength:
		raw(w, fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n%s", half))
	case Double:
		one := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nAzurelane-Request: %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
			t.header.Get("Azurelane-Request"), t.header.Get("Content-Type"), len(all), all)
		raw(w, append(one, one...))
	default:
		http.Error(w, "fault: no fault "+kind, http.StatusInternalServerError)
	}
}

func (t *tape) play(w http.ResponseWriter, body []byte) {
	w.WriteHeader(t.status)
	_, _ = w.Write(body)
	_ = http.NewResponseController(w).Flush()
}

// raw writes bytes to the connection as they are and closes it.
func raw(w http.ResponseWriter, out []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = conn.Write(out)
	_ = conn.Close()
}
