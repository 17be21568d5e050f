// Package quota limits the open requests and request bodies of each client account at one entry, so
// that one account can't take the connections and memory of the others.
package quota

import "azurelane/core/tier"

type (
	// Quota counts open requests and the bytes of their bodies by account. The zero value is empty
	// and ready to use.
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
		waiting bool // The request may be shed.
	}
)

// Admit counts a new request. Level 0 is the most urgent. If the account has reached its limit of
// open requests, Admit sheds the newest waiting request of the least urgent level, provided that
// this level is less urgent than the new request's. The caller must refuse the requests in shed.
// Running requests of less urgent levels don't count against the new one: it is refused only if
// requests at least as urgent as itself fill the limit and no less urgent one waits. Otherwise an
// account's bulk work would fill the limit, and its alerts would be refused while the bulk work is
// kept.
func (q *Quota) Admit(name string, id uint64, level, limit int) (shed []uint64, ok bool) {
	a := q.accounts[name]
	if a == nil {
		a = &account{open: map[uint64]*request{}}
		if q.accounts == nil {
			q.accounts = map[string]*account{}
		}
		q.accounts[name] = a
	}
	shed = a.shedWhile(level, func() bool { return a.requestsUpTo(tier.Levels-1) >= limit })
	if a.requestsUpTo(level) >= limit {
		q.removeIfEmpty(name)
		return shed, false
	}
	a.open[id] = &request{level: level}
	a.requests[level]++
	return shed, true
}

// AddBytes counts n more bytes of a request's body, by the same rule as Admit.
func (q *Quota) AddBytes(name string, id uint64, n, limit int64) (shed []uint64, ok bool) {
	a := q.accounts[name]
	if a == nil || a.open[id] == nil {
		return nil, false
	}
	r := a.open[id]
	shed = a.shedWhile(r.level, func() bool { return a.bytesUpTo(tier.Levels-1)+n > limit })
	if a.bytesUpTo(r.level)+n > limit {
		return shed, false
	}
	r.bytes += n
	a.bytes[r.level] += n
	return shed, true
}

// MarkWaiting records that a request waits for a slot. From then on it may be shed.
func (q *Quota) MarkWaiting(name string, id uint64) { q.setWaiting(name, id, true) }

// MarkRunning records that a request is about to run. It returns false if the request has been shed
// and must not run.
func (q *Quota) MarkRunning(name string, id uint64) bool { return q.setWaiting(name, id, false) }

func (q *Quota) setWaiting(name string, id uint64, waiting bool) bool {
	a := q.accounts[name]
	if a == nil || a.open[id] == nil {
		return false
	}
	a.open[id].waiting = waiting
	return true
}

// Release removes a request from the counts. It does nothing for a request that was shed.
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

// shedWhile sheds waiting requests less urgent than level while the account is over its limit, and
// returns their IDs.
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

// shedOne sheds the newest waiting request of the least urgent level, if that level is less urgent
// than the given one. It searches all open requests, which only an account at its limit pays for.
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

// requestsUpTo counts the open requests that are at least as urgent as level.
func (a *account) requestsUpTo(level int) (n int) {
	for _, v := range a.requests[:level+1] {
		n += v
	}
	return n
}

// bytesUpTo counts the body bytes of requests that are at least as urgent as level.
func (a *account) bytesUpTo(level int) (n int64) {
	for _, v := range a.bytes[:level+1] {
		n += v
	}
	return n
}
