package gate

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
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

// BenchmarkPlacement measures a plain request from its arrival to its response, which an upstream on
// loopback creates at once.
func BenchmarkPlacement(b *testing.B) {
	for _, bm := range []struct {
		name      string
		scheduled bool
	}{{"placed by the entry", false}, {"with a ticket", true}} {
		b.Run(bm.name, func(b *testing.B) {
			up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(idHeader, r.Header.Get(idHeader))
				w.Header().Set(genuineHeader, "m")
				_, _ = io.WriteString(w, "ok")
			}))
			defer up.Close()
			s := newTestGate(b, &upstream{Listener: up.Listener})
			if bm.scheduled {
				s.withScheduler(func(*wire.Ticket) (*wire.Grant, error) {
					return &wire.Grant{Slot: 1, Owner: "owner", Upstream: "up-0", Address: up.Listener.Addr().String()}, nil
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				r := httptest.NewRequest(http.MethodPost, "http://h/once/x", strings.NewReader("text"))
				r.Header.Set("Authorization", "Bearer "+key)
				r.Header.Set(idHeader, "1")
				w := httptest.NewRecorder()
				s.ServeHTTP(w, r)
				if w.Code != http.StatusOK {
					b.Fatal(w.Code, w.Body.String())
				}
			}
		})
	}
}
