package state

import (
	"bytes"
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"azurelane/core/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1") // The same runs each time.
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func claim(holder string, request uint64) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Claim{Claim: &wire.Claim{
		Account: "a", Key: "k", Holder: holder, Request: request, KeepUs: time.Hour.Microseconds(),
	}}}
}

func finish(holder string, request uint64, outcome string, now int64) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Finish{Finish: &wire.Finish{
		Account: "a", Key: "k", Holder: holder, Request: request, Outcome: outcome, NowUs: now,
	}}}
}

func expire(now int64) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Expire{Expire: &wire.Expire{NowUs: now}}}
}

func equal(a, b *wire.Result) bool { return proto.Equal(a, b) }

func change(id string, base uint64, doc string) *wire.Command {
	return &wire.Command{Id: id, Kind: &wire.Command_Change{Change: &wire.Change{Base: base, Document: []byte(doc)}}}
}

const doc = `{"base":{"client-accounts":{},"tiers":{},"pools":{"notes":{"service":"notes"}}},"overlays":{"north":{}}}`

// Each row is what an entry and its callers see when commands are applied in
// this order. Late copies come from an entry that lost an answer and asked the
// next replica while the first copy was still under way.
func TestClaims(t *testing.T) {
	for _, tt := range []struct {
		name string
		run  []*wire.Command
		want string // Code of the last command.
	}{
		{"lost answer", []*wire.Command{claim("e1", 1), claim("e1", 1)}, OK},
		{"second entry", []*wire.Command{claim("e1", 1), claim("e2", 1)}, Running},
		{"second request of the entry", []*wire.Command{claim("e1", 1), claim("e1", 2)}, Running},
		{"after the run", []*wire.Command{claim("e1", 1), finish("e1", 1, "whole", 0), claim("e2", 1)}, Finished},
		{"freed", []*wire.Command{claim("e1", 1), finish("e1", 1, NotRun, 0), claim("e2", 1)}, OK},
		{"late copy of a freed claim", []*wire.Command{claim("e1", 1), finish("e1", 1, NotRun, 0), claim("e1", 1)}, Gone},
		{"late copy of a finish", []*wire.Command{
			claim("e1", 1), finish("e1", 1, NotRun, 0), claim("e1", 2), finish("e1", 1, NotRun, 0), claim("e2", 7),
		}, Running},
		{"finish of another", []*wire.Command{claim("e1", 1), finish("e2", 1, NotRun, 0)}, Gone},
		{"a second word", []*wire.Command{
			claim("e1", 1), finish("e1", 1, "whole", 0), finish("e1", 1, NotRun, 0), claim("e2", 1),
		}, Finished},
		{"kept", []*wire.Command{
			claim("e1", 1), finish("e1", 1, "whole", 5), expire(time.Hour.Microseconds()), claim("e2", 1),
		}, Finished},
		{"expired", []*wire.Command{
			claim("e1", 1), finish("e1", 1, "whole", 5), expire(5 + time.Hour.Microseconds()), claim("e2", 1),
		}, OK},
		{"a clock behind", []*wire.Command{
			claim("e0", 1), expire(1000), finish("e0", 1, "whole", 3), expire(999 + time.Hour.Microseconds()), claim("e2", 1),
		}, Finished},
		{"no time, no end", []*wire.Command{claim("e1", 1), expire(1 << 60), claim("e2", 1)}, Running},
	} {
		t.Run(tt.name, func(t *testing.T) {
			all := codes(&State{}, tt.run...)
			must.Eq(t, tt.want, all[len(all)-1])
		})
	}
}

// codes applies commands and returns what became of each.
func codes(s *State, cmds ...*wire.Command) (all []string) {
	for _, c := range cmds {
		all = append(all, s.Apply(c).GetCode())
	}
	return all
}

// An entry gives up request 1 before dispatch and frees its key. The caller
// sends again, the same entry claims for request 2 and runs it. Then the first
// "not-run" arrives a second time, because its answer had been lost. If it
// freed the claim of request 2, a third submission would run the key again.
func TestLateFinishFreesNoOtherRequest(t *testing.T) {
	var s State
	must.Eq(t, []string{OK}, codes(&s, claim("e", 1)))
	must.Eq(t, Running, s.ClaimHolder("a", "k").GetCode())
	must.Eq(t, []string{OK}, codes(&s, finish("e", 1, NotRun, 0)))
	must.Eq(t, OK, s.ClaimHolder("a", "k").GetCode())
	must.Eq(t, []string{OK, Gone}, codes(&s, claim("e", 2), finish("e", 1, NotRun, 0)))
	r := s.Apply(claim("other", 9))
	must.Eq(t, Running, r.GetCode())
	must.Eq(t, uint64(2), r.GetRequest())
}

// A joiner asks the holder in the moment after its answer was dropped, hears
// that nothing is held and frees the key as not run. The holder's "whole" was
// recorded before: it must stand, also sent again, or the key would run twice.
func TestFirstOutcomeStands(t *testing.T) {
	var s State
	must.Eq(t, []string{OK, OK, Gone, OK}, codes(&s,
		claim("e", 1), finish("e", 1, "whole", 0), finish("e", 1, NotRun, 0), finish("e", 1, "whole", 0)))
	r := s.Apply(claim("other", 9))
	must.Eq(t, Finished, r.GetCode())
	must.Eq(t, "whole", r.GetOutcome())
}

