// Package conf holds the configuration of one site, as it is in force there.
package conf

import (
	"fmt"
	"time"

	"azurelane/core/acct"
	"azurelane/core/codec"
	"azurelane/core/keys"
	"azurelane/core/pool"
	"azurelane/core/route"
	"azurelane/core/tier"
)

// Config is the merged configuration of one site: client accounts, priority
// tiers and pools of upstreams, by name.
type Config struct {
	Accounts    map[string]acct.Account `json:"client-accounts"`
	Tiers       map[string]tier.Tier    `json:"tiers"`
	Pools       map[string]pool.Pool    `json:"pools"`
	Routes      []route.Route           `json:"routes,omitempty"`
	Limits      Limits                  `json:"limits,omitzero"`
	ClaimKeep   time.Duration           `json:"claim-keep,omitzero"`   // How long a finished claim is remembered; 0 takes the default.
	AnswerKeep  time.Duration           `json:"answer-keep,omitzero"`  // How long a keyed request's answer is kept for a second submission; 0 takes the default.
	AnswerBytes int64                   `json:"answer-bytes,omitzero"` // Bytes of all answers kept at one entry; 0 takes the default.
}

// Limits bound what callers of routes may send. Zero takes the default.
type Limits struct {
	HeaderBytes int           `json:"header-bytes,omitzero"`
	BodyBytes   int64         `json:"body-bytes,omitzero"`
	HeaderTime  time.Duration `json:"header-time,omitzero"` // For a request's header to come.
	IdleTime    time.Duration `json:"idle-time,omitzero"`   // Of a kept-alive connection between requests.
}

// DefaultClaimKeep is how long a finished claim is remembered when the
// configuration names no time.
const DefaultClaimKeep = 24 * time.Hour

// Defaults for the answers that an entry keeps.
const (
	DefaultAnswerKeep  = 10 * time.Minute
	DefaultAnswerBytes = 64 << 20
)

// Parse reads one merged document. Unknown keys, wrong types and wrong units
// are refused; the error names the key path.
func Parse(doc []byte) (*Config, error) {
	var cfg Config
	if err := codec.Read(doc, &cfg); err != nil {
		if text, ok := keys.Explain(Keys(), err); ok {
			return nil, fmt.Errorf("%w: %s", ErrInvalid, text)
		}
		return nil, fmt.Errorf("conf: parse: %w", err)
	}
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	if cfg.ClaimKeep == 0 {
		cfg.ClaimKeep = DefaultClaimKeep
	}
	return &cfg, nil
}

// WithDefaults returns the configuration with every limit of its accounts and
// pools set, as operators read it.
func (c *Config) WithDefaults() *Config {
	full := *c
	full.Accounts, full.Pools = map[string]acct.Account{}, map[string]pool.Pool{}
	for name, a := range c.Accounts {
		full.Accounts[name] = a.WithDefaults()
	}
	for name, p := range c.Pools {
		full.Pools[name] = p.WithDefaults()
	}
	return &full
}
