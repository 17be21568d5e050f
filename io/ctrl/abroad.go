package ctrl

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurelane/core/wire"
)

const (
	// relays is the number of entries of each other data centre that an entry
	// is told: enough to outlive one, and few enough to cost little.
	relays = 2
	// tellEvery is how often it is told, so that a beat each second stays small.
	tellEvery = 10 * time.Second
	// relayAge is the age from which a beat no longer shows that its entry lives.
	relayAge = 5 * time.Second
)

// abroad names a few live entries of each other data centre. Which ones differs
// by who asks, so that no entry relays for a whole data centre.
func (b *beats) abroad(to *wire.Beat, now time.Time) []*wire.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	self := b.nodes[to.GetNode()]
	if now.Sub(self.told) < tellEvery {
		return nil
	}
	byCentre := map[string][]*wire.Member{}
	for _, h := range b.nodes {
		if h.GetDataCentre() != to.GetDataCentre() && h.GetRole() == to.GetRole() && !h.GetDraining() && now.Sub(h.at) < relayAge {
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
		out = append(out, list[:min(len(list), relays)]...)
	}
	if len(out) > 0 {
		self.told = now
		b.nodes[to.GetNode()] = self
	}
	return out
}
