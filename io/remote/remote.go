// Package remote keeps the addresses of a few entries in each other data centre. Tickets reach the
// owners of pools there through these entries.
package remote

import (
	"net/netip"
	"sync"

	"azurelane/core/wire"
)

// Directory holds the entries that control listed last. They stay while no control replica answers.
// The zero value is empty and ready for use.
type Directory struct {
	mu           sync.Mutex
	byDataCentre map[string][]netip.AddrPort
}

// Update replaces all entries by those that control lists. An empty list changes nothing, because
// most answers of control leave the entries out to save bandwidth.
func (d *Directory) Update(list []*wire.Member) {
	if len(list) == 0 {
		return
	}
	next := map[string][]netip.AddrPort{}
	for _, m := range list {
		if to, err := netip.ParseAddrPort(m.GetAddress()); err == nil {
			next[m.GetDataCentre()] = append(next[m.GetDataCentre()], to)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byDataCentre = next
}

// Entries returns the peer addresses of the known entries in the given data centres, in the order
// of the data centres.
func (d *Directory) Entries(dataCentres []string) []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []netip.AddrPort
	for _, c := range dataCentres {
		out = append(out, d.byDataCentre[c]...)
	}
	return out
}
