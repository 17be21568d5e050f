// Package accept closes new connections that an overloaded entry does not take.
package accept

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"azurelane/io/listen"
)

type (
	// Accept is a listener that asks for each new connection whether to take it. It closes the others
	// before it reads a byte, so that their clients know that nothing ran. What is pending when it drains
	// is taken: those clients were sent here before the drain and are answered.
	Accept struct {
		listen.Listen

		// Socket is the listening socket, if it is known. Pending connections that are not taken are accepted
		// and closed there, which takes three system calls instead of ten.
		Socket syscall.Conn
		Intake intake
		// TurnedAway is called with the number of connections that were not taken.
		TurnedAway func(n int64)

		draining atomic.Bool
	}

	intake interface {
		Admit(now time.Time) bool
	}
)

// Accept returns the next connection that is taken.
func (a *Accept) Accept() (net.Conn, error) {
	for admitted := false; ; {
		conn, err := a.Listen.Accept()
		if err != nil || admitted || a.draining.Load() || a.Intake.Admit(time.Now()) {
			return conn, err //nolint:wrapcheck // Of the listener itself.
		}
		_ = conn.Close() // Its client sees the end either way.
		var n int64
		n, admitted = a.turnAwayPending()
		a.TurnedAway(1 + n)
	}
}

// turnAwayPending closes pending connections up to one that is admitted. It returns how many it has closed, and
// whether the next connection is admitted.
func (a *Accept) turnAwayPending() (n int64, admitted bool) {
	if a.Socket == nil {
		return 0, false
	}
	raw, err := a.Socket.SyscallConn()
	if err != nil {
		return 0, false // It has been closed, which the next accept reports.
	}
	_ = raw.Control(func(fd uintptr) {
		for !a.draining.Load() && pending(int(fd)) { //nolint:gosec // A descriptor.
			if admitted = a.Intake.Admit(time.Now()); admitted {
				return
			}
			c, _, err := unix.Accept4(int(fd), unix.SOCK_CLOEXEC) //nolint:gosec // A descriptor.
			if err != nil {
				return // The next accept reports it if it lasts.
			}
			_ = unix.Close(c)
			n++
		}
	})
	return n, admitted
}

// pending reports whether a connection waits to be accepted.
func pending(fd int) bool {
	list := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}} //nolint:gosec // A descriptor.
	n, err := unix.Poll(list, 0)
	return err == nil && n > 0
}

// Drain closes the listener once the pending connections were accepted.
func (a *Accept) Drain() error {
	a.draining.Store(true)
	return a.Listen.Drain() //nolint:wrapcheck // Of the listener itself.
}
