package main

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"azurelane/core/wire"
)

// silentAfter is how old the last beat of a live entry may be. Entries beat
// each second, and find another replica within a few.
const silentAfter = 5 * time.Second

type (
	// fleet is what all replicas together know of the entries.
	fleet struct {
		nodes  []node
		silent []netip.AddrPort // Replicas that did not answer.
	}

	node struct {
		*wire.Beat
		age time.Duration
	}

	// site sums the entries of one data centre up.
	site struct {
		name    string
		inForce []string // Nodes that have the version or a later one.
		behind  []string
		quiet   []string // Nodes that were not heard lately.
	}
)

// merge takes the newest beat of each entry: one that changed its replica is
// still on the list of the former.
func merge(all []heard) fleet {
	var f fleet
	newest := map[string]node{}
	for _, h := range all {
		if h.status == nil {
			f.silent = append(f.silent, h.address)
		}
		for _, n := range h.status.GetNodes() {
			age := time.Duration(n.GetAgeUs()) * time.Microsecond
			if old, ok := newest[n.GetBeat().GetNode()]; !ok || age < old.age {
				newest[n.GetBeat().GetNode()] = node{n.GetBeat(), age}
			}
		}
	}
	for _, n := range newest {
		f.nodes = append(f.nodes, n)
	}
	slices.SortFunc(f.nodes, func(a, b node) int {
		return cmp.Or(cmp.Compare(a.GetDataCentre(), b.GetDataCentre()), cmp.Compare(a.GetNode(), b.GetNode()))
	})
	return f
}

// sites tells for each data centre who has a version in force.
func (f fleet) sites(version uint64) []site {
	var list []site
	for _, n := range f.nodes {
		if len(list) == 0 || list[len(list)-1].name != n.GetDataCentre() {
			list = append(list, site{name: n.GetDataCentre()})
		}
		s := &list[len(list)-1]
		switch {
		case n.age > silentAfter:
			s.quiet = append(s.quiet, n.GetNode())
		case n.GetVersion() >= version:
			s.inForce = append(s.inForce, n.GetNode())
		default:
			s.behind = append(s.behind, n.GetNode())
		}
	}
	return list
}

// certain reports whether every replica answered and every entry that is known
// of was heard lately with the version.
func (f fleet) certain(version uint64) bool {
	for _, s := range f.sites(version) {
		if len(s.behind)+len(s.quiet) > 0 {
			return false
		}
	}
	return len(f.silent) == 0 && len(f.nodes) > 0
}

// missing names who has not shown a version.
func (f fleet) missing(version uint64) string {
	var parts []string
	for _, s := range f.sites(version) {
		if len(s.behind) > 0 {
			parts = append(parts, fmt.Sprintf("behind in %s: %s", s.name, strings.Join(s.behind, " ")))
		}
		if len(s.quiet) > 0 {
			parts = append(parts, fmt.Sprintf("not heard in %s: %s", s.name, strings.Join(s.quiet, " ")))
		}
	}
	for _, a := range f.silent {
		parts = append(parts, fmt.Sprintf("replica %s did not answer", a))
	}
	if len(f.nodes) == 0 {
		parts = append(parts, "no entry is known")
	}
	return strings.Join(parts, "; ")
}
