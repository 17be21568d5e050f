package gate

import (
	"maps"
	"slices"
	"sync"
	"time"

	"azurelane/core/wire"
)

// speedReportDelay is how long a statement waits for a release that takes it along, before it is reported by
// itself. Statements stay true for 0.6 s on average.
const speedReportDelay = 100 * time.Millisecond

type (
	// speeds holds how long work currently takes at upstreams, as their responses state it, until the scheduler
	// is told. The zero value is ready.
	speeds struct {
		mu         sync.Mutex
		pools      []string // Pools whose scheduler uses it.
		unreported map[string]statedSpeed
	}

	statedSpeed struct {
		percent float64 // Of the usual time.
		at      time.Time
	}
)

// SetLiveSpeed takes the pools whose scheduler uses how long work currently takes at upstreams.
func (g *Gate) SetLiveSpeed(pools []string) {
	g.speeds.mu.Lock()
	defer g.speeds.mu.Unlock()
	g.speeds.pools = pools
}

// recordSpeed records how long work currently takes at an upstream, whose response has just stated it. The newest
// statement replaces earlier ones.
func (g *Gate) recordSpeed(pool, upstream string, percent float64) {
	s := &g.speeds
	s.mu.Lock()
	defer s.mu.Unlock()
	if percent == 0 || !slices.Contains(s.pools, pool) {
		return
	}
	if s.unreported == nil {
		s.unreported = map[string]statedSpeed{}
	}
	if len(s.unreported) == 0 {
		time.AfterFunc(speedReportDelay, g.reportSignal.notify)
	}
	s.unreported[upstream] = statedSpeed{percent, time.Now()}
}

// TakeSpeeds returns the statements that the scheduler has not been told, with their ages, and clears them. Those
// that get lost are replaced by later ones.
func (g *Gate) TakeSpeeds() []*wire.Speed {
	s := &g.speeds
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*wire.Speed
	for _, id := range slices.Sorted(maps.Keys(s.unreported)) {
		u := s.unreported[id]
		list = append(list, &wire.Speed{Upstream: id, Percent: u.percent, AgeUs: time.Since(u.at).Microseconds()})
	}
	clear(s.unreported)
	return list
}
