package batch

import "time"

// bestCase holds the best times that any upstream could reach if it were idle. It distinguishes a
// request that is late for lack of a slot from one that would be late anyway, such as one whose
// prefill takes longer than its objective. If the latter were passed over like the former, it
// would wait until it is refused, although no wait can help it.
type bestCase struct {
	overhead, perToken time.Duration
}

// versionCase is the bestCase of the upstreams of one version.
type versionCase struct {
	version string
	hasRoom bool // One of them is offered.
	bestCase
}

// versionCase returns the best case of a version, which it adds if it is new.
func (b *Batch) versionCase(version string) *versionCase {
	for n := range b.versionCases {
		if b.versionCases[n].version == version {
			return &b.versionCases[n]
		}
	}
	b.versionCases = append(b.versionCases, versionCase{version: version})
	return &b.versionCases[len(b.versionCases)-1]
}

// countVersion records that an engine has changed its version. It does not look at the others: a
// new scheduler gets thousands of announcements at once.
func (b *Batch) countVersion(before, now string) {
	if b.versionCounts == nil {
		b.recountVersions()
		return
	}
	if b.versionCounts[before]--; b.versionCounts[before] <= 0 {
		delete(b.versionCounts, before)
	}
	b.versionCounts[now]++
	b.setVersions()
}

// recountVersions counts the versions of all engines, some of which may have been dropped.
func (b *Batch) recountVersions() {
	b.versionCounts = map[string]int{}
	for _, u := range b.table.All() {
		b.versionCounts[u.Version]++
	}
	b.setVersions()
}

func (b *Batch) setVersions() {
	b.onlyVersion, b.mixedVersions = "", len(b.versionCounts) > 1
	for v := range b.versionCounts {
		b.onlyVersion = v
	}
}

// bestCaseFor returns the best case of the upstreams that may run a ticket.
func (b *Batch) bestCaseFor(i *item) *bestCase {
	if i.anyVersion() || !b.mixedVersions {
		return &b.bestCase
	}
	return &b.versionCase(i.version).bestCase
}

// hasRoom reports whether an engine is offered that may run the ticket.
func (b *Batch) hasRoom(i *item) bool {
	if i.anyVersion() || !b.mixedVersions {
		return i.accepts(b.onlyVersion)
	}
	for n := range b.versionCases {
		if v := &b.versionCases[n]; v.version == i.version {
			return v.hasRoom
		}
	}
	return false
}

func (c *bestCase) add(s *engineStats) {
	c.merge(&bestCase{s.onAverage(s.overhead()), s.onAverage(s.perToken())})
}

// merge adds the best times of other upstreams.
func (c *bestCase) merge(other *bestCase) {
	if c.perToken == 0 {
		*c = *other
		return
	}
	c.overhead, c.perToken = min(c.overhead, other.overhead), min(c.perToken, other.perToken)
}

// timeToFirstToken returns the time to the first token of a prompt whose prefill takes the given
// number of decode steps.
func (c *bestCase) timeToFirstToken(prefillSteps float64) time.Duration {
	return c.overhead + time.Duration(prefillSteps*float64(c.perToken))
}
