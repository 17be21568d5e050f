// Package redial connects over TCP and does not rely on the kernel's patience.
package redial

import (
	"context"
	"fmt"
	"net"
	"time"
)

// Every is the default time after which an attempt that is not answered gets
// another one beside it. It is over the way there and back between data centres
// of one region; between regions it costs a connection that is closed at once.
const Every = 200 * time.Millisecond

// Redial is a dialer. A packet that opens a connection is lost on a bad link, and
// while the peer has no power. The kernel sends it again after a second, and then
// after two more, so that a peer which has just come back stays out of reach for
// as long.
// Another attempt each 200 ms reaches it within that time. The zero value is
// ready.
type Redial struct {
	Every time.Duration // Zero for the default.

	dial func(ctx context.Context, network, address string) (net.Conn, error) // For tests; nil for TCP.
}

type attempt struct {
	conn net.Conn
	err  error
}

// DialContext connects to the address. The first attempt that ends decides: a
// refusal means that the machine is there and the program is not.
func (r *Redial) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	every := r.Every
	if every <= 0 {
		every = Every
	}
	again := time.NewTicker(every)
	defer again.Stop()
	ended := make(chan attempt)
	for {
		go r.try(ctx, network, address, ended)
		select {
		case a := <-ended:
			if a.err != nil {
				return nil, fmt.Errorf("redial: %w", a.err)
			}
			return a.conn, nil
		case <-ctx.Done():
			return nil, fmt.Errorf("redial: %w", ctx.Err())
		case <-again.C:
		}
	}
}

// try makes one attempt. A connection that nobody waits for is closed.
func (r *Redial) try(ctx context.Context, network, address string, ended chan<- attempt) {
	dial := r.dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	var a attempt
	a.conn, a.err = dial(ctx, network, address)
	select {
	case ended <- a:
	case <-ctx.Done():
		if a.conn != nil {
			_ = a.conn.Close()
		}
	}
}
