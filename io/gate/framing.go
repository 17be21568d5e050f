package gate

import (
	"net/http"
	"slices"
)

// framing says how an upstream shows where its response ends.
type framing string

const (
	framedByNothing framing = "" // There is no response.
	framedByLength  framing = "length"
	framedByChunks  framing = "chunks"
	framedByClose   framing = "close" // It ends with its connection.
)

// framingOf returns the framing of a response.
func framingOf(r *http.Response) framing {
	switch {
	case r.ContentLength >= 0, r.Body == http.NoBody:
		return framedByLength
	case slices.Contains(r.TransferEncoding, "chunked"):
		return framedByChunks
	}
	return framedByClose
}
