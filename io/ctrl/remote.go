package ctrl

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurelane/core/wire"
)

const (
	// remoteEntries is the number of entries of each other data centre of which an entry is told, so
	// that the loss of one entry does not cut the data centres off from each other.
	remoteEntries = 2
	// remoteEntriesInterval is the interval at which an entry is told, so that other replies to its beats
	// stay small.
	remoteEntriesInterval = 10 * time.Second
	// maxBeatAge is the age of a beat from which its entry does not count as live.
	maxBeatAge = 5 * time.Second
)

// remoteEntriesFor returns a few live entries of each other data centre. The choice depends on the asking
// entry, so that no entry relays for a whole data centre.
func (b *beats) remoteEntriesFor(to *wire.Beat, now time.Time) []*wire.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	self := b.nodes[to.GetNode()]
	if now.Sub(self.remoteEntriesSentAt) < remoteEntriesInterval {
		return nil
	}
	byCentre := map[string][]*wire.Member{}
	for _, h := range b.nodes {
		if h.GetDataCentre() != to.GetDataCentre() && h.GetRole() == to.GetRole() && !h.GetDraining() && now.Sub(h.at) < maxBeatAge {
			byCentre[h.GetDataCentre()] = append(byCentre[h.GetDataCentre()], &wire.Member{
				Node: h.GetNode(), Address: h.GetAddress(), DataCentre: h.GetDataCentre(),
			})
		}
	}
	var out []*wire.Member
	for _, list := range byCentre {
		slices.SortFunc(list, func(x, y *wire.Member) int {
			return cmp.Compare(xxhash.Sum64String(to.GetNode()+x.GetNode()), xxhash.Sum64String(to.GetNode()+y.GetNode()))
		})
		out = append(out, list[:min(len(list), remoteEntries)]...)
	}
	if len(out) > 0 {
		self.remoteEntriesSentAt = now
		b.nodes[to.GetNode()] = self
	}
	return out
}
