package front_test

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/refuse"
	"azurelane/io/front"
)

// Guards against an answer that a caller gets although its head is not well-formed, and against a caller that gets
// none.
func TestMalformedHead(t *testing.T) {
	for _, tc := range []struct {
		name, head string
	}{
		{"status 000", "HTTP/1.1 000 X\r\n"},
		{"status 099", "HTTP/1.1 099 X\r\n"},
		{"status with a sign", "HTTP/1.1 +20 X\r\n"},
		{"status 101", "HTTP/1.1 101 X\r\n"},
		{"status 600", "HTTP/1.1 600 X\r\n"},
		{"blank after a name", "HTTP/1.1 200 X\r\nX-A : 1\r\n"},
		{"blank in a name", "HTTP/1.1 200 X\r\nContent-Type x: text/plain\r\n"},
		{"blank after chunked coding", "HTTP/1.1 200 X\r\nTransfer-Encoding : chunked\r\n"},
		{"control byte in a name", "HTTP/1.1 200 X\r\nX\x01A: 1\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for _, a := range []ask{{}, {stream: true}, {key: "k"}, {stream: true, key: "k-2"}} {
				s := newSite(t, 1)
				response := tc.head + front.HeaderRequest + ": ID\r\nContent-Length: 2\r\n\r\n{}"
				newCutUpstream(t, s, response)
				a.header = http.Header{cutAt: {strconv.Itoa(len(response))}}
				for range 2 { // With a key, the second one gets what was kept.
					r := s.entries[0].ask(a)
					must.NoError(t, r.err)
					must.Eq(t, http.StatusBadGateway, r.status)
					r.refused(t, refuse.UpstreamLost, "unknown", "")
				}
			}
		})
	}
}
