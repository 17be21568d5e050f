package hub

// signal wakes those who wait for the next change of what it belongs to, whose lock is
// held for each call. The zero value is ready.
type signal struct{ next chan struct{} }

// wait returns a channel that is closed by the next raise.
func (s *signal) wait() <-chan struct{} {
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

func (s *signal) raise() {
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}
