// Package denial counts the refused requests of client accounts in the recent past by reason.
package denial

import "time"

const (
	// Window is the time that the counts cover.
	Window = 5 * time.Minute
	step   = 10 * time.Second
	steps  = int64(Window / step)
)

type (
	// Denial counts refusals in steps of 10 s, so that a count covers Window or up to one step less. Times
	// count from a moment that the caller chooses. The zero value is empty and ready to use.
	Denial struct {
		byAccount map[string]*counts
	}

	// counts holds the counts of one account by step, modulo steps.
	counts [steps]struct {
		number int64
		byCode map[string]int64
	}
)

// Add counts a refusal. Times must not go back.
func (d *Denial) Add(at time.Duration, account, code string) {
	if account == "" {
		return
	}
	if d.byAccount == nil {
		d.byAccount = map[string]*counts{}
	}
	c := d.byAccount[account]
	if c == nil {
		c = &counts{}
		d.byAccount[account] = c
	}
	number := int64(at / step)
	s := &c[number%steps]
	if s.number != number || s.byCode == nil {
		s.number, s.byCode = number, map[string]int64{}
	}
	s.byCode[code]++
}

// Of returns the refusals of an account by code.
func (d *Denial) Of(at time.Duration, account string) map[string]int64 {
	sums := map[string]int64{}
	c := d.byAccount[account]
	if c == nil {
		return sums
	}
	number := int64(at / step)
	for _, s := range c {
		if s.number <= number-steps {
			continue
		}
		for code, n := range s.byCode {
			sums[code] += n
		}
	}
	return sums
}

// Retain drops the accounts that are not known any more.
func (d *Denial) Retain(known func(account string) bool) {
	for account := range d.byAccount {
		if !known(account) {
			delete(d.byAccount, account)
		}
	}
}
