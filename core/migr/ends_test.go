package migr

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// at is an event and what it has to lead to.
type at struct {
	after time.Duration // Since the stop was first due.
	event Event
	want  Do
}

const (
	endsKeep = 5 * time.Second
	endsDue  = time.Minute           // When the stop is first due.
	limitDue = stopLimit - callAgain // From which on a stop is not repeated.
)

var (
	tick      = Event{Kind: Tick}
	later     = Event{Kind: Tick, Run: Run{Events: 30}}
	latest    = Event{Kind: Tick, Run: Run{Events: 31}}
	whole     = Event{Kind: Closed, OK: true}
	byClose   = Event{Kind: Closed, OK: true, ByClose: true}
	cutShort  = Event{Kind: Closed, ByClose: true}
	gone      = Event{Kind: Answered, Status: Gone}
	lost      = Event{Kind: Answered, Status: Lost}
	refused   = Event{Kind: Answered, Status: Refused}
	unreached = Event{Kind: Answered, Status: Unreached}
	stopped   = Event{Kind: Answered, Handle: "h"}
	taken     = Event{Kind: Sent}
	notTaken  = Event{Kind: Sent, Status: Refused}
)

// Guards against streams that end as whole although their runs were only stopped, and against ones that break although
// their runs have ended by themselves.
func TestEndsWhileAStopIsPending(t *testing.T) {
	for _, tc := range []struct {
		name  string
		keep  time.Duration
		steps []at
	}{
		{"chunks, no answer", endsKeep, []at{{0, whole, Wait}, {limitDue, lost, End}}},
		{"chunks, gone", 0, []at{{0, whole, Wait}, {0, gone, End}}},
		{"chunks, in doubt", endsKeep, []at{{limitDue, lost, Wait}, {time.Second, whole, End}}},
		{"chunks, broken in doubt", endsKeep, []at{{limitDue, lost, Wait}, {time.Second, Event{Kind: Closed}, Return}}},
		{"gone", endsKeep, []at{{0, byClose, Wait}, {0, gone, End}}},
		{"gone before the end", endsKeep, []at{{0, gone, Wait}, {time.Second, byClose, End}}},
		{"gone, cut short", endsKeep, []at{{0, cutShort, Wait}, {0, gone, Return}}},
		{"gone after a lost answer", endsKeep, []at{{0, byClose, Wait}, {stopCall, lost, Stop}, {stopCall, gone, End}}},
		{"gone once the run is not kept", stopCall, []at{{0, byClose, Wait}, {stopCall, gone, Return}, {stopCall, notTaken, Return}, {stopCall, notTaken, Return}, {stopCall, notTaken, Break}}},
		{"gone, time of runs not known", 0, []at{{0, byClose, Wait}, {0, gone, Return}}},
		{"stopped", endsKeep, []at{{0, byClose, Wait}, {stopCall, stopped, Move}}},
		{"no answer, returned", endsKeep, []at{{0, byClose, Wait}, {limitDue, lost, Return}, {limitDue, taken, Moved}}},
		{"no answer, refused", endsKeep, []at{{0, byClose, Wait}, {limitDue, lost, Return}, {limitDue, notTaken, Return}, {limitDue, notTaken, Return}, {limitDue, notTaken, Break}}},
		{"no answer in time", endsKeep, []at{{0, byClose, Wait}, {stopLimit, tick, Return}}},
		{"refused without a handle", endsKeep, []at{{0, byClose, Wait}, {0, refused, Stop}, {callAgain, gone, End}}},
		{"not reached", endsKeep, []at{{0, byClose, Wait}, {0, unreached, Return}}},
		{"in doubt, gone", endsKeep, []at{{limitDue, lost, Wait}, {time.Second, byClose, Wait}, {time.Second, tick, Stop}, {time.Second, gone, End}}},
		{"in doubt, stopped", endsKeep, []at{{limitDue, lost, Wait}, {time.Second, byClose, Wait}, {time.Second, tick, Stop}, {time.Second, stopped, Move}}},
		{"in doubt, no answer", endsKeep, []at{{limitDue, lost, Wait}, {time.Second, byClose, Wait}, {time.Second, tick, Stop}, {time.Second + limitDue, lost, Return}}},
		{"in doubt, gone once the run is not kept", endsKeep, []at{{limitDue, lost, Wait}, {endsKeep, byClose, Wait}, {endsKeep, tick, Stop}, {endsKeep, gone, Return}}},
		{"in doubt, cut short", endsKeep, []at{{limitDue, lost, Wait}, {time.Second, cutShort, Return}}},
		{"in doubt, goes on", endsKeep, []at{{limitDue, lost, Wait}, {limitDue + lateLimit, later, Drop}, {3 * time.Second, byClose, End}}},
		{"in doubt, events before a late stop", endsKeep, []at{{limitDue, lost, Wait}, {time.Second, later, Wait}, {limitDue + lateLimit, later, Wait}, {3 * time.Second, byClose, Wait}, {3 * time.Second, tick, Stop}}},
		{"in doubt, events before a late stop and after it", endsKeep, []at{{limitDue, lost, Wait}, {time.Second, later, Wait}, {limitDue + lateLimit, latest, Drop}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, askedToStop(t, tc.keep), tc.steps)
		})
	}
}

