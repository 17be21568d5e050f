package migr

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var simSeeds = flag.Int("migr.seeds", 300, "moves simulated for each kind of trouble")

const (
	simEvents  = 120
	simStep    = 40 * time.Millisecond
	simKeep    = 3 * time.Second        // How long a copy is kept that nobody uses.
	simNotice  = 100 * time.Millisecond // Until an engine notices that its stream is not read.
	simOverlap = 400 * time.Millisecond // Required; see docs/OVERLOAD.md.
	simPause   = 2 * time.Second        // Required.
)

type (
	// simEngine is an engine with one run at most.
	simEngine struct {
		dead, busy bool
		run        *simRun
		copyUntil  time.Duration // When the copy that it holds ends; zero for none.
		kept       bool          // The run has stopped here, and its memory is kept.
	}

	// simRun is the work of an engine for one stream.
	simRun struct {
		at      *simEngine
		made    int
		next    time.Duration // When what the run sends now arrives at the earliest.
		stopped bool
		waits   bool   // The header has not come.
		end     func() // What ends the stream once it has come; nil for nothing.
	}

	// sim is one move between two engines, of a stream that an entry reads.
	sim struct {
		t        *testing.T
		r        *rand.Rand
		trouble  string
		slow     bool          // The source is slow for the run; else it leaves.
		byClose  bool          // Streams end with their connections.
		faster   time.Duration // When it is not any more; zero for never.
		now      time.Duration
		queue    simQueue
		m        Migr
		from, to simEngine
		reading  *simRun // Whose stream the entry reads.
		got      int     // Events that the caller has.
		gotAt    time.Duration
		pause    time.Duration
		slots    int           // That the entry holds at the destination.
		mine     bool          // One of them is for the last try.
		began    time.Duration // When the destination began.
		ended    bool
		calls    int  // Number of the last call or continuation; an answer to another one is late.
		open     bool // An answer to it is awaited.
		due      bool // It is to be sent.
	}

	simItem struct {
		at time.Duration
		do func()
	}

	simQueue []simItem
)

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *simQueue) Push(x any) { *q = append(*q, x.(simItem)) }

// Pop implements heap.Interface.
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (s *sim) after(d time.Duration, do func()) { heap.Push(&s.queue, simItem{s.now + d, do}) }

// message delivers something over a link with troubles.
func (s *sim) message(do func()) {
	d := time.Duration(1+s.r.IntN(15)) * time.Millisecond
	if s.trouble == "lossy" || s.trouble == "all" {
		switch p := s.r.Float64(); {
		case p < 0.15:
			return
		case p < 0.3:
			d += time.Duration(s.r.IntN(1500)) * time.Millisecond
		}
	}
	s.after(d, do)
}

// work makes the next event of a run.
func (s *sim) work(e *simEngine, run *simRun) {
	s.after(simStep, func() {
		if e.dead || run.stopped {
			return
		}
		if s.reading != run && s.now-max(s.gotAt, run.next) > simNotice {
			run.stopped = true // Its stream is closed.
			return
		}
		if e == &s.from && s.began > 0 {
			must.LessEq(s.t, s.began+simOverlap, s.now, must.Sprint("both work"))
		}
		run.made++
		n := run.made
		s.stream(run, func() {
			if s.reading == run {
				must.Eq(s.t, s.got+1, n, must.Sprint("events in order"))
				s.got, s.pause, s.gotAt = n, max(s.pause, s.now-max(s.gotAt, s.m.stopAt)), s.now
			}
		})
		if n == simEvents {
			run.stopped = true
			if e.run == run {
				e.run = nil
			}
			s.stream(run, func() { s.closed(run, true) })
			return
		}
		s.work(e, run)
	})
}

// stream delivers in order.
func (s *sim) stream(run *simRun, do func()) {
	d := time.Duration(1+s.r.IntN(15)) * time.Millisecond
	if s.trouble != "none" && s.r.Float64() < 0.02 {
		d += time.Duration(s.r.IntN(500)) * time.Millisecond
	}
	run.next = max(run.next+1, s.now+d) // The queue does not keep the order of equal times.
	s.after(run.next-s.now, do)
}

// closed ends the stream of a run. That of a dead engine is known to be cut off once no stop is pending.
func (s *sim) closed(run *simRun, whole bool) {
	if run != nil && run.waits {
		run.end = func() { s.closed(run, whole) }
		return
	}
	if s.reading == run && run != nil {
		s.reading = nil
		cut := run.at.dead && s.byClose && !s.m.Pending()
		s.step(Event{Kind: Closed, OK: whole && !cut, ByClose: s.byClose})
		if s.m.stage == over && whole && !run.at.dead {
			must.Eq(s.t, simEvents, s.got, must.Sprint("complete"))
		}
	}
}

