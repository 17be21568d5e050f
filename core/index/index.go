// Package index finds client accounts, models and services of a configuration
// in constant time.
package index

import (
	"encoding/hex"

	"azurelane/core/acct"
	"azurelane/core/conf"
	"azurelane/core/pool"
	"azurelane/core/route"
)

type (
	// Index is made once for each configuration that comes into force.
	Index struct {
		cfg      *conf.Config
		accounts map[Digest]account
		models   map[string]string
		services map[string]string
		pools    map[string]pool.Pool
		routes   *route.Table
	}

	account struct {
		name string
		acct.Account
	}

	// Digest is the SHA-256 of a client account's key.
	Digest [32]byte
)

// New builds the index of a configuration. Accounts whose hash can't be read
// are left out; the configuration's check refuses them.
func New(cfg *conf.Config) *Index {
	x := &Index{
		cfg: cfg, accounts: make(map[Digest]account, len(cfg.Accounts)),
		models: map[string]string{}, services: map[string]string{}, pools: make(map[string]pool.Pool, len(cfg.Pools)),
		routes: route.NewTable(cfg.Routes),
	}
	for name, a := range cfg.Accounts {
		for _, k := range a.KeyHashes() {
			if raw, err := hex.DecodeString(k); err == nil && len(raw) == len(Digest{}) {
				x.accounts[Digest(raw)] = account{name, a.WithDefaults()}
			}
		}
	}
	for name, p := range cfg.Pools {
		x.pools[name] = p.WithDefaults()
		for _, m := range p.Models {
			x.models[m] = name
		}
		if p.Service != "" {
			x.services[p.Service] = name
		}
	}
	return x
}

// Config is the configuration that the index was made from.
func (x *Index) Config() *conf.Config { return x.cfg }

// Account returns the name and the limits of the account with that key.
func (x *Index) Account(sum Digest) (string, acct.Account, bool) {
	a, ok := x.accounts[sum]
	return a.name, a.Account, ok
}

// Model returns the pool that serves a model.
func (x *Index) Model(name string) (string, bool) {
	p, ok := x.models[name]
	return p, ok
}

// Service returns the pool behind /svc/NAME/.
func (x *Index) Service(name string) (string, bool) {
	p, ok := x.services[name]
	return p, ok
}

// Route returns the route of a request, or nil.
func (x *Index) Route(host, path string) *route.Route { return x.routes.Match(host, path) }

// Pool returns a pool with every limit set.
func (x *Index) Pool(name string) pool.Pool { return x.pools[name] }
