package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// stuck is an output whose reader is blocked until it is released.
type stuck struct {
	free chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// Guards against requests that block because the reader of the output is blocked. Afterwards a line must say how many
// lines were dropped.
func TestStuckOutputStopsNobody(t *testing.T) {
	out := &stuck{free: make(chan struct{})}
	q := Queue(out)
	const lines = 3 * queueLines
	for range lines {
		n, err := q.Write([]byte("line\n"))
		must.NoError(t, err)
		must.Eq(t, 5, n)
	}
	close(out.free)
	must.NoError(t, q.Close())
	text := out.buf.String()
	must.StrContains(t, text, "Lines dropped.")
	must.Less(t, lines, strings.Count(text, "line\n"))
	must.GreaterEq(t, mostLines, strings.Count(text, "line\n"))
}

func TestQueueKeepsOrder(t *testing.T) {
	var out bytes.Buffer
	q := Queue(&out)
	for _, s := range []string{"a\n", "b\n", "c\n"} {
		_, err := q.Write([]byte(s))
		must.NoError(t, err)
	}
	must.NoError(t, q.Close())
	must.Eq(t, "a\nb\nc\n", out.String())
}
