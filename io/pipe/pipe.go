// Package pipe passes an upstream's answer on and checks that it is whole.
package pipe

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// ErrCut is returned when a stream ended without its end mark.
var ErrCut = errors.New("pipe: answer ended without its end mark")

// endMark closes a stream of server-sent events in OpenAI's published form.
var endMark = []byte("data: [DONE]")

const bufSize = 16 << 10

// Pipe copies one answer. The exported fields are set before use.
type Pipe struct {
	W      http.ResponseWriter
	Stream bool   // Server-sent events: flush each read, expect the end mark.
	Touch  func() // Called at each read that brought bytes.

	Bytes int64
	First time.Time // When the first byte came; zero before.
	tail  []byte
}

// Copy passes body on until its end. An error of the upstream's side and a
// missing end mark come back as errors; the caller's side is told by
// ErrCaller.
func (p *Pipe) Copy(body io.Reader) error {
	flush := http.NewResponseController(p.W)
	buf := make([]byte, bufSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			p.note(buf[:n])
			if _, werr := p.W.Write(buf[:n]); werr != nil {
				return fmt.Errorf("%w: %w", ErrCaller, werr)
			}
			if p.Stream {
				if ferr := flush.Flush(); ferr != nil {
					return fmt.Errorf("%w: %w", ErrCaller, ferr)
				}
			}
		}
		if errors.Is(err, io.EOF) {
			return p.end()
		}
		if err != nil {
			return fmt.Errorf("pipe: read: %w", err)
		}
	}
}

// ErrCaller marks an answer that the caller did not take.
var ErrCaller = errors.New("pipe: caller gone")

func (p *Pipe) note(data []byte) {
	if p.First.IsZero() {
		p.First = time.Now()
	}
	p.Bytes += int64(len(data))
	if p.Touch != nil {
		p.Touch()
	}
	if !p.Stream {
		return
	}
	// The end mark may come in two reads, so the last bytes of the former are kept.
	const keep = 64
	p.tail = append(p.tail, data...)
	if len(p.tail) > keep {
		p.tail = append(p.tail[:0], p.tail[len(p.tail)-keep:]...)
	}
}

func (p *Pipe) end() error {
	if p.Stream && !bytes.HasSuffix(bytes.TrimRight(p.tail, "\r\n"), endMark) {
		return ErrCut
	}
	return nil
}
