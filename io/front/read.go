package front

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/refuse"
	"azurelane/core/wire"
)

const (
	firstRoom = 16 << 10 // For a body of unknown length.
	maxKey    = 255      // Bytes of an idempotency key.
)

// read authenticates the caller and fills in the ticket and the body.
func (q *request) read() error {
	q.index = q.front.index()
	if q.index == nil {
		return refuse.New(refuse.NotReady, "no configuration yet", time.Second)
	}
	q.cfg = q.index.Config()
	if err := q.authenticate(); err != nil {
		return err
	}
	if err := q.headers(); err != nil {
		return err
	}
	if err := q.front.take(q); err != nil {
		return err
	}
	q.holds.Store(1)
	if err := q.readBody(); err != nil {
		return err
	}
	q.header = passOn(q.r.Header)
	return q.route()
}

func (q *request) authenticate() error {
	q.key = q.r.Header.Get(HeaderKey)
	key, ok := strings.CutPrefix(q.r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return refuse.New(refuse.BadKey, "expected Authorization: Bearer KEY", 0)
	}
	q.account, q.limits, ok = q.index.Account(sha256.Sum256([]byte(key)))
	if !ok {
		return refuse.New(refuse.BadKey, "no client account has this key", 0)
	}
	return nil
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
	if len(q.key) > maxKey {
		return refuse.New(refuse.BadRequest, fmt.Sprintf("idempotency-key: expected at most %d bytes", maxKey), 0)
	}
	return nil
}

func (q *request) mayUse(tier string) bool {
	return len(q.limits.Tiers) == 0 || slices.Contains(q.limits.Tiers, tier)
}

func (q *request) readBody() error {
	if q.r.ContentLength > q.limits.MaxBodyBytes {
		return q.tooLarge()
	}
	limit := orDefault(q.front.BodyTime, defaultBodyTime)
	ctl := http.NewResponseController(q.reply.w)
	_ = ctl.SetReadDeadline(q.start.Add(limit))
	err := q.fill(http.MaxBytesReader(q.reply.w, q.r.Body, q.limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	var refusal *refuse.Error
	switch {
	case errors.As(err, &tooLarge):
		return q.tooLarge()
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse.New(refuse.BodyLate, fmt.Sprintf("not sent within %s", limit), 0)
	case err != nil:
		return refuse.New(refuse.BadRequest, "body not read", 0)
	}
	_ = ctl.SetReadDeadline(time.Time{})
	return nil
}

func (q *request) tooLarge() error {
	return refuse.New(refuse.TooLarge, fmt.Sprintf("at most %d bytes", q.limits.MaxBodyBytes), 0)
}

// fill reads the body. Its room is counted against the account before it is
// taken: the length that the caller named, or ever larger pieces.
func (q *request) fill(r io.Reader) error {
	room := q.r.ContentLength
	if room < 0 {
		room = firstRoom
	}
	for {
		if err := q.front.takeBytes(q, room); err != nil {
			return err
		}
		q.room += room
		grown := make([]byte, len(q.body), q.room+1) // The last byte is to see the end.
		copy(grown, q.body)
		q.body = grown
		for len(q.body) < cap(q.body) {
			n, err := r.Read(q.body[len(q.body):cap(q.body)])
			q.body = q.body[:len(q.body)+n]
			if errors.Is(err, io.EOF) {
				return nil
			}
			if err != nil {
				return fmt.Errorf("front: read body: %w", err)
			}
		}
		room = q.room
	}
}
