package hub

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/denial"
	"azurelane/core/refuse"
	"azurelane/core/wire"
)

// Guards against an operator who is told of another account's tickets, slots or refusals, or of refusals that are
// long past or that left a run where it was, and who can't see why an account is refused.
func TestAccountStatus(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		ask := func(name string) *wire.AccountStatus {
			r, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_AccountQuery{AccountQuery: &wire.AccountQuery{Account: name}}})
			must.NoError(t, err)
			return r.GetAccountStatus()
		}
		must.NoError(t, h.Report(t.Context(), newReport("s", 1, wire.Upstream_STATE_SERVING)))
		for id := range uint64(5) {
			must.NotNil(t, submit(h, 1+id, 1).GetGrant())
		}
		must.NotNil(t, submit(h, 10, 1).GetRefusal(), must.Sprint("all slots are held"))
		_, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Usage{Usage: &wire.Usage{Accounts: []*wire.AccountUsage{{Account: "a", Units: 5000}}}}})
		must.NoError(t, err)
		must.Eq(t, refuse.AccountLimit, submit(h, 11, 1).GetRefusal().GetCode())
		for id := range uint64(3) {
			h.HandleAsync(t.Context(), &wire.Frame{Body: &wire.Frame_Ticket{Ticket: &wire.Ticket{
				Id: 20 + id, Incarnation: "i", Pool: "engines", Account: []string{"a", "a", "other"}[id], DeadlineUs: time.Minute.Microseconds(),
				ObjectiveUs: time.Minute.Microseconds(), PromptTokens: 10, AnswerTokens: 10,
			}}}, func(*wire.Frame) {})
		}
		moved, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Ticket{Ticket: &wire.Ticket{
			Id: 30, Incarnation: "i", Pool: "engines", Account: "a", DeadlineUs: time.Minute.Microseconds(), Move: &wire.Move{From: "s", Ticket: 1},
		}}})
		must.NoError(t, err)
		must.Eq(t, refuse.Overloaded, moved.GetDecision().GetRefusal().GetCode())
		st := ask("a")
		must.True(t, st.GetKnown())
		must.Len(t, 1, st.GetPools())
		must.Eq(t, "engines", st.GetPools()[0].GetPool())
		must.Eq(t, 5, st.GetPools()[0].GetHeld())
		must.Eq(t, 2, st.GetPools()[0].GetWaiting())
		refusals := map[string]int64{}
		for _, r := range st.GetRefusals() {
			refusals[r.GetCode()] = r.GetCount()
		}
		must.MapLen(t, 2, refusals)
		must.Eq(t, 1, refusals[refuse.AccountLimit])
		must.Eq(t, 1, refusals[refuse.Overloaded], must.Sprint("of a ticket that is no move"))
		must.Less(t, denial.Window, micros(st.GetWindowUs()))
		must.False(t, ask("other").GetKnown())
		must.Eq(t, 1, ask("other").GetPools()[0].GetWaiting())
		must.SliceEmpty(t, ask("other").GetRefusals())
		time.Sleep(denial.Window)
		for _, r := range ask("a").GetRefusals() {
			must.NotEq(t, refuse.AccountLimit, r.GetCode())
		}
		f.setLeads(false)
		time.Sleep(time.Second)
		_, err = h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_AccountQuery{AccountQuery: &wire.AccountQuery{Account: "a"}}})
		must.Error(t, err)
	})
}
