package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"azurelane/core/acct"
	"azurelane/core/pool"
	"azurelane/core/route"
	"azurelane/core/tier"
)

// ErrInvalid marks a document that parses but can't be put in force.
var ErrInvalid = errors.New("conf: invalid")

// Check reports the first rule that the configuration breaks, with the key
// path and what was expected.
func (c *Config) Check() error {
	if err := c.checkAccounts(); err != nil {
		return err
	}
	if c.ClaimKeep < 0 || c.AnswerKeep < 0 || c.AnswerBytes < 0 {
		return invalid("/claim-keep, /answer-keep, /answer-bytes", "0 or more")
	}
	for name, t := range c.Tiers {
		if t.Level < 0 || t.Level >= tier.Levels {
			return invalid("/tiers/"+name+"/level", "0, 1 or 2")
		}
		if t.Deadline < 0 {
			return invalid("/tiers/"+name+"/deadline", "a span of 0 or more")
		}
		if t.Share < 0 || t.Share > 1 {
			return invalid("/tiers/"+name+"/share", "a number from 0 to 1")
		}
	}
	if err := c.checkPools(); err != nil {
		return err
	}
	for name, p := range c.Pools {
		if err := checkMoves("/pools/"+name, p); err != nil {
			return err
		}
	}
	return c.checkRoutes()
}

func (c *Config) checkRoutes() error {
	type place struct{ host, prefix string }
	places := map[place]string{}
	for i, r := range c.Routes {
		at := "/routes/" + strconv.Itoa(i)
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			return invalid(at+"/prefix", "a path that begins and ends with a slash")
		}
		var p place
		p.host, p.prefix = r.Place()
		if other, ok := places[p]; ok {
			return invalid(at+"/prefix", "a host and prefix of its own, not those of "+other)
		}
		places[p] = r.Name
		if r.Timeout <= 0 {
			return invalid(at+"/timeout", "a span over 0")
		}
		if r.Objective < 0 || r.Gap < 0 || r.Upstreams < 0 || r.Patience < 0 {
			return invalid(at, "limits of 0 or more")
		}
		if w := r.Late(); w < 0 || w > 1 {
			return invalid(at+"/late-worth", "a number from 0 to 1")
		}
		if err := c.checkSplit(at+"/split", r.Split); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) checkSplit(at string, split []route.Share) error {
	total := 0
	for _, s := range split {
		if _, ok := c.Pools[s.Pool]; !ok {
			return invalid(at, "names of pools, not "+s.Pool)
		}
		if s.Weight < 0 {
			return invalid(at, "weights of 0 or more")
		}
		total += s.Weight
	}
	if total == 0 {
		return invalid(at, "weights that add up to more than 0")
	}
	return nil
}

// routed reports whether a route names the pool.
func (c *Config) routed(pool string) bool {
	return slices.ContainsFunc(c.Routes, func(r route.Route) bool {
		return slices.ContainsFunc(r.Split, func(s route.Share) bool { return s.Pool == pool })
	})
}

func (c *Config) checkAccounts() error {
	owners := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Accounts)) {
		a, at := c.Accounts[name], "/client-accounts/"+name
		if err := checkKeys(name, a, owners); err != nil {
			return err
		}
		if a.Rate < 0 || a.Burst < 0 || a.PlainUnits < 0 {
			return invalid(at, "a rate of 0 or more")
		}
		if a.Weight < 0 || a.MaxWaiting < 0 || a.MaxConnections < 0 || a.MaxBodyBytes < 0 || a.MaxOpenBodyBytes < 0 {
			return invalid(at, "a weight and limits of 0 or more")
		}
		for _, t := range a.Tiers {
			if _, ok := c.Tiers[t]; !ok {
				return invalid(at+"/tiers", "names of tiers, not "+t)
			}
		}
	}
	return nil
}

// checkKeys checks the keys of one account. Two accounts with one key could not
// be told apart: either would pay for the other's load and see its answers.
func checkKeys(name string, a acct.Account, owners map[string]string) error {
	at := "/client-accounts/" + name + "/key-sha256"
	if a.KeySHA256 == "" && a.MoreKeysSHA256 == nil {
		return invalid(at, hashWant)
	}
	for _, k := range a.KeyHashes() {
		if !isHash(k) {
			return invalid(at, hashWant)
		}
		hash := strings.ToLower(k)
		if other, ok := owners[hash]; ok && other != name {
			return invalid(at, "a key of its own, not that of "+other)
		}
		owners[hash] = name
	}
	return nil
}

func (c *Config) checkPools() error {
	models, services := map[string]string{}, map[string]string{}
	for name, p := range c.Pools {
		if len(p.Models) == 0 && p.Service == "" && (p.ByRoute || c.routed(name)) {
			continue // Only routes lead to it.
		}
		if (len(p.Models) == 0) == (p.Service == "") {
			return invalid("/pools/"+name, "either models or a service")
		}
		for _, m := range p.Models {
			if other, ok := models[m]; ok {
				return invalid("/pools/"+name+"/models", m+" in one pool, not also in "+other)
			}
			models[m] = name
		}
		if p.Service != "" {
			if other, ok := services[p.Service]; ok {
				return invalid("/pools/"+name+"/service", "a name of its own, not that of "+other)
			}
			services[p.Service] = name
		}
		if err := checkPool("/pools/"+name, p); err != nil {
			return err
		}
	}
	return nil
}

// checkMoves checks what moves of streams need. Without the time of handles it is not known how long the slot
// of a lost copy stays taken.
func checkMoves(at string, p pool.Pool) error {
	if p.HandleTime < 0 || (p.HandleTime == 0 && p.Migrate && p.Moves) {
		return invalid(at+"/handle-time", "a span over 0 where streams move")
	}
	if p.Migrate && p.Slots <= 0 {
		return invalid(at+"/migrate", "false, as the pool has no model engines")
	}
	if p.Rebalance && !p.Migrate {
		return invalid(at+"/rebalance", "false, as streams of the pool do not move without migrate")
	}
	if p.Rebalance && p.Scheduler != pool.BatchScheduler {
		return invalid(at+"/rebalance", "false, unless scheduler is "+pool.BatchScheduler)
	}
	return nil
}

func checkPool(at string, p pool.Pool) error {
	if p.AnnounceKey != "" && !isHash(p.AnnounceKey) {
		return invalid(at+"/announce-key-sha256", hashWant)
	}
	if p.Preset != "" && p.Preset != "goodput" && p.Preset != "prefill" {
		return invalid(at+"/preset", "goodput or prefill")
	}
	if p.MaxWaiting < 0 || p.MaxRun < 0 || p.Silence < 0 || p.GrantTTL < 0 || p.MaxAnswer < 0 {
		return invalid(at, "limits of 0 or more")
	}
	return nil
}

func isHash(s string) bool {
	raw, err := hex.DecodeString(s)
	return err == nil && len(raw) == sha256.Size
}

func invalid(path, want string) error {
	return fmt.Errorf("%w: %s: expected %s", ErrInvalid, path, want)
}
