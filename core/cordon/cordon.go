// Package cordon implements the replicated record of cordons: which upstreams get no new requests by
// an operator's order, and until when. It is part of the replicated state machine.
package cordon

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"azurelane/core/wire"
)

// Result codes of Order and Lift.
const (
	OK           = "ok"
	Invalid      = "invalid"          // The order is malformed; the text says why.
	Unknown      = "unknown-upstream" // No upstream has the ID.
	LastUpstream = "last-upstream"    // The pool would be left without an upstream.
	Full         = "full"             // Max cordons are in force.
)

const (
	// Max limits the number of cordons. Every entry gets all of them with each change.
	Max = 1024
	// MaxLength limits the time until a cordon expires. An upstream that has to stay out of service for
	// longer should be removed from the deployment.
	MaxLength = 7 * 24 * time.Hour

	maxAuthorBytes = 100
	maxReasonBytes = 300
)

type (
	// Cordon holds the cordons by upstream. It reads no clock: the leader adds its time to each command.
	// Stored messages are replaced and never modified, because an image that is being encoded may still
	// refer to them. The zero value is empty and ready to use.
	Cordon struct {
		byID     map[string]*wire.Cordon
		revision uint64
	}

	upstreams interface {
		Find(id string) *wire.Upstream
		Since(revision uint64) (list []*wire.Upstream, full bool)
	}
)

// Order stores a cordon, which replaces an earlier one of the same upstream; the result's text names its
// author then. If the result's code is
// not OK, nothing changes. The ID is that of the command.
func (c *Cordon) Order(id string, o *wire.OrderCordon, known upstreams) *wire.Result {
	u := known.Find(o.GetUpstream())
	switch text := checkOrder(o); {
	case text != "":
		return &wire.Result{Code: Invalid, Text: text}
	case !present(u):
		return unknown(o.GetUpstream())
	case c.byID[u.GetId()] == nil && len(c.byID) >= Max:
		return &wire.Result{Code: Full, Text: fmt.Sprintf("%d cordons are in force, which is the limit", Max)}
	case !o.GetForce() && !c.hasOther(u, o, known):
		return &wire.Result{Code: LastUpstream, Text: fmt.Sprintf("pool %s would have no upstream left that gets requests", u.GetPool())}
	}
	former := c.byID[u.GetId()]
	if c.byID == nil {
		c.byID = map[string]*wire.Cordon{}
	}
	c.byID[u.GetId()] = &wire.Cordon{
		Upstream: u.GetId(), Pool: u.GetPool(), Author: o.GetAuthor(), Reason: o.GetReason(), AtMs: o.GetAtMs(),
		ExpiresUs: o.GetNowUs() + o.GetLengthUs(), Order: id,
	}
	c.revision++
	if former.GetExpiresUs() > o.GetNowUs() {
		return &wire.Result{Code: OK, Text: fmt.Sprintf("replaces the cordon ordered by %q", former.GetAuthor())}
	}
	return &wire.Result{Code: OK}
}

// checkOrder returns what is wrong with the fields of an order, or an empty string.
func checkOrder(o *wire.OrderCordon) string {
	switch text := checkAuthor(o.GetAuthor()); {
	case o.GetUpstream() == "":
		return "a cordon needs the ID of an upstream"
	case text != "":
		return text
	case len(o.GetReason()) > maxReasonBytes || !printable(o.GetReason()):
		return fmt.Sprintf("the reason must be printable text of up to %d bytes", maxReasonBytes)
	case o.GetLengthUs() <= 0:
		return "the expiry must be in the future"
	case o.GetLengthUs() > MaxLength.Microseconds():
		return fmt.Sprintf("the expiry must be within %s", MaxLength)
	}
	return ""
}

func checkAuthor(author string) string {
	switch {
	case strings.TrimSpace(author) == "":
		return "an author is required"
	case len(author) > maxAuthorBytes || !printable(author):
		return fmt.Sprintf("the author must be printable text of up to %d bytes", maxAuthorBytes)
	}
	return ""
}

func printable(s string) bool {
	return utf8.ValidString(s) && strings.IndexFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) < 0
}

func present(u *wire.Upstream) bool { return u != nil && u.GetState() != wire.Upstream_STATE_GONE }

func unknown(id string) *wire.Result {
	return &wire.Result{Code: Unknown, Text: fmt.Sprintf("no upstream has the ID %q", id)}
}

// hasOther reports whether the pool of an upstream has another one that gets requests.
func (c *Cordon) hasOther(u *wire.Upstream, o *wire.OrderCordon, known upstreams) bool {
	list, _ := known.Since(0)
	return slices.ContainsFunc(list, func(other *wire.Upstream) bool {
		return other.GetPool() == u.GetPool() && other.GetId() != u.GetId() && other.GetState() == wire.Upstream_STATE_SERVING &&
			c.byID[other.GetId()].GetExpiresUs() <= o.GetNowUs() && !slices.Contains(o.GetUnavailable(), other.GetId())
	})
}

// Lift removes the cordon of an upstream. It is acknowledged, too, if the upstream has none.
func (c *Cordon) Lift(l *wire.LiftCordon, known upstreams) *wire.Result {
	if text := checkAuthor(l.GetAuthor()); text != "" {
		return &wire.Result{Code: Invalid, Text: text}
	}
	if c.byID[l.GetUpstream()] == nil {
		if !present(known.Find(l.GetUpstream())) {
			return unknown(l.GetUpstream())
		}
		return &wire.Result{Code: OK}
	}
	delete(c.byID, l.GetUpstream())
	c.revision++
	return &wire.Result{Code: OK}
}

// Expire removes the cordons that have expired at the leader's time, in microseconds.
func (c *Cordon) Expire(nowUs int64) {
	if c.HasExpired(nowUs) {
		maps.DeleteFunc(c.byID, func(_ string, n *wire.Cordon) bool { return n.GetExpiresUs() <= nowUs })
		c.revision++
	}
}

// HasExpired reports whether Expire would remove a cordon.
func (c *Cordon) HasExpired(nowUs int64) bool {
	for _, n := range c.byID {
		if n.GetExpiresUs() <= nowUs {
			return true
		}
	}
	return false
}

// Len returns the number of stored cordons.
func (c *Cordon) Len() int { return len(c.byID) }

// Revision returns the number of changes so far, which is the same at all replicas.
func (c *Cordon) Revision() uint64 { return c.revision }

// List returns the cordons by upstream ID. The caller must not modify the messages.
func (c *Cordon) List() []*wire.Cordon {
	return slices.SortedFunc(maps.Values(c.byID), func(a, b *wire.Cordon) int { return cmp.Compare(a.GetUpstream(), b.GetUpstream()) })
}

// Load replaces the record by a saved one.
func (c *Cordon) Load(list []*wire.Cordon, revision uint64) {
	*c = Cordon{byID: make(map[string]*wire.Cordon, len(list)), revision: revision}
	for _, n := range list {
		c.byID[n.GetUpstream()] = n
	}
}
