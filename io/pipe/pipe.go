// Package pipe passes an upstream's answer on and checks that it is whole.
package pipe

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Errors of Copy and ReadAll.
var (
	ErrCut    = errors.New("pipe: answer ended without its end mark")
	ErrCaller = errors.New("pipe: caller gone")      // The answer was not taken.
	ErrLarge  = errors.New("pipe: answer too large") // It is over its limit.
	ErrSilent = errors.New("pipe: upstream silent")
)

// endMark closes a stream of server-sent events in OpenAI's published form. It
// counts only on a line of its own: text that a model writes may hold the same
// bytes, and a stream cut right behind them would pass for whole. Inside an
// event line breaks are escaped, so no text can begin a line.
var endMark = []byte("\ndata: [DONE]")

const bufSize = 16 << 10

var bufs = sync.Pool{New: func() any { return new([bufSize]byte) }}

// Pipe copies one answer. The exported fields are set before use.
type Pipe struct {
	W       io.Writer
	Flush   func() error  // Called after each write; nil for none.
	Stream  bool          // Server-sent events: expect the end mark.
	Silence time.Duration // Longest wait for one read.
	Silent  func()        // Called when a read took longer; it must make the read return.

	First  time.Time // When the first byte came; zero before.
	Bytes  int64     // Passed on by Copy.
	silent atomic.Bool
	tail   []byte
	quiet  *time.Timer
}

// Copy passes body on until its end, each read at once. An error of the
// upstream's side and a missing end mark come back as errors, the caller's side
// as ErrCaller. It may be called again with the rest of the same answer.
func (p *Pipe) Copy(body io.Reader) error {
	defer p.stop()
	buf := bufs.Get().(*[bufSize]byte) //nolint:forcetypeassert // Only such are put there.
	defer bufs.Put(buf)
	if p.Bytes == 0 {
		p.tail = append(p.tail[:0], '\n') // The first line begins a line, too.
	}
	for {
		n, err := p.read(body, buf[:])
		if n > 0 {
			p.note(buf[:n])
			if werr := p.write(buf[:n]); werr != nil {
				return werr
			}
			p.Bytes += int64(n)
		}
		if errors.Is(err, io.EOF) {
			return p.end()
		}
		if err != nil {
			return p.failed(err)
		}
	}
}

// failed is the error of a read, which names the silence that ended it.
func (p *Pipe) failed(err error) error {
	if p.silent.Load() {
		err = fmt.Errorf("%w: %w", ErrSilent, err)
	}
	return fmt.Errorf("pipe: read: %w", err)
}

// ReadAll reads a whole answer of at most limit bytes. A size of zero or more
// is what the upstream said it would be.
func (p *Pipe) ReadAll(body io.Reader, size, limit int64) ([]byte, error) {
	defer p.stop()
	if size > limit {
		return nil, ErrLarge
	}
	data := make([]byte, 0, max(min(size, limit), bytes.MinRead)+1)
	for {
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, err := p.read(body, data[len(data):cap(data)])
		data = data[:len(data)+n]
		if int64(len(data)) > limit {
			return nil, ErrLarge
		}
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, p.failed(err)
		}
	}
}

// read waits at most Silence for the next bytes. The clock stands while a
// write waits for the caller, so that a slow caller doesn't pass for a silent
// upstream.
func (p *Pipe) read(body io.Reader, buf []byte) (int, error) {
	if p.Silence > 0 {
		if p.quiet == nil {
			p.silent.Store(false)
			end := p.Silent
			p.quiet = time.AfterFunc(p.Silence, func() {
				p.silent.Store(true)
				end()
			})
		} else {
			p.quiet.Reset(p.Silence)
		}
		defer p.quiet.Stop()
	}
	n, err := body.Read(buf)
	if n > 0 && p.First.IsZero() {
		p.First = time.Now()
	}
	return n, err //nolint:wrapcheck // The callers wrap it.
}

func (p *Pipe) write(data []byte) error {
	_, err := p.W.Write(data)
	if err == nil && p.Flush != nil {
		err = p.Flush()
	}
	if errors.Is(err, ErrLarge) {
		return err
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrCaller, err)
	}
	return nil
}

func (p *Pipe) note(data []byte) {
	if !p.Stream {
		return
	}
	// The end mark may come in two reads, so the last bytes of the former are kept.
	const keep = 64
	if len(data) > keep {
		data = data[len(data)-keep:]
	}
	p.tail = append(p.tail, data...)
	if n := len(p.tail) - keep; n > 0 {
		p.tail = append(p.tail[:0], p.tail[n:]...)
	}
}

func (p *Pipe) end() error {
	if p.Stream && !bytes.HasSuffix(bytes.TrimRight(p.tail, "\r\n"), endMark) {
		return ErrCut
	}
	return nil
}

func (p *Pipe) stop() {
	if p.quiet != nil {
		p.quiet.Stop()
		p.quiet = nil
	}
}
