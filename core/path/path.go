// Package path judges whether a process still reaches any upstream, by the connections that it opens.
package path

import (
	"maps"
	"time"
)

const (
	// lossHosts is the number of hosts that must fail in a row, without a success in between, before
	// the path counts as lost. A single host may have crashed, and two may have crashed together.
	lossHosts = 3
	// suspectHosts is the number of hosts from which on failures may be the path's.
	suspectHosts = 2
	// failureRetention is how long a failure counts.
	failureRetention = 2 * time.Second
	// probeInterval is the time between two attempts to connect directly while the path is lost.
	probeInterval = 300 * time.Millisecond
	// A path that is found again gets one connection of rampStart at first, and twice as many after
	// each rampStep. All at once would hit the upstreams from all entries at the same moment.
	rampStart = 8
	rampStep  = 250 * time.Millisecond
)

// Path holds the observations of one process. The zero value takes the path for intact.
type Path struct {
	failed     map[string]time.Time // Last failure by host, since the last success.
	lost       bool
	probedAt   time.Time
	restoredAt time.Time
	count      int // Connections since the path was restored.
}

// RecordFailure records that no connection to a host could be used, and reports whether the path has
// just been lost.
func (p *Path) RecordFailure(now time.Time, host string) (lost bool) {
	if p.failed == nil {
		p.failed = map[string]time.Time{}
	}
	p.failed[host] = now
	p.forget(now)
	if p.lost || len(p.failed) < lossHosts {
		return false
	}
	p.lost, p.probedAt = true, now
	return true
}

// RecordSuccess records an answer on a new connection, and reports whether the path has just been
// found again.
func (p *Path) RecordSuccess(now time.Time) (restored bool) {
	clear(p.failed)
	if !p.lost {
		return false
	}
	p.lost, p.restoredAt, p.count = false, now, 0
	return true
}

// Lost reports whether the path is lost.
func (p *Path) Lost() bool { return p.lost }

// Failed lists the hosts whose failures count, with the time since.
func (p *Path) Failed(now time.Time) map[string]time.Duration {
	p.forget(now)
	list := map[string]time.Duration{}
	for host, at := range p.failed {
		list[host] = now.Sub(at)
	}
	return list
}

// Suspect reports whether recent failures may be the path's and not the hosts'.
func (p *Path) Suspect(now time.Time) bool {
	p.forget(now)
	return p.lost || len(p.failed) >= suspectHosts
}

// forget drops failures that no longer count.
func (p *Path) forget(now time.Time) {
	maps.DeleteFunc(p.failed, func(_ string, at time.Time) bool { return now.Sub(at) > failureRetention })
}

// Direct reports whether the next connection should be opened directly.
func (p *Path) Direct(now time.Time) bool {
	if p.lost {
		return false
	}
	every := rampStart
	for d := now.Sub(p.restoredAt); d >= rampStep && every > 1; d -= rampStep {
		every /= 2
	}
	p.count++
	return p.count%every == 0
}

// ProbeDue reports whether it is time to try the lost path again.
func (p *Path) ProbeDue(now time.Time) bool {
	if !p.lost || now.Sub(p.probedAt) < probeInterval {
		return false
	}
	p.probedAt = now
	return true
}
