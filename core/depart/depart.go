// Package depart tracks upstreams that have said in a response that they leave. Leaving is final for an
// incarnation of an upstream, which its ID and the start time of its process name.
package depart

import (
	"iter"
	"time"
)

// Depart holds the incarnations that leave. The zero value is empty and ready to use.
type Depart struct{ byID map[string]departure }

type departure struct {
	born  int64 // Start of the process in Unix milliseconds; zero if it is unknown.
	since time.Time
}

// Record records that an incarnation has said at a time that it leaves, and reports whether that is new.
func (d *Depart) Record(id string, born int64, since time.Time) bool {
	old, known := d.byID[id]
	if known && born <= old.born {
		return false
	}
	if d.byID == nil {
		d.byID = map[string]departure{}
	}
	if known && old.born == 0 {
		since = old.since // The same incarnation, whose start was unknown.
	}
	d.byID[id] = departure{born, since}
	return !known || old.born != 0
}

// Since returns when an incarnation first said that it leaves, and whether it did. An unknown start time
// names the incarnation that is known here.
func (d *Depart) Since(id string, born int64) (time.Time, bool) {
	e, known := d.byID[id]
	if !known || (e.born != 0 && born > e.born) {
		return time.Time{}, false
	}
	if e.born == 0 && born != 0 {
		e.born = born
		d.byID[id] = e
	}
	return e.since, true
}

// All returns the incarnations that leave.
func (d *Depart) All() iter.Seq2[string, int64] {
	return func(yield func(string, int64) bool) {
		for id, e := range d.byID {
			if !yield(id, e.born) {
				return
			}
		}
	}
}

// Len returns the number of incarnations that leave.
func (d *Depart) Len() int { return len(d.byID) }

// Forget drops what was recorded before a time and is no longer known elsewhere.
func (d *Depart) Forget(before time.Time, known func(id string) bool) {
	for id, e := range d.byID {
		if e.since.Before(before) && !known(id) {
			delete(d.byID, id)
		}
	}
}
