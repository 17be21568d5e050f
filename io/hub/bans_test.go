package hub

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"azurelane/core/blame"
	"azurelane/core/digest"
	"azurelane/core/wire"
)

// Guards against bans that are lost when the processes that knew them stop, that return after
// they were lifted, or that are never recorded because at first no quorum answered.
func TestBansAreRecorded(t *testing.T) {
	d := digest.Of("a", "POST", "/x", nil)
	crashes := &wire.Crashes{}
	for _, up := range []string{"u", "v", "w"} {
		crashes.Crashes = append(crashes.Crashes, &wire.Crash{Digest: d[:], Upstream: up})
	}
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		setNoQuorum := func(yes bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.noQuorum = yes
		}
		bannedCount := func() int {
			n, err := askNews(h, &wire.Watch{Node: "new", Incarnation: "new"})
			must.NoError(t, err)
			return len(n.GetBans().GetBanned())
		}
		changeLeader := func() {
			synctest.Wait()
			f.setLeads(false)
			synctest.Wait()
			f.setLeads(true)
			synctest.Wait()
		}
		setNoQuorum(true)
		_, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Crashes{Crashes: crashes}})
		must.NoError(t, err)
		must.Eq(t, 1, bannedCount())
		time.Sleep(time.Second)
		setNoQuorum(false)
		time.Sleep(time.Second)
		changeLeader()
		must.Eq(t, 1, bannedCount())

		time.Sleep(5 * time.Second)
		_, err = h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Try{Try: &wire.Try{Digest: d[:]}}})
		must.NoError(t, err)
		changeLeader()
		time.Sleep(5 * time.Second)
		_, err = h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Try{Try: &wire.Try{Digest: d[:]}}})
		must.Error(t, err, must.Sprint("the only trial of the ban was used under the former scheduler"))

		_, err = h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_BanQuery{BanQuery: &wire.BanQuery{Lift: [][]byte{d[:]}}}})
		must.NoError(t, err)
		must.Eq(t, 0, bannedCount())
		changeLeader()
		must.Eq(t, 0, bannedCount())
	})
}

// Guards against a lifted ban that returns: it is lifted while it is being recorded, or the
// record is loaded before it contains the lift.
func TestLiftedBansStayLifted(t *testing.T) {
	d := digest.Of("a", "POST", "/x", nil)
	crashes := func(ups ...string) *wire.Crashes {
		c := &wire.Crashes{}
		for _, up := range ups {
			c.Crashes = append(c.Crashes, &wire.Crash{Digest: d[:], Upstream: up})
		}
		return c
	}
	recorded := []*wire.Ban{{Digest: d[:]}}
	var b bans
	b.merge(logr.Discard(), crashes("u", "v", "w"))
	c := b.unrecorded(nil)
	must.Len(t, 1, c.GetBanned())
	b.lift(logr.Discard(), [][]byte{d[:]})
	b.markRecorded(c)
	b.load(recorded, 1)
	must.SliceEmpty(t, b.list().GetBanned())
	c = b.unrecorded(recorded)
	must.Len(t, 1, c.GetLifted())
	b.markRecorded(c)
	b.load(recorded, 2)
	must.SliceEmpty(t, b.list().GetBanned())
	must.Nil(t, b.unrecorded(nil))

	b.merge(logr.Discard(), crashes("x", "y", "z"))
	must.Len(t, 1, b.unrecorded(nil).GetBanned(), must.Sprint("the request crashed upstreams again after the lift"))
	must.SliceEmpty(t, b.unrecorded(recorded).GetLifted())
}

// partCrashes are the crashes of three upstreams, one after the other, under requests with a part.
func partCrashes(part string) *wire.Crashes {
	key := blame.Key("a", part)
	c := &wire.Crashes{}
	for i, up := range []string{"u", "v", "w"} {
		d := digest.Of("a", "POST", "/x", []byte{byte(i)})
		c.Crashes = append(c.Crashes, &wire.Crash{
			Digest: d[:], Upstream: up, Account: "a", Parts: []*wire.CrashPart{{Key: key[:], Name: part}},
			AgeUs: (time.Duration(3-i) * time.Second).Microseconds(), RunUs: (100 * time.Millisecond).Microseconds(),
		})
	}
	return c
}

