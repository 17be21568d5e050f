// Package resume lets a stand-in continue a stream after its connection broke. The run continues in the engine,
// so resuming the stream is not a second run.
package resume

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"azurelane/core/answer"
	"azurelane/io/flight"
)

const (
	// Header is a header of a request without a body, which asks for the rest of the stream of the
	// same request ID from a byte on. The answer repeats the header.
	Header = "Azurelane-Resume-From"

	requestHeader = "Azurelane-Request"
)

type (
	// Resume wraps the handler of a stand-in. Its exported fields are set before use.
	Resume struct {
		http.Handler
		Grace time.Duration // Time for which a run continues without a reader.

		mu   sync.Mutex
		runs map[string]*run // By request ID.
	}

	run struct {
		flight.Flight
		readers int
		cancel  context.CancelFunc
	}

	// writer is the handler's side of a run.
	writer struct {
		*run
		header http.Header
		begun  bool
	}
)

// Header returns the header of the answer.
func (w *writer) Header() http.Header { return w.header }

// WriteHeader starts the answer.
func (w *writer) WriteHeader(status int) {
	w.begun = true
	_ = w.Head(&answer.Answer{Status: status, Header: w.header.Clone(), Streamed: true})
}

// Write appends to the answer.
func (w *writer) Write(p []byte) (int, error) {
	w.begin()
	return w.run.Write(p) //nolint:wrapcheck // A plain writer.
}

// begin starts the answer of a handler that gives no status.
func (w *writer) begin() {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
}

// Flush does nothing.
func (w *writer) Flush() {}

// ServeHTTP runs a request, or resumes its stream.
func (s *Resume) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, from := r.Header.Get(requestHeader), 0
	if id == "" {
		s.Handler.ServeHTTP(w, r)
		return
	}
	var t *run
	if h := r.Header.Get(Header); h != "" {
		n, err := strconv.Atoi(h)
		if t = s.find(id); t == nil || err != nil || n < 0 {
			http.Error(w, "resume: no such run", http.StatusNotFound)
			return
		}
		from = n
		w.Header().Set(Header, h)
	} else {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, "resume: body not read", http.StatusBadRequest)
			return
		}
		t = s.begin(id, r, body)
	}
	defer s.leave(id, t)
	follow(w, r, t, from)
}

// begin starts a run that continues if its connection breaks.
func (s *Resume) begin(id string, r *http.Request, body []byte) *run {
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	t := &run{readers: 1, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[string]*run{}
	}
	s.runs[id] = t
	in := r.Clone(ctx)
	in.Body = io.NopCloser(bytes.NewReader(body))
	go func() {
		defer cancel()
		w := &writer{run: t, header: http.Header{}}
		s.Handler.ServeHTTP(w, in)
		w.begin()
		outcome := "whole"
		if ctx.Err() != nil {
			outcome = "unknown"
		}
		t.End(outcome, nil)
	}()
	return t
}

func (s *Resume) find(id string) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.runs[id]
	if t != nil {
		t.readers++
	}
	return t
}

// leave ends a run that has had no reader for Grace.
func (s *Resume) leave(id string, t *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.readers--; t.readers > 0 {
		return
	}
	time.AfterFunc(s.Grace, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if t.readers == 0 {
			t.cancel()
			delete(s.runs, id)
		}
	})
}

func follow(w http.ResponseWriter, r *http.Request, t *run, seen int) {
	if a, err := t.Next(r.Context(), 0); err != nil || seen > len(a.Body) {
		http.Error(w, "resume: not that far", http.StatusRequestedRangeNotSatisfiable)
		return
	}
	for begun := false; ; begun = true {
		a, err := t.Next(r.Context(), seen)
		if err != nil {
			return
		}
		if !begun {
			head(w, a, seen)
		}
		seen += len(a.Body)
		if _, err = w.Write(a.Body); err == nil {
			err = http.NewResponseController(w).Flush()
		}
		if a.Ended() && a.Outcome != "whole" {
			panic(http.ErrAbortHandler)
		}
		if err != nil || a.Ended() {
			return
		}
	}
}

// head writes the head of an answer. One whose status none can have ends without an answer.
func head(w http.ResponseWriter, a answer.Answer, seen int) {
	if !answer.ValidStatus(a.Status) {
		panic(http.ErrAbortHandler)
	}
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	if seen > 0 {
		w.Header().Del("Content-Length") // It is the length of the complete answer.
	}
	w.WriteHeader(a.Status)
}
