package front

import (
	"net/http"
	"strings"
)

// inner lists headers that concern one connection or azurelane itself and are
// passed on in neither direction.
var inner = map[string]bool{
	// Of one connection, as RFC 9110 has them.
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	// The client account's key is for azurelane alone: an upstream that saw it
	// could act as that account.
	"Authorization": true,
	// All services share one host name, so a browser would carry one service's
	// cookies to the others.
	"Cookie": true, "Set-Cookie": true,
	// Whoever passes a request on says so itself; a caller's word counts for nothing.
	"Forwarded": true, "X-Forwarded-For": true, "X-Forwarded-Host": true, "X-Forwarded-Proto": true, "X-Real-Ip": true,
	// A compressed stream's end mark can't be checked.
	"Accept-Encoding": true,
	// Set anew at each hop.
	"Content-Length": true, "Host": true, "Traceparent": true, "Tracestate": true, "Date": true,
}

const ownPrefix = "Azurelane-"

// passOn returns the headers that go to the other side.
func passOn(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !inner[name] && !strings.HasPrefix(name, ownPrefix) {
			out[name] = values
		}
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return out
}