// Guards against a banned part that is sent again, or tried once more, after a new scheduler or a stop of
// all entries, and against one that an operator can't lift.
func TestBannedPartsAreRecorded(t *testing.T) {
	key := blame.Key("a", "bad")
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		bans := func() []*wire.Ban {
			n, err := askNews(h, &wire.Watch{Node: "new", Incarnation: "new"})
			must.NoError(t, err)
			return n.GetBans().GetBanned()
		}
		changeLeader := func() {
			synctest.Wait()
			f.setLeads(false)
			synctest.Wait()
			f.setLeads(true)
			synctest.Wait()
		}
		_, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Crashes{Crashes: partCrashes("bad")}})
		must.NoError(t, err)
		time.Sleep(time.Second)
		list := bans()
		must.Len(t, 1, list)
		must.Eq(t, key[:], list[0].GetDigest())
		must.Eq(t, "bad", list[0].GetPart().GetName())
		must.Eq(t, "a", list[0].GetPart().GetAccount())
		must.Eq(t, []string{"u", "v", "w"}, list[0].GetPart().GetUpstreams())
		time.Sleep(5 * time.Second)
		try := func() error {
			_, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Try{Try: &wire.Try{Digest: key[:]}}})
			return err //nolint:wrapcheck // Compared by the test.
		}
		must.NoError(t, try())
		time.Sleep(time.Second)
		changeLeader()
		must.Len(t, 1, bans())
		time.Sleep(5 * time.Second)
		must.Error(t, try(), must.Sprint("the first trial was used under the former scheduler"))
		time.Sleep(time.Minute)
		must.NoError(t, try())
		time.Sleep(time.Hour)
		must.Error(t, try())

		_, err = h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_BanQuery{BanQuery: &wire.BanQuery{Lift: [][]byte{key[:]}}}})
		must.NoError(t, err)
		must.SliceEmpty(t, bans())
		changeLeader()
		must.SliceEmpty(t, bans())
	})
}

// Guards against a ban of parts that outlives the answer to a trial, and against one in the log that still
// names parts which were answered since.
func TestAnswerLiftsBannedPart(t *testing.T) {
	key := blame.Key("a", "bad")
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		report := func(c *wire.Crashes) {
			_, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Crashes{Crashes: c}})
			must.NoError(t, err)
			time.Sleep(time.Second)
			synctest.Wait()
		}
		crashes := partCrashes("bad")
		along := blame.Key("a", "along")
		for _, c := range crashes.GetCrashes() {
			c.Parts = append(c.Parts, &wire.CrashPart{Key: along[:], Name: "along"})
		}
		report(crashes)
		recorded, _ := f.Bans()
		must.Len(t, 1, recorded)
		must.Len(t, 1, recorded[0].GetPart().GetWith())
		for _, k := range []digest.Digest{along, key} {
			report(&wire.Crashes{Answered: []*wire.AnsweredPart{{Key: k[:]}}})
			recorded, _ = f.Bans()
			if k == along {
				must.Len(t, 1, recorded)
				must.Eq(t, key[:], recorded[0].GetDigest())
				must.SliceEmpty(t, recorded[0].GetPart().GetWith())
			}
		}
		must.SliceEmpty(t, recorded)
	})
}

// Guards against crashes that are never counted because the entries that saw them may have no path, and
// against a ban for a partition: such a crash counts once another process has the upstream's place, and the
// upstream had not said that it leaves.
func TestUnsureCrashes(t *testing.T) {
	seq := uint64(0)
	report := func(h *Hub, id string, born int64, address string, state wire.Upstream_State) {
		seq++
		r := newReport(id, seq, state)
		r.Upstream.Address, r.Upstream.Born = address, born
		must.NoError(t, h.handleReport(t.Context(), r))
	}
	const serving, leaving = wire.Upstream_STATE_SERVING, wire.Upstream_STATE_LEAVING
	replace := func(h *Hub, id string) { report(h, id+"-next", 1, id, serving) }
	for _, tc := range []struct {
		name          string
		before, after func(h *Hub, id string) // The report of the crash.
		wait          time.Duration           // Until after.
		banned        int
	}{
		{"nothing more is known", nil, nil, 0, 0},
		{"another upstream takes its address", nil, replace, 2 * time.Second, 1},
		{"another upstream had taken its address", replace, nil, 0, 1},
		{"it starts again", nil, func(h *Hub, id string) { report(h, id, 2, id, serving) }, 2 * time.Second, 1},
		{"it goes on", nil, func(h *Hub, id string) { report(h, id, 1, id, serving) }, 2 * time.Second, 0},
		{"another upstream starts elsewhere", nil, func(h *Hub, id string) { report(h, id+"-next", 1, "elsewhere", serving) }, 2 * time.Second, 0},
		{"it leaves first", func(h *Hub, id string) { report(h, id, 1, id, leaving) }, replace, 2 * time.Second, 0},
		{"it is replaced much later", nil, replace, 20 * time.Second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
				d := digest.Of("a", "POST", "/x", nil)
				ids := []string{"u", "v", "w"}
				for _, id := range ids {
					report(h, id, 1, id, serving)
				}
				each := func(f func(h *Hub, id string)) {
					for _, id := range ids {
						if f != nil {
							f(h, id)
						}
					}
				}
				each(tc.before)
				each(func(h *Hub, id string) {
					_, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Crashes{Crashes: &wire.Crashes{Crashes: []*wire.Crash{
						{Digest: d[:], Upstream: id + "@1", Unsure: true, Id: id, Born: 1},
					}}}})
					must.NoError(t, err)
				})
				time.Sleep(tc.wait)
				each(tc.after)
				time.Sleep(2 * evaluateDelay)
				must.Len(t, tc.banned, h.scheduler().bans.list().GetBanned())
			})
		})
	}
}
