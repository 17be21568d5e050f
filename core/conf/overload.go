package conf

import (
	"slices"
	"time"

	"azurelane/core/route"
)

// SetOverload decides for the pools whose configuration does not say so whether they serve late requests,
// share room fairly and time the returns of refused callers. They do if one of their most urgent routes leaves
// at least from between its objective and its timeout: an overload lasts for seconds, and a request that has
// less time than that can't wait for its end. In pools with streams only those count. If from is 0, they do not.
func (c *Config) SetOverload(from time.Duration) {
	for name, p := range c.Pools {
		on := from > 0 && c.slack(name) >= from
		for _, key := range []**bool{&p.LateService, &p.FairShares, &p.TimedReturn} {
			if *key == nil {
				*key = &on
			}
		}
		c.Pools[name] = p
	}
}

// slack returns the longest time between the objective and the timeout of the most urgent routes to a pool; zero
// if there is no such route or objective. A route that is added for little use must not change it.
func (c *Config) slack(pool string) time.Duration {
	var most *route.Route
	for n := range c.Routes {
		r := &c.Routes[n]
		if r.Objective == 0 || !slices.ContainsFunc(r.Split, func(s route.Share) bool { return s.Pool == pool && s.Weight > 0 }) {
			continue
		}
		if most == nil || before(r, most) {
			most = r
		}
	}
	if most == nil {
		return 0
	}
	return most.Timeout - most.Objective
}

// before reports whether a route decides on its pool's slack before another one.
func before(a, b *route.Route) bool {
	if a.Stream != b.Stream {
		return a.Stream
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Timeout-a.Objective > b.Timeout-b.Objective
}
