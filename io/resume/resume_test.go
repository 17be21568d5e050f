package resume_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/io/resume"
)

// Guards against an answer with a status that none can have, of which the caller gets a 200.
func TestStatus(t *testing.T) {
	for _, tc := range []struct {
		name   string
		handle func(w http.ResponseWriter)
		want   int // Zero for no answer.
	}{
		{"none given", func(w http.ResponseWriter) { _, _ = io.WriteString(w, "text") }, 200},
		{"nothing written", func(http.ResponseWriter) {}, 200},
		{"404", func(w http.ResponseWriter) { w.WriteHeader(http.StatusNotFound) }, 404},
		{"000", func(w http.ResponseWriter) { w.WriteHeader(0); _, _ = io.WriteString(w, "text") }, 0},
		{"099", func(w http.ResponseWriter) { w.WriteHeader(99); _, _ = io.WriteString(w, "text") }, 0},
		{"101", func(w http.ResponseWriter) { w.WriteHeader(http.StatusSwitchingProtocols) }, 0},
		{"600", func(w http.ResponseWriter) { w.WriteHeader(600) }, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			srv := httptest.NewServer(&resume.Resume{
				Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { tc.handle(w) }), Grace: time.Minute,
			})
			defer srv.Close()
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL, http.NoBody)
			must.NoError(t, err)
			r.Header.Set("Azurelane-Request", "1")
			status := 0
			if resp, err := http.DefaultClient.Do(r); err == nil {
				status = resp.StatusCode
				_ = resp.Body.Close()
			}
			must.Eq(t, tc.want, status)
		})
	}
}
