package watch

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"azurelane/core/index"
	"azurelane/core/wire"
)

// View is what an entry knows. It is never changed, only replaced.
type View struct {
	Version   uint64
	Index     *index.Index // Nil before the first configuration.
	InstalledAt     time.Time    // When the configuration came into force here.
	Revision  uint64
	Upstreams map[string][]*wire.Upstream // Serving ones, by pool.
	Silent    map[string]bool             // Upstreams that control doesn't hear.
	Unreached map[string]bool             // Data centres that seem cut off.
	Isolated  bool                        // This entry's own data centre does.
	Entries   int                         // That share the limits of all.
	Owner     *wire.Member                // The scheduler of all pools, nil for none.
	LastHeard     time.Time                   // When the owner last answered.

	roster map[string]*wire.Upstream
	bans   uint64 // Revision of the bans that the owner has told.
}

// Upstream returns an upstream by its id, nil for one that is not known.
func (v *View) Upstream(id string) *wire.Upstream { return v.roster[id] }

// apply takes the changes of the roster.
func (v *View) apply(n *wire.News, gone map[string]struct{}) {
	if n.GetWhole() || v.roster == nil {
		v.roster = map[string]*wire.Upstream{}
	} else {
		v.roster = maps.Clone(v.roster)
	}
	for _, u := range n.GetRoster() {
		if v.roster[u.GetId()].GetBorn() < u.GetBorn() {
			delete(gone, u.GetId()) // It answers as itself again.
		}
		if u.GetState() == wire.Upstream_STATE_GONE {
			delete(v.roster, u.GetId())
			continue
		}
		v.roster[u.GetId()] = u
	}
	v.Revision = n.GetRevision()
	v.sort(gone)
}

func (v *View) sort(gone map[string]struct{}) {
	v.Upstreams = map[string][]*wire.Upstream{}
	for id, u := range v.roster {
		if _, ok := gone[id]; !ok && u.GetState() == wire.Upstream_STATE_SERVING {
			v.Upstreams[u.GetPool()] = append(v.Upstreams[u.GetPool()], u)
		}
	}
	for _, list := range v.Upstreams {
		slices.SortFunc(list, func(a, b *wire.Upstream) int { return bytes.Compare([]byte(a.GetId()), []byte(b.GetId())) })
	}
}
