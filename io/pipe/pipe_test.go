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

// A stream ends, as far as TCP can tell, in good order. It is whole only when
// its end mark stands on a line of its own. The fourth case is a model that
// wrote the mark as text and was cut right behind it: taken for whole, the
// caller would act on half an answer.
func TestCopyKnowsWhole(t *testing.T) {
	for _, tc := range []struct {
		name string
		body string
		want error
	}{
		{"whole", "data: {\"a\":1}\n\ndata: [DONE]\n\n", nil},
		{"only the mark", "data: [DONE]\n\n", nil},
		{"cut", "data: {\"a\":1}\n\n", pipe.ErrCut},
		{"mark as text", "data: {\"a\":\"data: [DONE]", pipe.ErrCut},
		{"mark with CRLF", "data: {\"a\":1}\r\n\r\ndata: [DONE]\r\n\r\n", nil},
		{"empty", "", pipe.ErrCut},
		{"long line", "data: " + strings.Repeat("x", 40000) + "\n\ndata: [DONE]\n\n", nil},
	} {
		for _, r := range []io.Reader{strings.NewReader(tc.body), iotest.OneByteReader(strings.NewReader(tc.body))} {
			var out bytes.Buffer
			p := pipe.Pipe{W: &out, Stream: true}
			must.ErrorIs(t, p.Copy(r), tc.want, must.Sprint(tc.name))
			must.Eq(t, tc.body, out.String(), must.Sprint(tc.name))
		}
	}
}

// An upstream's answer must not fill the entry's memory, whether it says its
// size or not.
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

// The caller takes ten minutes for each part, the upstream has long sent all.
// The upstream is not silent; counted so, its work would be thrown away. Then
// the upstream sends one part and no more: found after the limit.
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
