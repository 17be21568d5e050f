// Package quota bounds what each client account has open at one entry, so that
// one account can't take the connections and memory of the others.
package quota

import "azurelane/core/tier"

type (
	// Quota counts open requests and their bodies by account. The zero value is
	// empty and ready.
	Quota struct {
		accounts map[string]*account
	}

	account struct {
		open     map[uint64]*request
		requests [tier.Levels]int
		bytes    [tier.Levels]int64
	}

	request struct {
		level   int
		bytes   int64
		waiting bool // It may be shed.
	}
)

// Admit counts a request in. When its account is at its most requests, the newest
// waiting one of the least urgent lower tier goes for it: the result names it,
// and the caller must refuse it. Otherwise what runs in lower tiers doesn't
// stand in the way: a request is refused only when as many requests as urgent as
// itself are open and no lower one waits. Without this an account's bulk work
// would fill its limit, and its alert be refused while the bulk work is kept.
func (q *Quota) Admit(name string, id uint64, level, most int) (shed []uint64, ok bool) {
	a := q.accounts[name]
	if a == nil {
		a = &account{open: map[uint64]*request{}}
		if q.accounts == nil {
			q.accounts = map[string]*account{}
		}
		q.accounts[name] = a
	}
	shed = a.shedWhile(level, func() bool { return a.requestsUpTo(tier.Levels-1) >= most })
	if a.requestsUpTo(level) >= most {
		q.removeIfEmpty(name)
		return shed, false
	}
	a.open[id] = &request{level: level}
	a.requests[level]++
	return shed, true
}

// AddBytes counts n more bytes of a request's body, by the same rule.
func (q *Quota) AddBytes(name string, id uint64, n, most int64) (shed []uint64, ok bool) {
	a := q.accounts[name]
	if a == nil || a.open[id] == nil {
		return nil, false
	}
	r := a.open[id]
	shed = a.shedWhile(r.level, func() bool { return a.bytesUpTo(tier.Levels-1)+n > most })
	if a.bytesUpTo(r.level)+n > most {
		return shed, false
	}
	r.bytes += n
	a.bytes[r.level] += n
	return shed, true
}

// MarkWaiting notes that a request waits for a slot: from now on it may be shed.
func (q *Quota) MarkWaiting(name string, id uint64) { q.setWaiting(name, id, true) }

// MarkRunning notes that a request is about to run. It reports false when the request
// has been shed; it must not run then.
func (q *Quota) MarkRunning(name string, id uint64) bool { return q.setWaiting(name, id, false) }

func (q *Quota) setWaiting(name string, id uint64, waiting bool) bool {
	a := q.accounts[name]
	if a == nil || a.open[id] == nil {
		return false
	}
	a.open[id].waiting = waiting
	return true
}

// Release takes back what a request counted. One that was shed counts no more.
func (q *Quota) Release(name string, id uint64) {
	if a := q.accounts[name]; a != nil {
		a.remove(id)
		q.removeIfEmpty(name)
	}
}

func (q *Quota) removeIfEmpty(name string) {
	if len(q.accounts[name].open) == 0 {
		delete(q.accounts, name)
	}
}

// shedWhile drops requests below the level as long as the account is over its
// limit and one of them waits.
func (a *account) shedWhile(level int, over func() bool) (ids []uint64) {
	for over() {
		id, found := a.shedOne(level)
		if !found {
			break
		}
		ids = append(ids, id)
	}
	return ids
}

// shedOne drops the newest waiting request of the least urgent level below the
// given one. Only an account at its limit pays for the search.
func (a *account) shedOne(level int) (uint64, bool) {
	var victim uint64
	var found bool
	for id, r := range a.open {
		if !r.waiting || r.level <= level {
			continue
		}
		if v := a.open[victim]; !found || r.level > v.level || (r.level == v.level && id > victim) {
			victim, found = id, true
		}
	}
	if found {
		a.remove(victim)
	}
	return victim, found
}

func (a *account) remove(id uint64) {
	if r := a.open[id]; r != nil {
		a.requests[r.level]--
		a.bytes[r.level] -= r.bytes
		delete(a.open, id)
	}
}

func (a *account) requestsUpTo(level int) (n int) {
	for _, v := range a.requests[:level+1] {
		n += v
	}
	return n
}

func (a *account) bytesUpTo(level int) (n int64) {
	for _, v := range a.bytes[:level+1] {
		n += v
	}
	return n
}