// call has the source copy its run. It answers through the links.
func (s *sim) call(last bool, limit time.Duration) {
	answer := s.await(Answered, limit)
	s.message(func() {
		e := &s.from
		switch {
		case e.dead && s.r.IntN(2) == 0:
			answer(Unreached, "")
			return
		case e.dead:
			return
		case e.run == nil:
			answer(Gone, "")
			return
		case e.busy:
			answer(Busy, "")
			return
		}
		e.busy = true
		run := e.run
		if last && !run.stopped {
			run.stopped, e.kept = true, true
			s.stream(run, func() { s.closed(run, s.byClose) })
			s.after(simKeep, func() {
				if e.run == run {
					e.run, e.kept = nil, false
				}
			})
		}
		s.after(time.Duration(10+s.r.IntN(400))*time.Millisecond, func() {
			e.busy = false
			if e.dead || e.run == nil {
				return
			}
			if s.to.dead || (s.trouble != "none" && s.r.Float64() < 0.1) {
				handle := ""
				if last {
					handle = "h"
				}
				answer(Refused, handle)
				return
			}
			must.Positive(s.t, s.slots, must.Sprint("the scheduler knows of the copy"))
			s.hold()
			answer(Done, "h")
		})
	})
}

// hold has the destination hold the copy for simKeep.
func (s *sim) hold() {
	until := s.now + simKeep
	s.to.copyUntil = until
	s.after(simKeep, func() {
		if s.to.copyUntil == until {
			s.to.copyUntil = 0
		}
	})
}

// await expects one answer within a limit.
func (s *sim) await(kind Kind, limit time.Duration) func(Status, string) {
	s.calls++
	n := s.calls
	s.open = true
	take := func(st Status, handle string) {
		if s.calls == n && s.open {
			s.open = false
			s.step(Event{Kind: kind, Status: st, Handle: handle})
		}
	}
	s.after(limit, func() { take(Lost, "") })
	return func(st Status, handle string) { s.message(func() { take(st, handle) }) }
}

// send continues the run at an engine.
func (s *sim) send(e *simEngine) {
	answer := s.await(Sent, s.m.SendTime(s.now))
	n, last := s.calls, s.got
	s.message(func() {
		admits := (e == &s.to && e.copyUntil > 0) || (e == &s.from && e.kept && !e.busy)
		switch {
		case e.dead && s.r.IntN(2) == 0:
			answer(Unreached, "")
			return
		case e.dead:
			return
		case !admits || (s.trouble != "none" && s.r.Float64() < 0.1):
			answer(Refused, "")
			return
		}
		run := &simRun{at: e, made: last, next: s.now, waits: true}
		if e == &s.to {
			e.copyUntil = 0
			s.began = s.now
		}
		e.kept, e.run = false, run
		s.message(func() { // Events come after the header.
			s.stream(run, func() {
				if s.calls == n && s.open {
					s.reading, s.open, run.waits = run, false, false
					s.step(Event{Kind: Sent})
					if run.end != nil {
						s.after(time.Millisecond, run.end)
					}
				}
			})
			s.work(e, run)
		})
	})
}

// free frees the copy, and gives the slot back once no copy can be held.
func (s *sim) free(ends Ends) {
	if !s.mine {
		return
	}
	s.mine = false
	freed := !s.m.Doubtful()
	if ends != FreeNone && s.m.Handle() != "" {
		reached := false
		s.message(func() {
			if !s.to.dead {
				s.to.copyUntil, reached = 0, true
			}
			if ends == FreeBoth {
				s.from.kept = false
			}
		})
		s.after(100*time.Millisecond, func() {
			if freed && reached {
				s.slots--
				return
			}
			s.after(2*simKeep, func() { s.slots-- })
		})
		return
	}
	if freed {
		s.slots--
		return
	}
	s.after(2*simKeep, func() { s.slots-- })
}

// step reports what happened to the machine and does what it says.
func (s *sim) step(e Event) {
	needs := s.now > 200*time.Millisecond && (s.faster == 0 || s.now < s.faster)
	e.Run = Run{Leaves: needs && !s.slow, Slow: needs && s.slow, Left: 800 * time.Millisecond, Expected: time.Duration(simEvents-s.got) * simStep, Events: int64(s.got)}
	a := s.m.Step(s.now, e)
	if a.Do == Stop && s.m.firstAt == s.now {
		must.True(s.t, needs, must.Sprint("stopped although the source is fast again"))
	}
	if a.Do == Wait {
		return
	}
	s.due = true
	s.after(a.After, func() { s.due = false; s.do(a.Do) })
}

