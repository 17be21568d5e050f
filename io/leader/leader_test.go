package leader

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

func addr(i uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), i)
}

// group holds the leader that each control replica names, by address. Missing replicas don't reply.
type group map[netip.AddrPort]netip.AddrPort

func (g group) Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error) {
	switch l, ok := g[to]; {
	case !ok:
		<-ctx.Done()
		return nil, ctx.Err()
	case l == to && f.GetCommand().GetId() == "unsafe":
		return nil, &wire.Fault{Code: Refused}
	case l == to:
		return &wire.Frame{Body: &wire.Frame_Result{Result: &wire.Result{Code: "ok", Winner: to.String()}}}, nil
	default:
		return nil, &wire.Fault{Code: NotLeader, Leader: l.String()}
	}
}

// Guards against a client that does not find the leader, or does not report within five seconds that
// there is none. It knows replicas 1 and 2.
func TestFindsTheLeader(t *testing.T) {
	none := netip.AddrPort{}
	for _, tt := range []struct {
		name  string
		group group
		id    string
		want  string
		limit time.Duration
	}{
		{"first leads", group{addr(1): addr(1), addr(2): addr(1)}, "", "127.0.0.1:1", 0},
		{"named by the first", group{addr(1): addr(2), addr(2): addr(2)}, "", "127.0.0.1:2", 0},
		{"named, but not among those it was told of", group{addr(1): addr(3), addr(2): none, addr(3): addr(3)}, "", "127.0.0.1:3", 0},
		{"first is silent", group{addr(2): addr(2)}, "", "127.0.0.1:2", attemptTimeout},
		{"named one is silent", group{addr(1): addr(9), addr(2): addr(2)}, "", "127.0.0.1:2", attemptTimeout + roundPause},
		{"no leader", group{addr(1): none, addr(2): none}, "", "", callTimeout},
		{"final refusal", group{addr(1): addr(2), addr(2): addr(2)}, "unsafe", "", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &Leader{Replicas: []netip.AddrPort{addr(1), addr(2)}, Caller: tt.group}
				at := time.Now()
				r, err := l.Propose(context.Background(), &wire.Command{Id: tt.id})
				must.Eq(t, tt.want, r.GetWinner())
				must.Eq(t, tt.want == "", err != nil)
				must.Eq(t, tt.limit, time.Since(at))
			})
		})
	}
}
