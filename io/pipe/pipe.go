// Package pipe forwards an upstream's answer and checks that it is complete.
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
	ErrCaller = errors.New("pipe: caller gone")      // The caller did not accept the answer.
	ErrLarge  = errors.New("pipe: answer too large") // The answer exceeds its limit.
	ErrSilent = errors.New("pipe: upstream silent")
)

// endMark ends a stream of server-sent events in OpenAI's published format. It counts only on a line of its own:
// text of a model may contain the same bytes, and a stream that is cut after them would count as complete.
// Line breaks within an event are escaped, so text never begins a line.
var endMark = []byte("\ndata: [DONE]")

const (
	bufSize = 16 << 10
	// eventEnds is the number of line ends after an event: that of its last line and a blank line.
	eventEnds = 2
)

var bufs = sync.Pool{New: func() any { return new([bufSize]byte) }}

// Pipe copies one answer. Its exported fields are set before use.
type Pipe struct {
	W       io.Writer
	Flush   func() error  // Called after each write; nil for none.
	Stream  bool          // The answer is a stream of server-sent events with an end mark.
	ByClose bool          // The answer ends with its connection, so that its last event may be cut.
	Silence time.Duration // Timeout of a read.
	Silent  func()        // Called after the timeout; it must make the read return.

	First  time.Time // Time of the first byte; zero before.
	Bytes  int64     // Bytes written by Copy.
	silent atomic.Bool
	tail   []byte
	quiet  *time.Timer
}

// Copy forwards body until its end, after each read. It returns errors of the upstream's side, also for a missing
// end mark, and ErrCaller for errors of the caller's side. It may be called again with the rest of the answer.
func (p *Pipe) Copy(body io.Reader) error {
	defer p.stop()
	buf := bufs.Get().(*[bufSize]byte) //nolint:forcetypeassert // Only such are put there.
	defer bufs.Put(buf)
	if p.Bytes == 0 {
		p.tail = append(p.tail[:0], '\n') // The answer starts at the beginning of a line.
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

// failed returns the error of a read, which says whether its timeout ended it.
func (p *Pipe) failed(err error) error {
	if p.silent.Load() {
		err = fmt.Errorf("%w: %w", ErrSilent, err)
	}
	return fmt.Errorf("pipe: read: %w", err)
}

// ReadAll reads a complete answer of at most limit bytes. A size of zero or more is the size stated by the
// upstream.
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

// read waits at most Silence for the next bytes. Time in which a write waits for the caller does not count, so
// that a slow caller does not make the upstream count as silent.
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
	// The end mark may arrive in two reads, so the last bytes of the previous one are kept.
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
	if !p.Stream {
		return nil
	}
	lines := bytes.TrimRight(p.tail, "\r\n")
	ends := bytes.Count(p.tail[len(lines):], []byte("\n"))
	if !bytes.HasSuffix(lines, endMark) || (p.ByClose && ends < eventEnds) {
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
