// Package migr decides how one run moves from an engine that leaves, or that is too slow for it, to another one. It does no input or
// output: its user reports what happened and carries out what Step returns.
//
// A move copies the run's memory while the run continues, stops the run with a last copy, and continues it
// with the copy's handle at the destination. If the destination does not take it, it continues at the
// source. The source works until the stop and the destination from the continuation on, so the two never
// work at once.
package migr

import "time"

const (
	// MaxTries is the number of destinations that one run is copied to. A request for a slot that is refused
	// does not count, because slots become free during a drain.
	MaxTries = 3
	// endShare is the part of the remaining drain in which a run has to be expected to end if it stays.
	// A run that is cut off loses its answer, a move costs a pause, so the estimate gets a margin.
	endShare = 0.8
	// minLeft is the remaining drain below which no move begins: copy, stop and continuation need it.
	minLeft = 300 * time.Millisecond
	// minEvents is the number of events after which the pace of a run is known.
	minEvents = 2
	// tryAgain is the time between two tries, in which engines end runs and slots become free.
	tryAgain = 200 * time.Millisecond
	// slowAgain is the same for a run whose engine serves on. It is not at its end, and in a full pool many
	// such runs ask.
	slowAgain = 500 * time.Millisecond
	// callAgain is the time after which a call is repeated whose answer was lost or that met another one.
	callAgain = 40 * time.Millisecond
	// maxCopies is how often one copy is asked for if answers are lost.
	maxCopies = 3
	// busyLimit is how long a copy may wait for an earlier call whose answer was lost.
	busyLimit = 2 * time.Second
	// slowCopy is the time of a copy beyond which it is repeated before the stop, so that the last copy has
	// little left to do. maxRounds bounds the repetitions.
	slowCopy  = 250 * time.Millisecond
	maxRounds = 3
	// A caller's pause stays below 2 s. The answer to the stop is waited for until stopLimit after it was
	// first sent, the stream's end until settle after the answer, and the continuations are sent until
	// pauseLimit, which leaves 100 ms for the first event.
	stopLimit  = 900 * time.Millisecond
	stopCall   = 450 * time.Millisecond // Of one call; a lost one leaves time for a second.
	settle     = 200 * time.Millisecond
	pauseLimit = 1900 * time.Millisecond
	// sendLimit bounds the wait for the answer to one continuation, so that there is time for a second.
	sendLimit = 500 * time.Millisecond
	// A source that has not answered the stop may still be copying. The continuation is then sent up to
	// maxReturns more times.
	returnAgain = 100 * time.Millisecond
	maxReturns  = 2
	// lateLimit is how long after its last call a stop may still take effect at the engine. Calls are cut
	// off at stopLimit; what is under way then is in the engine's buffers.
	lateLimit = 2 * time.Second
)

// What the user of a Migr does next.
const (
	Wait   Do = iota // Nothing until the next event.
	Ask              // Ask the scheduler for a slot; report Granted.
	Copy             // Call for a copy; report Answered.
	Stop             // Call for the last copy; report Answered.
	Drop             // Free the copy by Frees and give the slot back. The run stays where it is.
	Cut              // End the stream from the source; report Closed.
	Move             // Send the continuation to the destination; report Sent.
	Return           // Send the continuation to the source; report Sent.
	End              // The stream is complete.
	Break            // The stream is interrupted as without a move.
	Moved            // The stream goes on with the last continuation.
)

// What happened.
const (
	Tick     Kind = iota // Time has passed. Run says how the run stands.
	Granted              // OK says whether the scheduler granted a slot.
	Answered             // Status, Handle answer the last call. Run says how the run stands.
	Closed               // The stream from the source has ended; OK if with its end, ByClose if that is its connection's.
	Sent                 // Status answers the last continuation: Done, Refused, Lost or Unreached.
	Left                 // The caller is gone, or another engine has the run.
)

// Statuses of calls and continuations.
const (
	Done      Status = iota
	Gone             // The engine has no such run.
	Busy             // Another call for the run is in progress.
	Refused          // No room or no destination; of a continuation: nothing ran.
	Lost             // No answer. The call may have had its effect.
	Unreached        // Nothing was sent.
)

// Ends at which a copy is freed.
const (
	FreeNone        Ends = iota
	FreeDestination      // The source has the run.
	FreeBoth
)

