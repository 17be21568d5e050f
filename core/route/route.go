// Package route matches requests to routes by host and path prefix.
package route

import (
	"cmp"
	"encoding/hex"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// Route is the configuration for the requests of one host and path prefix.
	Route struct {
		Name       string        `json:"name"`
		Host       string        `json:"host"`                 // With a port, only requests that name it match.
		Prefix     string        `json:"prefix"`               // Begins and ends with a slash.
		Split      []Share       `json:"split"`                // Pools that serve the requests, by weight.
		Stream     bool          `json:"stream,omitzero"`      // Responses are server-sent events with increasing IDs.
		Idempotent bool          `json:"idempotent,omitzero"`  // A request may run more than once.
		Resumable  bool          `json:"resumable,omitzero"`   // A broken stream may be resumed at another upstream.
		Public     bool          `json:"public,omitzero"`      // Requests need no API key.
		Upstreams  int           `json:"upstreams,omitzero"`   // Most upstreams that may run one request; 0 for 1.
		Timeout    time.Duration `json:"timeout"`              // Longest time until the final response.
		Objective  time.Duration `json:"objective,omitzero"`   // Time after which a response, or the first event of a stream, is late; 0 for never.
		Gap        time.Duration `json:"gap,omitzero"`         // Time between two events after which a stream is late; 0 for never.
		Priority   int           `json:"priority,omitzero"`    // 0 is the most urgent.
		Patience   time.Duration `json:"patience,omitzero"`    // Time without a byte of a response after which callers leave; 0 if they wait for the timeout.
		LateWorth  *float64      `json:"late-worth,omitempty"` // Share of its worth that a late response keeps for its caller; nil for DefaultLateWorth.
	}

	// Share is the weight of one pool in a route's split.
	Share struct {
		Pool   string `json:"pool"`
		Weight int    `json:"weight"`
	}
)

// DefaultLateWorth is the share of its worth that a late response keeps. It is below one third, so that a
// request that will be late takes no slot from one that can still be in time.
const DefaultLateWorth = 0.29

// Late returns the share of its worth that a late response keeps.
func (r *Route) Late() float64 {
	if r.LateWorth == nil {
		return DefaultLateWorth
	}
	return *r.LateWorth
}

// Repeatable reports whether a request may be sent again after an upstream may have run it: if it is
// idempotent, or a stream that can be resumed.
func (r *Route) Repeatable() bool { return r.Idempotent || (r.Stream && r.Resumable) }

// MaxUpstreams returns how many upstreams may run one request.
func (r *Route) MaxUpstreams() int { return max(r.Upstreams, 1) }

// Pool returns the pool of a request, or an empty string if all weights are zero. Requests are spread
// over the split by weight, and those with the same key get the same pool while the split stays.
func (r *Route) Pool(key string) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	n := rand.IntN(total) //nolint:gosec // Splits load, no secret.
	if key != "" {
		n = int(xxhash.Sum64String(key) % uint64(total)) //nolint:gosec // Below total.
	}
	for _, s := range r.Split {
		if n -= s.Weight; n < 0 {
			return s.Pool
		}
	}
	return ""
}

// Place returns the host and the prefix in one way of writing for all that mean the same.
func (r *Route) Place() (host, prefix string) { return cleanHost(r.Host), cleanPath(r.Prefix) }

// cleanHost returns a host in lower case and without the dot that may end a full domain name.
func cleanHost(host string) string {
	host = strings.ToLower(host)
	if name, port, err := net.SplitHostPort(host); err == nil {
		return net.JoinHostPort(strings.TrimSuffix(name, "."), port)
	}
	return strings.TrimSuffix(host, ".")
}

// cleanPath decodes the escaped characters of a path, except for slashes: an escaped one is a part of a
// segment and separates none.
func cleanPath(path string) string {
	before, rest, found := strings.Cut(path, "%")
	if !found {
		return path
	}
	var b strings.Builder
	for b.WriteString(before); found; {
		var c []byte
		if len(rest) >= 2 {
			c, _ = hex.DecodeString(rest[:2])
		}
		switch {
		case len(c) == 0:
			b.WriteByte('%')
		case c[0] == '/' || c[0] == '%':
			b.WriteString("%" + strings.ToUpper(rest[:2]))
			rest = rest[2:]
		default:
			b.WriteByte(c[0])
			rest = rest[2:]
		}
		before, rest, found = strings.Cut(rest, "%")
		b.WriteString(before)
	}
	return b.String()
}

type (
	// Table is a lookup table of the routes of one configuration.
	Table struct {
		hosts map[string][]target // Longest prefix first.
	}

	target struct {
		prefix string
		route  *Route
	}
)

// NewTable returns a table of the given routes.
func NewTable(routes []Route) *Table {
	t := &Table{hosts: map[string][]target{}}
	for i := range routes {
		host, prefix := routes[i].Place()
		t.hosts[host] = append(t.hosts[host], target{prefix, &routes[i]})
	}
	for _, list := range t.hosts {
		slices.SortFunc(list, func(a, b target) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}
	return t
}

// Match returns the route of the host whose prefix is the longest that matches the path, or nil. The
// host may include a port. The path is escaped, as in the request.
func (t *Table) Match(host, path string) *Route {
	host, path = cleanHost(host), cleanPath(path)
	if r := match(t.hosts[host], path); r != nil {
		return r
	}
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		return nil
	}
	if strings.Contains(name, ":") {
		name = "[" + name + "]" // An IPv6 address, which has brackets without a port as well.
	}
	return match(t.hosts[name], path)
}

func match(list []target, path string) *Route {
	for _, t := range list {
		if strings.HasPrefix(path, t.prefix) {
			return t.route
		}
	}
	return nil
}
