package kernel_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/conf"
	"azurelane/core/kernel"
	_ "azurelane/core/pull" // Registers the policy.
	"azurelane/core/state"
	"azurelane/core/wire"
)

func Example() {
	cfg, err := conf.Parse([]byte(`{
		"client-accounts": {"dispatch": {"key-sha256": "7e9f8fd111802be56c379d597842e29b2cebd35ff2133d431a49fa556a18704e"}},
		"tiers": {"alert": {"level": 0}, "briefing": {"level": 2}},
		"pools": {"language": {"models": ["advisory"]}}
	}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	sched, err := kernel.New("late")
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Now() // The embedding program owns the clock.
	sched.Configure(now, "language", cfg)
	sched.Announce(now, &wire.Announce{
		Upstream: "engine-1", Address: "10.0.0.5:8000", Pools: []string{"language"}, Models: []string{"advisory"},
		MaxRunning: 4, LeaseUs: (3 * time.Second).Microseconds(),
	})
	for _, d := range sched.Submit(now, &wire.Ticket{
		Id: 1, Entry: "entry-1", Incarnation: "a", Account: "dispatch", Pool: "language", Model: "advisory",
		Tier: wire.Tier_TIER_URGENT, PromptTokens: 200, AnswerTokens: 50,
	}) {
		fmt.Println("ticket", d.GetTicket(), "goes to", d.GetGrant().GetUpstream())
	}
	for seq := range uint64(5) { // The upstream leaves, and says so each second.
		now = now.Add(time.Second)
		sched.Announce(now, &wire.Announce{Upstream: "engine-1", Pools: []string{"language"}, Seq: 1 + seq, Leaving: true})
	}
	for _, d := range sched.Submit(now, &wire.Ticket{Id: 2, Entry: "entry-1", Incarnation: "a", Account: "dispatch", Pool: "language"}) {
		fmt.Println("ticket", d.GetTicket(), "is refused:", d.GetRefusal().GetCode())
	}
	// Output:
	// ticket 1 goes to engine-1
	// ticket 2 is refused: no-upstream
}

func Example_claims() {
	var s state.State // The machine that a replicated log drives.
	claim := func(holder string) *wire.Command {
		return &wire.Command{Id: holder, Kind: &wire.Command_Claim{Claim: &wire.Claim{
			Account: "dispatch", Key: "alert-17", BodyHash: 7, Holder: holder, Address: "10.0.0.2:7000", Request: 1,
		}}}
	}
	fmt.Println(s.Apply(claim("entry-1")).GetCode())
	second := s.Apply(claim("entry-2"))
	fmt.Println(second.GetCode(), "at", second.GetHolder())
	// Output:
	// ok
	// running at entry-1
}

// The page for those who embed shows the examples as they run here.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/EMBEDDING.md")
	must.NoError(t, err)
	source, err := os.ReadFile("example_test.go")
	must.NoError(t, err)
	for _, name := range []string{"func Example() {", "func Example_claims() {"} {
		_, rest, ok := strings.Cut(string(source), name)
		must.True(t, ok)
		body, _, ok := strings.Cut(rest, "\n}\n")
		must.True(t, ok)
		must.StrContains(t, string(page), name+body+"\n}\n")
	}
}
