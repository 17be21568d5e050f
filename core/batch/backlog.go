package batch

import (
	"slices"
	"time"
)

type (
	// backlog is the prompts that an upstream was given and has not read yet, as far as
	// is known. The zero value is one that has read all.
	backlog struct {
		unread []unread  // In the order in which they were given.
		free   time.Time // When all will have been read.
	}

	// unread is a prompt of which no first piece was heard.
	unread struct {
		given time.Time
		read  time.Duration // What reading it is believed to take.
	}
)

// wait is for how long a prompt given now waits for those before it.
func (l *backlog) wait(now time.Time) time.Duration { return max(l.free.Sub(now), 0) }

// add notes that a prompt was given.
func (l *backlog) add(now time.Time, read time.Duration) {
	l.unread = append(l.unread, unread{now, read})
	l.after(now, l.unread[len(l.unread)-1:])
}

// begun notes when the first piece of an answer came: that prompt and all that were
// given before it had been read by then. Without it, errors of what is believed to be
// unread add up for as long as work comes.
func (l *backlog) begun(given, first time.Time) {
	if len(l.unread) == 0 || given.Before(l.unread[0].given) {
		return // A later one has told more.
	}
	l.unread = slices.DeleteFunc(l.unread, func(u unread) bool { return !u.given.After(given) })
	l.free = first
	l.after(first, l.unread)
}

// after puts the reading of some prompts behind what is read until then.
func (l *backlog) after(now time.Time, list []unread) {
	if l.free.Before(now) {
		l.free = now
	}
	for _, u := range list {
		if l.free.Before(u.given) {
			l.free = u.given
		}
		l.free = l.free.Add(u.read)
	}
}
