// Package subset divides the members of a large set among many clients, so that each client looks
// at few of them and finds the same ones again (deterministic subsetting).
package subset

import (
	"cmp"
	"slices"
)

type (
	// Subset orders its members for each client. Members of the client's own data centre come
	// first. In each data centre the members form a ring by their hashes, and a client begins at
	// its own hash. The zero value is empty and ready to use.
	Subset[M comparable] struct {
		rings []ring[M] // By name of the data centre.
	}

	ring[M comparable] struct {
		dataCentre string
		points     []point[M] // By hash.
	}

	point[M comparable] struct {
		hash   uint64
		member M
	}
)

// Add adds a member.
func (s *Subset[M]) Add(dataCentre string, hash uint64, m M) {
	n, ok := s.find(dataCentre)
	if !ok {
		s.rings = slices.Insert(s.rings, n, ring[M]{dataCentre: dataCentre})
	}
	r := &s.rings[n]
	r.points = slices.Insert(r.points, r.from(hash), point[M]{hash, m})
}

// Remove removes a member that was added with the same data centre and hash.
func (s *Subset[M]) Remove(dataCentre string, hash uint64, m M) {
	n, ok := s.find(dataCentre)
	if !ok {
		return
	}
	r := &s.rings[n]
	for at := r.from(hash); at < len(r.points) && r.points[at].hash == hash; at++ {
		if r.points[at].member == m {
			r.points = slices.Delete(r.points, at, at+1)
			break
		}
	}
	if len(r.points) == 0 {
		s.rings = slices.Delete(s.rings, n, n+1)
	}
}

// Empty reports whether there are no members.
func (s *Subset[M]) Empty() bool { return len(s.rings) == 0 }

// Walk calls visit for the members in the order of one client, until visit returns false. It
// reports whether it visited all members. The set must not change meanwhile.
func (s *Subset[M]) Walk(dataCentre string, client uint64, visit func(M) bool) bool {
	own, known := s.find(dataCentre)
	if known && !s.rings[own].walk(client, visit) {
		return false
	}
	for n := range uint64(len(s.rings)) {
		// Clients of one data centre go on in different ones.
		at := int((n + client%uint64(len(s.rings))) % uint64(len(s.rings)))
		if (!known || at != own) && !s.rings[at].walk(client, visit) {
			return false
		}
	}
	return true
}

func (s *Subset[M]) find(dataCentre string) (int, bool) {
	return slices.BinarySearchFunc(s.rings, dataCentre, func(r ring[M], name string) int { return cmp.Compare(r.dataCentre, name) })
}

// from returns the index of the first point at or after a hash.
func (r *ring[M]) from(hash uint64) int {
	n, _ := slices.BinarySearchFunc(r.points, hash, func(p point[M], h uint64) int { return cmp.Compare(p.hash, h) })
	return n
}

func (r *ring[M]) walk(client uint64, visit func(M) bool) bool {
	start := r.from(client)
	for n := range r.points {
		if !visit(r.points[(start+n)%len(r.points)].member) {
			return false
		}
	}
	return true
}
