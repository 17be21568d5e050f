package sizing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// within reports whether two figures differ by at most a third of the larger one.
func within(a, b float64) bool { return min(a, b) >= max(a, b)*2/3 }

var fleet = Fleet{Entries: 985, Hubs: 25, Upstreams: 2999, Streams: 1060}

// Guards against estimates from costs that no longer hold: they must be within a third of what the
// busiest control replica needed in days that were played.
func TestPlayedDays(t *testing.T) {
	for _, tc := range []struct {
		name        string
		fleet       Fleet
		connections int // Open files of the replica.
		megabytes   float64
		cores       float64
		inForce     time.Duration // A configuration at the last entry.
	}{
		{"scale-1 of the fleet", fleet, 1165, 209.7, 0.2094, 453 * time.Millisecond},
		{"scale-2 of the fleet", fleet, 1207, 202.2, 0.2538, 424 * time.Millisecond},
		{"quiet-1 of the fleet", fleet, 1149, 206.3, 0.2891, 457 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := tc.fleet
			t.Logf("%d connections, %d MB, %.3f cores, %v", f.Connections(), f.Memory()/1e6, f.Cores(), f.ConfigurationDelay())
			must.True(t, within(float64(f.Connections()), float64(tc.connections)))
			must.True(t, within(float64(f.Memory())/1e6, tc.megabytes))
			must.True(t, within(f.Cores(), tc.cores))
			must.True(t, within(f.ConfigurationDelay().Seconds(), tc.inForce.Seconds()))
		})
	}
}

// Guards against a leader that can't carry the fleet on half of its VM, and against needs that grow
// faster than the fleet. The log's heartbeats grow with the hubs, so these are the same at twice the size.
func TestTwiceTheFleet(t *testing.T) {
	const vmBytes, vmCores = 536 << 20, 0.8
	two := fleet
	two.Entries, two.Upstreams, two.Streams = 2*fleet.Entries, 2*fleet.Upstreams, 2*fleet.Streams
	t.Logf("%d connections, %d MB, %.3f cores, %.0f frames a second, %v; %d MB of rosters after a stop of everything, %d at one times the size",
		two.Connections(), two.Memory()/1e6, two.Cores(), two.Frames(), two.ConfigurationDelay(), two.RestartBytes()/1e6, fleet.RestartBytes()/1e6)
	must.LessEq(t, vmBytes/2, fleet.Memory())
	must.LessEq(t, vmCores/2, fleet.Cores())
	must.LessEq(t, 2*fleet.Memory(), two.Memory())
	must.LessEq(t, 2*fleet.Cores(), two.Cores())
}
