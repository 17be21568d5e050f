package front

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"azurelane/core/conf"
	"azurelane/core/refuse"
	"azurelane/core/wire"
)

const (
	chatPath      = "/v1/chat/completions"
	servicePrefix = "/svc/"
	bodyTime      = 30 * time.Second // A caller's time to send its body.
	bytesPerToken = 4                // Rough size of a token in English and German text.
	defaultAnswer = 256              // Tokens, when the caller sets no limit.
	prefixBytes   = 1024             // Of the prompt, for the prefix hash.
)

// chat is what azurelane reads of a chat completion request.
type chat struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           int64  `json:"max_tokens"`
	MaxCompletionTokens int64  `json:"max_completion_tokens"`
}

// read authenticates the caller and fills in the ticket and the body.
func (q *request) read() error {
	cfg := q.front.Config()
	if cfg == nil {
		return refuse.New(refuse.NotReady, "no configuration yet", time.Second)
	}
	q.cfg = cfg
	if err := q.authenticate(); err != nil {
		return err
	}
	if err := q.front.take(q.account, q.limits); err != nil {
		return err
	}
	q.taken = true
	if err := q.headers(); err != nil {
		return err
	}
	if err := q.readBody(); err != nil {
		return err
	}
	return q.route()
}

func (q *request) authenticate() error {
	key, ok := strings.CutPrefix(q.r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return refuse.New(refuse.BadKey, "expected Authorization: Bearer KEY", 0)
	}
	sum := sha256.Sum256([]byte(key))
	name, ok := accountOf(q.cfg, hex.EncodeToString(sum[:]))
	if !ok {
		return refuse.New(refuse.BadKey, "no client account has this key", 0)
	}
	q.account = name
	q.limits = q.cfg.Accounts[name].WithDefaults()
	return nil
}

func accountOf(cfg *conf.Config, sum string) (string, bool) {
	for name, a := range cfg.Accounts {
		if strings.EqualFold(a.KeySHA256, sum) {
			return name, true
		}
	}
	return "", false
}

func (q *request) headers() error {
	h := q.r.Header
	name := h.Get(HeaderTier)
	t, ok := q.cfg.Tiers[name]
	switch {
	case name == "":
		q.ticket.Tier = wire.Tier_TIER_NORMAL
	case !ok:
		return refuse.New(refuse.BadRequest, "no tier "+name, 0)
	case !q.mayUse(name):
		return refuse.New(refuse.Forbidden, "the account may not use tier "+name, 0)
	default:
		q.ticket.Tier = t.Wire()
	}
	limit := t.Deadline
	if s := h.Get(HeaderDeadline); s != "" {
		d, err := time.ParseDuration(s)
		if err != nil || d <= 0 {
			return refuse.New(refuse.BadRequest, "azurelane-deadline: expected a span like 1.5s", 0)
		}
		limit = d
	}
	if limit > 0 {
		q.deadline = q.start.Add(limit)
	}
	switch h.Get(HeaderRepeatable) {
	case "", "yes":
		q.ticket.Repeatable = true
	case "no":
	default:
		return refuse.New(refuse.BadRequest, "azurelane-repeatable: expected yes or no", 0)
	}
	q.key = h.Get(HeaderKey)
	return nil
}

func (q *request) mayUse(tier string) bool {
	if len(q.limits.Tiers) == 0 {
		return true
	}
	for _, t := range q.limits.Tiers {
		if t == tier {
			return true
		}
	}
	return false
}

func (q *request) readBody() error {
	if q.r.ContentLength > q.limits.MaxBody {
		return refuse.New(refuse.TooLarge, fmt.Sprintf("at most %d bytes", q.limits.MaxBody), 0)
	}
	// A caller that sends its body slowly must not hold a connection and its
	// account's share for ever.
	_ = http.NewResponseController(q.w).SetReadDeadline(q.start.Add(bodyTime))
	body, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, q.limits.MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse.New(refuse.TooLarge, fmt.Sprintf("at most %d bytes", q.limits.MaxBody), 0)
	}
	if err != nil {
		return refuse.New(refuse.BadRequest, "body not read", 0)
	}
	_ = http.NewResponseController(q.w).SetReadDeadline(time.Time{})
	if err := q.front.takeBytes(q.account, q.limits, int64(len(body))); err != nil {
		return err
	}
	q.body = body
	return nil
}

// route finds the pool and estimates the cost.
func (q *request) route() error {
	path := q.r.URL.Path
	if path == chatPath {
		return q.routeChat()
	}
	rest, ok := strings.CutPrefix(path, servicePrefix)
	if !ok {
		return refuse.New(refuse.NotFound, "no such path", 0)
	}
	name, _, _ := strings.Cut(rest, "/")
	p, ok := q.cfg.PoolOfService(name)
	if !ok {
		return refuse.New(refuse.NotFound, "no service "+name, 0)
	}
	q.path = strings.TrimPrefix(path, servicePrefix+name)
	if q.path == "" {
		q.path = "/"
	}
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
		return refuse.New(refuse.BadRequest, "expected a JSON object: "+err.Error(), 0)
	}
	p, ok := q.cfg.PoolOfModel(c.Model)
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
