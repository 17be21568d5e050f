package hub

import (
	"maps"
	"slices"
	"time"

	"azurelane/core/denial"
	"azurelane/core/wire"
)

// readAccount returns what the leader's scheduler knows of a client account. It is not stored, so a new leader
// knows no refusals from before, and no barrier in the log is needed.
func (h *Hub) readAccount(name string) (*wire.Frame, error) {
	s := h.leaderScheduler()
	if s == nil {
		return nil, h.notLeaderFault()
	}
	return &wire.Frame{Body: &wire.Frame_AccountStatus{AccountStatus: s.accountStatus(name)}}, nil
}

// accountStatus returns the tickets, slots and refusals of a client account.
func (s *scheduler) accountStatus(name string) *wire.AccountStatus {
	pools := map[string]*wire.AccountPool{}
	of := func(t *wire.Ticket) *wire.AccountPool {
		if t.GetAccount() != name {
			return &wire.AccountPool{}
		}
		if pools[t.GetPool()] == nil {
			pools[t.GetPool()] = &wire.AccountPool{Pool: t.GetPool()}
		}
		return pools[t.GetPool()]
	}
	s.sched.Inspect(func(t *wire.Ticket) { of(t).Waiting++ }, func(t *wire.Ticket, _ string) { of(t).Held++ })
	out := &wire.AccountStatus{Account: name}
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		out.Pools = append(out.Pools, pools[pool])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	age := time.Since(s.startedAt)
	_, out.Known = s.rates.accounts[name]
	out.WindowUs = min(denial.Window, age).Microseconds()
	refusals := s.denial.Of(age, name)
	for _, code := range slices.Sorted(maps.Keys(refusals)) {
		out.Refusals = append(out.Refusals, &wire.RefusalCount{Code: code, Count: refusals[code]})
	}
	return out
}

// slotsByUpstream returns the number of slots that are held at each upstream.
func (s *scheduler) slotsByUpstream() map[string]int64 {
	counts := map[string]int64{}
	s.sched.Inspect(func(*wire.Ticket) {}, func(_ *wire.Ticket, upstream string) { counts[upstream]++ })
	return counts
}
