// Package census records which versions the upstreams of each pool have had lately.
package census

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// formerRetention is how long a version is remembered after its last upstream has left.
	formerRetention = 24 * time.Hour
	// formerLimit is the number of versions of a pool that are remembered after their upstreams have
	// left. Beyond it the one that left first is forgotten; the others still tell that there were several.
	formerLimit = 32
)

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
	u := upstream{pool: poolName, version: version}
	old, ok := c.upstreams[id]
	if ok && old == u {
		return
	}
	if ok {
		c.Remove(now, id)
	}
	if c.upstreams == nil {
		c.upstreams = map[string]upstream{}
	}
	c.upstreams[id] = u
	p := c.pool(poolName)
	p.present[version]++
	delete(p.former, version)
}

// pool returns the versions of a pool.
func (c *Census) pool(name string) *pool {
	if c.pools == nil {
		c.pools = map[string]*pool{}
	}
	p := c.pools[name]
	if p == nil {
		p = &pool{present: map[string]int{}, former: map[string]time.Time{}}
		c.pools[name] = p
	}
	return p
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
		p.leave(now, u.version, now)
	}
}

// AddFormer records that the last upstream of a version left at some time, unless one is there.
func (c *Census) AddFormer(now time.Time, poolName, version string, left time.Time) {
	if p := c.pool(poolName); p.present[version] == 0 && left.After(p.former[version]) {
		p.leave(now, version, left)
	}
}

func (p *pool) leave(now time.Time, version string, left time.Time) {
	p.former[version] = left
	maps.DeleteFunc(p.former, func(_ string, left time.Time) bool { return now.Sub(left) > formerRetention })
	for len(p.former) > formerLimit {
		delete(p.former, slices.MinFunc(slices.Collect(maps.Keys(p.former)), func(a, b string) int {
			return cmp.Or(p.former[a].Compare(p.former[b]), cmp.Compare(a, b))
		}))
	}
}

// Former calls f with each version whose upstreams have left, in order of pools and versions.
func (c *Census) Former(f func(poolName, version string, left time.Time)) {
	for _, name := range slices.Sorted(maps.Keys(c.pools)) {
		former := c.pools[name].former
		for _, version := range slices.Sorted(maps.Keys(former)) {
			f(name, version, former[version])
		}
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
