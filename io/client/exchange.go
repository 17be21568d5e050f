package client

import (
	"sync"

	"github.com/pkg/errors"
)

var errSealed = errors.New("client: request given up before it was written")

// exchange knows how much of one request was written, on any connection, and how its answer begins. It belongs to the
// request: the transport may give the request's connection to another one before it reports how this one ended.
type exchange struct {
	mu       sync.Mutex
	written  int64
	sealed   bool
	complete bool    // All of the request was written.
	old      oldHead // Of the answer.
}

// record counts bytes that are about to be written. It fails once the request is sealed.
func (e *exchange) record(n int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sealed {
		return errSealed
	}
	e.written += int64(n)
	return nil
}

// seal returns how many bytes were written, and makes sure that none is from then on if none was: net/http may give up
// on a request while its own goroutine is about to write it, and a request placed again in that moment would run twice.
func (e *exchange) seal() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sealed = e.written == 0
	return e.written
}

// finish records that all of the request was written.
func (e *exchange) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.complete = true
}

// finished reports whether all of the request was written.
func (e *exchange) finished() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.complete
}

// heard records bytes of the answer.
func (e *exchange) heard(p []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.old.add(p)
}

// hasOldCoding reports whether the answer names a transfer coding in HTTP/1.0.
func (e *exchange) hasOldCoding() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.old.encoded()
}
