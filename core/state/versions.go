package state

import (
	"time"

	"azurelane/core/wire"
)

// observeVersion follows a change of an upstream in the roster.
func (s *State) observeVersion(id string) {
	now, u := time.UnixMicro(s.clockUs), s.roster.Find(id)
	if u.GetPool() == "" {
		return // It was gone before it was known.
	}
	s.versions.Add(now, id, u.GetPool(), u.GetVersion())
	if u.GetState() == wire.Upstream_STATE_GONE {
		s.versions.Remove(now, id)
	}
}

// FormerVersions returns the versions of pools whose last upstream has left. A new scheduler needs them:
// streams that began there may still be taken up.
func (s *State) FormerVersions() []*wire.FormerVersion {
	var list []*wire.FormerVersion
	s.versions.Former(func(pool, version string, left time.Time) {
		list = append(list, &wire.FormerVersion{Pool: pool, Version: version, LeftUs: left.UnixMicro()})
	})
	return list
}

// loadVersions restores the versions from the roster and the former ones. An image of an earlier
// program has no former ones: all versions of the tombstones then count as having just left.
func (s *State) loadVersions(former []*wire.FormerVersion) {
	now := time.UnixMicro(s.clockUs)
	for _, u := range s.roster.Save() {
		if u.GetState() != wire.Upstream_STATE_GONE {
			s.versions.Add(now, u.GetId(), u.GetPool(), u.GetVersion())
		} else if len(former) == 0 {
			s.versions.AddFormer(now, u.GetPool(), u.GetVersion(), now)
		}
	}
	for _, f := range former {
		s.versions.AddFormer(now, f.GetPool(), f.GetVersion(), time.UnixMicro(f.GetLeftUs()))
	}
}