// How a move ended.
const (
	OutcomeNone     = ""
	OutcomeMoved    = "moved"       // Continued at the destination.
	OutcomeReturned = "returned"    // Stopped, and continued at the source.
	OutcomeBroken   = "broken"      // Stopped, and continued at neither.
	OutcomeEnded    = "ended"       // The run ended before it was stopped.
	OutcomeNoSlot   = "no-slot"     // The scheduler granted none.
	OutcomeNoRoom   = "no-room"     // An engine refused the copy.
	OutcomeGone     = "gone"        // The engine does not know the run.
	OutcomeLost     = "call-lost"   // No answer to a copy.
	OutcomeStayed   = "not-stopped" // No answer to the stop, and the run goes on.
	OutcomeFaster   = "recovered"   // The engine was fast enough again before the stop.
)

type (
	// Do names what to do next.
	Do int
	// Kind names what happened.
	Kind int
	// Status is the answer to a call or a continuation.
	Status int
	// Ends names engines at which a copy is freed.
	Ends int

	// Run is how a run stands at its engine.
	Run struct {
		Leaves   bool
		Left     time.Duration // Of the engine's drain.
		Expected time.Duration // Until the run ends; at most until its caller's deadline.
		Events   int64         // That the caller has.
		Slow     bool          // The engine is too slow for the run, and another one is not, as far as known.
	}

	// Event is something that happened. Its fields are described at the kinds.
	Event struct {
		Kind Kind
		OK   bool
		// ByClose says that a stream has no end of its own, so that one that is stopped looks as if it were whole.
		ByClose bool
		Status  Status
		Handle  string
		Run     Run
	}

	// Action is what to do, and after which time.
	Action struct {
		Do    Do
		After time.Duration
	}

	// Migr is the state of one run. The zero value is a run that stays where it is. Times passed to it count
	// from any fixed moment and never decrease.
	Migr struct {
		// Keep is how long an engine keeps a run that it has stopped. Later, or at zero, its answer that it has no
		// such run does not show that the run has ended by itself.
		Keep time.Duration

		stage    stage
		tries    int
		copies   int // Calls of the current round.
		returns  int
		rounds   int
		slow     bool          // The try is for a slow engine that serves on.
		tryAt    time.Duration // From which time the next try may begin.
		called   time.Duration // When the last call was due.
		stopAt   time.Duration // When the stop was first due, or the stream ended on whose end the engine is asked again.
		firstAt  time.Duration // When the stop was first due.
		cutAt    time.Duration // When the source's stream is cut; zero for never.
		lateAt   time.Duration // When a stop without an answer can't take effect any more.
		backAt   time.Duration // When the source was last asked to continue.
		handle   string
		doubtful bool          // A call of this try has no answer and may still have its effect.
		began    time.Duration // When the first copy was asked for.
		asked    bool          // A copy may exist.
		stopped  bool          // The engine has said that the run has stopped.
		refused  bool          // The last copy did not reach the destination.
		closed   bool
		whole    bool
		byClose  bool
		gone     bool // The engine has said that the run has ended.
		events   int64
		outcome  string
		free     Ends
	}

	stage int
)

const (
	watching stage = iota
	asking
	copying
	stopping
	doubting // The stop has no answer, and the stream goes on.
	moving
	returning
	over
)

// ForReader reports whether it is for the reader of the stream, which has ended.
func (d Do) ForReader() bool { return d >= Move }

// Step takes what happened and returns what to do.
func (m *Migr) Step(now time.Duration, e Event) Action {
	if e.Kind == Answered && e.Handle != "" {
		m.handle = e.Handle
	}
	if e.Kind == Answered && e.Status == Lost {
		m.doubtful = true
		if m.stage == stopping {
			m.lateAt = now + lateLimit
		}
	}
	if e.Kind == Closed {
		return m.close(now, e)
	}
	if e.Kind == Left && m.stage != over {
		return m.leave()
	}
	switch m.stage {
	case watching:
		return m.watch(now, e)
	case asking:
		return m.ask(now, e)
	case copying:
		return m.copy(now, e)
	case stopping:
		return m.stop(now, e)
	case doubting:
		return m.doubt(now, e)
	case moving, returning:
		return m.send(now, e)
	default:
		return m.late(e)
	}
}

// Stopping reports whether the run may be stopped. No other engine may be sought for it then.
func (m *Migr) Stopping() bool { return m.stage >= stopping && m.stage != doubting && m.stage != over }

// Pending reports whether a stop was sent and may still have its effect. The end of a stream without an end of its
// own shows nothing then.
func (m *Migr) Pending() bool { return m.stage == stopping || m.stage == doubting }

// Heir returns the state of a stream that goes on at the source although an earlier stop, which has no answer, may
// still stop it. It reports false if there is no such stop. The copy is the heir's then.
func (m *Migr) Heir(now time.Duration) (Migr, bool) {
	if m.stage != over || m.outcome != OutcomeReturned || now >= m.lateAt {
		return Migr{}, false
	}
	return Migr{Keep: m.Keep, stage: doubting, tries: MaxTries, handle: m.handle, asked: true, doubtful: true, firstAt: m.backAt, lateAt: m.lateAt}, true
}

