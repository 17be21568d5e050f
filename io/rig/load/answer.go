package load

import (
	"cmp"
	"io"
	"net/http"
	"time"

	"github.com/go-json-experiment/json"

	"azurelane/io/result"
)

const (
	headerOutcome = "Azurelane-Outcome"
	headerRequest = "Azurelane-Request"
	answerBuffer  = 4 << 10
)

// refused is what is read of a refusal.
type refused struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// read reads an answer to its end and says how the request ended. A stream
// names its outcome in the trailer, so one that broke off has none.
func read(resp *http.Response, due time.Time, res *result.Result) {
	res.Request = resp.Header.Get(headerRequest)
	var body []byte
	buf := make([]byte, answerBuffer)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 && res.First == 0 {
			res.First = time.Since(due)
		}
		if len(body) < answerBuffer {
			body = append(body, buf[:n]...)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			res.Outcome = "broken"
			return
		}
	}
	res.Outcome = cmp.Or(resp.Trailer.Get(headerOutcome), resp.Header.Get(headerOutcome), "direct")
	var no refused
	if resp.StatusCode >= http.StatusBadRequest && json.Unmarshal(body, &no) == nil {
		res.Code = no.Error.Code
	}
}
