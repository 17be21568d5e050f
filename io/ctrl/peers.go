package ctrl

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"azurelane/core/wire"
)

const (
	sendQueue   = 256
	sendTimeout = 2 * time.Second
)

// peers sends messages to the other replicas, with a goroutine for each, so that an unreachable
// peer does not delay the others. The zero value is ready for use.
type peers struct {
	mu      sync.Mutex
	queues  map[string]chan *wire.Raft // By address.
	beside  map[string]chan *wire.Raft // The same for messages that Ctrl.Beside sends.
	learned map[string]string          // Addresses of senders, by identity.
}

// learn records the sender's address, because a replica with an empty disk must reply before it
// knows the membership.
func (p *peers) learn(m *wire.Raft) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.learned == nil {
		p.learned = map[string]string{}
	}
	p.learned[m.GetFrom()] = m.GetAddress()
}

func (p *peers) send(ctx context.Context, c *Ctrl, m *wire.Raft) {
	m.Address = c.Address.String()
	addr := c.addressOf(m.GetTo())
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr == "" {
		addr = p.learned[m.GetTo()]
	}
	if p.queues == nil {
		p.queues, p.beside = map[string]chan *wire.Raft{}, map[string]chan *wire.Raft{}
	}
	queues, over := p.queues, c.Sender
	if m.GetLane() > 0 {
		queues, over = p.beside, c.Beside
	}
	q := queues[addr]
	if q == nil {
		to, err := netip.ParseAddrPort(addr)
		if err != nil || over == nil {
			return
		}
		q = make(chan *wire.Raft, sendQueue)
		queues[addr] = q
		go c.sendQueued(ctx, over, to, q)
	}
	select {
	case q <- m:
	default: // The queue is full; the log sends the message again later.
	}
}

func (c *Ctrl) sendQueued(ctx context.Context, over sender, to netip.AddrPort, q chan *wire.Raft) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.done:
			return
		case m := <-q:
			sctx, cancel := context.WithTimeout(ctx, sendTimeout)
			if err := over.Send(sctx, to, &wire.Frame{Body: &wire.Frame_Raft{Raft: m}}); err != nil {
				c.Log.V(1).Info("Message not sent.", "to", to.String(), "err", err.Error())
			}
			cancel()
		}
	}
}
