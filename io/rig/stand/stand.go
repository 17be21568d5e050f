// Package stand serves a stand-in over HTTP: chat completions in OpenAI's
// published form, plain calls on every other path, and a journal of what ran.
package stand

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json"

	"azurelane/io/rig/engine"
	"azurelane/io/rig/record"
)

const (
	headerRequest = "Azurelane-Request"
	headerKey     = "Idempotency-Key"
	journalPath   = "/journal"
	bytesPerToken = 4
	defaultTokens = 32
	prefixBytes   = 1024
	echoBytes     = 64      // Of a plain call, sent back.
	echoMark      = "echo " // A prompt that begins so is the first token of its answer.
)

type (
	// Stand is the HTTP handler of one stand-in. Its exported fields are set
	// before use.
	Stand struct {
		*engine.Engine
		Chunk int64 // Tokens in one event of a stream, and in one wait; 0 counts as 1.

		mu      sync.Mutex
		journal []record.Record
	}

	chat struct {
		Model     string    `json:"model"`
		Stream    bool      `json:"stream"`
		MaxTokens int64     `json:"max_tokens"`
		Messages  []message `json:"messages"`
	}

	message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	choice struct {
		Index        int      `json:"index"`
		Message      *message `json:"message,omitempty"`
		Delta        *message `json:"delta,omitempty"`
		FinishReason string   `json:"finish_reason,omitzero"`
	}

	usage struct {
		Prompt     int64 `json:"prompt_tokens"`
		Completion int64 `json:"completion_tokens"`
	}

	completion struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage,omitempty"`
	}
)

// ServeHTTP runs one request.
func (s *Stand) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == journalPath {
		s.serveJournal(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "engine: body not read", http.StatusBadRequest)
		return
	}
	n := s.note(r)
	if id := r.Header.Get(headerRequest); id != "" {
		w.Header().Set(headerRequest, id)
	}
	if !s.Enter(r.Context()) {
		return
	}
	ok := false
	// Deferred, so that a request that panics in the handler frees its place.
	defer func() {
		if ok {
			s.finish(n)
		}
		s.Leave(ok)
	}()
	if strings.HasSuffix(r.URL.Path, "/chat/completions") {
		ok = s.chat(w, r, body)
	} else {
		ok = s.plain(w, r, body)
	}
}

// plain answers a plain service's call with what it was sent.
func (s *Stand) plain(w http.ResponseWriter, r *http.Request, body []byte) bool {
	if !s.Decode(r.Context(), 1) {
		return false
	}
	w.Header().Set("Content-Type", "application/json")
	_, err := fmt.Fprintf(w, "{\"service\":%q,\"path\":%q,\"bytes\":%d,\"request\":%q,\"echo\":%q}\n",
		s.Name, r.URL.Path, len(body), r.Header.Get(headerRequest), body[:min(echoBytes, len(body))])
	return err == nil
}

func (s *Stand) chat(w http.ResponseWriter, r *http.Request, body []byte) bool {
	var c chat
	if err := json.Unmarshal(body, &c); err != nil {
		http.Error(w, "engine: "+err.Error(), http.StatusBadRequest)
		return true
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultTokens
	}
	prompt := int64(len(body)/bytesPerToken) + 1
	work, ok := s.Read(r.Context(), xxhash.Sum64(body[:min(prefixBytes, len(body))]), prompt)
	if !ok {
		return false
	}
	out := completion{ID: r.Header.Get(headerRequest), Object: "chat.completion", Model: c.Model}
	if c.Stream {
		ok = s.stream(w, r, c, out)
	} else {
		ok = s.whole(w, r, c, out, prompt)
	}
	if !ok {
		s.Waste(work)
	}
	return ok
}

func (s *Stand) whole(w http.ResponseWriter, r *http.Request, c chat, out completion, prompt int64) bool {
	var text strings.Builder
	ok := s.generate(r.Context(), c, func(part string) bool {
		text.WriteString(part)
		return true
	})
	if !ok {
		return false
	}
	out.Choices = []choice{{Message: &message{"assistant", text.String()}, FinishReason: "length"}}
	out.Usage = &usage{prompt, c.MaxTokens}
	data, err := json.Marshal(out)
	if err != nil {
		return false
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, err = w.Write(data)
	return err == nil
}

func (s *Stand) stream(w http.ResponseWriter, r *http.Request, c chat, out completion) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	out.Object = "chat.completion.chunk"
	flush := http.NewResponseController(w)
	ok := s.generate(r.Context(), c, func(part string) bool {
		out.Choices = []choice{{Delta: &message{"assistant", part}}}
		data, err := json.Marshal(out)
		if err != nil {
			return false
		}
		_, err = fmt.Fprintf(w, "data: %s\n\n", data)
		return err == nil && flush.Flush() == nil
	})
	if !ok {
		return false
	}
	_, err := io.WriteString(w, "data: [DONE]\n\n")
	return err == nil
}

// generate decodes the answer and hands it on in parts, each when it is ready.
// It returns false when the caller leaves or a part can't be taken.
func (s *Stand) generate(ctx context.Context, c chat, take func(part string) bool) bool {
	chunk := max(s.Chunk, 1)
	for i := int64(0); i < c.MaxTokens; i += chunk {
		n := min(chunk, c.MaxTokens-i)
		if !s.Decode(ctx, n) || !take(c.part(i, n)) {
			return false
		}
	}
	return true
}

func (s *Stand) note(r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.journal = append(s.journal, record.Record{Request: r.Header.Get(headerRequest), Key: r.Header.Get(headerKey), Path: r.URL.Path, Arrived: time.Now()})
	return len(s.journal) - 1
}

func (s *Stand) finish(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.journal[n].Finished = true
}

// Journal lists every run, in order of arrival.
func (s *Stand) Journal() []record.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.journal)
}

func (s *Stand) serveJournal(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, s.Journal())
}

// echo is what the answer begins with in place of its first token, so that a
// caller can tell its answer from others; nothing without the echo mark.
func (c *chat) echo() (string, bool) {
	if len(c.Messages) == 0 {
		return "", false
	}
	return strings.CutPrefix(c.Messages[len(c.Messages)-1].Content, echoMark)
}

// part is n tokens of the answer, from the i-th on.
func (c *chat) part(i, n int64) string {
	if word, ok := c.echo(); ok && i == 0 {
		return word + " " + tokens(1, n-1)
	}
	return tokens(i, n)
}

// tokens writes n tokens from the i-th on.
func tokens(i, n int64) string {
	var b strings.Builder
	for k := i; k < i+n; k++ {
		b.WriteString("t" + strconv.FormatInt(k, 10) + " ")
	}
	return b.String()
}
