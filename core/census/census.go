// Package census records which versions the upstreams of each pool have had lately.
package census

import (
	"maps"
	"time"
)

// formerRetention is how long a version is remembered after its last upstream has left.
const formerRetention = 24 * time.Hour

type (
	// Census knows the upstreams of a deployment by their versions. The zero value is empty and ready
	// to use.
	Census struct {
		upstreams map[string]upstream // By ID.
		pools     map[string]*pool
	}

	upstream struct {
		pool, version string
	}

	// pool holds the versions of one pool.
	pool struct {
		present map[string]int       // Number of upstreams by version.
		former  map[string]time.Time // When the last upstream of a version left.
	}
)

// Add records that an upstream is there.
func (c *Census) Add(now time.Time, id, poolName, version string) {
	u := upstream{poolName, version}
	old, ok := c.upstreams[id]
	if ok && old == u {
		return
	}
	if ok {
		c.Remove(now, id)
	}
	if c.upstreams == nil {
		c.upstreams, c.pools = map[string]upstream{}, map[string]*pool{}
	}
	c.upstreams[id] = u
	p := c.pools[poolName]
	if p == nil {
		p = &pool{present: map[string]int{}, former: map[string]time.Time{}}
		c.pools[poolName] = p
	}
	p.present[version]++
	delete(p.former, version)
}

// Remove records that an upstream has left.
func (c *Census) Remove(now time.Time, id string) {
	u, ok := c.upstreams[id]
	if !ok {
		return
	}
	delete(c.upstreams, id)
	p := c.pools[u.pool]
	if p.present[u.version]--; p.present[u.version] == 0 {
		delete(p.present, u.version)
		maps.DeleteFunc(p.former, func(_ string, left time.Time) bool { return now.Sub(left) > formerRetention })
		p.former[u.version] = now
	}
}

// Retain removes the upstreams for which keep returns false.
func (c *Census) Retain(now time.Time, keep func(id string) bool) {
	for id := range c.upstreams {
		if !keep(id) {
			c.Remove(now, id)
		}
	}
}

// Only returns the version of a pool's upstreams, if they have had one version only for the given
// time.
func (c *Census) Only(now time.Time, poolName string, within time.Duration) (version string, ok bool) {
	p := c.pools[poolName]
	if p == nil {
		return "", false
	}
	n := 0
	for v := range p.present {
		version, n = v, n+1
	}
	for v, left := range p.former {
		if now.Sub(left) <= within {
			version, n = v, n+1
		}
	}
	return version, n == 1
}
