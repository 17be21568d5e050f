package pipe_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/io/pipe"
)

// Guards against taking a partial stream for complete if the connection closes without an error. A stream is
// complete only with its end mark on a line of its own. In the fourth case a model has written the mark as text
// and the stream was cut after it.
func TestCopyKnowsWhole(t *testing.T) {
	for _, tc := range []struct {
		name    string
		body    string
		want    error
		byClose error // The same if the answer ends with its connection.
	}{
		{"whole", "data: {\"a\":1}\n\ndata: [DONE]\n\n", nil, nil},
		{"only the mark", "data: [DONE]\n\n", nil, nil},
		{"cut", "data: {\"a\":1}\n\n", pipe.ErrCut, pipe.ErrCut},
		{"mark as text", "data: {\"a\":\"data: [DONE]", pipe.ErrCut, pipe.ErrCut},
		{"mark with CRLF", "data: {\"a\":1}\r\n\r\ndata: [DONE]\r\n\r\n", nil, nil},
		{"empty", "", pipe.ErrCut, pipe.ErrCut},
		{"long line", "data: " + strings.Repeat("x", 40000) + "\n\ndata: [DONE]\n\n", nil, nil},
		{"no blank line", "data: {}\n\ndata: [DONE]\n", nil, pipe.ErrCut},
		{"no line end", "data: {}\n\ndata: [DONE]", nil, pipe.ErrCut},
		{"half a blank line", "data: {}\r\n\r\ndata: [DONE]\r\n\r", nil, pipe.ErrCut},
		{"blank lines", "data: {}\n\ndata: [DONE]\n\n\n", nil, nil},
	} {
		for byClose, want := range map[bool]error{false: tc.want, true: tc.byClose} {
			for _, r := range []io.Reader{strings.NewReader(tc.body), iotest.OneByteReader(strings.NewReader(tc.body))} {
				var out bytes.Buffer
				p := pipe.Pipe{W: &out, Stream: true, ByClose: byClose}
				must.ErrorIs(t, p.Copy(r), want, must.Sprint(tc.name, byClose))
				must.Eq(t, tc.body, out.String(), must.Sprint(tc.name))
			}
		}
	}
}

// Guards against an answer that fills the entry's memory, with and without a stated size.
func TestReadAllBounds(t *testing.T) {
	for _, tc := range []struct {
		n, size, limit int64
		want           error
	}{
		{100, 100, 100, nil},
		{100, -1, 100, nil},
		{5000, -1, 5000, nil},
		{101, 101, 100, pipe.ErrLarge},
		{101, -1, 100, pipe.ErrLarge},
		{0, 0, 100, nil},
	} {
		var p pipe.Pipe
		data, err := p.ReadAll(strings.NewReader(strings.Repeat("x", int(tc.n))), tc.size, tc.limit)
		must.ErrorIs(t, err, tc.want)
		if tc.want == nil {
			must.Eq(t, int(tc.n), len(data))
		}
	}
}

type slowWriter struct{ took time.Duration }

func (s slowWriter) Write(p []byte) (int, error) {
	time.Sleep(s.took)
	return len(p), nil
}

// Guards against a slow caller that makes its upstream count as silent, so that the answer is lost. The caller
// takes ten minutes for each part. An upstream that sends one part and no more must still be detected.
func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := pipe.Pipe{W: slowWriter{10 * time.Minute}, Silence: time.Second, Silent: func() { t.Error("taken for silent") }}
		must.NoError(t, p.Copy(iotest.OneByteReader(strings.NewReader("abc"))))

		r, w := io.Pipe()
		go func() { _, _ = w.Write([]byte("part")) }()
		start := time.Now()
		p = pipe.Pipe{W: io.Discard, Silence: time.Second, Silent: func() { _ = w.CloseWithError(io.ErrClosedPipe) }}
		must.ErrorIs(t, p.Copy(r), io.ErrClosedPipe)
		must.Eq(t, time.Second, time.Since(start))
	})
}
