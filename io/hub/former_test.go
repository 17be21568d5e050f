package hub

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"azurelane/core/conf"
	"azurelane/core/origin"
	"azurelane/core/state"
	"azurelane/core/wire"
)

// restart returns a replica that has the same log, read from its snapshot.
func (f *fakeReplica) restart(t *testing.T) *fakeReplica {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	data, err := f.state.Save()
	must.NoError(t, err)
	next := &fakeReplica{leads: true, voters: 3}
	must.NoError(t, next.state.Load(data))
	return next
}

// Guards against streams that hold events of two versions: the version at which a stream began has just left,
// and neither the entry that began it nor the scheduler that knew of the version is there any more. What is
// left must not be taken for the only version that there was.
func TestVersionsThatLeftAreRemembered(t *testing.T) {
	const maxAge = 61 * time.Second
	enroll := func(id, version string, state wire.Upstream_State, born int64) *wire.Command {
		return &wire.Command{Kind: &wire.Command_Enroll{Enroll: &wire.Enroll{Upstream: &wire.Upstream{
			Id: id, Address: "10.1.0.1:80", Pool: "engines", DataCentre: "z1", Slots: 1, Version: version, State: state, Born: born,
		}}}}
	}
	// Each case leaves upstreams of v2 only.
	for _, tt := range []struct {
		name string
		play []*wire.Command
	}{
		{"left", []*wire.Command{
			enroll("a", "v1", wire.Upstream_STATE_SERVING, 1), enroll("b", "v2", wire.Upstream_STATE_SERVING, 1), enroll("a", "v1", wire.Upstream_STATE_GONE, 1),
		}},
		{"left before the other came", []*wire.Command{
			enroll("a", "v1", wire.Upstream_STATE_SERVING, 1), enroll("a", "v1", wire.Upstream_STATE_GONE, 1), enroll("b", "v2", wire.Upstream_STATE_SERVING, 1),
		}},
		{"started again with another version", []*wire.Command{
			enroll("a", "v1", wire.Upstream_STATE_SERVING, 1), enroll("a", "v2", wire.Upstream_STATE_SERVING, 2),
		}},
		{"left before many others", func() []*wire.Command {
			list := []*wire.Command{
				enroll("a", "v1", wire.Upstream_STATE_SERVING, 1), enroll("b", "v2", wire.Upstream_STATE_SERVING, 1), enroll("a", "v1", wire.Upstream_STATE_GONE, 1),
			}
			for i := range 600 {
				id := fmt.Sprint("c", i)
				list = append(list, enroll(id, "v2", wire.Upstream_STATE_SERVING, 1), enroll(id, "v2", wire.Upstream_STATE_GONE, 1))
			}
			return list
		}()},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeReplica{leads: true, voters: 3}
				_, err := f.Propose(t.Context(), &wire.Command{Kind: &wire.Command_Publish{Publish: &wire.Publish{Version: 1, Document: []byte("one")}}})
				must.NoError(t, err)
				for _, c := range tt.play {
					r, err := f.Propose(t.Context(), c)
					must.NoError(t, err)
					must.Eq(t, state.OK, r.GetCode())
				}
				time.Sleep(2 * time.Second)
				for range 2 { // Schedulers that follow each other, each on a replica that has just started.
					f = f.restart(t)
					version, known := askOrigin(t, f, maxAge)
					must.False(t, known, must.Sprint(version))
				}
				time.Sleep(maxAge)
				// Time that has passed counts once the log has it.
				_, err = f.Propose(t.Context(), &wire.Command{Kind: &wire.Command_Expire{Expire: &wire.Expire{NowUs: time.Now().UnixMicro()}}})
				must.NoError(t, err)
				version, known := askOrigin(t, f.restart(t), maxAge)
				must.True(t, known)
				must.Eq(t, "v2", version)
			})
		})
	}
}

// askOrigin starts a scheduler and asks it for the version of a stream that no entry knows.
func askOrigin(t *testing.T, f *fakeReplica, maxAge time.Duration) (version string, known bool) {
	t.Helper()
	h := &Hub{
		Replica: f, Voters: 3, DataCentre: "z1", AnnounceInterval: announceInterval, Log: logr.Discard(),
		Parse: func([]byte) (*conf.Config, error) { return streamConfig(), nil },
	}
	h.LeaderClient = directLeader{h}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- h.Serve(ctx) }()
	synctest.Wait()
	stream := origin.Key("t", "engines", "attempt")
	reply, err := h.Handle(ctx, &wire.Frame{Body: &wire.Frame_OriginQuery{OriginQuery: &wire.OriginQuery{Pool: "engines", Stream: stream[:], MaxAgeUs: maxAge.Microseconds()}}})
	must.NoError(t, err)
	cancel()
	<-done
	if list := reply.GetOrigins().GetOrigins(); len(list) > 0 {
		return list[0].GetVersion(), true
	}
	return "", false
}
