package front

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json"

	"azurelane/core/refuse"
)

const (
	chatPath      = "/v1/chat/completions"
	servicePrefix = "/svc/"
	bytesPerToken = 4    // Rough size of a token in English and German text.
	defaultAnswer = 256  // Tokens, when the caller sets no limit.
	prefixBytes   = 1024 // Of the prompt, for the prefix hash.
)

// chat is what azurelane reads of a chat completion request.
type chat struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           int64  `json:"max_tokens"`
	MaxCompletionTokens int64  `json:"max_completion_tokens"`
}

// route finds the pool and estimates the cost. A service gets the path as the
// caller wrote it, because it may tell %2F from a slash.
func (q *request) route() error {
	path := q.r.URL.EscapedPath()
	if path == chatPath {
		return q.routeChat()
	}
	rest, ok := strings.CutPrefix(path, servicePrefix)
	if !ok {
		return refuse.New(refuse.NotFound, "no such path", 0)
	}
	name, tail, _ := strings.Cut(rest, "/")
	p, ok := q.index.Service(name)
	if !ok {
		return refuse.New(refuse.NotFound, "no service "+name, 0)
	}
	q.path = "/" + tail
	q.ticket.Pool = p
	q.ticket.PromptTokens, q.ticket.AnswerTokens = 1, 1
	return nil
}

func (q *request) routeChat() error {
	if q.r.Method != http.MethodPost {
		return refuse.New(refuse.BadRequest, "expected POST", 0)
	}
	var c chat
	if err := json.Unmarshal(q.body, &c); err != nil {
		return refuse.New(refuse.BadRequest, "expected a JSON object with model and messages", 0)
	}
	p, ok := q.index.Model(c.Model)
	if !ok {
		return refuse.New(refuse.NotFound, "no model "+c.Model, 0)
	}
	q.path = chatPath
	q.stream = c.Stream
	q.ticket.Pool, q.ticket.Model = p, c.Model
	q.ticket.PromptTokens = int64(len(q.body)/bytesPerToken) + 1
	q.ticket.AnswerTokens = max(c.MaxTokens, c.MaxCompletionTokens)
	if q.ticket.GetAnswerTokens() == 0 {
		q.ticket.AnswerTokens = defaultAnswer
	}
	// The prompt's beginning stands after the first bracket of "messages"; keys
	// before it differ between callers of the same prompt.
	start := max(bytes.IndexByte(q.body, '['), 0)
	q.ticket.PrefixHash = xxhash.Sum64(q.body[start:min(start+prefixBytes, len(q.body))])
	return nil
}
