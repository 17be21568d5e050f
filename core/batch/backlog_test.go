package batch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a backlog that grows for as long as requests keep coming. Each prompt here is
// prefilled in a third of the default time, so the estimates are too long, and an engine that has
// prefilled everything seems busy for seconds. Every engine then seems late for every request,
// and neither the order of the queue nor the choice of the engine means anything. The reported
// first tokens correct the backlog.
func TestFirstTokensClearTheBacklog(t *testing.T) {
	const (
		prompt   = 18000 // Tokens, with a default prefill time of 150 ms.
		interval = 100 * time.Millisecond
		first    = 50 * time.Millisecond
		total    = 300 * time.Millisecond
	)
	e := newHarness(8, "a")
	var active activeRuns
	worst := time.Duration(0)
	for at := time.Duration(0); at < 20*time.Second; at += interval / 2 {
		e.now = e.now.Add(interval / 2)
		for _, r := range active.takeEnded(e.now) {
			e.release(r.Decision, first, total, 11)
		}
		if at%interval != 0 {
			continue
		}
		for _, d := range e.Submit(e.now, e.ticket("usual", 0, prompt, 96)) {
			active = append(active, activeRun{d, e.now.Add(total)})
		}
		worst = max(worst, e.engine(e.table.GetOrAdd("a")).stats.wait(e.now))
	}
	t.Logf("longest estimated backlog: %v", worst)
	must.Greater(t, 0, worst)
	// At any time, three runs have not reported their first token yet.
	must.LessEq(t, 3*150*time.Millisecond, worst)
}

// Three prompts are sent, with an estimated prefill time of 100 ms each, and the first token of
// one is reported. The prefills of later prompts start at that time, or at their own grant if that
// is later.
func TestBacklog(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, tc := range []struct {
		name    string
		granted int // Time in ms at which the run with the reported first token was granted.
		first   int // Time of that first token in ms.
		now     int
		expect  int // Remaining wait in ms.
	}{
		{"as believed", 0, 100, 100, 200}, // The first token comes at the estimated time.
		{"sooner", 0, 20, 100, 120},       // Before the estimated time.
		{"later", 0, 180, 180, 200},       // After the estimated time.
		{"the last one", 20, 50, 60, 0},
		{"a run that is not known", -10, 5, 20, 280}, // Its grant is earlier than all others; the report is ignored.
	} {
		var b backlog
		for _, ms := range []int{0, 10, 20} {
			b.add(at(ms), 100*time.Millisecond)
		}
		b.prefillDone(at(tc.granted), at(tc.first))
		must.Eq(t, time.Duration(tc.expect)*time.Millisecond, b.wait(at(tc.now)), must.Sprint(tc.name))
	}
}
