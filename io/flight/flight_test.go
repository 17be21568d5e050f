package flight_test

import (
	"context"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"azurelane/core/answer"
	"azurelane/core/refuse"
	"azurelane/io/flight"
	"azurelane/io/pipe"
)

var errLeft = errors.New("left")

func newFlight() (*flight.Flight, context.Context) {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &flight.Flight{Cancel: cancel}, ctx
}

// Guards against followers that miss or reorder bytes, whether they join before the first byte, in between
// or after the end.
func TestFollowersGetAll(t *testing.T) {
	f, _ := newFlight()
	must.NoError(t, f.Head(&answer.Answer{Status: 200, Streamed: true}))
	var wg sync.WaitGroup
	got := make([]string, 3)
	for i := range got {
		wg.Go(func() {
			for {
				a, err := f.Next(t.Context(), len(got[i]))
				must.NoError(t, err)
				got[i] += string(a.Body)
				if a.Ended() {
					return
				}
			}
		})
		_, err := f.Write([]byte{byte('a' + i)})
		must.NoError(t, err)
	}
	f.End("whole", nil)
	wg.Wait()
	must.Eq(t, []string{"abc", "abc", "abc"}, got)
	a, err := f.Wait(t.Context())
	must.NoError(t, err)
	must.Eq(t, "abc", string(a.Body))
}

// Guards against a run that is sent although its last caller has left and was told that nothing ran, because
// the grant arrives at the same moment. A new submission must not join that run either.
func TestAbandonedIsNeverSent(t *testing.T) {
	f, ctx := newFlight()
	must.True(t, f.Join())
	must.True(t, f.Leave(errLeft))
	must.ErrorIs(t, context.Cause(ctx), errLeft)
	must.False(t, f.Sending())
	must.False(t, f.Join())
}

func TestLeave(t *testing.T) {
	for _, tc := range []struct {
		name      string
		runOn     bool
		sent      bool
		unsent    bool
		others    bool
		cancelled bool
	}{
		{"waiting", true, false, false, false, true},
		{"waiting with another", true, false, false, true, false},
		{"sent", false, true, false, false, true},
		{"sent and runs on", true, true, false, false, false},
		{"taken back", true, true, true, false, true},
	} {
		f, ctx := newFlight()
		f.RunOn = tc.runOn
		f.Join()
		if tc.others {
			f.Join()
		}
		if tc.sent {
			must.True(t, f.Sending())
		}
		if tc.unsent {
			f.Unsent()
		}
		must.Eq(t, tc.cancelled, f.Leave(errLeft), must.Sprint(tc.name))
		must.Eq(t, tc.cancelled, ctx.Err() != nil, must.Sprint(tc.name))
	}
}

// Guards against a run that has ended and counts as running.
func TestLeaveAfterTheEnd(t *testing.T) {
	f, ctx := newFlight()
	must.True(t, f.Join())
	f.End("whole", nil)
	must.True(t, f.Leave(errLeft))
	must.NoError(t, ctx.Err())
}

func TestAnswerIsBounded(t *testing.T) {
	f, _ := newFlight()
	f.Limit = 3
	_, err := f.Write([]byte("abc"))
	must.NoError(t, err)
	_, err = f.Write([]byte("d"))
	must.ErrorIs(t, err, pipe.ErrLarge)
	f.End("unknown", refuse.New(refuse.AnswerLarge, "", 0))
	a, err := f.Wait(t.Context())
	must.NoError(t, err)
	must.Eq(t, "unknown", a.Outcome)
}
