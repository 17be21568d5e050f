package client_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against an answer that is taken although its head is not well-formed: nothing shows what it means, or where
// its body ends.
func TestMalformedHead(t *testing.T) {
	const length = "Content-Length: 4\r\n"
	for _, tc := range []struct {
		name, status, header string
		ok                   bool
	}{
		{name: "whole", status: "HTTP/1.1 200 OK", header: length, ok: true},
		{name: "no reason", status: "HTTP/1.1 200", header: length, ok: true},
		{name: "HTTP/1.0", status: "HTTP/1.0 200 OK", header: length, ok: true},
		{name: "unknown status", status: "HTTP/1.1 299 X", header: length, ok: true},
		{name: "highest status", status: "HTTP/1.1 599 X", header: length, ok: true},
		{name: "after an interim one", status: "HTTP/1.1 199 X\r\n\r\nHTTP/1.1 404 X", header: length, ok: true},
		{name: "status 000", status: "HTTP/1.1 000 X", header: length},
		{name: "status 001", status: "HTTP/1.1 001 X", header: length},
		{name: "status 099", status: "HTTP/1.1 099 X", header: length},
		{name: "status 600", status: "HTTP/1.1 600 X", header: length},
		{name: "status 999", status: "HTTP/1.1 999 X", header: length},
		{name: "status with a sign", status: "HTTP/1.1 +20 X", header: length},
		{name: "status with a minus", status: "HTTP/1.1 -20 X", header: length},
		{name: "status of two digits", status: "HTTP/1.1 20 X", header: length},
		{name: "status of four digits", status: "HTTP/1.1 2000 X", header: length},
		{name: "status 101", status: "HTTP/1.1 101 X", header: length},
		{name: "status 101 that names a protocol", status: "HTTP/1.1 101 X", header: "Connection: Upgrade\r\nUpgrade: websocket\r\n"},
		{name: "another version", status: "HTTP/2.0 200 OK", header: length},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := serve(t, func(_ int64, r *http.Request) string {
				return tc.status + "\r\n" + strings.Split(echo(r, ""), "\r\n")[1] + "\r\n" + tc.header + "\r\ntext"
			})
			got, sent, err := u.ask(http.MethodPost, "1", "x")
			must.True(t, sent || tc.ok)
			must.Eq(t, tc.ok, err == nil, must.Sprint(got, err))
			if tc.ok {
				must.Eq(t, "text", got)
			}
			must.Eq(t, 1, u.requests.Load())
		})
	}
}
