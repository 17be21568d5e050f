package link

import (
	"context"
	"sync"
	"time"

	"azurelane/core/wire"
)

const (
	// PingEvery is the interval of heartbeats of both ends while a call is pending at either
	// end or a frame was sent recently.
	PingEvery = 500 * time.Millisecond
	// SilenceLimit is the time without a received frame after which a link is closed. TCP may
	// keep a connection open for many minutes after a middlebox has dropped its state, and
	// calls on it would not return. A link that is silent for six heartbeats is dead.
	SilenceLimit = 3 * time.Second
	// IdleLimit replaces SilenceLimit on idle links. A data centre of 60 entries has thousands
	// of links, and frequent heartbeats on each would cost a process more than all its other
	// control traffic.
	IdleLimit = 31 * time.Second
	// IdleEvery replaces PingEvery on idle links. One lost heartbeat does not close a link.
	IdleEvery = 10 * time.Second

	idleAfter = 2 * time.Second // A link is idle this long after its last frame that is not a heartbeat.
)

// heartbeat decides when to send heartbeats and when the peer counts as dead.
type heartbeat struct {
	mu           sync.Mutex
	lastReceived time.Time // Last received frame.
	lastUsed     time.Time // Last frame, sent or received, that is not a heartbeat.
	peerAwakeAt  time.Time // Last heartbeat by which the peer was awake.
	awakeSince   time.Time // Start of the frequent heartbeats; zero while the link is idle.
	lastSent     time.Time // Last heartbeat sent.
	lastFrame    time.Time // Last other frame sent.
}

func (p *heartbeat) start(now time.Time) { p.lastReceived, p.lastUsed, p.lastSent = now, now, now }

func (p *heartbeat) recordSent(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastFrame = now
}

func (p *heartbeat) recordUse(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = now
}

func (p *heartbeat) recordReceived(now time.Time, ping *wire.Ping) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReceived = now
	if ping.GetAwake() {
		p.peerAwakeAt = now
	}
}

// next reports what is due: a heartbeat, whether this end is awake, and whether the peer is
// dead. On a link that was idle, the short limit counts from the end of idleness, since the
// peer's heartbeats were rare until then.
func (p *heartbeat) next(now time.Time, waits bool) (beat, awake, dead bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	awake = waits || now.Sub(p.lastUsed) < idleAfter
	every, limit, since := IdleEvery, IdleLimit, p.lastReceived
	if awake || now.Sub(p.peerAwakeAt) < idleAfter {
		if p.awakeSince.IsZero() {
			p.awakeSince = now
		}
		every, limit = PingEvery, SilenceLimit
		if p.awakeSince.After(since) {
			since = p.awakeSince
		}
	} else {
		p.awakeSince = time.Time{}
	}
	// Other frames show as well that this process runs. A hub has a link to each entry, and on most
	// of them a frame is sent each half second.
	beat = now.Sub(p.lastSent) >= every-PingEvery/2 && now.Sub(p.lastFrame) >= PingEvery
	if beat {
		p.lastSent = now
	}
	return beat, awake, now.Sub(since) > limit
}

// beat sends heartbeats and closes the link when the peer is dead.
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
		beat, awake, dead := l.pulse.next(time.Now(), waits || l.serving.Load() > 0)
		if dead {
			_ = l.Close()
			return
		}
		if !beat {
			continue
		}
		ctx, cancel := context.WithTimeout(l.ctx, PingEvery)
		_ = l.enqueue(ctx, &wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{Seq: seq, Awake: awake}}})
		cancel()
	}
}
