package peers

import (
	"time"

	"azurelane/core/wire"
)

const (
	// cutOffThreshold is the number of upstreams of a data centre that must be unreachable in a row
	// before it counts as cut off. A single one may have crashed.
	cutOffThreshold = 2
	// trialInterval is the time between two trial requests to a data centre that seems cut off. Each
	// of them may wait for a connection until it times out.
	trialInterval = 400 * time.Millisecond
	// cutOffRetention is how long a data centre counts as cut off after the last request that did
	// not reach it.
	cutOffRetention = 4 * time.Second
)

// dataCentre holds the observations of the network path to one data centre. While the path is cut,
// each upstream there looks healthy until a request to it has timed out. With half a second
// per connection attempt and several upstreams to try, requests are late that an upstream on this
// side could have served at once.
type dataCentre struct {
	unreachable map[string]struct{} // Upstreams that failed since one was last reached.
	lastFailure time.Time           // When the last of them failed.
	lastTrial   time.Time           // When the last trial request was sent.
}

// RecordReached records that an upstream responded, even with a failure.
func (p *Peers) RecordReached(u *wire.Upstream) { delete(p.dataCentres, u.GetDataCentre()) }

// RecordUnreachable records that no connection to an upstream could be established, or that it sent
// nothing before the request was given up. Either the upstream or the path to it has failed.
func (p *Peers) RecordUnreachable(now time.Time, u *wire.Upstream) {
	c := p.getOrCreateDataCentre(u.GetDataCentre())
	c.unreachable[u.GetId()] = struct{}{}
	c.lastFailure = now
}

func (c *dataCentre) seemsCutOff(now time.Time) bool {
	return c != nil && len(c.unreachable) >= cutOffThreshold && now.Sub(c.lastFailure) < cutOffRetention
}

func (p *Peers) getOrCreateDataCentre(name string) *dataCentre {
	c := p.dataCentres[name]
	if c == nil {
		if p.dataCentres == nil {
			p.dataCentres = map[string]*dataCentre{}
		}
		c = &dataCentre{unreachable: map[string]struct{}{}}
		p.dataCentres[name] = c
	}
	return c
}

// seemsCutOff reports whether a data centre seems cut off, by this entry's own observations or by
// what control reports.
func (p *Peers) seemsCutOff(now time.Time, name string, c *Choice) bool {
	return name != c.DataCentre && (c.Isolated || c.Unreached[name] || p.dataCentres[name].seemsCutOff(now))
}

// allowsDataCentre reports whether a request may be sent to a data centre now.
func (p *Peers) allowsDataCentre(now time.Time, name string, c *Choice) bool {
	return !p.seemsCutOff(now, name, c) || p.dataCentres[name] == nil || now.Sub(p.dataCentres[name].lastTrial) >= trialInterval
}

// recordTrial records a request to a data centre that seems cut off.
func (p *Peers) recordTrial(now time.Time, name string, c *Choice) {
	if p.seemsCutOff(now, name, c) {
		p.getOrCreateDataCentre(name).lastTrial = now
	}
}
