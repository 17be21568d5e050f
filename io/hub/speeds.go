package hub

import (
	"maps"
	"slices"
	"time"
)

// speedsLogInterval is the time between two log lines of the estimated speeds of upstreams.
// Requests that run for seconds are placed by these estimates, so an estimate that stays wrong
// shows in several lines.
const speedsLogInterval = 5 * time.Second

// logSpeeds logs the estimated speeds of upstreams, in microseconds per token of an answer. A
// request is refused despite free slots if by these estimates no upstream could complete it in
// time. The lines show whether that was right.
func (s *scheduler) logSpeeds(now time.Time) {
	if now.Sub(s.speedsLoggedAt) < speedsLogInterval {
		return
	}
	s.speedsLoggedAt = now
	s.logSlots()
	s.logLate()
	s.logCurrentSpeeds()
	s.logAccountShares()
	speeds := s.sched.TokenTimes()
	for _, pool := range slices.Sorted(maps.Keys(speeds)) {
		if len(speeds[pool]) == 0 {
			continue
		}
		each := make(map[string]int64, len(speeds[pool]))
		for name, token := range speeds[pool] {
			each[name] = token.Microseconds()
		}
		s.log.Info("Speeds of upstreams.", "pool", pool, "us-a-token", each, "scheduler", s.id)
	}
}

// logSlots logs how many slots of each pool are held, and which entry holds most. One entry that holds
// most of them while it gets few of the requests keeps them for longer than upstreams work.
func (s *scheduler) logSlots() {
	slots := s.sched.SlotsByEntry()
	for _, pool := range slices.Sorted(maps.Keys(slots)) {
		held, most, entry := 0, 0, ""
		for _, name := range slices.Sorted(maps.Keys(slots[pool])) {
			n := slots[pool][name]
			held += n
			if n > most {
				most, entry = n, name
			}
		}
		if held > 0 {
			s.log.Info("Slots of upstreams.", "pool", pool, "held", held, "most", most, "entry", entry, "scheduler", s.id)
		}
	}
}

// slowPercent is the percentage of its usual time from which on the log counts an upstream as slow at the moment.
const slowPercent = 150

// logCurrentSpeeds logs what is known of the current speeds of upstreams, for each pool that uses them. Few known
// upstreams or old statements mean that requests are placed by usual speeds.
func (s *scheduler) logCurrentSpeeds() {
	speeds := s.sched.SpeedStatus(slowPercent)
	for _, pool := range slices.Sorted(maps.Keys(speeds)) {
		p := speeds[pool]
		s.log.Info("Speeds at this moment.", "pool", pool, "known", p.Known, "median-age", p.Age.String(), "share-above-150", p.Share, "scheduler", s.id)
	}
}

// lateOutlook is the time ahead for which the room of a pool is logged.
const lateOutlook = 5 * time.Second

// logLate logs for each pool that serves late requests what became of them. Callers who complain of refusals
// while slots are free show here as a forecast of room that is too low.
func (s *scheduler) logLate() {
	late := s.sched.Late(lateOutlook)
	for _, pool := range slices.Sorted(maps.Keys(late)) {
		l := late[pool]
		s.log.Info("Late service.", "pool", pool, "deferred", l.Deferred, "granted", l.Granted, "refused", l.Refused,
			"capacity", l.Capacity, "committed", l.Committed.String(), "free", l.Free.String(), "scheduler", s.id)
	}
}
