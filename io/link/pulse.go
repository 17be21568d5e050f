package link

import (
	"context"
	"sync"
	"time"

	"azurelane/core/wire"
)

const (
	// PingEvery is the interval of the heartbeat that both ends send while
	// either waits for something or has just sent something.
	PingEvery = 500 * time.Millisecond
	// SilenceLimit ends a link that brought nothing for so long. TCP may hold a
	// connection open for many minutes after a middlebox has lost track of it;
	// the symptom is calls that never return. Both ends send a heartbeat, so a
	// link silent for six intervals is dead whatever TCP thinks.
	SilenceLimit = 3 * time.Second
	// IdleLimit and IdleEvery are the same for a link on which no one waits. A
	// data centre of 60 entries has thousands of links, and beating fast on each
	// would cost a node more than all its other control traffic.
	IdleLimit = 31 * time.Second
	// IdleEvery is the slow beat; a lost one is no reason to end a link.
	IdleEvery = 10 * time.Second

	awakeFor = 2 * time.Second // After the last frame that was no heartbeat.
)

// pulse tells when to beat and when the peer is silent.
type pulse struct {
	mu     sync.Mutex
	last   time.Time // When something was heard.
	used   time.Time // When a frame was sent or taken for this end.
	peer   time.Time // When the peer last said that it waits.
	woke   time.Time // When the fast beat began; zero while it is slow.
	beaten time.Time
}

func (p *pulse) start(now time.Time) { p.last, p.used, p.beaten = now, now, now }

func (p *pulse) busy(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used = now
}

func (p *pulse) heard(now time.Time, ping *wire.Ping) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = now
	if ping.GetAwake() {
		p.peer = now
	}
}

// look says what is due at now: a heartbeat, with the reason that this end has
// for a fast one, or the end of the link. A link that was idle is judged by the
// short limit only from when it woke, since the peer beat slowly until then.
func (p *pulse) look(now time.Time, waits bool) (beat, awake, dead bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	awake = waits || now.Sub(p.used) < awakeFor
	every, limit, since := IdleEvery, IdleLimit, p.last
	if awake || now.Sub(p.peer) < awakeFor {
		if p.woke.IsZero() {
			p.woke = now
		}
		every, limit = PingEvery, SilenceLimit
		if p.woke.After(since) {
			since = p.woke
		}
	} else {
		p.woke = time.Time{}
	}
	beat = now.Sub(p.beaten) >= every-PingEvery/2
	if beat {
		p.beaten = now
	}
	return beat, awake, now.Sub(since) > limit
}

// beat sends heartbeats and ends the link when the peer is silent.
func (l *Link) beat() {
	tick := time.NewTicker(PingEvery)
	defer tick.Stop()
	for seq := uint64(0); ; seq++ {
		select {
		case <-l.done:
			return
		case <-tick.C:
		}
		l.mu.Lock()
		waits := len(l.calls) > 0
		l.mu.Unlock()
		beat, awake, dead := l.pulse.look(time.Now(), waits || l.serving.Load() > 0)
		if dead {
			_ = l.Close()
			return
		}
		if !beat {
			continue
		}
		ctx, cancel := context.WithTimeout(l.ctx, PingEvery)
		_ = l.put(ctx, &wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{Seq: seq, Awake: awake}}})
		cancel()
	}
}
