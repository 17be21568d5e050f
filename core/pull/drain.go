package pull

import "time"

// drain measures how fast waiting work is granted, in work units a second.
type drain struct {
	rate    float64 // While work waited; zero while not known.
	granted float64 // Since the last turn.
	waited  int     // Turns in a row at whose end work waited.
	turned  time.Time
}

const (
	turnGain = 0.1 // Of each turn, which come with the sweeps: two seconds count.
	// drainTurns is how long work must have waited for the granted work to show
	// what the pool can do.
	drainTurns = 5
)

// turn closes one span of the measurements of what comes in and what is granted.
func (l *Late) turn(now time.Time) {
	d := &l.drain
	span := now.Sub(d.turned)
	first := d.turned.IsZero()
	d.turned = now
	if !first && span > 0 {
		l.queue.Turn(span, turnGain)
		if d.waited >= drainTurns {
			d.rate += turnGain * (d.granted/span.Seconds() - d.rate)
		}
	}
	d.granted = 0
	d.waited++
	if l.queue.Len() == 0 {
		d.waited = 0
	}
}

// capacity is the pool's rate: as measured while work waited, or else as the
// learnt speeds say.
func (d *drain) capacity(learnt float64) float64 {
	if d.waited <= drainTurns || d.rate == 0 {
		d.rate = learnt
	}
	return d.rate
}
