package lease

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/conf"
	"azurelane/core/pool"
	"azurelane/core/wire"
)

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Guards against callers' requests that are sent to a stranger which announces itself as an upstream: without
// a key, with that of another pool, or with the address of a third server for a pool without a key.
func TestWhoMayJoin(t *testing.T) {
	cfg := &conf.Config{Pools: map[string]pool.Pool{
		"alerts": {AnnounceKey: digest("right")}, "quotes": {AnnounceKey: digest("other")}, "open": {},
	}}
	for _, tc := range []struct {
		name, pools, address, key string
		cfg                       *conf.Config
		want                      int
	}{
		{"no configuration yet", `["alerts"]`, "192.0.2.1:80", "right", nil, http.StatusServiceUnavailable},
		{"right key", `["alerts"]`, "192.0.2.1:80", "right", cfg, http.StatusNoContent},
		{"right key, other address", `["alerts"]`, "192.0.2.9:80", "right", cfg, http.StatusNoContent},
		{"no key", `["alerts"]`, "192.0.2.1:80", "", cfg, http.StatusUnauthorized},
		{"wrong key", `["alerts"]`, "192.0.2.1:80", "wrong", cfg, http.StatusUnauthorized},
		{"key of one pool of two", `["alerts","quotes"]`, "192.0.2.1:80", "right", cfg, http.StatusUnauthorized},
		{"open pool beside one with a key", `["open","alerts"]`, "192.0.2.1:80", "", cfg, http.StatusUnauthorized},
		{"open pool", `["open"]`, "192.0.2.1:80", "", cfg, http.StatusNoContent},
		{"open pool, third server", `["open"]`, "192.0.2.9:80", "", cfg, http.StatusForbidden},
		{"no such pool", `["none"]`, "192.0.2.1:80", "", cfg, http.StatusNotFound},
		{"any address", `["alerts"]`, "0.0.0.0:80", "right", cfg, http.StatusBadRequest},
		{"multicast", `["alerts"]`, "224.0.0.1:80", "right", cfg, http.StatusBadRequest},
		{"no port", `["alerts"]`, "192.0.2.1:0", "right", cfg, http.StatusBadRequest},
		{"a name", `["alerts"]`, "localhost:80", "right", cfg, http.StatusBadRequest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			taken := 0
			l := &Lease{
				Config: func() *conf.Config { return tc.cfg },
				Take:   func(context.Context, *wire.Announce) error { taken++; return nil },
			}
			r := httptest.NewRequest(http.MethodPost, Path, strings.NewReader(`{"upstream":"u","pools":`+tc.pools+`,"address":"`+tc.address+`"}`))
			if tc.key != "" {
				r.Header.Set("Authorization", "Bearer "+tc.key)
			}
			w := httptest.NewRecorder() // The request comes from 192.0.2.1.
			l.ServeHTTP(w, r)
			must.Eq(t, tc.want, w.Code)
			must.Eq(t, tc.want == http.StatusNoContent, taken == 1)
		})
	}
}
