// Package stall has a listener for tests of servers that stop while clients wait to be
// accepted.
package stall

import (
	"net"
	"sync"
	"time"
)

// Stall accepts nothing before it is told to end. Its TCPListener is set before use.
type Stall struct {
	*net.TCPListener

	begin, end sync.Once
	ends       chan struct{}
}

// Accept waits for the end.
func (s *Stall) Accept() (net.Conn, error) {
	<-s.ended()
	return s.TCPListener.Accept()
}

// SetDeadline is how a drain begins.
func (s *Stall) SetDeadline(at time.Time) error {
	defer s.tell()
	return s.TCPListener.SetDeadline(at)
}

// Close ends it without a drain.
func (s *Stall) Close() error {
	defer s.tell()
	return s.TCPListener.Close()
}

func (s *Stall) ended() chan struct{} {
	s.begin.Do(func() { s.ends = make(chan struct{}) })
	return s.ends
}

func (s *Stall) tell() { s.end.Do(func() { close(s.ended()) }) }
