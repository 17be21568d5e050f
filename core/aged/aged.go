// Package aged sums units by their age, for reports that arrive late.
package aged

import (
	"time"

	"azurelane/core/allow"
)

type (
	// Aged holds units of the recent past by when they were used, in steps of allow.Step. The zero
	// value is empty.
	Aged struct {
		list []sum // Oldest first.
	}

	sum struct {
		at    time.Time // Of the first of the units.
		units int64
	}
)

// Add adds units that were used at a time. Times must not go back.
func (a *Aged) Add(at time.Time, units int64) {
	if n := len(a.list); n > 0 && at.Sub(a.list[n-1].at) < allow.Step {
		a.list[n-1].units += units
		return
	}
	for len(a.list) > 0 && at.Sub(a.list[0].at) > allow.Memory {
		a.list = a.list[1:]
	}
	a.list = append(a.list, sum{at, units})
}

// Total returns the units that are not older than allow.Memory.
func (a *Aged) Total(now time.Time) int64 {
	total := int64(0)
	for _, units := range a.ByAge(now) {
		total += units
	}
	return total
}

// ByAge returns the units by their age in steps, newest first. Units older than allow.Memory are left
// out.
func (a *Aged) ByAge(now time.Time) []int64 {
	var list []int64
	for _, s := range a.list {
		age := max(now.Sub(s.at), 0)
		if age > allow.Memory {
			continue
		}
		n := int(age / allow.Step)
		for len(list) <= n {
			list = append(list, 0)
		}
		list[n] += s.units
	}
	return list
}

// Merge adds the units of an older Aged, whose report has failed.
func (a *Aged) Merge(older *Aged) { a.list = append(older.list, a.list...) }