// Guards against a run that goes on at its source, and whose end is taken for its own although a late stop has ended
// it, and against such a run that keeps its slot although no stop is late.
func TestHeir(t *testing.T) {
	lostStop := []at{{0, byClose, Wait}, {limitDue, lost, Return}, {limitDue, taken, Moved}}
	const back = limitDue
	for _, tc := range []struct {
		name  string
		steps []at
		asked time.Duration // When the heir is asked for, since the stop was first due.
		heir  []at          // Its steps; empty for none.
	}{
		{"gone", lostStop, back, []at{{time.Second, byClose, Wait}, {time.Second, tick, Stop}, {time.Second, gone, End}}},
		{"gone once the run is not kept", lostStop, back, []at{{back + endsKeep, byClose, Wait}, {back + endsKeep, tick, Stop}, {back + endsKeep, gone, Return}}},
		{"stopped", lostStop, back, []at{{time.Second, byClose, Wait}, {time.Second, tick, Stop}, {time.Second, stopped, Move}}},
		{"goes on", lostStop, back, []at{{2 * time.Second, later, Wait}, {back + lateLimit, latest, Drop}, {4 * time.Second, byClose, End}}},
		{"caller leaves", lostStop, back, []at{{time.Second, Event{Kind: Left}, Break}}},
		{"one of two stops lost", []at{{0, byClose, Wait}, {stopCall, lost, Stop}, {stopCall, Event{Kind: Answered, Status: Refused, Handle: "h"}, Return}, {stopCall, taken, Moved}}, stopCall, []at{{time.Second, byClose, Wait}, {time.Second, tick, Stop}}},
		{"too late for a stop", lostStop, back + lateLimit, nil},
		{"all stops answered", []at{{0, byClose, Wait}, {0, Event{Kind: Answered, Status: Refused, Handle: "h"}, Return}, {0, taken, Moved}}, 0, nil},
		{"moved", []at{{0, byClose, Wait}, {stopCall, lost, Stop}, {stopCall, stopped, Move}, {stopCall, taken, Moved}}, stopCall, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := askedToStop(t, endsKeep)
			run(t, m, tc.steps)
			heir, ok := m.Heir(endsDue + tc.asked)
			must.Eq(t, len(tc.heir) > 0, ok)
			run(t, &heir, tc.heir)
		})
	}
}

// askedToStop returns the state of a run that is asked to stop.
func askedToStop(t *testing.T, keep time.Duration) *Migr {
	t.Helper()
	m := &Migr{Keep: keep}
	leaves := Event{Run: Run{Leaves: true, Left: 3 * time.Second, Expected: time.Minute, Events: 5}}
	run(t, m, []at{{0, leaves, Ask}, {0, Event{Kind: Granted, OK: true}, Copy}, {0, stopped, Stop}})
	return m
}

func run(t *testing.T, m *Migr, steps []at) {
	t.Helper()
	for n, s := range steps {
		must.Eq(t, s.want, m.Step(endsDue+s.after, s.event).Do, must.Sprint("step ", n))
	}
}