func (s *sim) do(d Do) {
	if s.m.Over() && (d == Copy || d == Stop) {
		d = Drop
	}
	switch d {
	case Ask:
		s.after(10*time.Millisecond, func() {
			if s.trouble != "none" && s.r.IntN(3) == 0 {
				s.step(Event{Kind: Granted})
				return
			}
			s.slots, s.mine = s.slots+1, true
			s.step(Event{Kind: Granted, OK: true})
		})
	case Copy:
		s.call(false, time.Second)
	case Stop:
		s.call(true, s.m.StopTime(s.now))
	case Drop:
		s.free(s.m.Frees())
	case Cut:
		s.closed(s.reading, false)
	case Move:
		s.send(&s.to)
	case Return:
		s.send(&s.from)
	case End, Break, Moved:
		if heir, ok := s.m.Heir(s.now); ok && s.byClose {
			s.m = heir
			return
		}
		s.ended = true
		if d == End && (!s.byClose || !s.from.dead) {
			must.Eq(s.t, simEvents, s.got, must.Sprint("complete"))
		}
		if s.m.Outcome() != OutcomeMoved && !s.open && !s.due {
			s.free(s.m.Frees())
		}
	case Wait:
	}
}

// kill ends an engine. Its stream breaks.
func (s *sim) kill(e *simEngine) {
	run := e.run
	e.dead, e.run, e.copyUntil, e.kept = true, nil, 0, false
	if run != nil {
		s.stream(run, func() { s.closed(run, s.byClose) })
	}
}

func runSim(t *testing.T, seed uint64, trouble string, slow, byClose bool) *sim {
	s := &sim{t: t, r: rand.New(rand.NewPCG(seed, 1)), trouble: trouble, slow: slow, byClose: byClose}
	s.m.Keep = simKeep
	if slow && trouble != "none" && seed%4 == 0 {
		s.faster = 300*time.Millisecond + time.Duration(s.r.IntN(500))*time.Millisecond
	}
	run := &simRun{at: &s.from}
	s.from.run, s.reading = run, run
	s.work(&s.from, run)
	for at := time.Duration(0); at < 20*time.Second; at += 20 * time.Millisecond {
		s.after(at, func() { s.step(Event{Kind: Tick}) })
	}
	for i, e := range []*simEngine{&s.from, &s.to} {
		if trouble == []string{"source dies", "destination dies"}[i] || (trouble == "all" && seed%3 == uint64(i)) {
			s.after(200*time.Millisecond+time.Duration(s.r.IntN(1500))*time.Millisecond, func() { s.kill(e) })
		}
	}
	if trouble == "link breaks" {
		s.after(200*time.Millisecond+time.Duration(s.r.IntN(800))*time.Millisecond, func() { s.closed(s.reading, false) })
	}
	for len(s.queue) > 0 {
		i := heap.Pop(&s.queue).(simItem)
		s.now = i.at
		i.do()
		if s.to.copyUntil > 0 {
			must.Positive(t, s.slots, must.Sprint("the scheduler knows of the copy"))
		}
	}
	return s
}

// Guards against events that are missing or come twice, two engines that work on one run, copies and slots
// that stay held, long pauses, and a run that does not end, whatever is lost, late or dead, and against a run that
// is stopped although its engine has become fast again.
func TestMoves(t *testing.T) {
	for _, tc := range []struct {
		trouble string
		moved   float64 // Least share of moves, of the runs whose source does not become fast again.
	}{{"none", 1}, {"lossy", 0.25}, {"source dies", 0.3}, {"destination dies", 0.3}, {"link breaks", 0.3}, {"all", 0.1}} {
		for n := range 4 {
			slow, byClose := n%2 == 1, n >= 2
			t.Run(fmt.Sprint(tc.trouble, ", slow ", slow, ", by close ", byClose), func(t *testing.T) {
				outcomes, need := map[string]int{}, 0.0
				for seed := range *simSeeds {
					s := runSim(t, uint64(seed), tc.trouble, slow, byClose)
					at := must.Sprint(fmt.Sprint("seed ", seed, " outcome ", s.m.Outcome()))
					must.True(t, s.ended, at)
					must.Eq(t, 0, s.to.copyUntil, at)
					if o := s.m.Outcome(); o != OutcomeMoved {
						must.Eq(t, 0, s.slots, at)
					}
					must.Less(t, simPause, s.pause, at)
					outcomes[s.m.Outcome()]++
					if s.faster == 0 {
						need++
					}
				}
				t.Log(tc.trouble, slow, byClose, outcomes)
				must.GreaterEq(t, tc.moved*need, float64(outcomes[OutcomeMoved]))
				must.Eq(t, slow && tc.trouble != "none", outcomes[OutcomeFaster] > 0)
			})
		}
	}
}
