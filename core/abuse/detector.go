// Package abuse detects client accounts whose requests break upstreams, and confines them
// to one upstream.
package abuse

import "time"

type (
	// Detector counts failures by client account. The zero value is empty and ready to use.
	Detector struct {
		accounts map[string]*history
	}

	history struct {
		failures         int
		lastUpstream     string // Upstream of the last failure.
		severalUpstreams bool   // Failures on several upstreams.
		confinedUntil    time.Time
		confinement      time.Duration
	}
)

const (
	maxFailures    = 3
	minConfinement = 5 * time.Second
	maxConfinement = 5 * time.Minute
)

// RecordFailure counts a failure of an account's run on an upstream that works for others.
// Three consecutive failures, not all on the same upstream, confine the account.
func (d *Detector) RecordFailure(now time.Time, account, upstream string) {
	if d.accounts == nil {
		d.accounts = map[string]*history{}
	}
	h := d.accounts[account]
	if h == nil {
		h = &history{}
		d.accounts[account] = h
	}
	h.severalUpstreams = h.severalUpstreams || (h.lastUpstream != "" && h.lastUpstream != upstream)
	h.lastUpstream = upstream
	h.failures++
	if h.failures >= maxFailures && h.severalUpstreams && now.After(h.confinedUntil) {
		h.confinement = min(max(2*h.confinement, minConfinement), maxConfinement)
		h.confinedUntil = now.Add(h.confinement)
	}
}

// RecordSuccess counts a success, which clears the account.
func (d *Detector) RecordSuccess(account string) { delete(d.accounts, account) }

// Confined returns the one upstream that a suspected account may use, for one request at a
// time. This limits the damage by its requests to one upstream of the pool.
func (d *Detector) Confined(now time.Time, account string) (upstream string, ok bool) {
	h := d.accounts[account]
	if h == nil || !now.Before(h.confinedUntil) {
		return "", false
	}
	return h.lastUpstream, true
}
