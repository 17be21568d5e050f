// Package pool describes a pool of upstreams.
package pool

import (
	"cmp"
	"time"
)

// Pool holds what operators configure for one pool. Its upstreams are not
// listed: they announce themselves.
type Pool struct {
	Models      []string      `json:"models,omitempty"`             // Models that the pool serves, for model engines.
	Service     string        `json:"service,omitzero"`             // Name under /svc/, for plain services.
	Scheduler   string        `json:"scheduler,omitzero"`           // Registered scheduling policy; empty for "late".
	Preset      string        `json:"preset,omitzero"`              // "goodput" (default) or "prefill": which measure weighs more.
	MaxWaiting  int           `json:"max-waiting,omitzero"`         // Tickets that may wait in all; 0 takes the default.
	MaxRun      time.Duration `json:"max-run,omitzero"`             // Longest run of one request; 0 takes the default.
	Silence     time.Duration `json:"silence,omitzero"`             // Longest gap between two reads of an answer; 0 takes the default.
	GrantTTL    time.Duration `json:"grant-ttl,omitzero"`           // How long a grant may be used; 0 takes the default.
	Abroad      []string      `json:"abroad,omitempty"`             // Data centres to try when this one has no live upstream.
	Repeatable  *bool         `json:"repeatable,omitempty"`         // Whether calls may be repeated; nil for true.
	MaxAnswer   int64         `json:"max-answer,omitzero"`          // Bytes of an answer that is kept or read whole before it is passed on; 0 takes the default.
	AnnounceKey string        `json:"announce-key-sha256,omitzero"` // Hex SHA-256 of the key with which its upstreams announce themselves; empty lets any join.
	ByRoute     bool          `json:"by-route,omitzero"`            // Only routes lead to it; it needs neither models nor a service.
	Slots       int64         `json:"slots,omitzero"`               // Requests that a model engine runs at once; 0 for a plain service.
	CacheTokens int64         `json:"cache-tokens,omitzero"`        // Tokens that an engine's cache holds; 0 for unknown.
	EventTokens int64         `json:"event-tokens,omitzero"`        // Tokens in one event of a stream; 0 counts as 1.
	Connections int           `json:"connections,omitzero"`         // Connections that one upstream takes from all entries; 0 for any.
	RunOn       *bool         `json:"run-on,omitempty"`             // Whether a keyed request runs to its end when its callers go away; nil for true.
}

// Defaults for what a pool leaves at zero.
const (
	DefaultScheduler  = "late"
	DefaultPreset     = "goodput"
	DefaultMaxWaiting = 10000
	DefaultMaxRun     = 30 * time.Minute
	DefaultSilence    = 60 * time.Second
	DefaultGrantTTL   = time.Second
	DefaultMaxAnswer  = 16 << 20
)

// WithDefaults returns the pool with every limit set.
func (p Pool) WithDefaults() Pool {
	p.Scheduler = cmp.Or(p.Scheduler, DefaultScheduler)
	p.Preset = cmp.Or(p.Preset, DefaultPreset)
	p.MaxWaiting = cmp.Or(p.MaxWaiting, DefaultMaxWaiting)
	p.MaxRun = cmp.Or(p.MaxRun, DefaultMaxRun)
	p.Silence = cmp.Or(p.Silence, DefaultSilence)
	p.GrantTTL = cmp.Or(p.GrantTTL, DefaultGrantTTL)
	p.MaxAnswer = cmp.Or(p.MaxAnswer, DefaultMaxAnswer)
	return p
}

// RunsOn reports whether a keyed request of the pool runs to its end when its
// callers go away.
func (p Pool) RunsOn() bool { return p.RunOn == nil || *p.RunOn }
