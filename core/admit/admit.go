// Package admit limits the requests to a brittle upstream: one that fails if it has to turn away more
// than a few requests in a second.
package admit

import (
	"slices"
	"time"
)

const (
	// window is the time in which refusals are counted. It is longer than the second for which an
	// upstream counts them, because a refusal is heard of later than it was made.
	window = 1100 * time.Millisecond
	// settleTime is how long after a request was sent its refusal may still come. An upstream refuses
	// a request on arrival.
	settleTime = 40 * time.Millisecond
	// probeTime is the time, multiplied by the refusals that are allowed in a second, after which an
	// upstream that has refused a request is given one more at once than it had room for.
	probeTime = 4 * time.Second
)

type (
	// Admit knows how many requests an upstream has room for, and which of the last ones it may still
	// refuse. The zero value has no limit.
	Admit struct {
		most     int         // Refusals allowed in a second; 0 for any number.
		room     int         // Requests that the upstream has room for at once; 0 if it has refused none.
		refused  bool        // Room was learned from a refusal.
		probes   bool        // Room is one more than was known to be there.
		raisedAt time.Time   // When room last changed.
		open     []send      // Requests that may still be refused, in the order in which they were sent.
		refusals []time.Time // Of the last window.
	}

	send struct {
		number uint64
		at     time.Time
	}
)

// SetLimit sets how many requests the upstream may refuse in a second; 0 ends the limit. An upstream
// that is new, or has started again, gets one request at once, and one more with each that it accepts.
func (a *Admit) SetLimit(now time.Time, most int, isNew bool) {
	switch {
	case most <= 0:
		*a = Admit{}
		return
	case a.most == 0 && isNew:
		a.room, a.raisedAt = 1, now
	}
	a.most = most
}

// Limited reports whether there is a limit.
func (a *Admit) Limited() bool { return a.most > 0 }

// CanSend reports whether one more request may be sent to an upstream that runs the given number. If
// the upstream refuses it, and all those that it may still refuse, the refusals are within the limit.
func (a *Admit) CanSend(now time.Time, running int) bool {
	if a.most <= 0 {
		return true
	}
	a.settle(now)
	if a.refused && now.Sub(a.raisedAt) >= probeTime/time.Duration(a.most) {
		a.room, a.raisedAt, a.probes = a.room+1, now, true
	}
	return len(a.open)+len(a.refusals) < a.most && (a.room == 0 || running < a.room)
}

// Sent records that a request was sent.
func (a *Admit) Sent(now time.Time, number uint64) {
	if a.most > 0 {
		a.open = append(a.open, send{number, now})
	}
}

// Accepted records that the upstream has not refused a request.
func (a *Admit) Accepted(number uint64) {
	before := len(a.open)
	a.open = slices.DeleteFunc(a.open, func(s send) bool { return s.number == number })
	if len(a.open) < before {
		a.grow()
	}
}

// Refused records that the upstream had no room for a request while it ran the given number of others.
func (a *Admit) Refused(now time.Time, number uint64, running int) {
	if a.most <= 0 {
		return
	}
	a.open = slices.DeleteFunc(a.open, func(s send) bool { return s.number == number })
	a.refusals = append(a.refusals, now)
	room := running / 2 // There may be far less room than there was.
	if a.probes {
		room = a.room - 1
	}
	a.room, a.refused, a.raisedAt, a.probes = max(room, 1), true, now, false
}

// settle drops the requests that were not refused in time, and the refusals that no longer count.
func (a *Admit) settle(now time.Time) {
	for len(a.open) > 0 && now.Sub(a.open[0].at) >= settleTime {
		a.open = a.open[1:]
		a.grow()
	}
	for len(a.refusals) > 0 && now.Sub(a.refusals[0]) >= window {
		a.refusals = a.refusals[1:]
	}
}

// grow makes room for one more request after one was accepted, until the first refusal.
func (a *Admit) grow() {
	if a.room > 0 && !a.refused {
		a.room++
	}
}
