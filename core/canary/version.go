package canary

import (
	"github.com/cespare/xxhash/v2"

	"azurelane/core/wire"
)

// Version returns the version whose upstreams may run a request, or an empty string where the pool
// keeps no versions apart. Each request of a route goes to the target version with the split's
// probability; sent again it goes to the same one while the split stays.
func Version(s *wire.Split, route, request string) string {
	if s.GetTo() == "" {
		return s.GetBase()
	}
	share := Share(s, route)
	const drawBits = 53 // Of the hash, as many as a float64 holds exactly.
	draw := float64(xxhash.Sum64String(request)>>(64-drawBits)) / (1 << drawBits)
	if draw < share {
		return s.GetTo()
	}
	return s.GetBase()
}

// Share returns the part of a route's requests that goes to the target version of a split.
func Share(s *wire.Split, route string) float64 {
	share := s.GetShare()
	for _, r := range s.GetShares() {
		if r.GetRoute() == route {
			share = r.GetShare()
		}
	}
	return share
}
