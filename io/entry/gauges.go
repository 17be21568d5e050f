package entry

// gauges registers the gauges of this entry.
func (e *Entry) gauges() {
	e.stats.Runtime()
	e.stats.Pull("tickets-waiting", func() int64 { return int64(e.sched.Waiting()) })
	e.stats.Pull("pools-owned", e.owned)
	e.stats.Pull("members-alive", func() int64 { return int64(len(e.member.Alive())) })
	e.stats.Pull("config-version", func() int64 { return int64(e.follow.Version()) }) //nolint:gosec // Counts changes.
}

// owned returns the number of pools that this entry schedules.
func (e *Entry) owned() int64 {
	cfg := e.follow.Config()
	if cfg == nil {
		return 0
	}
	var n int64
	for name := range cfg.Pools {
		if e.Owner(name).GetNode() == e.set.Node {
			n++
		}
	}
	return n
}
