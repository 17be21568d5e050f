package admin

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/io/stats"
)

// Draining takes a VM out of service, so only operators may ask for it; what
// shows no account's data is open to health checks and collectors.
func TestGuard(t *testing.T) {
	sum := sha256.Sum256([]byte("secret"))
	hash := hex.EncodeToString(sum[:])
	verified := &tls.ConnectionState{VerifiedChains: [][]*x509.Certificate{{{}}}}
	const near, far = "127.0.0.1:5", "10.0.0.9:5"
	for _, tc := range []struct {
		name, method, path, token string
		from, header, origin      string
		tls                       *tls.ConnectionState
		want                      int
	}{
		{name: "nothing set up, same VM", from: near, want: http.StatusAccepted},
		{name: "nothing set up, other VM", from: far, want: http.StatusUnauthorized},
		{name: "browser page on the same VM", from: near, origin: "http://evil.example", want: http.StatusForbidden},
		{name: "token", token: hash, from: far, header: "Bearer secret", want: http.StatusAccepted},
		{name: "wrong token", token: hash, from: far, header: "Bearer guess", want: http.StatusUnauthorized},
		{name: "no token, same VM", token: hash, from: near, want: http.StatusUnauthorized},
		{name: "the hash itself", token: hash, from: far, header: "Bearer " + hash, want: http.StatusUnauthorized},
		{name: "certificate", token: hash, from: far, tls: verified, want: http.StatusAccepted},
		{name: "TLS without certificate", from: near, tls: &tls.ConnectionState{}, want: http.StatusUnauthorized},
		{name: "information", method: http.MethodGet, path: "/v1/info", token: hash, from: far, want: http.StatusUnauthorized},
		{name: "metrics", method: http.MethodGet, path: "/metrics", token: hash, from: far, want: http.StatusOK},
		{name: "readiness", method: http.MethodGet, path: "/ready", token: hash, from: far, want: http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.method == "" {
				tc.method, tc.path = http.MethodPost, "/v1/drain"
			}
			drained := false
			a := &Admin{Stats: stats.New(), Token: tc.token, Drain: func() { drained = true }}
			r := httptest.NewRequest(tc.method, tc.path, http.NoBody)
			r.RemoteAddr, r.TLS = tc.from, tc.tls
			r.Header.Set("Authorization", tc.header)
			if tc.origin != "" {
				r.Header.Set("Origin", tc.origin)
			}
			w := httptest.NewRecorder()
			a.Handler().ServeHTTP(w, r)
			must.Eq(t, tc.want, w.Code)
			must.Eq(t, tc.want == http.StatusAccepted, drained)
		})
	}
}
