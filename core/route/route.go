// Package route finds the route of a request by its host and path.
package route

import (
	"cmp"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"
)

type (
	// Route says which pool serves the requests under one host and path prefix,
	// and what callers may expect of it.
	Route struct {
		Name       string        `json:"name"`
		Host       string        `json:"host"`                // Without a port.
		Prefix     string        `json:"prefix"`              // Begins and ends with a slash.
		Split      []Share       `json:"split"`               // Pools, by weight.
		Stream     bool          `json:"stream,omitzero"`     // Answers are server-sent events with increasing ids.
		Idempotent bool          `json:"idempotent,omitzero"` // May run more than once.
		Resumable  bool          `json:"resumable,omitzero"`  // A stream may go on at another upstream.
		Public     bool          `json:"public,omitzero"`     // Needs no key.
		Upstreams  int           `json:"upstreams,omitzero"`  // Most upstreams that may run one request; 0 counts as 1.
		Timeout    time.Duration `json:"timeout"`             // Longest time until the final answer.
		Objective  time.Duration `json:"objective,omitzero"`  // Until the answer, of a stream its first event, is late; 0 for never.
		Gap        time.Duration `json:"gap,omitzero"`        // Longest pause between two events that is on time; 0 for any.
		Priority   int           `json:"priority,omitzero"`   // 0 is the most urgent.
	}

	// Share is the part of a route's requests that go to a pool.
	Share struct {
		Pool   string `json:"pool"`
		Weight int    `json:"weight"`
	}
)

// Repeatable reports whether a request may be sent again although an upstream
// may have run it: it is idempotent, or a stream that goes on where it broke.
func (r *Route) Repeatable() bool { return r.Idempotent || (r.Stream && r.Resumable) }

// Most is the number of upstreams that may run one request.
func (r *Route) Most() int { return max(r.Upstreams, 1) }

// Pool draws a pool by the weights, empty when they add up to nothing.
func (r *Route) Pool() string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	n := rand.IntN(total) //nolint:gosec // Splits load, no secret.
	for _, s := range r.Split {
		if n -= s.Weight; n < 0 {
			return s.Pool
		}
	}
	return ""
}

// Table finds routes. It is made once for each configuration.
type Table struct {
	hosts map[string][]*Route // Longest prefix first.
}

// NewTable builds the table of some routes.
func NewTable(routes []Route) *Table {
	t := &Table{hosts: map[string][]*Route{}}
	for i := range routes {
		r := &routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route with the longest prefix that begins the path, or nil.
// The host may carry a port.
func (t *Table) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
