// Package ledger sums up the units of client accounts by what happened to them, for logs.
package ledger

import (
	"cmp"
	"slices"
)

type (
	// Ledger holds the units of accounts by kind since it was last read. The zero value is ready to
	// use.
	Ledger struct {
		sums map[string]map[string]int64 // Units by account and kind.
	}

	// Line holds the units of one account by kind.
	Line struct {
		Account string
		Units   map[string]int64
	}
)

// Add adds units of an account to a kind.
func (l *Ledger) Add(account, kind string, units int64) {
	if account == "" || units == 0 {
		return
	}
	if l.sums == nil {
		l.sums = map[string]map[string]int64{}
	}
	if l.sums[account] == nil {
		l.sums[account] = map[string]int64{}
	}
	l.sums[account][kind] += units
}

// Take returns the accounts with the most units of a kind, at most limit of them, and empties the
// ledger. Accounts without units of that kind are left out.
func (l *Ledger) Take(kind string, limit int) []Line {
	var list []Line
	for account, units := range l.sums {
		if units[kind] > 0 {
			list = append(list, Line{account, units})
		}
	}
	l.sums = nil
	slices.SortFunc(list, func(a, b Line) int {
		return cmp.Or(cmp.Compare(b.Units[kind], a.Units[kind]), cmp.Compare(a.Account, b.Account))
	})
	return list[:min(len(list), limit)]
}
