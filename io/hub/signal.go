package hub

// signal wakes goroutines that wait for the next change of some state. The lock of that state
// must be held during each call. The zero value is ready.
type signal struct{ next chan struct{} }

// wait returns a channel that the next broadcast closes.
func (s *signal) wait() <-chan struct{} {
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// broadcast wakes all that wait.
func (s *signal) broadcast() {
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}
