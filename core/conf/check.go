package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"azurelane/core/pool"
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
	return c.checkPools()
}

func (c *Config) checkAccounts() error {
	hashes := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Accounts)) {
		a, at := c.Accounts[name], "/client-accounts/"+name
		if !isHash(a.KeySHA256) {
			return invalid(at+"/key-sha256", hashWant)
		}
		// Two accounts with one key could not be told apart: either would pay
		// for the other's load and see its answers.
		hash := strings.ToLower(a.KeySHA256)
		if other, ok := hashes[hash]; ok {
			return invalid(at+"/key-sha256", "a key of its own, not that of "+other)
		}
		hashes[hash] = name
		if a.Weight < 0 || a.MaxWaiting < 0 || a.MaxConnections < 0 || a.MaxBody < 0 || a.MaxBodies < 0 {
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

func (c *Config) checkPools() error {
	models, services := map[string]string{}, map[string]string{}
	for name, p := range c.Pools {
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
