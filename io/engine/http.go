package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json"
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
	// Server serves an engine over HTTP in OpenAI's published form, plain calls
	// on every other path, and a journal of what ran.
	Server struct {
		*Engine

		jmu     sync.Mutex
		journal []Entry
	}

	// Entry is one run in the journal.
	Entry struct {
		Request  string `json:"request"`
		Key      string `json:"key,omitzero"`
		Path     string `json:"path"`
		Finished bool   `json:"finished"`
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
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	if !s.enter(r.Context().Done()) {
		return
	}
	defer s.leave()
	s.count(func(c *Stats) { c.Started++ })
	var ok bool
	if strings.HasSuffix(r.URL.Path, "/chat/completions") {
		ok = s.chat(w, r, body)
	} else {
		ok = s.plain(w, r, body)
	}
	if ok {
		s.finish(n)
		s.count(func(c *Stats) { c.Finished++ })
		return
	}
	s.count(func(c *Stats) { c.Cancelled++ })
}

// plain answers a plain service's call with what it was sent.
func (s *Server) plain(w http.ResponseWriter, r *http.Request, body []byte) bool {
	if !pause(r.Context(), s.Step) {
		return false
	}
	w.Header().Set("Content-Type", "application/json")
	_, err := fmt.Fprintf(w, "{\"service\":%q,\"path\":%q,\"bytes\":%d,\"request\":%q,\"echo\":%q}\n",
		s.Name, r.URL.Path, len(body), r.Header.Get(headerRequest), body[:min(echoBytes, len(body))])
	return err == nil
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request, body []byte) bool {
	var c chat
	if err := json.Unmarshal(body, &c); err != nil {
		http.Error(w, "engine: "+err.Error(), http.StatusBadRequest)
		return true
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultTokens
	}
	prompt := int64(len(body)/bytesPerToken) + 1
	took, work := s.prefill(xxhash.Sum64(body[:min(prefixBytes, len(body))]), prompt)
	if !pause(r.Context(), took) {
		s.count(func(n *Stats) { n.Prompt += work; n.Wasted += work })
		return false
	}
	s.count(func(n *Stats) { n.Prompt += work })
	out := completion{ID: r.Header.Get(headerRequest), Object: "chat.completion", Model: c.Model}
	var ok bool
	if c.Stream {
		ok = s.stream(w, r, c, out)
	} else {
		ok = s.whole(w, r, c, out, prompt)
	}
	if !ok {
		s.count(func(n *Stats) { n.Wasted += work })
	}
	return ok
}

func (s *Server) whole(w http.ResponseWriter, r *http.Request, c chat, out completion, prompt int64) bool {
	var text strings.Builder
	for i := range c.MaxTokens {
		if !pause(r.Context(), s.stepTime()) {
			return false
		}
		text.WriteString(c.token(i))
	}
	s.count(func(n *Stats) { n.Generated += c.MaxTokens })
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

func (s *Server) stream(w http.ResponseWriter, r *http.Request, c chat, out completion) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	out.Object = "chat.completion.chunk"
	flush := http.NewResponseController(w)
	for i := range c.MaxTokens {
		if !pause(r.Context(), s.stepTime()) {
			return false
		}
		out.Choices = []choice{{Delta: &message{"assistant", c.token(i)}}}
		data, err := json.Marshal(out)
		if err != nil {
			return false
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return false
		}
		if err := flush.Flush(); err != nil {
			return false
		}
		s.count(func(n *Stats) { n.Generated++ })
	}
	_, err := io.WriteString(w, "data: [DONE]\n\n")
	return err == nil
}

func (s *Server) note(r *http.Request) int {
	s.jmu.Lock()
	defer s.jmu.Unlock()
	s.journal = append(s.journal, Entry{Request: r.Header.Get(headerRequest), Key: r.Header.Get(headerKey), Path: r.URL.Path})
	return len(s.journal) - 1
}

func (s *Server) finish(n int) {
	s.jmu.Lock()
	defer s.jmu.Unlock()
	s.journal[n].Finished = true
}

// Journal lists every run, in order of arrival.
func (s *Server) Journal() []Entry {
	s.jmu.Lock()
	defer s.jmu.Unlock()
	return append([]Entry(nil), s.journal...)
}

func (s *Server) serveJournal(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, s.Journal())
}

// token is the i-th token of the answer. A prompt that begins with the echo
// mark is its own first token, so that a caller can tell its answer from others.
func (c *chat) token(i int64) string {
	if n := len(c.Messages); i == 0 && n > 0 && strings.HasPrefix(c.Messages[n-1].Content, echoMark) {
		return strings.TrimPrefix(c.Messages[n-1].Content, echoMark) + " "
	}
	return token(i)
}

func token(i int64) string { return "t" + strconv.FormatInt(i, 10) + " " }

// pause waits and reports whether the caller is still there.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
