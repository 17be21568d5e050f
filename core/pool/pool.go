// Package pool holds the configuration of a pool of upstreams.
package pool

import (
	"cmp"
	"time"
)

// Pool is the configuration of one pool. It does not list upstreams, because they announce
// themselves.
type Pool struct {
	Models      []string      `json:"models,omitempty"`             // Models that the pool serves, for model engines.
	Service     string        `json:"service,omitzero"`             // Name under /svc/, for plain services.
	Scheduler   string        `json:"scheduler,omitzero"`           // Registered name of the scheduling policy; empty for "late".
	Preset      string        `json:"preset,omitzero"`              // Measure that the policy weighs more: "goodput" (default) or "prefill".
	MaxWaiting  int           `json:"max-waiting,omitzero"`         // Most waiting tickets; 0 for the default.
	MaxRun      time.Duration `json:"max-run,omitzero"`             // Longest run of one request; 0 for the default.
	Silence     time.Duration `json:"silence,omitzero"`             // Longest time between two reads of a response; 0 for the default.
	GrantTTL    time.Duration `json:"grant-ttl,omitzero"`           // Validity of a grant; 0 for the default.
	Abroad      []string      `json:"abroad,omitempty"`             // Data centres to use if this one has no live upstream.
	Repeatable  *bool         `json:"repeatable,omitempty"`         // Whether requests may run more than once; nil for true.
	MaxAnswer   int64         `json:"max-answer,omitzero"`          // Longest response, in bytes, that is stored or buffered; 0 for the default.
	AnnounceKey string        `json:"announce-key-sha256,omitzero"` // Hex SHA-256 of the key that announcements must carry; empty for none.
	ByRoute     bool          `json:"by-route,omitzero"`            // The pool gets requests by routes only, so it has neither models nor a service.
	Slots       int64         `json:"slots,omitzero"`               // Requests that one model engine runs concurrently; 0 for a plain service.
	CacheTokens int64         `json:"cache-tokens,omitzero"`        // Capacity of an engine's KV cache, in tokens; 0 if unknown.
	EventTokens int64         `json:"event-tokens,omitzero"`        // Tokens in one event of a stream; 0 counts as 1.
	Connections int           `json:"connections,omitzero"`         // Most connections of all entries to one upstream; 0 for no limit.
	LateService *bool         `json:"late-service,omitempty"`       // Whether requests that can't be in time wait for room that others leave; nil for the site's setting.
	FairShares  *bool         `json:"fair-shares,omitempty"`        // Whether client accounts get fair shares of a full pool; nil for the site's setting.
	TimedReturn *bool         `json:"timed-returns,omitempty"`      // Whether refused callers are told to return when there is room; nil for the site's setting.
	LiveSpeed   bool          `json:"live-speed,omitzero"`          // Whether engines' statements of how long work currently takes count.
	Migrate     bool          `json:"migrate,omitzero"`             // Whether streams move off engines that leave.
	Rebalance   bool          `json:"rebalance,omitzero"`           // Whether streams move off engines that are too slow for them; needs Migrate.
	Moves       bool          `json:"moves,omitzero"`               // Whether the engines offer moves.
	HandleTime  time.Duration `json:"handle-time,omitzero"`         // How long an engine keeps a copy of a run that is not used.
	HealthPath  string        `json:"health-path,omitzero"`         // Path of the upstreams' health check; empty for none.
	RunOn       *bool         `json:"run-on,omitempty"`             // Whether a request with an idempotency key completes after its callers have left; nil for true.
}

// Defaults of fields that are zero.
const (
	DefaultScheduler  = "late"
	BatchScheduler    = "batch" // For model engines that batch continuously.
	DefaultPreset     = "goodput"
	DefaultMaxWaiting = 10000
	DefaultMaxRun     = 30 * time.Minute
	DefaultSilence    = 60 * time.Second
	DefaultGrantTTL   = time.Second
	DefaultMaxAnswer  = 16 << 20
)

// WithDefaults returns the pool with the defaults filled in.
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

// Overload returns which ways of the pool's scheduler to deal with overload are on.
func (p Pool) Overload() (lateService, fairShares, timedReturns bool) {
	on := func(b *bool) bool { return b != nil && *b }
	return on(p.LateService), on(p.FairShares), on(p.TimedReturn)
}

// LiveSpeeds reports whether the scheduler uses what engines state of how long work currently takes there.
func (p Pool) LiveSpeeds() bool { return p.LiveSpeed }

// Moving reports whether streams move off engines of the pool that leave. Engines that do not offer moves get
// no calls.
func (p Pool) Moving() bool { return p.Migrate && p.Moves && p.HandleTime > 0 }

// Rebalancing reports whether streams move off engines of the pool that are too slow for them. The policy for
// engines that batch chooses their destinations.
func (p Pool) Rebalancing() bool {
	return p.Rebalance && p.Moving() && p.Scheduler == BatchScheduler
}

// DefersPlain reports whether the requests of the pool, which is one of plain servers, take tickets so that they
// wait for a place in one order.
func (p Pool) DefersPlain() bool {
	late, _, _ := p.Overload()
	return late && p.Slots == 0 && p.WithDefaults().Scheduler == DefaultScheduler
}

// RunsOn reports whether a request with an idempotency key completes after its callers have left.
func (p Pool) RunsOn() bool { return p.RunOn == nil || *p.RunOn }