// Over reports whether the stream has ended here. Calls that are not sent yet are not to be sent.
func (m *Migr) Over() bool { return m.stage == over }

// Settled reports whether the engine has answered whether the run has stopped.
func (m *Migr) Settled() bool { return m.stopped }

// Doubtful reports whether a copy may be held that can't be freed, because a call has no answer. The slot
// counts as taken until the engines drop such a copy.
func (m *Migr) Doubtful() bool { return m.doubtful }

// Handle returns the name of the copy; empty if it is not known.
func (m *Migr) Handle() string { return m.handle }

// Frees returns the ends at which a copy is to be freed once the run has ended or stays.
func (m *Migr) Frees() Ends { return m.free }

// Outcome returns how the last try ended; empty while none has.
func (m *Migr) Outcome() string { return m.outcome }

// Pause returns how long the stream has paused for the stop.
func (m *Migr) Pause(now time.Duration) time.Duration { return now - m.stopAt }

// SendTime returns how long a continuation may take that is sent now.
func (m *Migr) SendTime(now time.Duration) time.Duration {
	return max(min(sendLimit, m.stopAt+pauseLimit-now), callAgain)
}

// StopTime returns how long the answer to a stop that is sent now is waited for.
func (m *Migr) StopTime(now time.Duration) time.Duration {
	return max(min(stopCall, m.stopAt+stopLimit-now), callAgain)
}

func (m *Migr) watch(now time.Duration, e Event) Action {
	if e.Kind != Tick || m.tries >= MaxTries || now < m.tryAt || e.Run.Events < minEvents || !e.Run.hasToMove() {
		return Action{}
	}
	m.stage, m.tries, m.outcome, m.slow = asking, m.tries+1, OutcomeNone, !e.Run.Leaves
	return Action{Do: Ask}
}

func (r *Run) hasToMove() bool {
	if !r.Leaves {
		return r.Slow
	}
	return r.Left >= minLeft && float64(r.Expected) > endShare*float64(r.Left)
}

func (m *Migr) ask(now time.Duration, e Event) Action {
	if e.Kind != Granted {
		return Action{}
	}
	if !e.OK {
		m.tries--
		return m.drop(now, OutcomeNoSlot)
	}
	m.stage, m.copies, m.rounds, m.asked, m.doubtful, m.handle, m.called, m.began = copying, 1, 1, true, false, "", now, now
	return Action{Do: Copy}
}

func (m *Migr) copy(now time.Duration, e Event) Action {
	if e.Kind != Answered {
		return Action{}
	}
	switch {
	case e.Status == Done && m.slow && !e.Run.Slow && !e.Run.Leaves:
		return m.drop(now, OutcomeFaster)
	case e.Status == Done && m.handle != "" && now-m.called > slowCopy && m.rounds < maxRounds:
		m.rounds, m.copies, m.called = m.rounds+1, 1, now
		return Action{Do: Copy}
	case e.Status == Done && m.handle != "":
		m.firstAt = now
		return m.askToStop(now)
	case e.Status == Gone:
		m.tries = MaxTries
		return m.drop(now, OutcomeGone)
	case e.Status == Refused:
		return m.drop(now, OutcomeNoRoom)
	case (e.Status == Busy || e.Status == Unreached) && now-m.began < busyLimit:
		m.called = now + callAgain
		return Action{Do: Copy, After: callAgain}
	case m.copies < maxCopies:
		m.copies, m.called = m.copies+1, now+callAgain
		return Action{Do: Copy, After: callAgain}
	}
	return m.drop(now, OutcomeLost)
}

func (m *Migr) askToStop(now time.Duration) Action {
	m.stage, m.stopAt, m.called = stopping, now, now
	return Action{Do: Stop}
}

// drop ends a try. The run stays where it is.
func (m *Migr) drop(now time.Duration, outcome string) Action {
	m.stage, m.outcome, m.tryAt = watching, outcome, now+tryAgain
	if m.slow {
		m.tryAt = now + slowAgain
	}
	m.free = FreeNone
	if m.asked {
		m.free = FreeBoth
	}
	m.asked = false
	return Action{Do: Drop}
}

