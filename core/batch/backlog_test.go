package batch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Callers' prompts are believed to wait for seconds at an engine that has read all of
// them: each is read in a third of the time that the start value says, and what was
// believed too much was never taken back while work came. Every engine then seems late
// to every caller, so that the order of who waits and the choice of the engine mean
// nothing. The first pieces that come tell how far the engine is.
func TestFirstPiecesTellWhatIsRead(t *testing.T) {
	const (
		prompt = 18000 // Tokens, of 150 ms by the start value.
		each   = 100 * time.Millisecond
		first  = 50 * time.Millisecond
		total  = 300 * time.Millisecond
	)
	e := newEngines(8, "a")
	var on runs
	worst := time.Duration(0)
	for at := time.Duration(0); at < 20*time.Second; at += each / 2 {
		e.now = e.now.Add(each / 2)
		for _, r := range on.ended(e.now) {
			e.end(r.Decision, first, total, 11)
		}
		if at%each != 0 {
			continue
		}
		for _, d := range e.Submit(e.now, e.ticket("usual", 0, prompt, 96)) {
			on = append(on, run{d, e.now.Add(total)})
		}
		worst = max(worst, e.engine(e.table.GetOrAdd("a")).pace.wait(e.now))
	}
	t.Logf("at most %v were believed to be unread", worst)
	must.Greater(t, 0, worst)
	// Three runs have not told of their first piece at any time.
	must.LessEq(t, 3*150*time.Millisecond, worst)
}

// What was given after the prompt that is known to be read is still to be read, from
// that first piece on or from its own grant, whichever is later.
func TestBacklog(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, tc := range []struct {
		name   string
		given  int // When the run was given whose first piece came, in ms.
		first  int // When that came.
		now    int
		expect int // What waits then, in ms.
	}{
		{"as believed", 0, 100, 100, 200},
		{"sooner", 0, 20, 100, 120},
		{"later", 0, 180, 180, 200},
		{"the last one", 20, 50, 60, 0},
		{"a run that is not known", -10, 5, 20, 280},
	} {
		var l backlog
		for _, ms := range []int{0, 10, 20} {
			l.add(at(ms), 100*time.Millisecond)
		}
		l.begun(at(tc.given), at(tc.first))
		must.Eq(t, time.Duration(tc.expect)*time.Millisecond, l.wait(at(tc.now)), must.Sprint(tc.name))
	}
}
