// Package redial connects over TCP without waiting for the kernel's retransmissions.
package redial

import (
	"context"
	"fmt"
	"net"
	"time"
)

// Every is the default interval at which further attempts start while none has completed. It exceeds
// the round trip between data centres of one region. Between regions it costs one connection that is
// closed at once.
const Every = 200 * time.Millisecond

// Redial is a dialer that starts further attempts at intervals. If the first packet of a connection is
// lost, on a bad link or because the peer is down, the kernel retransmits it after one second and then
// after two more, and a peer that has just restarted is unreachable for as long. The zero value is
// ready for use.
type Redial struct {
	Every time.Duration // Interval between attempts; zero for the default.

	dial func(ctx context.Context, network, address string) (net.Conn, error) // For tests; nil for TCP.
}

type attempt struct {
	conn net.Conn
	err  error
}

// DialContext connects to the address. It returns the result of the first attempt that completes,
// because a refused connection means that the machine runs and the process does not.
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
		go r.attempt(ctx, network, address, ended)
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

// attempt makes one attempt. It closes the connection if DialContext has returned.
func (r *Redial) attempt(ctx context.Context, network, address string, ended chan<- attempt) {
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
