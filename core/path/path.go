// Package path judges whether a process still reaches any upstream, by the connections that it opens.
package path

import (
	"maps"
	"time"
)

const (
	// lossHosts is the number of hosts that must count against the path, without a success in between,
	// before it is lost. A single host may have crashed, and two may have crashed together.
	lossHosts = 3
	// suspectHosts is the number of hosts from which on failures may be the path's.
	suspectHosts = 2
	// failureRetention is how long a failure counts.
	failureRetention = 2 * time.Second
	// reliableHearing is how long bytes from any host show that the path is intact, and cutOffQuiet how
	// long none may have come before a process without a path takes itself for cut off.
	reliableHearing = 300 * time.Millisecond
	cutOffQuiet     = time.Second
	// probeInterval is the time between two attempts to connect directly while the path is lost.
	probeInterval = 300 * time.Millisecond
	// A path that is found again gets one connection of rampStart at first, and twice as many after
	// each rampStep. All at once would hit the upstreams from all entries at the same moment.
	rampStart = 8
	rampStep  = 250 * time.Millisecond
)

type (
	// Path holds the observations of one process. The zero value takes the path for intact.
	Path struct {
		failed     map[string]failure // By host, since the last success.
		lost       bool
		probedAt   time.Time
		restoredAt time.Time
		heardAt    time.Time // When bytes last came from a host.
		count      int       // Connections since the path was restored.
	}

	failure struct {
		at      time.Time
		refused bool
		against bool // It counts against the path.
	}

	// Elsewhere is what other processes say of a host that failed here.
	Elsewhere int
)

// What other processes say.
const (
	Unknown Elsewhere = iota // None could be asked, or none is sure.
	Down                     // The host is down for them, too.
	Reached
)

// RecordFailure records that no connection to a host could be used, and whether the host refused it. The
// failure counts once RecordElsewhere was called for the host.
func (p *Path) RecordFailure(now time.Time, host string, refused bool) {
	if p.failed == nil {
		p.failed = map[string]failure{}
	}
	p.failed[host] = failure{now, refused, p.failed[host].against}
	p.forget(now)
}

// RecordElsewhere records what other processes say of a host that failed here, and reports whether the
// path has just been lost. A host that is down for others says nothing about the path. If nothing is
// known, silence counts against the path, and a refused connection does not: it is an answer.
func (p *Path) RecordElsewhere(now time.Time, host string, e Elsewhere) (lost bool) {
	f, ok := p.failed[host]
	switch {
	case !ok:
		return false
	case e == Down:
		delete(p.failed, host)
		return false
	}
	f.against = f.against || e == Reached || !f.refused
	p.failed[host] = f
	return p.judge(now)
}

// judge reports whether the path has just been lost.
func (p *Path) judge(now time.Time) bool {
	p.forget(now)
	against := 0
	for _, f := range p.failed {
		if f.against {
			against++
		}
	}
	if p.lost || against < lossHosts {
		return false
	}
	p.lost, p.probedAt = true, now
	return true
}

// RecordSuccess records an answer on a new connection, and reports whether the path has just been
// found again.
func (p *Path) RecordSuccess(now time.Time) (restored bool) {
	clear(p.failed)
	p.heardAt = now
	if !p.lost {
		return false
	}
	p.lost, p.restoredAt, p.count = false, now, 0
	return true
}

// RecordHeard records that bytes came from a host, on whichever connection.
func (p *Path) RecordHeard(now time.Time) { p.heardAt = now }

// Lost reports whether the path is lost.
func (p *Path) Lost() bool { return p.lost }

// CutOff reports whether the path is lost and direct connections are of no use.
func (p *Path) CutOff(now time.Time) bool { return p.lost && now.Sub(p.heardAt) > cutOffQuiet }

// Reliable reports whether a connection that fails here shows the state of its host.
func (p *Path) Reliable(now time.Time) bool {
	return !p.Suspect(now) || (!p.lost && now.Sub(p.heardAt) <= reliableHearing)
}

// Excuses reports whether a failure at a host is the path's fault as far as known, and not the host's.
func (p *Path) Excuses(now time.Time, host string) bool {
	p.forget(now)
	return p.lost || (p.failed[host].against && len(p.failed) >= suspectHosts)
}

// Failed describes the failures that count, by host.
func (p *Path) Failed(now time.Time) map[string]string {
	p.forget(now)
	list := map[string]string{}
	for host, f := range p.failed {
		list[host] = f.describe(now)
	}
	return list
}

func (f failure) describe(now time.Time) string {
	kind, counts := "silent", "not compared, or unknown elsewhere"
	if f.refused {
		kind = "refused"
	}
	if f.against {
		counts = "against the path"
	}
	return kind + " " + now.Sub(f.at).Round(time.Millisecond).String() + " ago, " + counts
}

// Quiet returns how long ago bytes last came from a host.
func (p *Path) Quiet(now time.Time) time.Duration { return now.Sub(p.heardAt) }

// Suspect reports whether recent failures may be the path's and not the hosts'.
func (p *Path) Suspect(now time.Time) bool {
	p.forget(now)
	return p.lost || len(p.failed) >= suspectHosts
}

// forget drops failures that no longer count.
func (p *Path) forget(now time.Time) {
	maps.DeleteFunc(p.failed, func(_ string, f failure) bool { return now.Sub(f.at) > failureRetention })
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
