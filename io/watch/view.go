package watch

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"azurelane/core/index"
	"azurelane/core/wire"
)

// View is an immutable snapshot of the state that an entry knows of the deployment.
type View struct {
	Version     uint64
	Index       *index.Index                // Routes of the configuration; nil before the first one.
	InstalledAt time.Time                   // When this entry installed the configuration.
	Revision    uint64                      // Revision of the roster.
	Upstreams   map[string][]*wire.Upstream // Serving upstreams without a cordon by pool, sorted by ID.
	Silent      map[string]bool             // Upstreams that control has not heard from lately.
	Unreached   map[string]bool             // Data centres that control takes for cut off.
	Isolated    bool                        // Whether this entry's own data centre is cut off.
	Entries     int                         // Number of entries that share the limits.
	Owner       *wire.Member                // The scheduler of all pools; nil if none is known.
	LastHeard   time.Time                   // When the scheduler last answered a poll.
	CurrentAt   time.Time                   // When Version and Revision were the newest, as far as a replica has shown.
	Term        uint64                      // Highest term of a leader that this entry knows of.

	ownerTerm      uint64                    // In which the scheduler's replica leads; zero if it schedules for a data centre alone.
	roster         map[string]*wire.Upstream // By upstream ID.
	bansRevision   uint64                    // Revision of the bans received from the scheduler.
	splitsRevision uint64                    // Phase revision of the splits received from the scheduler.
	cordons        cordons
}

// Upstream returns the upstream with the given ID, or nil if it is unknown.
func (v *View) Upstream(id string) *wire.Upstream { return v.roster[id] }

// NewsAge returns the time since the scheduler last answered a poll, zero if none ever has.
func (v *View) NewsAge(now time.Time) time.Duration {
	if v.LastHeard.IsZero() {
		return 0
	}
	return now.Sub(v.LastHeard)
}

// CurrentFor returns the time since a replica last showed that the view has the newest configuration and roster, zero if
// none ever has.
func (v *View) CurrentFor(now time.Time) time.Duration {
	if v.CurrentAt.IsZero() {
		return 0
	}
	return now.Sub(v.CurrentAt)
}

// At returns the upstreams at an address.
func (v *View) At(addr string) []*wire.Upstream {
	var list []*wire.Upstream
	for _, u := range v.roster {
		if u.GetAddress() == addr {
			list = append(list, u)
		}
	}
	return list
}

// Sample returns the addresses of up to n upstreams that serve and were heard lately, in random order.
func (v *View) Sample(n int) []string {
	var list []string
	for id, u := range v.roster {
		if len(list) == n {
			break
		}
		if u.GetState() == wire.Upstream_STATE_SERVING && !v.Silent[id] {
			list = append(list, u.GetAddress())
		}
	}
	return list
}

// applyRoster updates the roster with its changes in n, or replaces it if n holds all of it. An
// upstream that has restarted since Replaced was called for it is removed from replaced. If n can't
// be read, the roster stays as it is, and the next poll asks for all of it again.
func (v *View) applyRoster(n *wire.News, replaced map[string]*wire.Upstream) error {
	var base wire.News
	if len(n.GetBase()) > 0 {
		data, err := decompress(n.GetBase())
		if err == nil {
			err = proto.Unmarshal(data, &base)
		}
		if err != nil {
			return fmt.Errorf("watch: roster %d: %w", n.GetRevision(), err)
		}
	}
	if n.GetWhole() || v.roster == nil {
		v.roster = make(map[string]*wire.Upstream, len(base.GetRoster())+len(n.GetRoster()))
	} else {
		v.roster = maps.Clone(v.roster)
	}
	for _, u := range slices.Concat(base.GetRoster(), n.GetRoster()) {
		if v.roster[u.GetId()].GetBorn() < u.GetBorn() {
			delete(replaced, u.GetId()) // The upstream has started again under its own ID.
		}
		if u.GetState() == wire.Upstream_STATE_GONE {
			delete(v.roster, u.GetId())
			continue
		}
		v.roster[u.GetId()] = u
	}
	v.Revision = n.GetRevision()
	v.rebuildUpstreams(replaced)
	return nil
}

// rebuildUpstreams computes Upstreams from the roster. It leaves out the upstreams that have a cordon, and
// those in replaced, if they are still the same processes at the same addresses.
func (v *View) rebuildUpstreams(replaced map[string]*wire.Upstream) {
	now := time.Now()
	v.Upstreams = map[string][]*wire.Upstream{}
	for id, u := range v.roster {
		former := replaced[id]
		isFormer := former != nil && u.GetAddress() == former.GetAddress() && u.GetBorn() <= former.GetBorn()
		if !isFormer && u.GetState() == wire.Upstream_STATE_SERVING && !v.cordons.inForce(now, id) {
			v.Upstreams[u.GetPool()] = append(v.Upstreams[u.GetPool()], u)
		}
	}
	for _, list := range v.Upstreams {
		slices.SortFunc(list, func(a, b *wire.Upstream) int { return bytes.Compare([]byte(a.GetId()), []byte(b.GetId())) })
	}
}
