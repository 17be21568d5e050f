// Package abroad keeps a few entries of each other data centre, by which a
// ticket can reach the owners there.
package remote

import (
	"net/netip"
	"sync"

	"azurelane/core/wire"
)

// Directory holds what control last told. It outlives control: while no replica
// answers, the last entries stay. The zero value knows none.
type Directory struct {
	mu   sync.Mutex
	list map[string][]netip.AddrPort
}

// Update takes the entries that control names; an answer that names none, as most
// do for the sake of bytes, changes nothing.
func (a *Directory) Update(list []*wire.Member) {
	if len(list) == 0 {
		return
	}
	next := map[string][]netip.AddrPort{}
	for _, m := range list {
		if to, err := netip.ParseAddrPort(m.GetAddress()); err == nil {
			next[m.GetDataCentre()] = append(next[m.GetDataCentre()], to)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = next
}

// Entries returns the known entries of some data centres, in that order.
func (a *Directory) Entries(centres []string) []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []netip.AddrPort
	for _, c := range centres {
		out = append(out, a.list[c]...)
	}
	return out
}
