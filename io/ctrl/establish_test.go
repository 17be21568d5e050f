package ctrl

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/state"
	"azurelane/core/wire"
)

// Guards against a leader that takes its state for the newest before it has applied what earlier
// leaders have committed: after a stop of everything it handed out the configuration of its last
// snapshot.
func TestLeaderIsEstablishedOnceItHasAppliedAll(t *testing.T) {
	const version = 5
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		for v := range version {
			r := command(t, l, &wire.Command{Kind: &wire.Command_Publish{Publish: &wire.Publish{Version: uint64(v + 1), Document: []byte("text")}}})
			must.Eq(t, state.OK, r.GetCode())
		}
		for _, a := range n.addrs {
			slow(20*time.Millisecond, n.at(a).restart())
		}
		early, established := 0, 0
		for range 5000 {
			time.Sleep(time.Millisecond)
			for _, a := range n.addrs {
				r := n.at(a)
				leads, ready := r.Leads(), r.Established()
				v, _ := r.Publication()
				switch {
				case ready:
					established++
					must.Eq(t, version, v)
				case leads && v < version:
					early++
				}
			}
		}
		must.Positive(t, early, must.Sprint("no leader was behind: nothing was tested"))
		must.Positive(t, established)
	})
}
