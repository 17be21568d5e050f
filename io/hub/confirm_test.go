package hub

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// Guards against streams of two versions: a leader that stood still, or is cut off, doesn't know the version that joined
// at the next leader, and must not take its own for the only one.
func TestFormerLeaderNamesNoVersion(t *testing.T) {
	const maxAge = 61 * time.Second
	for _, tc := range []struct {
		name  string
		stale bool
	}{{"leads", false}, {"another one leads", true}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeReplica{leads: true, voters: 3}
				for _, c := range []*wire.Command{
					{Kind: &wire.Command_Publish{Publish: &wire.Publish{Version: 1, Document: []byte("one")}}},
					{Kind: &wire.Command_Enroll{Enroll: &wire.Enroll{Upstream: &wire.Upstream{
						Id: "a", Address: "10.1.0.1:80", Pool: "engines", DataCentre: "z1", Slots: 1, Version: "v1", State: wire.Upstream_STATE_SERVING, Born: 1,
					}}}},
				} {
					_, err := f.Propose(t.Context(), c)
					must.NoError(t, err)
				}
				f.noQuorum = tc.stale
				version, known := askOrigin(t, f, maxAge)
				must.Eq(t, !tc.stale, known, must.Sprint(version))
			})
		})
	}
}

// slowReplica commits each proposal after 20 ms.
type slowReplica struct{ begun []time.Time }

func (r *slowReplica) Propose(context.Context, *wire.Command) (*wire.Result, error) {
	r.begun = append(r.begun, time.Now())
	time.Sleep(20 * time.Millisecond)
	return &wire.Result{}, nil
}

// Guards against an answer by a proof that began before the question, and against a proof for each question.
func TestProofsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &slowReplica{}
		c := confirmer{ctx: t.Context(), log: r}
		var answered atomic.Int64
		for range 50 {
			asked := time.Now()
			c.confirm(func(leads bool) {
				must.True(t, leads)
				must.False(t, r.begun[len(r.begun)-1].Before(asked))
				answered.Add(1)
			})
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		must.Eq(t, 50, answered.Load())
		must.Len(t, 4, r.begun)
	})
}
