package grant

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"azurelane/core/refuse"
	"azurelane/core/wire"
)

func refusalFrame(t *wire.Ticket, code string) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Decision{Decision: &wire.Decision{
		Ticket: t.GetId(), Kind: &wire.Decision_Refusal{Refusal: &wire.Refusal{Code: code, RetryAfterUs: 1_000_000}},
	}}}
}

// When the pool has no upstream in this data centre, the ticket is sent to the other data centres
// in the configured order, skipping an unreachable entry, and the slot is released through the same
// entry. Any other refusal, here or there, is final. A ticket that came from another data centre is
// not sent on, which prevents loops.
func TestRemoteDataCentres(t *testing.T) {
	unreachable, remote, third := netip.MustParseAddrPort("127.0.0.1:7"), netip.MustParseAddrPort("127.0.0.1:8"), netip.MustParseAddrPort("127.0.0.1:9")
	for _, tc := range []struct {
		name, localCode, remoteCode string
		fromRemote                  bool
		want                        string // Code of the refusal; empty for a grant.
		asked                       int
	}{
		{"granted", refuse.NoUpstream, "", false, "", 2},
		{"none anywhere", refuse.NoUpstream, refuse.NoUpstream, false, refuse.NoUpstream, 3},
		{"full there", refuse.NoUpstream, refuse.Overloaded, false, refuse.Overloaded, 2},
		{"full here", refuse.Overloaded, "", false, refuse.Overloaded, 0},
		{"came from abroad", refuse.NoUpstream, "", true, refuse.NoUpstream, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fake{owner: bob}
				asked := 0
				f.call = func(_ context.Context, to netip.AddrPort, m *wire.Frame) (*wire.Frame, error) {
					if r := m.GetRelay(); r != nil {
						asked++
						must.Eq(t, "p", r.GetPool())
						must.True(t, r.GetFrame().GetTicket().GetAbroad())
						if to == unreachable {
							return nil, errLinkDown
						}
						if tc.remoteCode != "" {
							return refusalFrame(r.GetFrame().GetTicket(), tc.remoteCode), nil
						}
						return grantFrame(r.GetFrame().GetTicket(), 5), nil
					}
					return refusalFrame(m.GetTicket(), tc.localCode), nil
				}
				g := f.client()
				g.RemoteEntries = func(string) []netip.AddrPort { return []netip.AddrPort{unreachable, remote, third} }
				r, err := g.Grant(t.Context(), &wire.Ticket{Id: 1, Pool: "p", Abroad: tc.fromRemote})
				must.Eq(t, tc.asked, asked)
				if tc.want != "" {
					var re *refuse.Error
					must.True(t, errors.As(err, &re))
					must.Eq(t, tc.want, re.Code)
					return
				}
				must.NoError(t, err)
				must.Eq(t, uint64(5), r.GetSlot())
				g.sendRemoteHeldLists()
				synctest.Wait()
				must.Len(t, 1, f.sends[0].GetRelay().GetFrame().GetHeld().GetSlots())
				g.Release(&wire.Release{Ticket: 1, Pool: "p", Slot: 5})
				must.NotNil(t, f.sends[1].GetRelay().GetFrame().GetRelease())
				g.sendRemoteHeldLists()
				synctest.Wait()
				must.SliceEmpty(t, f.sends[2].GetRelay().GetFrame().GetHeld().GetSlots())
				time.Sleep(time.Minute)
				g.sendRemoteHeldLists()
				must.Len(t, 3, f.sends) // No further list is due.
			})
		})
	}
}
