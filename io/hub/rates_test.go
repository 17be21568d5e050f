package hub

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"

	"azurelane/core/acct"
	"azurelane/core/allow"
	"azurelane/core/wire"
)

// Two entries serve an account. One of them is cut off and goes on serving within its share of
// the rate, while the account asks for its whole rate at the other. Once the scheduler has
// noticed the silent entry it admits less. When that entry is back, it admits the whole rate
// again.
func TestSilentEntriesKeepTheirShare(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		rate := func(span time.Duration) float64 { return admittedRate(t, h, span) }
		for range 100 {
			pollAs(t, h, "far")
			h.leaderScheduler().chargeUsage(&wire.Usage{Incarnation: "far", Accounts: []*wire.AccountUsage{{Account: "a", Units: 40}}})
			time.Sleep(100 * time.Millisecond)
		}
		rate(entrySilentAfter + time.Second) // The account uses up its burst.
		must.Between(t, 540, rate(4*time.Second), 620)
		pollAs(t, h, "far")
		time.Sleep(time.Second)
		rate(2 * time.Second)
		pollAs(t, h, "far")
		must.Between(t, 950, rate(2*time.Second), 1100)
	})
}

// A data centre is cut off together with the leader, and an account asks for its whole rate on
// both sides. The new leader has never heard the entries that are cut off, which go on admitting
// the rates used there before. It reserves rates for them by their number; otherwise both sides
// together would admit a fifth more than the account's rate allows. The whole rate is admitted
// again once the entries poll, or once silentEntryRetention has passed.
func TestNewLeaderReservesRateForUnseenEntries(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		_, err := askNews(h, &wire.Watch{Node: "near", Incarnation: "near", Entries: 2, Rates: []*wire.AccountUsage{{Account: "a", Units: 500}}})
		must.NoError(t, err)
		admittedRate(t, h, 2*time.Second) // The account uses up its burst.
		must.Between(t, 430, admittedRate(t, h, 4*time.Second), 520)
		pollAs(t, h, "far")
		time.Sleep(time.Second)
		admittedRate(t, h, 2*time.Second)
		pollAs(t, h, "far")
		must.Between(t, 950, admittedRate(t, h, 2*time.Second), 1100)
	})
}

// An account asks for several times its rate when the leader changes. The first of ten entries
// reports the account's prior usage to the new leader. The account must not get a full burst
// again before the other entries have reported.
func TestNoFullBurstAfterTakeover(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		_, err := askNews(h, &wire.Watch{Node: "near", Incarnation: "near", Entries: 10, Rates: []*wire.AccountUsage{{Account: "a", Units: 120}}})
		must.NoError(t, err)
		s, units := h.leaderScheduler(), 0
		s.mu.Lock()
		defer s.mu.Unlock()
		for ok := true; ok; units += 20 {
			_, ok = s.allow.Take(time.Now(), "a", 20)
		}
		must.Less(t, 200, units)
	})
}

// Guards against rates that stay reserved for ever for entries that never poll the new leader.
func TestUnseenEntriesAreForgotten(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		_, err := askNews(h, &wire.Watch{Node: "near", Incarnation: "near", Entries: 2, Rates: []*wire.AccountUsage{{Account: "a", Units: 500}}})
		must.NoError(t, err)
		admittedRate(t, h, silentEntryRetention+time.Second)
		must.Between(t, 950, admittedRate(t, h, 2*time.Second), 1100)
	})
}

// admittedRate returns how many units per second are admitted, through a live entry, for an
// account that asks for more than its rate.
func admittedRate(t *testing.T, h *Hub, span time.Duration) float64 {
	t.Helper()
	units := 0.0
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		pollAs(t, h, "near")
		s := h.leaderScheduler()
		s.mu.Lock()
		if _, ok := s.allow.Take(time.Now(), "a", 20); ok {
			units += 20
		}
		s.mu.Unlock()
	}
	return units / span.Seconds()
}

// pollAs polls once as an entry of the given name, which keeps that entry alive.
func pollAs(t *testing.T, h *Hub, name string) {
	t.Helper()
	_, err := askNews(h, &wire.Watch{Node: name, Incarnation: name})
	must.NoError(t, err)
}

// Guards against two schedulers whose shares of a rate don't show in their logs, and against a
// log line for each entry that connects.
func TestRateSharesAreLogged(t *testing.T) {
	var lines []string
	s := &scheduler{scope: scopeDataCentre, log: funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})}
	s.installAccounts(1, map[string]acct.Account{"a": {Rate: 1000, Burst: 1000}})
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		after time.Duration
		entry string
		want  string
	}{
		{0, "e1", `"parts"={"a"=0.24} "entries-here"=1 "entries"=10`},
		{0, "e2", ""},
		{sharesLogInterval, "", `"parts"={"a"=0.48} "entries-here"=2 "entries"=10`},
		{sharesLogInterval, "", ""},
	} {
		now = now.Add(tc.after)
		if tc.entry != "" {
			s.registerEntry(&wire.Watch{Incarnation: tc.entry, Entries: 10, Rates: priorUsage}, s.entriesHere+1)
		}
		lines = nil
		s.logRateShares(now)
		if tc.want == "" {
			must.SliceEmpty(t, lines)
			continue
		}
		must.Len(t, 1, lines)
		must.StrContains(t, lines[0], tc.want)
	}
}

// Guards against an account that gets more than its rate because entries admit its requests while they
// have lost the scheduler, and against one below its rate that pays twice: for rates that were reserved
// for a silent entry, and for the usage that the entry reports when it is back.
func TestUsageWithoutSchedulerIsCharged(t *testing.T) {
	for _, tc := range []struct {
		name  string
		away  time.Duration
		used  int64 // Units per step of allow.Step that the entry uses, also while it is away.
		least float64
		most  float64 // Units that the account may use at once, a second after the entry is back.
	}{
		{"short, more than the rate", 2 * time.Second, 750, -2500, -1000},
		{"short, below the rate", time.Second, 100, 900, 1100},
		{"long, with its rates reserved", 6 * time.Second, 200, 900, 1100},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
				s := h.leaderScheduler()
				use := func(byAge []int64) {
					total := int64(0)
					for _, n := range byAge {
						total += n
					}
					_, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Usage{Usage: &wire.Usage{
						Incarnation: "far", Accounts: []*wire.AccountUsage{{Account: "a", Units: total, ByAge: byAge}},
					}}})
					must.NoError(t, err)
				}
				for range 40 {
					pollAs(t, h, "far")
					use([]int64{min(tc.used, 250)})
					time.Sleep(allow.Step)
				}
				var byAge []int64
				for range tc.away / allow.Step {
					time.Sleep(allow.Step)
					byAge = append(byAge, tc.used)
				}
				pollAs(t, h, "far")
				time.Sleep(sweepInterval)
				use(byAge)
				time.Sleep(time.Second) // A share that was reserved grows back at the rate.
				s.mu.Lock()
				defer s.mu.Unlock()
				must.Between(t, tc.least, s.allow.Balance(time.Now(), "a"), tc.most)
			})
		})
	}
}

// Guards against reports that a replica acknowledges and forgets because it does not schedule.
func TestUsageNeedsAScheduler(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		f.setLeads(false)
		synctest.Wait()
		_, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Usage{Usage: &wire.Usage{Incarnation: "far"}}})
		must.Error(t, err)
	})
}
