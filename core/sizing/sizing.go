// Package sizing estimates what the leader of a control group needs, by the size of a deployment.
package sizing

import "time"

// Fleet is the size of a deployment.
type Fleet struct {
	Entries   int     // Processes that serve callers.
	Hubs      int     // Control replicas.
	Upstreams int     // Servers of all pools.
	Streams   float64 // Requests a second that the scheduler places.
}

// Costs of a leader, each measured by itself.
const (
	linkBytes     = 64 << 10              // A link that has sent the roster; TestMemoryOfIdleLinks and TestMemoryAfterLargeFrames in io/link.
	callerBytes   = 20 << 10              // The connection of an upstream that reports.
	upstreamBytes = 1700                  // State, index and scheduler for an upstream; newFleet in io/hub.
	baseBytes     = 8 << 20               // A replica without entries and upstreams.
	heapGrowth    = 2                     // The collector runs when the heap has doubled.
	frameCost     = 55 * time.Microsecond // Processor time for a frame with its handling; sweeps of four sites.
	packedBytes   = 21                    // An upstream in the packed roster.
	newsSpread    = 500 * time.Microsecond
	maxNewsSpread = time.Second

	pollInterval   = 2 * time.Second
	reportsASecond = 5  // Batches of reports from a hub.
	roundsASecond  = 25 // Heartbeats of the log to a hub, each with a reply.
)

// Connections returns the open connections of the leader: a link to each entry and hub, and its share
// of the upstreams that report.
func (f Fleet) Connections() int { return f.Entries + f.Hubs - 1 + f.Upstreams/max(f.Hubs, 1) }

// Memory returns the leader's peak of memory in bytes.
func (f Fleet) Memory() int64 {
	links := f.Entries + f.Hubs - 1
	live := baseBytes + links*linkBytes + f.Upstreams/max(f.Hubs, 1)*callerBytes + f.Upstreams*upstreamBytes
	return int64(heapGrowth * live)
}

// Frames returns the frames a second that the leader handles: a ticket and a release for each stream;
// a poll, a probe and a list of slots for each entry; the reports and the log of each hub.
func (f Fleet) Frames() float64 {
	polls := float64(f.Entries) / pollInterval.Seconds()
	return 2*f.Streams + 3*polls + float64(max(f.Hubs-1, 0)*(reportsASecond+2*roundsASecond))
}

// Cores returns the processor time of the leader, in cores.
func (f Fleet) Cores() float64 { return f.Frames() * frameCost.Seconds() }

// RestartBytes returns the bytes of the roster that the leader sends after a stop of everything.
func (f Fleet) RestartBytes() int64 { return int64(f.Entries) * int64(f.Upstreams) * packedBytes }

// ConfigurationDelay returns the time until the last entry has a new configuration in force.
func (f Fleet) ConfigurationDelay() time.Duration {
	return min(time.Duration(f.Entries)*newsSpread, maxNewsSpread)
}
