package load

import (
	"io"
	"net/http"
)

const headerOutcome = "Azurelane-Outcome"

// outcome reads an answer to its end and says how the request ended. A stream
// names its outcome in the trailer, so one that broke off has none.
func outcome(resp *http.Response) string {
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "broken"
	}
	if o := resp.Trailer.Get(headerOutcome); o != "" {
		return o
	}
	if o := resp.Header.Get(headerOutcome); o != "" {
		return o
	}
	return "direct"
}
