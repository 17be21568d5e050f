package state

import (
	"bytes"
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"azurelane/core/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1") // Makes runs reproducible.
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

const testDocument = `{"base":{"client-accounts":{},"tiers":{},"pools":{"notes":{"service":"notes"}}},"overlays":{"north":{}}}`

// Guards against keys that run twice or stay blocked. Delayed duplicates arise when an entry
// process loses a reply and sends its command to the next replica while the first copy is in
// transit.
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
			all := applyAll(&State{}, tt.run...)
			must.Eq(t, tt.want, all[len(all)-1])
		})
	}
}

// applyAll applies commands and returns their result codes.
func applyAll(s *State, cmds ...*wire.Command) (all []string) {
	for _, c := range cmds {
		all = append(all, s.Apply(c).GetCode())
	}
	return all
}

// An entry process gives up request 1 before dispatch and frees its key. The client sends the
// request again, and the same process claims the key for request 2 and runs it. Then a duplicate of
// the first "not-run" arrives, because the reply to the first copy was lost. If it freed the claim
// of request 2, a third submission would run the request a second time.
func TestLateFinishDoesNotFreeNewerClaim(t *testing.T) {
	var s State
	must.Eq(t, []string{OK}, applyAll(&s, claim("e", 1)))
	must.Eq(t, Running, s.ClaimHolder("a", "k").GetCode())
	must.Eq(t, []string{OK}, applyAll(&s, finish("e", 1, NotRun, 0)))
	must.Eq(t, OK, s.ClaimHolder("a", "k").GetCode())
	must.Eq(t, []string{OK, Gone}, applyAll(&s, claim("e", 2), finish("e", 1, NotRun, 0)))
	r := s.Apply(claim("other", 9))
	must.Eq(t, Running, r.GetCode())
	must.Eq(t, uint64(2), r.GetRequest())
}

// An entry process that wants to join a run asks the holder just after the holder has dropped the
// answer. It learns that there is no such run and frees the key as not run. The outcome "whole"
// that the holder recorded earlier must not change, also when it is recorded again; otherwise the
// request could run twice.
func TestFirstOutcomeIsFinal(t *testing.T) {
	var s State
	must.Eq(t, []string{OK, OK, Gone, OK}, applyAll(&s,
		claim("e", 1), finish("e", 1, "whole", 0), finish("e", 1, NotRun, 0), finish("e", 1, "whole", 0)))
	r := s.Apply(claim("other", 9))
	must.Eq(t, Finished, r.GetCode())
	must.Eq(t, "whole", r.GetOutcome())
}

// A holder crashes during a run and never records an outcome. Its claim must not stay for ever:
// the state would grow with each crash, and the key would stay blocked. The claim expires one keep
// time after it was made; entry processes set a keep time longer than the longest run.
func TestUnfinishedClaimExpires(t *testing.T) {
	var s State
	dead := claim("dead", 1)
	dead.GetClaim().NowUs = 1000
	end := 1000 + time.Hour.Microseconds()
	must.Eq(t, []string{OK, OK, Running, OK}, applyAll(&s, dead, expire(end-1), claim("other", 9), expire(end)))
	must.Eq(t, 0, s.ClaimCount())
	must.Eq(t, []string{OK}, applyAll(&s, claim("other", 9)))
}

// Two operators change version 1 at the same time. One succeeds; the other gets the id of the
// change that won. Both lose the reply and send their change again: they must get the original
// results, also from a replica that was restored from an image.
func TestConcurrentChanges(t *testing.T) {
	var s State
	must.Eq(t, 1, s.Apply(change("first", 0, testDocument)).GetVersion())
	won, lost := s.Apply(change("ann", 1, testDocument)), s.Apply(change("bob", 1, testDocument))
	must.True(t, equal(&wire.Result{Code: OK, Version: 2, Winner: "ann"}, won))
	must.Eq(t, Conflict, lost.GetCode())
	must.Eq(t, "ann", lost.GetWinner())
	s.Apply(change("carl", 2, testDocument))
	var restored State
	img, err := EncodeImage(s.Image())
	must.NoError(t, err)
	must.NoError(t, restored.Load(img))
	for _, m := range []*State{&s, &restored} {
		must.True(t, equal(won, m.Apply(change("ann", 1, testDocument))))
		must.True(t, equal(lost, m.Apply(change("bob", 1, testDocument))))
		must.Eq(t, 3, m.Version())
	}
}

// A change whose base is valid must be rejected if the overlay of one data centre is invalid.
func TestOverlayIsValidated(t *testing.T) {
	var s State
	c := change("x", 0, `{"base":{"client-accounts":{},"tiers":{},"pools":{}},"overlays":{"south":{"tiers":{"t":{"level":9}}}}}`)
	Validate(c)
	r := s.Apply(c)
	must.Eq(t, Invalid, r.GetCode())
	must.StrContains(t, r.GetText(), "south")
	must.StrContains(t, r.GetText(), "/tiers/t/level: expected 0, 1 or 2")
	must.Eq(t, 0, s.Version())
}

