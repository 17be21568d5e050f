// Package listen closes listeners without breaking the connections that wait in them.
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
	// The kernel connects clients by itself, and resets those that wait to be accepted
	// when the listener is closed. By then they have often written a request, and a
	// reset doesn't tell them whether it ran.
	Listen interface {
		net.Listener

		// Drain makes Accept return the connections that wait, and then net.ErrClosed
		// with the listener closed. A client that connects between the last look and the
		// closing, which follow each other as two system calls, is still reset; its
		// request was never read.
		Drain() error
	}

	// queue is a TCP listener that can be drained. One goroutine at a time may call its
	// Accept.
	queue struct {
		net.Listener

		draining atomic.Bool
		swept    bool
		rest     []net.Conn // Accepted by the sweep, not handed over yet.
	}

	// socket is what a TCP listener has beside net.Listener.
	socket interface {
		syscall.Conn
		SetDeadline(t time.Time) error
	}
)

// Of returns ln itself where it can be drained, or else a listener around it that can
// be, if ln listens on TCP.
func Of(ln net.Listener) Listen {
	if l, ok := ln.(Listen); ok {
		return l
	}
	return &queue{Listener: ln}
}

// Drain ends the Accept that waits, and has the next ones return what is connected.
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

// sweep accepts all that waits, and closes the listener.
func (l *queue) sweep() {
	l.swept = true
	defer func() { _ = l.Close() }()
	raw, err := l.Listener.(socket).SyscallConn()
	if err != nil {
		return
	}
	var fds []int
	// Both calls on the descriptor itself, as the runtime has other work in between.
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
