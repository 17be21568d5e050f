package conf

import (
	"slices"
	"time"

	"azurelane/core/route"
)

// SetOverload decides for the pools whose configuration does not say so whether they serve late requests,
// share room fairly and time the returns of refused callers. They do if at least half of their routes, in pools with
// streams of the streaming ones, leave at least from between objective and timeout: an overload lasts for
// seconds, and a request that has less time than that can't wait for its end. If from is 0, they do not.
func (c *Config) SetOverload(from time.Duration) {
	for name, p := range c.Pools {
		on := from > 0 && c.waits(name, from)
		for _, key := range []**bool{&p.LateService, &p.FairShares, &p.TimedReturn} {
			if *key == nil {
				*key = &on
			}
		}
		c.Pools[name] = p
	}
}

// waits reports whether at least half of the routes to a pool leave a time between objective and timeout. A single
// route that is added, or whose timeout changes, must not decide.
func (c *Config) waits(pool string, from time.Duration) bool {
	routes := slices.DeleteFunc(slices.Clone(c.Routes), func(r route.Route) bool {
		return !slices.ContainsFunc(r.Split, func(s route.Share) bool { return s.Pool == pool && s.Weight > 0 })
	})
	streams := slices.ContainsFunc(routes, func(r route.Route) bool { return r.Stream })
	all, waiting := 0, 0
	for n := range routes {
		r := &routes[n]
		if streams && !r.Stream {
			continue
		}
		all++
		if r.Objective > 0 && r.Timeout-r.Objective >= from {
			waiting++
		}
	}
	return all > 0 && 2*waiting >= all
}
