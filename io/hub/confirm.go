package hub

import (
	"context"
	"sync"
	"time"

	"azurelane/core/wire"
)

// confirmTime is how long one proof of leadership may take.
const confirmTime = 500 * time.Millisecond

type (
	// confirmer proves to those who ask that this replica leads after they have asked. A replica that stood still, or
	// is cut off, believes for a while that it leads, when others have elected another leader. Who asks during one
	// proof shares the next one.
	confirmer struct {
		ctx context.Context //nolint:containedctx // Of the scheduler.
		log committer

		mu      sync.Mutex
		waiting []func(leads bool)
		proving bool
	}

	committer interface {
		Propose(ctx context.Context, c *wire.Command) (*wire.Result, error)
	}
)

// confirm calls done once it is known whether this replica leads, or confirmTime has passed.
func (c *confirmer) confirm(done func(leads bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = append(c.waiting, done)
	if !c.proving {
		c.proving = true
		go c.serve()
	}
}

// serve runs one proof after the other, as long as anyone has asked for one.
func (c *confirmer) serve() {
	for list := c.next(); len(list) > 0; list = c.next() {
		ctx, cancel := context.WithTimeout(c.ctx, confirmTime)
		_, err := c.log.Propose(ctx, &wire.Command{Kind: &wire.Command_Barrier{Barrier: &wire.Barrier{}}})
		cancel()
		for _, done := range list {
			done(err == nil)
		}
	}
}

// next returns those who wait for the next proof.
func (c *confirmer) next() []func(leads bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.waiting
	c.waiting, c.proving = nil, len(list) > 0
	return list
}
