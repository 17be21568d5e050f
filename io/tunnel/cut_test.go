package tunnel

import (
	"bytes"
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// bytesConn is a connection of which some bytes come before its end.
type bytesConn struct {
	net.Conn
	io.Reader
	out io.Writer
}

func (c bytesConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

func (c bytesConn) Write(p []byte) (int, error) { return c.out.Write(p) }

// Guards against an answer that counts as whole because the entry that passes it on was killed: its kernel ends the
// connection at any byte.
func TestCutFrames(t *testing.T) {
	var frames bytes.Buffer
	to := &conn{Conn: bytesConn{out: &frames}}
	for _, part := range []string{"the whole", " ", "answer"} {
		_, err := io.WriteString(to, part)
		must.NoError(t, err)
	}
	must.NoError(t, to.end())
	for at := range frames.Len() + 1 {
		got, err := io.ReadAll(&conn{Conn: bytesConn{Reader: bytes.NewReader(frames.Bytes()[:at])}})
		if at == frames.Len() {
			must.NoError(t, err)
			must.Eq(t, "the whole answer", string(got))
			continue
		}
		must.ErrorIs(t, err, io.ErrUnexpectedEOF, must.Sprint(at))
	}
}
