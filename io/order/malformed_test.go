package order_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"azurelane/io/order"
)

// Guards against an order that counts as done, or as failed, by an answer that is not well-formed: the next one would
// be sent while the upstream may still be at it.
func TestMalformedAnswerKeepsOthersOut(t *testing.T) {
	nobody := netip.MustParseAddrPort("127.0.0.1:1") // An order that may start is open there.
	const end = "Content-Length: 0\r\n\r\n"
	for _, tc := range []struct {
		name, answer string
		want         error
	}{
		{"whole", "HTTP/1.1 204 X\r\n\r\n", nil},
		{"refused", "HTTP/1.1 409 X\r\n" + end, order.ErrFailed},
		{"status 000", "HTTP/1.1 000 X\r\n" + end, order.ErrOpen},
		{"status 101", "HTTP/1.1 101 X\r\n" + end, order.ErrOpen},
		{"status with a sign", "HTTP/1.1 +20 X\r\n" + end, order.ErrOpen},
		{"status 600", "HTTP/1.1 600 X\r\n" + end, order.ErrOpen},
		{"blank after a name", "HTTP/1.1 200 X\r\nX-A : 1\r\n" + end, order.ErrOpen},
		{"refused, blank after a name", "HTTP/1.1 409 X\r\nX-A : 1\r\n" + end, order.ErrOpen},
		{"cut", "HTTP/1.1 200 X\r\n", order.ErrOpen},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer func() { _ = ln.Close() }()
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, tc.answer)
				}
			}()
			log := &fakeLog{}
			_, err = run(t.Context(), "a", log, netip.MustParseAddrPort(ln.Addr().String()), false)
			must.ErrorIs(t, err, tc.want)
			_, err = run(t.Context(), "b", log, nobody, false)
			if errors.Is(tc.want, order.ErrOpen) {
				must.ErrorIs(t, err, order.ErrWait)
			} else {
				must.ErrorIs(t, err, order.ErrOpen)
			}
		})
	}
}
