// Package listen closes listeners without resetting pending connections.
package listen

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

type (
	// Listen is a listener that can be drained.
	//
	// The kernel completes connections by itself, and resets those that are not accepted yet when
	// the listener is closed. Their clients have often sent a request by then, and can't know
	// whether it ran.
	Listen interface {
		net.Listener

		// Drain closes the listener and makes Accept return the pending connections and then
		// net.ErrClosed. A client that connects between the last accept and the close, two
		// consecutive system calls, is still reset; its request was not read.
		Drain() error
	}

	// queue is a TCP listener that can be drained. Accept is not safe for concurrent use.
	queue struct {
		net.Listener

		draining atomic.Bool
		swept    bool
		rest     []net.Conn // Accepted by sweep and not returned yet.
	}

	// socket is the part of a TCP listener that net.Listener lacks.
	socket interface {
		syscall.Conn
		SetDeadline(t time.Time) error
	}
)

// Of returns ln if it can be drained, or else a listener that wraps it. Only TCP listeners can be drained.
func Of(ln net.Listener) Listen {
	if l, ok := ln.(Listen); ok {
		return l
	}
	return &queue{Listener: ln}
}

// Drain interrupts Accept, which then returns the pending connections.
func (l *queue) Drain() error {
	s, ok := l.Listener.(socket)
	if !ok {
		return l.Close()
	}
	l.draining.Store(true)
	if err := s.SetDeadline(time.Unix(1, 0)); err != nil {
		return fmt.Errorf("listen: drain: %w", err)
	}
	return nil
}

// Accept returns the next connection.
func (l *queue) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil || !l.draining.Load() {
		return conn, err
	}
	switch {
	case l.swept:
	case errors.Is(err, os.ErrDeadlineExceeded):
		l.sweep()
	default:
		return nil, fmt.Errorf("listen: accept: %w", err)
	}
	if len(l.rest) == 0 {
		return nil, fmt.Errorf("listen: drained: %w", net.ErrClosed)
	}
	conn, l.rest = l.rest[0], l.rest[1:]
	return conn, nil
}

// sweep accepts all pending connections and closes the listener.
func (l *queue) sweep() {
	l.swept = true
	defer func() { _ = l.Close() }()
	raw, err := l.Listener.(socket).SyscallConn()
	if err != nil {
		return
	}
	var fds []int
	// Both system calls use the descriptor directly, because the runtime's calls take longer.
	_ = raw.Control(func(fd uintptr) {
		for {
			n, _, err := unix.Accept(int(fd))
			if err != nil {
				break
			}
			fds = append(fds, n)
		}
		_ = unix.Shutdown(int(fd), unix.SHUT_RDWR)
	})
	for _, fd := range fds {
		f := os.NewFile(uintptr(fd), "accepted")
		if conn, err := net.FileConn(f); err == nil {
			l.rest = append(l.rest, conn)
		}
		_ = f.Close()
	}
}
