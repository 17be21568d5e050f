package batch

import (
	"time"

	"azurelane/core/upstr"
	"azurelane/core/wire"
)

const (
	// firstToken is a model engine's fixed time before its first token where
	// nothing was learnt yet, and tokenTime the time of one token of an answer.
	// Both are of the order that engines with one accelerator show.
	firstToken = 60 * time.Millisecond
	tokenTime  = 2500 * time.Microsecond
	learnRate  = 0.15            // Weight of one usual run in what is learnt.
	startPart  = 16              // The start value counts as this part of a usual run, one in so many.
	firstOut   = time.Second     // How long an upstream is left out after a failure.
	mostOut    = 8 * time.Second // The same after many failures in a row.
	failsAllow = 2               // Failures in a row that leave no upstream out when it answered, if badly.
)

// pace is what was learnt of one upstream.
type pace struct {
	backlog

	shape *shape        // Of its pool; nil where none is known.
	token time.Duration // Of one answer token; zero while nothing ran.
	// made is the answer tokens of its last runs, and making the time that they took from
	// their first pieces to their ends.
	made   float64
	making time.Duration
	first  time.Duration // From the grant to the first piece, less reading the prompt.
	fails  int           // In a row.
	out    time.Time     // Left out until then.
	seq    uint64        // Of the last announcement when it was left out.
	whole  float64       // Share of its last runs that ended well.
}

func (p *pace) perToken() time.Duration {
	if p.token == 0 {
		return tokenTime
	}
	return p.token
}

// read is the time that the engine takes to read a prompt.
func (p *pace) read(prompt int64) time.Duration {
	return time.Duration(float64(p.perToken()) * p.shape.reads(prompt))
}

// runs is the time from the first piece of an answer to its end.
func (p *pace) runs(answer int64) time.Duration { return time.Duration(answer) * p.perToken() }

// place is the time for which a run takes a place.
func (p *pace) place(prompt, answer int64) time.Duration {
	return p.base() + p.read(prompt) + p.runs(answer)
}

func (p *pace) base() time.Duration {
	if p.first == 0 {
		return firstToken
	}
	return p.first
}

// expect is the time from now to the first piece of a prompt.
func (p *pace) expect(now time.Time, u *upstr.Upstream, prompt int64) time.Duration {
	d := p.wait(now) + p.base() + p.read(prompt)
	if over := u.Running - u.Limit(); over >= 0 {
		// It waits there until a place is free. Places of a batch become free
		// evenly, about once in the time of an average run by the batch's size.
		d += time.Duration(float64(over+1) * p.shape.usual() * float64(p.perToken()) / float64(max(u.Limit(), 1)))
	}
	return d
}

// given notes that a prompt was granted.
func (p *pace) given(now time.Time, prompt int64) { p.add(now, p.read(prompt)) }

// ran learns from a run that ended well.
func (p *pace) ran(now time.Time, r *wire.Release, prompt, event int64, wait time.Duration) {
	p.fails, p.out = 0, time.Time{}
	p.whole += learnRate * (1 - p.whole)
	first := time.Duration(r.GetFirstTokenUs()) * time.Microsecond
	total := time.Duration(r.GetTotalUs()) * time.Microsecond
	if first <= 0 || total < first {
		return
	}
	if n := (r.GetPieces() - 1) * event; n > 0 {
		p.makes(float64(n), total-first)
	}
	if p.shape != nil && p.token > 0 {
		p.shape.ran(now, prompt, r.GetPieces()*event, float64(max(first-wait, 0))/float64(p.token))
	}
	if p.shape != nil && p.token > 0 && r.GetPieces() > 1 && r.GetGapUs() > 0 {
		p.shape.paused(float64(r.GetGapUs()) * float64(time.Microsecond) / float64(time.Duration(event)*p.token))
	}
	// Before the shape is known, the rest would hold a part of the reading: an
	// upstream would seem slow to begin, get nothing more and never be known better.
	if own := first - wait - p.read(prompt); own > 0 && p.shape.known() {
		p.first = blend(p.first, own)
	}
}

// makes learns the time of one answer token from a run's tokens and the time that they
// took. Both are summed up, so that a run counts by its length: one pause for a prompt
// that is read beside it makes an answer of three events seem ten times as slow, and
// such answers are the most. By the mean of runs engines that made a token in 5 to 20
// ms were taken to need up to 220, and callers with long answers were refused for such
// as no engine could end.
func (p *pace) makes(tokens float64, took time.Duration) {
	usual := p.shape.usual()
	if p.made == 0 {
		p.made = usual / startPart
		p.making = time.Duration(p.made * float64(p.perToken()))
	}
	p.made += tokens
	p.making += took
	if most := usual / learnRate; p.made > most {
		p.making = time.Duration(float64(p.making) * most / p.made)
		p.made = most
	}
	p.token = time.Duration(float64(p.making) / p.made)
}

// failed leaves the upstream out for a while: at once when it could not be
// reached or broke off, after some failures in a row when it answered.
func (p *pace) failed(now time.Time, answered bool, seq uint64) {
	p.fails++
	p.whole -= learnRate * p.whole
	if answered && p.fails <= failsAllow {
		return
	}
	p.out, p.seq = now.Add(min(firstOut<<min(p.fails-1, 5), mostOut)), seq
}

func blend(old, seen time.Duration) time.Duration {
	if old == 0 {
		return seen
	}
	return old + time.Duration(learnRate*float64(seen-old))
}
