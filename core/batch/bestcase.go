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

// bestCaseFor returns the best case of the upstreams that may run a ticket.
func (b *Batch) bestCaseFor(i *item) *bestCase {
	if i.GetVersion() == "" {
		return &b.bestCase
	}
	return &b.versionCase(i.GetVersion()).bestCase
}

// hasRoom reports whether an engine is offered that may run the ticket.
func (b *Batch) hasRoom(i *item) bool {
	return i.GetVersion() == "" || b.versionCase(i.GetVersion()).hasRoom
}

func (c *bestCase) add(s *engineStats) {
	if c.perToken == 0 {
		c.overhead, c.perToken = s.overhead(), s.perToken()
		return
	}
	c.overhead, c.perToken = min(c.overhead, s.overhead()), min(c.perToken, s.perToken())
}

// timeToFirstToken returns the time to the first token of a prompt whose prefill takes the given
// number of decode steps.
func (c *bestCase) timeToFirstToken(prefillSteps float64) time.Duration {
	return c.overhead + time.Duration(prefillSteps*float64(c.perToken))
}
