package subset

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
)

const (
	dataCentres = 5
	members     = 500
)

func fill() *Subset[int] {
	var s Subset[int]
	for m := range members {
		s.Add(fmt.Sprint("dc-", m%dataCentres), hash("member", m), m)
	}
	return &s
}

func hash(kind string, n int) uint64 { return xxhash.Sum64String(fmt.Sprint(kind, n)) }

// first returns the first n members in the order of one client.
func first(s *Subset[int], dataCentre string, client uint64, n int) []int {
	var list []int
	s.Walk(dataCentre, client, func(m int) bool {
		list = append(list, m)
		return len(list) < n
	})
	return list
}

func TestWalkVisitsEachMemberOnce(t *testing.T) {
	s := fill()
	for _, dc := range []string{"dc-0", "dc-4", "elsewhere", ""} {
		list := first(s, dc, hash("client", 1), members+1)
		slices.Sort(list)
		must.Len(t, members, slices.Compact(list), must.Sprint(dc))
	}
}

func TestOwnDataCentreComesFirst(t *testing.T) {
	for _, m := range first(fill(), "dc-3", hash("client", 1), members/dataCentres) {
		must.Eq(t, 3, m%dataCentres)
	}
}

// Guards against clients that use other members after a change than before it, which would open a
// new connection for each request.
func TestChangesMoveFewMembers(t *testing.T) {
	const size, changes = 10, 50
	s := fill()
	client := hash("client", 1)
	before := first(s, "dc-0", client, size)
	for m := range changes {
		s.Remove(fmt.Sprint("dc-", m%dataCentres), hash("member", m), m)
	}
	kept := 0
	for _, m := range first(s, "dc-0", client, size) {
		if slices.Contains(before, m) {
			kept++
		}
	}
	must.GreaterEq(t, size-size/3, kept)
}

// Guards against members that all clients look at first.
func TestClientsAreSpread(t *testing.T) {
	const size, clients = 10, 2000
	s, uses := fill(), map[int]int{}
	for c := range clients {
		for _, m := range first(s, "dc-0", hash("client", c), size) {
			uses[m]++
		}
	}
	mean := clients * size / (members / dataCentres)
	for m, n := range uses {
		must.Less(t, 4*mean, n, must.Sprint(m))
	}
	must.MapLen(t, members/dataCentres, uses)
}

func TestRemoveOfLastMember(t *testing.T) {
	var s Subset[string]
	s.Add("dc", 7, "a")
	s.Add("dc", 7, "b")
	s.Remove("dc", 7, "a")
	s.Remove("dc", 7, "unknown")
	s.Remove("other", 7, "b")
	must.False(t, s.Walk("dc", 9, func(m string) bool { return m != "b" }))
	s.Remove("dc", 7, "b")
	must.True(t, s.Walk("dc", 0, func(string) bool { return false }))
}
