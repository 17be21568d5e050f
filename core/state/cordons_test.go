package state

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/cordon"
	"azurelane/core/wire"
)

func enroll(s *State, ids ...string) {
	for _, id := range ids {
		s.Apply(&wire.Command{Kind: &wire.Command_Enroll{Enroll: &wire.Enroll{Upstream: &wire.Upstream{Id: id, Pool: "p"}}}})
	}
}

func orderCordon(order, upstream string, nowUs int64) *wire.Command {
	return &wire.Command{Id: order, Kind: &wire.Command_OrderCordon{OrderCordon: &wire.OrderCordon{
		Upstream: upstream, Author: "ann", LengthUs: time.Hour.Microseconds(), NowUs: nowUs,
	}}}
}

func liftCordon(order, upstream string) *wire.Command {
	return &wire.Command{Id: order, Kind: &wire.Command_LiftCordon{LiftCordon: &wire.LiftCordon{Upstream: upstream, Author: "ann"}}}
}

// Guards against an order that is refused when it is sent again, that returns after another operator lifted
// it, or that takes effect after it was refused, also with a snapshot in between. Guards against a snapshot
// that loses a cordon or its revision.
func TestCordonsAreOrderedOnce(t *testing.T) {
	var s State
	enroll(&s, "a", "b")
	must.Eq(t, OK, s.Apply(orderCordon("1", "a", 5)).GetCode())
	must.Eq(t, cordon.LastUpstream, s.Apply(orderCordon("2", "b", 6)).GetCode())
	must.Eq(t, Invalid, s.Apply(orderCordon("", "a", 6)).GetCode())
	data, err := s.Save()
	must.NoError(t, err)
	want := s.Cordons().List()
	must.NoError(t, s.Load(data))
	must.Len(t, 1, s.Cordons().List())
	must.Eq(t, want[0].String(), s.Cordons().List()[0].String())
	must.Eq(t, 1, s.Cordons().Revision())

	must.Eq(t, OK, s.Apply(orderCordon("1", "a", 9)).GetCode())
	must.Eq(t, OK, s.Apply(liftCordon("3", "a")).GetCode())
	must.Eq(t, OK, s.Apply(orderCordon("1", "a", 10)).GetCode())
	must.Eq(t, cordon.LastUpstream, s.Apply(orderCordon("2", "b", 11)).GetCode())
	must.Eq(t, 0, s.Cordons().Len())
	must.Eq(t, 2, s.Cordons().Revision())
}

// Guards against a snapshot of an earlier version, without cordons, that does not load, and against cordons
// that stay from the state before.
func TestSnapshotWithoutCordons(t *testing.T) {
	old, err := EncodeImage(&wire.Image{Version: 3, ClockUs: 7, Roster: []*wire.Upstream{{Id: "a", Pool: "p", Revision: 1}, {Id: "b", Pool: "p", Revision: 2}}})
	must.NoError(t, err)
	var s State
	enroll(&s, "c", "d")
	must.Eq(t, OK, s.Apply(orderCordon("1", "c", 5)).GetCode())
	must.NoError(t, s.Load(old))
	must.Eq(t, 0, s.Cordons().Len())
	must.Eq(t, 3, s.Version())
	must.Eq(t, OK, s.Apply(orderCordon("1", "a", 8)).GetCode())
	must.Eq(t, 1, s.Cordons().Revision())
}
