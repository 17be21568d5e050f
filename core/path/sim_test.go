package path

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	simStep     = 10 * time.Millisecond
	simEntries  = 4
	simHosts    = 8
	simLasts    = 20 * time.Second
	simLimit    = time.Second // From a cut until the entry knows, and from the first answer until it serves again.
	simRequests = 1           // Of an entry in a step.
)

// How a host fails.
const (
	simUp = iota
	simRefuses
	simResets
	simSilent
)

var simNames = [simHosts]string{"a", "b", "c", "d", "e", "f", "g", "h"}

type (
	// simWorld is a number of entries and hosts; each entry judges its path as it would in a deployment.
	simWorld struct {
		rnd     *rand.Rand
		now     time.Time
		hosts   [simHosts]int // How each is failing.
		entries [simEntries]simEntry
	}

	simEntry struct {
		Path
		cut       int // How its connections to all hosts fail.
		cutAt     time.Time
		knewAt    time.Time
		doubtful  time.Time // Until when the scheduler names others in its place.
		lost      time.Time // Until when the scheduler names it to nobody.
		others    []int
		askedAt   time.Time
		compared  [simHosts]time.Time
		refused   int // Requests that it refused although it reaches a host.
		judged    int // Times that it took its path for lost although it was not cut off.
		wasLost   bool
		reachedAt time.Time
	}
)

func (w *simWorld) state(e, h int) int {
	if c := w.entries[e].cut; c != simUp {
		return c
	}
	return w.hosts[h]
}

// ask renews the list of other entries that one may ask.
func (w *simWorld) ask(e int) {
	s := &w.entries[e]
	if !s.Suspect(w.now) || w.now.Sub(s.askedAt) < 500*time.Millisecond {
		return
	}
	s.askedAt, s.doubtful = w.now, w.now.Add(2500*time.Millisecond)
	if s.Lost() {
		s.lost = s.doubtful
	}
	var sure, doubtful []int
	for i := range w.entries {
		switch o := &w.entries[i]; {
		case i == e || w.now.Before(o.lost):
		case w.now.Before(o.doubtful):
			doubtful = append(doubtful, i)
		default:
			sure = append(sure, i)
		}
	}
	s.others = sure
	if len(sure) == 0 {
		s.others = doubtful
	}
}

// through connects to a host through another entry, and records what that says.
func (w *simWorld) through(e, h int) bool {
	s, down := &w.entries[e], false
	for _, i := range s.others {
		o := &w.entries[i]
		switch w.state(i, h) {
		case simUp:
			s.RecordElsewhere(w.now, simNames[h], Reached)
			return true
		case simResets: // The other entry's connection opens and ends.
			continue
		}
		reliable := o.Reliable(w.now)
		o.RecordFailure(w.now, simNames[h], w.state(i, h) == simRefuses)
		down = down || reliable
		if w.state(i, h) == simSilent { // It has taken too long to ask another one.
			break
		}
	}
	verdict := Unknown
	if down {
		verdict = Down
	}
	s.RecordElsewhere(w.now, simNames[h], verdict)
	return false
}

// compare asks other entries about the hosts that fail.
func (w *simWorld) compare(e int) {
	s := &w.entries[e]
	if !s.Suspect(w.now) {
		return
	}
	for h := range simHosts {
		if _, failed := s.failed[simNames[h]]; failed && w.now.Sub(s.compared[h]) >= 300*time.Millisecond {
			s.compared[h] = w.now
			w.through(e, h)
		}
	}
}

// request plays one request, and reports whether the entry refuses it without trying.
func (w *simWorld) request(e int) (refused bool) {
	s := &w.entries[e]
	if s.CutOff(w.now) && len(s.others) == 0 {
		return true
	}
	h := w.rnd.IntN(simHosts)
	if s.Lost() {
		if w.through(e, h) || s.CutOff(w.now) {
			return false
		}
	}
	switch state := w.state(e, h); state {
	case simUp:
		s.RecordHeard(w.now)
		s.RecordSuccess(w.now)
	default:
		s.RecordFailure(w.now, simNames[h], state != simSilent)
		w.ask(e)
		w.compare(e)
	}
	return false
}

