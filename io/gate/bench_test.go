package gate

import (
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// BenchmarkRepeatable measures a request through an entry: a stream of 32 events that may go on elsewhere, and
// a plain request that may repeat.
func BenchmarkRepeatable(b *testing.B) {
	const events = 32
	for _, route := range []string{"resume", "again"} {
		b.Run(route, func(b *testing.B) {
			s := newTestGate(b, newUpstream(b, func(n int, r *http.Request, w io.Writer) bool {
				if route == "again" {
					return respondText("ok")(n, r, w)
				}
				writeEvents(r, w, 1, events, true)
				return true
			}))
			for b.Loop() {
				must.NoError(b, s.do("POST", "/"+route+"/x").err)
			}
		})
	}
}
