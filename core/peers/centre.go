package peers

import (
	"time"

	"azurelane/core/wire"
)

const (
	// doubtAt is how many upstreams of a data centre must in turn not be reached
	// before it is taken for cut off: one alone has crashed.
	doubtAt = 2
	// tryEvery is the time between two requests that try a data centre which
	// seems cut off. Each of them waits for a connection in vain.
	tryEvery = 400 * time.Millisecond
	// doubtFor is how long the data centre is doubted after the last request that
	// did not reach it.
	doubtFor = 4 * time.Second
)

// centre is what was seen of the way to one data centre. When it is cut off,
// each of its upstreams looks healthy until a request has waited there in vain:
// with half a second for a connection and several upstreams to try, requests are
// late that an upstream on this side could have served at once.
type centre struct {
	missed map[string]struct{} // Upstreams not reached since one was.
	at     time.Time           // Of the last one.
	trial  time.Time           // Of the last request that tried it.
}

// Reached notes that an upstream answered, be it with a failure.
func (p *Peers) Reached(u *wire.Upstream) { delete(p.centres, u.GetDataCentre()) }

// Missed notes that an upstream could not be connected to, or was silent until
// the request was given up: it, or the way there, is gone.
func (p *Peers) Missed(now time.Time, u *wire.Upstream) {
	c := p.centre(u.GetDataCentre())
	c.missed[u.GetId()] = struct{}{}
	c.at = now
}

func (c *centre) doubted(now time.Time) bool {
	return c != nil && len(c.missed) >= doubtAt && now.Sub(c.at) < doubtFor
}

func (p *Peers) centre(name string) *centre {
	c := p.centres[name]
	if c == nil {
		if p.centres == nil {
			p.centres = map[string]*centre{}
		}
		c = &centre{missed: map[string]struct{}{}}
		p.centres[name] = c
	}
	return c
}

// doubted reports whether a data centre seems cut off: by what this entry has seen
// itself, or by what it was told.
func (p *Peers) doubted(now time.Time, name string, c *Choice) bool {
	return name != c.Centre && (c.Isolated || c.Unreached[name] || p.centres[name].doubted(now))
}

// mayTry reports whether a request may be sent to a data centre.
func (p *Peers) mayTry(now time.Time, name string, c *Choice) bool {
	return !p.doubted(now, name, c) || p.centres[name] == nil || now.Sub(p.centres[name].trial) >= tryEvery
}

// tried notes a request that is sent to a data centre.
func (p *Peers) tried(now time.Time, name string, c *Choice) {
	if p.doubted(now, name, c) {
		p.centre(name).trial = now
	}
}
