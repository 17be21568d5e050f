package hub

import (
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"

	"azurelane/core/acct"
	"azurelane/core/wire"
)

// Two entries serve an account's calls. One of them is cut off and goes on
// serving its callers within its part of the rate. The account asks for all that
// it may have at the other one, too: once the scheduler has missed the entry it
// lets less pass, and when the entry is back, all of it again.
func TestSilentEntriesKeepTheirPart(t *testing.T) {
	run(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		passes := func(span time.Duration) float64 { return passes(t, h, span) }
		for range 100 {
			follow(t, h, "far")
			h.lead().used(&wire.Usage{Incarnation: "far", Accounts: []*wire.AccountUsage{{Account: "a", Units: 40}}})
			time.Sleep(100 * time.Millisecond)
		}
		passes(absentAfter + time.Second) // It uses up its burst.
		must.Between(t, 540, passes(4*time.Second), 620)
		follow(t, h, "far")
		time.Sleep(time.Second)
		passes(2 * time.Second)
		follow(t, h, "far")
		must.Between(t, 950, passes(2*time.Second), 1100)
	})
}

// A data centre is cut off together with the leader, and an account asks for all it may
// have on both sides. The next leader has never heard the entries behind the cut, which
// go on with the parts of the rates that were used there; it leaves them as much as
// their number tells. Without that the account's servers get a fifth more than was
// agreed. Once they come, or don't for as long as silent entries count, it is whole.
func TestNextLeaderLeavesWhatItNeverHeard(t *testing.T) {
	run(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		_, err := ask(h, &wire.Watch{Node: "near", Incarnation: "near", Entries: 2, Rates: []*wire.AccountUsage{{Account: "a", Units: 500}}})
		must.NoError(t, err)
		passes(t, h, 2*time.Second) // It uses up its burst.
		must.Between(t, 430, passes(t, h, 4*time.Second), 520)
		follow(t, h, "far")
		time.Sleep(time.Second)
		passes(t, h, 2*time.Second)
		follow(t, h, "far")
		must.Between(t, 950, passes(t, h, 2*time.Second), 1100)
	})
}

// An account asks for several times its rate when the leader changes. The first of ten
// entries that come to the next one tells what it saw used. Callers get no whole burst
// again at that entry before the others have come.
func TestNoBurstAtATakeover(t *testing.T) {
	run(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		_, err := ask(h, &wire.Watch{Node: "near", Incarnation: "near", Entries: 10, Rates: []*wire.AccountUsage{{Account: "a", Units: 120}}})
		must.NoError(t, err)
		r, units := h.lead(), 0
		r.mu.Lock()
		defer r.mu.Unlock()
		for ok := true; ok; units += 20 {
			_, ok = r.allow.Take(time.Now(), "a", 20)
		}
		must.Less(t, 200, units)
	})
}

func TestEntriesThatNeverComeAreForgotten(t *testing.T) {
	run(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		_, err := ask(h, &wire.Watch{Node: "near", Incarnation: "near", Entries: 2, Rates: []*wire.AccountUsage{{Account: "a", Units: 500}}})
		must.NoError(t, err)
		passes(t, h, countFor+time.Second)
		must.Between(t, 950, passes(t, h, 2*time.Second), 1100)
	})
}

// passes is what an account that asks for more than its rate gets through an entry that
// lives, in units a second.
func passes(t *testing.T, h *Hub, span time.Duration) float64 {
	t.Helper()
	units := 0.0
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		follow(t, h, "near")
		r := h.lead()
		r.mu.Lock()
		if _, ok := r.allow.Take(time.Now(), "a", 20); ok {
			units += 20
		}
		r.mu.Unlock()
	}
	return units / span.Seconds()
}

// follow shows that an entry lives.
func follow(t *testing.T, h *Hub, name string) {
	t.Helper()
	_, err := ask(h, &wire.Watch{Node: name, Incarnation: name})
	must.NoError(t, err)
}

// Guards against two schedulers whose parts of a rate can't be told from their logs, and
// against a line for each entry that comes.
func TestPartsOfRatesAreTold(t *testing.T) {
	var lines []string
	r := &reign{scope: centre, log: funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})}
	r.install(1, map[string]acct.Account{"a": {Rate: 1000, Burst: 1000}})
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		after time.Duration
		entry string
		want  string
	}{
		{0, "e1", `"parts"={"a"=0.24} "entries-here"=1 "entries"=10`},
		{0, "e2", ""},
		{partsEvery, "", `"parts"={"a"=0.48} "entries-here"=2 "entries"=10`},
		{partsEvery, "", ""},
	} {
		now = now.Add(tc.after)
		if tc.entry != "" {
			r.join(&wire.Watch{Incarnation: tc.entry, Entries: 10, Rates: used}, r.here+1)
		}
		lines = nil
		r.tellParts(now)
		if tc.want == "" {
			must.SliceEmpty(t, lines)
			continue
		}
		must.Len(t, 1, lines)
		must.StrContains(t, lines[0], tc.want)
	}
}