// Guards against state that is missing from the image: a replica that is restored from an image
// after every command must stay identical to one that only applies the commands.
func TestRestoreFromImage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reference, restored State
		now := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			now += rapid.Int64Range(0, 40*time.Minute.Microseconds()).Draw(t, "pass")
			holder := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "holder")
			request := rapid.Uint64Range(1, 3).Draw(t, "request")
			c := rapid.SampledFrom([]*wire.Command{
				claim(holder, request), finish(holder, request, "whole", now), finish(holder, request, NotRun, now), expire(now),
				change(holder, request, testDocument),
				{Id: "order-" + strconv.FormatUint(request, 10), Kind: &wire.Command_OrderStart{OrderStart: &wire.OrderStart{Upstream: holder, NowUs: now}}},
				{Kind: &wire.Command_OrderEnd{OrderEnd: &wire.OrderEnd{Upstream: holder, Fence: request, Outcome: "done"}}},
			}).Draw(t, "command")
			if a, b := reference.Apply(c), restored.Apply(c); !equal(a, b) {
				t.Fatalf("%v and %v", a, b)
			}
			img, _ := EncodeImage(restored.Image())
			if all, _ := EncodeImage(reference.Image()); !bytes.Equal(img, all) {
				t.Fatal("images differ")
			}
			if err := restored.Load(img); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// When MaxClaims claims are stored, a claim on a new key must be refused before its request runs.
// Known keys are still answered, and new claims are accepted again once others have expired.
func TestClaimsAreBounded(t *testing.T) {
	s := stateWithClaims(MaxClaims)
	must.Eq(t, Full, s.Apply(claim("e", 1)).GetCode())
	must.Eq(t, MaxClaims, s.ClaimCount())
	s.Apply(expire(1<<40 + 1))
	must.Eq(t, OK, s.Apply(claim("e", 1)).GetCode())
}

// A snapshot is encoded while further commands are applied. It must contain the state from the time
// when the image was taken.
func TestImageIsImmutable(t *testing.T) {
	s := stateWithClaims(3)
	s.Apply(claim("e", 1))
	s.Apply(change("c", 0, testDocument))
	order := &wire.Command{Id: "o", Kind: &wire.Command_OrderStart{OrderStart: &wire.OrderStart{Upstream: "u", LimitUs: 1}}}
	must.Eq(t, OK, s.Apply(order).GetCode())
	rollout := &wire.Command{Kind: &wire.Command_StartRollout{StartRollout: &wire.StartRollout{Pool: "p", To: "v2", LengthUs: 1}}}
	must.Eq(t, OK, s.Apply(rollout).GetCode())
	img := s.Image()
	before, err := EncodeImage(proto.CloneOf(img))
	must.NoError(t, err)
	s.Apply(finish("e", 1, "whole", 5))
	s.Apply(change("d", 1, testDocument))
	s.Apply(expire(1 << 50))
	s.Apply(&wire.Command{Kind: &wire.Command_OrderEnd{OrderEnd: &wire.OrderEnd{Upstream: "u", Fence: 1, Outcome: "done"}}})
	s.Apply(&wire.Command{Kind: &wire.Command_AdvanceRollout{AdvanceRollout: &wire.AdvanceRollout{Pool: "p", Number: 1, Phase: wire.Rollout_PHASE_SHIFT}}})
	after, err := EncodeImage(img)
	must.NoError(t, err)
	must.True(t, bytes.Equal(before, after))
}

var sameProto = cmp.Comparer(func(a, b *wire.FormerVersion) bool { return proto.Equal(a, b) })

// Guards against a replica that forgets, with its process, which versions of upstreams have left: a stream
// that began there would go on at another version. An image of an earlier program does not say when.
func TestFormerVersionsOutliveRestarts(t *testing.T) {
	enroll := func(id, version string, st wire.Upstream_State, us int64) *wire.Command {
		return &wire.Command{Kind: &wire.Command_Enroll{Enroll: &wire.Enroll{NowUs: us, Upstream: &wire.Upstream{Id: id, Pool: "p", Version: version, State: st}}}}
	}
	var s State
	for _, c := range []*wire.Command{
		enroll("a", "v1", wire.Upstream_STATE_SERVING, 10), enroll("b", "v2", wire.Upstream_STATE_SERVING, 20), enroll("a", "", wire.Upstream_STATE_GONE, 30),
		enroll("c", "v3", wire.Upstream_STATE_SERVING, 40),
	} {
		must.Eq(t, OK, s.Apply(c).GetCode())
	}
	want := []*wire.FormerVersion{{Pool: "p", Version: "v1", LeftUs: 30}}
	must.Eq(t, want, s.FormerVersions(), must.Cmp(sameProto))
	img := s.Image()
	for _, tt := range []struct {
		name   string
		former []*wire.FormerVersion
		left   int64
	}{
		{"as saved", img.GetFormerVersions(), 30},
		{"of an earlier program", nil, 40},
	} {
		t.Run(tt.name, func(t *testing.T) {
			img.FormerVersions = tt.former
			data, err := EncodeImage(img)
			must.NoError(t, err)
			var next State
			must.NoError(t, next.Load(data))
			must.Eq(t, []*wire.FormerVersion{{Pool: "p", Version: "v1", LeftUs: tt.left}}, next.FormerVersions(), must.Cmp(sameProto))
			must.Eq(t, OK, next.Apply(enroll("c", "", wire.Upstream_STATE_GONE, 50)).GetCode())
			must.Len(t, 2, next.FormerVersions())
		})
	}
}
