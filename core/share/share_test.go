package share

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/acct"
)

// account is the demand of one account in a test.
type account struct {
	name    string
	held    int
	waiting float64
	want    float64 // Share.
}

// Guards against shares that are not max-min fair by weight: what one account leaves goes to the others, and
// an idle pool limits nobody.
func TestShares(t *testing.T) {
	inf := math.Inf(1)
	for _, tc := range []struct {
		name     string
		config   map[string]acct.Account
		accounts []account
	}{
		{"nothing waits", nil, []account{{"a", 90, 0, inf}, {"b", 10, 0, inf}}},
		{"equal standing", nil, []account{{"a", 90, 100, 50}, {"b", 10, 100, 50}}},
		{"one asks for less", nil, []account{{"a", 90, 100, 90}, {"b", 10, 0, 90}}},
		{"weights", map[string]acct.Account{"a": {Weight: 3}}, []account{{"a", 50, 100, 75}, {"b", 50, 100, 25}}},
		{"rates", map[string]acct.Account{"a": {Rate: 400}, "b": {Rate: 100}}, []account{{"a", 50, 100, 80}, {"b", 50, 100, 20}}},
		{"rate and weight", map[string]acct.Account{"a": {Rate: 400}, "b": {Rate: 100, Weight: 400}}, []account{{"a", 50, 100, 50}, {"b", 50, 100, 50}}},
		{"some rates", map[string]acct.Account{"a": {Rate: 400}, "b": {}}, []account{{"a", 50, 100, 50}, {"b", 50, 100, 50}}},
		{"rates in unlike units", map[string]acct.Account{"a": {Rate: 400, ByRequest: true}, "b": {Rate: 100}}, []account{{"a", 50, 100, 50}, {"b", 50, 100, 50}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var l Ledger
			l.Configure(tc.config)
			for at := time.Duration(0); at < 20*time.Second; at += 50 * time.Millisecond {
				for _, a := range tc.accounts {
					p := l.Account(a.name)
					p.Waiting = a.waiting
					l.SetHeld(p, a.held)
				}
				l.Update(at)
			}
			for _, a := range tc.accounts {
				p := l.Account(a.name)
				if math.IsInf(a.want, 1) {
					must.True(t, math.IsInf(p.Share, 1), must.Sprint(a.name))
				} else {
					must.InDelta(t, a.want, p.Share, 0.1, must.Sprint(a.name))
				}
				if above := float64(a.held) - a.want; math.Abs(above) > 1 {
					must.Eq(t, above > 0, p.Beyond, must.Sprint(a.name))
				}
			}
		})
	}
}

// Guards against a new scheduler that takes all accounts for beyond their shares until it has seen them for
// some seconds.
func TestHeldSlotsCountAtOnce(t *testing.T) {
	var l Ledger
	l.Update(0)
	a, b := l.Account("a"), l.Account("b")
	a.Waiting, b.Waiting = 100, 100
	l.SetHeld(a, 90)
	l.SetHeld(b, 10)
	l.Update(50 * time.Millisecond)
	must.Between(t, 25, a.Share, 50)
	must.True(t, a.Beyond)
	must.False(t, b.Beyond)
}

// Guards against an account that gains weight by its own flood: what it uses while the pool is full is not
// usual. Before, b used a fifth of what a did.
func TestFloodIsNotUsual(t *testing.T) {
	var l Ledger
	a, b := l.Account("a"), l.Account("b")
	for at := time.Duration(0); at < 80*time.Second; at += 50 * time.Millisecond {
		l.SetHeld(a, 50)
		l.SetHeld(b, 10)
		if at > 60*time.Second {
			a.Waiting, b.Waiting = 50, 300
			l.SetHeld(b, 50)
		}
		l.Update(at)
	}
	must.InDelta(t, 5, a.Usual/b.Usual, 0.5)
	must.True(t, b.Beyond)
	must.False(t, a.Beyond)
}
