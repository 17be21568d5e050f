// Package blame finds client accounts whose requests break upstreams, and
// keeps them from breaking more.
package abuse

import "time"

type (
	// Detector counts failures by client account. The zero value is empty and ready.
	Detector struct {
		accounts map[string]*record
	}

	record struct {
		fails  int
		last   string // Upstream of the last failure.
		spread bool   // Failures on several upstreams.
		until  time.Time
		pause  time.Duration
	}
)

const (
	failsMost    = 3
	firstPause   = 5 * time.Second
	longestPause = 5 * time.Minute
)

// RecordFailure counts a failure of an account's run on an upstream that works for
// others. Three in a row, not all on one upstream, confine the account.
func (b *Detector) RecordFailure(now time.Time, account, upstream string) {
	if b.accounts == nil {
		b.accounts = map[string]*record{}
	}
	r := b.accounts[account]
	if r == nil {
		r = &record{}
		b.accounts[account] = r
	}
	r.spread = r.spread || (r.last != "" && r.last != upstream)
	r.last = upstream
	r.fails++
	if r.fails >= failsMost && r.spread && now.After(r.until) {
		r.pause = min(max(2*r.pause, firstPause), longestPause)
		r.until = now.Add(r.pause)
	}
}

// RecordSuccess counts a success, which clears the account.
func (b *Detector) RecordSuccess(account string) { delete(b.accounts, account) }

// Confined returns the one upstream that the account may use, for one request
// at a time, while it is under suspicion. So what its requests break is broken
// at one place and not all over the pool.
func (b *Detector) Confined(now time.Time, account string) (upstream string, ok bool) {
	r := b.accounts[account]
	if r == nil || !now.Before(r.until) {
		return "", false
	}
	return r.last, true
}
