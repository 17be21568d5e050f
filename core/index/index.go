// Package index looks up client accounts, models, services, pools and routes of a configuration.
package index

import (
	"encoding/hex"

	"azurelane/core/acct"
	"azurelane/core/conf"
	"azurelane/core/pool"
	"azurelane/core/route"
)

type (
	// Index is immutable. One is built for each configuration that comes into force.
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

// New builds the index of a configuration. It leaves out key hashes that can't be parsed, which
// conf.Config.Check rejects.
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

// Config returns the configuration of the index. The caller must not modify it.
func (x *Index) Config() *conf.Config { return x.cfg }

// Account returns the name and the configuration of the account that holds the key with this hash.
func (x *Index) Account(sum Digest) (string, acct.Account, bool) {
	a, ok := x.accounts[sum]
	return a.name, a.Account, ok
}

// Model returns the name of the pool that serves a model.
func (x *Index) Model(name string) (string, bool) {
	p, ok := x.models[name]
	return p, ok
}

// Service returns the name of the pool that serves requests to /svc/NAME/.
func (x *Index) Service(name string) (string, bool) {
	p, ok := x.services[name]
	return p, ok
}

// Route returns the route of a request, or nil if none matches.
func (x *Index) Route(host, path string) *route.Route { return x.routes.Match(host, path) }

// Pool returns the configuration of a pool with the defaults filled in.
func (x *Index) Pool(name string) pool.Pool { return x.pools[name] }
