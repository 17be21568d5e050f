package mesh

import (
	"context"
	"net"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
)

// once is a listener with one connection. At the next Accept it checks whether the mesh counts that
// connection.
type once struct {
	conn    net.Conn
	ended   chan struct{}
	given   bool
	counted func() bool
	looked  chan bool
}

func (o *once) Accept() (net.Conn, error) {
	if !o.given {
		o.given = true
		return o.conn, nil
	}
	o.looked <- o.counted()
	<-o.ended
	return nil, net.ErrClosed
}

func (o *once) Close() error {
	select {
	case <-o.ended:
	default:
		close(o.ended)
	}
	return nil
}

func (o *once) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a stopping mesh that counts as idle before it has registered a connection that was
// just accepted: the call of its peer would be lost.
func TestAcceptedConnectionsCountAtOnce(t *testing.T) {
	for range 5 {
		here, there := net.Pipe()
		ln := &once{conn: here, ended: make(chan struct{}), looked: make(chan bool, 1)}
		m := &Mesh{Listen: ln, Log: logr.Discard()}
		ln.counted = func() bool { return !m.idle() }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- m.Serve(ctx) }()
		must.True(t, <-ln.looked)
		cancel()
		_ = there.Close()
		must.ErrorIs(t, <-done, context.Canceled)
	}
}
