package hub

import (
	"maps"
	"math"
	"slices"

	"azurelane/core/part"
)

// partLine is what a log line says of one account's part of a pool.
type partLine struct {
	Weight        float64 `json:"weight"`
	Share         float64 `json:"share,omitzero"` // In slots; left out while it has no bound.
	Held          int     `json:"held"`
	Used          float64 `json:"used"`
	Waiting       float64 `json:"waiting-s"`
	Beyond        bool    `json:"beyond"`
	RefusedWithin uint64  `json:"refused-within"`
	RefusedBeyond uint64  `json:"refused-beyond"`
}

// logAccountShares logs what the client accounts get of the pools that give them shares, and counts the
// accounts beyond their shares. The lines tell why an account is refused: with "refused-beyond" it used more
// than its share, with "refused-within" the pool had too little for all shares. Both count from when the
// scheduler began.
func (s *scheduler) logAccountShares() {
	pools := s.sched.Shares()
	beyond := int64(0)
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		lines := partLines(pools[pool])
		for _, l := range lines {
			if l.Beyond {
				beyond++
			}
		}
		if len(lines) > 0 {
			s.log.Info("Shares of accounts.", "pool", pool, "accounts", lines, "scheduler", s.id)
		}
	}
	if len(pools) > 0 {
		s.stats.Gauge("accounts-beyond-share", beyond)
	}
}

// partLines returns the lines of the accounts that use the pool or wait for it.
func partLines(parts map[string]part.Part) map[string]partLine {
	lines := map[string]partLine{}
	round := func(v float64) float64 { return math.Round(10*v) / 10 }
	for name, p := range parts {
		if p.Held == 0 && p.Waiting == 0 && p.Used < 0.05 {
			continue
		}
		l := partLine{Weight: round(p.Weight), Held: p.Held, Used: round(p.Used), Waiting: round(p.Waiting), Beyond: p.Beyond, RefusedWithin: p.RefusedWithin, RefusedBeyond: p.RefusedBeyond}
		if !math.IsInf(p.Share, 1) {
			l.Share = round(p.Share)
		}
		lines[name] = l
	}
	return lines
}