func (m *Migr) stop(now time.Duration, e Event) Action {
	if e.Kind == Tick {
		m.events = max(m.events, e.Run.Events)
		return m.stopDue(now)
	}
	if e.Kind != Answered || m.stopped {
		return Action{}
	}
	switch {
	case e.Status == Done, e.Status == Refused && e.Handle != "":
		m.stopped, m.refused, m.cutAt = true, e.Status == Refused, now+settle
		return m.goOn(now)
	case e.Status == Gone:
		m.gone = now-m.firstAt < m.Keep
		return m.unanswered(now)
	case e.Status == Refused && !m.unsure(), e.Status == Unreached && m.closed: // An engine that has ended.
		return m.unanswered(now)
	case now-m.stopAt+callAgain < stopLimit:
		m.called = now + callAgain
		return Action{Do: Stop, After: callAgain}
	}
	return m.unanswered(now)
}

// stopDue ends waits that have lasted too long.
func (m *Migr) stopDue(now time.Duration) Action {
	switch {
	case m.stopped && !m.closed && now >= m.cutAt:
		return Action{Do: Cut}
	case !m.stopped && now >= m.stopAt+stopLimit:
		return m.unanswered(now)
	}
	return Action{}
}

// goOn continues a run that has stopped, once all that the source sent is read.
func (m *Migr) goOn(now time.Duration) Action {
	switch {
	case !m.closed:
		return Action{}
	case m.refused:
		return m.giveBack(now)
	}
	m.stage = moving
	return Action{Do: Move}
}

// unanswered handles a stop of which it is not known whether it had an effect.
func (m *Migr) unanswered(now time.Duration) Action {
	switch {
	case m.closed && m.whole && !m.unsure():
		return m.finish(End, OutcomeEnded, FreeBoth)
	case m.closed:
		return m.giveBack(now)
	}
	m.stage, m.lateAt = doubting, now+lateLimit
	return Action{}
}

// unsure reports whether the stream has ended in a way that a stop, which may have had its effect, ends it too.
func (m *Migr) unsure() bool { return m.closed && m.whole && m.byClose && !m.gone }

// giveBack continues the run at the source, which refuses it if it has not stopped it.
func (m *Migr) giveBack(now time.Duration) Action {
	if now >= m.stopAt+pauseLimit {
		return m.finish(Break, OutcomeBroken, FreeBoth)
	}
	m.stage, m.backAt = returning, now
	return Action{Do: Return}
}

func (m *Migr) doubt(now time.Duration, e Event) Action {
	switch {
	case e.Kind != Tick:
	case m.closed:
		return m.askToStop(now)
	case now < m.lateAt:
		m.events = max(m.events, e.Run.Events)
	case e.Run.Events > m.events:
		m.tries = MaxTries
		return m.drop(now, OutcomeStayed)
	}
	return Action{}
}

func (m *Migr) send(now time.Duration, e Event) Action {
	if e.Kind != Sent {
		return Action{}
	}
	switch {
	case e.Status == Done && m.stage == moving:
		return m.finish(Moved, OutcomeMoved, FreeNone)
	case e.Status == Done:
		return m.finish(Moved, OutcomeReturned, FreeDestination)
	case (e.Status == Refused || e.Status == Unreached) && m.stage == moving:
		return m.giveBack(now)
	case e.Status == Refused && !m.stopped && m.returns < maxReturns:
		m.returns++
		a := m.giveBack(now)
		a.After = returnAgain
		return a
	}
	return m.finish(Break, OutcomeBroken, FreeBoth)
}

// close handles the end of the source's stream.
func (m *Migr) close(now time.Duration, e Event) Action {
	if m.closed || m.stage == over {
		return Action{}
	}
	m.closed, m.whole, m.byClose = true, e.OK, e.ByClose
	switch {
	case m.stage == stopping && m.stopped:
		return m.goOn(now)
	case m.stage == stopping:
		return Action{} // The answer tells whether the run has stopped or ended.
	case m.stage == doubting && m.unsure():
		return Action{} // The engine is asked again.
	case m.stage == doubting && !m.whole:
		m.stopAt = now // The run may have been stopped just now.
		return m.giveBack(now)
	}
	a := m.leave()
	if m.whole {
		a.Do = End
	}
	return a
}

// leave ends a try because the run has ended here.
func (m *Migr) leave() Action {
	free, outcome := FreeNone, m.outcome
	if m.asked {
		free = FreeBoth
	}
	if m.stage != watching {
		outcome = OutcomeEnded
	}
	return m.finish(Break, outcome, free)
}

func (m *Migr) finish(do Do, outcome string, free Ends) Action {
	m.stage, m.outcome, m.free = over, outcome, free
	return Action{Do: do}
}

// late handles what arrives after the end: a slot that is not needed any more, and the handle of a copy.
func (m *Migr) late(e Event) Action {
	if e.Kind == Granted || (e.Kind == Answered && m.free != FreeNone) {
		return Action{Do: Drop}
	}
	return Action{}
}
