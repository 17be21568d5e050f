package front

import (
	"time"

	"azurelane/core/acct"
	"azurelane/core/refuse"
)

// usage is what one client account has open at this entry.
type usage struct {
	requests int
	bytes    int64
}

// take counts a request against its account's limits, so that one account
// can't take the connections and memory of the others.
func (f *Front) take(name string, a acct.Account) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open == nil {
		f.open = map[string]*usage{}
	}
	u := f.open[name]
	if u == nil {
		u = &usage{}
		f.open[name] = u
	}
	if u.requests >= a.MaxConnections {
		return refuse.New(refuse.AccountLimit, "too many open requests", time.Second)
	}
	u.requests++
	return nil
}

// takeBytes counts a body against its account's limit, before it is read:
// bodies that trickle in hold memory as much as those that are there.
func (f *Front) takeBytes(name string, a acct.Account, n int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.open[name]
	if u.bytes+n > a.MaxBodies {
		return refuse.New(refuse.AccountLimit, "too many bytes in open requests", time.Second)
	}
	u.bytes += n
	return nil
}

// give takes back what a request counted.
func (f *Front) give(name string, n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.open[name]
	u.requests--
	u.bytes -= n
	if u.requests == 0 {
		delete(f.open, name)
	}
}
