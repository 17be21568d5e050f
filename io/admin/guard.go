package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"net/netip"
	"strings"
)

const bearer = "Bearer "

// guard lets operators through: those who show a certificate of the
// deployment or the operators' token. Where neither is set up, only a caller on
// this VM is let through, so that a process that was not secured can't be
// drained from the network.
func (a *Admin) guard(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.allowed(r) {
			next(w, r)
			return
		}
		w.Header().Set("WWW-Authenticate", "Bearer")
		http.Error(w, "admin: expected the operators' token or a certificate", http.StatusUnauthorized)
	})
}

func (a *Admin) allowed(r *http.Request) bool {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		return true
	}
	if a.Token != "" {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
		sum := sha256.Sum256([]byte(token))
		return ok && subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(strings.ToLower(a.Token))) == 1
	}
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	return r.TLS == nil && err == nil && from.Addr().Unmap().IsLoopback()
}
