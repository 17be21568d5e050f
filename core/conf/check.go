package conf

import (
	"encoding/hex"
	"fmt"

	"github.com/pkg/errors"

	"azurelane/core/tier"
)

// ErrInvalid marks a document that parses but can't be put in force.
var ErrInvalid = errors.New("conf: invalid")

// Check reports the first rule that the configuration breaks, with the key
// path and what was expected.
func (c *Config) Check() error {
	for name, a := range c.Accounts {
		if raw, err := hex.DecodeString(a.KeySHA256); err != nil || len(raw) != 32 {
			return invalid("/client-accounts/"+name+"/key-sha256", "64 hex digits")
		}
		if a.Weight < 0 {
			return invalid("/client-accounts/"+name+"/weight", "a number of 0 or more")
		}
		for _, t := range a.Tiers {
			if _, ok := c.Tiers[t]; !ok {
				return invalid("/client-accounts/"+name+"/tiers", "names of tiers, not "+t)
			}
		}
	}
	for name, t := range c.Tiers {
		if t.Level < 0 || t.Level >= tier.Levels {
			return invalid("/tiers/"+name+"/level", "0, 1 or 2")
		}
		if t.Share < 0 || t.Share > 1 {
			return invalid("/tiers/"+name+"/share", "a number from 0 to 1")
		}
	}
	return c.checkPools()
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
		if p.Preset != "" && p.Preset != "goodput" && p.Preset != "prefill" {
			return invalid("/pools/"+name+"/preset", "goodput or prefill")
		}
		if p.MaxWaiting < 0 || p.MaxRun < 0 || p.Silence < 0 || p.GrantTTL < 0 || p.MaxAnswer < 0 {
			return invalid("/pools/"+name, "limits of 0 or more")
		}
	}
	return nil
}

func invalid(path, want string) error {
	return fmt.Errorf("%w: %s: expected %s", ErrInvalid, path, want)
}