func (w *simWorld) step() {
	w.now = w.now.Add(simStep)
	for e := range w.entries {
		s := &w.entries[e]
		reaches := false
		for h := range simHosts {
			reaches = reaches || w.state(e, h) == simUp
		}
		if !reaches {
			s.reachedAt = time.Time{}
		} else if s.reachedAt.IsZero() {
			s.reachedAt = w.now
		}
		w.ask(e)
		if s.ProbeDue(w.now) {
			for h := range simHosts {
				if w.state(e, h) == simUp {
					s.RecordSuccess(w.now)
				}
			}
		}
		for range simRequests {
			if w.request(e) && !s.reachedAt.IsZero() && w.now.Sub(s.reachedAt) > simLimit {
				s.refused++
			}
		}
		if s.Lost() && !s.wasLost && s.cut == simUp {
			s.judged++
		}
		s.wasLost = s.Lost()
		if !s.cutAt.IsZero() && s.knewAt.IsZero() && s.Lost() {
			s.knewAt = w.now
		}
	}
}

// Guards against entries that refuse requests for a lost path while an upstream answers, and against
// entries that are cut off and do not notice. Crashes of one to all hosts, at once, in turn and at random,
// with refusals, resets and silence; cuts of one entry, most and all; both together.
func TestJudgement(t *testing.T) {
	const seeds = 300
	var slowest time.Duration
	cuts, refused, judged := 0, 0, 0
	for seed := range uint64(seeds) {
		w := &simWorld{rnd: rand.New(rand.NewPCG(seed, 57)), now: start} //nolint:gosec // Repeats.
		for e := range w.entries {
			w.entries[e].RecordHeard(start)
		}
		kind := 1 + w.rnd.IntN(simSilent)
		crashes, cut := w.rnd.IntN(simHosts+1), []int{0, 1, simEntries - 1, simEntries}[w.rnd.IntN(4)]
		gap := time.Duration(w.rnd.IntN(3)) * 100 * time.Millisecond
		cutAt, cutFor := start.Add(2*time.Second+time.Duration(w.rnd.IntN(4000))*time.Millisecond), 8*time.Second
		back := map[int]time.Time{}
		for w.now.Sub(start) < simLasts {
			for h := range simHosts {
				since := w.now.Sub(start.Add(2*time.Second + time.Duration(h)*gap))
				if h < crashes && since >= 0 && since%(4*time.Second) < simStep {
					w.hosts[h], back[h] = kind, w.now.Add(2*time.Second)
				}
				if w.hosts[h] != simUp && w.now.After(back[h]) {
					w.hosts[h] = simUp
				}
			}
			for e := range w.entries[:cut] {
				s := &w.entries[e]
				s.cut = simUp
				if w.now.After(cutAt) && w.now.Before(cutAt.Add(cutFor)) {
					s.cut = 1 + int(seed)%simSilent
					if s.cutAt.IsZero() {
						s.cutAt = w.now
					}
				}
			}
			w.step()
		}
		for e := range w.entries {
			s := &w.entries[e]
			refused, judged = refused+s.refused, judged+s.judged
			// Where no other entry can tell, a refused connection proves nothing; requests then fail at once.
			// Nor do hosts that are down anyway.
			if simHosts-crashes < lossHosts || s.cutAt.IsZero() || (cut == simEntries && int(seed)%simSilent+1 != simSilent) {
				continue
			}
			cuts++
			must.False(t, s.knewAt.IsZero(), must.Sprint("seed ", seed, ": the cut is not noticed"))
			slowest = max(slowest, s.knewAt.Sub(s.cutAt))
		}
	}
	t.Logf("%d cut entries know after %v at most; %d requests refused while an upstream answers; %d times lost without a cut", cuts, slowest, refused, judged)
	must.Greater(t, 50, cuts)
	must.Eq(t, 0, refused)
	must.LessEq(t, simLimit, slowest)
}
