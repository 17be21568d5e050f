package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	_ "azurelane/core/batch" // Registers a policy that uses current speeds.
	"azurelane/core/conf"
	"azurelane/core/pool"
	_ "azurelane/core/pull" // Registers a policy that does not use them.
	"azurelane/core/wire"
)

// Guards against a scheduler that uses current speeds in pools without the switch, or that does not show that it
// knows them: an operator sees by that whether they arrive.
func TestSpeedStatus(t *testing.T) {
	s := &Sched{Incarnation: "own"}
	s.Install(&conf.Config{Pools: map[string]pool.Pool{
		"live":   {Scheduler: "batch", Slots: 4, LiveSpeed: true},
		"others": {Scheduler: "batch", Slots: 4},
		"plain":  {Scheduler: "late", LiveSpeed: true},
	}})
	for _, name := range []string{"a", "b"} {
		s.Announce(&wire.Announce{Upstream: name, Pools: []string{"live", "others", "plain"}, MaxRunning: 4, LeaseUs: time.Hour.Microseconds(), Seq: 1})
	}
	must.MapEmpty(t, s.SpeedStatus(150))
	s.RecordSpeeds([]*wire.Speed{{Upstream: "a", Percent: 250, AgeUs: time.Second.Microseconds()}, {Upstream: "b", Percent: 100}, {Upstream: "unknown", Percent: 100}})
	s.RecordSpeeds([]*wire.Speed{{Upstream: "a", Percent: 100, AgeUs: time.Minute.Microseconds()}})
	got := s.SpeedStatus(150)
	must.MapLen(t, 1, got)
	must.Eq(t, 2, got["live"].Known)
	must.Eq(t, 0.5, got["live"].Share)
	must.Between(t, time.Second, got["live"].Age, 2*time.Second)
}