// The holder dies in mid-run and never records an outcome. Its claim must not
// stay for ever: the log would grow with each death, and the key would be
// stuck. It ends one keep time after it was made, which the entries set longer
// than the longest run.
func TestUnfinishedClaimExpires(t *testing.T) {
	var s State
	dead := claim("dead", 1)
	dead.GetClaim().NowUs = 1000
	end := 1000 + time.Hour.Microseconds()
	must.Eq(t, []string{OK, OK, Running, OK}, codes(&s, dead, expire(end-1), claim("other", 9), expire(end)))
	must.Eq(t, 0, s.ClaimCount())
	must.Eq(t, []string{OK}, codes(&s, claim("other", 9)))
}

// Two operators change version 1 at once. One wins; the other learns who did.
// Each sends the change again, for it lost the answer, and gets the same.
func TestChangesRace(t *testing.T) {
	var s State
	must.Eq(t, 1, s.Apply(change("first", 0, doc)).GetVersion())
	won, lost := s.Apply(change("ann", 1, doc)), s.Apply(change("bob", 1, doc))
	must.True(t, equal(&wire.Result{Code: OK, Version: 2, Winner: "ann"}, won))
	must.Eq(t, Conflict, lost.GetCode())
	must.Eq(t, "ann", lost.GetWinner())
	s.Apply(change("carl", 2, doc))
	var after State
	img, err := EncodeImage(s.Image())
	must.NoError(t, err)
	must.NoError(t, after.Load(img))
	for _, m := range []*State{&s, &after} {
		must.True(t, equal(won, m.Apply(change("ann", 1, doc))))
		must.True(t, equal(lost, m.Apply(change("bob", 1, doc))))
		must.Eq(t, 3, m.Version())
	}
}

// A change that fits the base but breaks one site's overlay is refused for all.
func TestOverlayOfOneSiteIsChecked(t *testing.T) {
	var s State
	c := change("x", 0, `{"base":{"client-accounts":{},"tiers":{},"pools":{}},"overlays":{"south":{"tiers":{"t":{"level":9}}}}}`)
	Validate(c)
	r := s.Apply(c)
	must.Eq(t, Invalid, r.GetCode())
	must.StrContains(t, r.GetText(), "south")
	must.StrContains(t, r.GetText(), "/tiers/t/level: expected 0, 1 or 2")
	must.Eq(t, 0, s.Version())
}

// A replica that restarts from an image at any point goes on exactly like one
// that applied every command.
func TestImageIsTheState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var whole, cut State
		now := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			now += rapid.Int64Range(0, 40*time.Minute.Microseconds()).Draw(t, "pass")
			holder := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "holder")
			request := rapid.Uint64Range(1, 3).Draw(t, "request")
			c := rapid.SampledFrom([]*wire.Command{
				claim(holder, request), finish(holder, request, "whole", now), finish(holder, request, NotRun, now), expire(now),
				change(holder, request, doc),
				{Id: "order-" + strconv.FormatUint(request, 10), Kind: &wire.Command_OrderStart{OrderStart: &wire.OrderStart{Upstream: holder, NowUs: now}}},
				{Kind: &wire.Command_OrderEnd{OrderEnd: &wire.OrderEnd{Upstream: holder, Fence: request, Outcome: "done"}}},
			}).Draw(t, "command")
			if a, b := whole.Apply(c), cut.Apply(c); !equal(a, b) {
				t.Fatalf("%v and %v", a, b)
			}
			img, _ := EncodeImage(cut.Image())
			if all, _ := EncodeImage(whole.Image()); !bytes.Equal(img, all) {
				t.Fatal("images differ")
			}
			if err := cut.Load(img); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// More keys come than control has room for. The one beyond is refused before
// it runs; keys that are known are answered as before, and when claims end
// there is room again.
func TestClaimsAreBounded(t *testing.T) {
	s := filled(MaxClaims)
	must.Eq(t, Full, s.Apply(claim("e", 1)).GetCode())
	must.Eq(t, MaxClaims, s.ClaimCount())
	s.Apply(expire(1<<40 + 1))
	must.Eq(t, OK, s.Apply(claim("e", 1)).GetCode())
}

// A snapshot is written while commands go on. What it holds is the state from
// when it was taken, whatever they change meanwhile.
func TestImageStandsStill(t *testing.T) {
	s := filled(3)
	s.Apply(claim("e", 1))
	s.Apply(change("c", 0, doc))
	img := s.Image()
	before, err := EncodeImage(proto.CloneOf(img))
	must.NoError(t, err)
	s.Apply(finish("e", 1, "whole", 5))
	s.Apply(change("d", 1, doc))
	s.Apply(expire(1 << 50))
	after, err := EncodeImage(img)
	must.NoError(t, err)
	must.True(t, bytes.Equal(before, after))
}
